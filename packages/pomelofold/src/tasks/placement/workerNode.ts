/**
 * A worker with its tasks, as placement keeps it, and the rack or failure domain to which it belongs.
 *
 * @module
 */

import { JOB_CLASSES, JOB_KINDS } from '../../protocol/jobs.js'
import type { TaskRequest, WorkerInfo } from '../placementTypes.js'
import { addUnits, capacityUnits, zeroUnits, type Units } from './units.js'
import type { Team } from './teamQuotas.js'

/** Rank of each job class: 0 is the most urgent. */
export const RANK_BY_CLASS: Record<TaskRequest['class'], number> = {
  [JOB_CLASSES.urgent]: 0,
  [JOB_CLASSES.normal]: 1,
  [JOB_CLASSES.overnight]: 2
}

/**
 * Share of its processors and memory that a worker keeps for tasks with accelerators while all its accelerators are free.
 * With some in use, the share is proportionally smaller.
 */
const SHARE_KEPT_FOR_ACCELERATORS = 0.5

/** A task that is placed on a worker. */
export interface PlacedTask {
  readonly id: string
  readonly jobId: string
  readonly kind: TaskRequest['kind']
  /** Rank of the job's class, as in {@link RANK_BY_CLASS}. */
  readonly rank: number
  readonly team: Team
  size: Units
  readonly node: WorkerNode
}

/** The kinds of worker groups, which are also the values of a gang's `within`. */
export type GroupKind = 'rack' | 'failureDomain'

/** The workers of one rack or failure domain. */
export interface WorkerGroup {
  /** Unique among the groups of its kind. */
  readonly key: string
  readonly name: string
  readonly nodes: Set<WorkerNode>
  /** Workers with at least one task. */
  nodesInUse: number
  /** Total free room of the workers that take work. An overfull resource of a worker counts as 0. */
  readonly free: Units
}

/** A worker with its tasks and the room held for gangs. */
export class WorkerNode {
  readonly name: string
  readonly rack: string
  readonly failureDomain: string
  readonly groups: Readonly<Record<GroupKind, WorkerGroup>>
  readonly tasks = new Set<PlacedTask>()
  /** Total size of the tasks. */
  readonly used = zeroUnits()
  /** Room that reservations of gangs hold. */
  readonly held = zeroUnits()
  /** The part of `used` that belongs to services. Reservations cannot expect it to become free, since services do not end. */
  readonly usedByServices = zeroUnits()
  capacity = zeroUnits()
  takesWork = false
  /** False while the worker is known only from a task that was found running on it. */
  listed = false
  /** Total size of the tasks other than services, by rank of their class. */
  readonly nonServiceUseByRank = [zeroUnits(), zeroUnits(), zeroUnits()]
  /** Total size of the services, by rank of their class. */
  readonly serviceUseByRank = [zeroUnits(), zeroUnits(), zeroUnits()]
  /** Cell in each {@link FreeRoomIndex}, -1 when not indexed, and the position in that cell. */
  readonly cellIndexes = [-1, -1]
  readonly cellPositions = [-1, -1]
  /** Free room that this worker contributes to the totals of its groups. */
  private readonly _countedFreeRoom = zeroUnits()

  constructor (name: string, rack: string, failureDomain: string, groups: Record<GroupKind, WorkerGroup>) {
    this.name = name
    this.rack = rack
    this.failureDomain = failureDomain
    this.groups = groups
  }

  /** Applies the current capacity and state of the worker. */
  update ({ capacity, takesWork }: WorkerInfo): void {
    this.capacity = capacityUnits(capacity)
    this.takesWork = takesWork
    this.listed = true
  }

  /** Processors, in units, that neither tasks use nor reservations hold. Negative when the worker is overfull. */
  freeCpus (): number {
    return this.capacity.cpus - this.used.cpus - this.held.cpus
  }

  /** Like {@link freeCpus}, for memory. */
  freeMemory (): number {
    return this.capacity.memory - this.used.memory - this.held.memory
  }

  /** Like {@link freeCpus}, for accelerators. */
  freeAccelerators (): number {
    return this.capacity.accelerators - this.used.accelerators - this.held.accelerators
  }

  /** Free processors without the share that is kept for tasks with accelerators. */
  freeCpusForCpuOnlyTasks (): number {
    return this.freeCpus() - this._shareKeptForAccelerators() * this.capacity.cpus
  }

  /** Free memory without the share that is kept for tasks with accelerators. */
  freeMemoryForCpuOnlyTasks (): number {
    return this.freeMemory() - this._shareKeptForAccelerators() * this.capacity.memory
  }

  /** Whether the worker takes work and has enough free room for `need`. */
  fits (need: Units): boolean {
    return this.takesWork &&
      need.cpus <= this.freeCpus() && need.memory <= this.freeMemory() && need.accelerators <= this.freeAccelerators()
  }

  /** Room that no task uses, including the held room. Negative where the worker is overfull. */
  roomIgnoringHolds (): Units {
    return {
      cpus: this.capacity.cpus - this.used.cpus,
      memory: this.capacity.memory - this.used.memory,
      accelerators: this.capacity.accelerators - this.used.accelerators
    }
  }

  /** Room that no task uses and no reservation holds, plus `ownHold`, the hold of the gang that is being placed. */
  freeRoom (ownHold: Units | undefined): Units {
    const room = zeroUnits()
    this.readFreeRoom(room, ownHold)
    return room
  }

  /** Writes {@link freeRoom} into `room`. */
  readFreeRoom (room: Units, ownHold?: Units): void {
    room.cpus = this.freeCpus()
    room.memory = this.freeMemory()
    room.accelerators = this.freeAccelerators()
    if (ownHold) addUnits(room, ownHold)
  }

  /** Updates the free room of the groups after a change of this worker. */
  updateGroups (): void {
    const { rack, failureDomain } = this.groups
    for (const sum of [rack.free, failureDomain.free]) addUnits(sum, this._countedFreeRoom, -1)
    this._countedFreeRoom.cpus = this.takesWork ? Math.max(0, this.freeCpus()) : 0
    this._countedFreeRoom.memory = this.takesWork ? Math.max(0, this.freeMemory()) : 0
    this._countedFreeRoom.accelerators = this.takesWork ? Math.max(0, this.freeAccelerators()) : 0
    for (const sum of [rack.free, failureDomain.free]) addUnits(sum, this._countedFreeRoom)
  }

  addTask (task: PlacedTask): void {
    this.tasks.add(task)
    if (this.tasks.size === 1) this._adjustNodesInUse(1)
    this._adjustUse(task, 1)
  }

  removeTask (task: PlacedTask): void {
    this.tasks.delete(task)
    if (this.tasks.size === 0) this._adjustNodesInUse(-1)
    this._adjustUse(task, -1)
  }

  private _adjustNodesInUse (sign: 1 | -1): void {
    this.groups.rack.nodesInUse += sign
    this.groups.failureDomain.nodesInUse += sign
  }

  private _shareKeptForAccelerators (): number {
    const { accelerators } = this.capacity
    return accelerators ? SHARE_KEPT_FOR_ACCELERATORS * Math.max(0, this.freeAccelerators()) / accelerators : 0
  }

  private _adjustUse (task: PlacedTask, sign: 1 | -1): void {
    addUnits(this.used, task.size, sign)
    const isService = task.kind === JOB_KINDS.service
    if (isService) addUnits(this.usedByServices, task.size, sign)
    addUnits((isService ? this.serviceUseByRank : this.nonServiceUseByRank)[task.rank], task.size, sign)
  }
}
