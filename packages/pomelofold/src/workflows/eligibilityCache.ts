/**
 * Caches which workers may run each step, and queries the eligibility service for missing answers.
 *
 * Load pattern: a slow eligibility service that serves one call of each daemon at a time, while the steps of
 * urgent and overnight queues need more calls than one daemon can make. Calls are distributed over all daemons,
 * urgent steps first, and some daemons are reserved for short calls.
 *
 * @module
 */

import type { EligibilityAnswer } from '../seams/workflowUpstreams.js'
import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Maximum number of workers in one call. */
export const MAX_WORKERS_PER_CALL = 100
/** Calls with a longer expected time count as long, in milliseconds: a fifth of the shortest objective of urgent work. */
const LONG_CALL_MS = 200
/** Number of daemons that make no long calls. */
const DAEMONS_FOR_SHORT_CALLS = 2
/** Time by which a ticket expires here before the end of its validity, in milliseconds: the transit times of the answer and the start. */
const TICKET_VALIDITY_MARGIN_MS = 120
/** Time without calls through a daemon after a failed call, in milliseconds. */
const FAILED_DAEMON_PAUSE_MS = 300
/** Time beyond the expected time after which a call times out, in milliseconds. */
const CALL_SLACK_MS = 1_500

/** Calls the eligibility service through the daemon on `vm`. Resolves to undefined when the call failed. */
export type EligibilityCall = (vm: string, step: string, workers: string[], timeoutMs: number) => Promise<EligibilityAnswer | undefined>

/** A query for the eligibility of workers for a step. */
export interface EligibilityQuery {
  step: string
  /** Ids of the workers, which are sent to the service, with their incarnations, under which the answers are cached. */
  workers: Array<{ id: string, incarnation: string }>
  /** Priority of the step's queue; queries with the lowest number are sent first. */
  priority: number
  /** Expected duration of the call, in milliseconds. */
  expectedMs: number
}

interface Ticket {
  text: string
  validUntilMs: number
}

interface StepEligibility {
  /** Answers by worker incarnation: whether it may run the step. An answer does not change. */
  eligible: Map<string, boolean>
  /** Latest tickets by worker incarnation. */
  tickets: Map<string, Ticket>
  queryPending: boolean
}

/** Options of an {@link EligibilityCache}. */
export interface EligibilityCacheOptions {
  timers: Timers
  log: EventLog
  queryThroughDaemon: EligibilityCall
  /** VMs of the daemons that can call the service, this one included. */
  daemons: () => string[]
  /** Called after each call, also a failed one. */
  onAnswer: () => void
}

/** Caches the eligibility of workers and their tickets by step. */
export class EligibilityCache {
  private readonly _options: EligibilityCacheOptions
  private readonly _steps = new Map<string, StepEligibility>()
  private readonly _callsByDaemon = new Map<string, { long: boolean }>()
  private readonly _pausedUntilMs = new Map<string, number>()
  private _pendingQueries: EligibilityQuery[] = []

  constructor (options: EligibilityCacheOptions) {
    this._options = options
  }

  /** Ticket of a worker incarnation for a step; undefined when there is no valid one. */
  ticket (step: string, incarnation: string): string | undefined {
    const ticket = this._steps.get(step)?.tickets.get(incarnation)
    return ticket && ticket.validUntilMs > this._options.timers.now() ? ticket.text : undefined
  }

  /** Whether the worker incarnation may run the step; undefined when the service has not answered for it. */
  isEligible (step: string, incarnation: string): boolean | undefined {
    return this._steps.get(step)?.eligible.get(incarnation)
  }

  /** True while a query for the step waits or is in progress. */
  isQueryPending (step: string): boolean {
    return this._steps.get(step)?.queryPending ?? false
  }

  /** Drops a ticket that a worker has refused. */
  dropTicket (step: string, incarnation: string): void {
    this._steps.get(step)?.tickets.delete(incarnation)
  }

  /** Drops the answers for a step that is done. */
  dropStep (step: string): void {
    this._steps.delete(step)
  }

  /** Queues a query, unless one for the same step is pending. */
  queryWorkers (query: EligibilityQuery): void {
    const stepEligibility = this._steps.get(query.step) ?? { eligible: new Map(), tickets: new Map(), queryPending: false }
    this._steps.set(query.step, stepEligibility)
    if (stepEligibility.queryPending || query.workers.length === 0) return
    stepEligibility.queryPending = true
    this._pendingQueries.push({ ...query, workers: query.workers.slice(0, MAX_WORKERS_PER_CALL) })
    this._pendingQueries.sort((a, b) => a.priority - b.priority)
    this._startCalls()
  }

  /** Starts queued queries at daemons without a call. */
  private _startCalls (): void {
    for (const query of [...this._pendingQueries]) {
      const daemon = this._freeDaemon(query.expectedMs > LONG_CALL_MS)
      if (daemon === undefined) continue
      this._pendingQueries.splice(this._pendingQueries.indexOf(query), 1)
      this._call(daemon, query)
    }
  }

  private _freeDaemon (long: boolean): string | undefined {
    const nowMs = this._options.timers.now()
    const daemons = this._options.daemons()
    const freeDaemons = daemons.filter(vm => !this._callsByDaemon.has(vm) && (this._pausedUntilMs.get(vm) ?? 0) <= nowMs)
    if (!long) return freeDaemons[0]
    const longCalls = [...this._callsByDaemon.values()].filter(call => call.long).length
    const maxLongCalls = Math.max(1, daemons.length - DAEMONS_FOR_SHORT_CALLS)
    return longCalls < maxLongCalls ? freeDaemons.at(-1) : undefined
  }

  private async _call (daemon: string, { step, workers, expectedMs, priority }: EligibilityQuery): Promise<void> {
    const { timers, log, queryThroughDaemon } = this._options
    this._callsByDaemon.set(daemon, { long: expectedMs > LONG_CALL_MS })
    const requestSentMs = timers.now()
    const answer = await queryThroughDaemon(daemon, step, workers.map(worker => worker.id), expectedMs + CALL_SLACK_MS)
    this._callsByDaemon.delete(daemon)
    const tookMs = Math.round(timers.now() - requestSentMs)
    const stepEligibility = this._steps.get(step)
    if (stepEligibility) stepEligibility.queryPending = false
    if (!answer) {
      this._pausedUntilMs.set(daemon, timers.now() + FAILED_DAEMON_PAUSE_MS)
      timers.after(FAILED_DAEMON_PAUSE_MS, () => this._startCalls())
      log.event('warn', 'eligibility.failed', { task: step, peer: daemon, workers: workers.length, tookMs })
    } else if (stepEligibility) {
      this._storeAnswer(stepEligibility, workers, answer)
      log.event('debug', 'eligibility.learned', { task: step, peer: daemon, workers: workers.length, good: Object.keys(answer.tickets).length, validMs: answer.validMs, priority, tookMs })
    }
    this._options.onAnswer()
    this._startCalls()
  }

  private _storeAnswer (stepEligibility: StepEligibility, workers: EligibilityQuery['workers'], { tickets, validMs }: EligibilityAnswer): void {
    const validUntilMs = this._options.timers.now() + validMs - TICKET_VALIDITY_MARGIN_MS
    for (const { id, incarnation } of workers) {
      const text = tickets[id]
      stepEligibility.eligible.set(incarnation, text !== undefined)
      if (text !== undefined) stepEligibility.tickets.set(incarnation, { text, validUntilMs })
    }
  }
}
