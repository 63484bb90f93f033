/**
 * Calls from the placer to one worker: starts, lease renewals and commands, one call at a time.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import { delay, type Timers, type TimerSubscription } from '../../seams/timers.js'
import { StaleEpochError, type TaskCommand, type UpstreamClient } from '../../seams/upstreamClient.js'
import type { RandomSource } from '../../seams/randomSource.js'
import type { VmRecord } from '../../protocol/vms.js'
import type { TaskStart, TaskStartAnswer, WorkerReport } from '../../protocol/worker.js'
import { EFFECTS, type CallError } from '../../utils/errors.js'
import { ManualPromise } from '../../utils/manualPromise.js'
import type { TaskRun } from './job.js'
import type { JobSettings } from './jobSettings.js'

const MAX_STARTS_PER_CALL = 200
const MAX_ACKS_PER_CALL = 2_000
/** Most reports that list only changes before one that lists all tasks. */
const MAX_PARTIAL_REPORTS = 20
/** Delay before the claim is checked again while this process may not send. */
const NO_EPOCH_RETRY_MS = 200

/** Callbacks of a {@link WorkerLink}. All are called synchronously. */
export interface WorkerLinkEvents {
  /** Called right before a start is sent. Returns the start, or undefined when the run is no longer wanted. */
  prepareStart (run: TaskRun): TaskStart | undefined
  /** Called with the worker's answers to these starts. */
  onStartAnswers (runs: TaskRun[], answers: TaskStartAnswer[]): void
  /** Called when the call with these starts failed. `mayRun` is true when the tasks may run now or later. */
  onStartsFailed (runs: TaskRun[], mayRun: boolean): void
  /** Called with the worker's list of its tasks, requested at monotonic time `sentAtMs`. */
  onReport (link: WorkerLink, report: WorkerReport, sentAtMs: number): void
  /** Called when the worker does not answer and all task leases granted to it have expired. */
  onLost (link: WorkerLink): void
  /** Called when {@link WorkerLink.reachable} has changed. */
  onAvailability (link: WorkerLink): void
  /** Returns whether the next report must list all tasks, not only changed ones. */
  needsFullList (link: WorkerLink): boolean
  /** Monotonic time at which the worker's list is needed next. */
  nextPollMs (link: WorkerLink): number
}

/** Options of a {@link WorkerLink}. */
export interface WorkerLinkOptions {
  vm: VmRecord
  timers: Timers
  random: RandomSource
  upstream: UpstreamClient
  /** Epoch to send under; undefined while this process may not send. */
  sendEpoch: () => number | undefined
  cfg: JobSettings
  events: WorkerLinkEvents
}

/** Sends calls to one worker, renews the leases of its tasks, and tracks until when those leases may last. */
export class WorkerLink {
  vm: VmRecord
  /** Capacity in the last reading of the list of VMs. The worker's own reports replace that of `vm`. */
  listedCapacity: VmRecord['capacity']
  /** True while the worker answers: after its first answered renewal under this epoch, until a start or renewal fails. */
  reachable = false
  /** True once the worker has listed its tasks, or all task leases granted to it have expired. */
  tasksKnown = false
  private readonly _timers: Timers
  private readonly _upstream: UpstreamClient
  private readonly _sendEpoch: () => number | undefined
  private readonly _cfg: JobSettings
  private readonly _events: WorkerLinkEvents
  private readonly _queuedStarts = new Set<TaskRun>()
  private _queuedCommands: Array<{ taskId: string, command: TaskCommand }> = []
  private readonly _pendingAcks = new Set<string>()
  private _wakeUp = new ManualPromise()
  private _closed = false
  private _renewDueMs: number
  private _pollDueMs = Number.POSITIVE_INFINITY
  private _lastReportMs = Number.NEGATIVE_INFINITY
  /** Upper bound on the end of all task leases granted to the worker. */
  private _leaseEndMs: number
  /** Random offset that shortens the first renewal period, so that renewals of different workers are spread over the period. */
  private _firstRenewalOffsetMs: number
  /** True while the worker does not answer; a probe then comes before each renewal. */
  private _probing = false
  private _listVersion: string | undefined
  /** Number of reports since the last one that listed all tasks. */
  private _partialReports = 0

