/**
 * Estimates sizes and run times of tasks from earlier tasks of the same job family.
 *
 * @module
 */

import type { Capacity } from '../../protocol/vms.js'

/** Weight of an observed usage below the current factor. A higher one replaces the factor at once. */
const USAGE_DECAY_WEIGHT = 0.02
/** Weight of a new run time in the moving average. */
const DURATION_WEIGHT = 0.2
const MAX_USAGE_FACTOR = 8
const MAX_FAMILIES = 10_000

/** Observed values divided by declared ones. */
interface FamilyFactors {
  cpuFactor: number
  memoryFactor: number
  durationFactor: number
}

/** Keeps, for each job family, the factors by which usage and run time differ from the declared values. */
export class UsageEstimator {
  private readonly _families = new Map<string, FamilyFactors>()

  /** Records the usage of a task. */
  observe (family: string, declared: Capacity, usage: Capacity): void {
    const factors = this._factorsOf(family)
    factors.cpuFactor = updateFactor(factors.cpuFactor, usage.cpus / declared.cpus)
    factors.memoryFactor = updateFactor(factors.memoryFactor, usage.memoryMb / declared.memoryMb)
  }

  /** Records the run time of a finished task. */
  observeDuration (family: string, declaredMs: number, ranMs: number): void {
    if (declaredMs <= 0) return
    const factors = this._factorsOf(family)
    factors.durationFactor += DURATION_WEIGHT * (ranMs / declaredMs - factors.durationFactor)
  }

  /** Size to plan with; never below the declared one. */
  plannedSize (family: string, declared: Capacity): Capacity {
    const factors = this._families.get(family)
    if (!factors) return declared
    return {
      cpus: declared.cpus * factors.cpuFactor,
      memoryMb: declared.memoryMb * factors.memoryFactor,
      accelerators: declared.accelerators
    }
  }

  /** Expected run time of a task with the declared run time `declaredMs`. */
  expectedMs (family: string, declaredMs: number): number {
    return declaredMs * (this._families.get(family)?.durationFactor ?? 1)
  }

  private _factorsOf (family: string): FamilyFactors {
    let factors = this._families.get(family)
    if (!factors) {
      if (this._families.size >= MAX_FAMILIES) this._families.delete(this._families.keys().next().value!)
      this._families.set(family, factors = { cpuFactor: 1, memoryFactor: 1, durationFactor: 1 })
    }
    return factors
  }
}

/** Raises the factor to a higher observation at once, and lowers it gradually. */
function updateFactor (factor: number, observed: number): number {
  if (!Number.isFinite(observed)) return factor
  const bounded = Math.min(MAX_USAGE_FACTOR, Math.max(1, observed))
  return bounded >= factor ? bounded : factor + USAGE_DECAY_WEIGHT * (bounded - factor)
}
