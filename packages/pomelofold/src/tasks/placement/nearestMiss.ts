/**
 * Says in words what is missing where a task comes closest to fitting.
 *
 * @module
 */

import type { RoomReader } from './groupRoom.js'
import { amountText, RESOURCES, zeroUnits, type Resource, type Units } from './units.js'
import type { WorkerNode } from './workerNode.js'

/** The worker that comes closest and the resource it lacks most. */
export interface Miss {
  node: WorkerNode
  resource: Resource
  has: number
  /** Missing part of the need: 0.5 when half of it is there. */
  shortage: number
}

/** Finds the worker whose room comes closest to `need`. */
export function nearestMiss (need: Units, nodes: Iterable<WorkerNode>, readRoom: RoomReader): Miss | undefined {
  const room = zeroUnits()
  let best: Miss | undefined
  for (const node of nodes) {
    readRoom(node, room)
    if (best && shortageOf(need, room) >= best.shortage) continue
    best = missAt(need, node, room)
  }
  return best
}

/** Such as `needs 96 cpus; the closest worker has 64 cpus (worker-3)`. */
export function missText (need: Units, miss: Miss | undefined, { free }: { free: boolean }): string {
  if (!miss) return 'no worker takes work'
  const { node, resource, has } = miss
  return `needs ${amountText(resource, need[resource])}; the closest worker has ${amountText(resource, Math.max(0, has))}` +
    `${free ? ' free' : ''} (${node.name})`
}

function shortageOf (need: Units, room: Units): number {
  const cpus = need.cpus ? (need.cpus - room.cpus) / need.cpus : 0
  const memory = need.memory ? (need.memory - room.memory) / need.memory : 0
  const accelerators = need.accelerators ? (need.accelerators - room.accelerators) / need.accelerators : 0
  return Math.max(0, cpus, memory, accelerators)
}

function missAt (need: Units, node: WorkerNode, room: Units): Miss {
  let miss: Miss = { node, resource: 'cpus', has: room.cpus, shortage: 0 }
  for (const resource of RESOURCES) {
    if (need[resource] === 0) continue
    const shortage = (need[resource] - room[resource]) / need[resource]
    if (shortage > miss.shortage) miss = { node, resource, has: room[resource], shortage }
  }
  return miss
}
