/**
 * Expected waiting time from the queue, the learned capacity and the rate of more urgent arrivals.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'
import { REQUEST_CLASSES, type RequestClass } from '../protocol/requests.js'
import { RateMeter } from './rateMeter.js'
import { CLASSES_BY_URGENCY, GUARANTEED_SHARES, type RequestQueue } from './requestQueue.js'
import { urgentReserveSlots } from './urgentReserve.js'

/** Least pause asked of callers, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100
/** Longest pause asked of callers, in milliseconds; also when nothing runs at all. */
const MAX_RETRY_AFTER_MS = 30_000
/** Pause asked of callers when nothing can run, in milliseconds. */
const UNAVAILABLE_RETRY_AFTER_MS = 2_000
/** Share by which pauses are spread out, so that callers do not come back together. */
const RETRY_JITTER_SHARE = 0.25

/** What the instances can do now. */
export interface ServiceCapacity {
  /** Starts per millisecond when all usable slots are used. */
  startsPerMs: number
  /** Requests that may be sent at once. */
  freeSlots: number
  /** Slots of all usable instances. */
  slots: number
  /** Time until a paused instance may be probed, in milliseconds. */
  resumesInMs: number
  /** Expected run time, in milliseconds. */
  expectedMs: number
}

/** A request as far as its place in the queue depends on it. */
export interface QueuePosition {
  class: RequestClass
  team: string
  latestStartMs: number
}

/** Estimates waiting times at one service's queue. */
export class WaitEstimator {
  private readonly _queue: RequestQueue
  private readonly _maxUrgentReserveShare: number
  private readonly _arrivals: Record<RequestClass, RateMeter> = { urgent: new RateMeter(), normal: new RateMeter(), batch: new RateMeter() }
  private _capacity: ServiceCapacity = { startsPerMs: 0, freeSlots: 0, slots: 0, resumesInMs: Infinity, expectedMs: 1 }

  constructor ({ queue, maxUrgentReserveShare }: { queue: RequestQueue, maxUrgentReserveShare: number }) {
    this._queue = queue
    this._maxUrgentReserveShare = maxUrgentReserveShare
  }

  setCapacity (capacity: ServiceCapacity): void {
    this._capacity = capacity
  }

  /** Counts a request that came in. */
  countArrival (cls: RequestClass, nowMs: number): void {
    this._arrivals[cls].mark(nowMs)
  }

  /** Slots to keep free for urgent requests. */
  reservedSlots (nowMs: number): number {
    const { startsPerMs, slots } = this._capacity
    return urgentReserveSlots({
      urgentPerMs: this._arrivals.urgent.perMs(nowMs),
      freedPerMs: startsPerMs,
      slots,
      maxShare: this._maxUrgentReserveShare
    })
  }

  /** Expected time until a new request would be sent. Infinite when nothing can run. */
  waitMs ({ class: cls, team, latestStartMs }: QueuePosition, nowMs: number): number {
    const { startsPerMs, resumesInMs, expectedMs } = this._capacity
    const freeSlots = this._capacity.freeSlots - (cls === REQUEST_CLASSES.urgent ? 0 : this.reservedSlots(nowMs))
    const moreUrgent = this._queue.countMoreUrgent(cls)
    const ahead = this._queue.countAhead(cls, team, latestStartMs)
    if (moreUrgent + ahead < freeSlots) return 0
    if (startsPerMs === 0) return resumesInMs + (moreUrgent + ahead) * expectedMs
    const remainingPerMs = Math.max(startsPerMs - this._moreUrgentPerMs(cls, nowMs), startsPerMs * GUARANTEED_SHARES[cls])
    const byPriority = (moreUrgent + ahead + 1 - Math.max(0, freeSlots)) / remainingPerMs
    const byShare = (ahead + 1) / (startsPerMs * GUARANTEED_SHARES[cls])
    return cls === REQUEST_CLASSES.urgent ? byPriority : Math.min(byPriority, byShare)
  }

  /** Pause to ask of a caller whose request is over its bound by `excessMs`. */
  retryAfterMs (excessMs: number, random: RandomSource): number {
    const base = Number.isFinite(excessMs) ? Math.max(MIN_RETRY_AFTER_MS, excessMs) : UNAVAILABLE_RETRY_AFTER_MS
    return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, base) * (1 + RETRY_JITTER_SHARE * random.next()))
  }

  private _moreUrgentPerMs (cls: RequestClass, nowMs: number): number {
    let perMs = 0
    for (const other of CLASSES_BY_URGENCY) {
      if (other === cls) return perMs
      perMs += this._arrivals[other].perMs(nowMs)
    }
    return perMs
  }
}
