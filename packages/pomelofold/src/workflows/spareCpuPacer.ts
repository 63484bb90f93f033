/**
 * Limits the speed of tasks that use spare CPU on workers that they share with tasks that serve requests.
 *
 * Load pattern: long-running tasks with a latency target share workers with tasks that use the remaining CPU. The
 * effect on latency depends on both kinds of tasks and changes within seconds, so the pace of each worker follows the
 * latency that its serving tasks report. The pace is multiplied by a factor below 1 while one task is near its target,
 * and increased in small steps while all are well below. When a target is still missed with the other tasks stopped,
 * they are not the cause, and they run at a low pace again.
 *
 * @module
 */

import type { RunHost } from './runHost.js'
import type { Run } from './workflowRuntime.js'
import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Pace of a task that is not slowed down, in percent. */
const FULL_PACE_PERCENT = 100
/** Ratio of latency to its target from which tasks are slowed down, and below which they are sped up. */
const SLOW_DOWN_RATIO = 0.9
const SPEED_UP_RATIO = 0.7
/** Factor by which the pace is reduced. Three reductions, one per report, stop a task that ran at full pace. */
const SLOW_DOWN_FACTOR = 0.4
/** Lowest pace above zero, in percent; a lower result stops the tasks. */
const MIN_PACE_PERCENT = 10
/** Increase of the pace for each report, in percentage points. */
const SPEED_UP_PERCENT = 15
/** Minimum time between two changes of a worker's pace, in milliseconds: a reported latency covers the last half second. */
const MIN_ADJUST_INTERVAL_MS = 500
/** Time for which tasks are stopped before a missed target is attributed to another cause, in milliseconds. */
const MAX_STOPPED_MS = 2_000
/** Pace while a target is missed because of another cause, in percent, and the time for which the pace is kept, in milliseconds. */
const OTHER_CAUSE_PACE_PERCENT = 25
const OTHER_CAUSE_PACE_MS = 3_000

interface WorkerPace {
  percent: number
  /** Time of the last change, in milliseconds of the monotonic clock. */
  adjustedMs: number
  /** Time at which the pace became 0; undefined while it is above 0. */
  stoppedMs: number | undefined
  /** The pace is not reduced below OTHER_CAUSE_PACE_PERCENT before this time. */
  noSlowDownUntilMs: number
}

/** Options of a {@link SpareCpuPacer}. */
export interface SpareCpuPacerOptions {
  timers: Timers
  log: EventLog
  /** Sends a pace to a run, in percent of full speed. */
  pace: (run: Run, percent: number) => void
}

/** True for runs that use spare CPU. */
export function isSpareCpuRun (run: Run): boolean {
  return run.task?.step.spec.usesSpareCpu ?? false
}

/** True for runs that serve requests and have a latency target. */
export function isServingRun (run: Run): boolean {
  return (run.task?.step.spec.latencyTargetMs ?? 0) > 0
}

/** Keeps one pace for each worker, which applies to all of its runs that use spare CPU. */
export class SpareCpuPacer {
  private readonly _options: SpareCpuPacerOptions
  private readonly _paces = new Map<string, WorkerPace>()

  constructor (options: SpareCpuPacerOptions) {
    this._options = options
  }

  /** Adjusts the pace of a worker after a report. `runs` are all runs of the worker. */
  observe ({ incarnation }: RunHost, runs: Run[]): void {
    const paced = runs.filter(isSpareCpuRun)
    const serving = runs.filter(run => isServingRun(run) && run.reading !== undefined)
    if (paced.length === 0) {
      this._paces.delete(incarnation)
      return
    }
    const pace = this._paces.get(incarnation) ?? {
      percent: FULL_PACE_PERCENT, adjustedMs: Number.NEGATIVE_INFINITY, stoppedMs: undefined, noSlowDownUntilMs: 0
    }
    this._paces.set(incarnation, pace)
    const latencyRatio = Math.max(0, ...serving.map(run => run.reading! / run.task!.step.spec.latencyTargetMs))
    this._adjustPace(incarnation, pace, latencyRatio)
    for (const run of paced) if (run.pacePercent !== pace.percent) this._options.pace(run, pace.percent)
  }

  private _adjustPace (incarnation: string, pace: WorkerPace, latencyRatio: number): void {
    const { timers, log } = this._options
    const nowMs = timers.now()
    if (nowMs - pace.adjustedMs < MIN_ADJUST_INTERVAL_MS) return
    const percent = this._nextPercent(pace, latencyRatio, nowMs)
    if (percent === pace.percent) return
    log.event('info', 'worker.paced', { worker: incarnation, fromPercent: pace.percent, percent, load: Number(latencyRatio.toFixed(2)) })
    pace.percent = percent
    pace.adjustedMs = nowMs
    pace.stoppedMs = percent === 0 ? nowMs : undefined
  }

  private _nextPercent (pace: WorkerPace, latencyRatio: number, nowMs: number): number {
    const { percent, stoppedMs, noSlowDownUntilMs } = pace
    if (latencyRatio < SPEED_UP_RATIO) return Math.min(FULL_PACE_PERCENT, percent + SPEED_UP_PERCENT)
    if (latencyRatio < SLOW_DOWN_RATIO) return percent
    if (stoppedMs !== undefined) {
      if (nowMs - stoppedMs < MAX_STOPPED_MS) return 0
      pace.noSlowDownUntilMs = nowMs + OTHER_CAUSE_PACE_MS
      return OTHER_CAUSE_PACE_PERCENT
    }
    if (nowMs < noSlowDownUntilMs) return Math.min(percent, OTHER_CAUSE_PACE_PERCENT)
    const lower = Math.floor(percent * SLOW_DOWN_FACTOR)
    return lower < MIN_PACE_PERCENT ? 0 : lower
  }
}
