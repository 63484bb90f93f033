/**
 * Caches which workers may run each step, and queries the eligibility service for missing answers.
 *
 * @module
 */

import { EligibilityCounts } from './eligibilityCounts.js'
import type { EligibilityDaemons } from './eligibilityDaemons.js'
import type { EligibilityAnswer } from '../seams/workflowUpstreams.js'
import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Maximum number of workers in one call. */
export const MAX_WORKERS_PER_CALL = 100
/** Time by which a ticket expires here before the end of its validity, in milliseconds: the transit times of the answer and the start. */
const TICKET_VALIDITY_MARGIN_MS = 120
/** Time beyond the expected time after which a call times out, in milliseconds: transit through a daemon under load. */
const CALL_SLACK_MS = 600

/** Calls the eligibility service through the daemon on `vm`. Resolves to undefined when the call failed. */
export type EligibilityCall = (vm: string, step: string, workers: string[], timeoutMs: number) => Promise<EligibilityAnswer | undefined>

/** A query for the eligibility of workers for a step. */
export interface EligibilityQuery {
  step: string
  /** Ids of the workers, which are sent to the service, with their incarnations, under which the answers are cached. */
  workers: Array<{ id: string, incarnation: string }>
  /** Name and priority of the step's queue. */
  queue: string
  priority: number
  /** Expected duration of the call, in milliseconds. */
  expectedMs: number
}

interface Ticket {
  text: string
  validUntilMs: number
  /** True when a task was started with it. */
  used: boolean
}

/** What is known about a worker for a step. */
export const ELIGIBILITY = {
  unknown: 'unknown',
  refused: 'refused',
  /** Eligible, but the ticket has expired. */
  expired: 'expired',
  ticket: 'ticket'
} as const

/** One of {@link ELIGIBILITY}. */
export type Eligibility = typeof ELIGIBILITY[keyof typeof ELIGIBILITY]

interface StepEligibility {
  queue: string
  /** Answers by worker incarnation: whether it may run the step. An answer does not change. */
  eligible: Map<string, boolean>
  /** Latest tickets by worker incarnation. */
  tickets: Map<string, Ticket>
  /** Calls in progress. */
  pendingCalls: Set<PendingCall>
}

/** A call in progress. */
export interface PendingCall {
  /** Incarnations of the workers that it names. */
  workers: string[]
  /** Expected time of the answer, in milliseconds of the monotonic clock. */
  endsMs: number
}

/** Options of an {@link EligibilityCache}. */
export interface EligibilityCacheOptions {
  timers: Timers
  log: EventLog
  queryThroughDaemon: EligibilityCall
  daemons: EligibilityDaemons
  /** Called after each call, also a failed one. */
  onAnswer: () => void
}

/** Caches the eligibility of workers and their tickets by step. */
export class EligibilityCache {
  /** Counts of calls and tickets by queue. */
  readonly counts: EligibilityCounts
  private readonly _options: EligibilityCacheOptions
  private readonly _steps = new Map<string, StepEligibility>()

  constructor (options: EligibilityCacheOptions) {
    this._options = options
    this.counts = new EligibilityCounts(options)
  }

  /** Ticket of a worker incarnation for a step; undefined when there is no valid one. */
  ticket (step: string, incarnation: string): string | undefined {
    const ticket = this._steps.get(step)?.tickets.get(incarnation)
    return ticket && ticket.validUntilMs > this._options.timers.now() ? ticket.text : undefined
  }

  /** Ticket of a worker incarnation for the start of a task. */
  useTicket (step: string, incarnation: string): string | undefined {
    const stepEligibility = this._steps.get(step)
    const ticket = stepEligibility?.tickets.get(incarnation)
    if (!ticket || ticket.validUntilMs <= this._options.timers.now()) return
    if (!ticket.used) this.counts.noteUsed(stepEligibility!.queue)
    ticket.used = true
    return ticket.text
  }

  /** What is known about a worker incarnation for the step. */
  stateOf (step: string, incarnation: string): Eligibility {
    const eligible = this.isEligible(step, incarnation)
    if (eligible === undefined) return ELIGIBILITY.unknown
    if (!eligible) return ELIGIBILITY.refused
    return this.ticket(step, incarnation) === undefined ? ELIGIBILITY.expired : ELIGIBILITY.ticket
  }

  /** Whether the worker incarnation may run the step; undefined when the service has not answered for it. */
  isEligible (step: string, incarnation: string): boolean | undefined {
    return this._steps.get(step)?.eligible.get(incarnation)
  }

