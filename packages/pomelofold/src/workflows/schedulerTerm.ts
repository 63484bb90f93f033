/**
 * One term of the scheduler: from the election of this daemon until another daemon takes over. The term reads
 * the stored workflows, sends its epoch to the workers so that they reject earlier schedulers, starts tasks,
 * tracks their runs and records their results.
 *
 * @module
 */

import { CellCapacity } from './cellCapacity.js'
import { CrashTracker, type CrashCounts } from './crashTracker.js'
import { Dispatcher } from './dispatcher.js'
import { DispatchPacer } from './dispatchPacer.js'
import { EligibilityCache, type EligibilityCall } from './eligibilityCache.js'
import type { QueueEligibilityCounts } from './eligibilityCounts.js'
import { EligibilityDaemons } from './eligibilityDaemons.js'
import { LEADER_KEY } from './keys.js'
import { LeaseEndRecorder } from './leaseEndRecorder.js'
import type { LeaseEndView, UnconfirmedStarts } from './leaseEndView.js'
import { LongRunningDowntime } from './longRunningDowntime.js'
import { ProgressRecorder } from './progressRecorder.js'
import { RunTracker, type RunCounts } from './runTracker.js'
import { WaitReporter, type WaitCause } from './waitReporter.js'
import { WorkerSpeedEstimator } from './workerSpeedEstimator.js'
import { WorkerSpeedStore } from './workerSpeedStore.js'
import { WorkerFleet } from './workerFleet.js'
import { WorkflowRegistry } from './workflowRegistry.js'
import { WorkerSuspensions } from './workerSuspensions.js'
import { WORK_KINDS, WorkMeter } from './workMeter.js'
import type { WorkerSession, WorkerSessionListener } from './workerSession.js'
import type { WorkflowRuntime } from './workflowRuntime.js'
import { GroupCommitter } from '../commits/groupCommitter.js'
import { JOB_STATES } from '../protocol/jobs.js'
import type { LeaseEnd } from '../protocol/leaseEnds.js'
import type { Workflow, WorkflowStatus } from '../protocol/workflows.js'
import type { TeamBacklog } from '../protocol/teams.js'
import type { Guard, PlatformClient } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import { delay, type Timers, type TimerSubscription } from '../seams/timers.js'
import type { CellConfig, LeaseReport, TeamsConfig, WorkerClient, WorkerDirectory } from '../seams/workflowUpstreams.js'
import { SubmissionBudget } from '../teams/submissionBudget.js'
import { TeamBacklogs } from '../teams/teamBacklogs.js'
import type { CapFigures } from '../teams/teamCaps.js'
import { TeamShares, type TeamShare } from '../teams/teamShares.js'
import { TeamUsage } from '../teams/teamUsage.js'
import type { EventFields, EventLog } from '../utils/eventLog.js'

/** Minimum time between the starts of two writes of a committer, in milliseconds: limits each committer to 25 writes a second. */
const WRITE_INTERVAL_MS = 40
/** Maximum number of concurrent progress writes while the store is slow. */
const COMMITTER_COUNT = 8
/** Maximum delay between retries of a write whose outcome is unknown, in milliseconds. */
const WRITE_RETRY_MAX_MS = 400
/** Maximum number of entries that the store accepts in one transaction. */
const MAX_TXN_ENTRIES = 32
/** Minimum time between two writes of the ends of leases, in milliseconds: workers that are lost together are in one of them. */
const LEASE_END_WRITE_INTERVAL_MS = 100
/** Timeout of such a write, in milliseconds: leases of workers that answer again wait for two of them. */
const LEASE_END_WRITE_TIMEOUT_MS = 500
/** Period of placement attempts without an event, in milliseconds: tickets expire and occurrences become due without one. */
const DISPATCH_PERIOD_MS = 100
/** Period at which ended workflows past their retention time are deleted, in milliseconds. */
const EXPIRY_PERIOD_MS = 5_000
/** Period at which a report checks whether the workflows have been loaded, in milliseconds. */
const LOAD_POLL_PERIOD_MS = 25
/** Length of the workers' leases, in milliseconds: covers two long polls for ended runs, a takeover and two lost calls. */
const LEASE_MS = 6_000

