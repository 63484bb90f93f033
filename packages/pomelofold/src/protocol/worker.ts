/**
 * The HTTP interface of workers. All bodies are JSON.
 *
 * `POST /v1/starts`, `POST /v1/renewals`, `POST /v1/tasks/{id}/{stop|checkpoint|throttle}`.
 * A worker answers with status 409 and `{ "epoch": N }` to an epoch older than N, the newest that it has received.
 *
 * @module
 */

import { z } from 'zod'
import { capacitySchema } from './vms.js'

/** A task to start. */
export const taskStartSchema = z.strictObject({
  taskId: z.string().min(1),
  size: capacitySchema,
  /** Initial lease: how long the task runs without a renewal, in milliseconds from its start. */
  leaseMs: z.number().positive(),
  /** Actual run time in milliseconds. Only stand-in workers use it; 0 means that the task runs until it is stopped. */
  runMs: z.number().nonnegative(),
  /** Passed to the task. The scheduler does not interpret it. */
  payload: z.string(),
  /** Checkpoint to resume from. */
  checkpoint: z.string().optional()
})

/** A task to start at a worker. */
export type TaskStart = z.infer<typeof taskStartSchema>

/** Body of `POST /v1/starts`. */
export const startsRequestSchema = z.strictObject({ epoch: z.number().int(), starts: z.array(taskStartSchema) })

/** Answer to one start. A refused start has no effect and will not run later. */
export const taskStartAnswerSchema = z.object({
  taskId: z.string(),
  started: z.boolean(),
  reason: z.string().optional()
})

/** Answer to one start. */
export type TaskStartAnswer = z.infer<typeof taskStartAnswerSchema>

/** States of a task at its worker. */
export const WORKER_TASK_STATES = { running: 'running', finished: 'finished', failed: 'failed', stopped: 'stopped' } as const

/** One task in a worker's list. `usage` is updated with a delay. */
export const workerTaskSchema = z.object({
  taskId: z.string(),
  state: z.enum(WORKER_TASK_STATES),
  size: capacitySchema,
  usage: capacitySchema.optional(),
  /** Time since the start, in milliseconds. */
  ranMs: z.number().nonnegative(),
  reason: z.string().optional(),
  checkpoint: z.string().optional()
})

/** A task as its worker lists it. Ended tasks are listed until they are acknowledged. */
export type WorkerTask = z.infer<typeof workerTaskSchema>

/** Body of `POST /v1/renewals`. */
export const renewalRequestSchema = z.strictObject({
  epoch: z.number().int(),
  leaseMs: z.number().positive(),
  /** Ended tasks that are recorded. The worker stops listing them. */
  acknowledged: z.array(z.string()),
  /** `listVersion` of an earlier answer. The worker may list only the tasks that have changed since. */
  since: z.string().optional()
})

/** Answer to a renewal. */
export const workerReportSchema = z.object({
  epoch: z.number().int(),
  capacity: capacitySchema,
  tasks: z.array(workerTaskSchema),
  /** Identifies this state of the list. Different after a restart of the worker. Absent when the worker always lists all tasks. */
  listVersion: z.string().optional(),
  /** Present when `tasks` lists only the tasks that have changed since this version. All other tasks are unchanged. */
  since: z.string().optional()
})

/** A worker's answer to a renewal, with its list of tasks. */
export type WorkerReport = z.infer<typeof workerReportSchema>