  /** Incarnations of the workers that hold a valid ticket for the step. */
  ticketHolders (step: string): string[] {
    const nowMs = this._options.timers.now()
    const holders: string[] = []
    for (const [incarnation, ticket] of this._steps.get(step)?.tickets ?? []) if (ticket.validUntilMs > nowMs) holders.push(incarnation)
    return holders
  }

  /** True while a call for the step is in progress. */
  isQueryPending (step: string): boolean {
    return (this._steps.get(step)?.pendingCalls.size ?? 0) > 0
  }

  /** Calls in progress for the step. */
  pendingCalls (step: string): Iterable<PendingCall> {
    return this._steps.get(step)?.pendingCalls ?? []
  }

  /** Drops a ticket that a worker has refused. */
  dropTicket (step: string, incarnation: string): void {
    this._dropTicket(this._steps.get(step), incarnation)
  }

  /** Drops the answers for a step that is done. */
  dropStep (step: string): void {
    const stepEligibility = this._steps.get(step)
    for (const incarnation of stepEligibility?.tickets.keys() ?? []) this._dropTicket(stepEligibility, incarnation)
    this._steps.delete(step)
  }

  /** Calls the service, unless no daemon is free for the call. Returns whether the call was made. */
  queryWorkers (query: EligibilityQuery): boolean {
    const daemon = this._options.daemons.take(query.expectedMs)
    if (daemon === undefined) return false
    const stepEligibility = this._steps.get(query.step) ?? {
      queue: query.queue, eligible: new Map(), tickets: new Map(), pendingCalls: new Set()
    }
    this._steps.set(query.step, stepEligibility)
    this._call(daemon, query, stepEligibility)
    return true
  }

  private async _call (
    daemon: string, { step, workers, expectedMs, queue, priority }: EligibilityQuery, stepEligibility: StepEligibility
  ): Promise<void> {
    const { timers, log, queryThroughDaemon, daemons, onAnswer } = this._options
    const requestSentMs = timers.now()
    const pendingCall = { workers: workers.map(worker => worker.incarnation), endsMs: requestSentMs + expectedMs }
    stepEligibility.pendingCalls.add(pendingCall)
    const answer = await queryThroughDaemon(daemon, step, workers.map(worker => worker.id), expectedMs + CALL_SLACK_MS)
    daemons.release(daemon, { failed: answer === undefined })
    stepEligibility.pendingCalls.delete(pendingCall)
    const tookMs = Math.round(timers.now() - requestSentMs)
    const unknown = workers.filter(({ incarnation }) => !stepEligibility.eligible.has(incarnation))
    const good = answer ? Object.keys(answer.tickets).length : 0
    this.counts.noteCall(queue, {
      tookMs,
      asked: workers.length,
      tickets: good,
      newAnswers: answer ? unknown.length : 0,
      newEligible: answer ? unknown.filter(({ id }) => answer.tickets[id] !== undefined).length : 0,
      failed: !answer
    })
    if (!answer) {
      log.event('warn', 'eligibility.failed', { task: step, queue, peer: daemon, workers: workers.length, tookMs })
    } else {
      this._storeAnswer(stepEligibility, workers, answer)
      log.event('debug', 'eligibility.learned', {
        task: step,
        queue,
        peer: daemon,
        workers: workers.length,
        known: workers.length - unknown.length,
        good,
        validMs: answer.validMs,
        priority,
        tookMs
      })
    }
    onAnswer()
  }

  private _storeAnswer (stepEligibility: StepEligibility, workers: EligibilityQuery['workers'], { tickets, validMs }: EligibilityAnswer): void {
    const validUntilMs = this._options.timers.now() + validMs - TICKET_VALIDITY_MARGIN_MS
    for (const { id, incarnation } of workers) {
      const text = tickets[id]
      stepEligibility.eligible.set(incarnation, text !== undefined)
      if (text === undefined) continue
      this._dropTicket(stepEligibility, incarnation)
      stepEligibility.tickets.set(incarnation, { text, validUntilMs, used: false })
    }
  }

  private _dropTicket (stepEligibility: StepEligibility | undefined, incarnation: string): void {
    const ticket = stepEligibility?.tickets.get(incarnation)
    if (!ticket) return
    stepEligibility!.tickets.delete(incarnation)
    if (!ticket.used) this.counts.noteUnused(stepEligibility!.queue)
  }
}
