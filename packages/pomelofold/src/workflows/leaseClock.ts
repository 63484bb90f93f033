/**
 * Remaining time of a lease, measured by the clocks of its holder.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Share of a lease that its holder uses. The rest allows for drift between the clocks of holder and store. */
const USABLE_SHARE = 0.98

/**
 * Least change of the offset between wall clock and monotonic clock that counts as a suspension of the VM, in
 * milliseconds. The monotonic clock stops while a VM is suspended, the wall clock does not. Clock adjustments
 * stay below this.
 */
const MIN_VM_SUSPENSION_MS = 250

/** Computes the rest of a lease. The lease counts from the time at which its last renewal was sent, not answered. */
export class LeaseClock {
  private readonly _timers: Timers
  private _usableUntilMs = Number.NEGATIVE_INFINITY
  /** Wall clock less monotonic clock at the last renewal. */
  private _clockOffsetMs = 0
  private _renewalSentMs = Number.NEGATIVE_INFINITY

  constructor (timers: Timers) {
    this._timers = timers
  }

  /** Notes a confirmed renewal that was sent at `sentMs` of the monotonic clock and `sentWallMs` of the wall clock. */
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

  /** Time since the last confirmed renewal was sent, in milliseconds; infinite after a suspension of the VM or without a renewal. */
  get sinceRenewalMs (): number {
    const nowMs = this._timers.now()
    if (Math.abs(this._timers.wallClock() - nowMs - this._clockOffsetMs) > MIN_VM_SUSPENSION_MS) return Number.POSITIVE_INFINITY
    return nowMs - this._renewalSentMs
  }

  /** Time for which the lease is certain to last, in milliseconds; zero or less once it may have ended. */
  get remainingMs (): number {
    const nowMs = this._timers.now()
    const suspendedMs = this._timers.wallClock() - nowMs - this._clockOffsetMs
    if (Math.abs(suspendedMs) > MIN_VM_SUSPENSION_MS) return Math.min(0, this._usableUntilMs - nowMs - suspendedMs)
    return this._usableUntilMs - nowMs
  }
}
