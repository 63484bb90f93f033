/**
 * Workers by name, rack and failure domain, and the tasks placed on them.
 *
 * @module
 */

import type { TaskRequest, WorkerInfo } from '../placementTypes.js'
import { FreeRoomIndex } from './freeRoomIndex.js'
import { TeamQuotas, adjustTeamUse } from './teamQuotas.js'
import { addUnits, zeroUnits, type Units } from './units.js'
import { RANK_BY_CLASS, WorkerNode, type GroupKind, type PlacedTask, type WorkerGroup } from './workerNode.js'

/** State of all workers, placed tasks and teams. Every change also updates the indexes of free room. */
export class Cluster {
  /** Workers by name. */
  readonly nodes = new Map<string, WorkerNode>()
  /** Placed tasks by task id. */
  readonly tasks = new Map<string, PlacedTask>()
  readonly teams = new TeamQuotas()
  /** All workers by the room for tasks that need no accelerators. Empty workers with accelerators are on a plane after those without. */
  readonly cpuOnlyIndex = new FreeRoomIndex({
    indexNumber: 0,
    cpusOf: node => node.freeCpusForCpuOnlyTasks(),
    memoryOf: node => node.freeMemoryForCpuOnlyTasks(),
    planeOf: node => node.tasks.size ? 0 : Math.sign(node.capacity.accelerators)
  })

  /** Workers with accelerators, by free accelerators, processors and memory. */
  readonly acceleratorIndex = new FreeRoomIndex({
    indexNumber: 1,
    cpusOf: node => node.freeCpus(),
    memoryOf: node => node.freeMemory(),
    planeOf: node => node.freeAccelerators()
  })

  /** Total capacity of the listed workers. */
  readonly capacity = zeroUnits()
  /** Total size of the placed tasks. */
  readonly used = zeroUnits()
  private readonly _groups: Record<GroupKind, Map<string, WorkerGroup>> = { rack: new Map(), failureDomain: new Map() }
  private readonly _capacityCounts = new Map<string, { capacity: Units, count: number }>()
  private readonly _jobs = new Map<string, Set<PlacedTask>>()

  /** Adds or updates a worker. If its rack or failure domain has changed, its tasks move to a new node. */
  setWorker (info: WorkerInfo): void {
    const existing = this.nodes.get(info.name)
    const moved = existing && (existing.rack !== info.rack || existing.failureDomain !== info.failureDomain)
    const node = existing && !moved ? existing : this._addNode(info)
    if (moved) this._moveTasks(existing, node)
    this._adjustCapacity(node, -1)
    node.update(info)
    this._adjustCapacity(node, 1)
    this._reindex(node)
  }

  /** Removes a worker and the tasks placed on it. */
  removeWorker (name: string): void {
    const node = this.nodes.get(name)
    if (!node) return
    for (const task of [...node.tasks]) this.removeTask(task.id)
    this._removeNode(node)
  }

  addTask (req: TaskRequest, size: Units, node: WorkerNode): void {
    const task: PlacedTask = {
      id: req.taskId,
      jobId: req.jobId,
      kind: req.kind,
      rank: RANK_BY_CLASS[req.class],
      team: this.teams.findOrAdd(req.team),
      size,
      node
    }
    this._addTask(task)
  }

  removeTask (taskId: string): void {
    const task = this.tasks.get(taskId)
    if (!task) return
    this.tasks.delete(taskId)
    task.node.removeTask(task)
    adjustTeamUse(task.team, task.size, -1)
    addUnits(this.used, task.size, -1)
    this._removeFromJob(task)
    this._reindex(task.node)
    if (!task.node.listed && !task.node.tasks.size) this._removeNode(task.node)
  }

  resizeTask (taskId: string, size: Units): void {
    const task = this.tasks.get(taskId)
    if (!task) return
    task.node.removeTask(task)
    adjustTeamUse(task.team, task.size, -1)
    addUnits(this.used, task.size, -1)
    task.size = size
    task.node.addTask(task)
    adjustTeamUse(task.team, size, 1)
    addUnits(this.used, size)
    this._reindex(task.node)
  }

  /** The worker of this name. An unknown one is added as unlisted: it can hold tasks but takes no new work. */
  findOrAddUnlisted (name: string): WorkerNode {
    return this.nodes.get(name) ?? this._addNode({ name, rack: '', failureDomain: '' })
  }

