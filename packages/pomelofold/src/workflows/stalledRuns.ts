/**
 * Finds runs that stand still.
 *
 * Load pattern: a worker that answers and holds its leases while its tasks make no progress. Its runs never
 * end by themselves, and it looks busy.
 *
 * @module
 */

import { RUN_STATES, type Run } from './workflowRuntime.js'

/** Time without progress after which a run counts as standing still, in milliseconds. */
const STALL_MIN_MS = 1_200
/** Time without progress, as a multiple of the time that one percent of the estimate takes. */
const STALL_ESTIMATE_PERCENT = 25
/** Percent at which a run is done. */
const FULL_PERCENT = 100

/** The runs of one worker that stand still. Empty while any other run there advances, since the worker then works. */
export function findStalledRuns (runs: Iterable<Run>, nowMs: number): Run[] {
  const stalled: Run[] = []
  for (const run of runs) {
    if (!mustProgress(run)) continue
    const { estimateMs } = run.task!.step.spec
    const limitMs = Math.max(STALL_MIN_MS, STALL_ESTIMATE_PERCENT * estimateMs / FULL_PERCENT)
    if (nowMs - run.progressedMs < limitMs) return []
    stalled.push(run)
  }
  return stalled
}

/** Runs whose percent must grow: not those that wait for a gang, last, take spare time or are paced. */
function mustProgress ({ task, state, percent, pacePercent }: Run): boolean {
  if (!task || state !== RUN_STATES.running || percent >= FULL_PERCENT) return false
  if (pacePercent !== undefined && pacePercent < FULL_PERCENT) return false
  const { gang, longRunning, usesSpareCpu } = task.step.spec
  return !gang && !longRunning && !usesSpareCpu
}
