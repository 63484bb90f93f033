/**
 * Keys and schemas of the jobs stored in the platform's service.
 *
 * @module
 */

import { z } from 'zod'
import { crashRecordSchema } from '../../protocol/crashes.js'
import { JOB_STATES, jobSpecSchema } from '../../protocol/jobs.js'

/** Keys of the jobs of one failure domain. Those that end in a slash are prefixes. */
export const JOB_KEYS = {
  /** Fence of the placer's writes: a commit fails when another placer has changed this key. */
  placer: (failureDomain: string): string => `pomelofold/placers/${failureDomain}`,
  records: (failureDomain: string): string => `pomelofold/jobs/${failureDomain}/`,
  progress: (failureDomain: string): string => `pomelofold/jobs-progress/${failureDomain}/`,
  /** Lists of cancelled jobs. */
  cancels: (failureDomain: string): string => `pomelofold/jobs-cancelled/${failureDomain}/`
} as const

/** An accepted job. Written before the submission is acknowledged, and once more without payloads when the job has ended. */
export const jobRecordSchema = z.object({
  jobId: z.string(),
  spec: jobSpecSchema,
  digest: z.string(),
  acceptedAtMs: z.number()
})

/** An accepted job. */
export type JobRecord = z.infer<typeof jobRecordSchema>

/** Progress of a job: sets of task indexes as ranges. A task in none of the sets waits, or runs on the worker that lists it. */
export const jobProgressSchema = z.object({
  finished: z.string().default(''),
  failed: z.string().default(''),
  unknown: z.string().default(''),
  /** At-most-once jobs only: tasks that may have been sent to a worker, by worker. */
  intents: z.record(z.string(), z.string()).default({}),
  checkpoints: z.record(z.string(), z.string()).default({}),
  /** Crashes of workers that count against a task, by its index. */
  crashes: z.record(z.string(), z.array(crashRecordSchema)).default({}),
  state: z.enum([JOB_STATES.done, JOB_STATES.failed, JOB_STATES.cancelled]).optional(),
  reason: z.string().optional(),
  firstStartAtMs: z.number().optional(),
  endedAtMs: z.number().optional()
})

/** Progress of a job. */
export type JobProgress = z.infer<typeof jobProgressSchema>

/** A list of cancelled jobs. */
export const cancelListSchema = z.object({ atMs: z.number(), jobIds: z.array(z.string()) })
