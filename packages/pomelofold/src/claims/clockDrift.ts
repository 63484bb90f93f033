/**
 * Bound of the difference in rate between the monotonic clocks of two machines.
 *
 * @module
 */

/** Largest relative difference in rate between two machines' monotonic clocks. */
export const MAX_CLOCK_DRIFT = 0.01

/** Time for which a holder counts on something granted for `ms` by another clock. */
export function minDurationMs (ms: number): number {
  return ms * (1 - MAX_CLOCK_DRIFT)
}

/** Time after which something counted for `ms` by another clock has surely ended. */
export function maxDurationMs (ms: number): number {
  return ms * (1 + MAX_CLOCK_DRIFT)
}
