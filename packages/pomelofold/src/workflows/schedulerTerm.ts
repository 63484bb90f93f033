/**
 * One term of the scheduler: from its election until another daemon takes over. Reads what the store holds,
 * fences the workers, then starts tasks, follows their runs and records their ends.
 *
 * @module
 */

import { Dispatcher } from './dispatcher.js'
import { EligibilityBook, type AskThrough } from './eligibilityBook.js'
import { LEADER_KEY } from './keys.js'
import { ProgressRecorder } from './progressRecorder.js'
import { RunFollower, type RunCounts } from './runFollower.js'
import { SpeedLearner } from './speedLearner.js'
import { WorkerFleet } from './workerFleet.js'
import { WorkflowRegistry } from './workflowRegistry.js'
import { WorkerTrust } from './workerTrust.js'
import type { WorkerSession, WorkerSessionListener } from './workerSession.js'
import type { WorkflowRuntime } from './workflowRuntime.js'
import { GroupCommitter } from '../commits/groupCommitter.js'
import { JOB_STATES } from '../protocol/jobs.js'
import type { Workflow, WorkflowState } from '../protocol/workflows.js'
import type { PlatformClient } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import { delay, type Timers, type TimerSubscription } from '../seams/timers.js'
import type { CellConfig, LeaseReport, WorkerClient, WorkerDirectory } from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'

/** Least time between the starts of two writes of a committer, in milliseconds: bounds its writes at 25 a second. */
const WRITE_INTERVAL_MS = 40
/** Writes of progress under way at once while the store is slow. */
const COMMITTERS = 8
/** Longest pause between tries of a write whose outcome is not known, in milliseconds. */
const WRITE_RETRY_MAX_MS = 400
/** Entries of one transaction that the store takes. */
const MAX_TXN_ENTRIES = 32
/** Period at which placement is tried without any event, in milliseconds: tickets end and occurrences fall due. */
const DISPATCH_PERIOD_MS = 100
/** Delay in which events are gathered before placement is tried, in milliseconds. */
const DISPATCH_DELAY_MS = 1
/** Period at which ended workflows are looked for that need not be kept, in milliseconds. */
const RETENTION_PERIOD_MS = 5_000
/** Pause between looks whether the store has been read, in milliseconds. */
const LOAD_PAUSE_MS = 25
/** Length of workers' leases, in milliseconds: two waits for ends, a takeover and two lost calls. */
const LEASE_MS = 6_000

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

/** Figures of a term. */
export interface TermFigures extends RunCounts {
  workflows: number
  openWorkflows: number
  workers: number
  reachableWorkers: number
  runs: number
}

/** Schedules workflows. */
export class SchedulerTerm implements WorkerSessionListener {
  private readonly _options: SchedulerTermOptions
  private readonly _book: WorkflowRegistry
  private readonly _fleet: WorkerFleet
  private readonly _recorder: ProgressRecorder
  private readonly _runs: RunFollower
  private readonly _eligibility: EligibilityBook
  private readonly _dispatcher: Dispatcher
  private readonly _timers: TimerSubscription[] = []
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
      onChange: () => this._soon(),
      onFenced
    })
    const committers = Array.from({ length: COMMITTERS }, (_, index) => new GroupCommitter({
      timers,
      platform,
      random,
      writer: `scheduler-${index}`,
      minIntervalMs: WRITE_INTERVAL_MS,
      maxEntries: MAX_TXN_ENTRIES,
      retryMaxMs: WRITE_RETRY_MAX_MS,
      fence: () => ({ key: LEADER_KEY, modRevision: epoch })
    }))
    this._book = new WorkflowRegistry({
      epoch,
      platform,
      committer: committers[0],
      timers,
      log,
      retentionMs: bounds.retentionMs,
      onAdded: () => this._soon(),
      onLoaded: () => this._soon(),
      onCancelled: workflow => this._runs.finish(workflow, JOB_STATES.cancelled, 'cancelled'),
      onComplete: workflow => this._runs.finish(workflow, JOB_STATES.done, 'all tasks are done')
    })
    this._recorder = new ProgressRecorder({
      committers, timers, log, onFinal: workflow => this._ended(workflow), onFenced
    })
    this._eligibility = new EligibilityBook({ timers, log, ask: askEligibility, lanes: eligibilityLanes, onAnswer: () => this._soon() })
    const trust = new WorkerTrust({ timers, log })
    const speeds = new SpeedLearner()
    this._dispatcher = new Dispatcher({
      epoch,
      term: options.term,
      timers,
      config: options.config,
      book: this._book,
      fleet: this._fleet,
      eligibility: this._eligibility,
      speeds,
      trust,
      start: (task, worker, attempt, ticket) => this._runs.start(task, worker, { attempt, ticket })
    })
    this._runs = new RunFollower({
      epoch,
      client,
      timers,
      log,
      book: this._book,
      eligibility: this._eligibility,
      speeds,
      trust,
      authorityMs,
      maxAttempts: workflow => this._dispatcher.queueOf(workflow)?.maxAttempts,
      onChanged: workflow => this._recorder.noteChanged(workflow),
      onRoom: () => this._soon(),
      onStaleEpoch: () => this._depose('a worker knows a newer epoch')
    })
  }

  /** Begins the term. */
  start (): void {
    const { timers } = this._options
    this._book.start()
    this._fleet.start()
    this._timers.push(timers.every(DISPATCH_PERIOD_MS, () => this._dispatch()))
    this._timers.push(timers.every(RETENTION_PERIOD_MS, () => this._book.deleteExpired()))
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
    this._runs.close()
  }

  get closed (): boolean {
    return this._closed
  }

  /** Resolves when all changes so far are recorded. */
  async flush (): Promise<void> {
    await this._recorder.whenRecorded(this._book.all())
  }

  /** Stops placing tasks, as a daemon does that is about to hand over. */
  quiesce (): void {
    this._quiet = true
  }

  /** State of a workflow as recorded; undefined when it is not known here. */
  stateOf (id: string): { state: WorkflowState, queue: string } | undefined {
    return this._book.loaded ? this._book.stateOf(id) : undefined
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
    this._book.noteCancellation(id)
  }

  /** Notes that the earlier scheduler sends nothing any more. */
  predecessorEnded (): void {
    this._options.log.event('info', 'term.predecessor.ended', { epoch: this._options.epoch })
    this._dispatcher.predecessorEnded()
    this._fleet.notePredecessorEnded()
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
      ...this._runs.counts()
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
    this._runs.lapse(session, reason)
    this._soon()
  }

  async onReport (session: WorkerSession, report: LeaseReport, askedMs: number): Promise<void> {
    while (!this._closed && !this._book.loaded) {
      // What runs is known only by the workflows in the store.
      await delay(this._options.timers, LOAD_PAUSE_MS)
    }
    if (this._closed || session.closed) return
    const touched = this._runs.takeIn(session, report, askedMs)
    this._soon()
    await this._recorder.whenRecorded(touched)
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
    this._runs.leaveDrainingWorkers(this._fleet.sessions.values())
    this._dispatcher.dispatch()
  }

  /** The final state of a workflow is recorded. */
  private _ended (workflow: WorkflowRuntime): void {
    this._runs.forget(workflow)
    this._book.archive(workflow)
  }

  private _depose (reason: string): void {
    if (this._closed) return
    this._options.log.event('warn', 'term.deposed', { epoch: this._options.epoch, reason })
    this.close()
    this._options.onDeposed(reason)
  }
}
