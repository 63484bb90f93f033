/**
 * Capacity of all workers together, of which the teams have shares.
 *
 * @module
 */

import type { WorkerSession } from './workerSession.js'
import { addResources, NO_RESOURCES, type Resources } from '../protocol/workflows.js'
import type { Timers } from '../seams/timers.js'

/** Time for which a computed capacity is used, in milliseconds. */
const REFRESH_MS = 1_000

/** Options of a {@link CellCapacity}. */
export interface CellCapacityOptions {
  timers: Timers
  sessions: () => Iterable<WorkerSession>
}

/** Computes the capacity of the workers that the scheduler reaches. */
export class CellCapacity {
  private readonly _options: CellCapacityOptions
  private _capacity: Resources = NO_RESOURCES
  private _computedMs = Number.NEGATIVE_INFINITY

  constructor (options: CellCapacityOptions) {
    this._options = options
  }

  /** Capacity of all workers that answer, at most a second old. */
  get total (): Resources {
    const nowMs = this._options.timers.now()
    if (nowMs - this._computedMs < REFRESH_MS) return this._capacity
    this._computedMs = nowMs
    this._capacity = NO_RESOURCES
    for (const { reachable, entry } of this._options.sessions()) {
      if (reachable) this._capacity = addResources(this._capacity, entry.capacity)
    }
    return this._capacity
  }
}
