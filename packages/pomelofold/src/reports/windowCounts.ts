/**
 * Counts over a sliding time window in bounded memory.
 *
 * @module
 */

import { BURN_CAUSES, noCounts, type BurnCause, type CauseCounts } from './burnTypes.js'

/** Buckets of a window. The oldest leaves as a whole. */
const BUCKETS = 30

const CAUSES = Object.values(BURN_CAUSES)

/** Counts by cause over the last `windowMs`, in a ring of coarse buckets. */
export class WindowCounts {
  private readonly _bucketMs: number
  /** Number of the bucket that each slot of the ring holds. */
  private readonly _numbers = new Float64Array(BUCKETS).fill(-1)
  private readonly _counts = new Float64Array(BUCKETS * CAUSES.length)

  constructor (windowMs: number) {
    this._bucketMs = windowMs / BUCKETS
  }

  add (nowMs: number, cause: BurnCause): void {
    const number = this._numberAt(nowMs)
    const slot = number % BUCKETS
    const start = slot * CAUSES.length
    if (this._numbers[slot] !== number) {
      this._counts.fill(0, start, start + CAUSES.length)
      this._numbers[slot] = number
    }
    this._counts[start + CAUSES.indexOf(cause)]++
  }

  /** The counts of all buckets that are still in the window. */
  sum (nowMs: number): CauseCounts {
    const oldest = this._numberAt(nowMs) - BUCKETS + 1
    const sum = noCounts()
    this._numbers.forEach((number, slot) => {
      if (number < Math.max(oldest, 0)) return
      CAUSES.forEach((cause, i) => { sum[cause] += this._counts[slot * CAUSES.length + i] })
    })
    return sum
  }

  private _numberAt (nowMs: number): number {
    return Math.floor(nowMs / this._bucketMs)
  }
}
