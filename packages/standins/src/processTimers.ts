/**
 * Timers of one simulated process, on top of a clock that all processes share.
 *
 * @module
 */

import type { Timers, TimerSubscription } from 'pomelofold/seams/timers'

/**
 * Timers of a simulated process that can be frozen, thawed and killed. While it is frozen, its clock runs on and due
 * callbacks are deferred until it is thawed. After it is killed, no callback runs.
 */
export class ProcessTimers implements Timers {
  private readonly _timers: Timers
  /** Called before each callback that runs. */
  private readonly _beforeCallback: () => void
  private _deferredCallbacks: Array<() => void> = []
  private _frozen = false
  private _killed = false

  constructor ({ timers, beforeCallback = () => {} }: { timers: Timers, beforeCallback?: () => void }) {
    this._timers = timers
    this._beforeCallback = beforeCallback
  }

  /** False while the process is frozen and after it is killed. */
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
 * Wraps a client of a simulated process. Calls are sent at once, but the process receives results and watch events
 * through `timers`, so only while it runs. Calls sent before the process is killed still take effect.
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

/** Time from reading an event of a watch until the process handles it, in milliseconds. */
const WATCH_EVENT_DELAY_MS = 1

/**
 * Wraps the handlers of a watch so that they run only while the process runs. After a freeze they run after all
 * other deferred callbacks.
 */
function deliverEventsThrough (timers: Timers, arg: unknown): unknown {
  if (typeof arg !== 'object' || arg === null) return arg
  return Object.fromEntries(Object.entries(arg).map(([name, handler]) =>
    [name, (...args: unknown[]) => { timers.after(0, () => { timers.after(WATCH_EVENT_DELAY_MS, () => handler(...args)) }) }]))
}
