/**
 * Tracks the runs of a term: starts them, applies the reports of workers, and derives the state of each task and
 * workflow from the end of its runs.
 *
 * @module
 */

import { AvoidedWorkers } from './avoidedWorkers.js'
import type { CrashTracker } from './crashTracker.js'
import type { EligibilityCache } from './eligibilityCache.js'
import { shouldMoveRun } from './drainMoves.js'
import { SpareCpuPacer, isSpareCpuRun } from './spareCpuPacer.js'
import { LateStartTracker, type LateStart } from './lateStartTracker.js'
import type { RecordedLoss } from './leaseEndRecorder.js'
import type { UnconfirmedStarts } from './leaseEndView.js'
import { OverlapDetector, type Listing } from './overlapDetector.js'
import { RecordedStarts } from './recordedStarts.js'
import { ReleasedRuns, RELEASES, type Release } from './releasedRuns.js'
import { ANSWERERS } from './runHost.js'
import { MAX_ORDER_DELAY_MS, RunOrderSender, type StartTryRefusal } from './runOrderSender.js'
import type { WorkerSpeedEstimator } from './workerSpeedEstimator.js'
import { findStalledRuns } from './stalledRuns.js'
import { reservedRoom } from './stepPlacer.js'
import { mustBeListed, runIdOf, type WorkerSession } from './workerSession.js'
import type { WorkerSuspensions } from './workerSuspensions.js'
import type { WorkflowRegistry } from './workflowRegistry.js'
import { RUN_STATES, TASK_STATES, type Run, type StepRuntime, type Task, type WorkflowRuntime } from './workflowRuntime.js'
import { JOB_STATES } from '../protocol/jobs.js'
import type { WorkflowState } from '../protocol/workflows.js'
import type { Timers } from '../seams/timers.js'
import {
  RUN_ENDS, START_REFUSALS,
  type LeaseReport, type ListedEnd, type ListedRun, type RunEnd, type StartRefusal, type WorkerClient
} from '../seams/workflowUpstreams.js'
import type { TeamUsage } from '../teams/teamUsage.js'
import type { EventLog } from '../utils/eventLog.js'

/** Delay before a task is placed again after a worker refused its start, in milliseconds. */
const REFUSED_TASK_PAUSE_MS = 30
/** Time without starts at a worker that refused one because of missing room or poor health, in milliseconds. */
const REFUSING_WORKER_PAUSE_MS = 400
/** Refusals after which no starts are sent to the worker for REFUSING_WORKER_PAUSE_MS. */
const WORKER_PAUSING_REFUSALS: ReadonlySet<StartRefusal | 'notSent'> = new Set([START_REFUSALS.noRoom, START_REFUSALS.unhealthy, 'notSent'])

/** Counts since the start of the term. */
export interface RunCounts {
  starts: number
  ends: Record<RunEnd | 'lost', number>
  refusals: Record<string, number>
  /** Runs that a worker listed although none was expected there, by how they had been released. */
  unexpected: Partial<Record<Release, number>>
  /** Runs that a worker listed after their task had been started again, by how it listed them first. */
  overlaps: Partial<Record<Listing, number>>
}

/** Options of a {@link RunTracker}. */
export interface RunTrackerOptions {
  epoch: number
  client: WorkerClient
  timers: Timers
  log: EventLog
  registry: WorkflowRegistry
  eligibility: EligibilityCache
  speedEstimator: WorkerSpeedEstimator
  suspensions: WorkerSuspensions
  crashes: CrashTracker
  /** Resources that the runs of each team use. */
  teamUsage: TeamUsage
  /** Maximum length of a worker's lease, in milliseconds. */
  maxLeaseMs: number
  /** True once a worker has come back under its id, also under an earlier scheduler. */
  idsReturn: () => boolean
  /** Time for which this daemon is guaranteed to remain the leader and may send starts, in milliseconds. */
  leadershipRemainingMs: () => number
  /** Number of failed runs of a task after which its workflow fails; undefined when the queue is unknown. */
  maxAttempts: (workflow: WorkflowRuntime) => number | undefined
  /** True when the earlier scheduler is known to have started no tasks at or after a time, in milliseconds of the monotonic clock. */
  predecessorHadStopped: (atMs: number) => boolean
  /** Called when the progress of a workflow has changed and has to be recorded. */
  onProgressChanged: (workflow: WorkflowRuntime) => void
  /** Called when a start was refused, so that its task has to be placed again. */
  onDispatchNeeded: () => void
  /** Called when a worker has received a newer epoch. */
  onStaleEpoch: () => void
}

