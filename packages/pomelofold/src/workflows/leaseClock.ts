/**
 * Remaining time of a lease, measured by the clocks of its holder.
 *
 * @module
 */

import { suspendedMsSince, type ClockReading } from '../seams/clockReading.js'
import type { Timers } from '../seams/timers.js'

/** Share of a lease that its holder uses. The rest allows for drift between the clocks of holder and store. */
const USABLE_SHARE = 0.98

/** Computes the rest of a lease. The lease counts from the time at which its last renewal was sent, not answered. */
export class LeaseClock {
  private readonly _timers: Timers
  private _usableUntilMs = Number.NEGATIVE_INFINITY
  /** Time at which the last confirmed renewal was sent; undefined without a lease. */
  private _renewalSent: ClockReading | undefined

  constructor (timers: Timers) {
    this._timers = timers
  }

  /** Notes a confirmed renewal that was sent at `sentMs` of the monotonic clock and `sentWallMs` of the wall clock. */
  noteRenewal (sentMs: number, sentWallMs: number, ttlMs: number): void {
    this._renewalSent = { monotonicMs: sentMs, wallMs: sentWallMs }
    this._usableUntilMs = sentMs + ttlMs * USABLE_SHARE
  }

  /** Notes the end of the lease. */
  noteEnd (): void {
    this._usableUntilMs = Number.NEGATIVE_INFINITY
    this._renewalSent = undefined
  }

  /** Time since the last confirmed renewal was sent, in milliseconds; infinite after a suspension of the VM or without a renewal. */
  get sinceRenewalMs (): number {
    if (!this._renewalSent || suspendedMsSince(this._timers, this._renewalSent) !== 0) return Number.POSITIVE_INFINITY
    return this._timers.now() - this._renewalSent.monotonicMs
  }

  /** Time for which the lease is certain to last, in milliseconds; zero or less once it may have ended. */
  get remainingMs (): number {
    if (!this._renewalSent) return Number.NEGATIVE_INFINITY
    const remainingMs = this._usableUntilMs - this._timers.now()
    const suspendedMs = suspendedMsSince(this._timers, this._renewalSent)
    return suspendedMs === 0 ? remainingMs : Math.min(0, remainingMs - suspendedMs)
  }
}
