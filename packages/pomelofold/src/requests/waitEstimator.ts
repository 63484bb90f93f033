/**
 * Expected waiting time from the queue, the learned capacity and the rate of more urgent arrivals.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'
import { REQUEST_CLASSES, type RequestClass } from '../protocol/requests.js'
import { RateMeter } from './rateMeter.js'
import { CLASS_ORDER, GUARANTEED_SHARES, type RequestQueue } from './requestQueue.js'
import { urgentReserve } from './urgentReserve.js'

/** Least pause asked of callers, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100
/** Longest pause asked of callers, in milliseconds; also when nothing runs at all. */
const MAX_RETRY_AFTER_MS = 30_000
/** Pause asked of callers when nothing can run, in milliseconds. */
const UNAVAILABLE_RETRY_AFTER_MS = 2_000
/** Share by which pauses are spread out, so that callers do not come back together. */
const RETRY_SPREAD = 0.25

/** What the instances can do now. */
export interface CapacityView {
  /** Starts per millisecond when all usable slots are used. */
  perMs: number
  /** Requests that may be sent at once. */
  free: number
  /** Slots of all usable instances. */
  slots: number
  /** Time until a paused instance may be probed, in milliseconds. */
  resumesInMs: number
  /** Expected run time, in milliseconds. */
  expectedMs: number
}

/** A request as far as its place in the queue depends on it. */
export interface QueuePlace {
  class: RequestClass
  team: string
  startByMs: number
}

/** Estimates waiting times at one service's queue. */
export class WaitEstimator {
  private readonly _queue: RequestQueue
  private readonly _urgentReserve: number
  private readonly _arrivals: Record<RequestClass, RateMeter> = { urgent: new RateMeter(), normal: new RateMeter(), batch: new RateMeter() }
  private _capacity: CapacityView = { perMs: 0, free: 0, slots: 0, resumesInMs: Infinity, expectedMs: 1 }

  constructor ({ queue, urgentReserve }: { queue: RequestQueue, urgentReserve: number }) {
    this._queue = queue
    this._urgentReserve = urgentReserve
  }

  setCapacity (capacity: CapacityView): void {
    this._capacity = capacity
  }

  /** Counts a request that came in. */
  arrived (cls: RequestClass, nowMs: number): void {
    this._arrivals[cls].mark(nowMs)
  }

  /** Slots to keep free for urgent requests. */
  reserve (nowMs: number): number {
    const { perMs, slots } = this._capacity
    return urgentReserve({ urgentPerMs: this._arrivals.urgent.perMs(nowMs), freedPerMs: perMs, slots, maxShare: this._urgentReserve })
  }

  /** Expected time until a new request would be sent. Infinite when nothing can run. */
  waitMs ({ class: cls, team, startByMs }: QueuePlace, nowMs: number): number {
    const { perMs, resumesInMs, expectedMs } = this._capacity
    const free = this._capacity.free - (cls === REQUEST_CLASSES.urgent ? 0 : this.reserve(nowMs))
    const above = this._queue.countAbove(cls)
    const ahead = this._queue.countAhead(cls, team, startByMs)
    if (above + ahead < free) return 0
    if (perMs === 0) return resumesInMs + (above + ahead) * expectedMs
    const left = Math.max(perMs - this._rateAbove(cls, nowMs), perMs * GUARANTEED_SHARES[cls])
    const byPriority = (above + ahead + 1 - Math.max(0, free)) / left
    const byShare = (ahead + 1) / (perMs * GUARANTEED_SHARES[cls])
    return cls === REQUEST_CLASSES.urgent ? byPriority : Math.min(byPriority, byShare)
  }

  /** Pause to ask of a caller whose request is over its bound by `excessMs`. */
  retryAfterMs (excessMs: number, random: RandomSource): number {
    const base = Number.isFinite(excessMs) ? Math.max(MIN_RETRY_AFTER_MS, excessMs) : UNAVAILABLE_RETRY_AFTER_MS
    return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, base) * (1 + RETRY_SPREAD * random.next()))
  }

  private _rateAbove (cls: RequestClass, nowMs: number): number {
    let perMs = 0
    for (const other of CLASS_ORDER) {
      if (other === cls) return perMs
      perMs += this._arrivals[other].perMs(nowMs)
    }
    return perMs
  }
}
