/**
 * Finds runs that make no progress.
 *
 * Load pattern: a worker that answers and renews its lease while its tasks make no progress. Its runs never end
 * by themselves, and the worker appears busy. Time is measured by the worker's clock from report to report, so that reports
 * which are handled late do not make a healthy worker appear stalled.
 *
 * @module
 */

import { RUN_STATES, type Run } from './workflowRuntime.js'

/** Minimum time without progress before a run counts as stalled, in milliseconds. */
const STALL_MIN_MS = 1_200
/** Time without progress before a run counts as stalled, in percent of its estimated run time. */
const STALL_ESTIMATE_PERCENT = 25
/** Progress of a finished run, and pace of a run that is not slowed down. */
const FULL_PERCENT = 100

/**
 * Stalled runs among the runs of one worker, which reported them at `clockMs` of its clock. Empty while any run of the worker makes
 * progress, since the worker then works.
 */
export function findStalledRuns (runs: Iterable<Run>, clockMs: number): Run[] {
  const stalled: Run[] = []
  for (const run of runs) {
    if (!mustProgress(run)) continue
    const { estimateMs } = run.task!.step.spec
    const limitMs = Math.max(STALL_MIN_MS, STALL_ESTIMATE_PERCENT * estimateMs / FULL_PERCENT)
    if (run.progressedClockMs === undefined || clockMs - run.progressedClockMs < limitMs) return []
    stalled.push(run)
  }
  return stalled
}

/** True for runs whose reported percentage must increase: not in a gang, not long-running, not on spare CPU and not slowed down. */
function mustProgress ({ task, state, percent, pacePercent }: Run): boolean {
  if (!task || state !== RUN_STATES.running || percent >= FULL_PERCENT) return false
  if (pacePercent !== undefined && pacePercent < FULL_PERCENT) return false
  const { gang, longRunning, usesSpareCpu } = task.step.spec
  return !gang && !longRunning && !usesSpareCpu
}
