/**
 * One term of the scheduler: from its election until another daemon takes over. Reads what the store holds,
 * fences the workers, then starts tasks, follows their runs and records their ends.
 *
 * @module
 */

import { EligibilityBook, MAX_WORKERS_PER_CALL, type AskThrough } from './eligibilityBook.js'
import { cancelledIdOf, INTAKE_PREFIX, LEADER_KEY, PROGRESS_PREFIX, workflowIdOf, workflowKey } from './keys.js'
import { PrefixView } from './prefixView.js'
import { ProgressRecorder } from './progressRecorder.js'
import { RunOrders } from './runOrders.js'
import { SpeedLearner } from './speedLearner.js'
import { countedRoom, placeStep } from './stepPlacer.js'
import { WorkerFleet } from './workerFleet.js'
import { WorkerTrust } from './workerTrust.js'
import { mustBeListed, runKey, type WorkerSession, type WorkerSessionListener } from './workerSession.js'
import { isFinal, RUN_STATES, TASK_STATES, WorkflowRuntime, type Run, type StepRuntime, type Task } from './workflowRuntime.js'
import { GroupCommitter } from '../commits/groupCommit.js'
import { JOB_STATES } from '../protocol/jobs.js'
import { formatStepName, parseTaskName, progressSchema, workflowSchema, type Workflow, type WorkflowState } from '../protocol/workflows.js'
import type { PlatformClient, StoredValue } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import { delay, type Timers, type TimerSubscription } from '../seams/timers.js'
import { RUN_ENDS, START_REFUSALS, type CellConfig, type LeaseReport, type ListedEnd, type ListedRun, type QueueConfig, type RunEnd, type StartRefusal, type WorkerClient, type WorkerDirectory } from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'
import { errorText } from '../utils/errors.js'

/** Attempts of a task are numbered from the term's own range, so that no two schedulers use the same number. */
const ATTEMPTS_PER_TERM = 1_000
/** Least time between the starts of two writes of progress, in milliseconds: bounds the writes at 40 a second. */
const WRITE_INTERVAL_MS = 25
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
/** Longest wait for the recorded progress of all workflows, in milliseconds. */
const LOAD_TIMEOUT_MS = 2_000
const LOAD_RETRY_MS = 100
/** Processor share of each worker kept for work of priority 0. */
const URGENT_SHARE = 0
/** Length of workers' leases, in milliseconds: two waits for ends, a takeover and two lost calls. */
const LEASE_MS = 6_000
/** Longest wait for ends in one call to a worker, in milliseconds. */
const LEASE_WAIT_MS = 1_500
/** Priority of urgent queues. */
const URGENT_PRIORITY = 0

/** Times that the cell's platform sets, in milliseconds. */
export interface SchedulingBounds {
  /** Longest lease of a worker. */
  maxLeaseMs: number
  /** Time that a stop takes at most. */
  stopMs: number
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
  private readonly _workflows = new Map<string, WorkflowRuntime>()
  /** Workflows that are not over, in the order of their submission. */
  private readonly _open = new Set<WorkflowRuntime>()
  private readonly _intake: PrefixView
  private readonly _fleet: WorkerFleet
  private readonly _recorder: ProgressRecorder
  private readonly _committer: GroupCommitter
  private readonly _orders: RunOrders
  private readonly _eligibility: EligibilityBook
  private readonly _speeds = new SpeedLearner()
  private readonly _trust: WorkerTrust
  private readonly _queues = new Map<string, QueueConfig>()
  private readonly _timers: TimerSubscription[] = []
  private readonly _starts = { count: 0 }
  private readonly _ends: TermFigures['ends'] = { done: 0, failed: 0, stopped: 0, lapsed: 0, broken: 0, alone: 0, lost: 0 }
  private readonly _refusals: Record<string, number> = {}
  private _loaded = false
  private _dispatchTimer: TimerSubscription | undefined
  private _closed = false

