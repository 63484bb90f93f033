/**
 * Probation of service instances that fail or return.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'

/** Failures in a row after which an instance gets nothing for a while. */
const FAILURES_TO_PAUSE = 3
/** Share of recent failures above which an instance gets nothing for a while. */
const FAILURE_SHARE_TO_PAUSE = 0.5
/** Weight of the newest result in the share of failures. */
const RESULT_WEIGHT = 0.1
/** First pause after failures, in milliseconds. */
const INITIAL_PAUSE_MS = 250
/** Longest pause, in milliseconds. */
const MAX_PAUSE_MS = 10_000
/** Share of the slots that a new instance may use at once. */
const INITIAL_SLOT_SHARE = 0.25

/** Circuit breaker with slow start: how many requests an instance may have in flight. */
export class InstanceHealth {
  private _slots: number
  private readonly _random: RandomSource
  private _maxInFlight: number
  private _failureShare = 0
  private _consecutiveFailures = 0
  private _pausesSinceRecovery = 0
  private _pausedUntilMs = 0

  constructor ({ slots, random }: { slots: number, random: RandomSource }) {
    this._slots = slots
    this._random = random
    this._maxInFlight = Math.max(1, Math.floor(slots * INITIAL_SLOT_SHARE))
  }

  /** Requests that may be in flight. */
  maxInFlight (nowMs: number): number {
    return nowMs < this._pausedUntilMs ? 0 : this._maxInFlight
  }

  /** Requests that may be in flight before long: a new instance counts whole, one that has failed as far as it has recovered. */
  expectedMaxInFlight (nowMs: number): number {
    return this._pausesSinceRecovery === 0 ? this._slots : this.maxInFlight(nowMs)
  }

  /** End of the pause, when there is one. */
  pausedUntilMs (): number {
    return this._pausedUntilMs
  }

  /** Share of recent requests that failed. */
  failureShare (): number {
    return this._failureShare
  }

  recordSuccess (): void {
    this._consecutiveFailures = 0
    this._failureShare *= 1 - RESULT_WEIGHT
    if (this._maxInFlight < this._slots) this._maxInFlight++
    if (this._maxInFlight === this._slots) this._pausesSinceRecovery = 0
  }

  /** Sets the number of slots of the instance. */
  setSlots (slots: number): void {
    if (this._maxInFlight === this._slots) this._maxInFlight = slots
    this._slots = slots
    this._maxInFlight = Math.min(this._maxInFlight, slots)
  }

  /** Counts a failed request. With `mayPause`, many of them start a pause. */
  recordFailure (nowMs: number, mayPause: boolean): void {
    this._consecutiveFailures++
    this._failureShare += RESULT_WEIGHT * (1 - this._failureShare)
    if (!mayPause) return
    const probing = this._pausesSinceRecovery > 0 && this._maxInFlight < this._slots
    if (probing || this._consecutiveFailures >= FAILURES_TO_PAUSE || this._failureShare > FAILURE_SHARE_TO_PAUSE) this.pause(nowMs)
  }

  /** Starts a pause, after which one request probes the instance. No effect during a pause. */
  pause (nowMs: number): void {
    if (nowMs < this._pausedUntilMs) return
    const pauseMs = Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** this._pausesSinceRecovery)
    this._pausedUntilMs = nowMs + pauseMs * (0.5 + this._random.next() / 2)
    this._pausesSinceRecovery++
    this._maxInFlight = 1
  }
}
