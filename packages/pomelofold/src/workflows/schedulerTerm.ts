/**
 * One term of the scheduler: from its election until another daemon takes over. Reads what the store holds,
 * fences the workers, then starts tasks, follows their runs and records their ends.
 *
 * @module
 */

import { Dispatcher, stepNameOf } from './dispatcher.js'
import { EligibilityBook, type AskThrough } from './eligibilityBook.js'
import { LEADER_KEY } from './keys.js'
import { ProgressRecorder } from './progressRecorder.js'
import { RunOrders } from './runOrders.js'
import { SpeedLearner } from './speedLearner.js'
import { countedRoom } from './stepPlacer.js'
import { stalledRuns } from './stalls.js'
import { WorkerFleet } from './workerFleet.js'
import { WorkflowBook } from './workflowBook.js'
import { WorkerTrust } from './workerTrust.js'
import { mustBeListed, runKey, type WorkerSession, type WorkerSessionListener } from './workerSession.js'
import { RUN_STATES, TASK_STATES, type WorkflowRuntime, type Run, type StepRuntime, type Task } from './workflowRuntime.js'
import { GroupCommitter } from '../commits/groupCommit.js'
import { JOB_STATES } from '../protocol/jobs.js'
import type { Workflow, WorkflowState } from '../protocol/workflows.js'
import type { PlatformClient } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import { delay, type Timers, type TimerSubscription } from '../seams/timers.js'
import {
  RUN_ENDS, START_REFUSALS, type CellConfig, type LeaseReport, type ListedEnd, type ListedRun, type RunEnd,
  type StartRefusal, type WorkerClient, type WorkerDirectory
} from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'

/** Least time between the starts of two writes of progress, in milliseconds: bounds the writes at 25 a second. */
const WRITE_INTERVAL_MS = 40
/** Longest pause between tries of a write whose outcome is not known, in milliseconds. */
const WRITE_RETRY_MAX_MS = 400
/** Entries of one transaction that the store takes. */
const MAX_TXN_ENTRIES = 32
/** Period at which placement is tried without any event, in milliseconds: tickets end and occurrences fall due. */
const DISPATCH_PERIOD_MS = 100
/** Delay in which events are gathered before placement is tried, in milliseconds. */
const DISPATCH_DELAY_MS = 1
/** Pause of a task whose start a worker refused, in milliseconds. */
const REFUSED_PAUSE_MS = 30
/** Pause of a worker that refused a start for want of room or health, in milliseconds. */
const WORKER_PAUSE_MS = 400
/** Period at which ended workflows are looked for that need not be kept, in milliseconds. */
const RETENTION_PERIOD_MS = 5_000
/** Pause between looks whether the store has been read, in milliseconds. */
const LOAD_PAUSE_MS = 25
/** Refusals after which the worker gets a pause. */
const PAUSING_REFUSALS: ReadonlySet<StartRefusal | 'notSent'> = new Set([START_REFUSALS.noRoom, START_REFUSALS.unhealthy, 'notSent'])
/** Length of workers' leases, in milliseconds: two waits for ends, a takeover and two lost calls. */
const LEASE_MS = 6_000
/** Longest wait for ends in one call to a worker, in milliseconds. */
const LEASE_WAIT_MS = 1_500

/** Times that the cell's platform sets, in milliseconds. */
export interface SchedulingBounds {
  /** Longest lease of a worker. */
  maxLeaseMs: number
  /** Time for which the state of an ended workflow is told. */
  retentionMs: number
}

/** Options of a {@link SchedulerTerm}. */
export interface SchedulerTermOptions {
  epoch: number
  /** Number of the term. */
  term: number
  platform: PlatformClient
  directory: WorkerDirectory
  client: WorkerClient
  timers: Timers
  random: RandomSource
  log: EventLog
  bounds: SchedulingBounds
  config: () => CellConfig | undefined
  /** Time for which this daemon surely leads, in milliseconds. */
  authorityMs: () => number
  /** True while leases may be extended, also for a while after the authority has ended. */
  mayExtend: () => boolean
  askEligibility: AskThrough
  eligibilityLanes: () => string[]
  /** Called once when another scheduler has taken over. */
  onDeposed: (reason: string) => void
}

