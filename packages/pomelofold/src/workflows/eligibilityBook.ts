/**
 * What is known of the workers that may run each step, and the asking for it.
 *
 * Load pattern: a slow eligibility service that serves one call of each daemon at a time, with steps of
 * urgent and of overnight queues asking for more than one daemon's share of it. Calls are spread over all
 * daemons, urgent steps first, and long calls never occupy all of them.
 *
 * @module
 */

import type { EligibilityAnswer } from '../seams/workflowUpstreams.js'
import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Most workers named in one call. */
export const MAX_WORKERS_PER_CALL = 100
/** Calls expected to take longer than this count as long, in milliseconds: a fifth of the shortest objective of urgent work. */
const LONG_CALL_MS = 200
/** Daemons kept free of long calls. */
const LANES_KEPT_FOR_SHORT_CALLS = 2
/** Part of a ticket's validity that is not used, in milliseconds: the way of the answer and of the start. */
const VALIDITY_MARGIN_MS = 120
/** Pause of a daemon whose call failed, in milliseconds. */
const FAILED_LANE_PAUSE_MS = 300
/** Longest call, in milliseconds, beyond its expected time. */
const CALL_SLACK_MS = 1_500

/** Asks the service through the daemon `vm`. Undefined when the call failed. */
export type AskThrough = (vm: string, step: string, workers: string[], timeoutMs: number) => Promise<EligibilityAnswer | undefined>

/** A wish to know workers of a step. */
export interface EligibilityWish {
  step: string
  /** Lives of workers by id. */
  workers: Array<{ id: string, life: string }>
  priority: number
  /** Expected time of the call, in milliseconds. */
  expectedMs: number
}

interface Ticket {
  text: string
  validUntilMs: number
}

interface StepKnowledge {
  /** Whether a worker's life may run the step. This does not change. */
  verdicts: Map<string, boolean>
  tickets: Map<string, Ticket>
  asking: boolean
}

/** Options of an {@link EligibilityBook}. */
export interface EligibilityBookOptions {
  timers: Timers
  log: EventLog
  ask: AskThrough
  /** Names of the daemons that can ask, this one included. */
  lanes: () => string[]
  /** Called when something has been learned. */
  onAnswer: () => void
}

/** Knows the eligible workers of steps, with their tickets. */
export class EligibilityBook {
  private readonly _options: EligibilityBookOptions
  private readonly _steps = new Map<string, StepKnowledge>()
  private readonly _busy = new Map<string, { long: boolean }>()
  private readonly _pausedUntil = new Map<string, number>()
  private _wishes: EligibilityWish[] = []

  constructor (options: EligibilityBookOptions) {
    this._options = options
  }

  /** The ticket of a worker's life for a step, when it is valid now. */
  ticket (step: string, life: string): string | undefined {
    const ticket = this._steps.get(step)?.tickets.get(life)
    return ticket && ticket.validUntilMs > this._options.timers.now() ? ticket.text : undefined
  }

  /** Whether the worker's life may run the step; undefined when it has not been asked about. */
  verdict (step: string, life: string): boolean | undefined {
    return this._steps.get(step)?.verdicts.get(life)
  }

  asking (step: string): boolean {
    return this._steps.get(step)?.asking ?? false
  }

  /** Drops a ticket that a worker has refused. */
  refuse (step: string, life: string): void {
    this._steps.get(step)?.tickets.delete(life)
  }

  /** Forgets a step that is done. */
  forget (step: string): void {
    this._steps.delete(step)
  }

  /** Asks about workers of a step. One call for a step is under way at a time. */
  wish (wish: EligibilityWish): void {
    const known = this._steps.get(wish.step) ?? { verdicts: new Map(), tickets: new Map(), asking: false }
    this._steps.set(wish.step, known)
    if (known.asking || wish.workers.length === 0) return
    known.asking = true
    this._wishes.push({ ...wish, workers: wish.workers.slice(0, MAX_WORKERS_PER_CALL) })
    this._wishes.sort((a, b) => a.priority - b.priority)
    this._next()
  }

  /** Gives wishes to daemons that are free. */
  private _next (): void {
    for (const wish of [...this._wishes]) {
      const lane = this._freeLane(wish.expectedMs > LONG_CALL_MS)
      if (lane === undefined) continue
      this._wishes.splice(this._wishes.indexOf(wish), 1)
      this._ask(lane, wish)
    }
  }

  private _freeLane (long: boolean): string | undefined {
    const nowMs = this._options.timers.now()
    const lanes = this._options.lanes()
    const free = lanes.filter(vm => !this._busy.has(vm) && (this._pausedUntil.get(vm) ?? 0) <= nowMs)
    if (!long) return free[0]
    const longCalls = [...this._busy.values()].filter(call => call.long).length
    const most = Math.max(1, lanes.length - LANES_KEPT_FOR_SHORT_CALLS)
    return longCalls < most ? free.at(-1) : undefined
  }

  private async _ask (lane: string, { step, workers, expectedMs, priority }: EligibilityWish): Promise<void> {
    const { timers, log, ask } = this._options
    this._busy.set(lane, { long: expectedMs > LONG_CALL_MS })
    const askedMs = timers.now()
    const answer = await ask(lane, step, workers.map(worker => worker.id), expectedMs + CALL_SLACK_MS)
    this._busy.delete(lane)
    const tookMs = Math.round(timers.now() - askedMs)
    const known = this._steps.get(step)
    if (known) known.asking = false
    if (!answer) {
      this._pausedUntil.set(lane, timers.now() + FAILED_LANE_PAUSE_MS)
      timers.after(FAILED_LANE_PAUSE_MS, () => this._next())
      log.event('warn', 'eligibility.failed', { task: step, peer: lane, workers: workers.length, tookMs })
    } else if (known) {
      this._learn(known, workers, answer)
      log.event('debug', 'eligibility.learned', { task: step, peer: lane, workers: workers.length, good: Object.keys(answer.tickets).length, validMs: answer.validMs, priority, tookMs })
    }
    this._options.onAnswer()
    this._next()
  }

  private _learn (known: StepKnowledge, workers: EligibilityWish['workers'], { tickets, validMs }: EligibilityAnswer): void {
    const validUntilMs = this._options.timers.now() + validMs - VALIDITY_MARGIN_MS
    for (const { id, life } of workers) {
      const text = tickets[id]
      known.verdicts.set(life, text !== undefined)
      if (text !== undefined) known.tickets.set(life, { text, validUntilMs })
    }
  }
}
