/**
 * Selects the tasks to start and their workers.
 *
 * Load pattern: more tasks are waiting than the workers have room for, from urgent and overnight queues, and the
 * eligibility service must be queried before a start. Steps are placed in the order of their queue's priority, then
 * of their submission. Queries are made in the order of the steps' waits, with a handicap for less urgent queues, so
 * that a few daemons that can call the service are not used by urgent steps alone.
 *
 * @module
 */

import { MAX_WORKERS_PER_CALL, type EligibilityCache } from './eligibilityCache.js'
import { isSuspect, type CrashTracker } from './crashTracker.js'
import type { EligibilityDaemons } from './eligibilityDaemons.js'
import { PlacementPass, type OrderedStep } from './placementPass.js'
import { planQuery, splitQuery, type PlannedQuery } from './queryPlanner.js'
import { needsReservation, planReservations } from './roomReservation.js'
import { placeApart, placeStep, StepRoom, type Assignment } from './stepPlacer.js'
import { findStragglers } from './stragglers.js'
import { WAIT_CAUSES, type WaitCause, type WaitReporter } from './waitReporter.js'
import type { WorkerFleet } from './workerFleet.js'
import type { WorkerSession } from './workerSession.js'
import type { WorkerSpeedEstimator } from './workerSpeedEstimator.js'
import type { WorkerSuspensions } from './workerSuspensions.js'
import type { WorkflowRegistry } from './workflowRegistry.js'
import type { StepRuntime, Task, WorkflowRuntime } from './workflowRuntime.js'
import type { Timers } from '../seams/timers.js'
import type { CellConfig, QueueConfig } from '../seams/workflowUpstreams.js'

/** Size of the range of attempt numbers of a term. Each term has its own range, so that no two schedulers use the same number. */
const ATTEMPTS_PER_TERM = 1_000
/** Priority of urgent queues; larger numbers are less urgent. */
const URGENT_PRIORITY = 0
/**
 * Handicap of a queue for each step of its priority when queries compete for daemons, in milliseconds: a step that has
 * waited this much longer comes before one of the next more urgent queue.
 */
const PRIORITY_HANDICAP_MS = 2_000
/** Wait after which a gang or a large task reserves room, in milliseconds. */
const RESERVE_AFTER_MS = 1_000
/** Maximum number of steps that reserve room in one pass: limits the room that stands idle and the time of a pass. */
const MAX_RESERVING_STEPS = 8
/** Longest time after a step had nothing to ask until it is considered again, in milliseconds; a quarter of a call if that is less. */
const QUERY_PAUSE_MAX_MS = 100
/** Maximum number of long queries, and of short ones, that are planned in one pass: bounds its time while many steps wait. */
const MAX_PLANS = 16
/** Time after the answer to a query within which room must be expected to become free, in milliseconds: a third of a ticket's validity. */
const EXPECTED_ROOM_MS = 700
/** Duration from which a query is long, in milliseconds. Its step claims room; within a short one, other steps seldom take the room. */
const LONG_QUERY_MS = 100
/** Share of the free daemons that one query uses for simultaneous calls. */
const DAEMON_SHARE_PER_QUERY = 0.25

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
  epoch: number
  /** Number of the term; increases with each election. */
  term: number
  timers: Timers
  config: () => CellConfig | undefined
  registry: WorkflowRegistry
  fleet: WorkerFleet
  eligibility: EligibilityCache
  /** The daemons that can call the eligibility service. */
  daemons: EligibilityDaemons
  waits: WaitReporter
  speedEstimator: WorkerSpeedEstimator
  suspensions: WorkerSuspensions
  crashes: CrashTracker
  /** Time until which the earlier scheduler may start tasks, in milliseconds of the monotonic clock. */
  predecessorActiveUntilMs: number
  /** Store revision from which on workflows cannot have been started by the earlier scheduler; infinite while it is not known. */
  newFromRevision: number
  /** Starts a task at a worker. */
  start: (task: Task, worker: WorkerSession, attempt: number, ticket: string | undefined) => void
}

/** Places the waiting tasks of all open workflows. */
export class Dispatcher {
  private readonly _options: DispatcherOptions
  private readonly _lastKnownQueues = new Map<string, QueueConfig>()
  /** Times before which steps that had nothing to ask are not considered again, in milliseconds of the monotonic clock. */
  private readonly _asksAgainMs = new WeakMap<StepRuntime, number>()
  /** Position at which the planning of queries continues in the next pass. */
  private _nextPlan = 0
  /**
   * Time until which the earlier scheduler may start tasks at workers that have not received this epoch, in
   * milliseconds of the monotonic clock.
   */
  private _predecessorActiveUntilMs: number
  /** Store revision from which on workflows cannot have been started by the earlier scheduler. */
  private _newFromRevision: number

