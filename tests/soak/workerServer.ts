/**
 * HTTP server of a worker, with the interface that the platform's pages describe, and faults of single calls.
 *
 * @module
 */

import { JsonServer, type Answer } from './standins.js'
import type { SeededRandom } from '@pomelofold/standins/seededRandom'
import type { LeasedWorker, RunRecord } from '@pomelofold/standins/leasedWorker'
import type { Timers } from 'pomelofold/seams/timers'
import { START_REFUSALS, type StartRefusal } from 'pomelofold/seams/workflowUpstreams'

/** Longest lease that a worker grants, in milliseconds. */
export const MAX_LEASE_MS = 6_000
/** Shortest delay of an order that is carried out late, and longest random addition to it, in milliseconds. */
const MIN_LATE_MS = 2_000
const MAX_LATE_ADDITION_MS = 10_000

const HOLD = 'POST /api/hold'
/** Part of a fault's share that applies to lease extensions too: a worker that cannot extend its lease receives no starts. */
const HOLD_FAULT_SHARE = 0.7

const REASONS: Partial<Record<StartRefusal, string>> = {
  [START_REFUSALS.staleEpoch]: 'fence',
  [START_REFUSALS.oldAttempt]: 'old',
  [START_REFUSALS.leaseLapsed]: 'late',
  [START_REFUSALS.noRoom]: 'room',
  [START_REFUSALS.invalidTicket]: 'ticket'
}

/** Shares of a worker's calls, from 0 to 1, that are disturbed. */
export interface CallFaults {
  /** Answered with 503 or 429; nothing is done. */
  refused: number
  /** Carried out; the answer is lost. */
  unanswered: number
  /** Lost on the way to the worker. */
  lost: number
  /** Orders that receive no answer and are carried out late. */
  late: number
}

/** Where the start of a run came from. */
export interface StartOrigin {
  record: RunRecord
  /** Epoch of the leader that sent it. */
  epoch: number
  /** Start dates of the incarnations to which the start was sent and that carried it out; equal unless it was late. */
  sentToBornMs: number
  bornMs: number
  /** Time between the arrival of the start and its execution, in milliseconds; 0 if it was not late. */
  lateMs: number
  /** True if another leader had been elected before. */
  replaced: boolean
  /** True if the incarnation that carried it out had received no call before. */
  first: boolean
  /** Share of its capacity that the worker had long before the start, and has. */
  capacityShare: number
}

/** One incarnation of a worker. Its own clock begins at 0 when it starts. */
export interface Incarnation {
  worker: LeasedWorker
  startedMs: number
}

/** What all worker servers of a cell have in common. */
export class WorkerOrders {
  readonly origins: StartOrigin[] = []
  /** Number of calls and orders by fault, or by refusal. */
  readonly counts: Record<string, number> = {}
  /** Epochs of the leaders so far, in order: the revisions at which their key was written. */
  readonly leaderEpochs: number[] = []
  /** Number of orders that are still to be carried out. */
  pending = 0

  /** Epoch of the leader that used this fencing token, which is a revision of its term. */
  epochOf (token: number): number {
    return this.leaderEpochs.findLast(epoch => epoch <= token) ?? 0
  }
}

type Call = { path: string, body: any }

/** Tickets of the advice service: valid for one step at one incarnation until a time on the stand-ins' clock. */
export const tickets = {
  create: (step: string, bornMs: number, untilMs: number): string => `${step}/${bornMs}/${untilMs}`,
  isValid: (ticket: unknown, task: string, bornMs: number, nowMs: number): boolean => {
    const [step, born, untilMs] = String(ticket).split('/')
    return task.startsWith(`${step}.`) && Number(born) === bornMs && nowMs < Number(untilMs)
  }
}

/** Answers the calls to one worker id, whichever incarnation has it. */
export class WorkerServer {
  readonly faults: CallFaults = { refused: 0, unanswered: 0, lost: 0, late: 0 }
  readonly server = new JsonServer(call => this._answer(call))
  private readonly _current: () => Incarnation | undefined
  private readonly _knownCapacityShare: () => number
  private readonly _timers: Timers
  private readonly _random: SeededRandom
  private readonly _records: RunRecord[]
  private readonly _orders: WorkerOrders