/** Counts since the beginning of the term. */
export interface TermFigures {
  workflows: number
  openWorkflows: number
  workers: number
  reachableWorkers: number
  runs: number
  starts: number
  ends: Record<RunEnd | 'lost', number>
  refusals: Record<string, number>
}

/** Schedules workflows. */
export class SchedulerTerm implements WorkerSessionListener {
  private readonly _options: SchedulerTermOptions
  private readonly _book: WorkflowBook
  private readonly _fleet: WorkerFleet
  private readonly _recorder: ProgressRecorder
  private readonly _committer: GroupCommitter
  private readonly _orders: RunOrders
  private readonly _eligibility: EligibilityBook
  private readonly _speeds = new SpeedLearner()
  private readonly _trust: WorkerTrust
  private readonly _dispatcher: Dispatcher
  private readonly _timers: TimerSubscription[] = []
  private _starts = 0
  private readonly _ends: TermFigures['ends'] = { done: 0, failed: 0, stopped: 0, lapsed: 0, broken: 0, alone: 0, lost: 0 }
  private readonly _refusals: Record<string, number> = {}
  /** True while the daemon is about to hand over: nothing is started. */
  private _quiet = false
  private _dispatchTimer: TimerSubscription | undefined
  private _closed = false

  constructor (options: SchedulerTermOptions) {
    this._options = options
    const { epoch, platform, directory, client, timers, random, log, bounds, authorityMs, askEligibility, eligibilityLanes } = options
    const onFenced = (): void => this._depose('the store holds a newer epoch')
    this._fleet = new WorkerFleet({
      epoch,
      platform,
      directory,
      client,
      timers,
      log,
      listener: this,
      leaseMs: Math.min(LEASE_MS, bounds.maxLeaseMs),
      waitMs: LEASE_WAIT_MS,
      onChange: () => this._soon(),
      onFenced
    })
    this._committer = new GroupCommitter({
      timers,
      platform,
      random,
      writer: 'scheduler',
      minIntervalMs: WRITE_INTERVAL_MS,
      maxEntries: MAX_TXN_ENTRIES,
      retryMaxMs: WRITE_RETRY_MAX_MS,
      fence: () => ({ key: LEADER_KEY, modRevision: epoch })
    })
    this._book = new WorkflowBook({
      epoch,
      platform,
      committer: this._committer,
      timers,
      log,
      retentionMs: bounds.retentionMs,
      onLearned: () => this._soon(),
      onLoaded: () => this._soon(),
      onCancelled: workflow => this._finish(workflow, JOB_STATES.cancelled, 'cancelled'),
      onComplete: workflow => this._finish(workflow, JOB_STATES.done, 'all tasks are done')
    })
    this._recorder = new ProgressRecorder({
      committer: this._committer, timers, log, onFinal: workflow => this._forgetSteps(workflow), onFenced
    })
    this._orders = new RunOrders({
      epoch,
      client,
      timers,
      log,
      authorityMs,
      onStarted: run => this._started(run),
      onRefused: (run, reason) => this._refused(run, reason),
      onStaleEpoch: () => this._depose('a worker knows a newer epoch')
    })
    this._eligibility = new EligibilityBook({ timers, log, ask: askEligibility, lanes: eligibilityLanes, onAnswer: () => this._soon() })
    this._trust = new WorkerTrust({ timers, log })
    this._dispatcher = new Dispatcher({
      epoch,
      term: options.term,
      timers,
      config: options.config,
      book: this._book,
      fleet: this._fleet,
      eligibility: this._eligibility,
      speeds: this._speeds,
      trust: this._trust,
      start: (task, worker, attempt, ticket) => this._start(task, worker, attempt, ticket)
    })
  }

