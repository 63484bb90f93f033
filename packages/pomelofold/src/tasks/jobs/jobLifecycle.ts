/**
 * Applies starts, ends and losses of tasks to their jobs.
 *
 * @module
 */

import type { Timers } from '../../seams/timers.js'
import { JOB_STATES } from '../../protocol/jobs.js'
import type { WorkerTask } from '../../protocol/worker.js'
import type { EventLog } from '../../utils/eventLog.js'
import { FailureTracker } from './failureTracker.js'
import { RUN_STATES, type Job, type TaskRun } from './job.js'
import type { CrashTrials } from './crashTrials.js'
import type { JobQueue } from './jobQueue.js'
import type { JobSettings } from './jobSettings.js'
import type { JobStore } from './jobStore.js'
import type { TaskLedger } from './taskLedger.js'
import type { WorkerLink } from './workerLink.js'

/** Number of workers on which a job must have failed before it ends as failed; fewer when there are fewer workers. */
const MIN_FAILED_WORKERS = 3
/** Failures of a job are no longer counted when the last one is longer ago than this. */
const FAILURE_RESET_MS = 600_000
/** Delay before a job is placed again after a failed start; doubled for each failed start up to the limit below. */
const REFUSAL_BACKOFF_MS = 100
const MAX_REFUSAL_DOUBLINGS = 6

/** Options of a {@link JobLifecycle}. */
export interface JobLifecycleOptions {
  timers: Timers
  cfg: JobSettings
  log: EventLog
  ledger: TaskLedger
  queue: JobQueue
  store: JobStore
  failures: FailureTracker
  links: ReadonlyMap<string, WorkerLink>
  crashTrials: CrashTrials
  /** Schedules a pass of the scheduler at monotonic time `atMs`, or as soon as possible. */
  schedulePass: (atMs?: number) => void
  /** Called when a worker has been put on probation. */
  onProbation: (worker: string) => void
}

/** Failed starts and failed tasks of one job. Kept in memory only, so a new placer starts from zero. */
interface FailureCounts {
  refusals: number
  /** Number of failed tasks by worker. */
  failuresByWorker: Map<string, number>
  /** Last failed run that was counted, by task index. */
  countedRuns: Map<number, string>
  lastFailureMs: number
}

/** Updates jobs when a run starts or ends, ends jobs, and requests the stop of runs that are no longer needed. */
export class JobLifecycle {
  private readonly _timers: Timers
  private readonly _cfg: JobSettings
  private readonly _log: EventLog
  private readonly _ledger: TaskLedger
  private readonly _queue: JobQueue
  private readonly _store: JobStore
  private readonly _failures: FailureTracker
  private readonly _links: ReadonlyMap<string, WorkerLink>
  private readonly _crashTrials: CrashTrials
  private readonly _schedulePass: (atMs?: number) => void
  private readonly _onProbation: (worker: string) => void
  private readonly _failureCounts = new WeakMap<Job, FailureCounts>()
  /** Ended jobs whose runs are still to be stopped. */
  private readonly _endedJobsWithRuns = new Set<Job>()

  constructor ({ timers, cfg, log, ledger, queue, store, failures, links, crashTrials, schedulePass, onProbation }: JobLifecycleOptions) {
    this._timers = timers
    this._cfg = cfg
    this._log = log
    this._ledger = ledger
    this._queue = queue
    this._store = store
    this._failures = failures
    this._links = links
    this._crashTrials = crashTrials
    this._schedulePass = schedulePass
    this._onProbation = onProbation
  }

  /** Handles a run that the worker has started, or lists as running. */
  onStarted (run: TaskRun, expectedMs: number, ranMs: number): void {
    const { job } = run
    const now = this._timers.now()
    run.expectedEndMs = expectedMs > 0 ? now + Math.max(0, expectedMs - ranMs) : Number.POSITIVE_INFINITY
    if (run.state !== RUN_STATES.stopping) run.state = RUN_STATES.running
    if (!job || job.ended) return this.stop(run)
    if (this._crashTrials.noteRunning(run)) this._store.save(job)
    if (job.firstStartAtMs !== undefined) return
    job.firstStartAtMs = this._timers.wallClock() - ranMs
    job.history.add(this._timers.wallClock(), `first task started at ${run.worker}`)
  }

