/**
 * Promises that other claimants have given to this process.
 *
 * @module
 */

import type { Claimant } from './claimMap.js'

interface HeldPromise {
  untilMs: number
  /** Epoch at which the promising incarnation entered the map, as known when it was asked. */
  entered: number
}

/** Promises held, by claimant. */
export class HeldOutagePromises {
  private readonly _promises = new Map<string, HeldPromise>()

  /** Records a promise of `vm` that this process may count on until `untilMs`. */
  record (vm: string, promise: HeldPromise): void {
    this._promises.set(vm, promise)
  }

  /** Time until which all `claimants` have promised. A promise of an earlier incarnation does not count. */
  promisedUntilMs (claimants: Record<string, Claimant>): number {
    const endTimesMs = Object.entries(claimants).map(([vm, { entered }]) => {
      const promise = this._promises.get(vm)
      return promise?.entered === entered ? promise.untilMs : -Infinity
    })
    return Math.min(...endTimesMs)
  }

  /** Number of promises held. */
  get size (): number {
    return this._promises.size
  }

  clear (): void {
    this._promises.clear()
  }
}
