/**
 * Decides which blocked steps query the eligibility service, and which room they claim meanwhile.
 *
 * Load pattern: more steps need a query than daemons can call the service, which takes up to a second for a call. Queries are
 * made in the order of `QueryOrder`; a call is split over several daemons only while no step waits for one.
 *
 * @module
 */

import { withoutExcluded } from './avoidedWorkers.js'
import { MAX_WORKERS_PER_CALL, type EligibilityCache } from './eligibilityCache.js'
import type { EligibilityDaemons } from './eligibilityDaemons.js'
import type { PlacementPass } from './placementPass.js'
import { planQuery, splitQuery, type PlannedQuery } from './queryPlanner.js'
import { QueryOrder } from './queryOrder.js'
import type { BlockedStep } from './readyStep.js'
import { StepRoom } from './stepPlacer.js'
import type { WorkerFleet } from './workerFleet.js'
import type { WorkerSession } from './workerSession.js'
import type { WorkerSpeedEstimator } from './workerSpeedEstimator.js'
import type { StepRuntime } from './workflowRuntime.js'
import type { QueueConfig } from '../seams/workflowUpstreams.js'

/** Longest time after a step had nothing to ask until it is considered again, in milliseconds; a quarter of a call if that is less. */
const QUERY_PAUSE_MAX_MS = 100
/** Maximum number of long queries, and of short ones, that are planned in one pass: bounds its time while many steps wait. */
const MAX_PLANS = 16
/** Number of these plans for steps at the head of the order. The others are for all further steps in turn, so that none is left out. */
const PLANS_AT_HEAD = 12
/** Time after the answer to a query within which room must be expected to become free, in milliseconds: a third of a ticket's validity. */
const EXPECTED_ROOM_MS = 700
/** Duration from which a query is long, in milliseconds. Its step claims room; within a short one, other steps seldom take the room. */
const LONG_QUERY_MS = 100
/** Share of the free daemons that one query uses for simultaneous calls. */
const DAEMON_SHARE_PER_QUERY = 0.25

/** Options of {@link EligibilityQueries}. */
export interface EligibilityQueriesOptions {
  fleet: Pick<WorkerFleet, 'sessions'>
  eligibility: EligibilityCache
  /** The daemons that can call the eligibility service. */
  daemons: EligibilityDaemons
  speedEstimator: WorkerSpeedEstimator
}

/** Plans the queries of each placement pass. */
export class EligibilityQueries {
  private readonly _options: EligibilityQueriesOptions
  /** Times before which steps that had nothing to ask are not considered again, in milliseconds of the monotonic clock. */
  private readonly _asksAgainMs = new WeakMap<StepRuntime, number>()
  private readonly _order = new QueryOrder()
  /** The steps that had no call in progress before the last pass, in the order of their queries. */
  private _asking: BlockedStep[] = []
  /** Position among the steps behind the head at which planning continues in the next pass. */
  private _nextPlan = 0

  constructor (options: EligibilityQueriesOptions) {
    this._options = options
  }

  /**
   * Claims room for the waiting tasks of a step on workers with a valid ticket, and on those in its queries in progress.
   * A gang that does not fit claims none.
   */
  claimRoom (blocked: BlockedStep, pass: PlacementPass): void {
    const { eligibility, fleet } = this._options
    const { step, waiting, queue } = blocked
    if (!isLongQuery(queue)) return
    const calls = [...eligibility.pendingCalls(step.name)]
    const idleUntilMs = Math.max(pass.nowMs, ...calls.map(call => call.endsMs))
    const atMs = idleUntilMs + EXPECTED_ROOM_MS
    const room = new StepRoom(step, worker => pass.expectedRoom(blocked, worker, atMs))
    const claims: Array<{ worker: WorkerSession, tasks: number }> = []
    let missing = waiting
    const known = [...eligibility.ticketHolders(step.name), ...calls.flatMap(call => call.workers)]
    const workers = known.flatMap(incarnation => fleet.sessions.get(incarnation) ?? [])
    for (const worker of withoutExcluded(workers, step.waitingTasks(pass.nowMs), pass.nowMs)) {
      if (missing === 0) break
      const tasks = pass.isUsable(worker, step, queue.service) ? room.slots(worker, missing) : 0
      if (tasks === 0) continue
      claims.push({ worker, tasks })
      missing -= tasks
    }
    if (missing > 0 && step.spec.gang) return
    for (const { worker, tasks } of claims) pass.claim(blocked, worker, { tasks, idleUntilMs })
  }

  /** Number of steps that come before this one when daemons become free, and of calls in progress. For the log. */
  load (step: StepRuntime): { ahead: number, busyDaemons: number } {
    const position = this._asking.findIndex(asking => asking.step === step)
    return { ahead: Math.max(0, position), busyDaemons: this._options.daemons.busyCount }
  }

