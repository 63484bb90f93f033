/**
 * Crashes of workers as they are recorded with the tasks that ran there.
 *
 * @module
 */

import { z } from 'zod'

/** Stored form of the crash of a worker on which a task ran. */
export const crashRecordSchema = z.object({
  /** Name of the worker. */
  worker: z.string(),
  /** Attempt whose run ended with the worker; absent when it is not known. */
  attempt: z.number().int().positive().optional(),
  /** Date of the crash, in milliseconds since the Unix epoch. */
  atMs: z.number(),
  /** Time from the start of the run until the loss of its worker was noticed, in milliseconds. */
  ageMs: z.number().nonnegative(),
  /** Weight of the crash as evidence against the task. */
  weight: z.number().positive()
})

/** Stored form of the crash of a worker on which a task ran. */
export type CrashRecord = z.infer<typeof crashRecordSchema>
