/**
 * The clock of one process on a shared manual clock.
 *
 * @module
 */

import type { Timers, TimerSubscription } from 'pomelofold/seams/timers'

/** Timers of a process that can be frozen, woken and killed. Its time goes on while it is frozen; its callbacks wait. */
export class ProcessTimers implements Timers {
  private readonly _timers: Timers
  private readonly _beforeCallback: () => void
  private _deferredCallbacks: Array<() => void> = []
  private _frozen = false
  private _killed = false

  constructor ({ timers, beforeCallback = () => {} }: { timers: Timers, beforeCallback?: () => void }) {
    this._timers = timers
    this._beforeCallback = beforeCallback
  }

  /** False while the process is frozen and after it was killed. */
  isRunning (): boolean {
    return !this._frozen && !this._killed
  }

  freeze (): void {
    this._frozen = true
  }

  thaw (): void {
    this._frozen = false
    const deferred = this._deferredCallbacks
    this._deferredCallbacks = []
    for (const fn of deferred) this._timers.after(0, () => this._run(fn))
  }

  kill (): void {
    this._killed = true
  }

  now (): number {
    return this._timers.now()
  }

  wallClock (): number {
    return this._timers.wallClock()
  }

  after (delayMs: number, fn: () => void): TimerSubscription {
    return this._timers.after(delayMs, () => this._run(fn))
  }

  every (periodMs: number, fn: () => void): TimerSubscription {
    return this._timers.every(periodMs, () => this._run(fn))
  }

  private _run (fn: () => void): void {
    if (this._killed) return
    if (this._frozen) {
      this._deferredCallbacks.push(fn)
      return
    }
    this._beforeCallback()
    fn()
  }
}

/**
 * A client as a process sees it whose messages travel on by themselves: calls go out at once, but answers
 * are taken in only while the process runs. What was sent before a kill still arrives.
 */
export function deliverResultsThrough<T extends object> (timers: Timers, client: T): T {
  return new Proxy(client, {
    get (target, name) {
      const member = Reflect.get(target, name)
      if (typeof member !== 'function') return member
      if (name === 'watch') return (...args: unknown[]) => member.apply(target, args.map(arg => deliverEventsThrough(timers, arg)))
      return (...args: unknown[]) => {
        const result = member.apply(target, args)
        if (!(result instanceof Promise)) return result
        return new Promise((resolve, reject) => {
          result.then(value => timers.after(0, () => resolve(value)), err => timers.after(0, () => reject(err)))
        })
      }
    }
  })
}

/** Time that a process takes from reading a watch's event until it knows of it, in milliseconds. */
const WATCH_EVENT_DELAY_MS = 1

/** Handlers of a watch that are called only while the process runs; after a freeze, after all else that waited. */
function deliverEventsThrough (timers: Timers, arg: unknown): unknown {
  if (typeof arg !== 'object' || arg === null) return arg
  return Object.fromEntries(Object.entries(arg).map(([name, handler]) =>
    [name, (...args: unknown[]) => { timers.after(0, () => { timers.after(WATCH_EVENT_DELAY_MS, () => handler(...args)) }) }]))
}
