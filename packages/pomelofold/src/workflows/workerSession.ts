/**
 * The scheduler's session with one incarnation of a worker (one process of it): its lease, its free capacity, and
 * the runs on it.
 *
 * @module
 */

import { match, P } from 'ts-pattern'
import type { WorkerFence } from './fencingTokens.js'
import { incarnationOf } from './incarnations.js'
import type { LeaseEndRecorder } from './leaseEndRecorder.js'
import type { UnconfirmedStarts } from './leaseEndView.js'
import type { LongPollPolicy } from './longPollPolicy.js'
import { isSpareCpuRun, isServingRun } from './spareCpuPacer.js'
import { ANSWERERS, type Answerer, type RunHost, type WorkerClock } from './runHost.js'
import { MAX_ORDER_DELAY_MS } from './runOrderSender.js'
import { RUN_STATES, type Run } from './workflowRuntime.js'
import { NO_RESOURCES, type Resources } from '../protocol/workflows.js'
import { START_REFUSALS, type LeaseReport, type WorkerClient, type WorkerEntry } from '../seams/workflowUpstreams.js'
import { delay, type Timers } from '../seams/timers.js'
import { isConnectionRefused, type CallError } from '../utils/errors.js'
import { NO_TEAM, type TeamUsage } from '../teams/teamUsage.js'
import type { EventFields, EventLog } from '../utils/eventLog.js'

/** Lowest rate of a worker's clock relative to the scheduler's: it may be 2% slow. */
export const WORKER_CLOCK_RATE = 0.98
/** Time added to the end of a lease before it counts as lapsed, in milliseconds: covers rounding and late timers of the worker. */
export const LAPSE_SLACK_MS = 100
/** Timeout of a call to a worker beyond the requested wait, in milliseconds. */
const ANSWER_MARGIN_MS = 500
/** Longest requested wait while runs on the worker are paced, in milliseconds: its readings cover the last half second. */
const PACED_WAIT_MS = 500
/** Pause between calls to a worker that does not answer, in milliseconds. */
const PROBE_PERIOD_MS = 250
/** Pause after a report before the next call, in milliseconds: a tenth of the run time of short tasks. */
const REPORT_PAUSE_MS = 60
/** Shortest lease with which a run is started, in milliseconds: an extension that is in progress is answered well before it ends. */
const START_LEASE_MIN_MS = 2_500
/** Time without starts after an unanswered order, in milliseconds: the next extension shows by then whether the worker is lost. */
const UNANSWERED_PAUSE_MS = 1_000
/** Precision of the time on a worker's clock, in milliseconds. */
const CLOCK_PRECISION_MS = 1
/** Longest time from when an order was carried out until its answer is handled, in milliseconds. */
const ANSWER_AGE_MS = 1_000
/** Suspension of this VM that ends its leadership, in milliseconds: the worker's clock is ahead by as much afterwards. */
const SUSPENSION_MS = 10_000
/** Longest time that the next extension waits for the ends of a report to be recorded, in milliseconds. */
const RECORD_WAIT_MS = 300

/** Receives the events of a session. */
export interface WorkerSessionListener {
  /** Called when the worker has answered. Resolves when the ends in the report are recorded. */
  onReport (session: WorkerSession, report: LeaseReport, requestSentMs: number): Promise<void>
  /** Starts that the worker may not have carried out, and a later incarnation may. */
  unconfirmedStarts (session: WorkerSession): UnconfirmedStarts
  /** Called when the worker no longer answers. */
  onLost (session: WorkerSession): void
  /** Called when this incarnation of the worker is known to have ended without notice, once for each loss. */
  onCrash (session: WorkerSession, evidence: string): void
  /** Called when all runs on the worker are certain to have ended. */
  onLapse (session: WorkerSession, reason: string): void
  /** Called when the worker has refused a call because it has seen a newer epoch. */
  onStaleEpoch (session: WorkerSession): void
  /** True while leases may be extended under this epoch. */
  mayExtend (): boolean
}

