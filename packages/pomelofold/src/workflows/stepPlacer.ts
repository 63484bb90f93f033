/**
 * Selects workers for the tasks of a step.
 *
 * Load pattern: a cell near its capacity, with steps of many tasks of different sizes and workers of different
 * size and speed. Urgent tasks and tasks that use spare CPU are placed at the fast worker with the most free CPU.
 * Other tasks are placed at the fast worker with the least free CPU, which leaves undivided room for large tasks.
 *
 * @module
 */

import type { StepRuntime, Task } from './workflowRuntime.js'
import type { WorkerSession } from './workerSession.js'
import { addResources, NO_RESOURCES, type Resources } from '../protocol/workflows.js'

/** Cost of a worker on which the task has failed: higher than that of any other worker. */
const AVOIDED_WORKER_COST = 1_000_000

/** Options of {@link placeStep}. */
export interface PlaceStepOptions {
  step: StepRuntime
  tasks: Task[]
  /** Workers to which tasks of the step can be assigned now. */
  workers: WorkerSession[]
  urgent: boolean
  /** Current time, in milliseconds of the monotonic clock. */
  nowMs: number
  /** Run time on a worker relative to the fastest kind of worker; 1 for the fastest. */
  slowness: (worker: WorkerSession) => number
  /** Room on a worker that tasks of the step may use. */
  freeRoom?: (worker: WorkerSession) => Resources
}

/** A task and the worker selected for it. */
export interface Assignment {
  task: Task
  worker: WorkerSession
}

/** Room on the workers for tasks of one step, and the assignments planned so far. */
export class StepRoom {
  private readonly _step: StepRuntime
  private readonly _size: Resources
  private readonly _freeRoom: (worker: WorkerSession) => Resources
  /** Room after the planned tasks, for the workers that have some. */
  private readonly _planned = new Map<WorkerSession, Resources>()
  /** Number of runs of the step and planned tasks, by worker. Kept only for steps with a limit for one worker. */
  private readonly _taskCounts = new Map<WorkerSession, number>()

  constructor (step: StepRuntime, freeRoom = unusedRoom) {
    this._step = step
    this._size = reservedRoom(step)
    this._freeRoom = freeRoom
  }

  /** Number of further tasks of the step for which the worker has room, up to `limit`. */
  slots (worker: WorkerSession, limit: number): number {
    const { cpuMillis, memoryMb, accelerators } = this._size
    const { maxPerWorker } = this._step.spec
    const free = this.free(worker)
    let slots = maxPerWorker > 0 ? Math.min(limit, maxPerWorker - this._taskCountAt(worker)) : limit
    if (cpuMillis > 0) slots = Math.min(slots, Math.floor(free.cpuMillis / cpuMillis))
    if (memoryMb > 0) slots = Math.min(slots, Math.floor(free.memoryMb / memoryMb))
    if (accelerators > 0) slots = Math.min(slots, Math.floor(free.accelerators / accelerators))
    return Math.max(0, slots)
  }

  /** Plans one more task for the worker. */
  addTask (worker: WorkerSession): void {
    this._planned.set(worker, addResources(this.free(worker), this._size, -1))
    if (this._step.spec.maxPerWorker > 0) this._taskCounts.set(worker, this._taskCountAt(worker) + 1)
  }

  /** Room on a worker after the tasks planned so far. */
  free (worker: WorkerSession): Resources {
    return this._planned.get(worker) ?? this._freeRoom(worker)
  }

  private _taskCountAt (worker: WorkerSession): number {
    let count = this._taskCounts.get(worker)
    if (count === undefined) {
      const prefix = `${this._step.workflow.record.id}.${this._step.key}.`
      count = 0
      for (const run of worker.runs.values()) if (run.name.startsWith(prefix)) count++
      this._taskCounts.set(worker, count)
    }
    return count
  }
}

/** Room on a worker that no run uses: an object of the caller's own. */
export function unusedRoom (worker: WorkerSession): Resources {
  return worker.hasUnsizedRuns ? { ...NO_RESOURCES } : addResources(worker.entry.capacity, worker.used, -1)
}

/** True when a task of that size fits into the room. A task that needs none of a resource also fits where that is overcommitted. */
export function fitsInto (size: Resources, room: Resources): boolean {
  return (size.cpuMillis === 0 || size.cpuMillis <= room.cpuMillis) &&
    (size.memoryMb === 0 || size.memoryMb <= room.memoryMb) &&
    (size.accelerators === 0 || size.accelerators <= room.accelerators)
}

/** Room that one task of the step reserves at its worker. Tasks that use only spare CPU reserve no CPU. */
export function reservedRoom (step: StepRuntime): Resources {
  const { size, usesSpareCpu } = step.spec
  return usesSpareCpu ? { ...size, cpuMillis: 0 } : size
}

