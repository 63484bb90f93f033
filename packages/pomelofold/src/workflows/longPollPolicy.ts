/**
 * Decides how long calls to workers wait for the end of a run (long polling).
 *
 * Load pattern: workers that leave some calls unanswered while short tasks end on them. When the answer of a call
 * with a long wait is lost, this is noticed late, and so are the ends on that worker. Calls therefore wait for a
 * long time only while all calls are answered, and for a shorter time for a while after an unanswered one.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Wait while all calls are answered, in milliseconds: a quarter of a worker's lease. */
const DEFAULT_WAIT_MS = 1_500
/** Wait after an unanswered call, in milliseconds: less than the run time of short tasks. */
const WAIT_AFTER_FAILURE_MS = 400
/** Time after an unanswered call in which more are expected, in milliseconds: the usual length of such a fault. */
const FAILURE_EFFECT_MS = 5_000

/** Shortens the wait of calls to all workers after any worker left a call unanswered. */
export class LongPollPolicy {
  private readonly _timers: Timers
  private _unansweredMs = Number.NEGATIVE_INFINITY

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  /** Notes that a call was not answered. */
  noteUnanswered (): void {
    this._unansweredMs = this._timers.now()
  }

  /** Time that the next call waits for an end, in milliseconds. */
  get waitMs (): number {
    return this._timers.now() - this._unansweredMs < FAILURE_EFFECT_MS ? WAIT_AFTER_FAILURE_MS : DEFAULT_WAIT_MS
  }
}
