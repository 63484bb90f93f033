/**
 * Counts of queued requests by deadline, to estimate how many stand before a new one.
 *
 * @module
 */

/** Width of a fine bucket, in milliseconds. */
const FINE_BUCKET_MS = 32
/** Fine buckets in a coarse one. */
const FINE_PER_COARSE_BUCKET = 64
const COARSE_BUCKET_MS = FINE_BUCKET_MS * FINE_PER_COARSE_BUCKET

interface CoarseBucket {
  total: number
  fine: Uint32Array
}

/** A two-level histogram of deadlines. */
export class DeadlineHistogram {
  private readonly _buckets = new Map<number, CoarseBucket>()

  add (deadlineMs: number): void {
    const coarse = Math.floor(deadlineMs / COARSE_BUCKET_MS)
    let bucket = this._buckets.get(coarse)
    if (!bucket) {
      bucket = { total: 0, fine: new Uint32Array(FINE_PER_COARSE_BUCKET) }
      this._buckets.set(coarse, bucket)
    }
    bucket.total++
    bucket.fine[fineIndex(deadlineMs, coarse)]++
  }

  remove (deadlineMs: number): void {
    const coarse = Math.floor(deadlineMs / COARSE_BUCKET_MS)
    const bucket = this._buckets.get(coarse)
    if (!bucket) return
    bucket.fine[fineIndex(deadlineMs, coarse)]--
    if (--bucket.total === 0) this._buckets.delete(coarse)
  }

  /** Number of entries whose deadline is not after `deadlineMs`, to the width of a fine bucket. */
  countUpTo (deadlineMs: number): number {
    const last = Math.floor(deadlineMs / COARSE_BUCKET_MS)
    let count = 0
    for (const [coarse, { total, fine }] of this._buckets) {
      if (coarse < last) count += total
      if (coarse !== last) continue
      const end = fineIndex(deadlineMs, coarse)
      for (let i = 0; i <= end; i++) count += fine[i]
    }
    return count
  }
}

function fineIndex (deadlineMs: number, coarse: number): number {
  return Math.min(FINE_PER_COARSE_BUCKET - 1, Math.floor((deadlineMs - coarse * COARSE_BUCKET_MS) / FINE_BUCKET_MS))
}