/** Keeps the state of runs, tasks and workflows consistent with the reports of the workers. */
export class RunTracker {
  private readonly _options: RunTrackerOptions
  private readonly _orderSender: RunOrderSender
  private readonly _endCounts: RunCounts['ends'] = { done: 0, failed: 0, stopped: 0, lapsed: 0, broken: 0, alone: 0, lost: 0 }
  private readonly _refusalCounts: Record<string, number> = {}
  private readonly _unexpectedCounts: RunCounts['unexpected'] = {}
  private readonly _releasedRuns: ReleasedRuns
  private readonly _overlaps: OverlapDetector
  private readonly _lateStarts: LateStartTracker
  private readonly _recordedStarts: RecordedStarts
  private readonly _pacer: SpareCpuPacer
  /** Workers that have lapsed without an answer in this term, which is logged once. */
  private readonly _unansweredLapses = new WeakSet<WorkerSession>()
  private _startCount = 0

  constructor (options: RunTrackerOptions) {
    this._options = options
    const { epoch, client, timers, log, maxLeaseMs, leadershipRemainingMs, onStaleEpoch } = options
    this._orderSender = new RunOrderSender({
      client,
      timers,
      log,
      leadershipRemainingMs,
      onStarted: run => this._handleStarted(run),
      onUnanswered: (run, sentMs) => this._lateStarts.noteUnanswered(run, sentMs),
      onRefused: (run, reason, refusal) => this._handleRefusal(run, reason, refusal),
      onStaleEpoch
    })
    this._releasedRuns = new ReleasedRuns({ timers })
    this._overlaps = new OverlapDetector({ epoch, timers, log, releasedRuns: this._releasedRuns })
    this._pacer = new SpareCpuPacer({ timers, log, pace: (run, percent) => { this._orderSender.pace(run, percent) } })
    this._recordedStarts = new RecordedStarts({
      timers, findTask: name => options.registry.findTask(name), idsReturn: options.idsReturn
    })
    this._lateStarts = new LateStartTracker({
      timers,
      log,
      maxLeaseMs,
      teamUsage: options.teamUsage,
      idsReturn: options.idsReturn,
      onRefusalNeeded: (session, start, settling) => this._refuseLateStart(session, start, settling),
      onCarriedOut: run => { if (run.task?.step.spec.gang) this._orderSender.stop(run, 'its gang was stopped') }
    })
  }

  /** Stops sending orders to workers. */
  close (): void {
    this._orderSender.close()
    this._lateStarts.close()
    this._recordedStarts.close()
  }

  /** Copy of the current counts. */
  counts (): RunCounts {
    return {
      starts: this._startCount,
      ends: { ...this._endCounts },
      refusals: { ...this._refusalCounts },
      unexpected: { ...this._unexpectedCounts },
      overlaps: this._overlaps.counts
    }
  }

  /** Starts a task at a worker. If the task already has a run, that run continues in parallel. */
  start (task: Task, worker: WorkerSession, { attempt, ticket }: { attempt: number, ticket: string | undefined }): void {
    const { timers, log } = this._options
    const { workflow } = task.step
    if (task.run) {
      const { attempt: earlier, session, startedMs } = task.run
      const ranMs = Math.round(timers.now() - startedMs)
      log.event('info', 'run.copied', { task: task.name, attempt: earlier, worker: session.incarnation, reachable: session.reachable, ranMs })
      task.supersededRuns.push(task.run)
      task.run = undefined
    }
    const run = this._addRun({
      task, name: task.name, attempt, session: worker, size: reservedRoom(task.step), state: RUN_STATES.starting, adopted: false
    })
    task.attempt = attempt
    task.startedInTerm = true
    this._startCount++
    log.event('info', 'run.start', {
      task: task.name,
      attempt,
      worker: worker.incarnation,
      epoch: this._options.epoch,
      freeCpuMillis: worker.entry.capacity.cpuMillis - worker.used.cpuMillis,
      avoided: task.avoid?.has(worker),
      waitedMs: Math.round(task.step.waitOf(task, timers.now()))
    })
    this._orderSender.start(run, { payload: workflow.record.payload, checkpoint: task.step.checkpointOf(task), ticket })
  }

