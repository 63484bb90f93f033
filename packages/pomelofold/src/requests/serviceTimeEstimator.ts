/**
 * Estimate of the time that instances take to answer, from measured times.
 *
 * @module
 */

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1
/** Samples from which on the measured mean is used alone, without the fallback. */
const MIN_SAMPLES = 10
/** An unfinished request counts as at most this many times the expected time, so that one that hangs does not distort the mean. */
const MAX_UNFINISHED_FACTOR = 2
/** Mean deviations above the mean within which most answers are expected. */
const SPREAD_DEVIATIONS = 3

/** Exponentially weighted mean and mean deviation of service times. The first samples are averaged with equal weight. */
export class ServiceTimeEstimator {
  private _meanMs = 0
  private _deviationMs = 0
  private _samples = 0

  /** Adds the time of a completed request. */
  add (elapsedMs: number): void {
    this._samples++
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this._samples)
    this._deviationMs += weight * (Math.abs(elapsedMs - this._meanMs) - this._deviationMs)
    this._meanMs += weight * (elapsedMs - this._meanMs)
  }

  /** Adds a request that had no answer after `elapsedMs`. Ignored when that is shorter than expected, which says nothing about its time. */
  addLowerBound (elapsedMs: number, fallbackMs: number): void {
    const expectedMs = this.expectedMs(fallbackMs)
    if (elapsedMs > expectedMs) this.add(Math.min(elapsedMs, expectedMs * MAX_UNFINISHED_FACTOR))
  }

  /** Mean time. With few samples, a weighted mean of theirs and `fallbackMs`. */
  expectedMs (fallbackMs: number): number {
    if (this._samples >= MIN_SAMPLES) return this._meanMs
    return (this._samples * this._meanMs + (MIN_SAMPLES - this._samples) * fallbackMs) / MIN_SAMPLES
  }

  /** Time beyond the mean to allow for slower answers. Zero with few samples. */
  spreadMs (): number {
    return this._samples >= MIN_SAMPLES ? SPREAD_DEVIATIONS * this._deviationMs : 0
  }
}
