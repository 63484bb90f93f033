/**
 * Counts the calls to the eligibility service and the tickets that they returned, by queue.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Time between two log lines about the same queue, in milliseconds. */
const LINE_PERIOD_MS = 5_000
/** Maximum number of queues with counts of their own; further queues share one. */
const MAX_QUEUES = 32
/** Name under which further queues are counted. */
const OTHER_QUEUES = 'others'
/** Number of latest answers that determine a queue's share of eligible workers. */
const SHARE_SAMPLES = 400

/** Counts of one queue, since the start of the term. */
export interface QueueEligibilityCounts {
  calls: number
  failedCalls: number
  /** Workers in the answered calls. */
  asked: number
  /** Tickets received. */
  tickets: number
  /** Tickets with which a task was started. */
  usedTickets: number
  /** Tickets that expired or were replaced before a task was started with them. */
  unusedTickets: number
  /** Time for which daemons were busy with calls, in milliseconds. */
  busyMs: number
}

interface QueueState {
  counts: QueueEligibilityCounts
  /** Recent answers, older ones weighted less. */
  recent: { asked: number, eligible: number }
  loggedMs: number
}

/** Counts calls and tickets, and learns which share of its workers a queue's steps may use. */
export class EligibilityCounts {
  private readonly _options: { timers: Timers, log: EventLog }
  private readonly _queues = new Map<string, QueueState>()

  constructor (options: { timers: Timers, log: EventLog }) {
    this._options = options
  }

  /** Counts by queue. */
  get byQueue (): Record<string, QueueEligibilityCounts> {
    return Object.fromEntries([...this._queues].map(([queue, { counts }]) => [queue, { ...counts }]))
  }

  /** Share of the workers that steps of the queue may use; undefined before the first answer. */
  eligibleShare (queue: string): number | undefined {
    const { asked, eligible } = this._queues.get(queue)?.recent ?? { asked: 0, eligible: 0 }
    return asked === 0 ? undefined : eligible / asked
  }

  /** Notes the end of a call. `newAnswers` are those about workers that were not known: they show the share of eligible ones. */
  noteCall (queue: string, { tookMs, asked, tickets, newAnswers, newEligible, failed }: {
    tookMs: number, asked: number, tickets: number, newAnswers: number, newEligible: number, failed: boolean
  }): void {
    const { counts, recent } = this._stateOf(queue)
    counts.calls++
    counts.busyMs += Math.round(tookMs)
    if (failed) counts.failedCalls++
    else counts.asked += asked
    counts.tickets += tickets
    const kept = Math.min(1, Math.max(0, SHARE_SAMPLES - newAnswers) / Math.max(1, recent.asked))
    recent.asked = recent.asked * kept + newAnswers
    recent.eligible = recent.eligible * kept + newEligible
    this._log(queue)
  }

  noteUsed (queue: string): void {
    this._stateOf(queue).counts.usedTickets++
  }

  noteUnused (queue: string): void {
    this._stateOf(queue).counts.unusedTickets++
  }

  private _stateOf (queue: string): QueueState {
    const name = this._queues.has(queue) || this._queues.size < MAX_QUEUES ? queue : OTHER_QUEUES
    let state = this._queues.get(name)
    if (!state) {
      const counts = { calls: 0, failedCalls: 0, asked: 0, tickets: 0, usedTickets: 0, unusedTickets: 0, busyMs: 0 }
      state = { counts, recent: { asked: 0, eligible: 0 }, loggedMs: Number.NEGATIVE_INFINITY }
      this._queues.set(name, state)
    }
    return state
  }

  private _log (queue: string): void {
    const nowMs = this._options.timers.now()
    const state = this._stateOf(queue)
    if (nowMs - state.loggedMs < LINE_PERIOD_MS) return
    state.loggedMs = nowMs
    this._options.log.event('info', 'eligibility.counts', {
      queue, ...state.counts, goodPercent: Math.round(100 * (this.eligibleShare(queue) ?? 0))
    })
  }
}
