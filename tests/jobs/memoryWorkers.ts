/**
 * Workers in memory that record all runs, for tests of jobs.
 *
 * @module
 */

import Result from 'true-myth/result'
import { CallError, CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'
import type { Capacity, VmRecord } from 'pomelofold/protocol/vms'
import type { TaskStart, TaskStartAnswer, WorkerReport, WorkerTask } from 'pomelofold/protocol/worker'
import { delay, type Timers } from 'pomelofold/seams/timers'
import type { TaskCommand, UpstreamClient } from 'pomelofold/seams/upstreamClient'

/** Time from the start of a crashing task to the crash, and from there until the worker is back, in milliseconds. */
const CRASH_DELAY_MS = 20
const CRASH_DOWNTIME_MS = 3_000

/** One run of a task at a worker. */
export interface RunRecord {
  task: string
  worker: string
  /** Time at which the placer sent the start. */
  sentMs: number
  fromMs: number
  toMs: number
  end?: WorkerTask['state']
  /** Time at which the end was acknowledged. */
  acknowledgedMs?: number
  /** Checkpoint from which it resumed. */
  checkpoint?: string
}

/** A task in a worker's list. */
interface WorkerTaskEntry {
  start: TaskStart
  run: RunRecord
  leaseEndMs: number
  state: WorkerTask['state']
  checkpoint?: string
  throttled: boolean
  /** Version of the list at its last change. */
  version: number
}

/** A worker. A test may change its faults at any time. */
export class MemoryWorker {
  readonly faults = { cut: false, loseAnswers: false, failTasks: false, refuse: false, startDelayMs: 0, down: false }
  /** Names of tasks that crash the worker soon after their start. */
  readonly crashingTasks = new Set<string>()
  crashes = 0
  /** Usage of each task divided by its declared size. */
  usageFactor = 1
  readonly tasks = new Map<string, WorkerTaskEntry>()
  readonly commands: string[] = []
  /** Most cores declared by running tasks at the same time. The worker itself does not limit what it starts. */
  peakCpus = 0
  epoch = 0
  private readonly _timers: Timers
  private readonly _runs: RunRecord[]
  private _version = 0
  private _restarts = 0

  constructor (readonly vm: VmRecord, { timers, runs }: { timers: Timers, runs: RunRecord[] }) {
    this._timers = timers
    this._runs = runs
    timers.every(500, () => this._expire())
  }

  start (start: TaskStart, sentMs: number): TaskStartAnswer {
    const { taskId } = start
    if (this.faults.refuse) return { taskId, started: false, reason: 'refused by the test' }
    const used = [...this.tasks.values()].reduce((sum, task) => sum + (task.state === 'running' ? task.start.size.cpus : 0), 0)
    this.peakCpus = Math.max(this.peakCpus, used + start.size.cpus)
    const now = this._timers.now()
    const run: RunRecord = { task: taskId.slice(0, taskId.lastIndexOf(':')), worker: this.vm.name, sentMs, fromMs: now, toMs: Infinity, checkpoint: start.checkpoint }
    const task: WorkerTaskEntry = { start, run, leaseEndMs: now + start.leaseMs, state: 'running', throttled: false, version: ++this._version }
    this._runs.push(run)
    this.tasks.set(taskId, task)
    if (this.crashingTasks.has(run.task)) this._timers.after(CRASH_DELAY_MS, () => { if (task.state === 'running') this.crash() })
    if (this.faults.failTasks) this._timers.after(10, () => this._end(task, 'failed'))
    else if (start.runMs > 0) this._timers.after(start.runMs, () => this._end(task, 'finished'))
    return { taskId, started: true }
  }

  renew (leaseMs: number, acknowledged: string[], since?: string): WorkerReport {
    this._expire()
    const now = this._timers.now()
    for (const taskId of acknowledged) this._forget(taskId, now)
    for (const task of this.tasks.values()) task.leaseEndMs = now + leaseMs
    const [restarts, version] = since?.split('.').map(Number) ?? []
    const known = restarts === this._restarts
    const tasks = [...this.tasks.values()].filter(task => !known || task.version > version).map(task => this._list(task, now))
    const listVersion = `${this._restarts}.${this._version}`
    return { epoch: this.epoch, capacity: this.vm.capacity!, tasks, listVersion, since: known ? since : undefined }
  }

  command (taskId: string, command: TaskCommand): void {
    const task = this.tasks.get(taskId)
    this.commands.push(`${command} ${taskId.slice(0, taskId.lastIndexOf(':'))}`)
    if (task?.state !== 'running') return
    task.version = ++this._version
    if (command === 'checkpoint') task.checkpoint = `at ${this._timers.now()}`
    if (command === 'throttle') task.throttled = true
    if (command === 'stop') this._end(task, 'stopped')
  }

  /** Ends the process with its tasks. It refuses connections until it is back. */
  crash (): void {
    this.crashes++
    this.reset()
    this.faults.down = true
    this._timers.after(CRASH_DOWNTIME_MS, () => { this.faults.down = false })
  }

  /** Restarts the VM without its tasks. */
  reset (): void {
    for (const task of this.tasks.values()) this._end(task, 'stopped')
    this.tasks.clear()
    this._restarts++
  }

  private _forget (taskId: string, now: number): void {
    const task = this.tasks.get(taskId)
    if (!task || task.state === 'running') return
    task.run.acknowledgedMs = now
    this.tasks.delete(taskId)
  }

  private _list ({ start, run, state, checkpoint, throttled }: WorkerTaskEntry, now: number): WorkerTask {
    const factor = throttled ? Math.min(1, this.usageFactor) : this.usageFactor
    const { cpus, memoryMb, accelerators } = start.size
    const usage: Capacity = { cpus: cpus * factor, memoryMb: memoryMb * factor, accelerators }
    return { taskId: start.taskId, state, size: start.size, usage, ranMs: Math.min(now, run.toMs) - run.fromMs, checkpoint }
  }

  private _expire (): void {
    for (const task of this.tasks.values()) {
      if (task.state === 'running' && task.leaseEndMs <= this._timers.now()) this._end(task, 'stopped')
    }
  }

  private _end (task: WorkerTaskEntry, state: WorkerTask['state']): void {
    if (task.state !== 'running') return
    task.state = state
    task.version = ++this._version
    task.run.toMs = this._timers.now()
    task.run.end = state
  }
}

/** Calls to {@link MemoryWorker}s by address. */
export class MemoryUpstream implements UpstreamClient {
  readonly workers = new Map<string, MemoryWorker>()
  readonly calls = { starts: 0, started: 0, renewals: 0, probes: 0, commands: 0, bytes: 0 }
  private readonly _timers: Timers

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  async startTasks (address: string, epoch: number, starts: TaskStart[], timeoutMs: number):
  Promise<Result<TaskStartAnswer[], CallError>> {
    const sentMs = this._timers.now()
    if (starts.length > 0) this.calls.starts++
    else this.calls.probes++
    this.calls.started += starts.length
    const extraMs = starts.length > 0 ? this.workers.get(address)?.faults.startDelayMs : 0
    return await this._call(address, epoch, timeoutMs, worker => starts.map(start => worker.start(start, sentMs)), extraMs)
  }

  async renew (address: string, epoch: number, leaseMs: number, acknowledged: string[], timeoutMs: number, since?: string):
  Promise<Result<WorkerReport, CallError>> {
    this.calls.renewals++
    const answer = await this._call(address, epoch, timeoutMs, worker => worker.renew(leaseMs, acknowledged, since))
    this.calls.bytes += JSON.stringify({ epoch, leaseMs, acknowledged, since }).length
    this.calls.bytes += JSON.stringify(answer.unwrapOr(null as never)).length
    return answer
  }

  async command (address: string, epoch: number, taskId: string, command: TaskCommand, timeoutMs: number):
  Promise<Result<void, CallError>> {
    this.calls.commands++
    return await this._call(address, epoch, timeoutMs, worker => worker.command(taskId, command))
  }

  request (): never { throw new Error('no service instances here') }
  instanceStatus (): never { throw new Error('no service instances here') }
  async close (): Promise<void> {}

  private async _call<T> (address: string, epoch: number, timeoutMs: number, act: (worker: MemoryWorker) => T, extraMs = 0):
  Promise<Result<T, CallError>> {
    const worker = this.workers.get(address)
    const details = { step: 'upstream', peer: address, effect: EFFECTS.unknown }
    const late = extraMs >= timeoutMs
    if (late) this._timers.after(extraMs, () => { if (worker && this._admits(worker, epoch)) act(worker) })
    if (late || !worker || worker.faults.cut) {
      await delay(this._timers, timeoutMs)
      return Result.err(new CallTimeoutError(timeoutMs, details))
    }
    await delay(this._timers, 1 + extraMs)
    if (worker.faults.down) return Result.err(new CallError(`connect ECONNREFUSED ${address}`, { ...details, effect: EFFECTS.none }))
    if (!this._admits(worker, epoch)) return Result.err(new CallError('epoch is too old', { ...details, effect: EFFECTS.none }))
    const value = act(worker)
    if (!worker.faults.loseAnswers) return Result.ok(value)
    await delay(this._timers, timeoutMs)
    return Result.err(new CallTimeoutError(timeoutMs, details))
  }

  private _admits (worker: MemoryWorker, epoch: number): boolean {
    if (epoch < worker.epoch) return false
    worker.epoch = epoch
    return true
  }
}
