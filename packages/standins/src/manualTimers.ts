/**
 * A clock moved by hand, for tests and benchmarks.
 *
 * @module
 */

import { Heap } from 'heap-js'
import type { Timers, TimerSubscription } from 'pomelofold/seams/timers'

interface ScheduledCallback {
  atMs: number
  sequence: number
  fn: () => void
  cancelled: boolean
}

/** Turns of the microtask queue given to pending promises after each timer. */
const SETTLE_MICROTASK_TURNS = 20

/** Timers whose time passes only by {@link ManualTimers.advance}. Callbacks due at the same time run in the order of their subscription. */
export class ManualTimers implements Timers {
  private _nowMs = 0
  private _nextSequence = 0
  private readonly _callbacks = new Heap<ScheduledCallback>((a, b) => a.atMs - b.atMs || a.sequence - b.sequence)

  now (): number {
    return this._nowMs
  }

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

  /** Moves time on by `ms`, running what falls due and letting promises settle after each callback. */
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

  /** Moves time on without running anything: a process that is paused. What fell due runs at the next {@link advance}. */
  advanceWithoutCallbacks (ms: number): void {
    this._nowMs += ms
  }

  /** Moves time on in steps of `stepMs` until `condition` holds. Rejects after `limitMs`. */
  async advanceUntil (condition: () => boolean, { limitMs = 600_000, stepMs = 10 } = {}): Promise<void> {
    const endMs = this._nowMs + limitMs
    await settlePromises()
    while (!condition()) {
      if (this._nowMs >= endMs) throw new Error(`condition did not hold within ${limitMs} ms of manual time`)
      await this.advance(stepMs)
    }
  }
}

async function settlePromises (): Promise<void> {
  for (let turn = 0; turn < SETTLE_MICROTASK_TURNS; turn++) await Promise.resolve()
}
