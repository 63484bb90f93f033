/**
 * How long calls to workers wait for an end.
 *
 * Load pattern: workers that leave some calls unanswered while short tasks end there. A call that waits long
 * for an end is noticed late when its answer is lost, and the ends at its worker are learned of late. Calls
 * wait long as long as all are answered, and for a shorter time for a while after one was not.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Wait while all calls are answered, in milliseconds: a quarter of the lease of a worker. */
const DEFAULT_WAIT_MS = 1_500
/** Wait after a call was not answered, in milliseconds: less than the run time of short tasks. */
const WAIT_AFTER_FAILURE_MS = 400
/** Time after a call without an answer in which others are expected, in milliseconds: the usual length of such trouble. */
const FAILURE_EFFECT_MS = 5_000

/** Remembers when a worker last left a call unanswered. */
export class LongPollPolicy {
  private readonly _timers: Timers
  private _unansweredMs = Number.NEGATIVE_INFINITY

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  noteUnanswered (): void {
    this._unansweredMs = this._timers.now()
  }

  /** Longest wait for an end in one call, in milliseconds. */
  get waitMs (): number {
    return this._timers.now() - this._unansweredMs < FAILURE_EFFECT_MS ? WAIT_AFTER_FAILURE_MS : DEFAULT_WAIT_MS
  }
}
