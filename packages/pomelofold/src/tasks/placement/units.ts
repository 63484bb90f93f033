/**
 * Sizes in whole units, so that books kept by adding and subtracting stay exact.
 *
 * @module
 */

import type { Capacity } from '../../protocol/vms.js'

/** Units to one processor core. */
export const UNITS_PER_CPU = 1_000_000

/** Units to one megabyte of memory. */
export const UNITS_PER_MB = 1024

/** Part of a unit by which a product may be off through binary rounding. */
const ROUNDING_TOLERANCE = 1e-3

/** A size in whole units. */
export interface Units {
  cpus: number
  memory: number
  accelerators: number
}

/** Names of the three resources. */
export const RESOURCES = ['cpus', 'memory', 'accelerators'] as const

/** One of {@link RESOURCES}. */
export type Resource = typeof RESOURCES[number]

/** Nothing of each resource. */
export function zeroUnits (): Units {
  return { cpus: 0, memory: 0, accelerators: 0 }
}

/** Units that a task of this size is counted with: rounded up. */
export function sizeUnits (size: Capacity): Units {
  return {
    cpus: roundUp(size.cpus * UNITS_PER_CPU),
    memory: roundUp(size.memoryMb * UNITS_PER_MB),
    accelerators: roundUp(size.accelerators)
  }
}

/** Units that a worker or quota of this capacity offers: rounded down. */
export function capacityUnits (capacity: Capacity): Units {
  return {
    cpus: Math.floor(capacity.cpus * UNITS_PER_CPU + ROUNDING_TOLERANCE),
    memory: Math.floor(capacity.memoryMb * UNITS_PER_MB + ROUNDING_TOLERANCE),
    accelerators: Math.floor(capacity.accelerators + ROUNDING_TOLERANCE)
  }
}

/** The size in the words of the protocol. */
export function toCapacity (units: Units): Capacity {
  return { cpus: units.cpus / UNITS_PER_CPU, memoryMb: units.memory / UNITS_PER_MB, accelerators: units.accelerators }
}

/** Whether `need` fits into `room` in every resource. */
export function fitsUnits (need: Units, room: Units): boolean {
  return need.cpus <= room.cpus && need.memory <= room.memory && need.accelerators <= room.accelerators
}

/** Adds `times` times `amount` to `sum`, in place. */
export function addUnits (sum: Units, amount: Units, factor = 1): void {
  sum.cpus += amount.cpus * factor
  sum.memory += amount.memory * factor
  sum.accelerators += amount.accelerators * factor
}

/** How many tasks of size `need` fit into `room`, at most `limit`. None where any resource is overfull. */
export function fitCount (need: Units, room: Units, limit: number): number {
  let count = limit
  for (const resource of RESOURCES) {
    if (room[resource] < 0) return 0
    if (need[resource] > 0) count = Math.min(count, Math.floor(room[resource] / need[resource]))
  }
  return Math.max(0, count)
}

/** An amount of one resource in words, such as `1.5 cpus`. */
export function amountText (resource: Resource, units: number): string {
  const amount = { cpus: units / UNITS_PER_CPU, memory: units / UNITS_PER_MB, accelerators: units }[resource]
  const unit = { cpus: 'cpus', memory: 'MB of memory', accelerators: 'accelerators' }[resource]
  return `${Number(amount.toFixed(3))} ${unit}`
}

function roundUp (value: number): number {
  return Math.ceil(value - ROUNDING_TOLERANCE)
}
