/**
 * Remembers starts that may still be carried out late, and keeps their tasks waiting while it is unknown by which
 * incarnation of the worker.
 *
 * Load pattern: workers that crash, are cut off or restart under the same id while starts are in transit. The incarnation
 * to which a start was sent refuses it once the run was stopped or has ended there. A later incarnation knows of neither,
 * and its clock starts anew: it carries out a start that was sent to an earlier one.
 *
 * @module
 */

import type { UnconfirmedStarts } from './leaseEndView.js'
import { ANSWERERS } from './runHost.js'
import { MAX_ORDER_DELAY_MS } from './runOrderSender.js'
import { runIdOf, LAPSE_SLACK_MS, WORKER_CLOCK_RATE, type WorkerSession } from './workerSession.js'
import type { Run, Task } from './workflowRuntime.js'
import type { Resources } from '../protocol/workflows.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'
import type { LeaseReport, ListedEnd, ListedRun } from '../seams/workflowUpstreams.js'
import type { TeamUsage } from '../teams/teamUsage.js'
import type { EventLog } from '../utils/eventLog.js'

/** A start that may be carried out by an incarnation of its worker that does not know its outcome. */
export interface LateStart {
  readonly name: string
  readonly attempt: number
  readonly task: Task | undefined
  readonly size: Resources | undefined
  /** Team for which it counts, and its size there. */
  readonly team: string | undefined
  readonly teamSize: Resources | undefined
  readonly address: string
  readonly bornMs: number
  /** Incarnation to which it was sent, or which has carried it out. */
  incarnation: string
  sentMs: number
  /** Time from which it is not carried out any more, in milliseconds of the monotonic clock. */
  untilMs: number
  /** Incarnation that was told to refuse it. */
  refusedBy: string | undefined
  /** Time since which its task waits for it, in milliseconds of the monotonic clock; undefined while it does not. */
  heldSinceMs: number | undefined
  /** True while it counts for its team, because its run does not and may still be started. */
  counted: boolean
  timer: TimerSubscription | undefined
}

/** Options of {@link LateStartTracker}. */
export interface LateStartTrackerOptions {
  timers: Timers
  log: EventLog
  /** Maximum length of a worker's lease, in milliseconds. */
  maxLeaseMs: number
  /** Called when the worker is to refuse the start. Its incarnation is the one to which the start was sent if `settles` is true. */
  onRefusalNeeded: (session: WorkerSession, start: LateStart, options: { settles: boolean }) => void
  teamUsage: TeamUsage
  /** True once a worker has come back under its id, also under an earlier scheduler. */
  idsReturn: () => boolean
  /** Called when a start that was held turns out to have been carried out. */
  onCarriedOut: (run: Run) => void
}

/** Keeps such starts until the time in which they may be carried out is over. */
export class LateStartTracker {
  private readonly _options: LateStartTrackerOptions
  /** Starts by worker id and by the id of their run. */
  private readonly _starts = new Map<string, Map<string, LateStart>>()
  /** Longest time for which a run goes on without a later extension of its lease, in milliseconds. */
  readonly longestLeaseMs: number
  /** Times until which a later incarnation may carry out an extension, by worker id, in milliseconds of the monotonic clock. */
  private readonly _extensionsEndMs = new Map<string, number>()
  /** True once a worker has come back under its id in this term. */
  private _idsReturn = false

  constructor (options: LateStartTrackerOptions) {
    this._options = options
    this.longestLeaseMs = options.maxLeaseMs / WORKER_CLOCK_RATE + LAPSE_SLACK_MS
  }

  close (): void {
    for (const starts of this._starts.values()) for (const { timer } of starts.values()) timer?.cancel()
    this._starts.clear()
  }

  /** Notes a start that was sent at `sentMs` and received no answer. It is remembered beyond the end of its run. */
  noteUnanswered (run: Run, sentMs: number): void {
    this._note(run, sentMs, sentMs + MAX_ORDER_DELAY_MS)
  }