  /** Handles a run that will never start, because its worker refused it or could not be reached. */
  onRefused (run: TaskRun, reason: string): void {
    const { job, index } = run
    this._ledger.remove(run)
    if (!job) return
    this._deleteIntent(job, index)
    if (job.ended) return
    job.history.add(this._timers.wallClock(), `start failed at ${run.worker}: ${reason}`)
    const counts = this._failureCountsOf(job)
    counts.refusals = Math.min(counts.refusals + 1, MAX_REFUSAL_DOUBLINGS)
    this._delayPlacement(job, REFUSAL_BACKOFF_MS * 2 ** counts.refusals)
    if (job.isGang) return this._onGangIncomplete(job, `a start failed at ${run.worker}`)
    this._requeue(job, index)
  }

  /** Handles a run that was withdrawn before it was sent. */
  onWithdrawn (run: TaskRun): void {
    const { job, index } = run
    this._ledger.remove(run)
    if (!job) return
    this._deleteIntent(job, index)
    const isNeeded = !job.ended && !job.restartingGang && !job.isSettled(index)
    if (job.isGang && isNeeded) return this._onGangIncomplete(job, `a start could not be sent to ${run.worker}`)
    this._requeue(job, index)
  }

  /** Handles a task that its worker lists as finished. */
  onFinished (job: Job, index: number, worker: string, taskId: string): void {
    // Replicas of a service run until it ends, and a gang that is being restarted runs all its tasks again.
    if (job.isService || job.restartingGang) {
      this._acknowledge(worker, taskId)
      this._delayPlacement(job, this._cfg.backoffMs)
      return this._requeue(job, index)
    }
    const isNewOutcome = !job.isSettled(index) || job.unknown.delete(index)
    job.pendingAcks.push({ worker, taskId })
    if (isNewOutcome) this._settle(job, index, job.finished)
    // A gang that can restart acknowledges finished tasks only when it ends or restarts.
    if (!job.restartsAsWhole || job.ended) this._saveAndAcknowledge(job)
    this.endIfComplete(job)
  }

  /** Handles a task that its worker lists as failed. */
  onFailed (job: Job, index: number, worker: string, task: Pick<WorkerTask, 'taskId' | 'reason'>): void {
    const { taskId, reason = 'no reason given' } = task
    if (job.ended || !job.plan.atMostOnce) this._acknowledge(worker, taskId)
    const counts = this._failureCountsOf(job)
    // A worker lists a failed run again when its link was replaced before the acknowledgement was sent.
    if (counts.countedRuns.get(index) === taskId) return
    counts.countedRuns.set(index, taskId)
    this._addEvent(job, `task ${index} failed at ${worker}: ${reason}`)
    if (this._failures.recordFailure(worker, job.plan.family, this._timers.now())) this._onProbation(worker)
    if (this._timers.now() - counts.lastFailureMs > FAILURE_RESET_MS) counts.failuresByWorker.clear()
    counts.lastFailureMs = this._timers.now()
    counts.failuresByWorker.set(worker, (counts.failuresByWorker.get(worker) ?? 0) + 1)
    if (job.ended || job.isSettled(index)) return
    if (job.plan.atMostOnce) {
      job.pendingAcks.push({ worker, taskId })
      this._settle(job, index, job.failed)
      this._saveAndAcknowledge(job)
      return this.endIfComplete(job)
    }
    this._retryAfterFailure(job, index, worker, reason)
  }

  /** Handles a task that its worker lists as stopped before it finished. */
  onStopped (job: Job, index: number, worker: string, { taskId, checkpoint }: WorkerTask): void {
    if (job.ended || job.isSettled(index)) return this._acknowledge(worker, taskId)
    job.pendingAcks.push({ worker, taskId })
    if (checkpoint !== undefined) job.checkpoints.set(index, checkpoint)
    if (job.plan.atMostOnce) this._settle(job, index, job.failed)
    else if (job.isGang) this._onGangIncomplete(job, `task ${index} was stopped at ${worker}`)
    else this._requeue(job, index)
    this._saveAndAcknowledge(job)
    this.endIfComplete(job)
  }

  /** Handles the end of a worker's process: gives jobs up that have crashed it and others. Its runs are then handled as lost. */
  onWorkerCrashed (worker: string, runs: TaskRun[]): void {
    const givenUp = this._crashTrials.noteCrash(worker, runs)
    for (const [job, reason] of givenUp) if (!job.ended) this.fail(job, reason)
    for (const { job } of runs) if (job?.record && !job.ended && job.crashes.size > 0) this._store.save(job)
  }

