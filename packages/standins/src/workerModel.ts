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
import { countTimes, type TaskRun, type WorkerRecord } from './records.js'

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
export interface StaleEpoch {
  epoch: number
}

type EndState = NonNullable<TaskRun['end']>

interface HeldTask {
  start: TaskStart
  state: WorkerTask['state']
  run: TaskRun
  startedMs: number
  endedMs?: number
  /** Work left, in milliseconds at speed 1; infinite for a task that runs until stopped. */
  leftMs: number
  /** Moment of the last change of `leftMs`. */
  countedMs: number
  rate: number
  checkpoint?: string
  /** Version of the list in which the task last changed. */
  changedIn: number
  usageListed: boolean
  lease?: TimerSubscription
  completion?: TimerSubscription
}

/** Delay between looks at whether a waiting call may go on, in milliseconds. */
const HANG_CHECK_MS = 10

/** Time from the start of a task until it fails, under the fault `failTasks`, in milliseconds. */
const FAIL_AFTER_MS = 50

/** Parts of a core or MB to which sums are rounded. */
const ROUNDED_PARTS = 1_000_000

/** Factor on the speed of a throttled task. */
const THROTTLE_FACTOR = 0.5

/** A worker. It does not refuse tasks beyond its capacity; it records them. */
export class WorkerModel {
  readonly faults: WorkerFaults = { failTasks: false, hang: false, dropAnswers: false }
  private readonly _timers: Timers
  private readonly _random: RandomSource
  private readonly _options: Required<Omit<WorkerModelOptions, 'timers' | 'random'>>
  private readonly _tasks = new Map<string, HeldTask>()
  private readonly _runs: TaskRun[] = []
  private readonly _refused: WorkerRecord['refusedStarts'] = []
  private readonly _listId: string
  private _version = 0
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
  async ready (): Promise<void> {
    while (this.faults.hang) await delay(this._timers, HANG_CHECK_MS)
  }

  /** Starts tasks. A task id that is still listed is refused. */
  start (epoch: number, starts: TaskStart[]): Result<TaskStartAnswer[], StaleEpoch> {
    if (!this._acceptEpoch(epoch)) {
      for (const { taskId } of starts) this._refuse(taskId, epoch, `epoch ${epoch} is older than ${this._epoch}`)
      return Result.err({ epoch: this._epoch })
    }
    return Result.ok(starts.map(start => this._startOne(epoch, start)))
  }

  /** Renews the leases of all running tasks, drops acknowledged ones, and lists the rest, or what has changed since an earlier list. */
  renew (epoch: number, leaseMs: number, acknowledged: string[], since?: string): Result<WorkerReport, StaleEpoch> {
    if (!this._acceptEpoch(epoch)) return Result.err({ epoch: this._epoch })
    for (const taskId of acknowledged) {
      if (this._tasks.get(taskId)?.endedMs !== undefined) this._tasks.delete(taskId)
    }
    for (const task of this._runningTasks()) this._armLease(task, leaseMs)
    this._noteUsage()
    const [listId, version] = since?.split('/') ?? []
    const known = listId === this._listId ? Number(version) : undefined
    const tasks = [...this._tasks.values()].filter(task => task.changedIn > (known ?? -1)).map(task => this._listed(task))
    const listVersion = `${this._listId}/${this._version}`
    const { capacity } = this._options
    return Result.ok({ epoch: this._epoch, capacity, tasks, listVersion, since: known === undefined ? undefined : since })
  }

  /** Applies a command to a task. False when no such task runs. */
  command (epoch: number, taskId: string, command: TaskCommand): Result<boolean, StaleEpoch> {
    if (!this._acceptEpoch(epoch)) return Result.err({ epoch: this._epoch })
    const task = this._tasks.get(taskId)
    if (task?.state !== WORKER_TASK_STATES.running) return Result.ok(false)
    this._commands[command](task)
    return Result.ok(true)
  }

  /** The VM is lost: every task ends now. */
  lose (): void {
    for (const task of this._runningTasks()) this._end(task, WORKER_TASK_STATES.stopped, 'the VM was lost')
  }

  /** Stops all timers. Tasks stay as they are. */
  close (): void {
    for (const task of this._tasks.values()) {
      task.lease?.cancel()
      task.completion?.cancel()
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
      timesRun: countTimes(this._runs.map(run => run.taskId)),
      runs: this._runs,
      refusedStarts: this._refused
    }
  }

  private readonly _commands: Record<TaskCommand, (task: HeldTask) => void> = {
    stop: task => this._end(task, WORKER_TASK_STATES.stopped, 'stopped by command'),
    checkpoint: task => {
      this._countWork(task)
      task.checkpoint = String(Math.round(task.leftMs))
      task.changedIn = ++this._version
    },
    throttle: task => {
      this._countWork(task)
      task.rate = this._options.speed * THROTTLE_FACTOR
      this._armCompletion(task)
    }
  }

  private _acceptEpoch (epoch: number): boolean {
    if (epoch < this._epoch) return false
    this._epoch = epoch
    return true
  }

