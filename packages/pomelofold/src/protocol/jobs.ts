/**
 * Jobs: batch work and jobs that need all their tasks at once.
 *
 * @module
 */

import { z } from 'zod'
import { capacitySchema } from './vms.js'

/** Longest list of tasks of one job. */
export const MAX_TASKS_PER_JOB = 10_000

/** Kinds of work placed on workers. Each has its own placement policy. */
export const JOB_KINDS = {
  /** Tasks start as room is found. */
  batch: 'batch',
  /** All tasks start, or none. */
  gang: 'gang',
  /** Runs until stopped, and is replaced when lost. Declared in the manifest. */
  service: 'service'
} as const

/** Priorities, most urgent first. */
export const JOB_CLASSES = { urgent: 'urgent', normal: 'normal', overnight: 'overnight' } as const

const nameSchema = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/, 'must be 1 to 63 letters, digits, dots, underscores or dashes, starting with a letter or digit')

/** A group of equal tasks. */
export const taskGroupSchema = z.strictObject({
  count: z.number().int().min(1).max(MAX_TASKS_PER_JOB),
  size: capacitySchema.extend({
    cpus: z.number().positive(),
    memoryMb: z.number().positive(),
    accelerators: z.number().int().nonnegative().default(0)
  }),
  /** Expected run time in milliseconds. */
  expectedMs: z.number().positive(),
  /** Opaque text handed to the worker. */
  payload: z.string().max(65_536).default('')
})

/** Body of `POST /v1/jobs`. */
export const jobSpecSchema = z.strictObject({
  name: nameSchema,
  kind: z.enum([JOB_KINDS.batch, JOB_KINDS.gang]),
  class: z.enum(JOB_CLASSES).default(JOB_CLASSES.normal),
  team: nameSchema,
  /** Jobs of one family resemble each other in size and run time. The name, when absent. */
  family: nameSchema.optional(),
  /** Where a gang must stand together. */
  within: z.enum(['failureDomain', 'rack']).default('failureDomain'),
  /** True: a task whose worker was lost is not run again, and its outcome is told as unknown. */
  atMostOnce: z.boolean().default(false),
  tasks: z.array(taskGroupSchema).min(1).max(100)
}).refine(job => job.tasks.reduce((sum, group) => sum + group.count, 0) <= MAX_TASKS_PER_JOB,
  { path: ['tasks'], message: `a job has at most ${MAX_TASKS_PER_JOB} tasks` })

/** A job as submitted, with defaults filled in. */
export type JobSpec = z.infer<typeof jobSpecSchema>

/** States of a job. */
export const JOB_STATES = {
  accepted: 'accepted',
  running: 'running',
  done: 'done',
  failed: 'failed',
  cancelled: 'cancelled'
} as const

/** A job as told to callers and operators. */
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
  /** Why the job waits, and what would make it fit. */
  waitingFor: z.string().optional(),
  /** Time from acceptance until the first start, in milliseconds. */
  waitedMs: z.number().optional()
})

/** A job as told to callers and operators. */
export type JobView = z.infer<typeof jobViewSchema>