/** Options of a {@link WorkerSession}. */
export interface WorkerSessionOptions {
  entry: WorkerEntry
  epoch: number
  fence: WorkerFence
  client: WorkerClient
  timers: Timers
  log: EventLog
  listener: WorkerSessionListener
  /** Length of the worker's lease, in milliseconds. */
  leaseMs: number
  /** Maximum length of the worker's lease, in milliseconds. */
  maxLeaseMs: number
  /**
   * True when calls to an earlier incarnation may have reached this one. A lease end in such a call is a time on another clock, so
   * that it may give this one a lease of the maximum length.
   */
  mayHaveForeignLease: boolean
  /** Keeps the end of the lease in the store while the worker does not answer. Shared by all sessions. */
  leaseEnds: Pick<LeaseEndRecorder, 'mayExtend' | 'noteLost' | 'noteAnswered'>
  /** Decides how long a call waits for an end. Shared by all sessions. */
  longPollPolicy: LongPollPolicy
  /** Time by which runs that an earlier scheduler started have ended, in milliseconds of the monotonic clock. */
  inheritedRunsEndMs: number
  /** Usage of the teams, to which the runs on this worker count. */
  teamUsage: TeamUsage
}

/** A report whose ends are being recorded. */
interface HandledReport {
  recorded: Promise<void>
  /** Highest sequence number of its ends. */
  highestEnd: number
}

/** Extends the lease of one incarnation of a worker and keeps account of its runs. */
export class WorkerSession implements RunHost {
  entry: WorkerEntry
  /** Name of this incarnation. */
  readonly incarnation: string
  /** Runs by the id that `runIdOf` gives them. */
  readonly runs = new Map<string, Run>()
  /** Sum of the known sizes of all runs. */
  readonly used: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  /** True once a report under this epoch was handled that lists all runs and ends: an earlier scheduler can start no more. */
  synced = false
  /** True when the worker has answered the last extension. */
  reachable = false
  /** True when the worker has just been lost and the next call, which shows whether it has crashed, is not answered. */
  lossUnexplained = false
  /** Time at which the worker was lost, in milliseconds of the monotonic clock. */
  lostMs = Number.NEGATIVE_INFINITY
  /** True when this incarnation is known to have ended without notice. Withdrawn when it answers again. */
  crashed = false
  /** False once the directory no longer lists this incarnation. */
  listed = true
  /** True when all earlier runs on the worker have ended although it did not report their ends. */
  lapsed = false
  /** Earliest time at which the draining worker leaves, in milliseconds of the monotonic clock; infinite when it is not known. */
  leavesAtMs = Number.POSITIVE_INFINITY
  /** True when the next extension must be answered at once, without a wait for an end. */
  skipNextWait = false
  /** Time at which the last report was requested, in milliseconds of the monotonic clock. */
  lastReportRequestSentMs = Number.NEGATIVE_INFINITY
  /** Time at which the last extension without an answer was sent, in milliseconds of the monotonic clock: it may be carried out late. */
  unansweredExtensionMs = Number.NEGATIVE_INFINITY
  /** True when another id is known to be at the worker's address: no later incarnation receives orders to this one. */
  replaced = false
  /** True when a later incarnation with the same id is known: orders to this incarnation may reach it. */
  restarted = false
  /** True when the worker was in use by an earlier scheduler: what that has started there ends by `inheritedRunsEndMs`. */
  inherited = false
  /** True when a run that an earlier scheduler started may be a late copy of one that it has seen end. */
  mayRunLateStarts = false
  /** Latest start of a run on the worker that has succeeded, in milliseconds of the monotonic clock. */
  lastSuccessStartMs = Number.NEGATIVE_INFINITY
  /** Time before which nothing is started on the worker, in milliseconds of the monotonic clock. */
  suspendedUntilMs = 0
  /** Time by which runs that an earlier scheduler started have ended, in milliseconds of the monotonic clock. */
  inheritedRunsEndMs: number
  private readonly _options: WorkerSessionOptions
  /** Sequence number up to which the ends are recorded. */
  private _acknowledgedSequence = 0
  /** Sequence number up to which the worker has forgotten the ends. */
  private _forgottenSequence = 0
  private _highestEndSequence = 0
  /** Last known time of the worker's clock, and the local time at which it was received. */
  private _workerClock: WorkerClock | undefined
  /** Latest lease end that was sent to the worker, on the worker's clock. */
  private _leaseEndMs = 0
  /** Latest end, on the worker's clock, of a lease from calls to an earlier incarnation; undefined before the first report. */
  private _foreignLeaseEndMs: number | undefined
  private _closed = false
  /** Number of calls since the last one that was answered. */
  private _unansweredCalls = 0
  private _unsizedRuns = 0
  /** Number of runs whose team is not known, and what they count with. */
  private _unattributedRuns = 0
  private _unattributed: Resources = NO_RESOURCES