/** Time limits from the platform's configuration of the cell, in milliseconds. */
export interface SchedulerTimeLimits {
  /** Maximum length of a worker's lease. */
  maxLeaseMs: number
  /** Time for which the state of an ended workflow can be queried. */
  retentionMs: number
}

/** Options of a {@link SchedulerTerm}. */
export interface SchedulerTermOptions {
  epoch: number
  /** Number of the term; increases with each election. */
  term: number
  platform: PlatformClient
  directory: WorkerDirectory
  client: WorkerClient
  timers: Timers
  random: RandomSource
  log: EventLog
  timeLimits: SchedulerTimeLimits
  /** Number of tasks of open workflows for which the process has room; see {@link TaskBudget}. */
  maxLoadedTasks?: number
  config: () => CellConfig | undefined
  /** Ends of the leases of lost workers, as this daemon has counted them so far. */
  leaseEnds: LeaseEndView
  /** True while the store answers this daemon. */
  isStoreReachable: () => boolean
  /** Time until which the earlier scheduler may start tasks, in milliseconds of the monotonic clock. */
  predecessorActiveUntilMs: number
  /** Time for which the earlier scheduler may extend leases beyond that, in milliseconds. */
  predecessorExtensionMs: number
  /** Store revision from which on workflows cannot have been started by the earlier scheduler; infinite while it is not known. */
  newFromRevision: number
  /** Time for which this daemon is guaranteed to remain the leader, in milliseconds; 0 or less when it may have lost leadership. */
  leadershipRemainingMs: () => number
  queryEligibility: EligibilityCall
  /** VMs of the daemons that can call the eligibility service, this one included. */
  eligibilityDaemons: () => string[]
  /** Called once when another scheduler has taken over. */
  onTakeover: (reason: string) => void
  /** Called with the time for which a long-running task was down, in milliseconds, when it is started. */
  onLongRunningRestart?: (downMs: number) => void
}

/** Metrics of a term. */
export interface TermFigures extends RunCounts, CrashCounts, CapFigures {
  workflows: number
  openWorkflows: number
  workers: number
  reachableWorkers: number
  runs: number
  /** Number of workers of an earlier scheduler that have neither answered nor lapsed, and for which tasks wait. */
  awaitedWorkers: number
  /** Longest time for which a long-running task has been down, in milliseconds. */
  longRunningDownMs: number
  /** Number of steps that have waited longer than their queue's objective, by cause, in the last second. */
  waitingSteps: Partial<Record<WaitCause, number>>
  /** Counts and times by kind of work; see {@link WorkMeter}. */
  work: Record<string, number>
  /** Calls to the eligibility service and their tickets, by queue. */
  eligibility: Record<string, QueueEligibilityCounts>
  /** Absent when the configuration names no teams. */
  teams?: TeamFigures[]
}

/** Metrics of a team. */
export interface TeamFigures extends TeamShare {
  /** Number of open workflows beyond the team's number of workflows a second. */
  beyondBudget: number
}

/** Connects the parts of the scheduler: the workflow registry, the workers, placement, runs and the recording of progress. */
export class SchedulerTerm implements WorkerSessionListener {
  private readonly _options: SchedulerTermOptions
  private readonly _registry: WorkflowRegistry
  private readonly _fleet: WorkerFleet
  private readonly _leaseEnds: LeaseEndRecorder
  private readonly _recorder: ProgressRecorder
  private readonly _runTracker: RunTracker
  private readonly _crashes: CrashTracker
  private readonly _eligibility: EligibilityCache
  private readonly _dispatcher: Dispatcher
  private readonly _waits: WaitReporter
  private readonly _downtime: LongRunningDowntime
  private readonly _shares: TeamShares
  private readonly _backlogs: TeamBacklogs
  private readonly _budget: SubmissionBudget
  private readonly _speedStore: WorkerSpeedStore
  private readonly _timers: TimerSubscription[] = []
  /** True while the daemon prepares to hand over leadership: no task is started. */
  private _quiesced = false
  private _dispatchTimer: TimerSubscription | undefined
  private readonly _pacer: DispatchPacer
  private readonly _meter: WorkMeter
  private _closed = false