  /** Applies the report of a worker. Returns the workflows that must be recorded before the reported ends are acknowledged. */
  applyReport (session: WorkerSession, report: LeaseReport, requestSentMs: number): Set<WorkflowRuntime> {
    const changedWorkflows = new Set<WorkflowRuntime>()
    for (const end of report.ended) {
      const workflow = end.sequence <= session.highestEnd
        ? this._options.registry.findTask(end.task)?.step.workflow
        : this._handleEnd(session, end)
      session.noteEnds(end.sequence)
      if (workflow) changedWorkflows.add(workflow)
    }
    const listed = new Set<string>()
    for (const row of report.running) {
      listed.add(runIdOf(row.task, row.attempt))
      this._handleListedRun(session, row, report.clockMs)
      this._noteSeen(session, row, requestSentMs)
    }
    this._pacer.observe(session, [...session.runs.values()])
    // A run that is not listed may be among the further ends.
    if (report.hasMoreEnds) return changedWorkflows
    this._lateStarts.applyReport(session, report, requestSentMs)
    this._recordedStarts.noteReport(session)
    session.noteReport()
    this._stopStalledRuns(session, report.clockMs)
    for (const [key, run] of session.runs) {
      if (!listed.has(key) && mustBeListed(run, requestSentMs)) this._handleLost(run, 'its worker does not list it')
    }
    return changedWorkflows
  }

  /** All runs of the worker have ended. Tasks whose start another incarnation of it may carry out wait. */
  handleLapse (session: WorkerSession, reason: string): void {
    const isUnansweredLapse = !session.synced && !this._unansweredLapses.has(session)
    if (session.runs.size || isUnansweredLapse) {
      this._unansweredLapses.add(session)
      this._options.log.event('warn', 'worker.lapsed', {
        worker: session.incarnation,
        reason,
        runs: session.runs.size,
        unansweredStarts: [...session.runs.values()].filter(run => run.unansweredMs !== undefined).length,
        leaseEndedAgoMs: Math.round(this._options.timers.now() - session.lapsesAtMs),
        draining: session.entry.draining,
        listed: session.listed,
        answered: session.synced
      })
    }
    for (const run of [...session.runs.values()]) {
      this._lateStarts.noteUnconfirmed(run)
      this._handleLost(run, reason)
    }
    this._lateStarts.noteEnd(session)
  }

  /**
   * Has a worker refuse a start that it may carry out late. Room is kept for the run until a report requested after the stop
   * does not list it. When this settles the start, its task waits for that.
   */
  private _refuseLateStart (session: WorkerSession, start: LateStart, { settles }: { settles: boolean }): void {
    const { name, attempt, size, team, teamSize, task, sentMs } = start
    const waiting = settles && task && task.state === TASK_STATES.waiting && !task.run
    const run = this._addRun({
      task: waiting ? task : undefined, name, attempt, session, size, team, teamSize, state: RUN_STATES.starting, adopted: false
    })
    run.unansweredMs = sentMs
    this._orderSender.stop(run, 'its start may still be carried out late')
    session.skipNextWait = true
  }

