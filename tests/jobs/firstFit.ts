/**
 * First-fit placement, for tests of the life of jobs.
 *
 * @module
 */

import Result from 'true-myth/result'
import type { Capacity } from 'pomelofold/protocol/vms'
import type { NoPlace, Placement, PlacementFigures, PreemptionPlan, TaskRequest, WorkerInfo } from 'pomelofold/tasks/placementTypes'

const RANK = { urgent: 0, normal: 1, overnight: 2 }
const DIMENSIONS = ['cpus', 'memoryMb', 'accelerators'] as const

interface Placed { task: TaskRequest, worker: string }

/** Puts each task on the first worker with room. Quotas and reservations are ignored. */
export class FirstFit implements Placement {
  readonly workers = new Map<string, WorkerInfo>()
  readonly placed = new Map<string, Placed>()
  private readonly _used = new Map<string, Capacity>()

  setWorker (worker: WorkerInfo): void { this.workers.set(worker.name, worker) }
  removeWorker (name: string): void { this.workers.delete(name) }
  setTeams (): void {}
  setPolicies (): void {}
  releaseReservation (): void {}

  place (task: TaskRequest): Result<string, NoPlace> {
    const worker = [...this.workers.values()]
      .find(worker => worker.takesWork && !task.avoid?.has(worker.name) && fits(task.size, this._free(worker)))
    if (!worker) return Result.err({ reason: 'full', detail: `needs ${task.size.cpus} cpus` })
    this.occupy(task, worker.name)
    return Result.ok(worker.name)
  }

  placeGang (tasks: TaskRequest[]): Result<Map<string, string>, NoPlace> {
    const places = new Map<string, string>()
    for (const task of tasks) {
      const place = this.place(task)
      if (place.isErr) {
        for (const taskId of places.keys()) this.release(taskId)
        return Result.err(place.error)
      }
      places.set(task.taskId, place.value)
    }
    return Result.ok(places)
  }

  occupy (task: TaskRequest, worker: string): void {
    this.placed.set(task.taskId, { task, worker })
    this._count(worker, task.size, 1)
  }

  release (taskId: string): void {
    const placed = this.placed.get(taskId)
    if (placed) this._count(placed.worker, placed.task.size, -1)
    this.placed.delete(taskId)
  }

  workerOf (taskId: string): string | undefined { return this.placed.get(taskId)?.worker }

  resize (taskId: string, size: Capacity): void {
    const placed = this.placed.get(taskId)
    if (!placed) return
    this.release(taskId)
    this.occupy({ ...placed.task, size }, placed.worker)
  }

  canEverFit (tasks: TaskRequest[]): Result<void, NoPlace> {
    const misfit = tasks.find(task => ![...this.workers.values()].some(worker => fits(task.size, worker.capacity)))
    if (!misfit) return Result.ok(undefined)
    return Result.err({ reason: 'never', detail: `needs ${misfit.size.cpus} cpus; the largest worker has less` })
  }

  planPreemption (task: TaskRequest): PreemptionPlan | undefined {
    for (const worker of this.workers.values()) {
      const free = { ...this._free(worker) }
      const victims: string[] = []
      for (const { task: other } of this._at(worker.name)) {
        if (fits(task.size, free) || RANK[other.class] <= RANK[task.class]) continue
        for (const dimension of DIMENSIONS) free[dimension] += other.size[dimension]
        victims.push(other.taskId)
      }
      if (worker.takesWork && victims.length > 0 && fits(task.size, free)) return { worker: worker.name, victims }
    }
    return undefined
  }

  figures (): PlacementFigures {
    const none = { cpus: 0, memoryMb: 0, accelerators: 0 }
    return { workers: this.workers.size, tasks: this.placed.size, capacity: none, used: none, workersInUse: 0 }
  }

  private _at (worker: string): Placed[] {
    return [...this.placed.values()].filter(placed => placed.worker === worker)
  }

  private _free ({ name, capacity }: WorkerInfo): Capacity {
    const used = this._used.get(name)
    if (!used) return capacity
    const { cpus, memoryMb, accelerators } = capacity
    return { cpus: cpus - used.cpus, memoryMb: memoryMb - used.memoryMb, accelerators: accelerators - used.accelerators }
  }

  private _count (worker: string, size: Capacity, sign: number): void {
    const used = this._used.get(worker) ?? { cpus: 0, memoryMb: 0, accelerators: 0 }
    for (const dimension of DIMENSIONS) used[dimension] += sign * size[dimension]
    this._used.set(worker, used)
  }
}

function fits (size: Capacity, free: Capacity): boolean {
  return DIMENSIONS.every(dimension => size[dimension] <= free[dimension] + 1e-9)
}
