/**
 * Decides when the next placement pass runs.
 *
 * Load pattern: bursts in which ends of runs, answers of the eligibility service and new workflows arrive every millisecond
 * while a pass takes many of them. With a fixed pause, passes take more than half of the processor then, and the reports
 * that they wait for are handled late. The pause follows the measured time of the passes, so that they take a limited share
 * of the processor. While passes are short, an event leads to one at once.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Shortest time from an event to its pass, in milliseconds: events that arrive meanwhile share one pass. */
const EVENT_DELAY_MS = 1
/** Shortest time from the end of a pass to the next one, in milliseconds. */
const MIN_PAUSE_MS = 8
/** Longest time from the end of a pass to the next one, in milliseconds: a small part of the time that short tasks take. */
const MAX_PAUSE_MS = 40
/** Largest share of the processor that passes take, unless their pause would exceed MAX_PAUSE_MS. */
const MAX_SHARE = 0.25
/** Weight of the latest pass in the average time of a pass. */
const LATEST_WEIGHT = 0.2

/** Spaces the passes by the time that they take. */
export class DispatchPacer {
  private readonly _timers: Timers
  private _lastEndMs = Number.NEGATIVE_INFINITY
  private _averageMs = 0

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  /** Notes a pass that has just ended. */
  notePass (tookMs: number): void {
    this._lastEndMs = this._timers.now()
    this._averageMs += LATEST_WEIGHT * (tookMs - this._averageMs)
  }

  /** Time from an event now to its pass, in milliseconds. */
  get delayMs (): number {
    return Math.max(EVENT_DELAY_MS, this._lastEndMs + this.pauseMs - this._timers.now())
  }

  /** Time from the end of a pass to the next one, in milliseconds. */
  get pauseMs (): number {
    const pauseMs = this._averageMs * (1 - MAX_SHARE) / MAX_SHARE
    return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, pauseMs))
  }
}
