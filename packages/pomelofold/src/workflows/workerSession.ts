/**
 * The scheduler's link to one life of a worker: its lease, its room, and what runs there.
 *
 * @module
 */

import { match, P } from 'ts-pattern'
import type { AnswerWatch } from './answerWatch.js'
import { isSpareCpuRun, isServingRun } from './spareCpuPacer.js'
import type { RunHost } from './runHost.js'
import { RUN_STATES, type Run } from './workflowRuntime.js'
import type { Room } from '../protocol/workflows.js'
import { START_REFUSALS, type LeaseReport, type WorkerClient, type WorkerEntry } from '../seams/workflowUpstreams.js'
import { delay, type Timers } from '../seams/timers.js'
import type { CallError } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'

/** Least rate of a worker's clock: it may be 2% slow. */
export const WORKER_CLOCK_RATE = 0.98
/** Allowance for whole milliseconds and late timers when a lease is taken to have ended, in milliseconds. */
const LAPSE_SLACK_MS = 100
/** Longest time for an answer beyond the wait that was asked for, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500
/** Longest wait in a call to a worker whose tasks have to be paced, in milliseconds: what it reports covers the last half second. */
const SHARING_WAIT_MS = 500
/** Pause between tries at a worker that does not answer, in milliseconds. */
const PROBE_PERIOD_MS = 250
/** Pause between two looks at a worker, in milliseconds: a tenth of the run time of short tasks. */
const GATHER_MS = 60
/** Least lease of a start, in milliseconds: the extension that is under way ends well before. */
const START_LEASE_MIN_MS = 2_500
/** Pause of a worker that has not answered an order, in milliseconds: the next extension shows by then whether it is lost. */
const UNANSWERED_PAUSE_MS = 1_000
/** Longest time without an extension while ends wait for their record, in milliseconds. */
const RECORD_WAIT_MS = 300

/** What a session tells the scheduler. */
export interface WorkerSessionListener {
  /** The worker has answered. Resolves when the ends in the report are recorded. */
  onReport (session: WorkerSession, report: LeaseReport, askedMs: number): Promise<void>
  /** Whatever ran at the worker has ended for certain. */
  onLapse (session: WorkerSession, reason: string): void
  /** The worker has seen a newer epoch. */
  onStaleEpoch (session: WorkerSession): void
  /** True while leases may be extended under this epoch. */
  mayExtend (): boolean
}

/** Options of a {@link WorkerSession}. */
export interface WorkerSessionOptions {
  entry: WorkerEntry
  epoch: number
  client: WorkerClient
  timers: Timers
  log: EventLog
  listener: WorkerSessionListener
  /** Length of the worker's lease, in milliseconds. */
  leaseMs: number
  /** Tells how long a call waits for an end, and learns of calls without an answer. */
  answers: AnswerWatch
  /** Time by which whatever an earlier scheduler started has ended, in milliseconds of the monotonic clock. */
  inheritedUntilMs: number
}

/** A report whose ends are being recorded. */
interface HandledReport {
  recorded: Promise<void>
  highestEnd: number
}

/** One life of a worker. */
export class WorkerSession implements RunHost {
  entry: WorkerEntry
  /** Runs by `task#attempt`. */
  readonly runs = new Map<string, Run>()
  readonly used: Room = { cpuMillis: 0, memoryMb: 0, accelerators: 0 }
  /** True once a report under this epoch has been handled: nothing of an earlier one can start there any more, and its runs are known. */
  synced = false
  /** False while calls fail. */
  reachable = false
  /** False once the directory no longer lists it. */
  listed = true
  /** True when whatever ran there before has ended without an answer. */
  lapsed = false
  /** Earliest time at which a draining worker leaves, in milliseconds of the monotonic clock; infinite when it is not known. */
  leavesAtMs = Number.POSITIVE_INFINITY
  /** True when the next look must not wait for an end. */
  looksAtOnce = false
  /** Time at which the last report of this life was asked for, in milliseconds of the monotonic clock. */
  lastReportAskedMs = Number.NEGATIVE_INFINITY
  /** True when the next life of the worker has taken its place under the same id: orders to this life may reach it. */
  restarted = false
  /** No starts before then, in milliseconds of the monotonic clock. */
  suspendedUntilMs = 0
  /** Time by which whatever an earlier scheduler started has ended, in milliseconds of the monotonic clock. */
  inheritedUntilMs: number
  private readonly _options: WorkerSessionOptions
  private _acknowledged = 0
  private _highestEnd = 0
  private _clock: { atMs: number, receivedMs: number } | undefined
  /** End of the lease on the worker's clock, the largest that may have arrived. */
  private _leaseUntil = 0
  private _closed = false

