/**
 * Crashes of workers as they are recorded with the tasks that ran there.
 *
 * @module
 */

import { z } from 'zod'

/** What is known of a start that its worker had not confirmed when it crashed. */
export const UNCONFIRMED_STARTS = {
  /** The crash broke it off, and no other job is likely to have caused the crash: it may well have been carried out. */
  broken: 'broken',
  /** The crash is likely to have another cause, and may have come before the start was carried out. */
  unknown: 'unknown',
  /** It had received no answer in time before the crash: it may not have reached the worker at all. */
  unanswered: 'unanswered'
} as const

/** One of {@link UNCONFIRMED_STARTS}. */
export type UnconfirmedStart = typeof UNCONFIRMED_STARTS[keyof typeof UNCONFIRMED_STARTS]

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
  weight: z.number().positive(),
  /** Absent when the worker had confirmed the start, so that the task was running there. Kinds of later versions are read as unknown. */
  unconfirmedStart: z.enum(UNCONFIRMED_STARTS).optional().catch(UNCONFIRMED_STARTS.unknown)
})

/** Stored form of the crash of a worker on which a task ran. */
export type CrashRecord = z.infer<typeof crashRecordSchema>