  /** Starts that the worker may not have carried out, and a later incarnation of it may. */
  unconfirmedStarts (session: WorkerSession): UnconfirmedStarts {
    const nowMs = this._options.timers.now()
    const late = this._lateStarts.unconfirmedAt(session.entry.id)
    const runs = [...session.runs.values()]
    // A start may also be on its way when its run is being stopped.
    const pending = runs.filter(run => run.state === RUN_STATES.starting || run.pendingStartMs !== undefined).map(({ name }) => name)
    const tasks = [...new Set([...late.tasks, ...pending])]
    if (tasks.length === 0) return { tasks, endMs: nowMs, runsEndMs: nowMs }
    const pendingEndMs = pending.length ? nowMs + MAX_ORDER_DELAY_MS : Number.NEGATIVE_INFINITY
    // An extension that is carried out late prolongs the runs that such a start has begun.
    const callsEndMs = Math.max(pendingEndMs, session.unansweredExtensionMs + MAX_ORDER_DELAY_MS)
    return {
      tasks, endMs: Math.max(late.endMs, pendingEndMs), runsEndMs: Math.max(late.runsEndMs, callsEndMs + this._lateStarts.longestLeaseMs)
    }
  }

  /** Keeps tasks waiting whose start under an earlier scheduler may be carried out late, unless copies may run. */
  holdRecorded (loss: RecordedLoss): void {
    this._recordedStarts.hold(loss)
  }

  /** Stops runs on draining workers that are better started elsewhere. */
  moveRunsOffDrainingWorkers (sessions: Iterable<WorkerSession>): void {
    const nowMs = this._options.timers.now()
    for (const session of sessions) {
      if (!session.entry.draining) continue
      const { leavesAtMs } = session
      for (const run of session.runs.values()) {
        if (run.state === RUN_STATES.running && run.task && shouldMoveRun(run, { leavesAtMs, nowMs })) this._orderSender.stop(run, 'its worker is draining')
      }
    }
  }

  /** Adds a run to its worker. It counts for the team of its workflow; the team is given when the workflow may have been archived. */
  private _addRun (
    options: Pick<Run, 'task' | 'name' | 'attempt' | 'size' | 'state' | 'adopted'> & Partial<Pick<Run, 'team' | 'teamSize'>> & { session: WorkerSession }
  ): Run {
    const nowMs = this._options.timers.now()
    const { task, session, name } = options
    const step = (task ?? this._options.registry.findTask(name))?.step
    const run: Run = {
      ...options,
      team: options.team ?? step?.workflow.record.team,
      teamSize: options.teamSize ?? step?.spec.size,
      startedMs: nowMs,
      pendingStartMs: undefined,
      startConfirmedMs: undefined,
      startConfirmedBy: undefined,
      unansweredMs: undefined,
      startBroken: false,
      stopConfirmedMs: undefined,
      percent: 0,
      progressedMs: nowMs,
      progressedClockMs: undefined,
      reading: undefined,
      pacePercent: 100
    }
    session.addRun(run)
    this._options.crashes.noteStart(run, session)
    if (task && !task.run) {
      task.run = run
      task.state = TASK_STATES.running
      if (run.state === RUN_STATES.starting || !session.mayRunLateStarts) task.step.ranInTerm = true
    }
    return run
  }

  private _handleStarted (run: Run): void {
    run.state = RUN_STATES.running
    run.startConfirmedMs = this._options.timers.now()
    if (run.session.crashed) this._options.crashes.noteStartConfirmed(run)
    const workflow = run.task?.step.workflow
    if (!workflow) return
    if (workflow.state === JOB_STATES.accepted) workflow.state = JOB_STATES.running
    if (workflow.isOver) this._orderSender.stop(run, 'its workflow has ended')
  }

  private _handleRefusal (run: Run, reason: StartRefusal | 'notSent', { settled }: StartTryRefusal): void {
    const { timers, log } = this._options
    const nowMs = timers.now()
    const { task, session } = run
    this._refusalCounts[reason] = (this._refusalCounts[reason] ?? 0) + 1
    log.event(
      'info', 'run.refused',
      { task: run.name, attempt: run.attempt, worker: session.incarnation, reason, unansweredAgoMs: this._unansweredAgoMs(run) }
    )
    if (WORKER_PAUSING_REFUSALS.has(reason)) session.suspendedUntilMs = Math.max(session.suspendedUntilMs, nowMs + REFUSING_WORKER_PAUSE_MS)
    if (reason === START_REFUSALS.invalidTicket && task) this._options.eligibility.dropTicket(task.step.name, session.incarnation)
    if (!settled) return
    if (session.crashed) this._options.crashes.noteStartRefused(run)
    this._release(run, RELEASES.refused, reason)
    if (task) {
      task.notBeforeMs = nowMs + REFUSED_TASK_PAUSE_MS
      if (task.step.spec.gang) this._stopStep(task.step, 'a member of the gang was refused')
    }
    this._options.onDispatchNeeded()
  }

