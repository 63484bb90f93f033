/**
 * Estimates the waiting time of a request from the queue, the capacity and the arrival rate of more urgent requests.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'
import { REQUEST_CLASSES, type RequestClass } from '../protocol/requests.js'
import { RateMeter } from './rateMeter.js'
import { CLASSES_BY_URGENCY, GUARANTEED_SHARES, type RequestQueue } from './requestQueue.js'
import { urgentReserveSlots } from './urgentReserve.js'

// Bounds of the estimated retry delay for callers, before the random addition.
const MIN_RETRY_AFTER_MS = 100
const MAX_RETRY_AFTER_MS = 30_000
/** Retry delay for callers when no instance can run requests, so that there is no estimate. */
const UNAVAILABLE_RETRY_AFTER_MS = 2_000
/** Largest random addition to a retry delay, as a share of it, so that callers do not retry at the same time. */
const RETRY_JITTER_SHARE = 0.25

/** Total capacity of the usable instances of a service. */
export interface ServiceCapacity {
  /** Requests that the instances can start per millisecond when all usable slots are occupied. */
  startsPerMs: number
  /** Requests that may be sent now. */
  freeSlots: number
  /** All slots, free and occupied. */
  slots: number
  /** Time until the first pause ends, in milliseconds. Zero when an instance is not paused, infinite without usable instances. */
  resumesInMs: number
  /** Expected run time, in milliseconds. */
  expectedMs: number
}

/** The properties of a request that determine its position in the queue. */
export interface QueuePosition {
  class: RequestClass
  team: string
  latestStartMs: number
}

/** Estimates waiting times in the queue of one service. */
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

  /** Counts the arrival of a request. */
  countArrival (cls: RequestClass, nowMs: number): void {
    this._arrivals[cls].mark(nowMs)
  }

  /** Number of slots to keep free for urgent requests, from their present arrival rate. */
  reservedSlots (nowMs: number): number {
    const { startsPerMs, slots } = this._capacity
    return urgentReserveSlots({
      urgentPerMs: this._arrivals.urgent.perMs(nowMs),
      freedPerMs: startsPerMs,
      slots,
      maxShare: this._maxUrgentReserveShare
    })
  }

  /**
   * Expected time until a new request is sent. Infinite when no instance is usable. The less urgent classes wait for what
   * more urgent arrivals leave of the capacity, but no longer than their guaranteed share implies.
   */
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

  /** Retry delay for a caller whose request would wait `excessMs` longer than its deadline permits. */
  retryAfterMs (excessMs: number, random: RandomSource): number {
    const base = Number.isFinite(excessMs) ? Math.max(MIN_RETRY_AFTER_MS, excessMs) : UNAVAILABLE_RETRY_AFTER_MS
    return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, base) * (1 + RETRY_JITTER_SHARE * random.next()))
  }

  /** Arrival rate of the classes more urgent than `cls`. */
  private _moreUrgentPerMs (cls: RequestClass, nowMs: number): number {
    let perMs = 0
    for (const other of CLASSES_BY_URGENCY) {
      if (other === cls) return perMs
      perMs += this._arrivals[other].perMs(nowMs)
    }
    return perMs
  }
}