  constructor (options: DispatcherOptions) {
    this._options = options
    this._predecessorActiveUntilMs = options.predecessorActiveUntilMs
    this._newFromRevision = options.newFromRevision
  }

  /** Called when workflows stored at `revision` or later are known to be new to the earlier scheduler. */
  noteNewFromRevision (revision: number): void {
    this._newFromRevision = Math.min(this._newFromRevision, revision)
  }

  /** Called when the earlier scheduler is known to start no tasks after a time, in milliseconds of the monotonic clock. */
  notePredecessorActiveUntil (untilMs: number): void {
    this._predecessorActiveUntilMs = Math.min(this._predecessorActiveUntilMs, untilMs)
  }

  /** Called when the earlier scheduler has stopped sending orders to workers. */
  notePredecessorEnded (): void {
    this._predecessorActiveUntilMs = this._options.timers.now()
  }

  /** Configuration of the workflow's queue. When the current configuration lacks the queue, the last one that contained it. */
  queueOf ({ record }: WorkflowRuntime): QueueConfig | undefined {
    const queue = this._options.config()?.queues.get(record.queue)
    if (queue) this._lastKnownQueues.set(queue.name, queue)
    return queue ?? this._lastKnownQueues.get(record.queue)
  }

  /** Starts all tasks that can start now. */
  dispatch (): void {
    const { timers, fleet, speedEstimator, crashes } = this._options
    const nowMs = timers.now()
    crashes.updateTrials()
    const pass = new PlacementPass({
      workers: fleet.sessions.values(),
      isUsable: worker => this._isUsable(worker, nowMs),
      nowMs,
      estimateMs: (step, worker) => step.spec.estimateMs * speedEstimator.slowness(worker),
      trialOn: worker => crashes.trialOn(worker)
    })
    const blocked: BlockedStep[] = []
    let reserving = 0
    for (const { step, queue } of this._readySteps(nowMs)) {
      const waiting = this._placeStep({ step, order: blocked.length }, queue, pass)
      if (waiting === 0) continue
      const blockedStep = { step, order: blocked.length, queue, waiting }
      blocked.push(blockedStep)
      if (reserving < MAX_RESERVING_STEPS && this._reserve(blockedStep, pass)) reserving++
      else if (queue.eligibility) this._claimQueried(blockedStep, pass)
    }
    this._queryEligibility(blocked, pass)
    for (const step of blocked) this._reportWait(step, pass)
  }

  /** Open steps whose tasks may start, the most urgent ones first, then those submitted first. */
  private _readySteps (nowMs: number): ReadyStep[] {
    const { timers, fleet, registry } = this._options
    const wallClockMs = timers.wallClock()
    const inheritanceSettled = fleet.inheritedWorkersSettled
    // The earlier scheduler may still start tasks of any workflow, new ones included, at workers that have not received this epoch.
    const predecessorStopped = inheritanceSettled || nowMs >= this._predecessorActiveUntilMs
    const steps: ReadyStep[] = []
    for (const workflow of registry.open) {
      if (workflow.isOver) continue
      // Tasks that the earlier scheduler may have started at an unreachable worker wait, unless the step allows copies.
      const mayStartWorkflow = predecessorStopped && (inheritanceSettled || workflow.revision >= this._newFromRevision)
      const queue = this.queueOf(workflow)
      if (!queue) continue
      for (const step of workflow.openSteps(wallClockMs)) {
        step.readyMs ??= nowMs
        const mayStart = mayStartWorkflow || step.spec.speculative || (predecessorStopped && step.becameReadyInTerm)
        if (mayStart) steps.push({ step, queue })
        else this._noteWait(step, queue, step.waitingTasks(nowMs), () => ({ cause: WAIT_CAUSES.predecessor }))
      }
    }
    const submittedAtMs = ({ step }: ReadyStep): number => step.workflow.record.submittedAtMs
    return steps.sort((a, b) => a.queue.priority - b.queue.priority || submittedAtMs(a) - submittedAtMs(b))
  }

