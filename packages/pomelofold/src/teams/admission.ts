/**
 * Decides whether a team's submission is accepted, or refused at once because it cannot be served.
 *
 * Load pattern: a team submits many times its number of workflows a second. What is beyond that number runs only in the room that
 * others leave, so its backlog grows, and the last workflows would end long after their callers need them. A submission
 * within the team's number is never refused for load: its caller loses more by a refusal than by a wait.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'
import type { TeamConfig } from '../seams/workflowUpstreams.js'
import { addResources, NO_RESOURCES, type Resources, type Workflow } from '../protocol/workflows.js'

/** Age from which a backlog is too old to refuse anything for it, in milliseconds. */
const BACKLOG_MAX_AGE_MS = 1_500
const MS_PER_S = 1_000
/** Shortest retry delay, in milliseconds: the callers' header has whole seconds. */
const RETRY_MIN_MS = 1_000
/** Longest retry delay, in milliseconds: floods last for seconds, and a caller told to wait longer gives up. */
const RETRY_MAX_MS = 8_000
/** Retry delays are spread over this share of their length, so that the refused callers of one moment do not return together. */
const RETRY_SPREAD = 0.5

/** What the leader knows of the workflows that a team has submitted beyond its number. */
export interface TeamBacklog {
  /** True when a workflow that is submitted now would be beyond the team's number. */
  beyondBudget: boolean
  /** Number of the team's workflows beyond its number of which no task has started. */
  waiting: number
  /** Number of such workflows that have started in a second, lately. */
  startsPerS: number
  /** Wait of the oldest of them, in milliseconds; 0 without one. */
  oldestWaitMs: number
}

/** Outcomes of the decision. */
export const ADMISSIONS = {
  accepted: 'accepted',
  /** The team's backlog is longer than the workflow can wait. */
  backlog: 'backlog',
  /** A task, or a gang as a whole, is larger than the team's cap. */
  neverFits: 'neverFits'
} as const

/** Decision about a submission. */
export type Admission =
  { outcome: typeof ADMISSIONS.accepted } |
  { outcome: typeof ADMISSIONS.backlog | typeof ADMISSIONS.neverFits, detail: string, retryAfterMs: number }

/** Options of {@link admit}. */
export interface AdmitOptions {
  workflow: Workflow
  team: TeamConfig
  /** The team's backlog and its age, in milliseconds; undefined while the leader has told none. */
  known: { backlog: TeamBacklog, ageMs: number } | undefined
  /** Longest useful wait of the workflow, in milliseconds: after it, its result is of no use to the caller. */
  usefulWaitMs: number
  random: RandomSource
}

/** Decides about a submission. Without a recent backlog, all that fits the team's cap is accepted. */
export function admit ({ workflow, team, known, usefulWaitMs, random }: AdmitOptions): Admission {
  const tooLarge = findTooLargeStep(workflow, team.cap)
  if (tooLarge) return { outcome: ADMISSIONS.neverFits, detail: tooLarge, retryAfterMs: RETRY_MAX_MS }
  if (!known || known.ageMs > BACKLOG_MAX_AGE_MS || !known.backlog.beyondBudget) return { outcome: ADMISSIONS.accepted }
  const waitMs = expectedWaitMs(known.backlog)
  if (waitMs <= usefulWaitMs) return { outcome: ADMISSIONS.accepted }
  const retryAfterMs = Math.min(RETRY_MAX_MS, Math.max(RETRY_MIN_MS, waitMs - usefulWaitMs)) * (1 - RETRY_SPREAD * random.next())
  const detail = `the team has submitted more than its share, and ${known.backlog.waiting} of its workflows wait`
  return { outcome: ADMISSIONS.backlog, detail, retryAfterMs: Math.max(RETRY_MIN_MS, retryAfterMs) }
}

/** Time until the last workflow of the backlog starts, if it goes on to drain as lately, in milliseconds. */
export function expectedWaitMs ({ waiting, startsPerS, oldestWaitMs }: TeamBacklog): number {
  if (waiting === 0) return 0
  return Math.max(oldestWaitMs, startsPerS > 0 ? waiting / startsPerS * MS_PER_S : 0)
}

/** Describes a step that can never start under the cap; undefined when there is none. */
function findTooLargeStep ({ steps }: Workflow, cap: Resources): string | undefined {
  for (const [index, { size, gang, tasks }] of steps.entries()) {
    const needed = addResources(NO_RESOURCES, size, gang ? tasks : 1)
    for (const name of ['cpuMillis', 'memoryMb', 'accelerators'] as const) {
      if (cap[name] > 0 && needed[name] > cap[name]) {
        return `step ${index} needs ${needed[name]} ${name} at once, and the team may use ${cap[name]}`
      }
    }
  }
}
