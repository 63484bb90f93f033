/**
 * Circuit breaker with slow start for one service instance.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'

/** Consecutive failures that start a pause. */
const FAILURES_TO_PAUSE = 3
/** Share of failures among recent requests above which a pause starts. */
const FAILURE_SHARE_TO_PAUSE = 0.5
/** Weight of the newest result in the moving average of failures. */
const RESULT_WEIGHT = 0.1
/** Upper bound of the first pause. It doubles with each further pause before recovery, up to the maximum. */
const INITIAL_PAUSE_MS = 250
const MAX_PAUSE_MS = 10_000
/** Share of its slots that a new instance may use before its first answer. */
const INITIAL_SLOT_SHARE = 0.25

/**
 * Limits how many requests the instance may have in flight. Each success raises the limit by one, up to the slots.
 * Repeated failures pause the instance; after the pause the limit is one request, as a probe.
 */
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

  /** Number of requests that may be in flight now. Zero during a pause. */
  maxInFlight (nowMs: number): number {
    return nowMs < this._pausedUntilMs ? 0 : this._maxInFlight
  }

  /** Limit to plan with: all slots, since a slow start soon ends, but only the present limit while recovering from a pause. */
  expectedMaxInFlight (nowMs: number): number {
    return this._pausesSinceRecovery === 0 ? this._slots : this.maxInFlight(nowMs)
  }

  /** End of the present or latest pause. Zero when there was none. */
  pausedUntilMs (): number {
    return this._pausedUntilMs
  }

  /** Moving average of the share of requests that failed. */
  failureShare (): number {
    return this._failureShare
  }

  recordSuccess (): void {
    this._consecutiveFailures = 0
    this._failureShare *= 1 - RESULT_WEIGHT
    if (this._maxInFlight < this._slots) this._maxInFlight++
    if (this._maxInFlight === this._slots) this._pausesSinceRecovery = 0
  }

  /** Sets the number of slots. An instance past its slow start may use all of the new ones. */
  setSlots (slots: number): void {
    if (this._maxInFlight === this._slots) this._maxInFlight = slots
    this._slots = slots
    this._maxInFlight = Math.min(this._maxInFlight, slots)
  }

  /** Counts a failed request. With `mayPause`, a pause starts when failures reach a threshold or the instance had not yet recovered. */
  recordFailure (nowMs: number, mayPause: boolean): void {
    this._consecutiveFailures++
    this._failureShare += RESULT_WEIGHT * (1 - this._failureShare)
    if (!mayPause) return
    const probing = this._pausesSinceRecovery > 0 && this._maxInFlight < this._slots
    if (probing || this._consecutiveFailures >= FAILURES_TO_PAUSE || this._failureShare > FAILURE_SHARE_TO_PAUSE) this.pause(nowMs)
  }

  /**
   * Starts a pause, after which one request probes the instance. Its length is random, between half of its upper bound and
   * all of it. Does nothing during a pause.
   */
  pause (nowMs: number): void {
    if (nowMs < this._pausedUntilMs) return
    const pauseMs = Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** this._pausesSinceRecovery)
    this._pausedUntilMs = nowMs + pauseMs * (0.5 + this._random.next() / 2)
    this._pausesSinceRecovery++
    this._maxInFlight = 1
  }
}
