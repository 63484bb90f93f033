/**
 * A clock moved by hand, for tests and benchmarks.
 *
 * @module
 */

import { Heap } from 'heap-js'
import type { Timers, TimerSubscription } from 'pomelofold/seams/timers'

interface Entry {
  atMs: number
  order: number
  fn: () => void
  cancelled: boolean
}

/** Turns of the microtask queue given to pending promises after each timer. */
const SETTLE_TURNS = 20

/** Timers whose time passes only by {@link ManualTimers.advance}. Callbacks due at the same time run in the order of their subscription. */
export class ManualTimers implements Timers {
  private _nowMs = 0
  private _order = 0
  private readonly _entries = new Heap<Entry>((a, b) => a.atMs - b.atMs || a.order - b.order)

  now (): number {
    return this._nowMs
  }

  wallClock (): number {
    return 1_700_000_000_000 + this._nowMs
  }

  after (delayMs: number, fn: () => void): TimerSubscription {
    const entry: Entry = { atMs: this._nowMs + Math.max(0, delayMs), order: this._order++, fn, cancelled: false }
    this._entries.push(entry)
    return { cancel () { entry.cancelled = true } }
  }

  every (periodMs: number, fn: () => void): TimerSubscription {
    let current: TimerSubscription
    const arm = (): void => {
      current = this.after(periodMs, () => { arm(); fn() })
    }
    arm()
    return { cancel () { current.cancel() } }
  }

  /** Moves time on by `ms`, running what falls due and letting promises settle after each callback. */
  async advance (ms: number): Promise<void> {
    const endMs = this._nowMs + ms
    await settle()
    for (let next = this._entries.peek(); next && next.atMs <= endMs; next = this._entries.peek()) {
      this._entries.pop()
      if (next.cancelled) continue
      this._nowMs = Math.max(this._nowMs, next.atMs)
      next.fn()
      await settle()
    }
    this._nowMs = endMs
    await settle()
  }

  /** Moves time on without running anything: a process that is paused. What fell due runs at the next {@link advance}. */
  skip (ms: number): void {
    this._nowMs += ms
  }

  /** Moves time on in steps of `stepMs` until `condition` holds. Rejects after `limitMs`. */
  async until (condition: () => boolean, { limitMs = 600_000, stepMs = 10 } = {}): Promise<void> {
    const endMs = this._nowMs + limitMs
    await settle()
    while (!condition()) {
      if (this._nowMs >= endMs) throw new Error(`condition did not hold within ${limitMs} ms of manual time`)
      await this.advance(stepMs)
    }
  }
}

async function settle (): Promise<void> {
  for (let turn = 0; turn < SETTLE_TURNS; turn++) await Promise.resolve()
}
