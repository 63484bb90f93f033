/**
 * Time source. Every wait, timeout and period in the library goes through this seam,
 * so that the same code runs under the system clock and under a manual clock.
 *
 * @module
 */

/** A scheduled callback. */
export interface TimerSubscription {
  /** Stops further calls. Safe to call more than once. */
  cancel (): void
}

/** The timer service that parts subscribe to. */
export interface Timers {
  /** Monotonic time in milliseconds. Never goes back; unrelated to the date. */
  now (): number
  /** Wall-clock time in milliseconds since the Unix epoch. For records and reports only. */
  wallClock (): number
  /** Calls `fn` once after `delayMs` milliseconds. */
  after (delayMs: number, fn: () => void): TimerSubscription
  /** Calls `fn` every `periodMs` milliseconds until cancelled. */
  every (periodMs: number, fn: () => void): TimerSubscription
}

/** Resolves after `delayMs` milliseconds of `timers`. */
export function delay (timers: Timers, delayMs: number): Promise<void> {
  return new Promise(resolve => { timers.after(delayMs, resolve) })
}
