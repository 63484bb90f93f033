/**
 * Learned time to answer.
 *
 * @module
 */

/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.1
/** Samples after which the learned value replaces the expected one. */
const MIN_SAMPLES = 10

/** Most that an unfinished sample counts, in expected values. */
const MAX_UNFINISHED_FACTOR = 2
/** Deviations above the mean that an answer is allowed for. */
const SPREAD_DEVIATIONS = 3

/** Exponentially weighted average and mean deviation of service times. */
export class ServiceTimeEstimator {
  private _meanMs = 0
  private _deviationMs = 0
  private _samples = 0

  add (elapsedMs: number): void {
    this._samples++
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this._samples)
    this._deviationMs += weight * (Math.abs(elapsedMs - this._meanMs) - this._deviationMs)
    this._meanMs += weight * (elapsedMs - this._meanMs)
  }

  /** Adds a sample that may be longer than `elapsedMs`. It counts as at most a few times the expected value. */
  addLowerBound (elapsedMs: number, fallbackMs: number): void {
    const expectedMs = this.expectedMs(fallbackMs)
    if (elapsedMs > expectedMs) this.add(Math.min(elapsedMs, expectedMs * MAX_UNFINISHED_FACTOR))
  }

  /** The learned mean. With few samples, leans on `fallbackMs`. */
  expectedMs (fallbackMs: number): number {
    if (this._samples >= MIN_SAMPLES) return this._meanMs
    return (this._samples * this._meanMs + (MIN_SAMPLES - this._samples) * fallbackMs) / MIN_SAMPLES
  }

  /** How much longer than expected a request may well take. */
  spreadMs (): number {
    return this._samples >= MIN_SAMPLES ? SPREAD_DEVIATIONS * this._deviationMs : 0
  }
}
