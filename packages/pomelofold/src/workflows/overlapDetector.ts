/**
 * Detects runs that workers list after their task has been started again: two runs of one task, at once or one after the other.
 *
 * @module
 */

import { RELEASES, type ReleasedRuns } from './releasedRuns.js'
import type { RunHost } from './runHost.js'
import { runIdOf } from './workerSession.js'
import { TASK_STATES, type Task } from './workflowRuntime.js'
import type { Timers } from '../seams/timers.js'
import { RUN_ENDS, type RunEnd } from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'

/** How a worker lists a run: as running, or the end of it. */
export type Listing = RunEnd | 'running'

/** Ends that a worker which was lost usually lists when it answers again. */
const USUAL_ENDS: ReadonlySet<Listing> = new Set([RUN_ENDS.lapsed, RUN_ENDS.stopped])

/** Options of an {@link OverlapDetector}. */
export interface OverlapDetectorOptions {
  epoch: number
  timers: Timers
  log: EventLog
  releasedRuns: ReleasedRuns
}

/** Logs and counts such runs. No decision depends on it. */
export class OverlapDetector {
  private readonly _options: OverlapDetectorOptions
  private readonly _counts: Partial<Record<Listing, number>> = {}
  /** Ids of the runs that each incarnation of a worker has listed. */
  private readonly _noted = new WeakMap<RunHost, Set<string>>()

  constructor (options: OverlapDetectorOptions) {
    this._options = options
  }

  /** Number of such runs since the start of the term, by how they were listed first. */
  get counts (): Partial<Record<Listing, number>> {
    return { ...this._counts }
  }

  /** Notes that a worker lists a run of the task that is not its current one. */
  noteListed (task: Task, { attempt, worker, how }: { attempt: number, worker: RunHost, how: Listing }): void {
    const runId = runIdOf(task.name, attempt)
    if (task.step.spec.speculative || this._noted.get(worker)?.has(runId)) return
    const { releasedRuns, log, timers, epoch } = this._options
    const released = releasedRuns.find(task.name, attempt)
    // A worker lists an end until it is acknowledged.
    const isEndListedAgain = how !== 'running' && released.release === RELEASES.ended && released.releasedWorker === worker.incarnation
    if (isEndListedAgain) return
    const other = this._otherStart(task, { attempt, how })
    if (!other) return
    const noted = this._noted.get(worker) ?? new Set<string>()
    this._noted.set(worker, noted.add(runId))
    this._counts[how] = (this._counts[how] ?? 0) + 1
    const isUsual = USUAL_ENDS.has(how) && released.releasedWorker === worker.incarnation
    log.event(isUsual ? 'info' : 'warn', 'run.overlap', {
      task: task.name,
      attempt,
      worker: worker.incarnation,
      how,
      taskState: task.state,
      ...other,
      otherGoesOn: task.run !== undefined,
      otherStartedAgoMs: task.run && Math.round(timers.now() - task.run.startedMs),
      ...released,
      epoch
    })
  }

  /** The other start of the task: the current run, or what is known of a later or earlier one. Undefined for none. */
  private _otherStart (
    task: Task, { attempt, how }: { attempt: number, how: Listing }
  ): { otherAttempt?: number, otherWorker?: string, otherRelease?: string } | undefined {
    const { releasedRuns } = this._options
    if (task.run) return { otherAttempt: task.run.attempt, otherWorker: task.run.session.incarnation }
    const startedAgain = task.startedInTerm && task.attempt > attempt
    const { release, releasedWorker } = releasedRuns.find(task.name, startedAgain ? task.attempt : attempt)
    if (startedAgain) return { otherAttempt: task.attempt, otherWorker: releasedWorker, otherRelease: release }
    // The same start, carried out again by another incarnation.
    if (release === RELEASES.ended) return { otherAttempt: attempt, otherWorker: releasedWorker, otherRelease: release }
    // The tasks of a gang are done together.
    if (how === 'running' && task.state === TASK_STATES.done && !task.step.spec.gang) return {}
  }
}
