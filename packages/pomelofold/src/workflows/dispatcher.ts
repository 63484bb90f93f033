/**
 * Selects the tasks to start and their workers.
 *
 * Load pattern: more tasks are waiting than the workers have room for, from urgent and overnight queues, and the
 * eligibility service must be queried before a start. `StepOrder` decides which step comes first, `EligibilityQueries`
 * which steps query.
 *
 * @module
 */

import { withoutExcluded } from './avoidedWorkers.js'
import { isSuspect, type CrashTracker } from './crashTracker.js'
import type { EligibilityCache } from './eligibilityCache.js'
import type { EligibilityDaemons } from './eligibilityDaemons.js'
import { EligibilityQueries } from './eligibilityQueries.js'
import { InheritedUsage } from './inheritedUsage.js'
import type { AwaitedWorkers } from './inheritedWorkers.js'
import { PlacementPass, type OrderedStep } from './placementPass.js'
import type { BlockedStep, ReadyStep } from './readyStep.js'
import { needsReservation, planReservations, ReservingSteps } from './roomReservation.js'
import { StepOrder } from './stepOrder.js'
import { TaskBudget } from './taskBudget.js'
import { placeApart, placeStep, type Assignment } from './stepPlacer.js'
import { findStragglers } from './stragglers.js'
import { explainWait, type WaitExplanation } from './waitExplanation.js'
import { WAIT_CAUSES, type WaitReporter } from './waitReporter.js'
import type { WorkerFleet } from './workerFleet.js'
import type { WorkerSession } from './workerSession.js'
import type { WorkerSpeedEstimator } from './workerSpeedEstimator.js'
import type { WorkerSuspensions } from './workerSuspensions.js'
import type { WorkflowRegistry } from './workflowRegistry.js'
import type { StepRuntime, Task, WorkflowRuntime } from './workflowRuntime.js'
import type { Timers } from '../seams/timers.js'
import type { CellConfig, QueueConfig, TeamsConfig } from '../seams/workflowUpstreams.js'
import type { SubmissionBudget } from '../teams/submissionBudget.js'
import { TeamCaps, type CapFigures, type CapRequest } from '../teams/teamCaps.js'
import type { TeamShares } from '../teams/teamShares.js'
import type { TeamUsage } from '../teams/teamUsage.js'
import type { EventLog } from '../utils/eventLog.js'

/** Size of the range of attempt numbers of a term. Each term has its own range, so that no two schedulers use the same number. */
const ATTEMPTS_PER_TERM = 1_000
/** Priority of urgent queues; larger numbers are less urgent. */
const URGENT_PRIORITY = 0
/** Wait after which a gang or a large task reserves room, in milliseconds. */
const RESERVE_AFTER_MS = 1_000

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
  epoch: number
  /** Number of the term; increases with each election. */
  term: number
  timers: Timers
  log: EventLog
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
  /** Resources that the runs of each team use. */
  teamUsage: TeamUsage
  /** Shares of the teams in the cell's room. */
  shares: TeamShares
  /** Which workflows are beyond their team's number of workflows a second. */
  budget: SubmissionBudget
  /** Time until which the earlier scheduler may start tasks, in milliseconds of the monotonic clock. */
  predecessorActiveUntilMs: number
  /** Store revision from which on workflows cannot have been started by the earlier scheduler; infinite while it is not known. */
  newFromRevision: number
  /** Number of tasks of open workflows for which the process has room; see {@link TaskBudget}. */
  maxLoadedTasks?: number
  /** Starts a task at a worker. */
  start: (task: Task, worker: WorkerSession, attempt: number, ticket: string | undefined) => void
}

