/**
 * Whether tasks could run on the known workers, were these empty.
 *
 * @module
 */

import { Result } from 'true-myth/result'
import { NO_PLACE, type NoPlace, type TaskRequest } from '../placementTypes.js'
import type { Cluster } from './cluster.js'
import { countFitting, planGang, toGang, type Gang, type PlanRoom } from './gangPlanner.js'
import { mayHoldGang, missingUnits, sumRoom } from './groupRoom.js'
import { missText, nearestMiss } from './nearestMiss.js'
import { amountText, fitsUnits, RESOURCES, type Resource, type Units } from './units.js'
import type { GroupKind, WorkerGroup, WorkerNode } from './workerNode.js'

const readCapacity = (node: WorkerNode, room: Units): void => { Object.assign(room, node.capacity) }
const isListed = (node: WorkerNode): boolean => node.listed

const GROUP_WORDS: Record<GroupKind, string> = { rack: 'rack', failureDomain: 'failure domain' }

/** Whether each task alone, or all of a gang at once, could run. The error names the nearest miss. */
export function checkEverFit (cluster: Cluster, tasks: TaskRequest[], within: GroupKind | undefined): Result<void, NoPlace> {
  const gang = toGang(tasks.map(task => ({ ...task, avoid: undefined })), cluster.largest)
  const single = singleFault(cluster, gang)
  const detail = single ?? (within && gangFault(cluster, gang, within))
  return detail ? Result.err({ reason: NO_PLACE.never, detail }) : Result.ok(undefined)
}

/** The nearest miss of the first task that no worker can hold. */
function singleFault (cluster: Cluster, { parts }: Gang): string | undefined {
  for (const { need } of parts) {
    if (cluster.shapes().some(shape => fitsUnits(need, shape))) continue
    const listed = [...cluster.nodes.values()].filter(node => node.listed)
    if (!listed.length) return 'no workers are known'
    return missText(need, nearestMiss(need, listed, readCapacity), { free: false })
  }
  return undefined
}

/** The nearest miss of a gang that no rack or failure domain can hold. */
function gangFault (cluster: Cluster, gang: Gang, within: GroupKind): string | undefined {
  let closest: WorkerGroup | undefined
  let least = Infinity
  for (const group of cluster.groups(within)) {
    if (mayHoldGang(group, gang, readCapacity, isListed) && planGang(gang, emptyRooms(group))) return undefined
    const missing = missingUnits(gang.total, sumRoom(group, readCapacity, isListed), cluster.largest)
    if (missing >= least) continue
    least = missing
    closest = group
  }
  if (!closest) return 'no workers are known'
  return gangMissText(gang, closest, countFitting(gang, emptyRooms(closest)), within)
}

function gangMissText (gang: Gang, group: WorkerGroup, fitting: number, within: GroupKind): string {
  const count = gang.parts.reduce((sum, part) => sum + part.tasks.length, 0)
  const { resource, has } = scarcest(gang, group)
  return `needs ${amountText(resource, gang.total[resource])} for ${count} tasks in one ${GROUP_WORDS[within]}; ` +
    `the closest one, ${group.name}, has ${amountText(resource, has)} and holds ${fitting} of the tasks`
}

/** The resource of which the group has least in proportion to the need. */
function scarcest ({ total }: Gang, group: WorkerGroup): { resource: Resource, has: number } {
  const sum = sumRoom(group, readCapacity, isListed)
  const needed = RESOURCES.filter(resource => total[resource] > 0)
  const resource = needed.reduce((least, next) => sum[next] / total[next] < sum[least] / total[least] ? next : least)
  return { resource, has: sum[resource] }
}

/** Workers with accelerators come last, so that they are left for tasks that need them. */
function emptyRooms (group: WorkerGroup): PlanRoom[] {
  return [...group.nodes]
    .filter(isListed)
    .map(node => ({ node, room: { ...node.capacity } }))
    .sort((a, b) => a.room.accelerators - b.room.accelerators)
}