  /** Notes the start of a run whose worker's incarnation may have ended, unless that incarnation is known to have carried it out. */
  noteUnconfirmed (run: Run): void {
    const { pendingStartMs, startConfirmedMs, startConfirmedBy, session } = run
    if (pendingStartMs !== undefined) this.noteUnanswered(run, pendingStartMs)
    if (startConfirmedMs === undefined || startConfirmedBy === ANSWERERS.host) return
    if (startConfirmedMs < session.lastReportRequestSentMs) return
    // No report of this incarnation was requested since, so that the next one may have confirmed the start.
    this._note(run, startConfirmedMs, startConfirmedMs)
  }

  /**
   * Notes that an incarnation of a worker has ended. Its tasks wait for such starts when a later incarnation with its id is
   * known, or when others have come back under their ids. Elsewhere a worker that does not answer counts as gone.
   */
  noteEnd (session: WorkerSession): void {
    const { id } = session.entry
    if (session.replaced) {
      for (const start of this.startsAt(id)) this._remove(id, start, 'another id is at its address')
      return
    }
    this._idsReturn ||= session.restarted
    for (const start of this.startsAt(id)) this._count(start, true)
    if (!this._idsReturn && !this._options.idsReturn()) return
    const extensionsEndMs = session.unansweredExtensionMs + MAX_ORDER_DELAY_MS
    if (this.startsAt(id).length) this._extensionsEndMs.set(id, Math.max(extensionsEndMs, this._extensionsEndMs.get(id) ?? extensionsEndMs))
    this._hold(id)
  }

  /** Keeps the tasks of all such starts at a worker waiting, since another incarnation may carry them out. */
  private _hold (id: string): void {
    const { timers, log } = this._options
    const nowMs = timers.now()
    for (const start of this.startsAt(id)) {
      start.refusedBy = undefined
      this._count(start, true)
      if (start.heldSinceMs !== undefined) continue
      start.heldSinceMs = nowMs
      if (start.task) start.task.heldStarts++
      log.event('warn', 'run.held', {
        task: start.name,
        attempt: start.attempt,
        worker: start.incarnation,
        sentAgoMs: Math.round(nowMs - start.sentMs),
        taskState: start.task?.state,
        reason: 'its start may be carried out by another incarnation of its worker'
      })
    }
  }

  /**
   * Applies a report that was handled, with the runs that it lists, to the starts that are held for its worker. An
   * incarnation that answers again after its lease has lapsed has to refuse those that are not held, too.
   */
  applyReport (session: WorkerSession, { running, ended }: LeaseReport, requestSentMs: number): void {
    const { id } = session.entry
    if (!session.synced) {
      this._forgetReplaced(session)
      if (this.startsAt(id).some(({ incarnation }) => incarnation !== session.incarnation)) {
        this._idsReturn = true
        this._hold(id)
      }
    }
    for (const start of this.startsAt(id)) {
      const isLapsed = session.lapsed && start.incarnation === session.incarnation
      if (start.heldSinceMs === undefined && !isLapsed) continue
      const runId = runIdOf(start.name, start.attempt)
      const isListed = (rows: Array<ListedRun | ListedEnd>): boolean => rows.some(({ task, attempt }) => runIdOf(task, attempt) === runId)
      const run = session.runs.get(runId)
      if (isListed(ended)) this._endHold(start, 'ended', session)
      else if (run && isListed(running)) this._handleCarriedOut(start, run, session)
      else if (requestSentMs >= start.untilMs) this._remove(id, start, 'not carried out')
      else if (!run && start.refusedBy !== session.incarnation) this._refuse(start, session)
    }
  }

  private _note (
    { name, attempt, task, size, team, teamSize = size, session: { entry, incarnation } }: Run, sentMs: number, untilMs: number
  ): void {
    const starts = this._starts.get(entry.id) ?? new Map<string, LateStart>()
    this._starts.set(entry.id, starts)
    const start: LateStart = starts.get(runIdOf(name, attempt)) ?? {
      name,
      attempt,
      task,
      size,
      team,
      teamSize,
      address: entry.address,
      bornMs: entry.bornMs,
      incarnation,
      sentMs,
      untilMs,
      refusedBy: undefined,
      heldSinceMs: undefined,
      counted: false,
      timer: undefined
    }
    starts.set(runIdOf(name, attempt), start)
    start.sentMs = Math.max(start.sentMs, sentMs)
    start.untilMs = Math.max(start.untilMs, untilMs)
    this._awaitEnd(entry.id, start)
  }

