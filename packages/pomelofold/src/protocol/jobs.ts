/**
 * Jobs, which run tasks on workers: batch jobs, and gangs, whose tasks must all run at once.
 *
 * @module
 */

import { z } from 'zod'
import { capacitySchema } from './vms.js'

/** Maximum number of tasks in one job. */
export const MAX_TASKS_PER_JOB = 10_000

/** Kinds of jobs. Each has its own placement policy. */
export const JOB_KINDS = {
  /** Each task starts as soon as a worker has capacity for it. */
  batch: 'batch',
  /** Either all tasks start, or none. */
  gang: 'gang',
  /** Long-running service, declared in the manifest. A task that is lost is started again. */
  service: 'service'
} as const

/** Priority classes of jobs, most urgent first. */
export const JOB_CLASSES = { urgent: 'urgent', normal: 'normal', overnight: 'overnight' } as const

const nameSchema = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/, 'must be 1 to 63 letters, digits, dots, underscores or dashes, starting with a letter or digit')

/** A group of identical tasks. */
export const taskGroupSchema = z.strictObject({
  count: z.number().int().min(1).max(MAX_TASKS_PER_JOB),
  size: capacitySchema.extend({
    cpus: z.number().positive(),
    memoryMb: z.number().positive(),
    accelerators: z.number().int().nonnegative().default(0)
  }),
  /** Expected run time in milliseconds. */
  expectedMs: z.number().positive(),
  /** Text that is passed to the worker. The scheduler does not interpret it. */
  payload: z.string().max(65_536).default('')
})

/** Body of `POST /v1/jobs`. */
export const jobSpecSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum([JOB_KINDS.batch, JOB_KINDS.gang]),
  class: z.enum(JOB_CLASSES).default(JOB_CLASSES.normal),
  team: nameSchema,
  /** Jobs of the same family are expected to have similar sizes and run times. Defaults to the job's name. */
  family: nameSchema.optional(),
  /** Location that all workers of a gang must share. */
  within: z.enum(['failureDomain', 'rack']).default('failureDomain'),
  /** True when a task whose worker is lost must not run again. Its outcome is reported as unknown. */
  atMostOnce: z.boolean().default(false),
  tasks: z.array(taskGroupSchema).min(1).max(100)
}).refine(job => job.tasks.reduce((sum, group) => sum + group.count, 0) <= MAX_TASKS_PER_JOB,
  { path: ['tasks'], message: `a job has at most ${MAX_TASKS_PER_JOB} tasks` })

/** A submitted job with its defaults filled in. */
export type JobSpec = z.infer<typeof jobSpecSchema>

/** States of a job. */
export const JOB_STATES = {
  accepted: 'accepted',
  running: 'running',
  done: 'done',
  failed: 'failed',
  cancelled: 'cancelled'
} as const

/** State of a job as callers and operators see it. */
export const jobViewSchema = z.object({
  jobId: z.string(),
  spec: jobSpecSchema,
  failureDomain: z.string(),
  state: z.enum(JOB_STATES),
  acceptedAtMs: z.number(),
  tasks: z.object({
    total: z.number().int(),
    waiting: z.number().int(),
    running: z.number().int(),
    finished: z.number().int(),
    failed: z.number().int(),
    unknown: z.number().int()
  }),
  /** Why the job is waiting, and under which conditions it could start. */
  waitingFor: z.string().optional(),
  /** Time from acceptance until the first start, in milliseconds. */
  waitedMs: z.number().optional()
})

/** State of a job as callers and operators see it. */
export type JobView = z.infer<typeof jobViewSchema>