  /** Starts the tasks of a step for which there is room. Returns the number of tasks that go on waiting for workers. */
  private _placeStep (ordered: OrderedStep, queue: QueueConfig, pass: PlacementPass): number {
    const { step } = ordered
    const tasks = [...step.waitingTasks(pass.nowMs), ...findStragglers(step, pass.nowMs)]
    const { spec } = step
    if (tasks.length === 0) return 0
    if (spec.gang && tasks.length < step.tasks.length) {
      this._noteWait(step, queue, tasks, () => ({ cause: WAIT_CAUSES.gangEnding, members: step.tasks.length }))
      return 0
    }
    const { eligibility, start } = this._options
    const workers = queue.eligibility ? this._ticketHolders(step, queue, pass) : pass.workersFor(step, queue.service)
    for (const task of tasks) if (workers.length > 0 && workers.every(worker => task.avoid?.has(worker.incarnation))) task.avoid = undefined
    const assignments = this._assign(ordered, { tasks, workers, queue, pass })
    const attempt = spec.gang ? this._nextAttempt(Math.max(...step.tasks.map(task => task.attempt))) : undefined
    for (const { task, worker } of assignments) {
      start(task, worker, attempt ?? this._nextAttempt(task.attempt), eligibility.ticket(step.name, worker.incarnation))
    }
    return tasks.length - assignments.length
  }

  /** Assigns workers to tasks: to suspected tasks, workers on which they can be tried. */
  private _assign (ordered: OrderedStep, { tasks, workers, queue, pass }: {
    tasks: Task[], workers: WorkerSession[], queue: QueueConfig, pass: PlacementPass
  }): Assignment[] {
    if (workers.length === 0) return []
    const { step } = ordered
    const { crashes } = this._options
    const options = {
      step,
      workers,
      urgent: queue.priority === URGENT_PRIORITY,
      slowness: this._slowness,
      freeRoom: (worker: WorkerSession) => pass.freeRoom(ordered, worker)
    }
    const suspects = tasks.filter(isSuspect)
    if (suspects.length === 0) return placeStep({ ...options, tasks })
    const mayTry = crashes.mayStartTrial(pass.workersFor(step, queue.service).length)
    if (step.spec.gang) return mayTry ? placeStep({ ...options, tasks }) : []
    const tried = placeApart({
      ...options,
      tasks: suspects,
      workers: mayTry ? workers : workers.filter(worker => crashes.trialOn(worker)),
      isUnstable: worker => crashes.hasCrashedLately(worker)
    })
    const others = tasks.filter(task => !suspects.includes(task))
    const workersForOthers = workers.filter(worker => !tried.some(assignment => assignment.worker === worker))
    return [...tried, ...placeStep({ ...options, tasks: others, workers: workersForOthers })]
  }

  private readonly _slowness = (worker: WorkerSession): number => this._options.speedEstimator.slowness(worker)

  private _ticketHolders (step: StepRuntime, queue: QueueConfig, pass: PlacementPass): WorkerSession[] {
    const { eligibility, fleet } = this._options
    const workers: WorkerSession[] = []
    for (const incarnation of eligibility.ticketHolders(step.name)) {
      const worker = fleet.sessions.get(incarnation)
      if (worker && pass.isUsable(worker, step, queue.service)) workers.push(worker)
    }
    return workers
  }

  private _isUsable (worker: WorkerSession, nowMs: number): boolean {
    if (worker.entry.draining || !worker.listed || !worker.reachable || !worker.synced || worker.closed) return false
    return worker.suspendedUntilMs <= nowMs && !this._options.suspensions.isSuspended(worker.incarnation)
  }

  /**
   * Claims room for the waiting tasks of a step on workers with a valid ticket, and on those in its queries in progress.
   * A gang that does not fit claims none.
   */
  private _claimQueried (blocked: BlockedStep, pass: PlacementPass): void {
    const { eligibility, fleet } = this._options
    const { step, waiting, queue } = blocked
    if (!isLongQuery(queue)) return
    const calls = [...eligibility.pendingCalls(step.name)]
    const idleUntilMs = Math.max(pass.nowMs, ...calls.map(call => call.endsMs))
    const atMs = idleUntilMs + EXPECTED_ROOM_MS
    const room = new StepRoom(step, worker => pass.expectedRoom(blocked, worker, atMs))
    const claims: Array<{ worker: WorkerSession, tasks: number }> = []
    let missing = waiting
    for (const incarnation of [...eligibility.ticketHolders(step.name), ...calls.flatMap(call => call.workers)]) {
      if (missing === 0) break
      const worker = fleet.sessions.get(incarnation)
      const tasks = worker && pass.isUsable(worker, step, queue.service) ? room.slots(worker, missing) : 0
      if (tasks === 0) continue
      claims.push({ worker: worker!, tasks })
      missing -= tasks
    }
    if (missing > 0 && step.spec.gang) return
    for (const { worker, tasks } of claims) pass.claim(blocked, worker, { tasks, idleUntilMs })
  }

