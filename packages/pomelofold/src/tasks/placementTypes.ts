/**
 * What the placement of tasks is asked and answers.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import type { JOB_CLASSES, JOB_KINDS } from '../protocol/jobs.js'
import type { PLACEMENT_POLICIES } from '../protocol/manifest.js'
import type { Capacity } from '../protocol/vms.js'

/** A task to place. */
export interface TaskRequest {
  taskId: string
  jobId: string
  kind: typeof JOB_KINDS[keyof typeof JOB_KINDS]
  class: typeof JOB_CLASSES[keyof typeof JOB_CLASSES]
  team: string
  /** Size to plan with: declared, or learned when usage has shown more. */
  size: Capacity
  /** Workers not to be used, such as those at which the task has failed. */
  avoid?: ReadonlySet<string>
}

/** A worker as placement sees it. */
export interface WorkerInfo {
  name: string
  rack: string
  failureDomain: string
  capacity: Capacity
  /** False while the worker is leaving, lost or on probation: it keeps its tasks and gets none. */
  takesWork: boolean
}

/** Why a task has no place now. */
export const PLACEMENT_REFUSALS = {
  /** No worker is large enough, whatever else runs. */
  never: 'never',
  /** The workers are too full at present. */
  full: 'full',
  /** The team's quota is used up and nothing can be borrowed. */
  quota: 'quota',
  /** Room is kept for a gang that came first. */
  reserved: 'reserved'
} as const

/** No place: why, and the nearest miss in words. */
export interface PlacementRefusal {
  reason: typeof PLACEMENT_REFUSALS[keyof typeof PLACEMENT_REFUSALS]
  /** Such as `needs 96 cpus; the largest worker has 64 (worker-3)`. */
  detail: string
}

/** Tasks to stop or checkpoint so that a more urgent one fits. */
export interface PreemptionPlan {
  worker: string
  victims: string[]
}

/** Sizes held and free of one failure domain. */
export interface PlacementFigures {
  workers: number
  tasks: number
  capacity: Capacity
  used: Capacity
  /** Workers with at least one task. */
  workersInUse: number
}

/**
 * Keeps what runs where and chooses workers. Synchronous, in memory, rebuilt from the workers' own lists.
 * A placed task counts with its size from `place` until `release`.
 */
export interface Placement {
  setWorker (worker: WorkerInfo): void
  removeWorker (name: string): void
  /** Sets quotas; teams that are not named may not place anything. */
  setTeams (teams: Array<{ name: string, quota: Capacity, borrow: boolean }>): void
  /** Sets the policy of each kind. */
  setPolicies (policies: Partial<Record<TaskRequest['kind'], typeof PLACEMENT_POLICIES[keyof typeof PLACEMENT_POLICIES]>>): void
  /** Chooses a worker for one task and counts the task there. */
  place (task: TaskRequest): Result<string, PlacementRefusal>
  /**
   * Chooses workers for all tasks of a gang and counts them there, or none. When it does not fit now
   * the domain keeps a reservation for it: room that frees up is held for the gang until it
   * fits, is released, or the reservation expires.
   */
  placeGang (tasks: TaskRequest[], within: 'rack' | 'failureDomain'): Result<Map<string, string>, PlacementRefusal>
  /** Gives up a gang's reservation. */
  releaseReservation (jobId: string): void
  /** Counts a task found running at a worker, also beyond the worker's capacity. */
  addRunningTask (task: TaskRequest, worker: string): void
  /** Changes the size that a placed task counts with. */
  resize (taskId: string, size: Capacity): void
  release (taskId: string): void
  /** Whether the tasks could ever run on the workers that are known, were they empty. */
  canEverFit (tasks: TaskRequest[], options: { gang: boolean, within?: 'rack' | 'failureDomain' }): Result<void, PlacementRefusal>
  /** Cheapest set of less urgent tasks whose end would let `task` fit. */
  planPreemption (task: TaskRequest): PreemptionPlan | undefined
  workerOf (taskId: string): string | undefined
  figures (): PlacementFigures
}
