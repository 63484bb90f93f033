/**
 * Waiting requests of one class: earliest deadline first, fair between teams.
 *
 * @module
 */

import { Heap } from 'heap-js'
import { DeadlineHistogram } from './deadlineHistogram.js'
import type { QueuedRequest } from './queuedRequest.js'

/** Requests by which a team may be ahead of the least served waiting team before deadlines stop counting. */
const FAIRNESS_BURST_REQUESTS = 8

interface TeamQueue {
  team: string
  heap: Heap<QueuedRequest>
  /** Requests taken, counted from the virtual time of the class. */
  virtualTime: number
}

const byLatestStart = (a: QueuedRequest, b: QueuedRequest): number => a.latestStartMs - b.latestStartMs

/** The queue of one class. */
export class ClassQueue {
  private readonly _teamQueues = new Map<string, TeamQueue>()
  private readonly _latestStarts = new DeadlineHistogram()
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

  /** Removes the next request to start: the earliest deadline among teams that are not ahead of their share. */
  take (): QueuedRequest | undefined {
    if (this._size === 0) return undefined
    const queue = this._nextTeam()
    this._virtualTime = Math.max(this._virtualTime, queue.virtualTime)
    queue.virtualTime++
    return this._removeHead(queue)
  }

  /** Removes a request whose latest start is before `nowMs`. */
  takeExpired (nowMs: number): QueuedRequest | undefined {
    for (const queue of this._teamQueues.values()) {
      const head = queue.heap.peek()
      if (head && head.latestStartMs < nowMs) return this._removeHead(queue)
    }
    return undefined
  }

  /** Removes one of the requests with late deadlines from the team with the longest queue. */
  evict (): QueuedRequest | undefined {
    let longest: TeamQueue | undefined
    for (const queue of this._teamQueues.values()) {
      if (!longest || queue.heap.length > longest.heap.length) longest = queue
    }
    const entry = longest?.heap.heapArray.pop()
    if (longest && entry) this._onRemoved(longest, entry)
    return entry
  }

  /** The earliest latest start of all waiting requests. */
  nextExpiryMs (): number {
    let earliest = Infinity
    for (const queue of this._teamQueues.values()) earliest = Math.min(earliest, queue.heap.peek()?.latestStartMs ?? Infinity)
    return earliest
  }

  /** Requests expected to start before a new one of `team` with the given latest start. */
  countAhead (team: string, startByMs: number): number {
    if (this._size === 0) return 0
    const byDeadline = this._latestStarts.countUpTo(startByMs)
    const ownQueued = this._teamQueues.get(team)?.heap.length ?? 0
    const teams = this._teamQueues.size + (ownQueued === 0 ? 1 : 0)
    return teams === 1 ? byDeadline : Math.min(byDeadline, FAIRNESS_BURST_REQUESTS + ownQueued * teams)
  }

  private _nextTeam (): TeamQueue {
    if (this._teamQueues.size === 1) return this._teamQueues.values().next().value as TeamQueue
    let leastVirtualTime = Infinity
    for (const queue of this._teamQueues.values()) leastVirtualTime = Math.min(leastVirtualTime, queue.virtualTime)
    let best: TeamQueue | undefined
    let bestStartBy = Infinity
    for (const queue of this._teamQueues.values()) {
      const startBy = queue.heap.peek()?.latestStartMs ?? Infinity
      if (queue.virtualTime > leastVirtualTime + FAIRNESS_BURST_REQUESTS || (best && startBy >= bestStartBy)) continue
      best = queue
      bestStartBy = startBy
    }
    return best as TeamQueue
  }

  private _teamQueueOf (team: string): TeamQueue {
    const waiting = this._teamQueues.get(team)
    if (waiting) return waiting
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
