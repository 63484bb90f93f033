/**
 * Learns how far the jobs of a family exceed what they declare.
 *
 * @module
 */

import type { Capacity } from '../../protocol/vms.js'

/** Weight of a new observation that lies below what was learned; a higher one counts at once. */
const DECAY = 0.02
const DURATION_WEIGHT = 0.2
const MAX_FACTOR = 8
const MAX_FAMILIES = 10_000

interface Learned {
  cpus: number
  memoryMb: number
  /** Run time over declared. */
  duration: number
}

/** Shares of usage over declared size, by family. */
export class UsageLearner {
  private readonly _families = new Map<string, Learned>()

  /** Notes a task's usage. */
  observe (family: string, declared: Capacity, usage: Capacity): void {
    const learned = this._learned(family)
    learned.cpus = raise(learned.cpus, usage.cpus / declared.cpus)
    learned.memoryMb = raise(learned.memoryMb, usage.memoryMb / declared.memoryMb)
  }

  /** Notes how long a finished task ran. */
  observeDuration (family: string, declaredMs: number, ranMs: number): void {
    if (declaredMs <= 0) return
    const learned = this._learned(family)
    learned.duration += DURATION_WEIGHT * (ranMs / declaredMs - learned.duration)
  }

  /** Size to plan with: never below the declared one. */
  plannedSize (family: string, declared: Capacity): Capacity {
    const learned = this._families.get(family)
    if (!learned) return declared
    return { cpus: declared.cpus * learned.cpus, memoryMb: declared.memoryMb * learned.memoryMb, accelerators: declared.accelerators }
  }

  /** Expected run time. */
  expectedMs (family: string, declaredMs: number): number {
    return declaredMs * (this._families.get(family)?.duration ?? 1)
  }

  private _learned (family: string): Learned {
    let learned = this._families.get(family)
    if (!learned) {
      if (this._families.size >= MAX_FAMILIES) this._families.delete(this._families.keys().next().value!)
      this._families.set(family, learned = { cpus: 1, memoryMb: 1, duration: 1 })
    }
    return learned
  }
}

function raise (factor: number, seen: number): number {
  if (!Number.isFinite(seen)) return factor
  const bounded = Math.min(MAX_FACTOR, Math.max(1, seen))
  return bounded >= factor ? bounded : factor + DECAY * (bounded - factor)
}
