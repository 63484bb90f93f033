/**
 * In-memory worker for tests of workflow scheduling. It runs tasks under a lease, refuses calls of older epochs
 * and records every run independently of the scheduler.
 *
 * @module
 */

import Result from 'true-myth/result'
import { CallError, CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'
import { delay, type Timers } from 'pomelofold/seams/timers'
import {
  RUN_ENDS, START_REFUSALS,
  type DirectoryReading, type LeaseExtension, type LeaseReport, type ListedEnd,
  type OrderAnswer, type RunEnd, type RunStart, type StartRefusal,
  type WorkerClient, type WorkerDirectory, type WorkerEntry
} from 'pomelofold/seams/workflowUpstreams'
import type { Resources } from 'pomelofold/protocol/workflows'

/** Maximum number of ends in one report. */
const MAX_LISTED_ENDS = 500

/** Interval of a worker's heartbeats, in milliseconds. */
const HEARTBEAT_MS = 1_500

/** Time without a heartbeat after which an entry of the directory is removed, in milliseconds. */
const ENTRY_EXPIRY_MS = 3 * HEARTBEAT_MS

/** Refusals of a start whose lease end is taken nevertheless. */
const LEASE_EXTENDING_REFUSALS: ReadonlySet<StartRefusal> = new Set([
  START_REFUSALS.oldAttempt, START_REFUSALS.noRoom, START_REFUSALS.invalidTicket
])

/** Record of one run, written by the worker. Times are those of the timers; `endMs` is infinite while it runs. */
export interface RunRecord {
  task: string
  attempt: number
  worker: string
  startMs: number
  endMs: number
  how?: RunEnd
  /** Checkpoint that it started from. */
  checkpoint?: string
  /** Time at which the scheduler acknowledged the end. */
  acknowledgedMs?: number
}

/** A run in progress. */
interface ActiveRun {
  record: RunRecord
  /** Total run time. */
  runMs: number
  /** Cancels the timer that ends the run. */
  cancel: () => void
}

/** Injected faults of a worker. They may be changed at any time. */
export interface LeasedWorkerFaults {
  /** Calls neither arrive nor are answered; each one times out. */
  unreachable: boolean
  /** Orders (start, stop, pace) are carried out, but their answers are lost. */
  loseAnswers: boolean
  /** Every n-th call of any kind is carried out, but its answer is lost; 0 for none. Each client counts its own calls. */
  loseEveryNthAnswer: number
  /** Orders time out and are carried out after this delay, in milliseconds. */
  orderDelayMs: number
  /** Extensions of the lease time out and are carried out after this delay, in milliseconds. */
  extensionDelayMs: number
  /** Orders that are on their way break off and are not carried out, as when the process ends before they arrive. */
  breaksOrders: boolean
  /** Time from the arrival of an order to its answer, in milliseconds. An answer comes even if the worker has crashed meanwhile. */
  answerDelayMs: number
  /** Time after which orders find the connection refused, in milliseconds, as when the process ends before they are sent. */
  refuseOrdersAfterMs: number | undefined
  /** Refusal of each start that arrives, also of a start whose run is in progress. */
  refuseStarts: StartRefusal | undefined
  /** Starts are refused as too late by the end of the lease in force, not by the one that they carry. */
  refuseStartsByLeaseInForce: boolean
  /** Runs that start now fail after 10 ms. */
  failTasks: boolean
  draining: boolean
  /** Minimum time until the worker leaves, which it reports while it drains, in milliseconds. */
  leavesInMs: number | undefined
  /** The directory does not list the worker. */
  unlisted: boolean
  /** Heartbeats do not reach the directory: the entry stays as it is until it expires. */
  silent: boolean
  /** Another writer has overwritten the entry with one that names no usable worker. */
  entryOverwritten: boolean
  /** The process has ended while its VM runs: calls in progress break, and new connections are refused. */
  refusesConnections: boolean
}

/** One incarnation of a worker. A restart is a new object with the same id and another `entry.bornMs`. */
export class LeasedWorker {
  readonly entry: WorkerEntry
  readonly faults: LeasedWorkerFaults = {
    unreachable: false,
    loseAnswers: false,
    loseEveryNthAnswer: 0,
    orderDelayMs: 0,
    extensionDelayMs: 0,
    breaksOrders: false,
    answerDelayMs: 1,
    refuseOrdersAfterMs: undefined,
    refuseStarts: undefined,
    refuseStartsByLeaseInForce: false,
    failTasks: false,
    draining: false,
    leavesInMs: undefined,
    unlisted: false,
    silent: false,
    entryOverwritten: false,
    refusesConnections: false
  }

  /** Runs in progress, by task. */
  readonly runs = new Map<string, ActiveRun>()
  /** Checkpoint that all runs report. */
  checkpoint = ''
  /** Times at which the lease lapsed. */
  readonly leaseLapsesMs: number[] = []
  /** Newest epoch seen; calls of older ones are refused. */
  epoch = 0
  private readonly _timers: Timers
  private readonly _records: RunRecord[]
  private readonly _runMs: (task: string) => number
  private readonly _onStarted: (record: RunRecord, worker: LeasedWorker) => void
  /** Highest attempt that has ended or was stopped, by task. Starts up to it are refused. */
  private readonly _highestAttempts = new Map<string, number>()
  private _unacknowledgedEnds: Array<ListedEnd & { record: RunRecord }> = []
  private _lastEndSequence = 0
  private _heartbeatSequence = 1
  private _lastHeartbeatMs: number
  /** The worker's entry as it was written last. */
  private _writtenEntry: WorkerEntry
  /** Start of the worker's clock, and the maximum length of a lease, in milliseconds. */
  private readonly _clockStartMs: number
  private readonly _maxLeaseMs: number
  /** End of the lease on the worker's clock; 0 before the first one. */
  private _leaseUntilMs = 0
  /** Callbacks of lease extensions that wait for the end of a run. */
  private _reportWaiters: Array<() => void> = []

  constructor ({
    id, address = id, timers, records, runMs, onStarted = () => {}, capacity, labels = ['a', 'r1'], clockStartMs = 0, maxLeaseMs = Number.POSITIVE_INFINITY
  }: {
    id: string,
    address?: string,
    timers: Timers,
    records: RunRecord[],
    runMs: (task: string) => number,
    /** Called when a run has started. */
    onStarted?: (record: RunRecord, worker: LeasedWorker) => void,
    capacity: Resources,
    labels?: string[],
    clockStartMs?: number,
    maxLeaseMs?: number
  }) {
    this.entry = { id, bornMs: 1, service: 'leafline', address, failureDomain: 'a', draining: false, capacity, labels }
    this._onStarted = onStarted
    this._timers = timers
    this._records = records
    this._runMs = runMs
    this._writtenEntry = this.entry
    this._lastHeartbeatMs = timers.now()
    this._clockStartMs = clockStartMs
    this._maxLeaseMs = maxLeaseMs
    timers.every(50, () => this._endRunsAfterLease())
    timers.every(HEARTBEAT_MS, () => this._sendHeartbeat())
  }

  /** Time on the worker's clock. */
  get clockMs (): number {
    return this._timers.now() - this._clockStartMs
  }

  /** End of the lease in force, in milliseconds of the timers; the start of the worker's clock before the first one. */
  get leaseEndMs (): number {
    return this._clockStartMs + this._leaseUntilMs
  }

  /** Simulates a crash: all runs end, and unacknowledged ends are lost. The worker is unreachable and unlisted from now on. */
  crash (): void {
    for (const active of this.runs.values()) {
      active.cancel()
      active.record.endMs = this._timers.now()
    }
    this.runs.clear()
    this._unacknowledgedEnds = []
    this.faults.unreachable = true
    this.faults.unlisted = true
    for (const wake of this._reportWaiters.splice(0)) wake()
  }

  /** Starts a run. Returns the refusal, if any. A repeated start of a run in progress does not start it again. */
  start ({ epoch, task, attempt, untilMs, checkpoint }: RunStart): StartRefusal | undefined {
    if (epoch < this.epoch) return START_REFUSALS.staleEpoch
    this.epoch = epoch
    const { refuseStarts } = this.faults
    if (refuseStarts && LEASE_EXTENDING_REFUSALS.has(refuseStarts)) this._extendLeaseTo(untilMs)
    if (refuseStarts) return refuseStarts
    const now = this._timers.now()
    const leaseEndMs = this.faults.refuseStartsByLeaseInForce ? Math.max(untilMs, this._leaseUntilMs) : untilMs
    if (leaseEndMs <= this.clockMs) return START_REFUSALS.leaseLapsed
    this._extendLeaseTo(untilMs)
    if (this.runs.get(task)?.record.attempt === attempt) return
    if (attempt <= (this._highestAttempts.get(task) ?? 0)) return START_REFUSALS.oldAttempt
    const record: RunRecord = { task, attempt, worker: this.entry.id, startMs: now, endMs: Number.POSITIVE_INFINITY, checkpoint }
    this._records.push(record)
    const runMs = this.faults.failTasks ? 10 : this._runMs(task)
    const how = this.faults.failTasks ? RUN_ENDS.failed : RUN_ENDS.done
    const timer = this._timers.after(runMs, () => this._endRun(task, how))
    this.runs.set(task, { record, runMs, cancel: () => timer.cancel() })
    this._onStarted(record, this)
  }

  /** Ends all runs with `broken`, as if another member of their gang had ended. */
  endRunsAsBroken (): void {
    for (const task of [...this.runs.keys()]) this._endRun(task, RUN_ENDS.gangBroken)
  }

  /** Ends the run of a task, if any, with `failed`. */
  failRun (task: string): void {
    this._endRun(task, RUN_ENDS.failed)
  }

  /** Stops a run, and refuses later starts of this attempt or an earlier one. */
  stop ({ epoch, task, attempt }: { epoch: number, task: string, attempt: number }): StartRefusal | undefined {
    if (epoch < this.epoch) return START_REFUSALS.staleEpoch
    this.epoch = epoch
    this._highestAttempts.set(task, Math.max(attempt, this._highestAttempts.get(task) ?? 0))
    const active = this.runs.get(task)
    if (active && active.record.attempt <= attempt) this._endRun(task, RUN_ENDS.stopped)
  }

  /** Extends the lease and reports runs and ends. Waits up to `waitMs` for an end when there is none to report. */
  async extend ({ epoch, acknowledged, untilMs, waitMs = 0 }: LeaseExtension): Promise<LeaseReport | { refusal: StartRefusal }> {
    if (epoch < this.epoch) return { refusal: START_REFUSALS.staleEpoch }
    this.epoch = epoch
    const now = this._timers.now()
    for (const end of this._unacknowledgedEnds) if (end.sequence <= acknowledged) end.record.acknowledgedMs ??= now
    this._unacknowledgedEnds = this._unacknowledgedEnds.filter(end => end.sequence > acknowledged)
    if (untilMs !== undefined) this._extendLeaseTo(untilMs)
    if (this._unacknowledgedEnds.length === 0 && waitMs > 0) {
      await Promise.race([
        delay(this._timers, waitMs), new Promise<void>(resolve => this._reportWaiters.push(resolve))
      ])
    }
    return this._report()
  }

  private _extendLeaseTo (untilMs: number): void {
    this._leaseUntilMs = Math.max(this._leaseUntilMs, Math.min(untilMs, this.clockMs + this._maxLeaseMs))
  }

  private _report (): LeaseReport {
    return {
      clockMs: this.clockMs,
      bornMs: this.entry.bornMs,
      running: [...this.runs.values()].map(({ record: { task, attempt, startMs }, runMs }) => ({
        task, attempt, checkpoint: this.checkpoint, percent: Math.floor(100 * (this._timers.now() - startMs) / runMs)
      })),
      ended: this._unacknowledgedEnds.slice(0, MAX_LISTED_ENDS).map(({ record, ...end }) => end),
      hasMoreEnds: this._unacknowledgedEnds.length >= MAX_LISTED_ENDS
    }
  }

  private _endRun (task: string, how: RunEnd): void {
    const active = this.runs.get(task)
    if (!active) return
    active.cancel()
    active.record.endMs = this._timers.now()
    active.record.how = how
    this.runs.delete(task)
    this._highestAttempts.set(task, Math.max(active.record.attempt, this._highestAttempts.get(task) ?? 0))
    this._unacknowledgedEnds.push({
      sequence: ++this._lastEndSequence, task, attempt: active.record.attempt, how, checkpoint: this.checkpoint, record: active.record
    })
    for (const wake of this._reportWaiters.splice(0)) wake()
  }

  /** The worker's entry with its last heartbeat; undefined once it was removed. Changes of the worker's state are written at once. */
  get listing (): { entry: WorkerEntry, heartbeat: number } | undefined {
    const { draining, leavesInMs, silent, unlisted } = this.faults
    if (!silent) this._writtenEntry = { ...this.entry, draining, leavesInMs }
    if (unlisted || this._timers.now() - this._lastHeartbeatMs >= ENTRY_EXPIRY_MS) return
    return { entry: this._writtenEntry, heartbeat: this._heartbeatSequence }
  }

  private _sendHeartbeat (): void {
    if (this.faults.silent) return
    this._heartbeatSequence++
    this._lastHeartbeatMs = this._timers.now()
  }

  /** Called every 50 ms. Ends all runs once the lease has lapsed, and records the time of the lapse. */
  private _endRunsAfterLease (): void {
    if (this._leaseUntilMs === 0 || this.clockMs < this._leaseUntilMs) return
    const lapsedMs = this._clockStartMs + this._leaseUntilMs
    if (this.leaseLapsesMs.at(-1) !== lapsedMs) this.leaseLapsesMs.push(lapsedMs)
    for (const task of [...this.runs.keys()]) this._endRun(task, RUN_ENDS.lapsed)
  }
}

/** One scheduler's client of the {@link LeasedWorker}s in the same process, and their directory. */
export class LeasedWorkerClient implements WorkerClient, WorkerDirectory {
  /** Calls of this client to workers time out; the directory still answers. */
  disconnected = false
  /** Readings of the directory time out. */
  directoryDown = false
  readonly entryExpiryMs = ENTRY_EXPIRY_MS
  /** Ids of workers to which calls of this client time out. */
  readonly unreachableWorkers = new Set<string>()
  private _callCount = 0
  private readonly _timers: Timers
  private readonly _networkTimers: Timers
  private readonly _workers: () => LeasedWorker[]
  /** Entries that another writer has added to the directory. */
  private readonly _otherEntries: () => WorkerEntry[]

  constructor ({ timers, networkTimers = timers, workers, otherEntries = () => [] }: {
    timers: Timers,
    /** Timers of orders on their way, which arrive also when the process that sent them has ended. */
    networkTimers?: Timers,
    workers: () => LeasedWorker[],
    otherEntries?: () => WorkerEntry[]
  }) {
    this._timers = timers
    this._networkTimers = networkTimers
    this._workers = workers
    this._otherEntries = otherEntries
  }

  async list (timeoutMs: number): Promise<Result<DirectoryReading, CallError>> {
    if (this.directoryDown) {
      await delay(this._timers, timeoutMs)
      return Result.err(new CallTimeoutError(timeoutMs, { step: 'list', peer: 'directory', effect: EFFECTS.none }))
    }
    await delay(this._timers, 2)
    const reading: DirectoryReading = { workers: [], heartbeats: new Map() }
    for (const { listing, faults } of this._workers()) {
      if (!listing) continue
      reading.heartbeats.set(listing.entry.id, faults.entryOverwritten ? undefined : listing.heartbeat)
      if (!faults.entryOverwritten) reading.workers.push(listing.entry)
    }
    for (const entry of this._otherEntries()) {
      reading.heartbeats.set(entry.id, 1)
      reading.workers = [...reading.workers.filter(({ id }) => id !== entry.id), entry]
    }
    return Result.ok(reading)
  }

  extendLease (
    entry: WorkerEntry, extension: LeaseExtension, timeoutMs: number
  ): Promise<Result<LeaseReport | { refusal: StartRefusal }, CallError>> {
    return this._call(entry, 'extendLease', timeoutMs, worker => worker.extend(extension))
  }

  start (entry: WorkerEntry, start: RunStart, timeoutMs: number): Promise<Result<OrderAnswer, CallError>> {
    return this._sendOrder(entry, 'start', timeoutMs, worker => worker.start(start))
  }

  stop (
    entry: WorkerEntry, order: { epoch: number, task: string, attempt: number }, timeoutMs: number
  ): Promise<Result<OrderAnswer, CallError>> {
    return this._sendOrder(entry, 'stop', timeoutMs, worker => worker.stop(order))
  }

  pace (entry: WorkerEntry, _order: object, timeoutMs: number): Promise<Result<OrderAnswer, CallError>> {
    return this._sendOrder(entry, 'pace', timeoutMs, () => undefined)
  }

  private _sendOrder (
    entry: WorkerEntry, step: string, timeoutMs: number, carryOut: (worker: LeasedWorker) => StartRefusal | undefined
  ): Promise<Result<OrderAnswer, CallError>> {
    return this._call(entry, step, timeoutMs, async worker => {
      const refusal = carryOut(worker)
      return { clockMs: worker.clockMs, refusal }
    }, { order: true })
  }

  private async _call<T> (
    entry: WorkerEntry, step: string, timeoutMs: number, fn: (worker: LeasedWorker) => Promise<T>, { order = false } = {}
  ): Promise<Result<T, CallError>> {
    const worker = this._workers().find(({ entry: { id } }) => id === entry.id)
    const details = { step, peer: entry.address, effect: EFFECTS.unknown }
    const timedOut = async (): Promise<Result<T, CallError>> => {
      await delay(this._timers, timeoutMs)
      return Result.err(new CallTimeoutError(timeoutMs, details))
    }
    if (!worker && this._workers().some(({ entry: { address }, faults }) => address === entry.address && !faults.unreachable)) {
      await delay(this._timers, 2)
      return Result.ok({ refusal: START_REFUSALS.otherIncarnation } as T)
    }
    const refuseAfterMs = (order ? worker?.faults.refuseOrdersAfterMs : undefined) ?? (worker?.faults.refusesConnections ? 1 : undefined)
    if (refuseAfterMs !== undefined) {
      await delay(this._timers, refuseAfterMs)
      return Result.err(new CallError(`connect ECONNREFUSED ${entry.address}`, { ...details, effect: EFFECTS.none }))
    }
    if (!worker || worker.faults.unreachable || this.disconnected || this.unreachableWorkers.has(entry.id)) return timedOut()
    const delayMs = order ? worker.faults.orderDelayMs : worker.faults.extensionDelayMs
    if (delayMs > 0) {
      // The call reaches the incarnation that has the id when the delay is over, which may be a later one, or none.
      this._networkTimers.after(delayMs, () => {
        const receiver = this._workers().find(({ entry: { id } }) => id === entry.id) ?? worker
        if (!receiver.faults.refusesConnections) fn(receiver)
      })
      return timedOut()
    }
    await delay(this._timers, 1)
    if (order && (worker.faults.breaksOrders || worker.faults.refusesConnections)) return Result.err(new CallError('other side closed', details))
    const { answerDelayMs, loseAnswers, loseEveryNthAnswer } = worker.faults
    const answerLost = (order && loseAnswers) || (loseEveryNthAnswer > 0 && ++this._callCount % loseEveryNthAnswer === 0)
    const value = await fn(worker)
    if (worker.faults.refusesConnections) return Result.err(new CallError('other side closed', details))
    if (answerLost || worker.faults.unreachable || this.disconnected) return timedOut()
    await delay(this._timers, order ? answerDelayMs : 1)
    return Result.ok(value)
  }
}
