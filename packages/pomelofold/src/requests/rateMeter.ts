/**
 * Measured rate of events.
 *
 * @module
 */

/** Time constant of the average, in milliseconds. */
const TIME_CONSTANT_MS = 1_000

/** An exponentially weighted rate. */
export class RateMeter {
  private _perMs = 0
  private _atMs = 0

  /** Counts one event. */
  mark (nowMs: number): void {
    this._perMs = this.perMs(nowMs) + 1 / TIME_CONSTANT_MS
    this._atMs = nowMs
  }

  /** Events per millisecond. */
  perMs (nowMs: number): number {
    return this._perMs * Math.exp((this._atMs - nowMs) / TIME_CONSTANT_MS)
  }
}