/** Places the waiting tasks of all open workflows. */
export class Dispatcher {
  private readonly _options: DispatcherOptions
  private readonly _lastKnownQueues = new Map<string, QueueConfig>()
  private readonly _order: StepOrder
  private readonly _queries: EligibilityQueries
  private readonly _inheritedUsage: InheritedUsage
  private readonly _caps: TeamCaps
  private readonly _taskBudget: TaskBudget
  /**
   * Time until which the earlier scheduler may start tasks at workers that have not received this epoch, in
   * milliseconds of the monotonic clock.
   */
  private _predecessorActiveUntilMs: number
  /** Store revision from which on workflows cannot have been started by the earlier scheduler. */
  private _newFromRevision: number
  /** Whether the workers of the earlier scheduler were settled in the last pass that was logged; undefined before. */
  private _inheritanceSettled: boolean | undefined
  private readonly _createdMs: number

  constructor (options: DispatcherOptions) {
    this._options = options
    const { timers, log, fleet, registry, eligibility, daemons, speedEstimator, shares, teamUsage, config } = options
    const teams = (): TeamsConfig | undefined => config()?.teams
    this._order = new StepOrder({ shares, teams })
    this._taskBudget = new TaskBudget({ log, maxTasks: options.maxLoadedTasks })
    this._queries = new EligibilityQueries({ fleet, eligibility, daemons, speedEstimator })
    this._inheritedUsage = new InheritedUsage({ fleet, registry, newFromRevision: () => this._newFromRevision })
    this._caps = new TeamCaps({ usage: teamUsage, teams, inherited: team => this._inheritedUsage.of(team), timers, log })
    this._predecessorActiveUntilMs = options.predecessorActiveUntilMs
    this._newFromRevision = options.newFromRevision
    this._createdMs = timers.now()
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
    this.notePredecessorActiveUntil(this._options.timers.now())
  }

  /** True when the earlier scheduler is known to have started no tasks at or after a time, in milliseconds of the monotonic clock. */
  predecessorHadStopped (atMs: number): boolean {
    return atMs >= this._predecessorActiveUntilMs
  }

  /** Configuration of the workflow's queue. When the current configuration lacks the queue, the last one that contained it. */
  queueOf ({ record }: WorkflowRuntime): QueueConfig | undefined {
    const queue = this._options.config()?.queues.get(record.queue)
    if (queue) this._lastKnownQueues.set(queue.name, queue)
    return queue ?? this._lastKnownQueues.get(record.queue)
  }