  /** Removes a start when a run that it has begun has ended at an incarnation that does not report. */
  private _awaitEnd (id: string, start: LateStart): void {
    const { timers } = this._options
    start.timer?.cancel()
    start.timer = timers.after(Math.max(0, this._runsEndMs(id) - timers.now()), () => {
      // Another start at the worker may have become known since.
      if (timers.now() < this._runsEndMs(id)) this._awaitEnd(id, start)
      else this._remove(id, start, 'no incarnation of its worker has reported')
    })
  }

  /**
   * Time by which all runs have ended that later incarnations of a worker have begun and not reported, in milliseconds of the monotonic
   * clock: each call that is carried out late prolongs the lease of all of them.
   */
  private _runsEndMs (id: string): number {
    const callsEndMs = Math.max(this._extensionsEndMs.get(id) ?? 0, ...this.startsAt(id).map(({ untilMs }) => untilMs))
    return callsEndMs + this.longestLeaseMs
  }

  private _count (start: LateStart, counted: boolean): void {
    if (start.counted === counted) return
    start.counted = counted
    const { team, teamSize } = start
    if (team !== undefined && teamSize) this._options.teamUsage.add(team, teamSize, counted ? 1 : -1)
  }

  /** Starts that an incarnation of the worker may carry out late. */
  startsAt (id: string): LateStart[] {
    return [...this._starts.get(id)?.values() ?? []]
  }

  /** Starts at a worker that a later incarnation may carry out, or whose tasks are held for a run that it may have begun. */
  unconfirmedAt (id: string): UnconfirmedStarts {
    const nowMs = this._options.timers.now()
    const starts = this.startsAt(id).filter(({ untilMs, heldSinceMs }) => untilMs > nowMs || heldSinceMs !== undefined)
    const endMs = Math.max(nowMs, ...starts.map(({ untilMs }) => untilMs))
    return { tasks: starts.map(({ name }) => name), endMs, runsEndMs: starts.length ? this._runsEndMs(id) : nowMs }
  }

  /** Forgets the starts that were sent to the address of the worker when another id had it. */
  private _forgetReplaced ({ entry: { id, address, bornMs } }: WorkerSession): void {
    for (const [otherId, starts] of this._starts) {
      if (otherId === id) continue
      for (const start of starts.values()) {
        if (start.address === address && start.bornMs < bornMs) this._remove(otherId, start, 'another id is at its address')
      }
    }
  }

  private _handleCarriedOut (start: LateStart, run: Run, session: WorkerSession): void {
    // A run that is being stopped goes on until its end is listed.
    if (!run.task) return
    this._endHold(start, 'listed', session)
    this._options.onCarriedOut(run)
  }

  /**
   * Has the worker refuse a start that it has not carried out. That settles the start at the incarnation to which it was
   * sent. A later incarnation may be followed by another one, so that the task waits until the start is not late any more.
   */
  private _refuse (start: LateStart, session: WorkerSession): void {
    const settles = start.incarnation === session.incarnation
    start.refusedBy = session.incarnation
    if (settles) this._endHold(start, 'answered again', session)
    this._options.onRefusalNeeded(session, start, { settles })
  }

  private _remove (id: string, start: LateStart, outcome: string): void {
    start.timer?.cancel()
    this._endHold(start, outcome)
    const starts = this._starts.get(id)
    starts?.delete(runIdOf(start.name, start.attempt))
    if (starts?.size !== 0) return
    this._starts.delete(id)
    this._extensionsEndMs.delete(id)
  }

  private _endHold (start: LateStart, outcome: string, session?: WorkerSession): void {
    this._count(start, false)
    if (start.heldSinceMs === undefined) return
    const { timers, log } = this._options
    const nowMs = timers.now()
    log.event('info', 'run.hold.ended', {
      task: start.name,
      attempt: start.attempt,
      worker: session?.incarnation ?? start.incarnation,
      outcome,
      heldMs: Math.round(nowMs - start.heldSinceMs),
      sentAgoMs: Math.round(nowMs - start.sentMs)
    })
    if (session) start.incarnation = session.incarnation
    start.heldSinceMs = undefined
    if (start.task) start.task.heldStarts--
  }
}
