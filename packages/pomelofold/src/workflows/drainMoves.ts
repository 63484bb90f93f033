/**
 * Which tasks to move off a worker that is leaving.
 *
 * Load pattern: many workers are taken away at short notice while tasks of all lengths run there. A task that
 * ends in time is left alone. One that does not is stopped where little is lost by that: it saves a
 * checkpoint, or it has run for less time than would be spent on waiting for its worker to leave.
 *
 * @module
 */

import type { Run } from './workflowRuntime.js'

/** Time that a run still needs, in milliseconds: by its progress where that is known, else by its estimate. */
export function remainingRunMs (run: Run, nowMs: number): number {
  const { percent, progressedMs, startedMs, task } = run
  if (percent > 0) return (progressedMs - startedMs) * (100 - percent) / percent - (nowMs - progressedMs)
  return (task?.step.spec.estimateMs ?? 0) - (nowMs - startedMs)
}

/** True for a run that is better moved now, when its worker leaves at `leavesAtMs`. */
export function shouldMoveRun (run: Run, { leavesAtMs, nowMs }: { leavesAtMs: number, nowMs: number }): boolean {
  const { spec } = run.task!.step
  if (spec.longRunning) return true
  const leftMs = leavesAtMs - nowMs
  if (leftMs <= 0 || remainingRunMs(run, nowMs) <= leftMs) return false
  return spec.checkpointing || nowMs - run.startedMs < leftMs
}