  constructor ({ vm, timers, random, upstream, sendEpoch, cfg, events }: WorkerLinkOptions) {
    this.vm = vm
    this.listedCapacity = vm.capacity
    this._timers = timers
    this._upstream = upstream
    this._sendEpoch = sendEpoch
    this._cfg = cfg
    this._events = events
    this._renewDueMs = timers.now()
    // A renewal that an earlier placer sent may still arrive within `maxDeliveryMs`.
    this._leaseEndMs = timers.now() + cfg.leaseMs + cfg.maxDeliveryMs
    this._firstRenewalOffsetMs = random.int(Math.max(1, Math.floor(cfg.renewEveryMs / 2)))
    this._runLoop()
  }

  /** Queues a start. */
  start (run: TaskRun): void {
    this._queuedStarts.add(run)
    this._wakeUp.resolve()
  }

  /** Removes a queued start. Returns false when it has already been sent. */
  withdraw (run: TaskRun): boolean {
    return this._queuedStarts.delete(run)
  }

  /** Acknowledges an ended task to the worker with the next renewal, so that it need not list the task any longer. */
  acknowledge (taskId: string): void {
    this._pendingAcks.add(taskId)
  }

  /** Queues a command. A command that fails is not retried. */
  command (taskId: string, command: TaskCommand): void {
    if (this._queuedCommands.some(queued => queued.taskId === taskId && queued.command === command)) return
    this._queuedCommands.push({ taskId, command })
    this._wakeUp.resolve()
  }

  /** Requests the worker's list at monotonic time `atMs` or soon after. */
  pollAt (atMs: number): void {
    if (atMs >= this._pollDueMs) return
    this._pollDueMs = atMs
    this._wakeUp.resolve()
  }

  close (): void {
    this._closed = true
    this._wakeUp.resolve()
  }

  private async _runLoop (): Promise<void> {
    while (!this._closed) {
      await this._waitForWork()
      const epoch = this._closed ? undefined : this._sendEpoch()
      if (epoch !== undefined) await this._sendNextCall(epoch)
      else if (!this._closed) await delay(this._timers, NO_EPOCH_RETRY_MS)
    }
  }

  /** Sends the most urgent call: a renewal or probe that is due, then a command, then starts. */
  private async _sendNextCall (epoch: number): Promise<void> {
    if (this._timers.now() >= this._renewOrPollDueMs()) return await this._renewOrProbe(epoch)
    const command = this._queuedCommands.shift()
    if (command) {
      await this._upstream.command(this.vm.address, epoch, command.taskId, command.command, this._cfg.callTimeoutMs)
      return
    }
    if (this.reachable && this._queuedStarts.size > 0) await this._sendStarts(epoch)
  }

  private async _waitForWork (): Promise<void> {
    const waitMs = this._renewOrPollDueMs() - this._timers.now()
    const hasWork = this._queuedCommands.length > 0 || (this.reachable && this._queuedStarts.size > 0)
    if (hasWork || waitMs <= 0) return
    this._wakeUp = new ManualPromise()
    const wakeUp = this._wakeUp
    const timer: TimerSubscription = this._timers.after(waitMs, () => wakeUp.resolve())
    await wakeUp.promise
    timer.cancel()
  }

  private _renewOrPollDueMs (): number {
    return Math.min(this._renewDueMs, Math.max(this._pollDueMs, this._lastReportMs + this._cfg.minPollMs))
  }

