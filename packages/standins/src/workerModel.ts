/**
 * Model of a worker: it runs tasks under leases, refuses calls of older epochs, reports usage after a lag
 * and has injected faults.
 *
 * @module
 */

import Result from 'true-myth/result'
import type { Capacity } from 'pomelofold/protocol/vms'
import { WORKER_TASK_STATES, type TaskStart, type TaskStartAnswer, type WorkerReport, type WorkerTask } from 'pomelofold/protocol/worker'
import type { RandomSource } from 'pomelofold/seams/randomSource'
import { delay, type Timers, type TimerSubscription } from 'pomelofold/seams/timers'
import type { TaskCommand } from 'pomelofold/seams/upstreamClient'
import { countOccurrences, type TaskRun, type WorkerRecord } from './runRecords.js'

/** Injected faults of a worker. They may be changed at any time. */
export interface WorkerFaults {
  /** Every task that starts fails 50 ms later. */
  failTasks: boolean
  /** Calls wait and are processed when this is switched off. Tasks continue to run. */
  hang: boolean
  /** Calls take effect, but their answers are lost. */
  dropAnswers: boolean
}

/** Options of a {@link WorkerModel}. */
export interface WorkerModelOptions {
  timers: Timers
  random: RandomSource
  vm?: string
  rack?: string
  capacity?: Capacity
  /** Speed relative to a standard VM. */
  speed?: number
  /** Minimum and maximum ratio of actual usage to declared size, for processors and memory. */
  usageFactor?: [number, number]
  /** Time from a task's start until its usage is reported, in milliseconds. */
  usageLagMs?: number
}

/** Refusal of a call whose epoch is older than the newest that the worker has seen. */
export interface StaleEpochRefusal {
  /** Newest epoch that the worker has seen. */
  epoch: number
}

type TaskEndState = NonNullable<TaskRun['end']>

/** A running task, or an ended one that is not acknowledged yet. */
interface ModelTask {
  start: TaskStart
  state: WorkerTask['state']
  run: TaskRun
  startedMs: number
  endedMs?: number
  /** Remaining work, in milliseconds at speed 1; infinite for a task that runs until it is stopped. */
  remainingMs: number
  /** Time at which `remainingMs` was last updated. */
  remainingUpdatedMs: number
  /** Work done in a millisecond; lower than the worker's speed when throttled. */
  speed: number
  checkpoint?: string
  /** Version of the task list in which this task last changed. */
  changedInVersion: number
  /** True once the lag is over and the list shows the usage. */
  usageReported: boolean
  leaseTimer?: TimerSubscription
  completionTimer?: TimerSubscription
}

/** Interval at which a waiting call checks whether the fault `hang` is still on, in milliseconds. */
const HANG_POLL_MS = 10

/** Time from the start of a task until it fails while the fault `failTasks` is on, in milliseconds. */
const TASK_FAILURE_DELAY_MS = 50

/** Sums of sizes are rounded to multiples of 1 / this number of a core, MB or accelerator. */
const ROUNDING_PARTS_PER_UNIT = 1_000_000

/** Factor by which the speed of a throttled task is multiplied. */
const THROTTLE_FACTOR = 0.5

/**
 * In-memory worker. It accepts tasks beyond its capacity and records them, so that tests can detect a scheduler that
 * places too many tasks.
 */
export class WorkerModel {
  readonly faults: WorkerFaults = { failTasks: false, hang: false, dropAnswers: false }
  private readonly _timers: Timers
  private readonly _random: RandomSource
  private readonly _options: Required<Omit<WorkerModelOptions, 'timers' | 'random'>>
  private readonly _tasks = new Map<string, ModelTask>()
  private readonly _runs: TaskRun[] = []
  private readonly _refusedStarts: WorkerRecord['refusedStarts'] = []
  /** Distinguishes the list of this process from those of earlier ones. */
  private readonly _listId: string
  /** Number of changes of the list. */
  private _listVersion = 0
  private _epoch = 0
  private _overfilledStarts = 0
  private _peakDeclared: Capacity = { cpus: 0, memoryMb: 0, accelerators: 0 }
  private _peakUsage: Capacity = { cpus: 0, memoryMb: 0, accelerators: 0 }

  constructor ({
    timers,
    random,
    vm = 'worker',
    rack = 'rack',
    capacity = { cpus: 64, memoryMb: 128_000, accelerators: 0 },
    speed = 1,
    usageFactor = [1, 1],
    usageLagMs = 5_000
  }: WorkerModelOptions) {
    this._timers = timers
    this._random = random
    this._listId = String(timers.wallClock())
    this._options = { vm, rack, capacity, speed, usageFactor, usageLagMs }
  }

  /** Resolves when calls may be processed: at once, or when the fault `hang` is switched off. */
  async waitWhileHanging (): Promise<void> {
    while (this.faults.hang) await delay(this._timers, HANG_POLL_MS)
  }

