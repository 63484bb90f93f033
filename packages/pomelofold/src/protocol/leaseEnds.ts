/**
 * Ends of the leases of lost workers, as schedulers keep them in the store and daemons report them to each other.
 *
 * @module
 */

import { z } from 'zod'

/** The end of the lease of a worker that does not answer. */
export const leaseEndSchema = z.object({
  /** Incarnation of the worker. */
  worker: z.string(),
  /** Identifies this loss of the worker: its lease has not been extended since. */
  loss: z.string(),
  /** Time until all runs on the worker have ended, in milliseconds from when the message was made. */
  endsInMs: z.number().nonnegative(),
  /** Tasks whose start the worker may not have carried out: a later incarnation may carry it out late. */
  unconfirmedTasks: z.array(z.string()).default([]),
  /** Time until the last of these starts is carried out or not at all, in milliseconds. */
  startsEndInMs: z.number().nonnegative().default(0),
  /** Time until every run has ended that such a start begins at a later incarnation which does not report, in milliseconds. */
  runsEndInMs: z.number().nonnegative().default(0),
  /** True when a later incarnation of the worker is known. */
  restarted: z.boolean().default(false),
  /** True when the next incarnation of the worker has answered since: it refuses these starts. */
  nextAnswered: z.boolean().default(false)
})

/** The end of the lease of a worker that does not answer. */
export type LeaseEnd = z.infer<typeof leaseEndSchema>