  /** Reserves room for a gang or a large task that has waited for some time. Returns whether it did. */
  private _reserve (blocked: BlockedStep, pass: PlacementPass): boolean {
    const { step, queue, waiting } = blocked
    if (pass.nowMs - (step.readyMs ?? pass.nowMs) < RESERVE_AFTER_MS) return false
    const { eligibility } = this._options
    const usable = pass.workersFor(step, queue.service)
    if (!needsReservation(step, usable)) return false
    const workers = queue.eligibility ? usable.filter(worker => eligibility.isEligible(step.name, worker.incarnation)) : usable
    const reservations = planReservations({ ordered: blocked, tasks: waiting, workers, pass })
    const idleUntilMs = Math.max(...reservations.map(({ freeAtMs }) => freeAtMs))
    for (const { worker, tasks } of reservations) pass.claim(blocked, worker, { tasks, idleUntilMs })
    return reservations.length > 0
  }

  /** Queries the eligibility service: first for steps that could start tasks after the answer, then in advance for others. */
  private _queryEligibility (blocked: BlockedStep[], pass: PlacementPass): void {
    const { eligibility } = this._options
    const turn = ({ step, queue }: BlockedStep): number => (step.readyMs ?? pass.nowMs) + queue.priority * PRIORITY_HANDICAP_MS
    const asking = blocked.filter(({ step, queue }) => queue.eligibility && !eligibility.isQueryPending(step.name))
    asking.sort((a, b) => turn(a) - turn(b))
    // Steps with short queries are not kept waiting by any number of others, and the other way round.
    for (const long of [false, true]) this._queryInTurn(asking.filter(({ queue }) => isLongQuery(queue) === long), pass)
  }

  /** Plans at most `MAX_PLANS` queries. While more steps are due, each pass continues where the last one ended. */
  private _queryInTurn (asking: BlockedStep[], pass: PlacementPass): void {
    const due = asking.filter(({ step, queue }) => (this._asksAgainMs.get(step) ?? 0) <= pass.nowMs && this._freeDaemons(queue, 1) > 0)
    const first = due.length > MAX_PLANS ? this._nextPlan % due.length : 0
    this._nextPlan = first + MAX_PLANS
    const inAdvance: Array<{ blocked: BlockedStep, workers: WorkerSession[] }> = []
    for (const blocked of [...due.slice(first), ...due.slice(0, first)].slice(0, MAX_PLANS)) {
      const { step, queue } = blocked
      if (this._freeDaemons(queue, 1) === 0) continue
      const { workers, startsTasks } = this._planQuery(blocked, pass)
      if (workers.length === 0) {
        this._asksAgainMs.set(step, pass.nowMs + Math.min(QUERY_PAUSE_MAX_MS, queue.eligibility!.baseMs / 4))
      } else if (!startsTasks) {
        inAdvance.push({ blocked, workers })
      } else if (this._query(blocked, workers)) {
        this._claimQueried(blocked, pass)
      }
    }
    // The last free daemon is kept for a step that could start tasks.
    for (const { blocked, workers } of inAdvance) if (this._freeDaemons(blocked.queue, 1) > 1) this._query(blocked, workers)
  }

  /** Number of calls about that many workers that could start now. */
  private _freeDaemons ({ eligibility }: QueueConfig, workers: number): number {
    return this._options.daemons.freeCount(eligibility!.baseMs + eligibility!.perWorkerMs * workers)
  }

  /** Calls the service for a step, in several simultaneous calls where daemons are plenty. Returns whether a call was made. */
  private _query ({ step, queue }: BlockedStep, workers: WorkerSession[]): boolean {
    const { baseMs, perWorkerMs } = queue.eligibility!
    const maxCalls = Math.floor(this._freeDaemons(queue, workers.length) * DAEMON_SHARE_PER_QUERY)
    const calls = splitQuery(workers, maxCalls).map(part => this._options.eligibility.queryWorkers({
      step: step.name,
      workers: part.map(worker => ({ id: worker.entry.id, incarnation: worker.incarnation })),
      priority: queue.priority,
      expectedMs: baseMs + perWorkerMs * part.length
    }))
    return calls.includes(true)
  }