  /** The largest number of processors and the largest memory of any worker, which need not be the same worker. */
  get largest (): Units {
    return this.cpuOnlyIndex.largest
  }

  /** The distinct capacities of the listed workers. */
  distinctCapacities (): Units[] {
    return [...this._capacityCounts.values()].map(shape => shape.capacity)
  }

  /** The placed tasks of a job. */
  tasksOfJob (jobId: string): ReadonlySet<PlacedTask> {
    return this._jobs.get(jobId) ?? NO_TASKS
  }

  groups (kind: GroupKind): Iterable<WorkerGroup> {
    return this._groups[kind].values()
  }

  /** Adds to (`sign` 1) or subtracts from (-1) the room that reservations hold on a worker. */
  adjustHeldRoom (node: WorkerNode, amount: Units, sign: 1 | -1): void {
    addUnits(node.held, amount, sign)
    this._reindex(node)
  }

  private _addTask (task: PlacedTask): void {
    this.tasks.set(task.id, task)
    task.node.addTask(task)
    adjustTeamUse(task.team, task.size, 1)
    addUnits(this.used, task.size)
    const jobTasks = this._jobs.get(task.jobId)
    if (jobTasks) jobTasks.add(task)
    else this._jobs.set(task.jobId, new Set([task]))
    this._reindex(task.node)
  }

  private _removeFromJob (task: PlacedTask): void {
    const jobTasks = this._jobs.get(task.jobId)
    jobTasks?.delete(task)
    if (jobTasks?.size === 0) this._jobs.delete(task.jobId)
  }

  private _reindex (node: WorkerNode): void {
    node.updateGroups()
    this.cpuOnlyIndex.update(node)
    if (node.capacity.accelerators) this.acceleratorIndex.update(node)
    else this.acceleratorIndex.remove(node)
  }

  private _adjustCapacity ({ listed, capacity }: WorkerNode, sign: 1 | -1): void {
    if (!listed) return
    addUnits(this.capacity, capacity, sign)
    const key = `${capacity.cpus} ${capacity.memory} ${capacity.accelerators}`
    const entry = this._capacityCounts.get(key) ?? { capacity, count: 0 }
    entry.count += sign
    if (entry.count) this._capacityCounts.set(key, entry)
    else this._capacityCounts.delete(key)
  }

  private _addNode ({ name, rack, failureDomain }: Pick<WorkerInfo, 'name' | 'rack' | 'failureDomain'>): WorkerNode {
    const groups = { rack: this._findOrAddGroup('rack', `${failureDomain}\n${rack}`, rack), failureDomain: this._findOrAddGroup('failureDomain', failureDomain, failureDomain) }
    const node = new WorkerNode(name, rack, failureDomain, groups)
    this.nodes.set(name, node)
    for (const group of Object.values(groups)) group.nodes.add(node)
    return node
  }

  /** Racks are looked up by a key, since racks of different failure domains may have the same name. */
  private _findOrAddGroup (kind: GroupKind, key: string, name: string): WorkerGroup {
    let group = this._groups[kind].get(key)
    if (!group) {
      group = { key, name, nodes: new Set(), nodesInUse: 0, free: zeroUnits() }
      this._groups[kind].set(key, group)
    }
    return group
  }

  private _removeNode (node: WorkerNode): void {
    this.cpuOnlyIndex.remove(node)
    this.acceleratorIndex.remove(node)
    this._adjustCapacity(node, -1)
    node.takesWork = false
    node.updateGroups()
    if (this.nodes.get(node.name) === node) this.nodes.delete(node.name)
    for (const kind of GROUP_KINDS) {
      const group = node.groups[kind]
      group.nodes.delete(node)
      if (!group.nodes.size) this._groups[kind].delete(group.key)
    }
  }

  /** Moves tasks to the node of the same worker in another rack or failure domain. */
  private _moveTasks (from: WorkerNode, to: WorkerNode): void {
    for (const task of [...from.tasks]) {
      this.removeTask(task.id)
      this._addTask({ ...task, node: to })
    }
    this._removeNode(from)
  }
}

const GROUP_KINDS = ['rack', 'failureDomain'] as const
const NO_TASKS: ReadonlySet<PlacedTask> = new Set()