  constructor (options: WorkerSessionOptions) {
    this._options = options
    this.entry = options.entry
    this.incarnation = incarnationOf(options.entry)
    this.inheritedRunsEndMs = options.inheritedRunsEndMs
  }

  get closed (): boolean {
    return this._closed
  }

  get token (): number {
    return this._options.fence.token
  }

  /** Starts to extend the lease, until `close`. */
  start (): void {
    this._extendUntilClosed()
  }

  close (): void {
    this._closed = true
  }

  /** Highest sequence number of the ends that have been handled. */
  get highestEnd (): number {
    return this._highestEndSequence
  }

  /** Notes that a report without further ends has been handled. */
  noteReport (): void {
    this.synced = true
    this.lapsed = false
  }

  /** Notes that ends up to `sequence` have been handled. */
  noteEnds (sequence: number): void {
    this._highestEndSequence = Math.max(this._highestEndSequence, sequence)
  }

  /** True while a run of unknown size is on the worker: it may use any room, also some that is added later. */
  get hasUnsizedRuns (): boolean {
    return this._unsizedRuns > 0
  }

  addRun (run: Run): void {
    this.runs.set(runIdOf(run.name, run.attempt), run)
    this._addToUsed(run, 1)
  }

  /** A call of an earlier incarnation may reach a later one, at which this scheduler has used a higher token. */
  isFencedByOther (token: number): boolean {
    return !this._closed && token === this.token
  }

  hasRun (name: string, attempt: number): boolean {
    return this.runs.has(runIdOf(name, attempt))
  }

  removeRun (name: string, attempt: number): void {
    const run = this.runs.get(runIdOf(name, attempt))
    if (!run) return
    this.runs.delete(runIdOf(name, attempt))
    this._addToUsed(run, -1)
  }

  /** Lease end of an extension sent now, on the worker's clock. Undefined before the worker's clock is known. */
  nextLeaseEndMs (): number | undefined {
    const clockMs = this._workerClockNowMs
    return clockMs === undefined ? undefined : Math.floor(clockMs + this._options.leaseMs)
  }

  /**
   * Lease end of a start, on the worker's clock. It is the latest one sent while that is far enough in the
   * future, so that starts on a worker that has just been lost do not delay its lapse. Undefined when the lease of a worker
   * that does not answer has ended.
   */
  leaseEndForStart (): number | undefined {
    const next = this.nextLeaseEndMs()
    if (next === undefined) return
    const remainingMs = this._leaseEndMs - (next - this._options.leaseMs)
    if (!this.extendable) return remainingMs > 0 ? this._leaseEndMs : undefined
    return remainingMs >= START_LEASE_MIN_MS ? this._leaseEndMs : next
  }

  /** True while the worker answers and its lease may be extended. */
  get extendable (): boolean {
    return this.reachable && this._options.leaseEnds.mayExtend(this.incarnation)
  }

  /** Notes an order that was not answered: nothing is started on the worker for `UNANSWERED_PAUSE_MS`. */
  noteUnanswered (): void {
    this._options.longPollPolicy.noteUnanswered()
    this.suspendedUntilMs = Math.max(this.suspendedUntilMs, this._options.timers.now() + UNANSWERED_PAUSE_MS)
  }

  /** Notes a lease end, on the worker's clock, that is about to be sent. */
  noteLeaseSent (untilMs: number): void {
    this._leaseEndMs = Math.max(this._leaseEndMs, untilMs)
  }

  /**
   * Notes the time of the worker's clock from a report that has just arrived. Answers to orders do not say which incarnation has
   * answered, and each has its own clock.
   */
  noteClock (clockMs: number): void {
    this._workerClock = { atMs: clockMs, receivedMs: this._options.timers.now() }
  }

