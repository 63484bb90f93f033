/**
 * Jobs and runs in the memory of the placer. A run occupies capacity of its worker from its placement until it is removed.
 *
 * @module
 */

import type { Timers } from '../../seams/timers.js'
import type { Capacity } from '../../protocol/vms.js'
import type { Placement } from '../placementTypes.js'
import { RUN_STATES, type Job, type TaskRun } from './job.js'
import { formatTaskId } from './taskId.js'

/** Options of {@link TaskLedger.adopt}. */
export interface AdoptOptions {
  job?: Job
  taskId: string
  jobId: string
  index: number
  worker: string
  size: Capacity
}

/** Jobs and runs of a placer under one epoch of its claim. Adds, resizes and removes their runs in the placement as well. */
export class TaskLedger {
  /** Jobs by id. */
  readonly jobs = new Map<string, Job>()
  /** Runs by task id. */
  readonly runs = new Map<string, TaskRun>()
  /** Incremented whenever a job for which there was no room may fit: a run ended, or a worker or the manifest changed. */
  capacityVersion = 0
  /** Called after a run has been removed. */
  onRunRemoved: (run: TaskRun) => void = () => {}
  private readonly _timers: Timers
  private readonly _placement: Placement
  private readonly _runPrefix: string
  private readonly _runsByWorker = new Map<string, Set<TaskRun>>()
  private readonly _teamCpus = new Map<string, number>()
  private _runNumber = 0

  constructor ({ timers, placement, runPrefix }: { timers: Timers, placement: Placement, runPrefix: string }) {
    this._timers = timers
    this._placement = placement
    this._runPrefix = runPrefix
  }

  /** Returns a new task id for the next run of a task. */
  nextTaskId (job: Job, index: number): string {
    return formatTaskId(job.jobId, index, `${this._runPrefix}-${++this._runNumber}`)
  }

  /** Adds a run that the placement has already counted. */
  add (job: Job, index: number, taskId: string, worker: string, size: Capacity): TaskRun {
    job.waiting.delete(index)
    return this._insert({ taskId, job, index, worker, size, state: RUN_STATES.queued })
  }

  /** Adds a run for a task found on a worker, and counts it in the placement. */
  adopt ({ job, taskId, jobId, index, worker, size }: AdoptOptions): TaskRun {
    const owner = job?.plan ?? { jobId, kind: 'batch' as const, class: 'normal' as const, team: '' }
    this._placement.addRunningTask({ taskId, jobId, kind: owner.kind, class: owner.class, team: owner.team, size }, worker)
    job?.waiting.delete(index)
    return this._insert({ taskId, job, index, worker, size, state: RUN_STATES.running })
  }

  /** Removes a run that does not run now and never will. */
  remove (run: TaskRun): void {
    if (!this.runs.delete(run.taskId)) return
    this._placement.release(run.taskId)
    this._runsByWorker.get(run.worker)?.delete(run)
    if (run.job?.runs.get(run.index) === run) run.job.runs.delete(run.index)
    if (run.job) this._addTeamCpus(run.job.plan.team, -run.size.cpus)
    this.capacityVersion++
    this.onRunRemoved(run)
  }

  /** Assigns the run to `job`. */
  reassign (run: TaskRun, job: Job): void {
    if (run.job) this._addTeamCpus(run.job.plan.team, -run.size.cpus)
    this._addTeamCpus(job.plan.team, run.size.cpus)
    run.job = job
    job.runs.set(run.index, run)
    job.waiting.delete(run.index)
  }

  resize (run: TaskRun, size: Capacity): void {
    if (run.job) this._addTeamCpus(run.job.plan.team, size.cpus - run.size.cpus)
    run.size = size
    this._placement.resize(run.taskId, size)
  }

  runsAt (worker: string): ReadonlySet<TaskRun> {
    return this._runsByWorker.get(worker) ?? new Set()
  }

  /** Cores that the team's runs occupy. */
  teamCpus (team: string): number {
    return this._teamCpus.get(team) ?? 0
  }

  private _insert (placed: Omit<TaskRun, 'sentAtMs' | 'expectedEndMs'>): TaskRun {
    const run: TaskRun = { ...placed, sentAtMs: this._timers.now(), expectedEndMs: Number.POSITIVE_INFINITY }
    this.runs.set(run.taskId, run)
    run.job?.runs.set(run.index, run)
    if (run.job) this._addTeamCpus(run.job.plan.team, run.size.cpus)
    const atWorker = this._runsByWorker.get(run.worker)
    if (atWorker) atWorker.add(run)
    else this._runsByWorker.set(run.worker, new Set([run]))
    return run
  }

  private _addTeamCpus (team: string, cpus: number): void {
    this._teamCpus.set(team, this.teamCpus(team) + cpus)
  }
}