  /** Handles a run that has ended without a known outcome: its worker no longer lists it or is gone, or its lease has expired. */
  onLost (run: TaskRun): void {
    const { job, index, worker } = run
    this._ledger.remove(run)
    if (!job || job.ended || job.isSettled(index)) return
    this._addEvent(job, `task ${index} was lost at ${worker}`)
    if (job.plan.atMostOnce) return this.settleAsUnknown(job, index)
    const restart = (): void => {
      if (job.isGang) this._onGangIncomplete(job, `task ${index} was lost at ${worker}`)
      else this._requeue(job, index)
    }
    if (!this._crashTrials.isSuspect(job, index) || !job.record) return restart()
    // The next placer has to know of the crash before the task is started again.
    this._store.save(job).then(result => { if (result.isOk) restart() })
  }

  /** Records the outcome of a task of an at-most-once job as unknown. It may have run and is not run again. */
  settleAsUnknown (job: Job, index: number): void {
    this._settle(job, index, job.unknown)
    this._store.save(job)
    this.endIfComplete(job)
  }

  /** Stops the remaining runs of an incomplete gang, so that all its tasks start again together. */
  restartGang (job: Job, reason: string): void {
    if (job.restartingGang || job.ended) return this.requeueStoppedGang(job)
    job.restartingGang = true
    this._addEvent(job, `the gang is restarted as a whole: ${reason}`)
    this._queue.remove(job)
    for (const index of job.finished) job.waiting.add(index)
    job.finished.clear()
    for (const { worker, taskId } of job.pendingAcks.splice(0)) this._acknowledge(worker, taskId)
    for (const run of [...job.runs.values()]) this.withdrawOrStop(run)
    this.requeueStoppedGang(job)
  }

  /** Queues a gang that is being restarted, once its last run has ended. */
  requeueStoppedGang (job: Job): void {
    if (!job.restartingGang || job.runs.size > 0) return
    job.restartingGang = false
    for (let index = 0; index < job.total; index++) {
      if (!job.isSettled(index)) job.waiting.add(index)
    }
    this._enqueue(job)
  }

  /** Ends a job in memory; the next scheduling passes stop its runs. The caller commits the end to the store. */
  end (job: Job, state: NonNullable<Job['ended']>, reason?: string): void {
    job.ended = state
    job.reason = reason
    job.endedAtMs = this._timers.wallClock()
    this._addEvent(job, reason === undefined ? state : `${state}: ${reason}`)
    this._queue.remove(job)
    if (job.runs.size > 0) this._endedJobsWithRuns.add(job)
    this._schedulePass()
  }

  /** Ends a job as failed and commits the end. */
  fail (job: Job, reason: string): void {
    this.end(job, JOB_STATES.failed, reason)
    this._saveAndAcknowledge(job)
  }

  /** Stops up to `maxStops` runs of ended jobs. Returns true when more are left. */
  stopRunsOfEndedJobs (maxStops: number): boolean {
    let stopsLeft = maxStops
    for (const job of this._endedJobsWithRuns) {
      for (const run of [...job.runs.values()]) {
        if (stopsLeft-- <= 0) return true
        this.withdrawOrStop(run)
      }
      this._endedJobsWithRuns.delete(job)
    }
    return false
  }

  /** Withdraws a run that has not been sent, and stops any other. */
  withdrawOrStop (run: TaskRun): void {
    const unsent = run.state === RUN_STATES.intending || this._links.get(run.worker)?.withdraw(run)
    if (unsent) this.onWithdrawn(run)
    else if (run.state !== RUN_STATES.stopping) this.stop(run)
  }

  /** Sends the worker a stop command. The run must have been sent; it counts as running until the worker lists it as ended. */
  stop (run: TaskRun): void {
    run.state = RUN_STATES.stopping
    const link = this._links.get(run.worker)
    link?.command(run.taskId, 'stop')
    link?.pollAt(this._timers.now() + this._cfg.minPollMs)
  }

