/**
 * Waiting requests of one service, by class.
 *
 * @module
 */

import { REQUEST_CLASSES, type RequestClass } from '../protocol/requests.js'
import { ClassQueue } from './classQueue.js'
import type { QueuedRequest } from './queuedRequest.js'

/** Classes, most urgent first. */
export const CLASS_ORDER: readonly RequestClass[] = [REQUEST_CLASSES.urgent, REQUEST_CLASSES.normal, REQUEST_CLASSES.batch]

/** Share of starts that a class gets while it waits behind more urgent ones. */
export const GUARANTEED_SHARES: Readonly<Record<RequestClass, number>> = { urgent: 1, normal: 0.1, batch: 0.03 }

/** One queue for each class. */
export class RequestQueue {
  private readonly _queues: Record<RequestClass, ClassQueue> = {
    urgent: new ClassQueue(),
    normal: new ClassQueue(),
    batch: new ClassQueue()
  }

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

  /** Removes the most urgent class's next request to start. */
  takeUrgent (): QueuedRequest | undefined {
    return this._queues.urgent.take()
  }

  /** Removes the next request to start. */
  take (): QueuedRequest | undefined {
    let first: RequestClass | undefined
    let owed: RequestClass | undefined
    for (const cls of CLASS_ORDER) {
      if (this._queues[cls].size === 0) continue
      if (first === undefined) {
        first = cls
        continue
      }
      this._credits[cls] += GUARANTEED_SHARES[cls]
      if (this._credits[cls] >= 1) owed ??= cls
    }
    if (owed !== undefined) this._credits[owed]--
    const next = owed ?? first
    return next === undefined ? undefined : this._queues[next].take()
  }

  /** Removes a request whose latest start is before `nowMs`. */
  takeExpired (nowMs: number): QueuedRequest | undefined {
    for (const cls of CLASS_ORDER) {
      const entry = this._queues[cls].takeExpired(nowMs)
      if (entry) return entry
    }
    return undefined
  }

  /** Removes a request of the least urgent waiting class below `cls`. */
  evictBelow (cls: RequestClass): QueuedRequest | undefined {
    for (let i = CLASS_ORDER.length - 1; CLASS_ORDER[i] !== cls; i--) {
      const entry = this._queues[CLASS_ORDER[i]].evict()
      if (entry) return entry
    }
    return undefined
  }

  earliestStartBy (): number {
    return Math.min(this._queues.urgent.earliestStartBy(), this._queues.normal.earliestStartBy(), this._queues.batch.earliestStartBy())
  }

  /** Requests of more urgent classes than `cls`. */
  countAbove (cls: RequestClass): number {
    let count = 0
    for (const other of CLASS_ORDER) {
      if (other === cls) return count
      count += this._queues[other].size
    }
    return count
  }

  /** Requests of the same class expected to start before a new one. */
  countAhead (cls: RequestClass, team: string, startByMs: number): number {
    return this._queues[cls].countAhead(team, startByMs)
  }

  /** Removes all requests. */
  * clear (): Generator<QueuedRequest> {
    for (let entry = this.take(); entry; entry = this.take()) yield entry
  }
}