  /** Begins the term. */
  start (): void {
    const { timers } = this._options
    this._book.start()
    this._fleet.start()
    this._timers.push(timers.every(DISPATCH_PERIOD_MS, () => this._dispatch()))
    this._timers.push(timers.every(RETENTION_PERIOD_MS, () => this._book.expire()))
  }

  /** Ends the term. Nothing is sent any more. */
  close (): void {
    if (this._closed) return
    this._closed = true
    for (const timer of this._timers) timer.cancel()
    this._dispatchTimer?.cancel()
    this._book.close()
    this._fleet.close()
    this._recorder.close()
    this._orders.close()
  }

  get closed (): boolean {
    return this._closed
  }

  /** Resolves when all changes so far are recorded. */
  async flush (): Promise<void> {
    await this._recorder.recorded(this._book.all())
  }

  /** Stops placing tasks, as a daemon does that is about to hand over. */
  quiesce (): void {
    this._quiet = true
  }

  /** State of a workflow as recorded; undefined when it is not known here. */
  stateOf (id: string): { state: WorkflowState, queue: string } | undefined {
    const workflow = this._book.loaded ? this._book.get(id) : undefined
    return workflow && { state: workflow.state, queue: workflow.record.queue }
  }

  /** Number of workflows without repetition of each queue that have not started; undefined before the store has been read. */
  queueDepths (): Record<string, number> | undefined {
    if (!this._book.loaded) return
    const depths: Record<string, number> = {}
    for (const { record, state } of this._book.open) {
      if (state === JOB_STATES.accepted && !record.repeat) depths[record.queue] = (depths[record.queue] ?? 0) + 1
    }
    return depths
  }

  /** Takes in a workflow that has been stored at `revision`. */
  addWorkflow (record: Workflow, revision: number): void {
    this._book.add(record, revision)
  }

  /** Cancels a workflow whose cancellation has been stored. */
  cancel (id: string): void {
    this._book.cancel(id)
  }

  /** Notes that the earlier scheduler sends nothing any more. */
  predecessorEnded (): void {
    this._options.log.event('info', 'term.predecessor.ended', { epoch: this._options.epoch })
    this._dispatcher.predecessorEnded()
    this._fleet.predecessorEnded()
  }

  /** Placement figures for metrics. */
  figures (): TermFigures {
    const sessions = [...this._fleet.sessions.values()]
    return {
      workflows: this._book.size,
      openWorkflows: this._book.open.size,
      workers: sessions.length,
      reachableWorkers: sessions.filter(session => session.reachable).length,
      runs: sessions.reduce((sum, session) => sum + session.runs.size, 0),
      starts: this._starts,
      ends: { ...this._ends },
      refusals: { ...this._refusals }
    }
  }

  mayExtend (): boolean {
    return !this._closed && this._options.mayExtend()
  }

  onStaleEpoch (session: WorkerSession): void {
    this._depose(`worker ${session.life} knows a newer epoch`)
  }

  /** Whatever ran at the worker has ended. Its tasks wait again. */
  onLapse (session: WorkerSession, reason: string): void {
    if (this._closed) return
    if (session.runs.size) this._options.log.event('warn', 'worker.lapsed', { worker: session.life, reason, runs: session.runs.size })
    for (const run of [...session.runs.values()]) this._lost(run, reason)
    this._soon()
  }

