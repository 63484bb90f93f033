/**
 * Outage promises that this process has given to holders: not to take over their claims for a time.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { ProcessId } from './claimMap.js'

interface GivenPromise {
  untilMs: number
  sequence: number
}

/** A holder's request for a promise of `forMs` milliseconds. A request with `forMs` 0 releases the promise. */
export interface OutagePromiseMessage extends ProcessId {
  forMs: number
  sequence: number
}

/** Promises given, by holder process. Their ends are measured by the clock of this process. */
export class GivenOutagePromises {
  private readonly _timers: Timers
  private readonly _promises = new Map<string, GivenPromise>()

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  /** Records the promise or its release. False when the same message or a later one of the same process was processed before. */
  accept ({ vm, incarnation, forMs, sequence }: OutagePromiseMessage): boolean {
    const key = promiseKeyOf({ vm, incarnation })
    const earlier = this._promises.get(key)
    if (earlier && earlier.sequence >= sequence) return false
    this._promises.set(key, { sequence, untilMs: forMs === 0 ? 0 : this._timers.now() + forMs })
    return true
  }

  /** True while a promise to `holder` is in force. */
  isOutstandingTo (holder: ProcessId): boolean {
    return (this._promises.get(promiseKeyOf(holder))?.untilMs ?? 0) > this._timers.now()
  }

  /** Number of promises in force. */
  outstandingCount (): number {
    return [...this._promises.values()].filter(promise => promise.untilMs > this._timers.now()).length
  }
}

function promiseKeyOf ({ vm, incarnation }: ProcessId): string {
  return `${vm}/${incarnation}`
}
