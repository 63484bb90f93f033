/**
 * Finds tasks for which a copy is worth its cost.
 *
 * Load pattern: short urgent steps of equal tasks, of which one hangs behind the others because its worker is
 * slow, stands still or has been lost. Only steps that allow copies are looked at; for these, a copy need not
 * wait until the first run has surely ended.
 *
 * @module
 */

import { RUN_STATES, TASK_STATES, type StepRuntime, type Task } from './workflowRuntime.js'

/** Share of a step's tasks that must be done before the others are compared with them. */
const MIN_DONE_SHARE = 0.5
/** A run this many times as long as the longest of its step that is done lags behind. */
const LAG_FACTOR = 1.6
/** Least time by which a run must lag, in milliseconds: the notice of an end and a look. */
const LAG_MIN_MS = 300

/** Tasks of a step that may be copied and whose run lags behind or cannot be reached. A task has one copy at a time. */
export function findStragglers (step: StepRuntime, nowMs: number): Task[] {
  const { speculative, gang, longRunning } = step.spec
  if (!speculative || gang || longRunning || step.done) return []
  const compared = step.doneCount >= step.tasks.length * MIN_DONE_SHARE
  const limitMs = compared ? Math.max(step.longestRunMs * LAG_FACTOR, step.longestRunMs + LAG_MIN_MS) : Number.POSITIVE_INFINITY
  return step.tasks.filter(({ state, run, supersededRuns }) => {
    if (state !== TASK_STATES.running || !run || supersededRuns.length > 0) return false
    return run.state === RUN_STATES.stopping || !run.session.reachable || nowMs - run.startedMs > limitMs
  })
}
