/**
 * Preemption: checkpoints and stops less urgent tasks to make room for urgent jobs.
 *
 * @module
 */

import type { Timers } from '../../seams/timers.js'
import { JOB_CLASSES } from '../../protocol/jobs.js'
import type { Capacity } from '../../protocol/vms.js'
import type { WorkerTask } from '../../protocol/worker.js'
import type { Placement } from '../placementTypes.js'
import { RUN_STATES, type Job, type TaskRun } from './job.js'
import type { JobLifecycle } from './jobLifecycle.js'
import type { JobSettings } from './jobSettings.js'
import type { TaskLedger } from './taskLedger.js'
import type { WorkerLink } from './workerLink.js'

/** Most jobs for which tasks are preempted at the same time. */
const MAX_PREEMPTING_JOBS = 64
/** Most workers on which tasks are preempted for one job at the same time. */
const MAX_WORKERS_PER_JOB = 16

/** Options of a {@link Preemption}. */
export interface PreemptionOptions {
  timers: Timers
  cfg: JobSettings
  placement: Placement
  ledger: TaskLedger
  lifecycle: JobLifecycle
  links: ReadonlyMap<string, WorkerLink>
}

/** Chooses tasks to preempt for urgent jobs, and stops tasks after a checkpoint. Also used by the handling of overuse. */
export class Preemption {
  private readonly _timers: Timers
  private readonly _cfg: JobSettings
  private readonly _placement: Placement
  private readonly _ledger: TaskLedger
  private readonly _lifecycle: JobLifecycle
  private readonly _links: ReadonlyMap<string, WorkerLink>
  /** Runs that are being stopped, by the urgent job that needs their room. */
  private readonly _victimsByJob = new Map<Job, Set<TaskRun>>()

  constructor ({ timers, cfg, placement, ledger, lifecycle, links }: PreemptionOptions) {
    this._timers = timers
    this._cfg = cfg
    this._placement = placement
    this._ledger = ledger
    this._lifecycle = lifecycle
    this._links = links
  }

  /** Makes room for the waiting tasks of an urgent job for which there was none: on one worker for each task. */
  makeRoom (job: Job, size: Capacity): void {
    if (job.plan.class !== JOB_CLASSES.urgent || this._victimsByJob.has(job) || this._victimsByJob.size >= MAX_PREEMPTING_JOBS) return
    const victims = this._chooseVictims(job, size)
    if (victims.size === 0) return
    this._victimsByJob.set(job, victims)
    job.history.add(this._timers.wallClock(), `stops ${victims.size} less urgent tasks to make room`)
    for (const run of victims) this.evict(run, `room is needed for urgent job ${job.jobId}`)
  }

  /** Requests a checkpoint of the run. Stops it once the checkpoint is there, or after `checkpointWaitMs`. */
  evict (run: TaskRun, reason: string): void {
    if (run.checkpointRequestedMs !== undefined || !run.job) return
    run.job.history.add(this._timers.wallClock(), `task ${run.index} is stopped at ${run.worker}: ${reason}`)
    const unsent = run.state === RUN_STATES.queued && this._links.get(run.worker)?.withdraw(run)
    if (unsent) return this._lifecycle.onWithdrawn(run)
    run.checkpointRequestedMs = this._timers.now()
    const link = this._links.get(run.worker)
    link?.command(run.taskId, 'checkpoint')
    link?.pollAt(run.checkpointRequestedMs + this._cfg.minPollMs)
    this._timers.after(this._cfg.checkpointWaitMs, () => this._stop(run))
  }

  /** Handles a run in a worker's report: keeps its checkpoint, and stops the run when that is the requested one. */
  onListed (run: TaskRun, { checkpoint }: WorkerTask, reportSentMs: number): void {
    if (checkpoint === undefined) return
    run.job?.checkpoints.set(run.index, checkpoint)
    if (run.checkpointRequestedMs !== undefined && reportSentMs > run.checkpointRequestedMs) this._stop(run)
  }

  /** Removes an ended run from the runs that are being stopped. */
  onRunRemoved (run: TaskRun): void {
    for (const [job, victims] of this._victimsByJob) {
      if (victims.delete(run) && victims.size === 0) this._victimsByJob.delete(job)
    }
  }

  private _chooseVictims (job: Job, size: Capacity): Set<TaskRun> {
    const chosen = new Set<TaskRun>()
    const avoid = new Set([...job.avoid, ...[...this._victimsByJob.values()].flatMap(victims => [...victims].map(run => run.worker))])
    for (const index of [...job.waiting].slice(0, MAX_WORKERS_PER_JOB)) {
      const plan = this._placement.planPreemption({ ...job.taskRequest(index, this._ledger.nextTaskId(job, index), size), avoid })
      if (!plan || plan.victims.length === 0) break
      avoid.add(plan.worker)
      const victims = plan.victims.map(taskId => this._ledger.runs.get(taskId)).filter(run => run !== undefined)
      if (victims.length < plan.victims.length || !victims.every(run => this._mayEvict(run))) continue
      for (const run of victims) chosen.add(run)
    }
    return chosen
  }

  /** Tasks of at-most-once jobs are never stopped, since they could not start again. */
  private _mayEvict ({ job, checkpointRequestedMs }: TaskRun): boolean {
    return job !== undefined && !job.plan.atMostOnce && checkpointRequestedMs === undefined
  }

  private _stop (run: TaskRun): void {
    if (this._ledger.runs.get(run.taskId) === run && run.state !== RUN_STATES.stopping) this._lifecycle.stop(run)
  }
}