  get workerClock (): WorkerClock | undefined {
    return this._workerClock
  }

  answererOf (clockMs: number | undefined, sentClock: WorkerClock | undefined): Answerer {
    if (clockMs === undefined || !sentClock) return ANSWERERS.unknown
    const { atMs, receivedMs } = sentClock
    const elapsedMs = this._options.timers.now() - receivedMs
    // A clock that stands still while its VM is suspended is behind the expected time, but never behind an earlier reading.
    if (clockMs < atMs - CLOCK_PRECISION_MS || clockMs > atMs + elapsedMs + SUSPENSION_MS) return ANSWERERS.later
    const isPlain = clockMs >= atMs + elapsedMs * WORKER_CLOCK_RATE - ANSWER_AGE_MS && clockMs <= atMs + elapsedMs + ANSWER_AGE_MS
    // The clock of a later incarnation may show a similar time if this one has just started.
    return isPlain && atMs > 2 * ANSWER_AGE_MS ? ANSWERERS.host : ANSWERERS.unknown
  }

  noteRestart (): void {
    if (this._closed) return
    this.restarted = true
    this._endIncarnation('another incarnation of the worker answered an order')
  }

  /** Time by which all runs on the worker have ended unless the lease is extended, in milliseconds of the monotonic clock. */
  get lapsesAtMs (): number {
    if (!this._workerClock) return this.inheritedRunsEndMs
    const leaseEndMs = Math.max(this._leaseEndMs, this._foreignLeaseEndMs ?? 0)
    const ownMs = this._workerClock.receivedMs + (leaseEndMs - this._workerClock.atMs) / WORKER_CLOCK_RATE + LAPSE_SLACK_MS
    // Until this scheduler has extended the lease, its end is the one that an earlier scheduler has set.
    return this.synced && this._leaseEndMs > 0 ? ownMs : Math.max(ownMs, this.inheritedRunsEndMs)
  }

  /** True while the worker may have a lease from calls to an earlier incarnation. */
  get mayHaveForeignLease (): boolean {
    if (!this._options.mayHaveForeignLease) return false
    const clockMs = this._workerClockNowMs
    return this._foreignLeaseEndMs === undefined || clockMs === undefined || clockMs < this._foreignLeaseEndMs
  }

  /** Time on the worker's clock, which may be slower; undefined before it is known. */
  private get _workerClockNowMs (): number | undefined {
    return this._workerClock && this._workerClock.atMs + (this._options.timers.now() - this._workerClock.receivedMs)
  }

  private async _extendUntilClosed (): Promise<void> {
    const { timers, listener } = this._options
    let report: HandledReport | undefined
    while (!this._closed) {
      if (!listener.mayExtend()) {
        this._checkLapse('this scheduler may no longer extend the lease')
        await delay(timers, PROBE_PERIOD_MS)
        continue
      }
      if (report && await this._settledWithin(report.recorded, RECORD_WAIT_MS)) {
        this._acknowledgedSequence = Math.max(this._acknowledgedSequence, report.highestEnd)
        report = undefined
      }
      if (this._closed) return
      const wasReachable = this.reachable
      const next = await this._extendLease({ mayWait: report === undefined })
      if (next) {
        report = next
        // Ends come in groups. The pause lets the next report contain several of them.
        await delay(timers, REPORT_PAUSE_MS)
        continue
      }
      if (this._closed) return
      this._checkLapse('the worker does not answer')
      // After the first unanswered call the worker is called again at once, since often only one answer is lost.
      if (!wasReachable) await delay(timers, PROBE_PERIOD_MS)
    }
  }

