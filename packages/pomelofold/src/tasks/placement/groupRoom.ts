/**
 * Total room of racks and failure domains, as a quick check before a gang is planned.
 *
 * @module
 */

import type { Gang } from './gangPlanner.js'
import { addUnits, fitsUnits, RESOURCES, zeroUnits, type Units } from './units.js'
import type { WorkerGroup, WorkerNode } from './workerNode.js'

/** Writes the room that a worker has for a gang into `room`, which saves an allocation per worker. */
export type RoomReader = (node: WorkerNode, room: Units) => void

const ZERO_UNITS: Readonly<Units> = zeroUnits()

/** Whether a plan for the gang can succeed: its total size fits, and so does each part by itself. Does not prove that a plan exists. */
export function mayHoldGang (
  { nodes }: WorkerGroup, { parts, total }: Gang, readRoom: RoomReader, accepts: (node: WorkerNode) => boolean = takesWork
): boolean {
  const missing = { ...total }
  const room = zeroUnits()
  const remainingCounts = parts.map(part => part.tasks.length)
  for (const node of nodes) {
    if (!accepts(node)) continue
    readRoom(node, room)
    missing.cpus -= Math.max(0, room.cpus)
    missing.memory -= Math.max(0, room.memory)
    missing.accelerators -= Math.max(0, room.accelerators)
    for (let i = 0; i < parts.length; i++) remainingCounts[i] -= unlimitedFitCount(parts[i].need, room)
    if (fitsUnits(missing, ZERO_UNITS) && remainingCounts.every(count => count <= 0)) return true
  }
  return false
}

/** Sum of the room of the accepted workers of the group. */
export function sumRoom ({ nodes }: WorkerGroup, readRoom: RoomReader, accepts: (node: WorkerNode) => boolean = takesWork): Units {
  const sum = zeroUnits()
  const room = zeroUnits()
  for (const node of nodes) {
    if (!accepts(node)) continue
    readRoom(node, room)
    addUnits(sum, room)
  }
  return sum
}

/** The amounts by which `need` exceeds `room`, each as a share of the largest worker, added. */
export function missingShare (need: Units, room: Units, largest: Units): number {
  let missing = 0
  for (const resource of RESOURCES) {
    missing += Math.max(0, need[resource] - Math.max(0, room[resource])) / Math.max(1, largest[resource])
  }
  return missing
}

function takesWork (node: WorkerNode): boolean {
  return node.takesWork
}

/** Number of tasks of size `need` that fit into `room`, without a limit. */
function unlimitedFitCount (need: Units, room: Units): number {
  if (room.cpus < need.cpus || room.memory < need.memory || room.accelerators < need.accelerators) return 0
  const byCpus = need.cpus ? Math.floor(room.cpus / need.cpus) : Infinity
  const byMemory = need.memory ? Math.floor(room.memory / need.memory) : Infinity
  const byAccelerators = need.accelerators ? Math.floor(room.accelerators / need.accelerators) : Infinity
  return Math.min(byCpus, byMemory, byAccelerators)
}
