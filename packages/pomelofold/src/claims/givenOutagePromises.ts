/**
 * Promises that this process has given to holders: not to take over from them.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { ProcessId } from './claimMap.js'

interface GivenPromise {
  untilMs: number
  sequence: number
}

/** A holder's message about one promise. `forMs` 0 releases it. */
export interface OutagePromiseMessage extends ProcessId {
  forMs: number
  sequence: number
}

/** Promises given, by holder process. Each lasts on this process's clock. */
export class GivenOutagePromises {
  private readonly _timers: Timers
  private readonly _promises = new Map<string, GivenPromise>()

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  /** Takes a message in. False when a later message of the same process was seen before. */
  accept ({ vm, incarnation, forMs, sequence }: OutagePromiseMessage): boolean {
    const key = promiseKeyOf({ vm, incarnation })
    const earlier = this._promises.get(key)
    if (earlier && earlier.sequence >= sequence) return false
    this._promises.set(key, { sequence, untilMs: forMs === 0 ? 0 : this._timers.now() + forMs })
    return true
  }

  /** True while a promise to this process is outstanding. */
  isOutstandingTo (holder: ProcessId): boolean {
    return (this._promises.get(promiseKeyOf(holder))?.untilMs ?? 0) > this._timers.now()
  }

  /** Number of promises outstanding. */
  outstandingCount (): number {
    return [...this._promises.values()].filter(promise => promise.untilMs > this._timers.now()).length
  }
}

function promiseKeyOf ({ vm, incarnation }: ProcessId): string {
  return `${vm}/${incarnation}`
}
