/**
 * Model of a worker: tasks under leases, fenced by epoch, with lagging usage reports and faults.
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

/** Faults of a worker. Each may be changed at any moment. */
export interface WorkerFaults {
  /** Every task that starts fails soon after. */
  failTasks: boolean
  /** Calls wait, unprocessed, until this is switched off. Tasks run on. */
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
  /** Work done in a millisecond, relative to an ordinary VM. */
  speed?: number
  /** Least and largest factor between the declared size and true usage of processors and memory. */
  usageFactor?: [number, number]
  /** Usage is reported this long after a task's start, in milliseconds. */
  usageLagMs?: number
}

/** A refused call: the newest epoch that the worker has seen. */
export interface StaleEpochRefusal {
  epoch: number
}

type TaskEndState = NonNullable<TaskRun['end']>

interface ModelTask {
  start: TaskStart
  state: WorkerTask['state']
  run: TaskRun
  startedMs: number
  endedMs?: number
  /** Work left, in milliseconds at speed 1; infinite for a task that runs until stopped. */
  remainingMs: number
  /** Moment of the last change of `leftMs`. */
  remainingUpdatedMs: number
  speed: number
  checkpoint?: string
  /** Version of the list in which the task last changed. */
  changedInVersion: number
  usageReported: boolean
  leaseTimer?: TimerSubscription
  completionTimer?: TimerSubscription
}

/** Delay between looks at whether a waiting call may go on, in milliseconds. */
const HANG_POLL_MS = 10

/** Time from the start of a task until it fails, under the fault `failTasks`, in milliseconds. */
const TASK_FAILURE_DELAY_MS = 50

/** Parts of a core or MB to which sums are rounded. */
const ROUNDING_PARTS_PER_UNIT = 1_000_000

/** Factor on the speed of a throttled task. */
const THROTTLE_FACTOR = 0.5

/** A worker. It does not refuse tasks beyond its capacity; it records them. */
export class WorkerModel {
  readonly faults: WorkerFaults = { failTasks: false, hang: false, dropAnswers: false }
  private readonly _timers: Timers
  private readonly _random: RandomSource
  private readonly _options: Required<Omit<WorkerModelOptions, 'timers' | 'random'>>
  private readonly _tasks = new Map<string, ModelTask>()
  private readonly _runs: TaskRun[] = []
  private readonly _refusedStarts: WorkerRecord['refusedStarts'] = []
  private readonly _listId: string
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

  /** Resolves when calls are processed: at once, or at the end of the fault `hang`. */
  async waitWhileHanging (): Promise<void> {
    while (this.faults.hang) await delay(this._timers, HANG_POLL_MS)
  }

  /** Starts tasks. A task id that is still listed is refused. */
  start (epoch: number, starts: TaskStart[]): Result<TaskStartAnswer[], StaleEpochRefusal> {
    if (!this._acceptEpoch(epoch)) {
      for (const { taskId } of starts) this._refuseStart(taskId, epoch, `epoch ${epoch} is older than ${this._epoch}`)
      return Result.err({ epoch: this._epoch })
    }
    return Result.ok(starts.map(start => this._startTask(epoch, start)))
  }

  /** Renews the leases of all running tasks, drops acknowledged ones, and lists the rest, or what has changed since an earlier list. */
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

  /** Applies a command to a task. False when no such task runs. */
  command (epoch: number, taskId: string, command: TaskCommand): Result<boolean, StaleEpochRefusal> {
    if (!this._acceptEpoch(epoch)) return Result.err({ epoch: this._epoch })
    const task = this._tasks.get(taskId)
    if (task?.state !== WORKER_TASK_STATES.running) return Result.ok(false)
    this._commands[command](task)
    return Result.ok(true)
  }

  /** The VM is lost: every task ends now. */
  crash (): void {
    for (const task of this._runningTasks()) this._endTask(task, WORKER_TASK_STATES.stopped, 'the VM was lost')
  }

  /** Stops all timers. Tasks stay as they are. */
  close (): void {
    for (const task of this._tasks.values()) {
      task.leaseTimer?.cancel()
      task.completionTimer?.cancel()
    }
  }

  /** What ran so far. */
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

  private _acceptEpoch (epoch: number): boolean {
    if (epoch < this._epoch) return false
    this._epoch = epoch
    return true
  }

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
    task.leaseTimer = this._timers.after(leaseMs, () => this._endTask(task, WORKER_TASK_STATES.stopped, 'the lease ended'))
  }

  private _restartCompletionTimer (task: ModelTask): void {
    task.completionTimer?.cancel()
    if (this.faults.failTasks) {
      task.completionTimer = this._timers.after(TASK_FAILURE_DELAY_MS, () => this._endTask(task, WORKER_TASK_STATES.failed, 'the worker is faulty'))
    } else if (Number.isFinite(task.remainingMs)) {
      task.completionTimer = this._timers.after(task.remainingMs / task.speed, () => this._endTask(task, WORKER_TASK_STATES.finished))
    }
  }

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

  /** Usage that has become known changes a task's entry. */
  private _reportKnownUsage (): void {
    for (const task of this._tasks.values()) {
      if (task.usageReported || this._listEntry(task).usage === undefined) continue
      task.usageReported = true
      task.changedInVersion = ++this._listVersion
    }
  }

  private _listEntry ({ start, state, run, startedMs, endedMs, checkpoint }: ModelTask): WorkerTask {
    const ranMs = (endedMs ?? this._timers.now()) - startedMs
    const usage = ranMs >= this._options.usageLagMs ? run.usage : undefined
    return { taskId: start.taskId, state, size: start.size, usage, ranMs, reason: run.reason, checkpoint }
  }

  private _randomUsage (size: Capacity): Capacity {
    const [least, largest] = this._options.usageFactor
    const factor = (): number => least + (largest - least) * this._random.next()
    return { cpus: size.cpus * factor(), memoryMb: size.memoryMb * factor(), accelerators: size.accelerators }
  }

  private _updatePeaks (): void {
    const running = this._runningTasks()
    const declared = sumCapacities(running.map(task => task.start.size))
    this._peakDeclared = largestOfEach(this._peakDeclared, declared)
    this._peakUsage = largestOfEach(this._peakUsage, sumCapacities(running.map(task => task.run.usage)))
    const { cpus, memoryMb, accelerators } = this._options.capacity
    if (declared.cpus > cpus || declared.memoryMb > memoryMb || declared.accelerators > accelerators) this._overfilledStarts++
  }
}

/** Sum of sizes, rounded so that errors of floating-point addition do not show as an overfilled worker. */
function sumCapacities (sizes: Capacity[]): Capacity {
  const total = (kind: keyof Capacity): number => {
    const exact = sizes.reduce((subtotal, size) => subtotal + size[kind], 0)
    return Math.round(exact * ROUNDING_PARTS_PER_UNIT) / ROUNDING_PARTS_PER_UNIT
  }
  return { cpus: total('cpus'), memoryMb: total('memoryMb'), accelerators: total('accelerators') }
}

function largestOfEach (a: Capacity, b: Capacity): Capacity {
  return {
    cpus: Math.max(a.cpus, b.cpus),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators)
  }
}