  constructor (options: SchedulerTermOptions) {
    this._options = options
    const {
      epoch, platform, directory, client, timers, random, log, timeLimits, leadershipRemainingMs, queryEligibility, eligibilityDaemons,
      predecessorActiveUntilMs
    } = options
    const onFenced = (): void => this._endByTakeover('the store contains a newer epoch')
    const teamUsage = new TeamUsage()
    this._pacer = new DispatchPacer({ timers })
    this._meter = new WorkMeter({ timers, log })
    const fence = (): Guard => ({ key: LEADER_KEY, modRevision: epoch })
    const timeout = { timeoutMs: LEASE_END_WRITE_TIMEOUT_MS }
    this._leaseEnds = new LeaseEndRecorder({
      epoch,
      platform,
      committer: new GroupCommitter({
        timers,
        platform: { get: key => platform.get(key, timeout), txn: (guards, changes) => platform.txn(guards, changes, timeout) },
        random,
        writer: 'lease-ends',
        minIntervalMs: LEASE_END_WRITE_INTERVAL_MS,
        maxEntries: MAX_TXN_ENTRIES,
        retryMaxMs: WRITE_RETRY_MAX_MS,
        fence
      }),
      timers,
      log,
      view: options.leaseEnds,
      isStoreReachable: options.isStoreReachable,
      onWritten: revision => this._fleet.noteGuardedWrite(revision),
      onFenced
    })
    this._fleet = new WorkerFleet({
      epoch,
      platform,
      directory,
      client,
      timers,
      log,
      listener: this,
      leaseMs: Math.min(LEASE_MS, timeLimits.maxLeaseMs),
      maxLeaseMs: timeLimits.maxLeaseMs,
      predecessorActiveUntilMs,
      predecessorExtensionMs: options.predecessorExtensionMs,
      leaseEnds: this._leaseEnds,
      teamUsage,
      onChange: () => this._scheduleDispatch(),
      onFenced
    })
    const committers = Array.from({ length: COMMITTER_COUNT }, (_, index) => new GroupCommitter({
      timers,
      platform,
      random,
      writer: `scheduler-${index}`,
      minIntervalMs: WRITE_INTERVAL_MS,
      maxEntries: MAX_TXN_ENTRIES,
      retryMaxMs: WRITE_RETRY_MAX_MS,
      fence
    }))
    this._registry = new WorkflowRegistry({
      epoch,
      platform,
      committer: committers[0],
      timers,
      log,
      retentionMs: timeLimits.retentionMs,
      onAdded: () => this._scheduleDispatch(),
      onLoaded: () => {
        this._crashes.noteLoaded(this._registry.open)
        this._leaseEnds.loaded.promise.then(() => {
          for (const loss of this._leaseEnds.withStarts) this._runTracker.holdRecorded(loss)
          this._scheduleDispatch()
        })
      },
      onCancelled: workflow => this._runTracker.finishWorkflow(workflow, JOB_STATES.cancelled, 'cancelled'),
      onComplete: workflow => this._runTracker.finishWorkflow(workflow, JOB_STATES.done, 'all tasks are done')
    })
    this._recorder = new ProgressRecorder({
      committers,
      timers,
      log,
      meter: this._meter,
      onFinal: workflow => this._archiveWorkflow(workflow),
      onWritten: revision => this._fleet.noteGuardedWrite(revision),
      onFenced
    })
    const daemons = new EligibilityDaemons({ timers, daemons: eligibilityDaemons })
    this._eligibility = new EligibilityCache({
      timers, log, queryThroughDaemon: queryEligibility, daemons, onAnswer: () => this._scheduleDispatch()
    })
    this._waits = new WaitReporter({ timers, log })
    const suspensions = new WorkerSuspensions({ timers, log })
    const speedEstimator = new WorkerSpeedEstimator()
    this._speedStore = new WorkerSpeedStore({
      platform, timers, log, estimator: speedEstimator, incarnations: () => new Set(this._fleet.sessions.keys())
    })
    this._crashes = new CrashTracker({
      timers,
      log,
      workerCount: () => this._fleet.sessions.size,
      onChanged: workflow => this._recorder.noteChanged(workflow),
      whenRecorded: workflow => this._recorder.whenRecorded([workflow]),
      onRecorded: () => this._scheduleDispatch(),
      onGivenUp: (workflow, reason) => this._runTracker.finishWorkflow(workflow, JOB_STATES.failed, reason)
    })
    const teams = (): TeamsConfig | undefined => options.config()?.teams
    const capacity = new CellCapacity({ timers, sessions: () => this._fleet.sessions.values() })
    this._shares = new TeamShares({ usage: teamUsage, teams, capacity: () => capacity.total })
    this._budget = new SubmissionBudget({ timers, log, teams })
    this._backlogs = new TeamBacklogs({
      timers,
      open: () => this._registry.open,
      isBeyond: workflow => this._budget.isBeyond(workflow),
      isExhausted: team => this._budget.isExhausted(team)
    })
    this._downtime = new LongRunningDowntime({
      epoch, timers, open: () => this._registry.open, onRestart: downMs => options.onLongRunningRestart?.(downMs)
    })
    this._dispatcher = new Dispatcher({
      epoch,
      term: options.term,
      timers,
      config: options.config,
      registry: this._registry,
      fleet: this._fleet,
      eligibility: this._eligibility,
      daemons,
      waits: this._waits,
      speedEstimator,
      suspensions,
      crashes: this._crashes,
      teamUsage,
      shares: this._shares,
      budget: this._budget,
      predecessorActiveUntilMs,
      newFromRevision: options.newFromRevision,
      log,
      maxLoadedTasks: options.maxLoadedTasks,
      start: (task, worker, attempt, ticket) => {
        this._downtime.noteStart(task)
        this._runTracker.start(task, worker, { attempt, ticket })
      }
    })
    this._runTracker = new RunTracker({
      epoch,
      client,
      timers,
      log,
      registry: this._registry,
      eligibility: this._eligibility,
      speedEstimator,
      suspensions,
      crashes: this._crashes,
      teamUsage,
      maxLeaseMs: timeLimits.maxLeaseMs,
      idsReturn: () => this._fleet.idsReturn,
      leadershipRemainingMs,
      maxAttempts: workflow => this._dispatcher.queueOf(workflow)?.maxAttempts,
      predecessorHadStopped: atMs => this._dispatcher.predecessorHadStopped(atMs),
      onProgressChanged: workflow => this._recorder.noteChanged(workflow),
      onDispatchNeeded: () => this._scheduleDispatch(),
      onStaleEpoch: () => this._endByTakeover('a worker has received a newer epoch')
    })
  }

