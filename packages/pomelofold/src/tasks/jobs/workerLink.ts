/**
 * Calls to one worker: starts, renewals and commands, one at a time.
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
/** Reports of changes between two that list everything. */
const MAX_PARTIAL_REPORTS = 20
const NO_EPOCH_RETRY_MS = 200

/** What a link tells its owner. All are called synchronously. */
export interface WorkerLinkEvents {
  /** Right before a send: the start to send, or undefined when the run was given up. */
  prepareStart (run: TaskRun): TaskStart | undefined
  /** The worker answered these starts. */
  onStartAnswers (runs: TaskRun[], answers: TaskStartAnswer[]): void
  /** The starts failed. `mayRun` tells whether they may run now or later. */
  onStartsFailed (runs: TaskRun[], mayRun: boolean): void
  /** The worker's own list, asked for at `sentAtMs`. */
  onReport (link: WorkerLink, report: WorkerReport, sentAtMs: number): void
  /** The worker does not answer and all leases given to it have ended. */
  onLost (link: WorkerLink): void
  /** Whether the worker answers has changed. */
  onAvailability (link: WorkerLink): void
  /** Whether the next report must list everything. */
  needsFullList (link: WorkerLink): boolean
  /** Monotonic time at which the worker's list is next of interest. */
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

/** One worker as its placer talks to it. */
export class WorkerLink {
  vm: VmRecord
  /** True once the worker has answered under this epoch and since then without a failure. */
  answering = false
  /** True once the worker's list is known or all its leases have ended. */
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
  private _leaseEndMs: number
  private _firstRenewalOffsetMs: number
  private _probing = false
  private _listVersion: string | undefined
  /** Reports since the last one that listed everything. */
  private _partialReports = 0

  constructor ({ vm, timers, random, upstream, sendEpoch, cfg, events }: WorkerLinkOptions) {
    this.vm = vm
    this._timers = timers
    this._upstream = upstream
    this._sendEpoch = sendEpoch
    this._cfg = cfg
    this._events = events
    this._renewDueMs = timers.now()
    this._leaseEndMs = timers.now() + cfg.leaseMs + cfg.maxDeliveryMs
    this._firstRenewalOffsetMs = random.int(Math.max(1, Math.floor(cfg.renewEveryMs / 2)))
    this._runLoop()
  }

  /** Queues a start. */
  start (run: TaskRun): void {
    this._queuedStarts.add(run)
    this._wakeUp.resolve()
  }

  /** Takes back a start that has not been sent. False when it has been sent. */
  withdraw (run: TaskRun): boolean {
    return this._queuedStarts.delete(run)
  }

  /** Tells the worker with the next renewal that the ended task is recorded. */
  acknowledge (taskId: string): void {
    this._pendingAcks.add(taskId)
  }

  /** Queues a command. A command that fails is not sent again. */
  command (taskId: string, command: TaskCommand): void {
    if (this._queuedCommands.some(queued => queued.taskId === taskId && queued.command === command)) return
    this._queuedCommands.push({ taskId, command })
    this._wakeUp.resolve()
  }

  /** Asks for the worker's list at `atMs` or soon after. */
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

  /** One call: what is most pressing. */
  private async _sendNextCall (epoch: number): Promise<void> {
    if (this._timers.now() >= this._renewOrPollDueMs()) return await this._renewOrProbe(epoch)
    const command = this._queuedCommands.shift()
    if (command) {
      await this._upstream.command(this.vm.address, epoch, command.taskId, command.command, this._cfg.callTimeoutMs)
      return
    }
    if (this.answering && this._queuedStarts.size > 0) await this._sendStarts(epoch)
  }

  private async _waitForWork (): Promise<void> {
    const waitMs = this._renewOrPollDueMs() - this._timers.now()
    const busy = this._queuedCommands.length > 0 || (this.answering && this._queuedStarts.size > 0)
    if (busy || waitMs <= 0) return
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

  /** Renews, or probes a worker that has not answered: a probe prolongs no lease, so waiting for their end is bounded. */
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
    const whole = this._partialReports >= MAX_PARTIAL_REPORTS || this._events.needsFullList(this)
    const since = whole ? undefined : this._listVersion
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
    if (this.answering) return
    this.answering = true
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
    if (this.answering) {
      this.answering = false
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

  /** Leases at the worker that were given at `atMs` or earlier end one lease length later. */
  private _extendLeases (atMs: number): void {
    this._leaseEndMs = Math.max(this._leaseEndMs, atMs + this._cfg.leaseMs)
  }
}

/** A worker that has seen a newer epoch has done nothing of what it was asked. */
function mayHaveEffect (err: CallError): boolean {
  return err.effect !== EFFECTS.none && !(err instanceof StaleEpochError)
}
