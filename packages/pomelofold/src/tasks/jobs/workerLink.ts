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
const MAX_CHANGES_READ = 20
const NO_EPOCH_PAUSE_MS = 200

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
  needsWholeList (link: WorkerLink): boolean
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
  epochOf: () => number | undefined
  cfg: JobSettings
  events: WorkerLinkEvents
}

/** One worker as its placer talks to it. */
export class WorkerLink {
  vm: VmRecord
  /** True once the worker has answered under this epoch and since then without a failure. */
  answering = false
  /** True once the worker's list is known or all its leases have ended. */
  resolved = false
  private readonly _timers: Timers
  private readonly _upstream: UpstreamClient
  private readonly _epochOf: () => number | undefined
  private readonly _cfg: JobSettings
  private readonly _events: WorkerLinkEvents
  private readonly _starts = new Set<TaskRun>()
  private _commands: Array<{ taskId: string, command: TaskCommand }> = []
  private readonly _acks = new Set<string>()
  private _wake = new ManualPromise()
  private _closed = false
  private _renewDueMs: number
  private _pollMs = Number.POSITIVE_INFINITY
  private _lastReportMs = Number.NEGATIVE_INFINITY
  private _leaseEndMs: number
  private _firstPhaseMs: number
  private _probing = false
  private _listVersion: string | undefined
  /** Reports since the last one that listed everything. */
  private _changesRead = 0

  constructor ({ vm, timers, random, upstream, epochOf, cfg, events }: WorkerLinkOptions) {
    this.vm = vm
    this._timers = timers
    this._upstream = upstream
    this._epochOf = epochOf
    this._cfg = cfg
    this._events = events
    this._renewDueMs = timers.now()
    this._leaseEndMs = timers.now() + cfg.leaseMs + cfg.sendBoundMs
    this._firstPhaseMs = random.int(Math.max(1, Math.floor(cfg.renewEveryMs / 2)))
    this._run()
  }

  /** Queues a start. */
  start (run: TaskRun): void {
    this._starts.add(run)
    this._wake.resolve()
  }

  /** Takes back a start that has not been sent. False when it has been sent. */
  withdraw (run: TaskRun): boolean {
    return this._starts.delete(run)
  }

  /** Tells the worker with the next renewal that the ended task is recorded. */
  acknowledge (taskId: string): void {
    this._acks.add(taskId)
  }

  /** Queues a command. A command that fails is not sent again. */
  command (taskId: string, command: TaskCommand): void {
    if (this._commands.some(queued => queued.taskId === taskId && queued.command === command)) return
    this._commands.push({ taskId, command })
    this._wake.resolve()
  }

  /** Asks for the worker's list at `atMs` or soon after. */
  pollAt (atMs: number): void {
    if (atMs >= this._pollMs) return
    this._pollMs = atMs
    this._wake.resolve()
  }

  close (): void {
    this._closed = true
    this._wake.resolve()
  }

  private async _run (): Promise<void> {
    while (!this._closed) {
      await this._sleep()
      const epoch = this._closed ? undefined : this._epochOf()
      if (epoch !== undefined) await this._step(epoch)
      else if (!this._closed) await delay(this._timers, NO_EPOCH_PAUSE_MS)
    }
  }

  /** One call: what is most pressing. */
  private async _step (epoch: number): Promise<void> {
    if (this._timers.now() >= this._dueMs()) return await this._refresh(epoch)
    const command = this._commands.shift()
    if (command) {
      await this._upstream.command(this.vm.address, epoch, command.taskId, command.command, this._cfg.callTimeoutMs)
      return
    }
    if (this.answering && this._starts.size > 0) await this._sendStarts(epoch)
  }

  private async _sleep (): Promise<void> {
    const waitMs = this._dueMs() - this._timers.now()
    const busy = this._commands.length > 0 || (this.answering && this._starts.size > 0)
    if (busy || waitMs <= 0) return
    this._wake = new ManualPromise()
    const wake = this._wake
    const timer: TimerSubscription = this._timers.after(waitMs, () => wake.resolve())
    await wake.promise
    timer.cancel()
  }

  private _dueMs (): number {
    return Math.min(this._renewDueMs, Math.max(this._pollMs, this._lastReportMs + this._cfg.minPollMs))
  }

  private async _sendStarts (epoch: number): Promise<void> {
    const runs: TaskRun[] = []
    const starts: TaskStart[] = []
    for (const run of this._starts) {
      if (runs.length === MAX_STARTS_PER_CALL) break
      this._starts.delete(run)
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
    if (mayRun) this._extendLeases(sentAtMs + this._cfg.sendBoundMs)
    this._events.onStartsFailed(runs, mayRun)
    this._onSilent()
  }

  /** Renews, or probes a worker that has not answered: a probe prolongs no lease, so waiting for their end is bounded. */
  private async _refresh (epoch: number): Promise<void> {
    if (!this._probing) return await this._renew(epoch)
    const probe = await this._upstream.startTasks(this.vm.address, epoch, [], this._cfg.callTimeoutMs)
    if (this._closed) return
    if (probe.isOk) return await this._renew(epoch)
    this._onSilent()
  }

  private async _renew (epoch: number): Promise<void> {
    const sentAtMs = this._timers.now()
    const acks = [...this._acks].slice(0, MAX_ACKS_PER_CALL)
    this._pollMs = Number.POSITIVE_INFINITY
    const { leaseMs, callTimeoutMs } = this._cfg
    const whole = this._changesRead >= MAX_CHANGES_READ || this._events.needsWholeList(this)
    const since = whole ? undefined : this._listVersion
    const answer = await this._upstream.renew(this.vm.address, epoch, leaseMs, acks, callTimeoutMs, since)
    if (this._closed) return
    if (answer.isErr) return this._onRenewFailed(answer, sentAtMs)
    for (const taskId of acks) this._acks.delete(taskId)
    this._onAnswer(sentAtMs)
    this._listVersion = answer.value.listVersion
    this._changesRead = answer.value.since === undefined ? 0 : this._changesRead + 1
    this._events.onReport(this, answer.value, sentAtMs)
    this.pollAt(this._acks.size > 0 ? sentAtMs + this._cfg.minPollMs : this._events.nextPollMs(this))
  }

  private _onAnswer (sentAtMs: number): void {
    const now = this._timers.now()
    this._extendLeases(now)
    this._lastReportMs = sentAtMs
    this._renewDueMs = now + this._cfg.renewEveryMs - this._firstPhaseMs
    this._firstPhaseMs = 0
    this._probing = false
    this.resolved = true
    if (this.answering) return
    this.answering = true
    this._events.onAvailability(this)
  }

  private _onRenewFailed (answer: Result<WorkerReport, CallError>, sentAtMs: number): void {
    if (answer.isErr && mayHaveEffect(answer.error)) this._extendLeases(sentAtMs + this._cfg.sendBoundMs)
    this._onSilent()
  }

  private _onSilent (): void {
    const now = this._timers.now()
    this._probing = true
    this._listVersion = undefined
    this._renewDueMs = now + this._cfg.probeEveryMs
    this._pollMs = Number.POSITIVE_INFINITY
    if (this.answering) {
      this.answering = false
      this._renewDueMs = now + this._cfg.minPollMs
      this._events.onAvailability(this)
    }
    if (now < this._leaseEndMs) {
      this._renewDueMs = Math.min(this._renewDueMs, this._leaseEndMs)
      return
    }
    this.resolved = true
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
