/**
 * Outage promises that other claimants have given to this process: not to take over its claims for a time.
 *
 * @module
 */

import type { Claimant } from './claimMap.js'

interface HeldPromise {
  untilMs: number
  /** Epoch at which the claimant's incarnation entered, by the claim map that was current when the promise was requested. */
  entered: number
}

/** Promises held, by the VM of the claimant. */
export class HeldOutagePromises {
  private readonly _promises = new Map<string, HeldPromise>()

  /** Records a promise of `vm` that this process may rely on until `untilMs`. */
  record (vm: string, promise: HeldPromise): void {
    this._promises.set(vm, promise)
  }

  /**
   * Time until which all `claimants` have promised. A promise of an earlier incarnation does not count. Infinity when there
   * are no claimants, -Infinity when a promise is missing.
   */
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
