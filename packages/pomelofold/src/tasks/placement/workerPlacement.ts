/**
 * Placement of tasks and gangs on workers.
 *
 * @module
 */

import { Result } from 'true-myth/result'
import { JOB_KINDS } from '../../protocol/jobs.js'
import { PLACEMENT_POLICIES } from '../../protocol/manifest.js'
import type { Capacity } from '../../protocol/vms.js'
import type { Timers } from '../../seams/timers.js'
import { PLACEMENT_REFUSALS, type PlacementRefusal, type Placement, type PlacementFigures, type PreemptionPlan, type TaskRequest, type WorkerInfo } from '../placementTypes.js'
import { Cluster } from './cluster.js'
import { checkEverFit } from './everFit.js'
import { workersOfTasks, planGang, toGang, type Gang, type GangAssignment } from './gangPlanner.js'
import { mayHoldGang, type RoomReader } from './groupRoom.js'
import { shortfallText, findSmallestShortfall } from './shortfall.js'
import { POLICY_HANDLERS, type PlacementPolicy, type PolicyName } from './policies.js'
import { planPreemption } from './preemption.js'
import { Reservations, type ReservationConfig } from './reservations.js'
import { findExceededQuota, quotaRefusalText, quotaUseText } from './teamQuotas.js'
import { fitsUnits, sizeUnits, toCapacity, type Units } from './units.js'
import { RANK_BY_CLASS, type GroupKind, type WorkerNode } from './workerNode.js'

/** Settings of {@link WorkerPlacement}. */
export interface PlacementConfig extends ReservationConfig {}

export const DEFAULT_PLACEMENT_CONFIG: PlacementConfig = {
  reservationMs: 60_000,
  retargetMs: 30_000,
  yieldMs: 60_000,
  maxHeldShare: 0.5
}

const isInUse = (node: WorkerNode): boolean => node.takesWork && node.tasks.size > 0
const isAvailable = (node: WorkerNode): boolean => node.takesWork

/** Options of a {@link WorkerPlacement}. */
export interface WorkerPlacementOptions {
  timers: Timers
  cfg?: Partial<PlacementConfig>
}

/**
 * Records which task runs on which worker, and chooses workers by the placement policy of the task's kind.
 *
 * A task has at most one worker: `addRunningTask` with another worker moves the task, and `place` of a task that already
 * has a worker returns that worker. `removeWorker` also removes the worker's tasks. To keep a lost worker whose tasks may
 * still be running, call `setWorker` with `takesWork: false` instead.
 */
export class WorkerPlacement implements Placement {
  private readonly _cluster = new Cluster()
  private readonly _reservations: Reservations
  private readonly _policies: Record<TaskRequest['kind'], PolicyName> = {
    [JOB_KINDS.batch]: PLACEMENT_POLICIES.tight,
    [JOB_KINDS.gang]: PLACEMENT_POLICIES.together,
    [JOB_KINDS.service]: PLACEMENT_POLICIES.spread
  }

  constructor ({ timers, cfg = {} }: WorkerPlacementOptions) {
    this._reservations = new Reservations({ cluster: this._cluster, timers, cfg: { ...DEFAULT_PLACEMENT_CONFIG, ...cfg } })
  }

  setWorker (worker: WorkerInfo): void {
    const before = this._cluster.nodes.get(worker.name)
    this._cluster.setWorker(worker)
    if (before && before !== this._cluster.nodes.get(worker.name)) this._reservations.dropNode(before)
  }

  removeWorker (name: string): void {
    const node = this._cluster.nodes.get(name)
    if (!node) return
    this._cluster.removeWorker(name)
    this._reservations.dropNode(node)
  }

  setTeams (teams: Array<{ name: string, quota: Capacity, borrow: boolean }>): void {
    this._cluster.teams.setTeams(teams)
  }

  setPolicies (policies: Partial<Record<TaskRequest['kind'], PolicyName>>): void {
    Object.assign(this._policies, policies)
  }

  place (task: TaskRequest): Result<string, PlacementRefusal> {
    this._reservations.releaseExpired()
    const placed = this._cluster.tasks.get(task.taskId)
    if (placed) return Result.ok(placed.node.name)
    const need = sizeUnits(task.size)
    const refusal = quotaRefusalText(this._cluster.teams.find(task.team), task.team, need)
    if (refusal) return Result.err({ reason: PLACEMENT_REFUSALS.quota, detail: refusal })
    const node = this._policyOf(task).chooseWorker(this._cluster, task, need) ?? this._chooseHeldRoom(task, need)
    if (!node) return Result.err(this._explainRefusal(task, need))
    this._cluster.addTask(task, need, node)
    return Result.ok(node.name)
  }

  placeGang (tasks: TaskRequest[], within: GroupKind): Result<Map<string, string>, PlacementRefusal> {
    this._reservations.releaseExpired()
    if (!tasks.length) return Result.ok(new Map())
    const gang = toGang(tasks, this._cluster.largest)
    const [{ jobId, team }] = tasks
    const stillPlaced = this._describeStillPlaced(tasks)
    if (stillPlaced) return Result.err({ reason: PLACEMENT_REFUSALS.full, detail: stillPlaced })
    const refusal = quotaRefusalText(this._cluster.teams.find(team), team, gang.total)
    if (refusal) return Result.err({ reason: PLACEMENT_REFUSALS.quota, detail: refusal })
    const assignments = this._planGang(gang, tasks[0], within)
    if (!assignments) return Result.err(this._reserve(gang, tasks, within))
    this._reservations.release(jobId)
    const workers = new Map<string, string>()
    for (const [task, node] of workersOfTasks(assignments)) {
      this._cluster.addTask(task, sizeUnits(task.size), node)
      workers.set(task.taskId, node.name)
    }
    return Result.ok(workers)
  }

