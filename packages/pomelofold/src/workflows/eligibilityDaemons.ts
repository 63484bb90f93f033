/**
 * Selects the daemon that makes the next call to the eligibility service.
 *
 * Load pattern: a slow eligibility service that serves one call of each daemon at a time, while urgent steps need short
 * calls and overnight steps need long ones, and while some daemons are cut off. Some daemons are reserved for short
 * calls, and a daemon whose calls fail is used less and less often.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Calls with a longer expected time count as long, in milliseconds: a fifth of the shortest objective of urgent work. */
const LONG_CALL_MS = 200
/** Number of daemons that make no long calls. */
const DAEMONS_FOR_SHORT_CALLS = 2
/** Time without calls through a daemon after its first failed call, in milliseconds; doubled with each further failure. */
const FAILED_DAEMON_PAUSE_MS = 300
/** Longest time without calls through a daemon, in milliseconds: a daemon that is cut off is found again soon after the cut. */
const FAILED_DAEMON_PAUSE_MAX_MS = 2_400

/** Options of an {@link EligibilityDaemons}. */
export interface EligibilityDaemonsOptions {
  timers: Timers
  /** VMs of the daemons that can call the service, this one included. */
  daemons: () => string[]
}

/** Keeps account of the daemons that have a call in progress, and of those whose last calls failed. */
export class EligibilityDaemons {
  private readonly _options: EligibilityDaemonsOptions
  private readonly _callsByDaemon = new Map<string, { long: boolean }>()
  private readonly _failures = new Map<string, { count: number, pausedUntilMs: number }>()

  constructor (options: EligibilityDaemonsOptions) {
    this._options = options
  }

  /** Number of daemons that have a call in progress. */
  get busyCount (): number {
    return this._callsByDaemon.size
  }

  /** Number of calls with that expected time that could start now. */
  freeCount (expectedMs: number): number {
    const daemons = this._options.daemons()
    const free = daemons.filter(vm => this._isFree(vm)).length
    if (expectedMs <= LONG_CALL_MS) return free
    const longCalls = [...this._callsByDaemon.values()].filter(call => call.long).length
    const maxLongCalls = Math.max(1, daemons.length - DAEMONS_FOR_SHORT_CALLS)
    return Math.max(0, Math.min(free, maxLongCalls - longCalls))
  }

  /** Daemon for a call with that expected time, which counts as busy until `release`; undefined when none is free. */
  take (expectedMs: number): string | undefined {
    if (this.freeCount(expectedMs) === 0) return
    const long = expectedMs > LONG_CALL_MS
    const free = this._options.daemons().filter(vm => this._isFree(vm))
    const reliable = free.filter(vm => !this._failures.has(vm))
    const preferred = reliable.length ? reliable : free
    const daemon = long ? preferred.at(-1)! : preferred[0]
    this._callsByDaemon.set(daemon, { long })
    return daemon
  }

  /** Notes the end of a call through a daemon. */
  release (daemon: string, { failed }: { failed: boolean }): void {
    this._callsByDaemon.delete(daemon)
    if (!failed) {
      this._failures.delete(daemon)
      return
    }
    const count = (this._failures.get(daemon)?.count ?? 0) + 1
    const pauseMs = Math.min(FAILED_DAEMON_PAUSE_MAX_MS, FAILED_DAEMON_PAUSE_MS * 2 ** (count - 1))
    this._failures.set(daemon, { count, pausedUntilMs: this._options.timers.now() + pauseMs })
  }

  private _isFree (vm: string): boolean {
    return !this._callsByDaemon.has(vm) && (this._failures.get(vm)?.pausedUntilMs ?? 0) <= this._options.timers.now()
  }
}
