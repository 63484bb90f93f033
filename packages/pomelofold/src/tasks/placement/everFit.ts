/**
 * Checks whether tasks would fit on the listed workers if these were empty.
 *
 * @module
 */

import { Result } from 'true-myth/result'
import { PLACEMENT_REFUSALS, type PlacementRefusal, type TaskRequest } from '../placementTypes.js'
import type { Cluster } from './cluster.js'
import { countFitting, planGang, toGang, type Gang, type WorkerRoom } from './gangPlanner.js'
import { mayHoldGang, missingShare, sumRoom } from './groupRoom.js'
import { shortfallText, findSmallestShortfall } from './shortfall.js'
import { amountText, fitsUnits, RESOURCES, type Resource, type Units } from './units.js'
import type { GroupKind, WorkerGroup, WorkerNode } from './workerNode.js'

const readCapacity = (node: WorkerNode, room: Units): void => { Object.assign(room, node.capacity) }
const isListed = (node: WorkerNode): boolean => node.listed

const GROUP_KIND_TEXTS: Record<GroupKind, string> = { rack: 'rack', failureDomain: 'failure domain' }

/**
 * Checks each task by itself and, with `within`, also that all tasks fit together in one rack or failure domain.
 * The error says what is missing at the worker, rack or failure domain that comes closest.
 */
export function checkEverFit (cluster: Cluster, tasks: TaskRequest[], within: GroupKind | undefined): Result<void, PlacementRefusal> {
  const gang = toGang(tasks.map(task => ({ ...task, avoid: undefined })), cluster.largest)
  const taskShortfall = describeTaskShortfall(cluster, gang)
  const detail = taskShortfall ?? (within && describeGangShortfall(cluster, gang, within))
  return detail ? Result.err({ reason: PLACEMENT_REFUSALS.never, detail }) : Result.ok(undefined)
}

/** Describes the first task that fits on no worker: what is missing at the worker that comes closest. */
function describeTaskShortfall (cluster: Cluster, { parts }: Gang): string | undefined {
  for (const { need } of parts) {
    if (cluster.distinctCapacities().some(capacity => fitsUnits(need, capacity))) continue
    const listed = [...cluster.nodes.values()].filter(node => node.listed)
    if (!listed.length) return 'no workers are listed'
    return shortfallText(need, findSmallestShortfall(need, listed, readCapacity), { free: false })
  }
  return undefined
}

/** Describes a gang that fits in no rack or failure domain: what is missing in the one that comes closest. */
function describeGangShortfall (cluster: Cluster, gang: Gang, within: GroupKind): string | undefined {
  let closest: WorkerGroup | undefined
  let leastMissing = Infinity
  for (const group of cluster.groups(within)) {
    if (mayHoldGang(group, gang, readCapacity, isListed) && planGang(gang, roomsWhenEmpty(group))) return undefined
    const missing = missingShare(gang.total, sumRoom(group, readCapacity, isListed), cluster.largest)
    if (missing >= leastMissing) continue
    leastMissing = missing
    closest = group
  }
  if (!closest) return 'no workers are listed'
  return gangShortfallText(gang, closest, countFitting(gang, roomsWhenEmpty(closest)), within)
}

function gangShortfallText (gang: Gang, group: WorkerGroup, fittingCount: number, within: GroupKind): string {
  const count = gang.parts.reduce((sum, part) => sum + part.tasks.length, 0)
  const { resource, available } = scarcestResource(gang, group)
  return `needs ${amountText(resource, gang.total[resource])} for ${count} tasks in one ${GROUP_KIND_TEXTS[within]}; ` +
    `the closest one, ${group.name}, has ${amountText(resource, available)} and fits ${fittingCount} of the tasks`
}

/** The resource of which the group has the least in proportion to the gang's need. */
function scarcestResource ({ total }: Gang, group: WorkerGroup): { resource: Resource, available: number } {
  const sum = sumRoom(group, readCapacity, isListed)
  const needed = RESOURCES.filter(resource => total[resource] > 0)
  const resource = needed.reduce((least, next) => sum[next] / total[next] < sum[least] / total[least] ? next : least)
  return { resource, available: sum[resource] }
}

/** The capacities of the group's workers. Those with accelerators come last, so that they are left for tasks that need them. */
function roomsWhenEmpty (group: WorkerGroup): WorkerRoom[] {
  return [...group.nodes]
    .filter(isListed)
    .map(node => ({ node, room: { ...node.capacity } }))
    .sort((a, b) => a.room.accelerators - b.room.accelerators)
}