  constructor (options: WorkerSessionOptions) {
    this._options = options
    this.entry = options.entry
    this.inheritedUntilMs = options.inheritedUntilMs
  }

  /** Name of this life. */
  get incarnation (): string {
    return lifeOf(this.entry)
  }

  get closed (): boolean {
    return this._closed
  }

  /** Begins to extend the lease, until closed. */
  start (): void {
    this._extendForever()
  }

  close (): void {
    this._closed = true
  }

  /** Number of the highest end whose report has been handled. */
  get highestEnd (): number {
    return this._highestEnd
  }

  /** Notes that a report has been handled. */
  noteReport (): void {
    this.synced = true
    this.lapsed = false
  }

  /** Notes that ends up to `sequence` have been handled. */
  noteEnds (sequence: number): void {
    this._highestEnd = Math.max(this._highestEnd, sequence)
  }

  /** Room for one more task of `size`. */
  fits (size: Room): boolean {
    const { capacity } = this.entry
    return this.used.cpuMillis + size.cpuMillis <= capacity.cpuMillis &&
      this.used.memoryMb + size.memoryMb <= capacity.memoryMb &&
      this.used.accelerators + size.accelerators <= capacity.accelerators
  }

  addRun (run: Run): void {
    this.runs.set(runKey(run.name, run.attempt), run)
    this._count(run.size, 1)
  }

  hasRun (name: string, attempt: number): boolean {
    return this.runs.has(runKey(name, attempt))
  }

  removeRun (name: string, attempt: number): void {
    const run = this.runs.get(runKey(name, attempt))
    if (!run) return
    this.runs.delete(runKey(name, attempt))
    this._count(run.size, -1)
  }

  /** End of the lease to ask for now, on the worker's clock. Undefined before the worker's clock is known. */
  nextLeaseEnd (): number | undefined {
    if (!this._clock) return
    const clockMs = this._clock.atMs + (this._options.timers.now() - this._clock.receivedMs)
    return Math.floor(clockMs + this._options.leaseMs)
  }

  /**
   * Lease end of a start, on the worker's clock: the one given last while it is long enough, so that starts
   * at a worker that has just been lost do not move its lapse.
   */
  leaseEndForStart (): number | undefined {
    const next = this.nextLeaseEnd()
    if (next === undefined) return
    const remainingMs = this._leaseUntil - (next - this._options.leaseMs)
    return remainingMs >= START_LEASE_MIN_MS ? this._leaseUntil : next
  }

  /** Notes an order that was not answered: no further starts until the worker is heard of again, or for a while. */
  noteUnanswered (): void {
    this._options.answers.noteUnanswered()
    this.suspendedUntilMs = Math.max(this.suspendedUntilMs, this._options.timers.now() + UNANSWERED_PAUSE_MS)
  }

  /** Notes a lease end that is about to be sent. */
  noteLeaseSent (untilMs: number): void {
    this._leaseUntil = Math.max(this._leaseUntil, untilMs)
  }

  /** Notes the worker's clock from an answer that has just come. */
  noteClock (clockMs: number | undefined): void {
    if (clockMs !== undefined) this._clock = { atMs: clockMs, receivedMs: this._options.timers.now() }
  }

  /** Time by which everything there has ended unless the lease is extended, in milliseconds of the monotonic clock. */
  get lapsesAtMs (): number {
    if (!this._clock) return this.inheritedUntilMs
    const ownMs = this._clock.receivedMs + (this._leaseUntil - this._clock.atMs) / WORKER_CLOCK_RATE + LAPSE_SLACK_MS
    return this.synced ? ownMs : Math.max(ownMs, this.inheritedUntilMs)
  }

  private async _extendForever (): Promise<void> {
    const { timers, listener } = this._options
    let report: HandledReport | undefined
    while (!this._closed) {
      if (!listener.mayExtend()) {
        this._checkLapse('the lease may no longer be extended')
        await delay(timers, PROBE_PERIOD_MS)
        continue
      }
      if (report && await this._settledWithin(report.recorded, RECORD_WAIT_MS)) {
        this._acknowledged = Math.max(this._acknowledged, report.highestEnd)
        report = undefined
      }
      if (this._closed) return
      const reached = this.reachable
      const next = await this._extend({ mayWait: report === undefined })
      if (next) {
        report = next
        // Ends come in groups: one look takes in those that follow closely.
        await delay(timers, GATHER_MS)
        continue
      }
      if (this._closed) return
      this._checkLapse('the worker does not answer')
      // The first call without an answer may be the only one: ask again at once.
      if (!reached) await delay(timers, PROBE_PERIOD_MS)
    }
  }

