/**
 * Interface of clocks and timers. All waits, timeouts and periodic calls of the library use it, so that the
 * same code runs with the system clock and, in tests, with a clock that is advanced manually.
 *
 * @module
 */

/** A scheduled callback. */
export interface TimerSubscription {
  /** Stops further calls. Safe to call more than once. */
  cancel (): void
}

/** Clocks and timers. */
export interface Timers {
  /** Returns the monotonic time in milliseconds. It never decreases and has no relation to the date. */
  now (): number
  /** Returns the wall-clock time in milliseconds since the Unix epoch. For records and reports only, since it can jump. */
  wallClock (): number
  /** Calls `fn` once after `delayMs` milliseconds. */
  after (delayMs: number, fn: () => void): TimerSubscription
  /** Calls `fn` every `periodMs` milliseconds until it is cancelled. */
  every (periodMs: number, fn: () => void): TimerSubscription
}

/** Resolves after `delayMs` milliseconds on the clock of `timers`. */
export function delay (timers: Timers, delayMs: number): Promise<void> {
  return new Promise(resolve => { timers.after(delayMs, resolve) })
}