/** Assigns workers to as many tasks as there is room for. A gang is assigned completely or not at all. */
export function placeStep ({ step, tasks, workers, urgent, nowMs, slowness, freeRoom }: PlaceStepOptions): Assignment[] {
  const { gang, sameRack } = step.spec
  const groups = gang && sameRack ? [...groupByRack(workers), workers] : [workers]
  let withAvoided: Assignment[] = []
  for (const group of groups) {
    const room = new StepRoom(step, freeRoom)
    const assignments = assign({ room, step, tasks, workers: group, urgent, nowMs, slowness })
    if (!gang) return assignments
    if (assignments.length < tasks.length) continue
    if (!assignments.some(({ task, worker }) => task.avoid?.has(worker))) return assignments
    if (withAvoided.length === 0) withAvoided = assignments
  }
  return withAvoided
}

/** Options of {@link placeApart}. */
export interface PlaceApartOptions extends Omit<PlaceStepOptions, 'urgent'> {
  /** True for a worker that may crash by itself. */
  isUnstable: (worker: WorkerSession) => boolean
}

/**
 * Assigns as many tasks as possible to one worker: a stable one with few runs, so that a crash says most about the tasks
 * and harms little else.
 */
export function placeApart ({ step, tasks, workers, nowMs, slowness, freeRoom, isUnstable }: PlaceApartOptions): Assignment[] {
  const room = new StepRoom(step, freeRoom)
  const candidates = workers.filter(worker => room.slots(worker, 1) > 0 && tasks.some(task => mayPlace(task, worker, nowMs)))
  const [worker] = candidates.sort((a, b) =>
    Number(isUnstable(a)) - Number(isUnstable(b)) || a.runs.size - b.runs.size || slowness(a) - slowness(b))
  if (!worker) return []
  return tasks.filter(task => mayPlace(task, worker, nowMs)).slice(0, room.slots(worker, tasks.length)).map(task => ({ task, worker }))
}

/** False for a worker that the task excludes, or on which a run of it is. */
function mayPlace ({ avoid, run, supersededRuns }: Task, worker: WorkerSession, nowMs: number): boolean {
  return !avoid?.excludes(worker, nowMs) && run?.session !== worker && supersededRuns.every(({ session }) => session !== worker)
}

type AssignOptions = Omit<PlaceStepOptions, 'freeRoom'> & { room: StepRoom }

function assign ({ tasks, workers, ...options }: AssignOptions): Assignment[] {
  const { room, nowMs } = options
  const candidates: Array<{ worker: WorkerSession, cost: number }> = []
  for (const worker of workers) if (room.slots(worker, 1) > 0) candidates.push({ worker, cost: costOf(options, worker) })
  const assignments: Assignment[] = []
  for (const task of tasks) {
    let best = -1
    let bestCost = Number.POSITIVE_INFINITY
    for (let index = 0; index < candidates.length; index++) {
      const { worker } = candidates[index]
      const cost = candidates[index].cost + (task.avoid?.has(worker) ? AVOIDED_WORKER_COST : 0)
      if (cost >= bestCost || !mayPlace(task, worker, nowMs)) continue
      best = index
      bestCost = cost
    }
    if (best < 0) continue
    const { worker } = candidates[best]
    room.addTask(worker)
    assignments.push({ task, worker })
    if (room.slots(worker, 1) > 0) candidates[best].cost = costOf(options, worker)
    else candidates.splice(best, 1)
  }
  return assignments
}

/** Cost of placing a task at a worker; lower is better. Run time and distance to the data dominate; free CPU breaks near ties. */
function costOf ({ room, step, urgent, slowness }: Omit<AssignOptions, 'tasks' | 'workers' | 'nowMs'>, worker: WorkerSession): number {
  const { spec } = step
  const remoteDataCost = spec.dataRack !== '' && !worker.entry.labels.includes(spec.dataRack) ? 1 : 0
  const freeCpuShare = room.free(worker).cpuMillis / Math.max(1, worker.entry.capacity.cpuMillis)
  const cpuCost = spec.usesSpareCpu || urgent ? 1 - freeCpuShare : freeCpuShare
  return slowness(worker) + remoteDataCost + cpuCost / 10
}

/** The workers of each rack. */
export function groupByRack (workers: WorkerSession[]): WorkerSession[][] {
  const racks = new Map<string, WorkerSession[]>()
  for (const worker of workers) {
    const rack = worker.entry.labels.at(-1) ?? ''
    const others = racks.get(rack)
    if (others) others.push(worker)
    else racks.set(rack, [worker])
  }
  return [...racks.values()]
}