  /** Removes a run from its worker; its task waits again if this was its current run. */
  private _release (run: Run, release: Release, reason: string): void {
    this._releasedRuns.note(run, release, reason)
    run.session.removeRun(run.name, run.attempt)
    const { task } = run
    if (task) task.supersededRuns = task.supersededRuns.filter(other => other !== run)
    if (!task || task.run !== run) return
    task.run = undefined
    task.waitingSinceMs = this._options.timers.now()
    if (task.state === TASK_STATES.running) task.state = TASK_STATES.waiting
  }

  /** Handles a run that has ended without being listed as ended. */
  private _handleLost (run: Run, reason: string): void {
    this._endCounts.lost++
    const { name: task, attempt, session, state } = run
    this._options.log.event(
      'warn', 'run.lost', { task, attempt, worker: session.incarnation, reason, state, unansweredAgoMs: this._unansweredAgoMs(run) }
    )
    this._release(run, RELEASES.lost, reason)
    if (run.task?.step.spec.gang) this._stopStep(run.task.step, 'a member of the gang was lost')
  }

  /** Time since a start of the run received no answer, in milliseconds; for the log. */
  private _unansweredAgoMs ({ unansweredMs }: Run): number | undefined {
    return unansweredMs === undefined ? undefined : Math.round(this._options.timers.now() - unansweredMs)
  }

  /** Stops all runs of a task, parallel runs included. */
  private _stopTask ({ run, supersededRuns }: Task, reason: string): void {
    for (const each of run ? [run, ...supersededRuns] : supersededRuns) this._orderSender.stop(each, reason)
  }

  /** Stops all runs of all tasks of a step. */
  private _stopStep (step: StepRuntime, reason: string): void {
    for (const task of step.tasks) this._stopTask(task, reason)
  }

  /** Handles a run that its worker lists as running. */
  private _handleListedRun (session: WorkerSession, row: ListedRun, clockMs: number): void {
    const { timers, log } = this._options
    const nowMs = timers.now()
    const knownRun = session.runs.get(runIdOf(row.task, row.attempt))
    if (knownRun) {
      this._noteOverlap(session, row, { how: 'running', run: knownRun })
      if (knownRun.state === RUN_STATES.starting) this._handleStarted(knownRun)
      knownRun.startConfirmedBy = ANSWERERS.host
      this._noteProgress(knownRun, row, { nowMs, clockMs })
      return
    }
    const task = this._options.registry.findTask(row.task)
    this._noteOverlap(session, row, { how: 'running', run: undefined })
    const wanted = task && !task.step.workflow.isOver && task.state === TASK_STATES.waiting && !task.run
    if (task) task.attempt = Math.max(task.attempt, row.attempt)
    const run = this._addRun({
      task: wanted ? task : undefined,
      name: row.task,
      attempt: row.attempt,
      session,
      size: task && reservedRoom(task.step),
      state: RUN_STATES.running,
      adopted: true
    })
    run.startConfirmedMs = nowMs
    run.startConfirmedBy = ANSWERERS.host
    if (isSpareCpuRun(run)) run.pacePercent = undefined
    const released = this._noteUnexpected(row)
    log.event(
      'info', wanted ? 'run.adopted' : 'run.unwanted',
      { task: row.task, attempt: row.attempt, worker: session.incarnation, percent: row.percent, epoch: this._options.epoch, ...released }
    )
    if (wanted) {
      if (task.step.workflow.state === JOB_STATES.accepted) task.step.workflow.state = JOB_STATES.running
      this._noteProgress(run, row, { nowMs, clockMs })
    } else {
      this._orderSender.stop(run, 'no task is waiting for it')
    }
  }

