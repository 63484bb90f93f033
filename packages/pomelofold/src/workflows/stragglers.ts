/**
 * Finds stragglers: tasks that are worth running a second time in parallel.
 *
 * Load pattern: short urgent steps of equal tasks, where one task is late because its worker is slow, stalled or
 * unreachable. Only steps marked as speculative are considered. Their tasks may run twice, so a copy need not
 * wait until the first run is known to have ended.
 *
 * @module
 */

import { isSuspect, wasYoungAtLoss } from './crashTracker.js'
import { RUN_STATES, TASK_STATES, type StepRuntime, type Task } from './workflowRuntime.js'

/** Share of a step's tasks that must be done before the run times of the others are compared with theirs. */
const MIN_DONE_SHARE = 0.5
/** A run is late when it takes this many times as long as the longest finished run of its step. */
const LAG_FACTOR = 1.6
/** Minimum time by which a late run exceeds the longest finished run, in milliseconds: covers the report of an end and one poll. */
const LAG_MIN_MS = 300

/** Tasks of a speculative step whose run is late, stopping or at an unreachable worker. A task has at most one copy at a time. */
export function findStragglers (step: StepRuntime, nowMs: number): Task[] {
  const { speculative, gang, longRunning } = step.spec
  if (!speculative || gang || longRunning || step.done) return []
  const compared = step.doneCount >= step.tasks.length * MIN_DONE_SHARE
  const limitMs = compared ? Math.max(step.longestRunMs * LAG_FACTOR, step.longestRunMs + LAG_MIN_MS) : Number.POSITIVE_INFINITY
  return step.tasks.filter(task => {
    const { state, run, supersededRuns, unrecordedCrashes } = task
    if (state !== TASK_STATES.running || !run || supersededRuns.length > 0 || unrecordedCrashes > 0) return false
    // The copy of a task that has crashed its worker would crash the next one.
    if (run.session.lossUnexplained && wasYoungAtLoss(run)) return false
    if (isSuspect(task)) return run.session.crashed
    return run.state === RUN_STATES.stopping || !run.session.reachable || nowMs - run.startedMs > limitMs
  })
}
