/**
 * Chooses workers for the tasks of a step.
 *
 * Load pattern: a cell near its capacity with wide steps of unequal sizes on workers of unequal size and
 * speed. Urgent tasks take the quickest worker with room; others the one that is left fullest among the
 * quick ones, which keeps room in one piece for wide tasks.
 *
 * @module
 */

import type { StepRuntime, Task } from './workflowRuntime.js'
import type { WorkerSession } from './workerSession.js'
import type { Room } from '../protocol/workflows.js'

/** Options of {@link placeStep}. */
export interface PlaceStepOptions {
  step: StepRuntime
  tasks: Task[]
  /** Workers that may run the step now. */
  workers: WorkerSession[]
  urgent: boolean
  /** Time that a worker takes for work of this step, relative to the quickest. */
  slowness: (worker: WorkerSession) => number
  /** Processor share of each worker kept for urgent work, 0 to 1. */
  urgentCpuShare: number
}

/** A task and its worker. */
export interface Assignment {
  task: Task
  worker: WorkerSession
}

/** Room and tasks that earlier choices of the same plan have taken. */
class PlacementPlan {
  private readonly _reservations = new Map<WorkerSession, { room: Room, tasks: number }>()
  private readonly _step: StepRuntime
  private readonly _reservedCpuShare: number

  constructor (step: StepRuntime, reservedCpuShare: number) {
    this._step = step
    this._reservedCpuShare = reservedCpuShare
  }

  /** Whether one more task fits. */
  fits (worker: WorkerSession): boolean {
    const { size, maxPerWorker } = this._step.spec
    const taken = this._reservations.get(worker)
    const room = taken ? addRoom(taken.room, reservedRoom(this._step)) : reservedRoom(this._step)
    if (!worker.fits(room)) return false
    const reservedCpuMillis = worker.entry.capacity.cpuMillis * this._reservedCpuShare
    if (size.cpuMillis > 0 && worker.used.cpuMillis + room.cpuMillis > worker.entry.capacity.cpuMillis - reservedCpuMillis) return false
    if (maxPerWorker === 0) return true
    return this._taskCountAt(worker) + (taken?.tasks ?? 0) < maxPerWorker
  }

  addTask (worker: WorkerSession): void {
    const taken = this._reservations.get(worker)
    const size = reservedRoom(this._step)
    this._reservations.set(worker, { room: taken ? addRoom(taken.room, size) : size, tasks: (taken?.tasks ?? 0) + 1 })
  }

  /** Processor left at a worker after the choices so far. */
  freeCpuMillis (worker: WorkerSession): number {
    return worker.entry.capacity.cpuMillis - worker.used.cpuMillis - (this._reservations.get(worker)?.room.cpuMillis ?? 0)
  }

  private _taskCountAt (worker: WorkerSession): number {
    const prefix = `${this._step.workflow.record.id}.${this._step.key}.`
    let count = 0
    for (const run of worker.runs.values()) if (run.name.startsWith(prefix)) count++
    return count
  }
}

/** Room that a task of the step counts with. Tasks that use spare processor time count none. */
export function reservedRoom (step: StepRuntime): Room {
  const { size, usesSpareCpu } = step.spec
  return usesSpareCpu ? { ...size, cpuMillis: 0 } : size
}

/** Workers for as many of the tasks as have room; for a gang, for all of them or none. */
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

/** Lower is better. Time counts first; the room that is left breaks ties. */
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

function addRoom (a: Room, b: Room): Room {
  return { cpuMillis: a.cpuMillis + b.cpuMillis, memoryMb: a.memoryMb + b.memoryMb, accelerators: a.accelerators + b.accelerators }
}
