/**
 * What this process knows of the requests that it has handled, for the monitor and for retries.
 * Bounded: the oldest finished requests are forgotten first.
 *
 * @module
 */

import { OUTCOMES, type HistoryEvent, type RequestRecord, type ServiceAnswer } from '../protocol/requests.js'
import type { Timers } from '../seams/timers.js'

/** Requests remembered. */
const DEFAULT_CAPACITY = 50_000

/** Steps remembered of one request. */
const MAX_HISTORY_EVENTS = 20

/** Options of a {@link RequestHistory}. */
export interface RequestHistoryOptions {
  timers: Timers
  vm: string
  /** Requests remembered. */
  capacity?: number
}

/** History of requests in memory. */
export class RequestHistory {
  private readonly _timers: Timers
  private readonly _vm: string
  private readonly _capacity: number
  private readonly _entries = new Map<string, RequestRecord>()

  constructor ({ timers, vm, capacity = DEFAULT_CAPACITY }: RequestHistoryOptions) {
    this._timers = timers
    this._vm = vm
    this._capacity = capacity
  }

  /** Notes a step of a request. The first step makes the request known, with outcome `running`. */
  recordStep (requestId: string, step: string, details: Partial<Omit<HistoryEvent, 'atMs' | 'vm' | 'step'>> = {}): void {
    const entry = this._entries.get(requestId) ?? this._add(requestId)
    if (entry.history.length < MAX_HISTORY_EVENTS) entry.history.push({ atMs: this._timers.wallClock(), vm: this._vm, step, ...details })
  }

  /** Notes the final outcome with its answer. */
  finish (requestId: string, answer: ServiceAnswer): void {
    const { outcome, peer, detail } = answer
    this.recordStep(requestId, answer.step ?? 'answered', { peer, detail })
    const entry = this._entries.get(requestId)!
    entry.outcome = outcome
  }

  /** What is known of a request here. */
  get (requestId: string): RequestRecord | undefined {
    return this._entries.get(requestId)
  }

  private _add (requestId: string): RequestRecord {
    if (this._entries.size >= this._capacity) this._forgetOldest()
    const entry: RequestRecord = { requestId, outcome: OUTCOMES.running, history: [] }
    this._entries.set(requestId, entry)
    return entry
  }

  private _forgetOldest (): void {
    for (const [requestId, entry] of this._entries) {
      if (entry.outcome === OUTCOMES.running) continue
      this._entries.delete(requestId)
      return
    }
  }
}
