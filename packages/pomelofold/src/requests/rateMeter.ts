/**
 * Rate of events as a moving average.
 *
 * @module
 */

/** Time in which the weight of an event decays to 1/e. */
const TIME_CONSTANT_MS = 1_000

/** Rate of events in which the weight of each event decays exponentially with its age. */
export class RateMeter {
  private _perMs = 0
  private _atMs = 0

  /** Counts one event. */
  mark (nowMs: number): void {
    this._perMs = this.perMs(nowMs) + 1 / TIME_CONSTANT_MS
    this._atMs = nowMs
  }

  /** Average number of events per millisecond. */
  perMs (nowMs: number): number {
    return this._perMs * Math.exp((this._atMs - nowMs) / TIME_CONSTANT_MS)
  }
}
