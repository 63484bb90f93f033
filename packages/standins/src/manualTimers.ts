/**
 * Clock that tests and benchmarks advance explicitly.
 *
 * @module
 */

import { Heap } from 'heap-js'
import type { Timers, TimerSubscription } from 'pomelofold/seams/timers'

interface ScheduledCallback {
  atMs: number
  /** Order of subscription; decides between callbacks that are due at the same time. */
  sequence: number
  fn: () => void
  cancelled: boolean
}

/** Number of microtask turns awaited after each callback, so that chains of resolved promises run to their end. */
const SETTLE_MICROTASK_TURNS = 20

/** Timers whose clock moves only when a test advances it. Callbacks due at the same time run in order of subscription. */
export class ManualTimers implements Timers {
  private _nowMs = 0
  private _nextSequence = 0
  private readonly _callbacks = new Heap<ScheduledCallback>((a, b) => a.atMs - b.atMs || a.sequence - b.sequence)

  now (): number {
    return this._nowMs
  }

  /** Starts at a fixed date, 14 November 2023. */
  wallClock (): number {
    return 1_700_000_000_000 + this._nowMs
  }

  after (delayMs: number, fn: () => void): TimerSubscription {
    const callback: ScheduledCallback = { atMs: this._nowMs + Math.max(0, delayMs), sequence: this._nextSequence++, fn, cancelled: false }
    this._callbacks.push(callback)
    return { cancel () { callback.cancelled = true } }
  }

  every (periodMs: number, fn: () => void): TimerSubscription {
    let currentTimer: TimerSubscription
    const scheduleNext = (): void => {
      currentTimer = this.after(periodMs, () => { scheduleNext(); fn() })
    }
    scheduleNext()
    return { cancel () { currentTimer.cancel() } }
  }

  /** Advances the clock by `ms`. Runs the callbacks that become due, and lets promises settle after each one. */
  async advance (ms: number): Promise<void> {
    const endMs = this._nowMs + ms
    await settlePromises()
    for (let next = this._callbacks.peek(); next && next.atMs <= endMs; next = this._callbacks.peek()) {
      this._callbacks.pop()
      if (next.cancelled) continue
      this._nowMs = Math.max(this._nowMs, next.atMs)
      next.fn()
      await settlePromises()
    }
    this._nowMs = endMs
    await settlePromises()
  }

  /** Advances the clock without running callbacks, as if the process were paused. Those that became due run at the next {@link advance}. */
  advanceWithoutCallbacks (ms: number): void {
    this._nowMs += ms
  }

  /** Advances the clock in steps of `stepMs` until `condition` holds. Rejects after `limitMs`. */
  async advanceUntil (condition: () => boolean, { limitMs = 600_000, stepMs = 10 } = {}): Promise<void> {
    const endMs = this._nowMs + limitMs
    await settlePromises()
    while (!condition()) {
      if (this._nowMs >= endMs) throw new Error(`condition was not met within ${limitMs} ms of simulated time`)
      await this.advance(stepMs)
    }
  }
}

async function settlePromises (): Promise<void> {
  for (let turn = 0; turn < SETTLE_MICROTASK_TURNS; turn++) await Promise.resolve()
}