  /** Starts tasks. A task that is still listed, running or not acknowledged, is refused. */
  start (epoch: number, starts: TaskStart[]): Result<TaskStartAnswer[], StaleEpochRefusal> {
    if (!this._acceptEpoch(epoch)) {
      for (const { taskId } of starts) this._refuseStart(taskId, epoch, `epoch ${epoch} is older than ${this._epoch}`)
      return Result.err({ epoch: this._epoch })
    }
    return Result.ok(starts.map(start => this._startTask(epoch, start)))
  }

  /**
   * Renews the leases of all running tasks, removes acknowledged ones, and lists all others. With `since`, a version of
   * this process's list, only those that have changed since then.
   */
  renew (epoch: number, leaseMs: number, acknowledged: string[], since?: string): Result<WorkerReport, StaleEpochRefusal> {
    if (!this._acceptEpoch(epoch)) return Result.err({ epoch: this._epoch })
    for (const taskId of acknowledged) {
      if (this._tasks.get(taskId)?.endedMs !== undefined) this._tasks.delete(taskId)
    }
    for (const task of this._runningTasks()) this._restartLeaseTimer(task, leaseMs)
    this._reportKnownUsage()
    const [listId, version] = since?.split('/') ?? []
    const knownVersion = listId === this._listId ? Number(version) : undefined
    const tasks = [...this._tasks.values()].filter(task => task.changedInVersion > (knownVersion ?? -1)).map(task => this._listEntry(task))
    const listVersion = `${this._listId}/${this._listVersion}`
    const { capacity } = this._options
    return Result.ok({ epoch: this._epoch, capacity, tasks, listVersion, since: knownVersion === undefined ? undefined : since })
  }

  /** Applies a command to a task. False when the task is not running here. */
  command (epoch: number, taskId: string, command: TaskCommand): Result<boolean, StaleEpochRefusal> {
    if (!this._acceptEpoch(epoch)) return Result.err({ epoch: this._epoch })
    const task = this._tasks.get(taskId)
    if (task?.state !== WORKER_TASK_STATES.running) return Result.ok(false)
    this._commands[command](task)
    return Result.ok(true)
  }

  /** Simulates the crash of the VM: every running task ends now. */
  crash (): void {
    for (const task of this._runningTasks()) this._endTask(task, WORKER_TASK_STATES.stopped, 'the VM crashed')
  }

  /** Cancels all timers. Tasks keep their state. */
  close (): void {
    for (const task of this._tasks.values()) {
      task.leaseTimer?.cancel()
      task.completionTimer?.cancel()
    }
  }

  /** Returns the record of all tasks that have started, and of refused starts. */
  record (): WorkerRecord {
    const { vm, rack, capacity } = this._options
    return {
      vm,
      rack,
      epoch: this._epoch,
      capacity,
      peakDeclared: this._peakDeclared,
      peakUsage: this._peakUsage,
      overfilledStarts: this._overfilledStarts,
      timesRun: countOccurrences(this._runs.map(run => run.taskId)),
      runs: this._runs,
      refusedStarts: this._refusedStarts
    }
  }

  private readonly _commands: Record<TaskCommand, (task: ModelTask) => void> = {
    stop: task => this._endTask(task, WORKER_TASK_STATES.stopped, 'stopped by command'),
    checkpoint: task => {
      this._updateRemainingWork(task)
      task.checkpoint = String(Math.round(task.remainingMs))
      task.changedInVersion = ++this._listVersion
    },
    throttle: task => {
      this._updateRemainingWork(task)
      task.speed = this._options.speed * THROTTLE_FACTOR
      this._restartCompletionTimer(task)
    }
  }

  /** Returns false for an epoch older than the newest seen; otherwise stores it as the newest. */
  private _acceptEpoch (epoch: number): boolean {
    if (epoch < this._epoch) return false
    this._epoch = epoch
    return true
  }

  /** Records a refused start and returns the answer to it. */
  private _refuseStart (taskId: string, epoch: number, reason: string): TaskStartAnswer {
    this._refusedStarts.push({ taskId, epoch, reason, atMs: this._timers.wallClock() })
    return { taskId, started: false, reason }
  }

  private _startTask (epoch: number, start: TaskStart): TaskStartAnswer {
    const { taskId, size, runMs } = start
    const listed = this._tasks.get(taskId)
    if (listed) return this._refuseStart(taskId, epoch, `the task was already started here and is ${listed.state}`)
    const run: TaskRun = { taskId, epoch, size, usage: this._randomUsage(size), startMs: this._timers.wallClock() }
    const nowMs = this._timers.now()
    const remainingMs = runMs === 0 ? Infinity : Number(start.checkpoint ?? runMs)
    const task: ModelTask = {
      start,
      state: WORKER_TASK_STATES.running,
      run,
      startedMs: nowMs,
      remainingMs,
      remainingUpdatedMs: nowMs,
      speed: this._options.speed,
      checkpoint: start.checkpoint,
      changedInVersion: ++this._listVersion,
      usageReported: false
    }
    this._tasks.set(taskId, task)
    this._runs.push(run)
    this._updatePeaks()
    this._restartLeaseTimer(task, start.leaseMs)
    this._restartCompletionTimer(task)
    return { taskId, started: true }
  }

