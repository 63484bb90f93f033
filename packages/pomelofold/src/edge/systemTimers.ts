/**
 * Clocks and timers of the system.
 *
 * @module
 */

import type { Timers, TimerSubscription } from '../seams/timers.js'

/** Maximum delay that the runtime's timers support, in milliseconds. */
const MAX_DELAY_MS = 2_147_483_647

/** {@link Timers} that use the system's monotonic and wall clocks. */
export class SystemTimers implements Timers {
  now (): number {
    return performance.now()
  }

  wallClock (): number {
    return Date.now()
  }

  after (delayMs: number, fn: () => void): TimerSubscription {
    const timer = setTimeout(fn, Math.min(delayMs, MAX_DELAY_MS))
    return { cancel () { clearTimeout(timer) } }
  }

  every (periodMs: number, fn: () => void): TimerSubscription {
    const timer = setInterval(fn, Math.min(periodMs, MAX_DELAY_MS))
    return { cancel () { clearInterval(timer) } }
  }
}