  releaseReservation (jobId: string): void {
    this._reservations.release(jobId)
  }

  addRunningTask (task: TaskRequest, worker: string): void {
    this._cluster.removeTask(task.taskId)
    this._cluster.addTask(task, sizeUnits(task.size), this._cluster.findOrAddUnlisted(worker))
  }

  resize (taskId: string, size: Capacity): void {
    this._cluster.resizeTask(taskId, sizeUnits(size))
  }

  release (taskId: string): void {
    this._cluster.removeTask(taskId)
  }

  canEverFit (tasks: TaskRequest[], { gang, within = 'failureDomain' }: { gang: boolean, within?: GroupKind }): Result<void, PlacementRefusal> {
    return checkEverFit(this._cluster, tasks, gang ? within : undefined)
  }

  planPreemption (task: TaskRequest): PreemptionPlan | undefined {
    this._reservations.releaseExpired()
    return planPreemption(this._cluster, task)
  }

  workerOf (taskId: string): string | undefined {
    return this._cluster.tasks.get(taskId)?.node.name
  }

  figures (): PlacementFigures {
    const nodes = [...this._cluster.nodes.values()]
    return {
      workers: nodes.filter(node => node.listed).length,
      tasks: this._cluster.tasks.size,
      capacity: toCapacity(this._cluster.capacity),
      used: toCapacity(this._cluster.used),
      workersInUse: nodes.filter(node => node.tasks.size).length
    }
  }

  private _policyOf ({ kind }: TaskRequest): PlacementPolicy {
    return POLICY_HANDLERS[this._policies[kind]]
  }

  /** A worker with enough room including room that is held for a less urgent gang whose reservation is still recent. */
  private _chooseHeldRoom (task: TaskRequest, need: Units): WorkerNode | undefined {
    if (!this._reservations.size) return undefined
    for (const { holds } of this._reservations.yieldingTo(RANK_BY_CLASS[task.class])) {
      for (const [node, held] of holds) {
        if (node.takesWork && !task.avoid?.has(node.name) && fitsUnits(need, node.freeRoom(held))) return node
      }
    }
    return undefined
  }

  private _explainRefusal (task: TaskRequest, need: Units): PlacementRefusal {
    const never = checkEverFit(this._cluster, [task], undefined)
    if (never.isErr) return never.error
    const team = this._cluster.teams.findOrAdd(task.team)
    const exceeded = findExceededQuota(team, need)
    if (exceeded) {
      return { reason: PLACEMENT_REFUSALS.quota, detail: `${quotaUseText(team, exceeded, need)}, and no worker has free room to borrow` }
    }
    const usable = [...this._cluster.nodes.values()].filter(node => node.takesWork && !task.avoid?.has(node.name))
    const isHeld = this._reservations.size > 0 && usable.some(node => fitsUnits(need, node.roomIgnoringHolds()))
    const detail = shortfallText(need, findSmallestShortfall(need, usable, (node, room) => node.readFreeRoom(room)), { free: true })
    return isHeld ? { reason: PLACEMENT_REFUSALS.reserved, detail: `${detail}; other free room is reserved for a gang` } : { reason: PLACEMENT_REFUSALS.full, detail }
  }

  private _describeStillPlaced (tasks: TaskRequest[]): string | undefined {
    const placed = tasks.find(task => this._cluster.tasks.has(task.taskId))
    return placed && `task ${placed.taskId} is still placed on worker ${this.workerOf(placed.taskId)}`
  }

  private _planGang (gang: Gang, task: TaskRequest, within: GroupKind): GangAssignment[] | undefined {
    const { compareRooms } = this._policyOf(task)
    const holds = this._reservations.holdsOf(task.jobId)
    const readRoom: RoomReader = holds ? (node, room) => node.readFreeRoom(room, holds.get(node)) : (node, room) => node.readFreeRoom(room)
    for (const accepts of [isInUse, isAvailable]) {
      for (const group of this._cluster.groups(within)) {
        if (!holds && !fitsUnits(gang.total, group.free)) continue
        if (!mayHoldGang(group, gang, readRoom, accepts)) continue
        const rooms = [...group.nodes].filter(accepts).map(node => ({ node, room: node.freeRoom(holds?.get(node)) }))
        const assignments = planGang(gang, rooms.sort(compareRooms))
        if (assignments) return assignments
      }
    }
    return undefined
  }

  private _reserve (gang: Gang, tasks: TaskRequest[], within: GroupKind): PlacementRefusal {
    const [{ jobId, class: jobClass }] = tasks
    const reserved = this._reservations.reserve({ jobId, rank: RANK_BY_CLASS[jobClass], gang, within })
    if (reserved) return { reason: PLACEMENT_REFUSALS.full, detail: `needs room for ${tasks.length} tasks at once; room is reserved as it becomes free` }
    const never = checkEverFit(this._cluster, tasks, within)
    if (never.isErr) return never.error
    return { reason: PLACEMENT_REFUSALS.reserved, detail: `needs room for ${tasks.length} tasks at once; the room is reserved for other gangs` }
  }
}
