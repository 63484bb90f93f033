/**
 * Paces tasks that use spare processor time beside tasks that serve users of their own.
 *
 * Load pattern: long-running tasks with a latency target share workers with tasks that take whatever is left.
 * How much these disturb depends on both and changes within seconds, so each worker is steered by what its
 * serving tasks report: down by a factor while one of them is near its target, up in small steps while all
 * are well below. Where a target is missed though nothing is left running beside it, pacing is not the cure,
 * and the paced tasks get a little time again.
 *
 * @module
 */

import type { RunHost } from './runHost.js'
import type { Run } from './workflowRuntime.js'
import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

const FULL_PACE_PERCENT = 100
/** Share of the target from which tasks are slowed, and below which they are quickened. */
const SLOW_DOWN_RATIO = 0.9
const SPEED_UP_RATIO = 0.7
/** Factor of a step down: three steps, of one look each, stop tasks that ran in full. */
const SLOW_DOWN_FACTOR = 0.4
/** Lowest pace above standing still, in percent. */
const MIN_PACE_PERCENT = 10
/** Step up for each look, in percent. */
const SPEED_UP_PERCENT = 15
/** Least time between two steps at a worker, in milliseconds: what it reports covers the last half second. */
const MIN_ADJUST_INTERVAL_MS = 500
/** Time at a standstill after which a missed target has another cause, in milliseconds. */
const MAX_STOPPED_MS = 2_000
/** Pace while targets are missed for another cause, in percent, and how long it is kept, in milliseconds. */
const OTHER_CAUSE_PACE_PERCENT = 25
const OTHER_CAUSE_PACE_MS = 3_000

interface WorkerPace {
  percent: number
  adjustedMs: number
  /** Time at which the tasks came to a standstill. */
  stoppedMs: number | undefined
  /** No step down before then. */
  noSlowDownUntilMs: number
}

/** Options of a {@link SpareCpuPacer}. */
export interface SpareCpuPacerOptions {
  timers: Timers
  log: EventLog
  /** Sets the pace of a run. */
  pace: (run: Run, percent: number) => void
}

/** True for runs that use spare processor time. */
export function isSpareCpuRun (run: Run): boolean {
  return run.task?.step.spec.usesSpareCpu ?? false
}

/** True for runs that serve users of their own within a target. */
export function isServingRun (run: Run): boolean {
  return (run.task?.step.spec.latencyTargetMs ?? 0) > 0
}

/** Keeps a pace for each worker. */
export class SpareCpuPacer {
  private readonly _options: SpareCpuPacerOptions
  private readonly _paces = new Map<string, WorkerPace>()

  constructor (options: SpareCpuPacerOptions) {
    this._options = options
  }

  /** Takes in what a worker has just reported of its runs. */
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
