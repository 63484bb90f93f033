/**
 * Whether tasks could run on the known workers, were these empty.
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

/** Whether each task alone, or all of a gang at once, could run. The error names the nearest miss. */
export function checkEverFit (cluster: Cluster, tasks: TaskRequest[], within: GroupKind | undefined): Result<void, PlacementRefusal> {
  const gang = toGang(tasks.map(task => ({ ...task, avoid: undefined })), cluster.largest)
  const taskShortfall = findTaskShortfall(cluster, gang)
  const detail = taskShortfall ?? (within && findGangShortfall(cluster, gang, within))
  return detail ? Result.err({ reason: PLACEMENT_REFUSALS.never, detail }) : Result.ok(undefined)
}

/** The nearest miss of the first task that no worker can hold. */
function findTaskShortfall (cluster: Cluster, { parts }: Gang): string | undefined {
  for (const { need } of parts) {
    if (cluster.distinctCapacities().some(shape => fitsUnits(need, shape))) continue
    const listed = [...cluster.nodes.values()].filter(node => node.listed)
    if (!listed.length) return 'no workers are known'
    return shortfallText(need, findSmallestShortfall(need, listed, readCapacity), { free: false })
  }
  return undefined
}

/** The nearest miss of a gang that no rack or failure domain can hold. */
function findGangShortfall (cluster: Cluster, gang: Gang, within: GroupKind): string | undefined {
  let closest: WorkerGroup | undefined
  let leastMissing = Infinity
  for (const group of cluster.groups(within)) {
    if (mayHoldGang(group, gang, readCapacity, isListed) && planGang(gang, roomsWhenEmpty(group))) return undefined
    const missing = missingShare(gang.total, sumRoom(group, readCapacity, isListed), cluster.largest)
    if (missing >= leastMissing) continue
    leastMissing = missing
    closest = group
  }
  if (!closest) return 'no workers are known'
  return gangShortfallText(gang, closest, countFitting(gang, roomsWhenEmpty(closest)), within)
}

function gangShortfallText (gang: Gang, group: WorkerGroup, fittingCount: number, within: GroupKind): string {
  const count = gang.parts.reduce((sum, part) => sum + part.tasks.length, 0)
  const { resource, available } = scarcestResource(gang, group)
  return `needs ${amountText(resource, gang.total[resource])} for ${count} tasks in one ${GROUP_KIND_TEXTS[within]}; ` +
    `the closest one, ${group.name}, has ${amountText(resource, available)} and holds ${fittingCount} of the tasks`
}

/** The resource of which the group has least in proportion to the need. */
function scarcestResource ({ total }: Gang, group: WorkerGroup): { resource: Resource, available: number } {
  const sum = sumRoom(group, readCapacity, isListed)
  const needed = RESOURCES.filter(resource => total[resource] > 0)
  const resource = needed.reduce((least, next) => sum[next] / total[next] < sum[least] / total[least] ? next : least)
  return { resource, available: sum[resource] }
}

/** Workers with accelerators come last, so that they are left for tasks that need them. */
function roomsWhenEmpty (group: WorkerGroup): WorkerRoom[] {
  return [...group.nodes]
    .filter(isListed)
    .map(node => ({ node, room: { ...node.capacity } }))
    .sort((a, b) => a.room.accelerators - b.room.accelerators)
}
