/**
 * Waiting requests of one class: earliest deadline first, fair between teams.
 *
 * @module
 */

import { Heap } from 'heap-js'
import { DeadlineCounts } from './deadlineCounts.js'
import type { QueuedRequest } from './queuedRequest.js'

/** Requests by which a team may be ahead of the least served waiting team before deadlines stop counting. */
const FAIRNESS_BURST = 8

interface TeamQueue {
  team: string
  heap: Heap<QueuedRequest>
  /** Requests taken, counted from the virtual time of the class. */
  virtualTime: number
}

const byStart = (a: QueuedRequest, b: QueuedRequest): number => a.startByMs - b.startByMs

/** The queue of one class. */
export class ClassQueue {
  private readonly _waiting = new Map<string, TeamQueue>()
  private readonly _deadlines = new DeadlineCounts()
  private _virtualTime = 0
  private _size = 0

  get size (): number {
    return this._size
  }

  push (entry: QueuedRequest): void {
    this._waitingTeam(entry.team).heap.push(entry)
    this._deadlines.add(entry.startByMs)
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
    for (const queue of this._waiting.values()) {
      const head = queue.heap.peek()
      if (head && head.startByMs < nowMs) return this._removeHead(queue)
    }
    return undefined
  }

  /** Removes one of the requests with late deadlines from the team with the longest queue. */
  evict (): QueuedRequest | undefined {
    let longest: TeamQueue | undefined
    for (const queue of this._waiting.values()) {
      if (!longest || queue.heap.length > longest.heap.length) longest = queue
    }
    const entry = longest?.heap.heapArray.pop()
    if (longest && entry) this._forget(longest, entry)
    return entry
  }

  /** The earliest latest start of all waiting requests. */
  earliestStartBy (): number {
    let earliest = Infinity
    for (const queue of this._waiting.values()) earliest = Math.min(earliest, queue.heap.peek()?.startByMs ?? Infinity)
    return earliest
  }

  /** Requests expected to start before a new one of `team` with the given latest start. */
  countAhead (team: string, startByMs: number): number {
    if (this._size === 0) return 0
    const byDeadline = this._deadlines.upTo(startByMs)
    const own = this._waiting.get(team)?.heap.length ?? 0
    const teams = this._waiting.size + (own === 0 ? 1 : 0)
    return teams === 1 ? byDeadline : Math.min(byDeadline, FAIRNESS_BURST + own * teams)
  }

  private _nextTeam (): TeamQueue {
    if (this._waiting.size === 1) return this._waiting.values().next().value as TeamQueue
    let least = Infinity
    for (const queue of this._waiting.values()) least = Math.min(least, queue.virtualTime)
    let best: TeamQueue | undefined
    let bestStartBy = Infinity
    for (const queue of this._waiting.values()) {
      const startBy = queue.heap.peek()?.startByMs ?? Infinity
      if (queue.virtualTime > least + FAIRNESS_BURST || (best && startBy >= bestStartBy)) continue
      best = queue
      bestStartBy = startBy
    }
    return best as TeamQueue
  }

  private _waitingTeam (team: string): TeamQueue {
    const waiting = this._waiting.get(team)
    if (waiting) return waiting
    const queue = { team, heap: new Heap<QueuedRequest>(byStart), virtualTime: this._virtualTime }
    this._waiting.set(team, queue)
    return queue
  }

  private _removeHead (queue: TeamQueue): QueuedRequest | undefined {
    const entry = queue.heap.pop()
    if (entry) this._forget(queue, entry)
    return entry
  }

  private _forget (queue: TeamQueue, entry: QueuedRequest): void {
    this._deadlines.remove(entry.startByMs)
    this._size--
    if (queue.heap.length === 0) this._waiting.delete(queue.team)
  }
}
