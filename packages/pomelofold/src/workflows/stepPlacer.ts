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
import type { Resources } from '../protocol/workflows.js'

/** Options of {@link placeStep}. */
export interface PlaceStepOptions {
  step: StepRuntime
  tasks: Task[]
  /** Workers to which tasks of the step can be assigned now. */
  workers: WorkerSession[]
  urgent: boolean
  /** Run time on a worker relative to the fastest kind of worker; 1 for the fastest. */
  slowness: (worker: WorkerSession) => number
  /** Share of each worker's CPU that is reserved for urgent tasks, 0 to 1. */
  urgentCpuShare: number
}

/** A task and the worker selected for it. */
export interface Assignment {
  task: Task
  worker: WorkerSession
}

/** Tracks the room and the number of tasks that earlier assignments of the same call use at each worker. */
class PlacementPlan {
  private readonly _reservations = new Map<WorkerSession, { room: Resources, tasks: number }>()
  private readonly _step: StepRuntime
  private readonly _reservedCpuShare: number

  constructor (step: StepRuntime, reservedCpuShare: number) {
    this._step = step
    this._reservedCpuShare = reservedCpuShare
  }

  /** True when the worker has room for one more task of the step, in addition to the assignments so far. */
  fits (worker: WorkerSession): boolean {
    const { size, maxPerWorker } = this._step.spec
    const reserved = this._reservations.get(worker)
    const room = reserved ? addRoom(reserved.room, reservedRoom(this._step)) : reservedRoom(this._step)
    if (!worker.fits(room)) return false
    const reservedCpuMillis = worker.entry.capacity.cpuMillis * this._reservedCpuShare
    if (size.cpuMillis > 0 && worker.used.cpuMillis + room.cpuMillis > worker.entry.capacity.cpuMillis - reservedCpuMillis) return false
    if (maxPerWorker === 0) return true
    return this._taskCountAt(worker) + (reserved?.tasks ?? 0) < maxPerWorker
  }

  /** Reserves room for one more task. */
  addTask (worker: WorkerSession): void {
    const reserved = this._reservations.get(worker)
    const size = reservedRoom(this._step)
    this._reservations.set(worker, { room: reserved ? addRoom(reserved.room, size) : size, tasks: (reserved?.tasks ?? 0) + 1 })
  }

  /** Free CPU of a worker after the assignments so far, in thousandths of a core. */
  freeCpuMillis (worker: WorkerSession): number {
    return worker.entry.capacity.cpuMillis - worker.used.cpuMillis - (this._reservations.get(worker)?.room.cpuMillis ?? 0)
  }

  /** Number of runs of the step at a worker. */
  private _taskCountAt (worker: WorkerSession): number {
    const prefix = `${this._step.workflow.record.id}.${this._step.key}.`
    let count = 0
    for (const run of worker.runs.values()) if (run.name.startsWith(prefix)) count++
    return count
  }
}

/** Room that one task of the step reserves at its worker. Tasks that use only spare CPU reserve no CPU. */
export function reservedRoom (step: StepRuntime): Resources {
  const { size, usesSpareCpu } = step.spec
  return usesSpareCpu ? { ...size, cpuMillis: 0 } : size
}

/** Assigns workers to as many tasks as there is room for. A gang is assigned completely or not at all. */
export function placeStep ({ step, tasks, workers, urgent, slowness, urgentCpuShare }: PlaceStepOptions): Assignment[] {
  const groups = step.spec.gang && step.spec.sameRack ? groupByRack(workers) : [workers]
  for (const group of groups) {
    const plan = new PlacementPlan(step, urgent ? 0 : urgentCpuShare)
    const assignments = assign({ plan, step, tasks, workers: group, urgent, slowness })
    if (!step.spec.gang || assignments.length === tasks.length) return assignments
  }
  return []
}

function assign ({ plan, step, tasks, workers, urgent, slowness }: Omit<PlaceStepOptions, 'urgentCpuShare'> & { plan: PlacementPlan }): Assignment[] {
  const assignments: Assignment[] = []
  for (const task of tasks) {
    let best: WorkerSession | undefined
    let bestCost = Number.POSITIVE_INFINITY
    for (const worker of workers) {
      if (task.avoid?.has(worker.incarnation) || task.run?.session === worker || !plan.fits(worker)) continue
      const cost = costOf({ plan, step, worker, urgent, slowness })
      if (cost >= bestCost) continue
      best = worker
      bestCost = cost
    }
    if (!best) continue
    plan.addTask(best)
    assignments.push({ task, worker: best })
  }
  return assignments
}

/** Cost of placing a task at a worker; lower is better. Run time and distance to the data dominate; free CPU breaks near ties. */
function costOf ({ plan, step, worker, urgent, slowness }: { plan: PlacementPlan, step: StepRuntime, worker: WorkerSession, urgent: boolean, slowness: PlaceStepOptions['slowness'] }): number {
  const { spec } = step
  const remoteDataCost = spec.dataRack !== '' && !worker.entry.labels.includes(spec.dataRack) ? 1 : 0
  const freeCpuShare = plan.freeCpuMillis(worker) / Math.max(1, worker.entry.capacity.cpuMillis)
  const cpuCost = spec.usesSpareCpu || urgent ? 1 - freeCpuShare : freeCpuShare
  return slowness(worker) + remoteDataCost + cpuCost / 10
}

function groupByRack (workers: WorkerSession[]): WorkerSession[][] {
  const racks = new Map<string, WorkerSession[]>()
  for (const worker of workers) {
    const rack = worker.entry.labels.at(-1) ?? ''
    racks.set(rack, [...(racks.get(rack) ?? []), worker])
  }
  return [...racks.values(), workers]
}

function addRoom (a: Resources, b: Resources): Resources {
  return { cpuMillis: a.cpuMillis + b.cpuMillis, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators }
}