  async onReport (session: WorkerSession, report: LeaseReport, askedMs: number): Promise<void> {
    if (this._closed) return
    while (!this._book.loaded) {
      // What runs is known only by the workflows in the store.
      await delay(this._options.timers, LOAD_PAUSE_MS)
      if (this._closed || session.closed) return
    }
    const touched = new Set<WorkflowRuntime>()
    for (const end of report.ended) {
      if (end.sequence <= session.highestEnd) {
        const workflow = this._book.task(end.task)?.step.workflow
        if (workflow) touched.add(workflow)
        continue
      }
      session.noteEnds(end.sequence)
      const workflow = this._ended(session, end)
      if (workflow) touched.add(workflow)
    }
    const listed = new Set<string>()
    for (const row of report.running) {
      listed.add(runKey(row.task, row.attempt))
      this._seen(session, row)
    }
    session.noteReport()
    this._watchForStall(session)
    for (const [key, run] of session.runs) {
      if (!listed.has(key) && mustBeListed(run, askedMs)) this._lost(run, 'not listed by its worker')
    }
    this._soon()
    await this._recorder.recorded(touched)
  }

  /** Asks for placement soon; events that come together are handled together. */
  private _soon (): void {
    if (this._closed) return
    this._dispatchTimer ??= this._options.timers.after(DISPATCH_DELAY_MS, () => {
      this._dispatchTimer = undefined
      this._dispatch()
    })
  }

  private _dispatch (): void {
    const { authorityMs } = this._options
    if (this._closed || this._quiet || !this._book.loaded || authorityMs() <= 0) return
    this._leaveDrainingWorkers()
    this._dispatcher.dispatch()
  }

  private _start (task: Task, worker: WorkerSession, attempt: number, ticket: string | undefined): void {
    const { timers, log } = this._options
    const { workflow } = task.step
    if (task.run) {
      const { attempt: earlier, session, startedMs } = task.run
      const ranMs = Math.round(timers.now() - startedMs)
      log.event('info', 'run.copied', { task: task.name, attempt: earlier, worker: session.life, reachable: session.reachable, ranMs })
      task.superseded.push(task.run)
      task.run = undefined
    }
    const run = this._addRun({ task, name: task.name, attempt, session: worker, state: RUN_STATES.starting })
    task.attempt = attempt
    this._starts++
    log.event('info', 'run.start', {
      task: task.name,
      attempt,
      worker: worker.life,
      epoch: this._options.epoch,
      freeCpuMillis: worker.entry.capacity.cpuMillis - worker.used.cpuMillis,
      waitedMs: Math.round(timers.now() - (task.step.readyMs ?? timers.now()))
    })
    this._orders.start(run, { payload: workflow.record.payload, checkpoint: task.checkpoint, ticket })
  }

  private _addRun (options: Pick<Run, 'task' | 'name' | 'attempt' | 'state'> & { session: WorkerSession }): Run {
    const nowMs = this._options.timers.now()
    const { task, session } = options
    const run: Run = {
      ...options,
      size: task ? countedRoom(task.step) : session.entry.capacity,
      startedMs: nowMs,
      confirmedMs: undefined,
      stopConfirmedMs: undefined,
      percent: 0,
      progressedMs: nowMs,
      reading: undefined,
      pacePercent: 100
    }
    session.addRun(run)
    if (task && !task.run) {
      task.run = run
      task.state = TASK_STATES.running
    }
    return run
  }

  private _started (run: Run): void {
    run.state = RUN_STATES.running
    run.confirmedMs = this._options.timers.now()
    const workflow = run.task?.step.workflow
    if (!workflow) return
    if (workflow.state === JOB_STATES.accepted) workflow.state = JOB_STATES.running
    if (workflow.over) this._orders.stop(run, 'its workflow is over')
  }

  private _refused (run: Run, reason: StartRefusal | 'notSent'): void {
    const { timers, log } = this._options
    const nowMs = timers.now()
    const { task, session } = run
    this._refusals[reason] = (this._refusals[reason] ?? 0) + 1
    log.event('info', 'run.refused', { task: run.name, attempt: run.attempt, worker: session.life, reason })
    this._release(run)
    if (PAUSING_REFUSALS.has(reason)) session.suspendedUntilMs = nowMs + WORKER_PAUSE_MS
    if (reason === START_REFUSALS.ticket && task) this._eligibility.refuse(stepNameOf(task.step), session.life)
    if (task) {
      task.notBeforeMs = nowMs + REFUSED_PAUSE_MS
      if (task.step.spec.gang) this._stopStep(task.step, 'a member of the gang was refused')
    }
    this._soon()
  }

