/**
 * Probation of service instances that fail or return.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'

/** Failures in a row after which an instance gets nothing for a while. */
const FAILURES_TO_OPEN = 3
/** Share of recent failures above which an instance gets nothing for a while. */
const FAILURE_SHARE_TO_OPEN = 0.5
/** Weight of the newest result in the share of failures. */
const RESULT_WEIGHT = 0.1
/** First pause after failures, in milliseconds. */
const FIRST_PAUSE_MS = 250
/** Longest pause, in milliseconds. */
const MAX_PAUSE_MS = 10_000
/** Share of the slots that a new instance may use at once. */
const FIRST_SHARE = 0.25

/** Circuit breaker with slow start: how many requests an instance may have in flight. */
export class InstanceHealth {
  private _slots: number
  private readonly _random: RandomSource
  private _allowance: number
  private _failureShare = 0
  private _failuresInRow = 0
  private _pauses = 0
  private _pausedUntilMs = 0

  constructor ({ slots, random }: { slots: number, random: RandomSource }) {
    this._slots = slots
    this._random = random
    this._allowance = Math.max(1, Math.floor(slots * FIRST_SHARE))
  }

  /** Requests that may be in flight. */
  allowance (nowMs: number): number {
    return nowMs < this._pausedUntilMs ? 0 : this._allowance
  }

  /** Requests that may be in flight before long: a new instance counts whole, one that has failed as far as it has recovered. */
  width (nowMs: number): number {
    return this._pauses === 0 ? this._slots : this.allowance(nowMs)
  }

  /** End of the pause, when there is one. */
  pausedUntilMs (): number {
    return this._pausedUntilMs
  }

  /** Share of recent requests that failed. */
  failureShare (): number {
    return this._failureShare
  }

  succeeded (): void {
    this._failuresInRow = 0
    this._failureShare *= 1 - RESULT_WEIGHT
    if (this._allowance < this._slots) this._allowance++
    if (this._allowance === this._slots) this._pauses = 0
  }

  /** Sets the number of slots of the instance. */
  resize (slots: number): void {
    if (this._allowance === this._slots) this._allowance = slots
    this._slots = slots
    this._allowance = Math.min(this._allowance, slots)
  }

  /** Counts a failed request. With `mayPause`, many of them start a pause. */
  failed (nowMs: number, mayPause: boolean): void {
    this._failuresInRow++
    this._failureShare += RESULT_WEIGHT * (1 - this._failureShare)
    if (!mayPause) return
    const probing = this._pauses > 0 && this._allowance < this._slots
    if (probing || this._failuresInRow >= FAILURES_TO_OPEN || this._failureShare > FAILURE_SHARE_TO_OPEN) this.pause(nowMs)
  }

  /** Starts a pause, after which one request probes the instance. No effect during a pause. */
  pause (nowMs: number): void {
    if (nowMs < this._pausedUntilMs) return
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this._pauses)
    this._pausedUntilMs = nowMs + pauseMs * (0.5 + this._random.next() / 2)
    this._pauses++
    this._allowance = 1
  }
}
