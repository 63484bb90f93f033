/**
 * Room of racks and failure domains, summed without a plan.
 *
 * @module
 */

import type { Gang } from './gangPlanner.js'
import { addUnits, RESOURCES, zeroUnits, type Units } from './units.js'
import type { WorkerGroup, WorkerNode } from './workerNode.js'

/** Reads the room of a worker that counts for a gang. */
export type RoomReader = (node: WorkerNode) => Units

/** Whether a plan for the gang can succeed: its sum fits, and so does each part by itself. */
export function mayHoldGang (
  { nodes }: WorkerGroup, { parts, total }: Gang, roomOf: RoomReader, accepts: (node: WorkerNode) => boolean = takesWork
): boolean {
  const missing = { ...total }
  const left = parts.map(part => part.tasks.length)
  for (const node of nodes) {
    if (!accepts(node)) continue
    const room = roomOf(node)
    for (const resource of RESOURCES) missing[resource] -= Math.max(0, room[resource])
    parts.forEach((part, i) => { left[i] -= timesIn(part.need, room) })
    if (left.every(count => count <= 0) && RESOURCES.every(resource => missing[resource] <= 0)) return true
  }
  return false
}

/** Sum of the room of the workers. */
export function sumRoom ({ nodes }: WorkerGroup, roomOf: RoomReader, accepts: (node: WorkerNode) => boolean = takesWork): Units {
  const sum = zeroUnits()
  for (const node of nodes) {
    if (accepts(node)) addUnits(sum, roomOf(node))
  }
  return sum
}

/** What `need` exceeds `room` by, in shares of the largest worker. */
export function missingUnits (need: Units, room: Units, largest: Units): number {
  let missing = 0
  for (const resource of RESOURCES) {
    missing += Math.max(0, need[resource] - Math.max(0, room[resource])) / Math.max(1, largest[resource])
  }
  return missing
}

function takesWork (node: WorkerNode): boolean {
  return node.takesWork
}

function timesIn (need: Units, room: Units): number {
  if (room.cpus < need.cpus || room.memory < need.memory || room.accelerators < need.accelerators) return 0
  const byCpus = Math.floor(room.cpus / need.cpus)
  const byMemory = Math.floor(room.memory / need.memory)
  const byAccelerators = need.accelerators ? Math.floor(room.accelerators / need.accelerators) : Infinity
  return Math.min(byCpus, byMemory, byAccelerators)
}