  /**
   * Notes a task whose run was in progress after the earlier scheduler had stopped: that would have started no other. The run
   * may be a late copy of an earlier one on a worker that has come back under its id.
   */
  private _noteSeen (session: WorkerSession, { task: name, attempt }: ListedRun, requestSentMs: number): void {
    const run = session.runs.get(runIdOf(name, attempt))
    if (!run?.task || run.task.run !== run || session.mayRunLateStarts) return
    if (this._options.predecessorHadStopped(requestSentMs)) run.task.seenOn = session
  }

  /** Counts a run that a worker lists although none was expected there. Returns how it had been released. */
  private _noteUnexpected ({ task, attempt }: { task: string, attempt: number }): ReturnType<ReleasedRuns['find']> {
    const found = this._releasedRuns.find(task, attempt)
    this._unexpectedCounts[found.release] = (this._unexpectedCounts[found.release] ?? 0) + 1
    return found
  }

  /** Notes a listed run unless it is the current one of its task. */
  private _noteOverlap (
    worker: WorkerSession, { task: name, attempt }: ListedRun | ListedEnd, { how, run }: { how: Listing, run: Run | undefined }
  ): void {
    if (run && run.task?.run === run) return
    const task = this._options.registry.findTask(name)
    if (task) this._overlaps.noteListed(task, { attempt, worker, how })
  }

  /** Stops the runs of a worker when none of them makes progress, and suspends the worker. */
  private _stopStalledRuns (session: WorkerSession, clockMs: number): void {
    const stalled = findStalledRuns(session.runs.values(), clockMs)
    if (stalled.length === 0) return
    this._options.suspensions.noteStall(session.incarnation, stalled.length)
    for (const run of stalled) {
      const { task } = run
      if (task) this._avoidWorker(task, session)
      this._orderSender.stop(run, 'no run of its worker makes progress')
    }
  }

  private _noteProgress (run: Run, row: ListedRun, { nowMs, clockMs }: { nowMs: number, clockMs: number }): void {
    if (row.percent !== run.percent) run.progressedMs = nowMs
    if (row.percent !== run.percent || run.progressedClockMs === undefined) run.progressedClockMs = clockMs
    run.percent = row.percent
    run.reading = row.reading
    if (run.task && row.checkpoint) run.task.step.noteCheckpoint(run.task, row.checkpoint)
  }

  /** Handles an end on its first listing in this term. Returns the workflow that must be recorded before its acknowledgement. */
  private _handleEnd (session: WorkerSession, end: ListedEnd): WorkflowRuntime | undefined {
    const { timers, log } = this._options
    const run = session.runs.get(runIdOf(end.task, end.attempt))
    const task = this._options.registry.findTask(end.task)
    this._endCounts[end.how]++
    log.event('info', 'run.ended', {
      task: end.task,
      attempt: end.attempt,
      worker: session.incarnation,
      how: end.how,
      sequence: end.sequence,
      ranMs: run && Math.round(timers.now() - run.startedMs),
      known: run !== undefined,
      ...(run ? {} : this._noteUnexpected(end)),
      ...(run || end.how !== RUN_ENDS.done ? {} : { taskState: task?.state ?? 'unknown', taskAttempt: task?.attempt, taskWorker: task?.run?.session.incarnation })
    })
    this._noteOverlap(session, end, { how: end.how, run })
    if (run) this._release(run, RELEASES.ended, end.how)
    if (!task) return
    const { step } = task
    const { workflow } = step
    task.attempt = Math.max(task.attempt, end.attempt)
    if (end.checkpoint) step.noteCheckpoint(task, end.checkpoint)
    this._options.suspensions.noteEnd(session.incarnation, workflow.record.id, end.how)
    if (end.how === RUN_ENDS.done) {
      if (run) this._noteSuccess(run, step, session)
      if (!step.spec.longRunning) this._handleDone(task)
    } else if (end.how === RUN_ENDS.failed) {
      this._handleFailure(task, end, session)
    } else if (step.spec.gang && end.how !== RUN_ENDS.gangBroken) {
      this._stopStep(step, `a member of the gang ended as ${end.how}`)
    }
    return workflow
  }

