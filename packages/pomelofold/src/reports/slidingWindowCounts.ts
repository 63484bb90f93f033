/**
 * Counts of requests over a sliding time window in constant memory.
 *
 * @module
 */

import { BURN_CAUSES, zeroCounts, type BurnCause, type CauseCounts } from './burnTypes.js'

/** Number of buckets that a window is divided into. The window advances by whole buckets. */
const BUCKETS_PER_WINDOW = 30

const CAUSES = Object.values(BURN_CAUSES)

/** Counts requests by cause over the last `windowMs`, in a ring buffer of `BUCKETS_PER_WINDOW` time buckets. */
export class SlidingWindowCounts {
  private readonly _bucketMs: number
  /** Number of the bucket that each slot of the ring buffer holds. Buckets are numbered from time 0; -1 marks an unused slot. */
  private readonly _bucketNumbers = new Float64Array(BUCKETS_PER_WINDOW).fill(-1)
  private readonly _counts = new Float64Array(BUCKETS_PER_WINDOW * CAUSES.length)

  constructor (windowMs: number) {
    this._bucketMs = windowMs / BUCKETS_PER_WINDOW
  }

  add (nowMs: number, cause: BurnCause): void {
    const number = this._bucketNumberAt(nowMs)
    const slot = number % BUCKETS_PER_WINDOW
    const start = slot * CAUSES.length
    if (this._bucketNumbers[slot] !== number) {
      this._counts.fill(0, start, start + CAUSES.length)
      this._bucketNumbers[slot] = number
    }
    this._counts[start + CAUSES.indexOf(cause)]++
  }

  /** Returns the sum of all buckets that are still in the window. */
  sum (nowMs: number): CauseCounts {
    const oldest = this._bucketNumberAt(nowMs) - BUCKETS_PER_WINDOW + 1
    const sum = zeroCounts()
    this._bucketNumbers.forEach((number, slot) => {
      if (number < Math.max(oldest, 0)) return
      CAUSES.forEach((cause, i) => { sum[cause] += this._counts[slot * CAUSES.length + i] })
    })
    return sum
  }

  private _bucketNumberAt (nowMs: number): number {
    return Math.floor(nowMs / this._bucketMs)
  }
}
