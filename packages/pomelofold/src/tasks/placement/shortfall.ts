/**
 * Finds the worker at which a task comes closest to fitting, and describes what is missing there.
 *
 * @module
 */

import type { RoomReader } from './groupRoom.js'
import { amountText, RESOURCES, zeroUnits, type Resource, type Units } from './units.js'
import type { WorkerNode } from './workerNode.js'

/** A worker that cannot hold a task, and the resource of which the largest part is missing there. */
export interface Shortfall {
  node: WorkerNode
  resource: Resource
  available: number
  /** Fraction of the need that is missing: 0.5 when half of it is available. */
  missingFraction: number
}

/** Finds the worker at which the smallest fraction of `need` is missing. */
export function findSmallestShortfall (need: Units, nodes: Iterable<WorkerNode>, readRoom: RoomReader): Shortfall | undefined {
  const room = zeroUnits()
  let best: Shortfall | undefined
  for (const node of nodes) {
    readRoom(node, room)
    if (best && missingFractionOf(need, room) >= best.missingFraction) continue
    best = shortfallAt(need, node, room)
  }
  return best
}

/** Text such as `needs 96 cpus; the closest worker has 64 cpus (worker-3)`. With `free`, the amount is described as free. */
export function shortfallText (need: Units, shortfall: Shortfall | undefined, { free }: { free: boolean }): string {
  if (!shortfall) return 'no worker accepts new tasks'
  const { node, resource, available } = shortfall
  return `needs ${amountText(resource, need[resource])}; the closest worker has ${amountText(resource, Math.max(0, available))}` +
    `${free ? ' free' : ''} (${node.name})`
}

function missingFractionOf (need: Units, room: Units): number {
  const cpus = need.cpus ? (need.cpus - room.cpus) / need.cpus : 0
  const memory = need.memory ? (need.memory - room.memory) / need.memory : 0
  const accelerators = need.accelerators ? (need.accelerators - room.accelerators) / need.accelerators : 0
  return Math.max(0, cpus, memory, accelerators)
}

function shortfallAt (need: Units, node: WorkerNode, room: Units): Shortfall {
  let shortfall: Shortfall = { node, resource: 'cpus', available: room.cpus, missingFraction: 0 }
  for (const resource of RESOURCES) {
    if (need[resource] === 0) continue
    const missingFraction = (need[resource] - room[resource]) / need[resource]
    if (missingFraction > shortfall.missingFraction) shortfall = { node, resource, available: room[resource], missingFraction }
  }
  return shortfall
}