  private _noteSuccess ({ startedMs }: Run, step: StepRuntime, session: WorkerSession): void {
    const ranMs = this._options.timers.now() - startedMs
    session.lastSuccessStartMs = Math.max(session.lastSuccessStartMs, startedMs)
    step.longestRunMs = Math.max(step.longestRunMs, ranMs)
    const { estimateMs } = step.spec
    this._options.speedEstimator.noteRunTime({ worker: session, workload: step.workflow.record.queue, estimateMs, ranMs })
  }

  private _handleDone (task: Task): void {
    const { step } = task
    const { workflow } = step
    if (workflow.isOver || !workflow.markDone(task)) return
    for (const member of step.spec.gang ? step.tasks : [task]) this._stopTask(member, 'its task is done')
    if (step.done) this._options.eligibility.dropStep(step.name)
    if (workflow.complete) this.finishWorkflow(workflow, JOB_STATES.done, 'all tasks are done')
    else this._options.onProgressChanged(workflow)
  }

  private _handleFailure (task: Task, end: ListedEnd, session: WorkerSession): void {
    const { step } = task
    const { workflow } = step
    const { failures } = failureCounterOf(task)
    if (step.spec.gang) this._stopStep(step, 'a member of the gang failed')
    if (workflow.isOver || step.spec.longRunning || task.state === TASK_STATES.done || failures.includes(end.attempt)) return
    failures.push(end.attempt)
    const maxAttempts = this._options.maxAttempts(workflow)
    this._options.log.event('info', 'task.failed', {
      task: end.task, attempt: end.attempt, worker: session.incarnation, failures: failures.join(' '), maxAttempts
    })
    if (this._attemptsLeft(task) <= 0) {
      this.finishWorkflow(workflow, JOB_STATES.failed, `${end.task} failed ${failures.length} times`)
      return
    }
    this._avoidWorker(task, session)
    this._options.onProgressChanged(workflow)
  }

  /** Number of runs of the task that may still fail. */
  private _attemptsLeft (task: Task): number {
    const maxAttempts = this._options.maxAttempts(task.step.workflow) ?? Number.POSITIVE_INFINITY
    return maxAttempts - failureCounterOf(task).failures.length
  }

  /** Has the task avoid the worker; in a gang all members, since they fail together. */
  private _avoidWorker (task: Task, session: WorkerSession): void {
    const { timers, log } = this._options
    const { spec, tasks } = task.step
    const attemptsLeft = this._attemptsLeft(task)
    const avoid = task.avoid ?? new AvoidedWorkers()
    for (const member of spec.gang ? tasks : [task]) member.avoid = avoid
    avoid.note(session, { nowMs: timers.now(), attemptsLeft })
    log.event('info', 'task.avoids', { task: task.name, worker: session.incarnation, attemptsLeft })
  }

  /** Sets the final state of a workflow unless one is set, stops its runs and schedules the recording of the state. */
  finishWorkflow (workflow: WorkflowRuntime, state: WorkflowState, reason: string): void {
    const { timers, log } = this._options
    if (workflow.pendingFinalState !== undefined) return
    workflow.pendingFinalState = state
    workflow.reason = state === JOB_STATES.failed ? reason : undefined
    workflow.endedAtMs = timers.wallClock()
    this._options.registry.open.delete(workflow)
    log.event(
      'info', 'workflow.finish',
      { jobId: workflow.record.id, state, reason, sinceLearnedMs: Math.round(timers.now() - workflow.addedMs) }
    )
    for (const steps of workflow.occurrences.values()) {
      for (const step of steps) this._stopStep(step, `its workflow is ${state}`)
    }
    this._options.onProgressChanged(workflow)
  }

  /** Drops the cached eligibility of the steps of a workflow that has ended. */
  dropEligibility (workflow: WorkflowRuntime): void {
    for (const steps of workflow.occurrences.values()) {
      for (const step of steps) this._options.eligibility.dropStep(step.name)
    }
  }
}

/** The runs of a gang fail together, so the failures of a gang are counted on its first task. */
function failureCounterOf (task: Task): Task {
  return task.step.spec.gang ? task.step.tasks[0] : task
}