  /** Starts reading the store and the worker directory, and the periodic placement and deletion. */
  start (): void {
    const { timers } = this._options
    this._registry.start()
    this._fleet.start()
    this._speedStore.start()
    this._timers.push(timers.every(DISPATCH_PERIOD_MS, () => {
      this._meter.noteTick(DISPATCH_PERIOD_MS)
      this._dispatch()
    }))
    this._timers.push(timers.every(EXPIRY_PERIOD_MS, () => this._registry.deleteExpired()))
  }

  /** Ends the term. No further calls are made to workers or to the store. */
  close (): void {
    if (this._closed) return
    this._closed = true
    for (const timer of this._timers) timer.cancel()
    this._dispatchTimer?.cancel()
    this._registry.close()
    this._fleet.close()
    this._leaseEnds.close()
    this._speedStore.close()
    this._recorder.close()
    this._runTracker.close()
  }

  get closed (): boolean {
    return this._closed
  }

  /** Resolves when all changes made so far are recorded in the store. */
  async flush (): Promise<void> {
    await Promise.all([this._recorder.whenRecorded(this._registry.all()), this._leaseEnds.flush()])
  }

  /** Stops the start of tasks, in preparation for handing over leadership. */
  quiesce (): void {
    this._quiesced = true
  }

  /** Starts tasks again after `quiesce`. */
  resume (): void {
    this._quiesced = false
    this._scheduleDispatch()
  }