  /** Takes a run off its worker; its task waits again. */
  private _release (run: Run): void {
    run.session.removeRun(run.name, run.attempt)
    const { task } = run
    if (task) task.superseded = task.superseded.filter(other => other !== run)
    if (!task || task.run !== run) return
    task.run = undefined
    if (task.state === TASK_STATES.running) task.state = TASK_STATES.waiting
  }

  /** A run that has ended without a listed end. */
  private _lost (run: Run, reason: string): void {
    this._ends.lost++
    this._options.log.event(
      'warn', 'run.lost', { task: run.name, attempt: run.attempt, worker: run.session.life, reason, state: run.state }
    )
    this._release(run)
    if (run.task?.step.spec.gang) this._stopStep(run.task.step, 'a member of the gang was lost')
  }

  /** Stops all runs of a task. */
  private _stopTask ({ run, superseded }: Task, reason: string): void {
    for (const each of run ? [run, ...superseded] : superseded) this._orders.stop(each, reason)
  }

  private _stopStep (step: StepRuntime, reason: string): void {
    for (const task of step.tasks) this._stopTask(task, reason)
  }

  /** A run that its worker lists as running. */
  private _seen (session: WorkerSession, row: ListedRun): void {
    const { timers, log } = this._options
    const nowMs = timers.now()
    const known = session.runs.get(runKey(row.task, row.attempt))
    if (known) {
      if (known.state === RUN_STATES.starting) this._started(known)
      this._noteProgress(known, row, nowMs)
      return
    }
    const task = this._book.task(row.task)
    const wanted = task && !task.step.workflow.over && task.state === TASK_STATES.waiting && !task.run
    if (task) task.attempt = Math.max(task.attempt, row.attempt)
    const run = this._addRun({ task: wanted ? task : undefined, name: row.task, attempt: row.attempt, session, state: RUN_STATES.running })
    run.confirmedMs = nowMs
    log.event(
      'info', wanted ? 'run.adopted' : 'run.unwanted',
      { task: row.task, attempt: row.attempt, worker: session.life, percent: row.percent, epoch: this._options.epoch }
    )
    if (wanted) {
      if (task.step.workflow.state === JOB_STATES.accepted) task.step.workflow.state = JOB_STATES.running
      this._noteProgress(run, row, nowMs)
    } else {
      this._orders.stop(run, 'no task here needs it')
    }
  }

  /** Moves the runs of a worker at which all stand still. */
  private _watchForStall (session: WorkerSession): void {
    const stalled = stalledRuns(session.runs.values(), this._options.timers.now())
    if (stalled.length === 0) return
    this._trust.stalled(session.life, stalled.length)
    for (const run of stalled) {
      const { task } = run
      if (task) task.avoid = new Set([...(task.avoid ?? []), session.life])
      this._orders.stop(run, 'its worker stands still')
    }
  }

  private _noteProgress (run: Run, row: ListedRun, nowMs: number): void {
    if (row.percent !== run.percent) run.progressedMs = nowMs
    run.percent = row.percent
    run.reading = row.reading
    if (run.task && row.checkpoint) run.task.checkpoint = row.checkpoint
  }

