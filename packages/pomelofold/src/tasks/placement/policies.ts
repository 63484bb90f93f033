/**
 * Placement policies: how a worker is chosen among those that have room.
 *
 * @module
 */

import { PLACEMENT_POLICIES } from '../../protocol/manifest.js'
import type { TaskRequest } from '../placementTypes.js'
import type { Cluster } from './cluster.js'
import type { WorkerRoom } from './gangPlanner.js'
import type { WorkerQuery } from './freeRoomIndex.js'
import type { Units } from './units.js'
import type { PlacedTask, WorkerGroup, WorkerNode } from './workerNode.js'

/** One of {@link PLACEMENT_POLICIES}. */
export type PolicyName = typeof PLACEMENT_POLICIES[keyof typeof PLACEMENT_POLICIES]

/** Implementation of a placement policy. */
export interface PlacementPolicy {
  /** Chooses among the workers that have room for the task. */
  chooseWorker (cluster: Cluster, task: TaskRequest, need: Units): WorkerNode | undefined
  /** Sort order in which a gang fills the workers of a rack or failure domain. */
  compareRooms (a: WorkerRoom, b: WorkerRoom): number
}

/** Weight of the size of an empty worker in its penalty: larger workers are used first. */
const EMPTY_WORKER_SIZE_WEIGHT = 1

/** Penalty of workers in empty racks, which are kept free for gangs. Larger than any difference in size. */
const EMPTY_RACK_PENALTY = 4

export const POLICY_HANDLERS: Record<PolicyName, PlacementPolicy> = {
  [PLACEMENT_POLICIES.tight]: { chooseWorker: chooseTight, compareRooms: fullerFirst },
  [PLACEMENT_POLICIES.spread]: { chooseWorker: chooseSpread, compareRooms: (a, b) => fullerFirst(b, a) },
  [PLACEMENT_POLICIES.together]: { chooseWorker: chooseTogether, compareRooms: fullerFirst }
}

/** Fills the workers one after the other (best fit). */
function chooseTight (cluster: Cluster, task: TaskRequest, need: Units): WorkerNode | undefined {
  return findTightestWorker(cluster, toQuery(cluster, task, need))
}

/** Places a task in a rack that already runs tasks of its job, and by best fit if none of those racks has room. */
function chooseTogether (cluster: Cluster, task: TaskRequest, need: Units): WorkerNode | undefined {
  const racks = new Set([...cluster.tasksOfJob(task.jobId)].map(placed => placed.node.groups.rack))
  const sameRackNode = racks.size && findTightestWorker(cluster, toQuery(cluster, task, need, node => racks.has(node.groups.rack)))
  return sameRackNode || chooseTight(cluster, task, need)
}

/** Spreads the tasks of a job over failure domains, racks and workers, in this order of importance, with best fit among equal ones. */
function chooseSpread (cluster: Cluster, task: TaskRequest, need: Units): WorkerNode | undefined {
  const tasks = cluster.tasksOfJob(task.jobId)
  if (!tasks.size) return chooseTight(cluster, task, need)
  const countsByDomain = countBy(tasks, placed => placed.node.groups.failureDomain)
  const countsByRack = countBy(tasks, placed => placed.node.groups.rack)
  const countsByWorker = countBy(tasks, placed => placed.node)
  const domainsByCount = [...cluster.groups('failureDomain')].sort((a, b) => (countsByDomain.get(a) ?? 0) - (countsByDomain.get(b) ?? 0))
  for (const domain of domainsByCount) {
    const isInUnusedRack = (node: WorkerNode): boolean => domain.nodes.has(node) && !countsByRack.has(node.groups.rack)
    const unusedRackNode = findTightestWorker(cluster, toQuery(cluster, task, need, isInUnusedRack))
    const node = unusedRackNode ?? findLeastUsedByJob(cluster, domain, task, need, countsByRack, countsByWorker)
    if (node) return node
  }
  return undefined
}

/** The worker whose rack has the fewest tasks of the job; among equal ones, the worker that has the fewest itself. */
function findLeastUsedByJob (
  cluster: Cluster, domain: WorkerGroup, task: TaskRequest, need: Units,
  countsByRack: Map<WorkerGroup, number>, countsByWorker: Map<WorkerNode, number>
): WorkerNode | undefined {
  let best: WorkerNode | undefined
  let bestSortKey = [Infinity, Infinity, Infinity, Infinity]
  for (const node of domain.nodes) {
    if (!node.fits(need) || task.avoid?.has(node.name)) continue
    const sortKey = [
      countsByRack.get(node.groups.rack) ?? 0,
      countsByWorker.get(node) ?? 0,
      node.tasks.size ? 0 : 1,
      cluster.cpuOnlyIndex.leftoverShare(need, node.freeCpus(), node.freeMemory())
    ]
    if (compareSortKeys(sortKey, bestSortKey) >= 0) continue
    best = node
    bestSortKey = sortKey
  }
  return best
}

/** A task without accelerators uses the room kept for accelerators only if it fits nowhere else. */
function findTightestWorker (cluster: Cluster, query: WorkerQuery): WorkerNode | undefined {
  const node = query.need.accelerators ? undefined : cluster.cpuOnlyIndex.findTightestFit(query)
  return node ?? cluster.acceleratorIndex.findTightestFit(query)
}

function toQuery (cluster: Cluster, task: TaskRequest, need: Units, accepts: (node: WorkerNode) => boolean = () => true): WorkerQuery {
  const { avoid } = task
  return {
    need,
    accepts: avoid?.size ? node => !avoid.has(node.name) && accepts(node) : accepts,
    penalty: node => node.tasks.size ? 0 : emptyWorkerPenalty(cluster, node)
  }
}

/** Prefers empty workers in racks that are in use, and among those the larger ones. */
function emptyWorkerPenalty ({ largest }: Cluster, { capacity, groups }: WorkerNode): number {
  const size = capacity.cpus / largest.cpus + capacity.memory / largest.memory
  return EMPTY_WORKER_SIZE_WEIGHT * (2 - size) + (groups.rack.nodesInUse ? 0 : EMPTY_RACK_PENALTY)
}

function countBy<T> (tasks: Iterable<PlacedTask>, keyOf: (task: PlacedTask) => T): Map<T, number> {
  const counts = new Map<T, number>()
  for (const task of tasks) {
    const key = keyOf(task)
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }
  return counts
}

function compareSortKeys (a: number[], b: number[]): number {
  const i = a.findIndex((value, at) => value !== b[at])
  return i < 0 ? 0 : a[i] - b[i]
}

/** Sorts workers with tasks first, then workers without accelerators, then workers with less free room. */
function fullerFirst (a: WorkerRoom, b: WorkerRoom): number {
  return Number(a.node.tasks.size === 0) - Number(b.node.tasks.size === 0) ||
    Math.sign(a.node.capacity.accelerators) - Math.sign(b.node.capacity.accelerators) ||
    a.room.accelerators - b.room.accelerators ||
    a.room.cpus - b.room.cpus ||
    a.room.memory - b.room.memory
}
