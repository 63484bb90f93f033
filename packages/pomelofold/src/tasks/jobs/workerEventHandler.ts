/**
 * Tracks the state of runs from the answers and reports of workers.
 *
 * @module
 */

import type { Timers } from '../../seams/timers.js'
import { WORKER_TASK_STATES, type TaskStart, type TaskStartAnswer, type WorkerReport, type WorkerTask } from '../../protocol/worker.js'
import type { JobLifecycle } from './jobLifecycle.js'
import { RUN_STATES, type Job, type TaskRun } from './job.js'
import type { JobSettings } from './jobSettings.js'
import { parseTaskId } from './taskId.js'
import type { TaskLedger } from './taskLedger.js'
import type { UsageEstimator } from './usageEstimator.js'
import type { WorkerLink, WorkerLinkEvents } from './workerLink.js'

/** Delay between the expected end of a task and the poll for its result. */
const END_POLL_DELAY_MS = 50
/** The next poll for an overdue task comes after this share of the time by which it is overdue. */
const OVERDUE_POLL_FACTOR = 0.25

/** Options of a {@link WorkerEventHandler}. */
export interface WorkerEventHandlerOptions {
  timers: Timers
  cfg: JobSettings
  ledger: TaskLedger
  lifecycle: JobLifecycle
  usage: UsageEstimator
  /** Called after a report has been applied to the runs. */
  onReportApplied: (link: WorkerLink, report: WorkerReport, sentAtMs: number) => void
  onAvailability: (link: WorkerLink) => void
}

/** Applies answers and reports of workers to runs and jobs, and decides when a worker is polled next. */
export class WorkerEventHandler implements WorkerLinkEvents {
  private readonly _timers: Timers
  private readonly _cfg: JobSettings
  private readonly _ledger: TaskLedger
  private readonly _lifecycle: JobLifecycle
  private readonly _usage: UsageEstimator
  private readonly _onReportApplied: WorkerEventHandlerOptions['onReportApplied']
  private readonly _onAvailability: WorkerEventHandlerOptions['onAvailability']
  private readonly _listedTaskHandlers: Record<WorkerTask['state'], (link: WorkerLink, task: WorkerTask) => void> = {
    [WORKER_TASK_STATES.running]: (link, task) => this._onRunning(link, task),
    [WORKER_TASK_STATES.finished]: (link, task) => this._onEnded(link, task, (job, index) => {
      this._usage.observeDuration(job.plan.family, job.groupOf(index).expectedMs, task.ranMs)
      this._lifecycle.onFinished(job, index, link.vm.name, task.taskId)
    }),
    [WORKER_TASK_STATES.failed]: (link, task) => this._onEnded(link, task, (job, index) => {
      this._lifecycle.onFailed(job, index, link.vm.name, task)
    }),
    [WORKER_TASK_STATES.stopped]: (link, task) => this._onEnded(link, task, (job, index) => {
      this._lifecycle.onStopped(job, index, link.vm.name, task)
    })
  }

  constructor ({ timers, cfg, ledger, lifecycle, usage, onReportApplied, onAvailability }: WorkerEventHandlerOptions) {
    this._timers = timers
    this._cfg = cfg
    this._ledger = ledger
    this._lifecycle = lifecycle
    this._usage = usage
    this._onReportApplied = onReportApplied
    this._onAvailability = onAvailability
  }

  prepareStart (run: TaskRun): TaskStart | undefined {
    const { job, index, taskId, size } = run
    if (!this._ledger.runs.has(taskId)) return undefined
    if (!job || job.ended || job.restartingGang) {
      this._lifecycle.onWithdrawn(run)
      return undefined
    }
    run.state = RUN_STATES.sent
    run.sentAtMs = this._timers.now()
    run.mayArriveUntilMs = run.sentAtMs + this._cfg.maxDeliveryMs
    const { expectedMs, payload } = job.groupOf(index)
    return { taskId, size, leaseMs: this._cfg.leaseMs, runMs: expectedMs, payload, checkpoint: job.checkpoints.get(index) }
  }

  onStartAnswers (runs: TaskRun[], answers: TaskStartAnswer[]): void {
    runs.forEach((run, at) => {
      const answer = answers[at]
      if (!this._ledger.runs.has(run.taskId)) return
      if (answer?.taskId !== run.taskId) return this._onUnanswered(run)
      run.mayArriveUntilMs = undefined
      if (answer.started) this._lifecycle.onStarted(run, this._expectedMs(run), 0)
      else this._lifecycle.onRefused(run, answer.reason ?? 'no reason given')
    })
  }

  onStartsFailed (runs: TaskRun[], mayRun: boolean): void {
    for (const run of runs.filter(run => this._ledger.runs.has(run.taskId))) {
      if (!mayRun) this._lifecycle.onRefused(run, 'the worker could not be reached')
      else this._onUnanswered(run)
    }
  }

  onReport (link: WorkerLink, report: WorkerReport, sentAtMs: number): void {
    for (const task of report.tasks) this._listedTaskHandlers[task.state](link, task)
    if (report.since === undefined) this._handleMissingRuns(link, report, sentAtMs)
    this._onReportApplied(link, report, sentAtMs)
  }

  /**
   * True when a run may differ from what its worker last listed: a stop or checkpoint was requested, or a start is
   * unanswered. A list of changes omits a task whose start was lost, so only a full list shows that it is missing.
   */
  needsFullList (link: WorkerLink): boolean {
    const stableStates = new Set<string>([RUN_STATES.running, RUN_STATES.queued, RUN_STATES.intending])
    return [...this._ledger.runsAt(link.vm.name)].some(run => !stableStates.has(run.state) || run.checkpointRequestedMs !== undefined)
  }

