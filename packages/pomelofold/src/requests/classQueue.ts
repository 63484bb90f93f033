/**
 * Waiting requests of one class, ordered by latest start time within limits of fairness between teams.
 *
 * @module
 */

import { Heap } from 'heap-js'
import { DeadlineHistogram } from './deadlineHistogram.js'
import type { QueuedRequest } from './queuedRequest.js'

/** A team that has started more than this many requests beyond the least served waiting team is passed over, whatever its deadlines. */
const FAIRNESS_BURST_REQUESTS = 8

/** Waiting requests of one team. */
interface TeamQueue {
  team: string
  heap: Heap<QueuedRequest>
  /** Start-time fair queueing: the class's virtual time when the team began to wait, plus one for each request taken since. */
  virtualTime: number
}

const byLatestStart = (a: QueuedRequest, b: QueuedRequest): number => a.latestStartMs - b.latestStartMs

/** Queue of one class. Takes the request with the lowest `latestStartMs`, except that no team gets far ahead of the others. */
export class ClassQueue {
  private readonly _teamQueues = new Map<string, TeamQueue>()
  private readonly _latestStarts = new DeadlineHistogram()
  /** Highest virtual time from which a request was taken. A team that was idle starts here, so that it saves up no credit. */
  private _virtualTime = 0
  private _size = 0

  get size (): number {
    return this._size
  }

  push (entry: QueuedRequest): void {
    this._teamQueueOf(entry.team).heap.push(entry)
    this._latestStarts.add(entry.latestStartMs)
    this._size++
  }

  /** Removes the next request to start: the one with the lowest `latestStartMs` among the teams that are not too far ahead. */
  take (): QueuedRequest | undefined {
    if (this._size === 0) return undefined
    const queue = this._nextTeam()
    this._virtualTime = Math.max(this._virtualTime, queue.virtualTime)
    queue.virtualTime++
    return this._removeHead(queue)
  }

  /** Removes a request whose latest start has passed. */
  takeExpired (nowMs: number): QueuedRequest | undefined {
    for (const queue of this._teamQueues.values()) {
      const head = queue.heap.peek()
      if (head && head.latestStartMs < nowMs) return this._removeHead(queue)
    }
    return undefined
  }

  /** Removes a request of the team with the longest queue: the last leaf of its heap, whose deadline is among the later ones. */
  evict (): QueuedRequest | undefined {
    let longest: TeamQueue | undefined
    for (const queue of this._teamQueues.values()) {
      if (!longest || queue.heap.length > longest.heap.length) longest = queue
    }
    const entry = longest?.heap.heapArray.pop()
    if (longest && entry) this._onRemoved(longest, entry)
    return entry
  }

  /** Time at which the first waiting request can no longer start. Infinite when none waits. */
  nextExpiryMs (): number {
    let earliest = Infinity
    for (const queue of this._teamQueues.values()) earliest = Math.min(earliest, queue.heap.peek()?.latestStartMs ?? Infinity)
    return earliest
  }

  /** Number of waiting requests expected to start before a new one of `team` with the given latest start. */
  countAhead (team: string, latestStartMs: number): number {
    if (this._size === 0) return 0
    const byDeadline = this._latestStarts.countUpTo(latestStartMs)
    const ownQueued = this._teamQueues.get(team)?.heap.length ?? 0
    const teams = this._teamQueues.size + (ownQueued === 0 ? 1 : 0)
    return teams === 1 ? byDeadline : Math.min(byDeadline, FAIRNESS_BURST_REQUESTS + ownQueued * teams)
  }

  private _nextTeam (): TeamQueue {
    if (this._teamQueues.size === 1) return this._teamQueues.values().next().value as TeamQueue
    let leastVirtualTime = Infinity
    for (const queue of this._teamQueues.values()) leastVirtualTime = Math.min(leastVirtualTime, queue.virtualTime)
    let best: TeamQueue | undefined
    let bestLatestStartMs = Infinity
    for (const queue of this._teamQueues.values()) {
      const latestStartMs = queue.heap.peek()?.latestStartMs ?? Infinity
      if (queue.virtualTime > leastVirtualTime + FAIRNESS_BURST_REQUESTS || (best && latestStartMs >= bestLatestStartMs)) continue
      best = queue
      bestLatestStartMs = latestStartMs
    }
    return best as TeamQueue
  }

  private _teamQueueOf (team: string): TeamQueue {
    const existing = this._teamQueues.get(team)
    if (existing) return existing
    const queue = { team, heap: new Heap<QueuedRequest>(byLatestStart), virtualTime: this._virtualTime }
    this._teamQueues.set(team, queue)
    return queue
  }

  private _removeHead (queue: TeamQueue): QueuedRequest | undefined {
    const entry = queue.heap.pop()
    if (entry) this._onRemoved(queue, entry)
    return entry
  }

  private _onRemoved (queue: TeamQueue, entry: QueuedRequest): void {
    this._latestStarts.remove(entry.latestStartMs)
    this._size--
    if (queue.heap.length === 0) this._teamQueues.delete(queue.team)
  }
}
