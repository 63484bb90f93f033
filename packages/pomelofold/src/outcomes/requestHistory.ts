/**
 * Steps and outcomes of the requests that this process has handled, for the monitor and for retries.
 * The number of requests is limited: the oldest finished ones are dropped first.
 *
 * @module
 */

import { OUTCOMES, type HistoryEvent, type RequestRecord, type ServiceAnswer } from '../protocol/requests.js'
import type { Timers } from '../seams/timers.js'

/** Default for the number of requests kept. */
const DEFAULT_CAPACITY = 50_000

/** Steps kept for one request. Further ones are dropped. */
const MAX_HISTORY_EVENTS = 20

/** Options of a {@link RequestHistory}. */
export interface RequestHistoryOptions {
  timers: Timers
  vm: string
  /** Number of requests kept. */
  capacity?: number
}

/** Keeps the history of requests in memory. */
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

  /** Records a step of a request. The first step creates the entry, with outcome `running`. */
  recordStep (requestId: string, step: string, details: Partial<Omit<HistoryEvent, 'atMs' | 'vm' | 'step'>> = {}): void {
    const entry = this._entries.get(requestId) ?? this._add(requestId)
    if (entry.history.length < MAX_HISTORY_EVENTS) entry.history.push({ atMs: this._timers.wallClock(), vm: this._vm, step, ...details })
  }

  /** Records the last step and the final outcome from the answer. */
  finish (requestId: string, answer: ServiceAnswer): void {
    const { outcome, peer, detail } = answer
    this.recordStep(requestId, answer.step ?? 'answered', { peer, detail })
    const entry = this._entries.get(requestId)!
    entry.outcome = outcome
  }

  /** The history of a request. Undefined when it was not handled here or has been dropped. */
  get (requestId: string): RequestRecord | undefined {
    return this._entries.get(requestId)
  }

  private _add (requestId: string): RequestRecord {
    if (this._entries.size >= this._capacity) this._dropOldest()
    const entry: RequestRecord = { requestId, outcome: OUTCOMES.running, history: [] }
    this._entries.set(requestId, entry)
    return entry
  }

  private _dropOldest (): void {
    for (const [requestId, entry] of this._entries) {
      if (entry.outcome === OUTCOMES.running) continue
      this._entries.delete(requestId)
      return
    }
  }
}