  onLost (link: WorkerLink): void {
    for (const run of [...this._ledger.runsAt(link.vm.name)]) this._lifecycle.onLost(run)
    this._onAvailability(link)
  }

  onAvailability (link: WorkerLink): void {
    if (!link.reachable) {
      for (const run of [...this._ledger.runsAt(link.vm.name)]) {
        if (link.withdraw(run)) this._lifecycle.onWithdrawn(run)
      }
    }
    this._onAvailability(link)
  }

  nextPollMs (link: WorkerLink): number {
    const now = this._timers.now()
    let next = Number.POSITIVE_INFINITY
    for (const run of this._ledger.runsAt(link.vm.name)) next = Math.min(next, this._pollTimeOf(run, now))
    return next
  }

  private _pollTimeOf (run: TaskRun, now: number): number {
    if (run.state === RUN_STATES.stopping) return now + this._cfg.minPollMs
    if (run.mayArriveUntilMs !== undefined) return run.mayArriveUntilMs
    const trialPollMs = run.trialEndMs === undefined ? Number.POSITIVE_INFINITY : Math.max(run.trialEndMs, now + this._cfg.minPollMs)
    if (run.expectedEndMs + END_POLL_DELAY_MS > now) return Math.min(trialPollMs, run.expectedEndMs + END_POLL_DELAY_MS)
    return now + Math.min(this._cfg.maxPollMs, Math.max(this._cfg.minPollMs, OVERDUE_POLL_FACTOR * (now - run.expectedEndMs)))
  }

  private _onUnanswered (run: TaskRun): void {
    if (run.state !== RUN_STATES.stopping) run.state = RUN_STATES.unsure
  }

  private _onRunning (link: WorkerLink, task: WorkerTask): void {
    const run = this._ledger.runs.get(task.taskId) ?? this._adopt(link, task)
    run.mayArriveUntilMs = undefined
    if (run.state === RUN_STATES.stopping || !run.job || run.job.ended || run.job.restartingGang) return this._lifecycle.stop(run)
    this._lifecycle.onStarted(run, this._expectedMs(run), task.ranMs)
  }

  /** Adds a run for a listed task that this placer has not started. A run whose task is not wanted has no job, and is stopped. */
  private _adopt (link: WorkerLink, { taskId, size }: WorkerTask): TaskRun {
    const { jobId = taskId, index = 0 } = parseTaskId(taskId) ?? {}
    const job = this._ledger.jobs.get(jobId)
    const placed = job?.runs.get(index)
    if (placed && (placed.state === RUN_STATES.queued || placed.state === RUN_STATES.intending)) this._lifecycle.onWithdrawn(placed)
    const wanted = job && !job.ended && this._isWanted(job, index)
    return this._ledger.adopt({ job: wanted ? job : undefined, jobId, index, taskId, worker: link.vm.name, size })
  }

  private _isWanted (job: Job, index: number): boolean {
    if (index >= job.total || job.runs.has(index)) return false
    // The outcome was recorded as unknown, but the task is still running.
    if (job.plan.atMostOnce && job.unknown.delete(index)) return true
    return job.waiting.has(index)
  }

  private _onEnded (link: WorkerLink, task: WorkerTask, handle: (job: Job, index: number) => void): void {
    const run = this._ledger.runs.get(task.taskId)
    const id = parseTaskId(task.taskId)
    const job = id && this._ledger.jobs.get(id.jobId)
    if (run) this._ledger.remove(run)
    if (!job || id.index >= job.total) return link.acknowledge(task.taskId)
    const otherRun = job.runs.get(id.index)
    if (!otherRun) return handle(job, id.index)
    if (task.state !== WORKER_TASK_STATES.finished) return link.acknowledge(task.taskId)
    handle(job, id.index)
    this._lifecycle.withdrawOrStop(otherRun)
  }

  private _handleMissingRuns (link: WorkerLink, report: WorkerReport, sentAtMs: number): void {
    const listed = new Set(report.tasks.map(task => task.taskId))
    const runs = [...this._ledger.runsAt(link.vm.name)]
    const missing = runs.filter(run => !listed.has(run.taskId))
    // A worker that lists none of the runs that it had confirmed has started anew.
    const confirmed = runs.filter(run => run.state === RUN_STATES.running && run.sentAtMs < sentAtMs)
    const lost = confirmed.filter(run => missing.includes(run))
    if (lost.length > 0 && lost.length === confirmed.length) this._lifecycle.onWorkerCrashed(link.vm.name, lost)
    for (const run of missing) this._onMissing(run, sentAtMs)
  }

  /**
   * Handles a run that its worker does not list. The run is lost, unless its start was not sent or may still arrive. A stop does
   * not change that: a worker does not remember stops of tasks that it does not know, and starts such a task later.
   */
  private _onMissing (run: TaskRun, sentAtMs: number): void {
    const unsent = run.state === RUN_STATES.intending || run.state === RUN_STATES.queued
    if (unsent) return
    const mayArrive = run.mayArriveUntilMs !== undefined && sentAtMs < run.mayArriveUntilMs
    if (!mayArrive) this._lifecycle.onLost(run)
  }

  private _expectedMs (run: TaskRun): number {
    if (!run.job) return 0
    return this._usage.expectedMs(run.job.plan.family, run.job.groupOf(run.index).expectedMs)
  }
}
