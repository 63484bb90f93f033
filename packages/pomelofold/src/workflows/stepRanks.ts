/**
 * Ranks the steps of one priority, and of one team where there are teams.
 *
 * Load pattern: bursts of which not every workflow can still meet its objective, with steps of up to some dozens of tasks and
 * estimates of run times that are wrong by a factor. Room for a workflow that can only be late is taken from one that can be
 * in time.
 *
 * @module
 */

import type { ReadyStep } from './readyStep.js'
import type { StepRuntime, WorkflowRuntime } from './workflowRuntime.js'
import type { WorkflowStep } from '../protocol/workflows.js'

/** Multiple of the objective until which a workflow is late but still useful to its caller. */
const LATE_FACTOR = 3
/** Difference of slack below which nearly finished workflows come first, in milliseconds. */
const SLACK_RESOLUTION_MS = 200
/** Wait from which a step comes first, whatever its workflow can still reach, in milliseconds. */
const MAX_WAIT_MS = 30_000

/** What a workflow can still reach; lower comes first. */
const REACH = { inTime: 0, late: 1, neither: 2 } as const

/** Current times, and how far estimates are off. */
export interface RankContext {
  /** Time of the monotonic clock, in milliseconds. */
  nowMs: number
  /** Date, in milliseconds since the Unix epoch. */
  wallClockMs: number
  /** Run time over estimate of the queue's tasks, as observed. */
  runTimeFactor: (queue: string) => number
}

/** Rank of a step: compared number by number, lowest first. */
export type StepRank = readonly number[]

/** Ways to rank steps. */
export const STEP_ORDERS = {
  /** First submitted, first placed. */
  submission: ({ step }: ReadyStep): StepRank => [step.workflow.record.submittedAtMs],
  /** By what the workflow can still reach, then by the time that it can still lose. */
  slack: rankBySlack
} as const satisfies Record<string, (ready: ReadyStep, context: RankContext) => StepRank>

/** Compares two ranks. */
export function compareRanks (a: StepRank, b: StepRank): number {
  for (let index = 0; index < a.length; index++) if (a[index] !== b[index]) return a[index] - b[index]
  return 0
}

function rankBySlack ({ step, queue }: ReadyStep, { nowMs, wallClockMs, runTimeFactor }: RankContext): StepRank {
  const { workflow, spec } = step
  const sinceMs = workflow.dueAtMs(step.occurrence) ?? workflow.record.submittedAtMs
  const elapsedMs = wallClockMs - sinceMs
  if (spec.longRunning) return [REACH.inTime, slackRank(queue.targetMs - elapsedMs), 0, sinceMs]
  if (nowMs - (step.readyMs ?? nowMs) > MAX_WAIT_MS) return [REACH.inTime, Number.NEGATIVE_INFINITY, 0, sinceMs]
  const factor = runTimeFactor(queue.name)
  const { longestMs, remainingMs } = pathsOf(workflow)
  const objectiveMs = queue.stretch * longestMs * factor + queue.targetMs
  const slackMs = objectiveMs - elapsedMs - remainingMs[step.index] * factor
  if (slackMs >= 0) return [REACH.inTime, slackRank(slackMs), openTasks(step), sinceMs]
  const lateSlackMs = slackMs + (LATE_FACTOR - 1) * objectiveMs
  return [lateSlackMs >= 0 ? REACH.late : REACH.neither, slackRank(Math.abs(lateSlackMs)), openTasks(step), sinceMs]
}

function slackRank (slackMs: number): number {
  return Math.floor(slackMs / SLACK_RESOLUTION_MS)
}

/** Number of unfinished tasks of the step and of those after it. */
function openTasks ({ workflow, occurrence }: StepRuntime): number {
  return workflow.steps(occurrence)!.reduce((sum, { tasks, doneCount }) => sum + tasks.length - doneCount, 0)
}

interface Paths {
  /** Longest chain of the workflow, by estimates, in milliseconds. */
  longestMs: number
  /** Longest chain that starts with each step, in milliseconds. */
  remainingMs: number[]
}

const knownPaths = new WeakMap<WorkflowStep[], Paths>()

function pathsOf ({ record: { steps } }: WorkflowRuntime): Paths {
  let paths = knownPaths.get(steps)
  if (!paths) {
    const remainingMs = steps.map(({ estimateMs }) => estimateMs)
    for (let index = steps.length - 1; index >= 0; index--) {
      for (const before of steps[index].after) {
        remainingMs[before] = Math.max(remainingMs[before], steps[before].estimateMs + remainingMs[index])
      }
    }
    paths = { longestMs: Math.max(...remainingMs), remainingMs }
    knownPaths.set(steps, paths)
  }
  return paths
}
