/**
 * Types of the requests to task placement and of its results.
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
  /** Size used for placement: the declared size, or the learned size if the measured usage is larger. */
  size: Capacity
  /** Workers that must not be used, such as those on which the task has failed. */
  avoid?: ReadonlySet<string>
}

/** The properties of a worker that placement uses. */
export interface WorkerInfo {
  name: string
  rack: string
  failureDomain: string
  capacity: Capacity
  /** False while the worker is leaving, lost or on probation: it keeps its tasks and gets no new ones. */
  takesWork: boolean
}

/** Why a task or gang cannot be placed now. */
export const PLACEMENT_REFUSALS = {
  /** It would not fit even if the workers were empty. */
  never: 'never',
  /** It would fit, but other tasks use too much of the workers at present. */
  full: 'full',
  /** The team's quota is used up, and the team may not borrow or finds no free room to borrow. */
  quota: 'quota',
  /** The room is reserved for a gang that requested it earlier. */
  reserved: 'reserved'
} as const

/** Why a task or gang cannot be placed, with a text for users. */
export interface PlacementRefusal {
  reason: typeof PLACEMENT_REFUSALS[keyof typeof PLACEMENT_REFUSALS]
  /** Such as `needs 96 cpus; the closest worker has 64 cpus (worker-3)`. */
  detail: string
}

/** Tasks of one worker to stop or checkpoint so that a more urgent task fits there. */
export interface PreemptionPlan {
  worker: string
  victims: string[]
}

/** Totals over all workers, tasks and sizes that placement keeps. */
export interface PlacementFigures {
  workers: number
  tasks: number
  capacity: Capacity
  /** Sum of the sizes of all placed tasks. */
  used: Capacity
  /** Workers with at least one task. */
  workersInUse: number
}

/**
 * Records which task runs on which worker, and chooses workers. Synchronous and in memory only; after a restart it is
 * rebuilt from the task lists that the workers report. A placed task uses its size from `place` until `release`.
 */
export interface Placement {
  setWorker (worker: WorkerInfo): void
  removeWorker (name: string): void
  /** Replaces all quotas. Teams that are not listed cannot place tasks. */
  setTeams (teams: Array<{ name: string, quota: Capacity, borrow: boolean }>): void
  /** Sets the placement policy of each given kind of task. */
  setPolicies (policies: Partial<Record<TaskRequest['kind'], typeof PLACEMENT_POLICIES[keyof typeof PLACEMENT_POLICIES]>>): void
  /** Chooses a worker for one task and records the task there. */
  place (task: TaskRequest): Result<string, PlacementRefusal>
  /**
   * Places all tasks of a gang, or none, in one rack or failure domain. If the gang does not fit now, a reservation is
   * made for it: room that becomes free on the reserved workers is held until the gang fits, its reservation is
   * released, or the reservation expires.
   */
  placeGang (tasks: TaskRequest[], within: 'rack' | 'failureDomain'): Result<Map<string, string>, PlacementRefusal>
  /** Ends the reservation of a gang. */
  releaseReservation (jobId: string): void
  /** Records a task that was found running on a worker, even beyond the worker's capacity. */
  addRunningTask (task: TaskRequest, worker: string): void
  /** Changes the size of a placed task. */
  resize (taskId: string, size: Capacity): void
  release (taskId: string): void
  /** Whether each task by itself, or with `gang` all tasks together, would fit on the listed workers if these were empty. */
  canEverFit (tasks: TaskRequest[], options: { gang: boolean, within?: 'rack' | 'failureDomain' }): Result<void, PlacementRefusal>
  /** The cheapest set of tasks to stop on one worker so that `task` fits there. Undefined when there is none. */
  planPreemption (task: TaskRequest): PreemptionPlan | undefined
  workerOf (taskId: string): string | undefined
  figures (): PlacementFigures
}
