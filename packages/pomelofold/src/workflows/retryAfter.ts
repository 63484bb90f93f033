/**
 * Computes the `Retry-After` value for callers that were refused.
 *
 * Load pattern: the store cannot be reached for seconds. Every caller that submits in that time is refused and
 * retries a few times within its own time limit. The length of an outage is not known in advance, so an outage
 * that has lasted for some time is expected to last as long again. A caller with a short time limit gets a
 * shorter value, so that several tries fit into its limit.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'

const MS_PER_S = 1_000
/** Shortest time, in seconds: the header has whole seconds. */
const RETRY_AFTER_MIN_S = 1
/** Longest time, in seconds: a later retry of a short job is of little use to its caller. */
const RETRY_AFTER_MAX_S = 4
/** Number of retries that must fit into the time limit of a caller. */
const TRIES_WITHIN_WAIT = 3

/** Options of {@link retryAfterS}. */
export interface RetryAfterOptions {
  /** Time since the connection to the store was lost, in milliseconds. */
  outageMs: number
  /** The caller's time limit for all its tries, in milliseconds; undefined when it did not send one. */
  callerWaitMs: number | undefined
  random: RandomSource
}

/** Whole seconds after which to retry, randomly one of two neighbouring values so that callers do not retry all at once. */
export function retryAfterS ({ outageMs, callerWaitMs = Number.POSITIVE_INFINITY, random }: RetryAfterOptions): number {
  const outageS = Math.floor(outageMs / MS_PER_S + random.next())
  const maxS = Math.min(RETRY_AFTER_MAX_S, Math.floor(callerWaitMs / MS_PER_S / TRIES_WITHIN_WAIT))
  return Math.max(RETRY_AFTER_MIN_S, Math.min(maxS, outageS))
}