  private _planQuery (blocked: BlockedStep, pass: PlacementPass): PlannedQuery {
    const { eligibility } = this._options
    const { step, queue, waiting } = blocked
    const atMs = pass.nowMs + queue.eligibility!.baseMs + EXPECTED_ROOM_MS
    return planQuery({
      step,
      tasks: waiting,
      workers: pass.workersFor(step, queue.service),
      isEligible: worker => eligibility.isEligible(step.name, worker.incarnation),
      hasTicket: worker => eligibility.ticket(step.name, worker.incarnation) !== undefined,
      freeRoom: worker => pass.freeRoom(blocked, worker),
      expectedRoom: worker => pass.expectedRoom(blocked, worker, atMs),
      slowness: this._slowness,
      maxWorkers: MAX_WORKERS_PER_CALL
    })
  }

  private _reportWait (blocked: BlockedStep, pass: PlacementPass): void {
    const { step, queue } = blocked
    this._noteWait(step, queue, step.waitingTasks(pass.nowMs), () => this._explainWait(blocked, pass))
  }

  private _noteWait (step: StepRuntime, queue: QueueConfig, tasks: Task[], explain: () => WaitExplanation): void {
    if (tasks.length === 0) return
    const { timers, waits } = this._options
    const waitedMs = Math.max(...tasks.map(task => step.waitOf(task, timers.now())))
    waits.note({ step, queue: queue.name, objectiveMs: queue.targetMs, tasks: tasks.length, waitedMs, explain })
  }

  private _explainWait (blocked: BlockedStep, pass: PlacementPass): WaitExplanation {
    const { eligibility } = this._options
    const { step, queue, waiting } = blocked
    const usable = pass.workersFor(step, queue.service)
    const slotsOf = (room: StepRoom, workers: WorkerSession[]): number =>
      workers.reduce((sum, worker) => sum + room.slots(worker, waiting), 0)
    const unclaimed = new StepRoom(step, worker => pass.freeRoom(blocked, worker))
    const answers = usable.map(worker => eligibility.isEligible(step.name, worker.incarnation))
    const allowed = queue.eligibility ? usable.filter((_worker, index) => answers[index] !== false) : usable
    const counts = {
      workers: usable.length,
      eligible: queue.eligibility ? answers.filter(answer => answer === true).length : usable.length,
      unknown: queue.eligibility ? answers.filter(answer => answer === undefined).length : 0,
      slots: slotsOf(new StepRoom(step), usable),
      allowedSlots: slotsOf(new StepRoom(step), allowed),
      unclaimedSlots: slotsOf(unclaimed, allowed)
    }
    const cause = ((): WaitCause => {
      if (step.waitingTasks(pass.nowMs).some(isSuspect)) return WAIT_CAUSES.trial
      if (usable.length === 0) return WAIT_CAUSES.noWorker
      if (eligibility.isQueryPending(step.name)) return WAIT_CAUSES.eligibilityPending
      if (counts.slots === 0) return WAIT_CAUSES.noRoom
      if (counts.allowedSlots === 0) return WAIT_CAUSES.notEligible
      if (counts.unclaimedSlots === 0) return WAIT_CAUSES.roomClaimed
      if (step.spec.gang && counts.unclaimedSlots < waiting) return WAIT_CAUSES.tooLittleRoom
      return queue.eligibility ? WAIT_CAUSES.eligibilityBusy : WAIT_CAUSES.tooLittleRoom
    })()
    return { cause, ...counts }
  }

  /** Next attempt number after `attempt` that lies in this term's range or above. */
  private _nextAttempt (attempt: number): number {
    return Math.max(attempt, (this._options.term - 1) * ATTEMPTS_PER_TERM) + 1
  }
}

function isLongQuery ({ eligibility }: QueueConfig): boolean {
  return eligibility !== undefined && eligibility.baseMs >= LONG_QUERY_MS
}

interface ReadyStep {
  step: StepRuntime
  queue: QueueConfig
}

/** A step with tasks that could not be placed. */
interface BlockedStep extends ReadyStep, OrderedStep {
  /** Number of tasks that wait. */
  waiting: number
}

interface WaitExplanation {
  cause: WaitCause
  [count: string]: string | number
}
