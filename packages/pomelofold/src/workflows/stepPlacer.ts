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
export interface PlaceOptions {
  step: StepRuntime
  tasks: Task[]
  /** Workers that may run the step now. */
  workers: WorkerSession[]
  urgent: boolean
  /** Time that a worker takes for work of this step, relative to the quickest. */
  slowness: (worker: WorkerSession) => number
  /** Processor share of each worker kept for urgent work, 0 to 1. */
  urgentShare: number
}

/** A task and its worker. */
export interface Assignment {
  task: Task
  worker: WorkerSession
}

/** Room and tasks that earlier choices of the same plan have taken. */
class Plan {
  private readonly _taken = new Map<WorkerSession, { room: Room, tasks: number }>()
  private readonly _step: StepRuntime
  private readonly _reserve: number

  constructor (step: StepRuntime, reserve: number) {
    this._step = step
    this._reserve = reserve
  }

  /** Whether one more task fits. */
  fits (worker: WorkerSession): boolean {
    const { size, maxPerWorker } = this._step.spec
    const taken = this._taken.get(worker)
    const room = taken ? addRoom(taken.room, countedRoom(this._step)) : countedRoom(this._step)
    if (!worker.fits(room)) return false
    const kept = worker.entry.capacity.cpuMillis * this._reserve
    if (size.cpuMillis > 0 && worker.used.cpuMillis + room.cpuMillis > worker.entry.capacity.cpuMillis - kept) return false
    if (maxPerWorker === 0) return true
    return this._tasksAt(worker) + (taken?.tasks ?? 0) < maxPerWorker
  }

  take (worker: WorkerSession): void {
    const taken = this._taken.get(worker)
    const size = countedRoom(this._step)
    this._taken.set(worker, { room: taken ? addRoom(taken.room, size) : size, tasks: (taken?.tasks ?? 0) + 1 })
  }

  /** Processor left at a worker after the choices so far. */
  freeCpu (worker: WorkerSession): number {
    return worker.entry.capacity.cpuMillis - worker.used.cpuMillis - (this._taken.get(worker)?.room.cpuMillis ?? 0)
  }

  private _tasksAt (worker: WorkerSession): number {
    const prefix = `${this._step.workflow.record.id}.${this._step.key}.`
    let count = 0
    for (const run of worker.runs.values()) if (run.name.startsWith(prefix)) count++
    return count
  }
}

/** Room that a task of the step counts with. Tasks that use spare processor time count none. */
export function countedRoom (step: StepRuntime): Room {
  const { size, usesSpareCpu } = step.spec
  return usesSpareCpu ? { ...size, cpuMillis: 0 } : size
}

/** Workers for as many of the tasks as have room; for a gang, for all of them or none. */
export function placeStep ({ step, tasks, workers, urgent, slowness, urgentShare }: PlaceOptions): Assignment[] {
  const groups = step.spec.gang && step.spec.sameRack ? byRack(workers) : [workers]
  for (const group of groups) {
    const plan = new Plan(step, urgent ? 0 : urgentShare)
    const assignments = assign({ plan, step, tasks, workers: group, urgent, slowness })
    if (!step.spec.gang || assignments.length === tasks.length) return assignments
  }
  return []
}

function assign ({ plan, step, tasks, workers, urgent, slowness }: Omit<PlaceOptions, 'urgentShare'> & { plan: Plan }): Assignment[] {
  const assignments: Assignment[] = []
  for (const task of tasks) {
    let best: WorkerSession | undefined
    let bestCost = Number.POSITIVE_INFINITY
    for (const worker of workers) {
      if (task.avoid?.has(worker.life) || task.run?.session === worker || !plan.fits(worker)) continue
      const cost = costOf({ plan, step, worker, urgent, slowness })
      if (cost >= bestCost) continue
      best = worker
      bestCost = cost
    }
    if (!best) continue
    plan.take(best)
    assignments.push({ task, worker: best })
  }
  return assignments
}

/** Lower is better. Time counts first; the room that is left breaks ties. */
function costOf ({ plan, step, worker, urgent, slowness }: { plan: Plan, step: StepRuntime, worker: WorkerSession, urgent: boolean, slowness: PlaceOptions['slowness'] }): number {
  const { spec } = step
  const far = spec.dataRack !== '' && !worker.entry.labels.includes(spec.dataRack) ? 1 : 0
  const leftShare = plan.freeCpu(worker) / Math.max(1, worker.entry.capacity.cpuMillis)
  const room = spec.usesSpareCpu || urgent ? 1 - leftShare : leftShare
  return slowness(worker) + far + room / 10
}

function byRack (workers: WorkerSession[]): WorkerSession[][] {
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