  private async _sendStarts (epoch: number): Promise<void> {
    const runs: TaskRun[] = []
    const starts: TaskStart[] = []
    for (const run of this._queuedStarts) {
      if (runs.length === MAX_STARTS_PER_CALL) break
      this._queuedStarts.delete(run)
      const start = this._events.prepareStart(run)
      if (!start) continue
      runs.push(run)
      starts.push(start)
    }
    if (runs.length === 0) return
    const sentAtMs = this._timers.now()
    const answer = await this._upstream.startTasks(this.vm.address, epoch, starts, this._cfg.callTimeoutMs)
    if (this._closed) return
    if (answer.isOk) {
      this._extendLeases(this._timers.now())
      this._events.onStartAnswers(runs, answer.value)
      return this.pollAt(this._events.nextPollMs(this))
    }
    const mayRun = mayHaveEffect(answer.error)
    if (mayRun) this._extendLeases(sentAtMs + this._cfg.maxDeliveryMs)
    this._events.onStartsFailed(runs, mayRun)
    this._onNoAnswer()
  }

  /**
   * Renews the leases, or probes a worker that does not answer. A probe is a call without starts: it extends no lease,
   * so the leases of an unreachable worker expire within a bounded time.
   */
  private async _renewOrProbe (epoch: number): Promise<void> {
    if (!this._probing) return await this._renew(epoch)
    const probe = await this._upstream.startTasks(this.vm.address, epoch, [], this._cfg.callTimeoutMs)
    if (this._closed) return
    if (probe.isOk) return await this._renew(epoch)
    this._onNoAnswer()
  }

  private async _renew (epoch: number): Promise<void> {
    const sentAtMs = this._timers.now()
    const acks = [...this._pendingAcks].slice(0, MAX_ACKS_PER_CALL)
    this._pollDueMs = Number.POSITIVE_INFINITY
    const { leaseMs, callTimeoutMs } = this._cfg
    const listAll = this._partialReports >= MAX_PARTIAL_REPORTS || this._events.needsFullList(this)
    const since = listAll ? undefined : this._listVersion
    const answer = await this._upstream.renew(this.vm.address, epoch, leaseMs, acks, callTimeoutMs, since)
    if (this._closed) return
    if (answer.isErr) return this._onRenewFailed(answer, sentAtMs)
    for (const taskId of acks) this._pendingAcks.delete(taskId)
    this._onAnswer(sentAtMs)
    this._listVersion = answer.value.listVersion
    this._partialReports = answer.value.since === undefined ? 0 : this._partialReports + 1
    this._events.onReport(this, answer.value, sentAtMs)
    this.pollAt(this._pendingAcks.size > 0 ? sentAtMs + this._cfg.minPollMs : this._events.nextPollMs(this))
  }

  private _onAnswer (sentAtMs: number): void {
    const now = this._timers.now()
    this._extendLeases(now)
    this._lastReportMs = sentAtMs
    this._renewDueMs = now + this._cfg.renewEveryMs - this._firstRenewalOffsetMs
    this._firstRenewalOffsetMs = 0
    this._probing = false
    this.tasksKnown = true
    if (this.reachable) return
    this.reachable = true
    this._events.onAvailability(this)
  }

  private _onRenewFailed (answer: Result<WorkerReport, CallError>, sentAtMs: number): void {
    if (answer.isErr && mayHaveEffect(answer.error)) this._extendLeases(sentAtMs + this._cfg.maxDeliveryMs)
    this._onNoAnswer()
  }

  private _onNoAnswer (): void {
    const now = this._timers.now()
    this._probing = true
    this._listVersion = undefined
    this._renewDueMs = now + this._cfg.probeEveryMs
    this._pollDueMs = Number.POSITIVE_INFINITY
    if (this.reachable) {
      this.reachable = false
      this._renewDueMs = now + this._cfg.minPollMs
      this._events.onAvailability(this)
    }
    if (now < this._leaseEndMs) {
      this._renewDueMs = Math.min(this._renewDueMs, this._leaseEndMs)
      return
    }
    this.tasksKnown = true
    this._events.onLost(this)
  }

  /** Raises the upper bound for leases that may have been granted up to `atMs`; they expire `leaseMs` later. */
  private _extendLeases (atMs: number): void {
    this._leaseEndMs = Math.max(this._leaseEndMs, atMs + this._cfg.leaseMs)
  }
}

/** A worker that has seen a newer epoch rejects the call without any effect. */
function mayHaveEffect (err: CallError): boolean {
  return err.effect !== EFFECTS.none && !(err instanceof StaleEpochError)
}