  /**
   * Extends the lease once and handles the report. Undefined when the call failed. A worker whose last call
   * failed is only asked for a report: an extension may reach it although the answer is lost, and would delay its lapse.
   */
  private async _extendLease ({ mayWait }: { mayWait: boolean }): Promise<HandledReport | undefined> {
    const { client, epoch, timers, listener, longPollPolicy, log } = this._options
    const untilMs = this.extendable && listener.mayExtend() ? this.nextLeaseEndMs() : undefined
    if (untilMs !== undefined) this.noteLeaseSent(untilMs)
    const usualMs = this._pacesRuns ? PACED_WAIT_MS : longPollPolicy.waitMs
    // The lease has to be extended as soon as that is allowed again.
    const longestMs = this.extendable ? usualMs : PROBE_PERIOD_MS
    const wait = mayWait && this.reachable && !this.skipNextWait ? longestMs : 0
    this.skipNextWait = false
    const requestSentMs = timers.now()
    // The ends of a later incarnation are numbered from the start again, and this call may reach it: after an unanswered call, or late.
    const mayAcknowledge = this.reachable && this._acknowledgedSequence > this._forgottenSequence
    const acknowledged = mayAcknowledge ? this._acknowledgedSequence : 0
    const { token, unansweredExtensionMs } = this
    if (untilMs !== undefined) this.unansweredExtensionMs = requestSentMs
    const answer = await client.extendLease(this.entry, { epoch: token, acknowledged, untilMs, waitMs: wait }, wait + ANSWER_MARGIN_MS)
    if (this._closed) return
    if (answer.isOk) this.unansweredExtensionMs = unansweredExtensionMs
    return match(answer)
      .with({ isErr: true }, ({ error }) => {
        longPollPolicy.noteUnanswered()
        this._handleNoAnswer(error)
        return undefined
      })
      .with({ isErr: false, value: { refusal: P.string } }, ({ value }) => {
        this._handleRefusal(value.refusal, token)
        return undefined
      })
      .otherwise(({ value }) => {
        const report = value as LeaseReport
        this._unansweredCalls = 0
        if (report.bornMs !== undefined && report.bornMs !== this.entry.bornMs) {
          this.restarted = true
          this._endIncarnation('another incarnation of the worker answered')
          return undefined
        }
        this._forgottenSequence = Math.max(this._forgottenSequence, acknowledged)
        this.noteClock(report.clockMs)
        this._noteForeignLease(report)
        if (!this.reachable) {
          log.event('info', 'worker.reached', {
            worker: this.incarnation,
            epoch,
            running: report.running.length,
            ended: report.ended.length,
            first: !this.synced,
            ...this._originOf(token)
          })
          this.reachable = true
          this._options.leaseEnds.noteAnswered(this.incarnation)
          this.lossUnexplained = false
          this.crashed = false
        }
        this.lastReportRequestSentMs = requestSentMs
        const recorded = listener.onReport(this, report, requestSentMs)
        return { recorded, highestEnd: this._highestEndSequence }
      })
  }

  /** What is known of this incarnation and the one before it at its first report; for the log. */
  private _originOf (token: number): EventFields {
    if (this.synced) return {}
    const { fence: { earlierBornMs }, timers, mayHaveForeignLease } = this._options
    const { bornMs } = this.entry
    return {
      token,
      earlier: earlierBornMs !== undefined && earlierBornMs < bornMs ? incarnationOf({ ...this.entry, bornMs: earlierBornMs }) : undefined,
      mayHaveForeignLease,
      bornAgoMs: Math.round(timers.wallClock() - bornMs)
    }
  }

  /**
   * Bounds the lease from calls to an earlier incarnation at the first report: the worker has now received the token of this session,
   * and refuses such calls, whose tokens are lower.
   */
  private _noteForeignLease ({ clockMs }: LeaseReport): void {
    const { mayHaveForeignLease, maxLeaseMs, leaseMs, log } = this._options
    if (!mayHaveForeignLease || this._foreignLeaseEndMs !== undefined) return
    this._foreignLeaseEndMs = clockMs + maxLeaseMs
    if (maxLeaseMs > leaseMs) log.event('info', 'worker.lease.foreign', { worker: this.incarnation, token: this.token, mayLastMs: maxLeaseMs, leaseMs })
  }

  /** True while runs that use spare CPU share the worker with runs that have a latency target. */
  private get _pacesRuns (): boolean {
    const runs = [...this.runs.values()]
    return runs.some(isSpareCpuRun) && runs.some(isServingRun)
  }