  private _refuse (taskId: string, epoch: number, reason: string): TaskStartAnswer {
    this._refused.push({ taskId, epoch, reason, atMs: this._timers.wallClock() })
    return { taskId, started: false, reason }
  }

  private _startOne (epoch: number, start: TaskStart): TaskStartAnswer {
    const { taskId, size, runMs } = start
    const listed = this._tasks.get(taskId)
    if (listed) return this._refuse(taskId, epoch, `the task was already started here and is ${listed.state}`)
    const run: TaskRun = { taskId, epoch, size, usage: this._drawUsage(size), startMs: this._timers.wallClock() }
    const nowMs = this._timers.now()
    const leftMs = runMs === 0 ? Infinity : Number(start.checkpoint ?? runMs)
    const task: HeldTask = {
      start,
      state: WORKER_TASK_STATES.running,
      run,
      startedMs: nowMs,
      leftMs,
      countedMs: nowMs,
      rate: this._options.speed,
      checkpoint: start.checkpoint,
      changedIn: ++this._version,
      usageListed: false
    }
    this._tasks.set(taskId, task)
    this._runs.push(run)
    this._notePeaks()
    this._armLease(task, start.leaseMs)
    this._armCompletion(task)
    return { taskId, started: true }
  }

  private _runningTasks (): HeldTask[] {
    return [...this._tasks.values()].filter(task => task.state === WORKER_TASK_STATES.running)
  }

  private _armLease (task: HeldTask, leaseMs: number): void {
    task.lease?.cancel()
    task.lease = this._timers.after(leaseMs, () => this._end(task, WORKER_TASK_STATES.stopped, 'the lease ended'))
  }

  private _armCompletion (task: HeldTask): void {
    task.completion?.cancel()
    if (this.faults.failTasks) {
      task.completion = this._timers.after(FAIL_AFTER_MS, () => this._end(task, WORKER_TASK_STATES.failed, 'the worker is faulty'))
    } else if (Number.isFinite(task.leftMs)) {
      task.completion = this._timers.after(task.leftMs / task.rate, () => this._end(task, WORKER_TASK_STATES.finished))
    }
  }

  private _countWork (task: HeldTask): void {
    const nowMs = this._timers.now()
    task.leftMs = Math.max(0, task.leftMs - (nowMs - task.countedMs) * task.rate)
    task.countedMs = nowMs
  }

  private _end (task: HeldTask, state: EndState, reason?: string): void {
    if (task.state !== WORKER_TASK_STATES.running) return
    task.lease?.cancel()
    task.completion?.cancel()
    task.state = state
    task.endedMs = this._timers.now()
    task.changedIn = ++this._version
    Object.assign(task.run, { end: state, endMs: this._timers.wallClock(), reason })
  }

  /** Usage that has become known changes a task's entry. */
  private _noteUsage (): void {
    for (const task of this._tasks.values()) {
      if (task.usageListed || this._listed(task).usage === undefined) continue
      task.usageListed = true
      task.changedIn = ++this._version
    }
  }

  private _listed ({ start, state, run, startedMs, endedMs, checkpoint }: HeldTask): WorkerTask {
    const ranMs = (endedMs ?? this._timers.now()) - startedMs
    const usage = ranMs >= this._options.usageLagMs ? run.usage : undefined
    return { taskId: start.taskId, state, size: start.size, usage, ranMs, reason: run.reason, checkpoint }
  }

  private _drawUsage (size: Capacity): Capacity {
    const [least, largest] = this._options.usageFactor
    const factor = (): number => least + (largest - least) * this._random.next()
    return { cpus: size.cpus * factor(), memoryMb: size.memoryMb * factor(), accelerators: size.accelerators }
  }

  private _notePeaks (): void {
    const running = this._runningTasks()
    const declared = sum(running.map(task => task.start.size))
    this._peakDeclared = largest(this._peakDeclared, declared)
    this._peakUsage = largest(this._peakUsage, sum(running.map(task => task.run.usage)))
    const { cpus, memoryMb, accelerators } = this._options.capacity
    if (declared.cpus > cpus || declared.memoryMb > memoryMb || declared.accelerators > accelerators) this._overfilledStarts++
  }
}

/** Sum of sizes, rounded so that errors of floating-point addition do not show as an overfilled worker. */
function sum (sizes: Capacity[]): Capacity {
  const total = (kind: keyof Capacity): number => {
    const exact = sizes.reduce((subtotal, size) => subtotal + size[kind], 0)
    return Math.round(exact * ROUNDED_PARTS) / ROUNDED_PARTS
  }
  return { cpus: total('cpus'), memoryMb: total('memoryMb'), accelerators: total('accelerators') }
}

function largest (a: Capacity, b: Capacity): Capacity {
  return {
    cpus: Math.max(a.cpus, b.cpus),
    memoryMb: Math.max(a.memoryMb, b.memoryMb),
    accelerators: Math.max(a.accelerators, b.accelerators)
  }
}
