/**
 * Resource sizes as integers, so that sums stay exact when sizes are added and subtracted many times.
 *
 * @module
 */

import type { Capacity } from '../../protocol/vms.js'

/** Units per processor core. */
export const UNITS_PER_CPU = 1_000_000

/** Units per megabyte of memory. */
export const UNITS_PER_MB = 1024

/** Floating-point error of a conversion, in units, that is ignored when rounding up or down. */
const ROUNDING_TOLERANCE = 1e-3

/** A size of each resource in integer units. */
export interface Units {
  cpus: number
  memory: number
  accelerators: number
}

/** The keys of {@link Units}. */
export const RESOURCES = ['cpus', 'memory', 'accelerators'] as const

/** One of {@link RESOURCES}. */
export type Resource = typeof RESOURCES[number]

/** A new size of 0 of each resource. */
export function zeroUnits (): Units {
  return { cpus: 0, memory: 0, accelerators: 0 }
}

/** Units that a task of this size uses. Rounded up, so that tasks never use more than a worker has. */
export function sizeUnits (size: Capacity): Units {
  return {
    cpus: roundUp(size.cpus * UNITS_PER_CPU),
    memory: roundUp(size.memoryMb * UNITS_PER_MB),
    accelerators: roundUp(size.accelerators)
  }
}

/** Units that a worker or quota of this capacity provides. Rounded down, for the same reason as in {@link sizeUnits}. */
export function capacityUnits (capacity: Capacity): Units {
  return {
    cpus: Math.floor(capacity.cpus * UNITS_PER_CPU + ROUNDING_TOLERANCE),
    memory: Math.floor(capacity.memoryMb * UNITS_PER_MB + ROUNDING_TOLERANCE),
    accelerators: Math.floor(capacity.accelerators + ROUNDING_TOLERANCE)
  }
}

/** Converts units to the type that the protocol uses. */
export function toCapacity (units: Units): Capacity {
  return { cpus: units.cpus / UNITS_PER_CPU, memoryMb: units.memory / UNITS_PER_MB, accelerators: units.accelerators }
}

/** Whether `need` fits into `room` in every resource. */
export function fitsUnits (need: Units, room: Units): boolean {
  return need.cpus <= room.cpus && need.memory <= room.memory && need.accelerators <= room.accelerators
}

/** Adds `amount` multiplied by `factor` to `sum`, in place. */
export function addUnits (sum: Units, amount: Units, factor = 1): void {
  sum.cpus += amount.cpus * factor
  sum.memory += amount.memory * factor
  sum.accelerators += amount.accelerators * factor
}

/** Number of tasks of size `need` that fit into `room`, at most `limit`. 0 if the room of any resource is negative. */
export function fitCount (need: Units, room: Units, limit: number): number {
  let count = limit
  for (const resource of RESOURCES) {
    if (room[resource] < 0) return 0
    if (need[resource] > 0) count = Math.min(count, Math.floor(room[resource] / need[resource]))
  }
  return Math.max(0, count)
}

/** Text of an amount of one resource, such as `1.5 cpus`. */
export function amountText (resource: Resource, units: number): string {
  const amount = { cpus: units / UNITS_PER_CPU, memory: units / UNITS_PER_MB, accelerators: units }[resource]
  const unit = { cpus: 'cpus', memory: 'MB of memory', accelerators: 'accelerators' }[resource]
  return `${Number(amount.toFixed(3))} ${unit}`
}

function roundUp (value: number): number {
  return Math.ceil(value - ROUNDING_TOLERANCE)
}