  /** Queries the eligibility service: first for steps that could start tasks after the answer, then in advance for others. */
  queryFor (blocked: BlockedStep[], pass: PlacementPass): void {
    const { eligibility } = this._options
    const asking = this._order.sort(
      blocked.filter(({ step, queue }) => queue.eligibility && !eligibility.isQueryPending(step.name)), pass.nowMs)
    this._asking = asking
    // Steps with short queries are not kept waiting by any number of others, and the other way round.
    for (const long of [false, true]) this._queryInTurn(asking.filter(({ queue }) => isLongQuery(queue) === long), pass)
  }

  /** Plans at most `MAX_PLANS` queries, those at the head of the order first. */
  private _queryInTurn (asking: BlockedStep[], pass: PlacementPass): void {
    const ready = asking.filter(({ step, queue }) => (this._asksAgainMs.get(step) ?? 0) <= pass.nowMs && this._freeDaemons(queue, 1) > 0)
    const withinBudget = ready.filter(({ beyondBudget }) => !beyondBudget)
    const due = withinBudget.length > 0 ? withinBudget : ready
    const planned = this._selectPlanned(due)
    const inAdvance: Array<{ blocked: BlockedStep, workers: WorkerSession[] }> = []
    let waitingForDaemon = due.length
    for (const blocked of planned) {
      const { queue } = blocked
      if (this._freeDaemons(queue, 1) === 0) break
      const { workers, startsTasks } = this._planQuery(blocked, pass)
      waitingForDaemon--
      if (workers.length === 0) {
        this._pause(blocked, pass)
      } else if (!startsTasks) {
        inAdvance.push({ blocked, workers })
      } else if (this._query(blocked, workers, { othersWaiting: waitingForDaemon })) {
        this._order.noteQuery(blocked, pass.nowMs)
        this.claimRoom(blocked, pass)
      }
    }
    // The last free daemon is kept for a step that could start tasks.
    for (const { blocked, workers } of inAdvance) {
      const queried = this._freeDaemons(blocked.queue, 1) > 1 && this._query(blocked, workers, { othersWaiting: waitingForDaemon })
      if (!queried) this._pause(blocked, pass)
    }
  }

  private _selectPlanned (due: BlockedStep[]): BlockedStep[] {
    if (due.length <= MAX_PLANS) return due
    const behind = due.slice(PLANS_AT_HEAD)
    const first = this._nextPlan % behind.length
    this._nextPlan = first + MAX_PLANS - PLANS_AT_HEAD
    return [...due.slice(0, PLANS_AT_HEAD), ...behind.slice(first), ...behind.slice(0, first)].slice(0, MAX_PLANS)
  }

  private _pause ({ step, queue }: BlockedStep, pass: PlacementPass): void {
    this._asksAgainMs.set(step, pass.nowMs + Math.min(QUERY_PAUSE_MAX_MS, queue.eligibility!.baseMs / 4))
  }

  /** Number of calls about that many workers that could start now. */
  private _freeDaemons ({ eligibility }: QueueConfig, workers: number): number {
    return this._options.daemons.freeCount(eligibility!.baseMs + eligibility!.perWorkerMs * workers)
  }

  /** Calls the service for a step, in several simultaneous calls where daemons are plenty. Returns whether a call was made. */
  private _query ({ step, queue }: BlockedStep, workers: WorkerSession[], { othersWaiting }: { othersWaiting: number }): boolean {
    const { baseMs, perWorkerMs } = queue.eligibility!
    const freeDaemons = this._freeDaemons(queue, workers.length)
    const maxCalls = Math.floor(Math.min(freeDaemons * DAEMON_SHARE_PER_QUERY, freeDaemons - othersWaiting))
    const calls = splitQuery(workers, maxCalls).map(part => this._options.eligibility.queryWorkers({
      step: step.name,
      workers: part.map(worker => ({ id: worker.entry.id, incarnation: worker.incarnation })),
      queue: queue.name,
      priority: queue.priority,
      expectedMs: baseMs + perWorkerMs * part.length
    }))
    return calls.includes(true)
  }

  private _planQuery (blocked: BlockedStep, pass: PlacementPass): PlannedQuery {
    const { eligibility, speedEstimator } = this._options
    const { step, queue, waiting } = blocked
    const atMs = pass.nowMs + queue.eligibility!.baseMs + EXPECTED_ROOM_MS
    return planQuery({
      step,
      tasks: waiting,
      workers: withoutExcluded(pass.workersFor(step, queue.service), step.waitingTasks(pass.nowMs), pass.nowMs),
      isEligible: worker => eligibility.isEligible(step.name, worker.incarnation),
      hasTicket: worker => eligibility.ticket(step.name, worker.incarnation) !== undefined,
      freeRoom: worker => pass.freeRoom(blocked, worker),
      expectedRoom: worker => pass.expectedRoom(blocked, worker, atMs),
      slowness: worker => speedEstimator.slowness(worker),
      eligibleShare: isLongQuery(queue) ? eligibility.counts.eligibleShare(queue.name) : undefined,
      maxWorkers: MAX_WORKERS_PER_CALL
    })
  }
}

function isLongQuery ({ eligibility }: QueueConfig): boolean {
  return eligibility !== undefined && eligibility.baseMs >= LONG_QUERY_MS
}
