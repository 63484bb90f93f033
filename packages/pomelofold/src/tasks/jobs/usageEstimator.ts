/**
 * Learns how far the jobs of a family exceed what they declare.
 *
 * @module
 */

import type { Capacity } from '../../protocol/vms.js'

/** Weight of a new observation that lies below what was learned; a higher one counts at once. */
const USAGE_DECAY_WEIGHT = 0.02
const DURATION_WEIGHT = 0.2
const MAX_USAGE_FACTOR = 8
const MAX_FAMILIES = 10_000

interface FamilyFactors {
  cpuFactor: number
  memoryFactor: number
  /** Run time over declared. */
  durationFactor: number
}

/** Shares of usage over declared size, by family. */
export class UsageEstimator {
  private readonly _families = new Map<string, FamilyFactors>()

  /** Notes a task's usage. */
  observe (family: string, declared: Capacity, usage: Capacity): void {
    const learned = this._factorsOf(family)
    learned.cpuFactor = updateFactor(learned.cpuFactor, usage.cpus / declared.cpus)
    learned.memoryFactor = updateFactor(learned.memoryFactor, usage.memoryMb / declared.memoryMb)
  }

  /** Notes how long a finished task ran. */
  observeDuration (family: string, declaredMs: number, ranMs: number): void {
    if (declaredMs <= 0) return
    const learned = this._factorsOf(family)
    learned.durationFactor += DURATION_WEIGHT * (ranMs / declaredMs - learned.durationFactor)
  }

  /** Size to plan with: never below the declared one. */
  plannedSize (family: string, declared: Capacity): Capacity {
    const learned = this._families.get(family)
    if (!learned) return declared
    return {
      cpus: declared.cpus * learned.cpuFactor,
      memoryMb: declared.memoryMb * learned.memoryFactor,
      accelerators: declared.accelerators
    }
  }

  /** Expected run time. */
  expectedMs (family: string, declaredMs: number): number {
    return declaredMs * (this._families.get(family)?.durationFactor ?? 1)
  }

  private _factorsOf (family: string): FamilyFactors {
    let learned = this._families.get(family)
    if (!learned) {
      if (this._families.size >= MAX_FAMILIES) this._families.delete(this._families.keys().next().value!)
      this._families.set(family, learned = { cpuFactor: 1, memoryFactor: 1, durationFactor: 1 })
    }
    return learned
  }
}

function updateFactor (factor: number, seen: number): number {
  if (!Number.isFinite(seen)) return factor
  const bounded = Math.min(MAX_USAGE_FACTOR, Math.max(1, seen))
  return bounded >= factor ? bounded : factor + USAGE_DECAY_WEIGHT * (bounded - factor)
}