  constructor (options: SchedulerTermOptions) {
    this._options = options
    const { epoch, platform, directory, client, timers, random, log, bounds, authorityMs, askEligibility, eligibilityLanes } = options
    const onFenced = (): void => this._depose('the store holds a newer epoch')
    this._intake = new PrefixView({ prefix: INTAKE_PREFIX, platform, timers, log, onChange: keys => { if (this._loaded) this._learn(keys) } })
    this._fleet = new WorkerFleet({
      epoch,
      platform,
      directory,
      client,
      timers,
      log,
      listener: this,
      leaseMs: Math.min(LEASE_MS, bounds.maxLeaseMs),
      maxLeaseMs: bounds.maxLeaseMs,
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
    this._recorder = new ProgressRecorder({ committer: this._committer, timers, log, onFinal: workflow => this._forgetSteps(workflow), onFenced })
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
  }

  /** Begins the term. */
  start (): void {
    const { timers } = this._options
    this._intake.start()
    this._fleet.start()
    this._load()
    this._timers.push(timers.every(DISPATCH_PERIOD_MS, () => this._dispatch()), timers.every(RETENTION_PERIOD_MS, () => this._expire()))
  }

  /** Ends the term. Nothing is sent any more. */
  close (): void {
    if (this._closed) return
    this._closed = true
    for (const timer of this._timers) timer.cancel()
    this._dispatchTimer?.cancel()
    this._intake.close()
    this._fleet.close()
    this._recorder.close()
    this._orders.close()
  }

  get closed (): boolean {
    return this._closed
  }

  /** Resolves when all changes so far are recorded. */
  async flush (): Promise<void> {
    await this._recorder.recorded(this._workflows.values())
  }

  /** Stops placing tasks, as a daemon does that is about to hand over. */
  quiesce (): void {
    this._loaded = false
  }

  /** State of a workflow as recorded; undefined when it is not known here. */
  stateOf (id: string): { state: WorkflowState, queue: string } | undefined {
    const workflow = this._loaded ? this._workflows.get(id) : undefined
    return workflow && { state: this._shownState(workflow), queue: workflow.record.queue }
  }

  /** Number of workflows without repetition of each queue that have not started; undefined before the store has been read. */
  queueDepths (): Record<string, number> | undefined {
    if (!this._loaded) return
    const depths: Record<string, number> = {}
    for (const { record, state } of this._open) {
      if (state === JOB_STATES.accepted && !record.repeat) depths[record.queue] = (depths[record.queue] ?? 0) + 1
    }
    return depths
  }

  /** Takes in a workflow that has been stored at `revision`. */
  addWorkflow (record: Workflow, revision: number): WorkflowRuntime {
    const known = this._workflows.get(record.id)
    if (known) return known
    const { timers, log } = this._options
    const workflow = new WorkflowRuntime({ record, revision, learnedMs: timers.now() })
    this._workflows.set(record.id, workflow)
    this._open.add(workflow)
    log.event('info', 'workflow.learned', { jobId: record.id, queue: record.queue, revision, steps: record.steps.length, tasks: record.steps.reduce((sum, step) => sum + step.tasks, 0), ageMs: Math.round(timers.wallClock() - record.submittedAtMs) })
    this._soon()
    return workflow
  }

  /** Cancels a workflow whose cancellation has been stored. */
  cancel (id: string): void {
    const workflow = this._workflows.get(id)
    if (!workflow || workflow.cancelled) return
    workflow.cancelled = true
    workflow.cancelledMs = this._options.timers.now()
    if (!isFinal(workflow.state)) this._finish(workflow, JOB_STATES.cancelled, 'cancelled')
  }

  /** Placement figures for metrics. */
  figures (): TermFigures {
    const sessions = [...this._fleet.sessions.values()]
    return {
      workflows: this._workflows.size,
      openWorkflows: this._open.size,
      workers: sessions.length,
      reachableWorkers: sessions.filter(session => session.reachable).length,
      runs: sessions.reduce((sum, session) => sum + session.runs.size, 0),
      starts: this._starts.count,
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
    while (!this._loaded) {
      // What runs is known only by the workflows in the store.
      await delay(this._options.timers, LOAD_RETRY_MS / 4)
      if (this._closed || session.closed) return
    }
    const touched = new Set<WorkflowRuntime>()
    for (const end of report.ended) {
      if (end.sequence <= session.highestEnd) {
        const workflow = this._workflowOf(end.task)
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
    for (const [key, run] of session.runs) {
      if (!listed.has(key) && mustBeListed(run, askedMs)) this._lost(run, 'not listed by its worker')
    }
    this._soon()
    await this._recorder.recorded(touched)
  }

  /** Reads intake and progress, which were complete when this term's epoch was written. */
  private async _load (): Promise<void> {
    const { platform, timers, log, epoch } = this._options
    const startedMs = timers.now()
    const progress = new Map<string, StoredValue>()
    for (;;) {
      const read = await platform.range(PROGRESS_PREFIX, { timeoutMs: LOAD_TIMEOUT_MS })
      if (this._closed) return
      if (read.isOk) {
        for (const value of read.value.values) progress.set(value.key.slice(PROGRESS_PREFIX.length), value)
        break
      }
      log.event('warn', 'term.load.failed', { epoch, detail: read.error.message })
      await delay(timers, LOAD_RETRY_MS)
    }
    while (!this._intake.loaded) {
      await delay(timers, LOAD_RETRY_MS / 10)
      if (this._closed) return
    }
    this._learn([...this._intake.values()].map(value => value.key), progress)
    this._loaded = true
    log.event('info', 'term.loaded', { epoch, records: progress.size, workflows: this._workflows.size, open: this._open.size, tookMs: Math.round(timers.now() - startedMs) })
    this._soon()
  }

  /** Takes in changed keys of the intake, workflows before cancellations. */
  private _learn (keys: string[], progress?: Map<string, StoredValue>): void {
    const { log } = this._options
    for (const key of keys) {
      const id = workflowIdOf(key)
      const stored = this._intake.get(key)
      if (id === undefined) continue
      if (!stored) {
        this._forget(id)
        continue
      }
      if (this._workflows.has(id)) continue
      try {
        const workflow = this.addWorkflow(workflowSchema.parse(JSON.parse(stored.value)), stored.modRevision)
        const recorded = progress?.get(id)
        if (recorded) this._restore(workflow, recorded)
      } catch (err) {
        log.event('error', 'workflow.unreadable', { jobId: id, revision: stored.modRevision, detail: errorText(err) })
      }
    }
    for (const key of keys) {
      const id = cancelledIdOf(key)
      if (id !== undefined && this._intake.get(key)) this.cancel(id)
    }
  }

  private _restore (workflow: WorkflowRuntime, recorded: StoredValue): void {
    workflow.restore(progressSchema.parse(JSON.parse(recorded.value)))
    if (isFinal(workflow.state)) this._open.delete(workflow)
    else if (workflow.complete) this._finish(workflow, JOB_STATES.done, 'all tasks are done')
  }

  private _forget (id: string): void {
    const workflow = this._workflows.get(id)
    if (!workflow) return
    this._workflows.delete(id)
    this._open.delete(workflow)
  }

  /** Deletes workflows that ended longer ago than their state has to be told. */
  private _expire (): void {
    const { timers, bounds } = this._options
    const beforeMs = timers.wallClock() - bounds.retentionMs
    let left = 4
    for (const [id, workflow] of this._workflows) {
      if (!isFinal(workflow.state) || workflow.endedAtMs === undefined || workflow.endedAtMs > beforeMs) continue
      if (left-- === 0) return
      const keys = [workflowKey(id), `${INTAKE_PREFIX}cancelled/${id}`, `${PROGRESS_PREFIX}${id}`]
      this._committer.commit(keys.map(key => ({ op: 'delete' as const, key })), { timeoutMs: LOAD_TIMEOUT_MS }).then(result => {
        if (result.isOk) this._forget(id)
        else this._options.log.event('warn', 'workflow.expire.failed', { jobId: id, detail: result.error.message })
      })
    }
  }

  private _shownState (workflow: WorkflowRuntime): WorkflowState {
    return workflow.state
  }

  private _workflowOf (taskName: string): WorkflowRuntime | undefined {
    const name = parseTaskName(taskName)
    return name && this._workflows.get(name.workflowId)
  }

  private _taskOf (taskName: string): Task | undefined {
    const name = parseTaskName(taskName)
    return name && this._workflows.get(name.workflowId)?.task(name.occurrence, name.step, name.index)
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
    const { timers, authorityMs } = this._options
    if (this._closed || !this._loaded || authorityMs() <= 0) return
    this._watchProgress()
    const wallClockMs = timers.wallClock()
    const nowMs = timers.now()
    const settled = this._fleet.inheritanceSettled
    const steps: Array<{ step: StepRuntime, queue: QueueConfig }> = []
    for (const workflow of this._open) {
      if (workflow.over || (!settled && workflow.revision < this._options.epoch)) continue
      const queue = this._queueOf(workflow)
      if (!queue) continue
      for (const step of workflow.openSteps(wallClockMs)) {
        step.readyMs ??= nowMs
        steps.push({ step, queue })
      }
    }
    steps.sort((a, b) => a.queue.priority - b.queue.priority || a.step.workflow.record.submittedAtMs - b.step.workflow.record.submittedAtMs)
    for (const { step, queue } of steps) this._dispatchStep(step, queue, nowMs)
  }

  /** The queue's configuration; the last known one while a new configuration lacks it. */
  private _queueOf ({ record }: WorkflowRuntime): QueueConfig | undefined {
    const queue = this._options.config()?.queues.get(record.queue)
    if (queue) this._queues.set(queue.name, queue)
    return queue ?? this._queues.get(record.queue)
  }

  private _dispatchStep (step: StepRuntime, queue: QueueConfig, nowMs: number): void {
    const tasks = step.waitingTasks(nowMs)
    const { spec } = step
    if (tasks.length === 0 || (spec.gang && tasks.length < step.tasks.length)) return
    const stepName = formatStepName(step.workflow.record.id, step.occurrence, step.index)
    const usable = [...this._fleet.sessions.values()].filter(worker => this._usable(worker, step, queue, nowMs))
    const workers = queue.eligibility ? usable.filter(worker => this._eligibility.ticket(stepName, worker.life) !== undefined) : usable
    const urgent = queue.priority === URGENT_PRIORITY
    const assignments = workers.length === 0
      ? []
      : placeStep({ step, tasks, workers, urgent, slowness: worker => this._speeds.slowness(worker.entry.labels), urgentShare: URGENT_SHARE })
    const attempt = spec.gang ? this._nextAttempt(Math.max(...step.tasks.map(task => task.attempt))) : undefined
    for (const { task, worker } of assignments) this._start(task, worker, attempt ?? this._nextAttempt(task.attempt), stepName)
    if (queue.eligibility && assignments.length < tasks.length) this._askFor(stepName, step, queue, usable)
  }

  private _usable (worker: WorkerSession, step: StepRuntime, queue: QueueConfig, nowMs: number): boolean {
    const { entry } = worker
    if (entry.service !== queue.service || entry.draining || !worker.listed || !worker.reachable || !worker.synced) return false
    if (worker.closed || worker.suspendedUntilMs > nowMs || this._trust.suspended(worker.life)) return false
    const { requiredLabel } = step.spec
    return requiredLabel === '' || entry.labels.includes(requiredLabel)
  }

  /** Asks which workers may run a step: first about all, later about known good ones with room and about new ones. */
  private _askFor (stepName: string, step: StepRuntime, queue: QueueConfig, usable: WorkerSession[]): void {
    if (this._eligibility.asking(stepName)) return
    const room = countedRoom(step)
    const asked = usable.filter(worker => {
      const verdict = this._eligibility.verdict(stepName, worker.life)
      if (verdict === undefined) return step.spec.size.memoryMb <= worker.entry.capacity.memoryMb
      return verdict && worker.fits(room) && this._eligibility.ticket(stepName, worker.life) === undefined
    })
    const fitting = asked.filter(worker => worker.fits(room))
    const first = fitting.length > 0 ? fitting : []
    if (first.length === 0) return
    const { decideMs, eachMs } = queue.eligibility!
    const workers = first.slice(0, MAX_WORKERS_PER_CALL).map(worker => ({ id: worker.entry.id, life: worker.life }))
    this._eligibility.wish({ step: stepName, workers, priority: queue.priority, expectedMs: decideMs + eachMs * workers.length })
  }

  /** The next number of an attempt after `attempt`, in this term's own range. */
  private _nextAttempt (attempt: number): number {
    return Math.max(attempt, (this._options.term - 1) * ATTEMPTS_PER_TERM) + 1
  }

  private _start (task: Task, worker: WorkerSession, attempt: number, stepName: string): void {
    const { timers, log } = this._options
    const { workflow } = task.step
    const run = this._addRun({ task, name: task.name, attempt, session: worker, state: RUN_STATES.starting })
    task.attempt = attempt
    this._starts.count++
    const ticket = this._eligibility.ticket(stepName, worker.life)
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
    if (reason === START_REFUSALS.noRoom || reason === START_REFUSALS.unhealthy || reason === 'notSent') session.suspendedUntilMs = nowMs + WORKER_PAUSE_MS
    if (reason === START_REFUSALS.ticket && task) this._eligibility.refuse(formatStepName(task.step.workflow.record.id, task.step.occurrence, task.step.index), session.life)
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
    if (!task || task.run !== run) return
    task.run = undefined
    if (task.state === TASK_STATES.running) task.state = TASK_STATES.waiting
  }

  /** A run that has ended without a listed end. */
  private _lost (run: Run, reason: string): void {
    this._ends.lost++
    this._options.log.event('warn', 'run.lost', { task: run.name, attempt: run.attempt, worker: run.session.life, reason, state: run.state })
    this._release(run)
    if (run.task?.step.spec.gang) this._stopStep(run.task.step, 'a member of the gang was lost')
  }

  private _stopStep (step: StepRuntime, reason: string): void {
    for (const { run } of step.tasks) if (run) this._orders.stop(run, reason)
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
    const task = this._taskOf(row.task)
    const wanted = task && !task.step.workflow.over && task.state === TASK_STATES.waiting && !task.run
    if (task) task.attempt = Math.max(task.attempt, row.attempt)
    const run = this._addRun({ task: wanted ? task : undefined, name: row.task, attempt: row.attempt, session, state: RUN_STATES.running })
    run.confirmedMs = nowMs
    log.event('info', wanted ? 'run.adopted' : 'run.unwanted', { task: row.task, attempt: row.attempt, worker: session.life, percent: row.percent, epoch: this._options.epoch })
    if (wanted) {
      if (task.step.workflow.state === JOB_STATES.accepted) task.step.workflow.state = JOB_STATES.running
      this._noteProgress(run, row, nowMs)
    } else {
      this._orders.stop(run, 'no task here needs it')
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
    const task = this._taskOf(end.task)
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
      if (run) this._speeds.note({ labels: session.entry.labels, estimateMs: step.spec.estimateMs, ranMs: timers.now() - run.startedMs })
      if (!step.spec.longRunning) this._done(task)
    } else if (end.how === RUN_ENDS.failed) {
      this._failed(task, end, session)
    } else if (step.spec.gang && end.how !== RUN_ENDS.broken) {
      this._stopStep(step, `a member of the gang ended as ${end.how}`)
    }
    return workflow
  }

  private _done (task: Task): void {
    const { step } = task
    const { workflow } = step
    if (!step.workflow.occurrences.has(step.occurrence) || !workflow.markDone(task)) return
    for (const member of step.spec.gang ? step.tasks : [task]) if (member.run) this._orders.stop(member.run, 'its task is done')
    if (step.done) this._eligibility.forget(formatStepName(workflow.record.id, step.occurrence, step.index))
    if (workflow.complete && !workflow.over) this._finish(workflow, JOB_STATES.done, 'all tasks are done')
    else this._recorder.changed(workflow)
  }

  private _failed (task: Task, end: ListedEnd, session: WorkerSession): void {
    const { step } = task
    const { workflow } = step
    // The runs of a gang fail together: its failures are counted at its first task.
    const counted = step.spec.gang ? step.tasks[0] : task
    if (step.spec.gang) this._stopStep(step, 'a member of the gang failed')
    if (task.state === TASK_STATES.done || counted.failures.includes(end.attempt)) return
    if (step.spec.longRunning) return
    counted.failures.push(end.attempt)
    task.avoid = new Set([...(task.avoid ?? []), session.life])
    const maxAttempts = this._queueOf(workflow)?.maxAttempts ?? Number.POSITIVE_INFINITY
    if (counted.failures.length >= maxAttempts && !workflow.over) this._finish(workflow, JOB_STATES.failed, `${end.task} failed ${counted.failures.length} times`)
    else this._recorder.changed(workflow)
  }

  /** Decides a workflow's final state, stops what runs of it, and records the state. */
  private _finish (workflow: WorkflowRuntime, state: WorkflowState, reason: string): void {
    const { timers, log } = this._options
    workflow.ending = state
    workflow.endedAtMs = timers.wallClock()
    this._open.delete(workflow)
    log.event('info', 'workflow.finish', { jobId: workflow.record.id, state, reason, sinceLearnedMs: Math.round(timers.now() - workflow.learnedMs) })
    for (const steps of workflow.occurrences.values()) {
      for (const step of steps) this._stopStep(step, `its workflow is ${state}`)
    }
    this._recorder.changed(workflow)
  }

  private _forgetSteps (workflow: WorkflowRuntime): void {
    for (const [occurrence, steps] of workflow.occurrences) {
      for (const step of steps) this._eligibility.forget(formatStepName(workflow.record.id, occurrence, step.index))
    }
  }

  /** Moves tasks off workers that are leaving. */
  private _watchProgress (): void {
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