  private _retryAfterFailure (job: Job, index: number, worker: string, reason: string): void {
    const countedFailures = [...this._failureCountsOf(job).failuresByWorker].filter(([name]) => !this._failures.isSuspect(name))
    const total = countedFailures.reduce((sum, [, count]) => sum + count, 0)
    const workersNeeded = Math.min(MIN_FAILED_WORKERS, this._links.size)
    const mustFail = total >= this._cfg.maxTaskFailures && countedFailures.length >= workersNeeded && !job.isService
    if (mustFail) return this.fail(job, `failed ${total} times at ${countedFailures.length} workers; last: ${reason}`)
    this._avoidWorker(job, worker)
    this._delayPlacement(job, Math.min(this._cfg.maxBackoffMs, this._cfg.backoffMs * 2 ** Math.max(0, total - 1)))
    if (job.isGang) this._onGangIncomplete(job, `task ${index} failed at ${worker}`)
    else this._requeue(job, index)
  }

  /** Keeps the job off a worker for as long as a probation lasts: the other workers may have no room for it. */
  private _avoidWorker (job: Job, worker: string): void {
    if (job.avoid.has(worker)) return
    job.avoid.add(worker)
    if (job.avoid.size >= this._links.size) return job.avoid.clear()
    this._timers.after(this._cfg.probationMs, () => {
      if (!job.avoid.delete(worker) || job.ended) return
      job.blockedAtVersion = -1
      this._schedulePass()
    })
  }

  /** Restarts a gang of which a task cannot run. An at-most-once gang fails instead when one of its tasks may have run. */
  private _onGangIncomplete (job: Job, reason: string): void {
    const started = [...job.runs.values()].filter(run => run.state !== RUN_STATES.queued && run.state !== RUN_STATES.intending)
    const mayNotRepeat = job.plan.atMostOnce && (started.length > 0 || job.finished.size > 0)
    if (!mayNotRepeat) return this.restartGang(job, reason)
    for (const run of started) this._settle(job, run.index, job.unknown)
    this.fail(job, `not all tasks of the gang could start, and an at-most-once job is not run again: ${reason}`)
  }

  private _requeue (job: Job, index: number): void {
    if (job.ended || job.isSettled(index) || job.runs.has(index)) return
    job.waiting.add(index)
    if (job.restartingGang) return this.requeueStoppedGang(job)
    this._enqueue(job)
  }

  private _enqueue (job: Job): void {
    if (job.ended || job.heldByTakeover) return
    this._queue.add(job)
    this._schedulePass(job.notBeforeMs)
  }

  private _deleteIntent (job: Job, index: number): void {
    if (job.intents.delete(index) && !job.ended) this._store.save(job)
  }

  private _settle (job: Job, index: number, outcome: Set<number>): void {
    job.waiting.delete(index)
    job.checkpoints.delete(index)
    job.intents.delete(index)
    outcome.add(index)
  }

  /** Ends the job when all its tasks have ended. */
  endIfComplete (job: Job): void {
    if (job.ended || !job.isComplete || job.isService) return
    const { failed, unknown } = job
    const succeeded = failed.size === 0 && unknown.size === 0
    if (succeeded) this.end(job, JOB_STATES.done)
    else this.end(job, JOB_STATES.failed, `${failed.size} tasks failed, the outcome of ${unknown.size} is unknown`)
    this._saveAndAcknowledge(job)
  }

  private _saveAndAcknowledge (job: Job): void {
    const acks = job.pendingAcks.splice(0)
    this._store.save(job).then(result => {
      if (result.isErr) return
      for (const { worker, taskId } of acks) this._acknowledge(worker, taskId)
    })
  }

  private _acknowledge (worker: string, taskId: string): void {
    this._links.get(worker)?.acknowledge(taskId)
  }

  private _delayPlacement (job: Job, forMs: number): void {
    job.notBeforeMs = Math.max(job.notBeforeMs, this._timers.now() + forMs)
  }

  private _addEvent (job: Job, text: string): void {
    job.history.add(this._timers.wallClock(), text)
    this._log.event('debug', 'jobs.job', { jobId: job.jobId, text })
  }

  private _failureCountsOf (job: Job): FailureCounts {
    let counts = this._failureCounts.get(job)
    if (!counts) {
      counts = { refusals: 0, failuresByWorker: new Map(), countedRuns: new Map(), lastFailureMs: 0 }
      this._failureCounts.set(job, counts)
    }
    return counts
  }
}
