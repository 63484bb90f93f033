/**
 * Decides which runs to move off a draining worker.
 *
 * Load pattern: many workers are removed at short notice while they run tasks of all lengths. A run that ends
 * before its worker leaves is not moved. Another run is stopped when that loses little work: its task saves
 * checkpoints, or the run has taken less time than remains until the worker leaves. Runs of long-running tasks, which
 * do not end by themselves, are moved at once.
 *
 * @module
 */

import type { Run } from './workflowRuntime.js'

/** Estimated remaining run time in milliseconds, from the run's progress when it has reported any, else from the step's estimate. */
export function remainingRunMs (run: Run, nowMs: number): number {
  const { percent, progressedMs, startedMs, task } = run
  if (percent > 0) return (progressedMs - startedMs) * (100 - percent) / percent - (nowMs - progressedMs)
  return (task?.step.spec.estimateMs ?? 0) - (nowMs - startedMs)
}

/** True if the run should be stopped now and started elsewhere, given that its worker leaves at `leavesAtMs`. */
export function shouldMoveRun (run: Run, { leavesAtMs, nowMs }: { leavesAtMs: number, nowMs: number }): boolean {
  const { spec } = run.task!.step
  if (spec.longRunning) return true
  const remainingMs = leavesAtMs - nowMs
  if (remainingMs <= 0 || remainingRunMs(run, nowMs) <= remainingMs) return false
  return spec.checkpointing || nowMs - run.startedMs < remainingMs
}