  constructor ({ current, knownCapacityShare, timers, random, records, orders }: {
    current: () => Incarnation | undefined,
    knownCapacityShare: () => number,
    timers: Timers,
    random: SeededRandom,
    records: RunRecord[],
    orders: WorkerOrders
  }) {
    this._current = current
    this._knownCapacityShare = knownCapacityShare
    this._timers = timers
    this._random = random
    this._records = records
    this._orders = orders
  }

  private async _answer (call: Call): Promise<Answer> {
    const receiver = this._current()
    if (!receiver || this._strikes('lost', call)) return
    if (call.path !== HOLD && this._strikes('late', call)) return this._carryOutLate(call, receiver)
    if (this._strikes('refused', call)) return { status: this._random.int(2) ? 503 : 429 }
    const answer = await this._carryOut(call, receiver, receiver)
    // A process that has ended meanwhile answers nothing.
    return this._current() !== receiver || this._strikes('unanswered', call) ? undefined : answer
  }

  private _strikes (fault: keyof CallFaults, { path }: Call): boolean {
    const strikes = this._random.next() < this.faults[fault] * (path === HOLD ? HOLD_FAULT_SHARE : 1)
    if (strikes) this._count(fault)
    return strikes
  }

  private _count (name: string): void {
    this._orders.counts[name] = (this._orders.counts[name] ?? 0) + 1
  }

  /** Carries the order out later, at the incarnation that has the id then. */
  private _carryOutLate (call: Call, receiver: Incarnation): undefined {
    const arrivedMs = this._timers.now()
    this._orders.pending++
    this._timers.after(MIN_LATE_MS + this._random.int(MAX_LATE_ADDITION_MS), () => {
      this._orders.pending--
      const current = this._current()
      if (current) this._carryOut(call, receiver, current, arrivedMs)
    })
  }

  private async _carryOut (
    call: Call, receiver: Incarnation, executor: Incarnation, arrivedMs?: number
  ): Promise<Answer> {
    const { worker, startedMs } = executor
    const { body } = call
    const nowMs = this._timers.now()
    const epoch = this._orders.epochOf(body.fence_token)
    const first = worker.epoch === 0
    const untilMs = body.deadline_ms === undefined ? undefined : Math.min(body.deadline_ms + startedMs, nowMs + MAX_LEASE_MS)
    const order = { epoch: body.fence_token, task: body.task, attempt: body.attempt }
    if (call.path === 'POST /api/run-start') {
      const recorded = this._records.length
      const refusal = this._ticketRefusal(executor, body) ?? worker.start({ ...order, payload: body.spec, untilMs: untilMs! })
      if (this._records.length > recorded) {
        this._orders.origins.push({
          record: this._records[recorded],
          epoch,
          sentToBornMs: receiver.worker.entry.bornMs,
          bornMs: worker.entry.bornMs,
          lateMs: arrivedMs === undefined ? 0 : nowMs - arrivedMs,
          replaced: epoch !== this._orders.leaderEpochs.at(-1),
          first,
          capacityShare: this._knownCapacityShare()
        })
      }
      return this._orderAnswer(executor, refusal)
    }
    if (call.path === 'POST /api/run-stop') return this._orderAnswer(executor, worker.stop(order))
    const report = await worker.extend({ epoch: body.fence_token, acknowledged: body.acked_through, untilMs, waitMs: body.wait_ms })
    if ('refusal' in report) return this._orderAnswer(executor, report.refusal)
    return {
      status: 200,
      body: {
        clock_ms: Math.round(report.clockMs - startedMs),
        born: report.bornMs,
        running: report.running.map(run => [run.task, run.attempt, run.checkpoint, run.percent]),
        ended_runs: report.ended.map(end => [end.sequence, end.task, end.attempt, end.how, end.checkpoint])
      }
    }
  }

  /** Starts of the queue that uses the advice service need a valid ticket; the payload names the queue. */
  private _ticketRefusal ({ worker }: Incarnation, body: any): StartRefusal | undefined {
    if (body.fence_token < worker.epoch || body.spec !== 'advised') return
    if (!tickets.isValid(body.ticket, body.task, worker.entry.bornMs, this._timers.now())) return START_REFUSALS.invalidTicket
  }

  private _orderAnswer ({ startedMs }: Incarnation, refusal: StartRefusal | undefined): Answer {
    const clock = { clock_ms: Math.round(this._timers.now() - startedMs) }
    if (refusal === undefined) return { status: 200, body: clock }
    this._count(refusal)
    return { status: 409, body: { ...clock, reason: REASONS[refusal] } }
  }
}