  /** Recorded state of a workflow; undefined when the workflow is unknown or the workflows have not been loaded. */
  stateOf (id: string): WorkflowStatus | undefined {
    return this._registry.loaded ? this._registry.stateOf(id) : undefined
  }

  /** Number of non-repeating workflows that have not started, by queue; undefined until the workflows have been loaded. */
  queueDepths (): Record<string, number> | undefined {
    if (!this._registry.loaded) return
    const depths: Record<string, number> = {}
    for (const { record, state } of this._registry.open) {
      if (state === JOB_STATES.accepted && !record.repeat) depths[record.queue] = (depths[record.queue] ?? 0) + 1
    }
    return depths
  }

  /** How a team stands that submits beyond its number; undefined until the workflows have been loaded, or without teams. */
  backlogOf (team: string): TeamBacklog | undefined {
    return this._registry.loaded && this._options.config()?.teams ? this._backlogs.of(team) : undefined
  }

  /** Adds a workflow that was stored at `revision`, unless it has ended since. */
  addWorkflow (record: Workflow, revision: number): void {
    this._registry.noteStored(record, revision)
  }

  /** Cancels a workflow after its cancellation has been stored. */
  cancel (id: string): void {
    this._registry.noteCancellation(id)
  }

  /** Called when the earlier scheduler is known to start no tasks after `untilMs`. It may still extend leases. */
  notePredecessorActiveUntil (untilMs: number): void {
    this._dispatcher.notePredecessorActiveUntil(untilMs)
    this._fleet.notePredecessorActiveUntil(untilMs)
  }

  /** Resolves to whether a lease in the record of the earlier scheduler lasts, when that has been read. */
  async inheritsLeaseEnds (): Promise<boolean> {
    await this._leaseEnds.loaded.promise
    return this._leaseEnds.awaitsLeases
  }

  /** Applies how long the recorded leases last as another daemon counts them. */
  noteLeaseEnds (answer: LeaseEnd[]): void {
    this._leaseEnds.applyAnswer(answer)
    this._fleet.noteLeaseEnds()
  }

  /** Called when workflows stored at `revision` or later are known to be new to the earlier scheduler. */
  noteNewFromRevision (revision: number): void {
    this._dispatcher.noteNewFromRevision(revision)
    this._scheduleDispatch()
  }

  /** Called when the earlier scheduler can start no more work from `atMs` on, with the evidence for the log. It may still extend leases. */
  notePredecessorStopped (atMs: number, evidence: EventFields): void {
    this._options.log.event('info', 'term.predecessor.stopped', { epoch: this._options.epoch, ...evidence })
    this._dispatcher.notePredecessorActiveUntil(atMs)
    this._scheduleDispatch()
  }

  /** Called when the earlier scheduler has stopped sending orders to workers, with the evidence for the log. */
  notePredecessorEnded (evidence: EventFields): void {
    this._options.log.event('info', 'term.predecessor.ended', { epoch: this._options.epoch, ...evidence })
    this._dispatcher.notePredecessorEnded()
    this._fleet.notePredecessorEnded()
  }