  /** Current values of the teams' caps for the metrics. */
  capFigures (): CapFigures {
    return this._caps.figures()
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
      trialOn: worker => crashes.trialOn(worker),
      hasTrials: () => crashes.hasTrials
    })
    this._inheritedUsage.startPass()
    this._caps.startPass()
    const blocked: BlockedStep[] = []
    const reserving = new ReservingSteps({ byTeam: this._options.config()?.teams !== undefined })
    for (const ready of this._order.inOrder(this._readySteps(nowMs), pass)) {
      const { step, queue } = ready
      const waiting = this._placeStep({ step, order: blocked.length }, queue, pass)
      if (waiting === 0) continue
      const blockedStep = { ...ready, order: blocked.length, waiting }
      blocked.push(blockedStep)
      if (reserving.mayAdd(step) && this._reserve(blockedStep, pass)) reserving.add(step)
      else if (queue.eligibility) this._queries.claimRoom(blockedStep, pass)
    }
    this._queries.queryFor(blocked, pass)
    for (const step of blocked) this._reportWait(step, pass)
  }

  /** Open steps whose tasks may start. */
  private _readySteps (nowMs: number): ReadyStep[] {
    const { timers, fleet, registry, budget } = this._options
    budget.update(registry.open)
    this._taskBudget.startPass(registry.open)
    const wallClockMs = timers.wallClock()
    const inheritanceSettled = fleet.inheritedWorkersSettled
    this._noteInheritance(inheritanceSettled)
    // All workers are looked at for it: at most once in a pass.
    let awaitedWorkers: AwaitedWorkers | undefined
    const awaited = (): AwaitedWorkers | undefined => { awaitedWorkers ??= fleet.awaitedWorkers; return awaitedWorkers }
    // The earlier scheduler may still start tasks of any workflow, new ones included, at workers that have not received this epoch.
    const predecessorStopped = inheritanceSettled || nowMs >= this._predecessorActiveUntilMs
    const steps: ReadyStep[] = []
    for (const workflow of registry.open) {
      if (workflow.isOver) continue
      // Tasks that the earlier scheduler may have started at an unreachable worker wait, unless the step allows copies.
      const mayStartWorkflow = predecessorStopped && (inheritanceSettled || workflow.revision >= this._newFromRevision)
      const queue = this.queueOf(workflow)
      if (!queue) continue
      for (const step of workflow.openSteps(wallClockMs, () => this._taskBudget.mayLoad(workflow))) {
        step.readyMs ??= nowMs
        const mayStart = mayStartWorkflow || step.spec.speculative || (predecessorStopped && step.becameReadyInTerm)
        step.awaitsPredecessor = !mayStart
        if (mayStart || (predecessorStopped && step.hasSeenTasks)) steps.push({ step, queue, beyondBudget: budget.isBeyond(workflow) })
        if (!mayStart) this._noteWait(step, queue, () => step.unseenTasks(nowMs), () => this._explainInheritance(step, nowMs, awaited()))
      }
    }
    return steps
  }

  /** Logs the workers of an earlier scheduler for which tasks wait, and the end of that wait. */
  private _noteInheritance (settled: boolean): void {
    if (settled === this._inheritanceSettled) return
    const { log, epoch, fleet, timers } = this._options
    const sinceElectionMs = Math.round(timers.now() - this._createdMs)
    if (settled) log.event('info', 'inheritance.settled', { epoch, sinceElectionMs })
    else {
      const awaited = fleet.awaitedWorkers
      if (!awaited) return
      log.event('info', 'inheritance.awaited', { epoch, sinceElectionMs, ...awaited })
    }
    this._inheritanceSettled = settled
  }

  /** What a step waits for that an earlier scheduler may have started. */
  private _explainInheritance (step: StepRuntime, nowMs: number, awaited: AwaitedWorkers | undefined): WaitExplanation {
    return {
      cause: WAIT_CAUSES.predecessor,
      ...awaited,
      predecessorActiveMs: Math.max(0, Math.round(this._predecessorActiveUntilMs - nowMs)),
      endedInTerm: step.unseenTasks(nowMs).filter(task => task.waitingSinceMs !== undefined).length
    }
  }

  /**
   * Starts the tasks of a step for which there is room under its team's cap. Returns the number of tasks that go on waiting for
   * workers: those beyond the cap neither claim room nor need a query.
   */
  private _placeStep (ordered: OrderedStep, queue: QueueConfig, pass: PlacementPass): number {
    const { step } = ordered
    const candidates = [...step.waitingTasks(pass.nowMs), ...findStragglers(step, pass.nowMs)]
    const { spec } = step
    if (candidates.length === 0) return 0
    if (spec.gang && candidates.length < step.tasks.length) {
      this._noteWait(step, queue, () => candidates, () => ({ cause: WAIT_CAUSES.gangEnding, members: step.tasks.length }))
      return 0
    }
    const capRequest = capRequestOf(step, candidates, pass.nowMs)
    const allowed = this._caps.limit(capRequest)
    const tasks = allowed < candidates.length ? candidates.slice(0, allowed) : candidates
    const noteCap = (): void => this._noteWait(
      step,
      queue,
      () => candidates.slice(allowed).filter(({ run }) => !run),
      () => ({ cause: WAIT_CAUSES.cap, ...this._caps.explain(capRequest) })
    )
    if (allowed === 0) {
      noteCap()
      return 0
    }
    const { eligibility, start } = this._options
    const mayUse = ({ incarnation }: WorkerSession): boolean =>
      !queue.eligibility || eligibility.ticket(step.name, incarnation) !== undefined
    if (!pass.mayFit(step, queue.service, mayUse)) {
      this._caps.noteNotPlaced(capRequest)
      return tasks.length
    }
    const workers = queue.eligibility ? this._ticketHolders(step, queue, pass) : pass.workersFor(step, queue.service)
    const assignments = this._assign(ordered, { tasks, workers, queue, pass })
    const attempt = spec.gang ? this._nextAttempt(Math.max(...step.tasks.map(task => task.attempt))) : undefined
    for (const { task, worker } of assignments) {
      start(task, worker, attempt ?? this._nextAttempt(task.attempt), eligibility.useTicket(step.name, worker.incarnation))
    }
    const waiting = tasks.length - assignments.length
    if (waiting > 0) this._caps.noteNotPlaced(capRequest)
    else if (allowed < candidates.length) noteCap()
    return waiting
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
      nowMs: pass.nowMs,
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
    if (worker.entry.draining || !worker.listed || !worker.extendable || !worker.synced || worker.closed) return false
    return worker.suspendedUntilMs <= nowMs && !this._options.suspensions.isSuspended(worker.incarnation)
  }

  /** Reserves room for a gang or a large task that has waited for some time. Returns whether it did. */
  private _reserve (blocked: BlockedStep, pass: PlacementPass): boolean {
    const { step, queue, waiting } = blocked
    if (pass.nowMs - (step.readyMs ?? pass.nowMs) < RESERVE_AFTER_MS) return false
    const { eligibility } = this._options
    const usable = pass.workersFor(step, queue.service)
    if (!needsReservation(step, usable)) return false
    const eligible = queue.eligibility ? usable.filter(worker => eligibility.isEligible(step.name, worker.incarnation)) : usable
    const workers = withoutExcluded(eligible, step.waitingTasks(pass.nowMs), pass.nowMs)
    const reservations = planReservations({ ordered: blocked, tasks: waiting, workers, pass })
    const idleUntilMs = Math.max(...reservations.map(({ freeAtMs }) => freeAtMs))
    for (const { worker, tasks } of reservations) pass.claim(blocked, worker, { tasks, idleUntilMs })
    return reservations.length > 0
  }

  private _reportWait (blocked: BlockedStep, pass: PlacementPass): void {
    const { step, queue } = blocked
    this._noteWait(step, queue, () => step.waitingTasks(pass.nowMs), () => ({
      ...explainWait(blocked, pass, this._options.eligibility), ...queue.eligibility && this._queries.load(step)
    }))
  }

  private _noteWait (step: StepRuntime, queue: QueueConfig, waitingTasks: () => Task[], explain: () => WaitExplanation): void {
    const { timers, waits } = this._options
    const longestMs = timers.now() - (step.readyMs ?? timers.now())
    if (!waits.isDue(step, { objectiveMs: queue.targetMs, waitedMs: longestMs })) return
    const tasks = waitingTasks()
    if (tasks.length === 0) return
    const waitedMs = Math.max(...tasks.map(task => step.waitOf(task, timers.now())))
    waits.note({ step, queue: queue.name, objectiveMs: queue.targetMs, tasks: tasks.length, waitedMs, explain })
  }

  /** Next attempt number after `attempt` that lies in this term's range or above. */
  private _nextAttempt (attempt: number): number {
    return Math.max(attempt, (this._options.term - 1) * ATTEMPTS_PER_TERM) + 1
  }
}

function capRequestOf (step: StepRuntime, tasks: Task[], nowMs: number): CapRequest {
  const { spec, workflow } = step
  return {
    step,
    team: workflow.record.team,
    size: spec.size,
    tasks: tasks.length,
    gang: spec.gang,
    waitedMs: () => Math.max(...tasks.map(task => step.waitOf(task, nowMs)))
  }
}
