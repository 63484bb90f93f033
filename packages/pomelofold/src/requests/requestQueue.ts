/**
 * Waiting requests of one service: a queue for each class, and the order between the classes.
 *
 * @module
 */

import { REQUEST_CLASSES, type RequestClass } from '../protocol/requests.js'
import { ClassQueue } from './classQueue.js'
import type { QueuedRequest } from './queuedRequest.js'

/** Classes, most urgent first. */
export const CLASSES_BY_URGENCY: readonly RequestClass[] = [REQUEST_CLASSES.urgent, REQUEST_CLASSES.normal, REQUEST_CLASSES.batch]

/** Smallest share of starts that a class gets while more urgent requests wait, so that it makes progress. */
export const GUARANTEED_SHARES: Readonly<Record<RequestClass, number>> = { urgent: 1, normal: 0.1, batch: 0.03 }

/** Takes the most urgent class first, and now and then a less urgent one so that it gets its guaranteed share. */
export class RequestQueue {
  private readonly _queues: Record<RequestClass, ClassQueue> = {
    urgent: new ClassQueue(),
    normal: new ClassQueue(),
    batch: new ClassQueue()
  }

  /** Starts owed to each class. Grows by its guaranteed share with each start, while a more urgent class waits; one is spent per start. */
  private readonly _credits: Record<RequestClass, number> = { urgent: 0, normal: 0, batch: 0 }

  get size (): number {
    return this._queues.urgent.size + this._queues.normal.size + this._queues.batch.size
  }

  sizeOf (cls: RequestClass): number {
    return this._queues[cls].size
  }

  push (entry: QueuedRequest): void {
    this._queues[entry.class].push(entry)
  }

  /** Removes the next urgent request to start. */
  takeUrgent (): QueuedRequest | undefined {
    return this._queues.urgent.take()
  }

  /** Removes the next request to start, of whichever class. */
  take (): QueuedRequest | undefined {
    let firstClass: RequestClass | undefined
    let creditedClass: RequestClass | undefined
    for (const cls of CLASSES_BY_URGENCY) {
      if (this._queues[cls].size === 0) continue
      if (firstClass === undefined) {
        firstClass = cls
        continue
      }
      this._credits[cls] += GUARANTEED_SHARES[cls]
      if (this._credits[cls] >= 1) creditedClass ??= cls
    }
    if (creditedClass !== undefined) this._credits[creditedClass]--
    const next = creditedClass ?? firstClass
    return next === undefined ? undefined : this._queues[next].take()
  }

  /** Removes a request whose latest start has passed. */
  takeExpired (nowMs: number): QueuedRequest | undefined {
    for (const cls of CLASSES_BY_URGENCY) {
      const entry = this._queues[cls].takeExpired(nowMs)
      if (entry) return entry
    }
    return undefined
  }

  /** Removes a request of the least urgent class that has any, if that class is less urgent than `cls`. */
  evictBelow (cls: RequestClass): QueuedRequest | undefined {
    for (let i = CLASSES_BY_URGENCY.length - 1; CLASSES_BY_URGENCY[i] !== cls; i--) {
      const entry = this._queues[CLASSES_BY_URGENCY[i]].evict()
      if (entry) return entry
    }
    return undefined
  }

  /** Time at which the first waiting request can no longer start. Infinite when none waits. */
  nextExpiryMs (): number {
    return Math.min(this._queues.urgent.nextExpiryMs(), this._queues.normal.nextExpiryMs(), this._queues.batch.nextExpiryMs())
  }

  /** Number of waiting requests of classes more urgent than `cls`. */
  countMoreUrgent (cls: RequestClass): number {
    let count = 0
    for (const other of CLASSES_BY_URGENCY) {
      if (other === cls) return count
      count += this._queues[other].size
    }
    return count
  }

  /** Number of requests of the same class expected to start before a new one of `team`. */
  countAhead (cls: RequestClass, team: string, latestStartMs: number): number {
    return this._queues[cls].countAhead(team, latestStartMs)
  }

  /** Removes all requests one by one. */
  * takeAll (): Generator<QueuedRequest> {
    for (let entry = this.take(); entry; entry = this.take()) yield entry
  }
}