  private _runningTasks (): ModelTask[] {
    return [...this._tasks.values()].filter(task => task.state === WORKER_TASK_STATES.running)
  }

  private _restartLeaseTimer (task: ModelTask, leaseMs: number): void {
    task.leaseTimer?.cancel()
    task.leaseTimer = this._timers.after(leaseMs, () => this._endTask(task, WORKER_TASK_STATES.stopped, 'the lease lapsed'))
  }

  /** Schedules the end of a task: its failure under the fault `failTasks`, else the end of its remaining work. */
  private _restartCompletionTimer (task: ModelTask): void {
    task.completionTimer?.cancel()
    if (this.faults.failTasks) {
      task.completionTimer = this._timers.after(TASK_FAILURE_DELAY_MS, () => this._endTask(task, WORKER_TASK_STATES.failed, 'the fault failTasks is on'))
    } else if (Number.isFinite(task.remainingMs)) {
      task.completionTimer = this._timers.after(task.remainingMs / task.speed, () => this._endTask(task, WORKER_TASK_STATES.finished))
    }
  }

  /** Subtracts the work done since the last update. */
  private _updateRemainingWork (task: ModelTask): void {
    const nowMs = this._timers.now()
    task.remainingMs = Math.max(0, task.remainingMs - (nowMs - task.remainingUpdatedMs) * task.speed)
    task.remainingUpdatedMs = nowMs
  }

  private _endTask (task: ModelTask, state: TaskEndState, reason?: string): void {
    if (task.state !== WORKER_TASK_STATES.running) return
    task.leaseTimer?.cancel()
    task.completionTimer?.cancel()
    task.state = state
    task.endedMs = this._timers.now()
    task.changedInVersion = ++this._listVersion
    Object.assign(task.run, { end: state, endMs: this._timers.wallClock(), reason })
  }

  /** Marks tasks whose usage lag has passed as changed, so that the next list shows their usage. */
  private _reportKnownUsage (): void {
    for (const task of this._tasks.values()) {
      if (task.usageReported || this._listEntry(task).usage === undefined) continue
      task.usageReported = true
      task.changedInVersion = ++this._listVersion
    }
  }

  /** Returns a task as the worker lists it, with its usage once the lag has passed. */
  private _listEntry ({ start, state, run, startedMs, endedMs, checkpoint }: ModelTask): WorkerTask {
    const ranMs = (endedMs ?? this._timers.now()) - startedMs
    const usage = ranMs >= this._options.usageLagMs ? run.usage : undefined
    return { taskId: start.taskId, state, size: start.size, usage, ranMs, reason: run.reason, checkpoint }
  }

  /** Draws the actual usage of a task of the declared `size`. Accelerators are always used in full. */
  private _randomUsage (size: Capacity): Capacity {
    const [least, largest] = this._options.usageFactor
    const factor = (): number => least + (largest - least) * this._random.next()
    return { cpus: size.cpus * factor(), memoryMb: size.memoryMb * factor(), accelerators: size.accelerators }
  }

  /** Updates the peaks of declared sizes and usage after a start, and counts a start that exceeds the capacity. */
  private _updatePeaks (): void {
    const running = this._runningTasks()
    const declared = sumCapacities(running.map(task => task.start.size))
    this._peakDeclared = largestOfEach(this._peakDeclared, declared)
    this._peakUsage = largestOfEach(this._peakUsage, sumCapacities(running.map(task => task.run.usage)))
    const { cpus, memoryMb, accelerators } = this._options.capacity
    if (declared.cpus > cpus || declared.memoryMb > memoryMb || declared.accelerators > accelerators) this._overfilledStarts++
  }
}

/** Sums sizes. Rounds the sums, so that floating-point errors do not count as exceeded capacity. */
function sumCapacities (sizes: Capacity[]): Capacity {
  const total = (kind: keyof Capacity): number => {
    const exact = sizes.reduce((subtotal, size) => subtotal + size[kind], 0)
    return Math.round(exact * ROUNDING_PARTS_PER_UNIT) / ROUNDING_PARTS_PER_UNIT
  }
  return { cpus: total('cpus'), memoryMb: total('memoryMb'), accelerators: total('accelerators') }
}

/** Returns the maximum of `a` and `b` for each resource separately. */
function largestOfEach (a: Capacity, b: Capacity): Capacity {
  return {
    cpus: Math.max(a.cpus, b.cpus),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators)
  }
}
