/**
 * Decides in which order blocked steps query the eligibility service.
 *
 * Load pattern: many more steps wait for a call than daemons can make, while workers with serving tasks are lost. A step of
 * long-running tasks that lost some has no end in sight, so it comes first; the others come in the order of their waits, with a
 * handicap for less urgent queues, so that the daemons are not used by urgent steps alone. A step whose last query started
 * nothing waits from then on, since more steps than daemons could ask in vain for ever. Steps beyond their team's budget come last.
 *
 * @module
 */

import type { BlockedStep } from './readyStep.js'
import type { StepRuntime } from './workflowRuntime.js'

/**
 * Handicap of a queue for each step of its priority when queries compete for daemons, in milliseconds: a step that has
 * waited this much longer comes before one of the next more urgent queue.
 */
const PRIORITY_HANDICAP_MS = 2_000

/** Groups of steps; all of one group come before those of the next. */
const GROUPS = { restart: 0, other: 1, beyondBudget: 2 } as const

/** Remembers the queries of steps, and orders the steps that would query now. */
export class QueryOrder {
  private readonly _lastQueries = new WeakMap<StepRuntime, { atMs: number, waiting: number }>()

  /** Notes a query that is expected to start tasks. */
  noteQuery ({ step, waiting }: BlockedStep, nowMs: number): void {
    this._lastQueries.set(step, { atMs: nowMs, waiting })
  }

  /** The steps in the order in which they query. */
  sort (steps: BlockedStep[], nowMs: number): BlockedStep[] {
    return steps.map(blocked => ({ blocked, group: groupOf(blocked, nowMs), turnMs: this._turnMs(blocked, nowMs) }))
      .sort((a, b) => a.group - b.group || a.turnMs - b.turnMs)
      .map(({ blocked }) => blocked)
  }

  private _turnMs ({ step, queue, waiting }: BlockedStep, nowMs: number): number {
    const last = this._lastQueries.get(step)
    const waitsSinceMs = last && waiting >= last.waiting ? last.atMs : step.readyMs ?? nowMs
    return waitsSinceMs + queue.priority * PRIORITY_HANDICAP_MS
  }
}

function groupOf (blocked: BlockedStep, nowMs: number): number {
  if (blocked.beyondBudget) return GROUPS.beyondBudget
  return hasTasksDown(blocked, nowMs) ? GROUPS.restart : GROUPS.other
}

/** True when long-running tasks of the step are down: they or others of the step have run, or they wait for longer than their objective. */
function hasTasksDown ({ step, queue }: BlockedStep, nowMs: number): boolean {
  if (!step.spec.longRunning) return false
  const waitedMs = nowMs - (step.readyMs ?? nowMs)
  return waitedMs > queue.targetMs || step.tasks.some(({ run, waitingSinceMs }) => run || waitingSinceMs !== undefined)
}
