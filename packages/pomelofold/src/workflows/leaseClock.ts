/**
 * Remaining time of a lease by the holder's own clocks.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Share of a lease that is counted on; the rest covers drift between the clocks of holder and store. */
const USABLE_SHARE = 0.98

/**
 * Least disagreement of the clocks that counts as a suspension of the VM, in milliseconds. The monotonic
 * clock stands still while a VM is suspended and the wall clock does not; clock adjustments stay below this.
 */
const SUSPENSION_MIN_MS = 250

/** Counts a lease from before its last renewal was sent. */
export class LeaseClock {
  private readonly _timers: Timers
  private _usableUntilMs = Number.NEGATIVE_INFINITY
  private _clockOffsetMs = 0
  private _renewalSentMs = Number.NEGATIVE_INFINITY

  constructor (timers: Timers) {
    this._timers = timers
  }

  /** Notes a renewal that was confirmed: sent at `sentMs` of the monotonic clock and `sentWallMs` of the wall clock. */
  noteRenewal (sentMs: number, sentWallMs: number, ttlMs: number): void {
    this._clockOffsetMs = sentWallMs - sentMs
    this._renewalSentMs = sentMs
    this._usableUntilMs = sentMs + ttlMs * USABLE_SHARE
  }

  /** Notes the end of the lease. */
  noteEnd (): void {
    this._usableUntilMs = Number.NEGATIVE_INFINITY
    this._renewalSentMs = Number.NEGATIVE_INFINITY
  }

  /** Time since the last confirmed renewal was sent, in milliseconds; infinite when the clocks disagree or there was none. */
  get sinceRenewalMs (): number {
    const nowMs = this._timers.now()
    if (Math.abs(this._timers.wallClock() - nowMs - this._clockOffsetMs) > SUSPENSION_MIN_MS) return Number.POSITIVE_INFINITY
    return nowMs - this._renewalSentMs
  }

  /** Time for which the lease surely lasts, in milliseconds; negative once it may have ended. */
  get remainingMs (): number {
    const nowMs = this._timers.now()
    const suspendedMs = this._timers.wallClock() - nowMs - this._clockOffsetMs
    if (Math.abs(suspendedMs) > SUSPENSION_MIN_MS) return Math.min(0, this._usableUntilMs - nowMs - suspendedMs)
    return this._usableUntilMs - nowMs
  }
}
