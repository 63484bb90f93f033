/**
 * Books of one worker.
 *
 * @module
 */

import { JOB_CLASSES, JOB_KINDS } from '../../protocol/jobs.js'
import type { TaskRequest, WorkerInfo } from '../placementTypes.js'
import { addUnits, capacityUnits, zeroUnits, type Units } from './units.js'
import type { Team } from './teamQuotas.js'

/** Rank of each class: 0 is the most urgent. */
export const RANK_BY_CLASS: Record<TaskRequest['class'], number> = {
  [JOB_CLASSES.urgent]: 0,
  [JOB_CLASSES.normal]: 1,
  [JOB_CLASSES.overnight]: 2
}

/** Share of its processors and memory that a worker keeps for its accelerators while all of them are free. */
const SHARE_KEPT_FOR_ACCELERATORS = 0.5

/** A task that is counted at a worker. */
export interface PlacedTask {
  readonly id: string
  readonly jobId: string
  readonly kind: TaskRequest['kind']
  readonly rank: number
  readonly team: Team
  size: Units
  readonly node: WorkerNode
}

/** What a gang's `within` names. */
export type GroupKind = 'rack' | 'failureDomain'

/** Workers that stand together: a rack or a failure domain. */
export interface WorkerGroup {
  /** Unique among the groups of its kind. */
  readonly key: string
  readonly name: string
  readonly nodes: Set<WorkerNode>
  /** Workers with at least one task. */
  nodesInUse: number
  /** Sum of what is free at the workers that take work. Overfull resources count as nothing free. */
  readonly free: Units
}

/** A worker with its tasks and the room held for gangs. */
export class WorkerNode {
  readonly name: string
  readonly rack: string
  readonly failureDomain: string
  readonly groups: Readonly<Record<GroupKind, WorkerGroup>>
  readonly tasks = new Set<PlacedTask>()
  readonly used = zeroUnits()
  /** Room held by reservations of gangs. */
  readonly held = zeroUnits()
  /** The part of `used` that belongs to long-running services, which no wait frees. */
  readonly usedByServices = zeroUnits()
  capacity = zeroUnits()
  takesWork = false
  /** False while the worker is known only from a task found there. */
  listed = false
  /** Sizes of the tasks other than services by rank of their class. */
  readonly nonServiceUseByRank = [zeroUnits(), zeroUnits(), zeroUnits()]
  /** Sizes of the services by rank of their class. */
  readonly serviceUseByRank = [zeroUnits(), zeroUnits(), zeroUnits()]
  /** Cell in each index of free room, -1 when not indexed, and position in that cell. */
  readonly cellIndexes = [-1, -1]
  readonly cellPositions = [-1, -1]
  /** What the sums of the groups count for this worker. */
  private readonly _countedFreeRoom = zeroUnits()

  constructor (name: string, rack: string, failureDomain: string, groups: Record<GroupKind, WorkerGroup>) {
    this.name = name
    this.rack = rack
    this.failureDomain = failureDomain
    this.groups = groups
  }

  /** Takes over what the platform tells of the worker. */
  update ({ capacity, takesWork }: WorkerInfo): void {
    this.capacity = capacityUnits(capacity)
    this.takesWork = takesWork
    this.listed = true
  }

  freeCpus (): number {
    return this.capacity.cpus - this.used.cpus - this.held.cpus
  }

  freeMemory (): number {
    return this.capacity.memory - this.used.memory - this.held.memory
  }

  freeAccelerators (): number {
    return this.capacity.accelerators - this.used.accelerators - this.held.accelerators
  }

  /** Processors free for tasks without accelerators: a share is kept for each free accelerator. */
  freeCpusForCpuOnlyTasks (): number {
    return this.freeCpus() - this._shareKeptForAccelerators() * this.capacity.cpus
  }

  /** Memory free for tasks without accelerators. */
  freeMemoryForCpuOnlyTasks (): number {
    return this.freeMemory() - this._shareKeptForAccelerators() * this.capacity.memory
  }

  /** Whether the worker takes a task of this size beside its tasks and the held room. */
  fits (need: Units): boolean {
    return this.takesWork &&
      need.cpus <= this.freeCpus() && need.memory <= this.freeMemory() && need.accelerators <= this.freeAccelerators()
  }

  /** Room beside the tasks, held or not. Negative where the worker is overfull. */
  roomIgnoringHolds (): Units {
    return {
      cpus: this.capacity.cpus - this.used.cpus,
      memory: this.capacity.memory - this.used.memory,
      accelerators: this.capacity.accelerators - this.used.accelerators
    }
  }

  /** Room beside the tasks and what other gangs than the owner of `own` hold. */
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

  /** Brings the sums of free room of the groups up to date. */
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