  /** An end that is listed for the first time in this term. Returns the workflow whose record has to hold it. */
  private _ended (session: WorkerSession, end: ListedEnd): WorkflowRuntime | undefined {
    const { timers, log } = this._options
    const run = session.runs.get(runKey(end.task, end.attempt))
    const task = this._book.task(end.task)
    this._ends[end.how]++
    log.event('info', 'run.ended', {
      task: end.task,
      attempt: end.attempt,
      worker: session.life,
      how: end.how,
      sequence: end.sequence,
      ranMs: run && Math.round(timers.now() - run.startedMs),
      known: run !== undefined
    })
    if (run) this._release(run)
    if (!task) return
    const { step } = task
    const { workflow } = step
    task.attempt = Math.max(task.attempt, end.attempt)
    if (end.checkpoint) task.checkpoint = end.checkpoint
    this._trust.noteEnd(session.life, workflow.record.id, end.how)
    if (end.how === RUN_ENDS.done) {
      if (run) this._noteDuration(step, session, timers.now() - run.startedMs)
      if (!step.spec.longRunning) this._done(task)
    } else if (end.how === RUN_ENDS.failed) {
      this._failed(task, end, session)
    } else if (step.spec.gang && end.how !== RUN_ENDS.broken) {
      this._stopStep(step, `a member of the gang ended as ${end.how}`)
    }
    return workflow
  }

  private _noteDuration (step: StepRuntime, session: WorkerSession, ranMs: number): void {
    step.longestRunMs = Math.max(step.longestRunMs, ranMs)
    this._speeds.note({ labels: session.entry.labels, estimateMs: step.spec.estimateMs, ranMs })
  }

  private _done (task: Task): void {
    const { step } = task
    const { workflow } = step
    if (workflow.over || !workflow.markDone(task)) return
    for (const member of step.spec.gang ? step.tasks : [task]) this._stopTask(member, 'its task is done')
    if (step.done) this._eligibility.forget(stepNameOf(step))
    if (workflow.complete) this._finish(workflow, JOB_STATES.done, 'all tasks are done')
    else this._recorder.changed(workflow)
  }

  private _failed (task: Task, end: ListedEnd, session: WorkerSession): void {
    const { step } = task
    const { workflow } = step
    // The runs of a gang fail together: its failures are counted at its first task.
    const counted = step.spec.gang ? step.tasks[0] : task
    if (step.spec.gang) this._stopStep(step, 'a member of the gang failed')
    if (workflow.over || step.spec.longRunning || task.state === TASK_STATES.done || counted.failures.includes(end.attempt)) return
    counted.failures.push(end.attempt)
    task.avoid = new Set([...(task.avoid ?? []), session.life])
    const maxAttempts = this._dispatcher.queueOf(workflow)?.maxAttempts ?? Number.POSITIVE_INFINITY
    if (counted.failures.length >= maxAttempts) {
      this._finish(
        workflow, JOB_STATES.failed, `${end.task} failed ${counted.failures.length} times`
      )
    } else this._recorder.changed(workflow)
  }

  /** Decides a workflow's final state, stops what runs of it, and records the state. */
  private _finish (workflow: WorkflowRuntime, state: WorkflowState, reason: string): void {
    const { timers, log } = this._options
    workflow.ending = state
    workflow.endedAtMs = timers.wallClock()
    this._book.open.delete(workflow)
    log.event(
      'info', 'workflow.finish',
      { jobId: workflow.record.id, state, reason, sinceLearnedMs: Math.round(timers.now() - workflow.learnedMs) }
    )
    for (const steps of workflow.occurrences.values()) {
      for (const step of steps) this._stopStep(step, `its workflow is ${state}`)
    }
    this._recorder.changed(workflow)
  }

  private _forgetSteps (workflow: WorkflowRuntime): void {
    for (const steps of workflow.occurrences.values()) {
      for (const step of steps) this._eligibility.forget(stepNameOf(step))
    }
  }

  /** Moves tasks off workers that are leaving. */
  private _leaveDrainingWorkers (): void {
    for (const session of this._fleet.sessions.values()) {
      if (!session.entry.draining) continue
      for (const run of session.runs.values()) {
        if (run.state === RUN_STATES.running && run.task?.step.spec.longRunning) this._orders.stop(run, 'its worker is leaving')
      }
    }
  }

  private _depose (reason: string): void {
    if (this._closed) return
    this._options.log.event('warn', 'term.deposed', { epoch: this._options.epoch, reason })
    this.close()
    this._options.onDeposed(reason)
  }
}