  /** Current values for the metrics. */
  figures (): TermFigures {
    const sessions = [...this._fleet.sessions.values()]
    return {
      workflows: this._registry.size,
      openWorkflows: this._registry.open.size,
      workers: sessions.length,
      reachableWorkers: sessions.filter(session => session.reachable).length,
      runs: sessions.reduce((sum, session) => sum + session.runs.size, 0),
      awaitedWorkers: this._fleet.awaitedWorkers?.workers ?? 0,
      longRunningDownMs: this._downtime.longestMs,
      waitingSteps: this._waits.counts,
      work: this._meter.figures,
      ...this._options.config()?.teams && {
        teams: this._shares.figures().map(share => ({ ...share, beyondBudget: this._budget.beyondCount(share.team) }))
      },
      eligibility: this._eligibility.counts.byQueue,
      ...this._runTracker.counts(),
      ...this._crashes.counts,
      ...this._dispatcher.capFigures()
    }
  }

  /** True when a worker of the failure domain has answered its last call. */
  reachesWorkerIn (failureDomain: string): boolean {
    return [...this._fleet.sessions.values()].some(({ entry, reachable }) => reachable && entry.failureDomain === failureDomain)
  }

  mayExtend (): boolean {
    return !this._closed && this._options.leadershipRemainingMs() > 0
  }

  onStaleEpoch (session: WorkerSession): void {
    this._endByTakeover(`worker ${session.incarnation} has received a newer epoch`)
  }

  unconfirmedStarts (session: WorkerSession): UnconfirmedStarts {
    return this._runTracker.unconfirmedStarts(session)
  }

  onLost (session: WorkerSession): void {
    this._crashes.noteLoss(session)
  }

  onCrash (session: WorkerSession, evidence: string): void {
    if (this._closed) return
    this._crashes.noteCrash(session, evidence)
    this._scheduleDispatch()
  }

  /** All runs of the worker have ended. Their tasks wait again, unless the worker's next incarnation may still start them. */
  onLapse (session: WorkerSession, reason: string): void {
    if (this._closed) return
    this._runTracker.handleLapse(session, reason)
    if (session.restarted) this._fleet.noteRestarted(session, this._runTracker.unconfirmedStarts(session))
    this._scheduleDispatch()
  }

  async onReport (session: WorkerSession, report: LeaseReport, requestSentMs: number): Promise<void> {
    while (!this._closed && !this._registry.loaded) {
      // A report can be matched with tasks only after the stored workflows have been loaded.
      await delay(this._options.timers, LOAD_POLL_PERIOD_MS)
    }
    if (this._closed || session.closed) return
    this._crashes.noteAnswered(session, requestSentMs)
    const wasSynced = session.synced
    const changedWorkflows = this._meter.measure(WORK_KINDS.report, () => this._runTracker.applyReport(session, report, requestSentMs))
    if (session.synced && !wasSynced) this._leaseEnds.noteNextAnswered(session.incarnation)
    this._scheduleDispatch()
    await this._recorder.whenRecorded(changedWorkflows)
  }

  /** Schedules one placement pass for all events until then. */
  private _scheduleDispatch (): void {
    if (this._closed) return
    this._dispatchTimer ??= this._options.timers.after(this._pacer.delayMs, () => {
      this._dispatchTimer = undefined
      this._dispatch()
    })
  }

  private _dispatch (): void {
    const { leadershipRemainingMs } = this._options
    if (this._closed || this._quiesced || !this._registry.loaded || leadershipRemainingMs() <= 0) return
    const { timers } = this._options
    const startedMs = timers.now()
    this._meter.measure(WORK_KINDS.pass, () => {
      this._runTracker.moveRunsOffDrainingWorkers(this._fleet.sessions.values())
      this._dispatcher.dispatch()
    })
    this._pacer.notePass(timers.now() - startedMs)
  }

  /** Called when the final state of a workflow has been recorded. */
  private _archiveWorkflow (workflow: WorkflowRuntime): void {
    this._runTracker.dropEligibility(workflow)
    this._registry.archive(workflow)
  }

  private _endByTakeover (reason: string): void {
    if (this._closed) return
    this._options.log.event('warn', 'term.deposed', { epoch: this._options.epoch, reason })
    this.close()
    this._options.onTakeover(reason)
  }
}
