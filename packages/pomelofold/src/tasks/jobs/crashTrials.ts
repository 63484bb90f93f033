/**
 * Finds the tasks that crash their workers, keeps them on trial and gives them up.
 *
 * Load pattern: a task that crashes every worker that starts it, beside ordinary crashes. Workers are polled seldom, so that
 * the time of a crash is known only roughly: a crash counts by the number of runs that it ended, and not by their ages.
 *
 * @module
 */

import { describeCrashes, judge, SLIGHT_WEIGHT, trialMs, VERDICTS, weightOf } from '../../crashes/crashEvidence.js'
import type { CrashRecord } from '../../protocol/crashes.js'
import type { Timers } from '../../seams/timers.js'
import type { EventLog } from '../../utils/eventLog.js'
import type { Job, TaskRun } from './job.js'

/** Time within which crashes count as simultaneous, in milliseconds: the spread of their detection. */
const SIMULTANEOUS_MS = 5_000
/** Number of workers that are many to crash at once. */
const MANY_WORKERS = 3
/** Share of the workers on which tasks may be on trial at once. */
const TRIAL_SHARE_MAX = 0.125

/** Options of {@link CrashTrials}. */
export interface CrashTrialsOptions {
  timers: Timers
  log: EventLog
  /** Called when the worker begins or ceases to be used for a trial. Nothing else starts there in between. */
  onTrialChange: (worker: string) => void
}

/** Holds the crashes against tasks and the trials in progress. */
export class CrashTrials {
  private readonly _options: CrashTrialsOptions
  /** Runs on trial by worker. */
  private readonly _trials = new Map<string, Set<TaskRun>>()
  /** Times of the last crashes by worker, in milliseconds of the monotonic clock. */
  private readonly _crashedMs = new Map<string, number>()

  constructor (options: CrashTrialsOptions) {
    this._options = options
  }

  /** Records the crash of a worker with the runs that it ended. Returns the jobs to give up, with the reason for the caller. */
  noteCrash (worker: string, runs: TaskRun[]): Map<Job, string> {
    const { timers, log } = this._options
    const nowMs = timers.now()
    this._crashedMs.set(worker, nowMs)
    const atOnce = [...this._crashedMs.values()].filter(atMs => nowMs - atMs < SIMULTANEOUS_MS).length
    const givenUp = new Map<Job, string>()
    log.event('warn', 'jobs.workerCrashed', { peer: worker, runs: runs.length, onTrial: this._trials.get(worker)?.size ?? 0, atOnce })
    for (const run of runs) {
      const { job } = run
      if (!job || job.ended || job.isSettled(run.index)) continue
      const crashes = this._addEvidence(job, run, { alone: runs.length === 1, doubtful: atOnce >= MANY_WORKERS })
      if (crashes && judge(crashes) === VERDICTS.givenUp && !job.isService) {
        givenUp.set(job, `task ${run.index} crashed its workers: ${describeCrashes(crashes)}`)
      }
    }
    return givenUp
  }

  /** True when the task has to be started on trial. A service is never given up, and stays suspected. */
  isSuspect (job: Job, index: number): boolean {
    return judge(job.crashes.get(index) ?? []) !== VERDICTS.clear
  }

  /** True while a task is on trial on the worker. */
  isTrialWorker (worker: string): boolean {
    return this._trials.has(worker)
  }

  /** True when one more worker may be used for a trial. */
  mayStartTrial (workers: number): boolean {
    return this._trials.size < Math.max(1, TRIAL_SHARE_MAX * workers)
  }

  /** Puts a run that was just placed on trial if its task is suspected. */
  noteStart (run: TaskRun): void {
    const { job, index, worker } = run
    if (!job || !this.isSuspect(job, index)) return
    run.trialEndMs = this._options.timers.now() + trialMs(job.crashes.get(index)!)
    this._trials.set(worker, (this._trials.get(worker) ?? new Set()).add(run))
    this._options.onTrialChange(worker)
  }

  /** Clears the task of a run that its worker lists as running. Returns true if it is not suspected any more. */
  noteRunning (run: TaskRun): boolean {
    const { job, index, trialEndMs } = run
    if (!job || trialEndMs === undefined || this._options.timers.now() < trialEndMs) return false
    job.crashes.delete(index)
    this._options.log.event('info', 'jobs.taskCleared', { jobId: job.jobId, index, peer: run.worker })
    this.noteEnd(run)
    return true
  }

  /** Ends the trial of a run. */
  noteEnd (run: TaskRun): void {
    run.trialEndMs = undefined
    const runs = this._trials.get(run.worker)
    if (!runs?.delete(run) || runs.size > 0) return
    this._trials.delete(run.worker)
    this._options.onTrialChange(run.worker)
  }

  private _addEvidence (job: Job, run: TaskRun, { alone, doubtful }: { alone: boolean, doubtful: boolean }): CrashRecord[] | undefined {
    const { timers, log } = this._options
    const earlier = job.crashes.get(run.index) ?? []
    const onTrial = this._trials.get(run.worker)?.has(run) ?? false
    const weight = weightOf(onTrial ? 'sameOnTrial' : alone ? 'young' : 'settled', { doubtful })
    if (weight === SLIGHT_WEIGHT) return
    const atMs = Math.round(timers.wallClock())
    const crashes = [...earlier, { worker: run.worker, atMs, ageMs: Math.round(timers.now() - run.sentAtMs), weight }]
    job.crashes.set(run.index, crashes)
    log.event('warn', 'jobs.crashEvidence', {
      jobId: job.jobId, index: run.index, peer: run.worker, weight, onTrial, doubtful, crashes: crashes.length, verdict: judge(crashes)
    })
    return crashes
  }
}
