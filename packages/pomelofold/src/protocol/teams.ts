/**
 * What daemons tell each other about teams.
 *
 * @module
 */

import { z } from 'zod'

/** What the leader knows of the workflows that a team has submitted beyond its number. */
export const teamBacklogSchema = z.object({
  /** True when a workflow that is submitted now would be beyond the team's number. */
  beyondBudget: z.boolean(),
  /** Number of the team's workflows beyond its number of which no task has started. */
  waiting: z.number().int().nonnegative(),
  /** Number of such workflows that have started in a second, lately. */
  startsPerS: z.number().nonnegative(),
  /** Wait of the oldest of them, in milliseconds; 0 without one. */
  oldestWaitMs: z.number().nonnegative()
})

/** What the leader knows of the workflows that a team has submitted beyond its number. */
export type TeamBacklog = z.infer<typeof teamBacklogSchema>
