/**
 * Decides whether a team's submission is accepted, or refused at once because it cannot be served.
 *
 * Load pattern: a team submits many times its number of workflows a second. What is beyond that number runs only in the room that
 * others leave, so its backlog grows, and the last workflows would end long after their callers need them. A submission
 * within the team's number is never refused for load: its caller loses more by a refusal than by a wait.
 *
 * @module
 */

import { fitsCap } from './teamCaps.js'
import type { TeamBacklog } from '../protocol/teams.js'
import type { Resources, Workflow } from '../protocol/workflows.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { QueueConfig, TeamConfig } from '../seams/workflowUpstreams.js'

/** Age from which a backlog is too old to refuse anything for it, in milliseconds. */
const BACKLOG_MAX_AGE_MS = 1_500
const MS_PER_S = 1_000
/** Objectives within which a late result is still of use. */
const LATE_OBJECTIVES = 3
/** Shortest retry delay, in milliseconds: the callers' header has whole seconds. */
const RETRY_MIN_MS = 1_000
/** Longest retry delay, in milliseconds: floods last for seconds, and a caller told to wait longer gives up. */
const RETRY_MAX_MS = 8_000
/** Retry delays are spread over this share of their length, so that the refused callers of one moment do not return together. */
const RETRY_SPREAD = 0.5

/** Outcomes of the decision. */
export const ADMISSIONS = {
  accepted: 'accepted',
  /** The team's backlog is longer than the workflow can wait. */
  backlog: 'backlog',
  /** A gang is larger than the team's cap. */
  neverFits: 'neverFits'
} as const

/** A submission that is refused: why, and when its caller should return. */
export interface RefusedAdmission {
  outcome: typeof ADMISSIONS.backlog | typeof ADMISSIONS.neverFits
  detail: string
  retryAfterMs: number
}

/** Decision about a submission. */
export type Admission = { outcome: typeof ADMISSIONS.accepted } | RefusedAdmission

/** Options of {@link admit}. */
export interface AdmitOptions {
  workflow: Workflow
  team: TeamConfig
  /** The team's backlog and its age, in milliseconds; undefined while the leader has reported none. */
  known: { backlog: TeamBacklog, ageMs: number } | undefined
  /** Longest useful wait of the workflow, in milliseconds: after it, its result is of no use to the caller. */
  usefulForMs: number
  random: RandomSource
}

/** Decides about a submission. Without a recent backlog, all that fits the team's cap is accepted. */
export function admit ({ workflow, team, known, usefulForMs, random }: AdmitOptions): Admission {
  const tooLarge = findTooLargeStep(workflow, team.cap)
  if (tooLarge) return { outcome: ADMISSIONS.neverFits, detail: tooLarge, retryAfterMs: RETRY_MAX_MS }
  if (!known || known.ageMs > BACKLOG_MAX_AGE_MS || !known.backlog.beyondBudget) return { outcome: ADMISSIONS.accepted }
  const waitMs = expectedWaitMs(known.backlog)
  if (waitMs <= usefulForMs) return { outcome: ADMISSIONS.accepted }
  const retryAfterMs = Math.min(RETRY_MAX_MS, Math.max(RETRY_MIN_MS, waitMs - usefulForMs)) * (1 - RETRY_SPREAD * random.next())
  const detail = `the team has submitted more than its share, and ${known.backlog.waiting} of its workflows wait`
  return { outcome: ADMISSIONS.backlog, detail, retryAfterMs: Math.max(RETRY_MIN_MS, retryAfterMs) }
}

/** Time until the last workflow of the backlog starts, if it goes on to drain as lately, in milliseconds. */
export function expectedWaitMs ({ waiting, startsPerS, oldestWaitMs }: TeamBacklog): number {
  if (waiting === 0) return 0
  return Math.max(oldestWaitMs, startsPerS > 0 ? waiting / startsPerS * MS_PER_S : 0)
}

/** Time for which a workflow of a queue can wait until even its late result is of no use to its caller, in milliseconds. */
export function usefulWaitMs ({ steps }: Workflow, { stretch, targetMs }: Pick<QueueConfig, 'stretch' | 'targetMs'>): number {
  const endsMs: number[] = []
  for (const { after, estimateMs } of steps) endsMs.push(estimateMs + Math.max(0, ...after.map(before => endsMs[before])))
  const criticalPathMs = Math.max(...endsMs)
  return Math.max(0, LATE_OBJECTIVES * (stretch * criticalPathMs + targetMs) - criticalPathMs)
}

/** Describes a step that can never start under the cap; undefined when there is none. */
function findTooLargeStep ({ steps }: Workflow, cap: Resources): string | undefined {
  const index = steps.findIndex(({ size, tasks, gang }) => !fitsCap({ cap, size, tasks, gang }))
  if (index < 0) return
  const { size, tasks } = steps[index]
  return `step ${index} needs ${tasks} tasks of ${size.cpuMillis} cpuMillis, ${size.memoryMb} memoryMb and ${size.accelerators} ` +
    `accelerators at once, and the team may use ${cap.cpuMillis}, ${cap.memoryMb} and ${cap.accelerators} (0: any number)`
}