  private _handleNoAnswer (err: CallError): void {
    const { listener, leaseEnds } = this._options
    this._unansweredCalls++
    this.lossUnexplained = this.reachable
    if (this.reachable) {
      this._noteLoss(err)
      this.reachable = false
      // The next call may reach a later incarnation.
      this._options.fence.raise()
      listener.onLost(this)
    }
    // A process that is only cut off does not refuse connections.
    if (isConnectionRefused(err)) this.noteCrash('it refuses connections')
    // Often only one answer is lost, and the next call is answered.
    const isLost = this._unansweredCalls > 1 || isConnectionRefused(err)
    if (!isLost || this.lapsed || !(this.synced || this.inherited)) return
    leaseEnds.noteLost(this.incarnation, this.lapsesAtMs, listener.unconfirmedStarts(this))
  }

  private _noteLoss ({ step, peer, message }: CallError): void {
    this.lostMs = this._options.timers.now()
    const lapsesInMs = Math.round(this.lapsesAtMs - this.lostMs)
    this._options.log.event('warn', 'worker.lost', { worker: this.incarnation, step, peer, detail: message, runs: this.runs.size, lapsesInMs })
  }

  /** Notes that this incarnation has ended without notice, unless that is known or it has announced to leave. */
  noteCrash (evidence: string): void {
    if (this.crashed || this.entry.draining || !this.synced) return
    this.crashed = true
    this.lossUnexplained = false
    if (this.reachable) this.lostMs = this._options.timers.now()
    this._options.listener.onCrash(this, evidence)
  }

  private _handleRefusal (refusal: string, token: number): void {
    const { listener, log } = this._options
    if (refusal === START_REFUSALS.staleEpoch) {
      if (this.isFencedByOther(token)) listener.onStaleEpoch(this)
      return
    }
    if (refusal === START_REFUSALS.otherIncarnation) {
      this.replaced = true
      this._endIncarnation('another incarnation of the worker answered')
      return
    }
    if (this.reachable) log.event('warn', 'worker.refused', { worker: this.incarnation, reason: refusal })
    this.reachable = false
  }

  /** Ends the session because this incarnation of the worker has ended. */
  private _endIncarnation (reason: string): void {
    this.noteCrash(reason)
    this._closed = true
    this.lapsed = true
    this._options.listener.onLapse(this, reason)
  }

  /** Notes the lapse of the lease once its end has passed. */
  private _checkLapse (reason: string): void {
    if (this.lapsed || this._options.timers.now() < this.lapsesAtMs) return
    this.lapsed = true
    this._options.listener.onLapse(this, reason)
  }

  private _addToUsed ({ size, team, teamSize = size }: Run, sign: 1 | -1): void {
    if (teamSize) this._options.teamUsage.add(team ?? NO_TEAM, teamSize, sign)
    else this._addUnattributed(sign)
    if (!size) {
      this._unsizedRuns += sign
      return
    }
    this.used.cpuMillis += sign * size.cpuMillis
    this.used.memoryMb += sign * size.memoryMb
    this.used.accelerators += sign * size.accelerators
  }

  /** Counts the runs of unknown teams on the worker, which together use no more than its capacity. */
  private _addUnattributed (sign: 1 | -1): void {
    if (this._unattributedRuns === 0) this._unattributed = this.entry.capacity
    this._unattributedRuns += sign
    if (this._unattributedRuns === (sign === 1 ? 1 : 0)) this._options.teamUsage.addUnattributed(this._unattributed, sign)
  }

  /** True when the promise resolves within `ms`. */
  private _settledWithin (promise: Promise<void>, ms: number): Promise<boolean> {
    return new Promise(resolve => {
      const timer = this._options.timers.after(ms, () => resolve(false))
      promise.then(() => { timer.cancel(); resolve(true) })
    })
  }
}

/** Id of a run within its worker. */
export function runIdOf (task: string, attempt: number): string {
  return `${task}#${attempt}`
}

/** True when a report whose request was sent at `requestSentMs` must list the run unless it has ended. */
export function mustBeListed (run: Run, requestSentMs: number): boolean {
  if (run.state === RUN_STATES.stopping && run.stopConfirmedMs !== undefined) return run.stopConfirmedMs < requestSentMs
  if (run.startConfirmedMs !== undefined) return run.startConfirmedMs < requestSentMs
  // A start without an answer is carried out within the longest delay of an order, or not at all.
  return run.unansweredMs !== undefined && run.unansweredMs + MAX_ORDER_DELAY_MS < requestSentMs
}