  /**
   * One call. Undefined when it failed. A worker whose last call failed is only asked, since each extension
   * that may arrive moves its lapse.
   */
  private async _extend ({ mayWait }: { mayWait: boolean }): Promise<HandledReport | undefined> {
    const { client, epoch, timers, listener, answers, log } = this._options
    const untilMs = this.reachable ? this.nextLeaseEnd() : undefined
    if (untilMs !== undefined) this.noteLeaseSent(untilMs)
    const longestMs = this._sharesTargets ? SHARING_WAIT_MS : answers.waitMs
    const wait = mayWait && this.reachable && !this.looksAtOnce ? longestMs : 0
    this.looksAtOnce = false
    const askedMs = timers.now()
    // After a call without an answer, the next life of the worker may answer, and its ends are numbered anew.
    const acknowledged = this.reachable ? this._acknowledged : 0
    const answer = await client.extendLease(this.entry, { epoch, acknowledged, untilMs, waitMs: wait }, wait + ANSWER_TIMEOUT_MS)
    if (this._closed) return
    return match(answer)
      .with({ isErr: true }, ({ error }) => {
        if (this.reachable) this._noteLoss(error)
        answers.noteUnanswered()
        this.reachable = false
        return undefined
      })
      .with({ isErr: false, value: { refusal: P.string } }, ({ value }) => {
        this._refused(value.refusal)
        return undefined
      })
      .otherwise(({ value }) => {
        const report = value as LeaseReport
        this.noteClock(report.clockMs)
        if (!this.reachable) {
          log.event(
            'info', 'worker.reached',
            { worker: this.incarnation, epoch, running: report.running.length, ended: report.ended.length, first: !this.synced }
          )
        }
        this.reachable = true
        if (report.bornMs !== undefined && report.bornMs !== this.entry.bornMs) {
          this.restarted = true
          this._end('another life of the worker answered')
          return undefined
        }
        this.lastReportAskedMs = askedMs
        const recorded = listener.onReport(this, report, askedMs)
        return { recorded, highestEnd: this._highestEnd }
      })
  }

  /** True while tasks that use spare processor time run beside tasks with a latency target. */
  private get _sharesTargets (): boolean {
    const runs = [...this.runs.values()]
    return runs.some(isSpareCpuRun) && runs.some(isServingRun)
  }

  private _noteLoss ({ step, peer, message }: CallError): void {
    const lapsesInMs = Math.round(this.lapsesAtMs - this._options.timers.now())
    this._options.log.event('warn', 'worker.lost', { worker: this.incarnation, step, peer, detail: message, runs: this.runs.size, lapsesInMs })
  }

  private _refused (refusal: string): void {
    const { listener, log } = this._options
    if (refusal === START_REFUSALS.staleEpoch) {
      listener.onStaleEpoch(this)
      return
    }
    if (refusal === START_REFUSALS.otherLife) {
      this._end('another life of the worker answered')
      return
    }
    if (this.reachable) log.event('warn', 'worker.refused', { worker: this.incarnation, reason: refusal })
    this.reachable = false
  }

  /** This life is over. */
  private _end (reason: string): void {
    this._closed = true
    this.lapsed = true
    this._options.listener.onLapse(this, reason)
  }

  private _checkLapse (reason: string): void {
    if (this.lapsed || this._options.timers.now() < this.lapsesAtMs) return
    this.lapsed = true
    this._options.listener.onLapse(this, reason)
  }

  private _count (size: Room, sign: 1 | -1): void {
    this.used.cpuMillis += sign * size.cpuMillis
    this.used.memoryMb += sign * size.memoryMb
    this.used.accelerators += sign * size.accelerators
  }

  private _settledWithin (promise: Promise<void>, ms: number): Promise<boolean> {
    return new Promise(resolve => {
      const timer = this._options.timers.after(ms, () => resolve(false))
      promise.then(() => { timer.cancel(); resolve(true) })
    })
  }
}

/** Name of a life of a worker. */
export function lifeOf (entry: WorkerEntry): string {
  return `${entry.id}@${entry.bornMs}`
}

/** Name of a run at its worker. */
export function runKey (task: string, attempt: number): string {
  return `${task}#${attempt}`
}

/** True for runs that a report must show. */
export function mustBeListed (run: Run, askedMs: number): boolean {
  if (run.state === RUN_STATES.stopping && run.stopConfirmedMs !== undefined) return run.stopConfirmedMs < askedMs
  return run.startConfirmedMs !== undefined && run.startConfirmedMs < askedMs
}
