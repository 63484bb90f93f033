/**
 * Conversion of durations between the monotonic clocks of two machines, which run at slightly different rates.
 *
 * @module
 */

/** Largest relative difference between the rates of two machines' monotonic clocks. */
export const MAX_CLOCK_DRIFT = 0.01

/** Time for which a holder may rely on something that another machine grants for `ms`: the shortest possible on its clock. */
export function minDurationMs (ms: number): number {
  return ms * (1 - MAX_CLOCK_DRIFT)
}

/** Time after which something that lasts `ms` on another machine has ended there: the longest possible on the clock of this machine. */
export function maxDurationMs (ms: number): number {
  return ms * (1 + MAX_CLOCK_DRIFT)
}
