/**
 * Counts of queued requests by deadline, to estimate how many of them start before a new one.
 *
 * @module
 */

/** Width of a fine bucket: the accuracy of the counts. */
const FINE_BUCKET_MS = 32
const FINE_PER_COARSE_BUCKET = 64
const COARSE_BUCKET_MS = FINE_BUCKET_MS * FINE_PER_COARSE_BUCKET

interface CoarseBucket {
  /** Sum of the fine buckets, which spares adding them up for earlier deadlines. */
  total: number
  fineCounts: Uint32Array
}

/** Two-level histogram: coarse buckets exist only where there are deadlines, and each is divided into fine ones. */
export class DeadlineHistogram {
  private readonly _buckets = new Map<number, CoarseBucket>()

  add (deadlineMs: number): void {
    const coarse = Math.floor(deadlineMs / COARSE_BUCKET_MS)
    let bucket = this._buckets.get(coarse)
    if (!bucket) {
      bucket = { total: 0, fineCounts: new Uint32Array(FINE_PER_COARSE_BUCKET) }
      this._buckets.set(coarse, bucket)
    }
    bucket.total++
    bucket.fineCounts[fineIndex(deadlineMs, coarse)]++
  }

  remove (deadlineMs: number): void {
    const coarse = Math.floor(deadlineMs / COARSE_BUCKET_MS)
    const bucket = this._buckets.get(coarse)
    if (!bucket) return
    bucket.fineCounts[fineIndex(deadlineMs, coarse)]--
    if (--bucket.total === 0) this._buckets.delete(coarse)
  }

  /** Number of deadlines up to `deadlineMs`, rounded up to the end of its fine bucket. */
  countUpTo (deadlineMs: number): number {
    const last = Math.floor(deadlineMs / COARSE_BUCKET_MS)
    let count = 0
    for (const [coarse, { total, fineCounts }] of this._buckets) {
      if (coarse < last) count += total
      if (coarse !== last) continue
      const end = fineIndex(deadlineMs, coarse)
      for (let i = 0; i <= end; i++) count += fineCounts[i]
    }
    return count
  }
}

function fineIndex (deadlineMs: number, coarse: number): number {
  return Math.min(FINE_PER_COARSE_BUCKET - 1, Math.floor((deadlineMs - coarse * COARSE_BUCKET_MS) / FINE_BUCKET_MS))
}
