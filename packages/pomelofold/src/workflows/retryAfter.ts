/**
 * When callers that were refused should come back.
 *
 * Load pattern: the store is out of reach for seconds, and every caller that submits meanwhile is refused and
 * comes back a few times, as long as it has patience. How long an outage lasts is not known; one that has
 * lasted for some time is taken to last as long again. A caller that waits no longer than that is told to
 * come back soon instead, so that it has several tries within its time.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'

const MS_PER_S = 1_000
/** Shortest time, in seconds: the least that the header can say. */
const RETRY_AFTER_MIN_S = 1
/** Longest time, in seconds: short work that comes back later is of little use to its caller. */
const RETRY_AFTER_MAX_S = 4
/** Tries of a caller within its patience. */
const TRIES_WITHIN_WAIT = 3

/** Options of {@link retryAfterS}. */
export interface RetryAfterOptions {
  /** Time since the store was lost, in milliseconds. */
  outageMs: number
  /** Time for which the caller waits in all, in milliseconds; undefined when it has not said. */
  callerWaitMs: number | undefined
  random: RandomSource
}

/** Whole seconds after which to come back, spread over two neighbouring values so that callers do not come back as one wave. */
export function retryAfterS ({ outageMs, callerWaitMs = Number.POSITIVE_INFINITY, random }: RetryAfterOptions): number {
  const outageS = Math.floor(outageMs / MS_PER_S + random.next())
  const maxS = Math.min(RETRY_AFTER_MAX_S, Math.floor(callerWaitMs / MS_PER_S / TRIES_WITHIN_WAIT))
  return Math.max(RETRY_AFTER_MIN_S, Math.min(maxS, outageS))
}
