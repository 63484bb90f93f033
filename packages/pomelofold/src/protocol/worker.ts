/**
 * The interface of workers: JSON over HTTP.
 *
 * `POST /v1/starts`, `POST /v1/renewals`, `POST /v1/tasks/{id}/{stop|checkpoint|throttle}`.
 * A worker answers 409 with `{ "epoch": N }` to an epoch older than the newest it has seen.
 *
 * @module
 */

import { z } from 'zod'
import { capacitySchema } from './vms.js'

/** A task to start. */
export const taskStartSchema = z.strictObject({
  taskId: z.string().min(1),
  size: capacitySchema,
  /** The task runs until then without renewal, in milliseconds from its start. */
  leaseMs: z.number().positive(),
  /** True run time in milliseconds; stand-ins use it, real workers ignore it. 0 runs until stopped. */
  runMs: z.number().nonnegative(),
  /** Opaque to the scheduler. */
  payload: z.string(),
  /** Checkpoint to resume from. */
  checkpoint: z.string().optional()
})

/** A task to start at a worker. */
export type TaskStart = z.infer<typeof taskStartSchema>

/** Body of `POST /v1/starts`. */
export const startsRequestSchema = z.strictObject({ epoch: z.number().int(), starts: z.array(taskStartSchema) })

/** What became of one start. A refused start did not run and never will. */
export const taskStartAnswerSchema = z.object({
  taskId: z.string(),
  started: z.boolean(),
  reason: z.string().optional()
})

/** Answer to one start. */
export type TaskStartAnswer = z.infer<typeof taskStartAnswerSchema>

/** States of a task at its worker. */
export const WORKER_TASK_STATES = { running: 'running', finished: 'finished', failed: 'failed', stopped: 'stopped' } as const

/** One task in a worker's list. Usage lags behind the truth. */
export const workerTaskSchema = z.object({
  taskId: z.string(),
  state: z.enum(WORKER_TASK_STATES),
  size: capacitySchema,
  usage: capacitySchema.optional(),
  /** Milliseconds since the start. */
  ranMs: z.number().nonnegative(),
  reason: z.string().optional(),
  checkpoint: z.string().optional()
})

/** A task as its worker lists it. Ended tasks stay listed until acknowledged. */
export type WorkerTask = z.infer<typeof workerTaskSchema>

/** Body of `POST /v1/renewals`. */
export const renewalRequestSchema = z.strictObject({
  epoch: z.number().int(),
  leaseMs: z.number().positive(),
  /** Ended tasks that are recorded and need not be listed again. */
  acknowledged: z.array(z.string()),
  /** `listVersion` of an earlier answer: the worker may list only what has changed since then. */
  since: z.string().optional()
})

/** Answer to a renewal. */
export const workerReportSchema = z.object({
  epoch: z.number().int(),
  capacity: capacitySchema,
  tasks: z.array(workerTaskSchema),
  /** Names this state of the list. Differs after a restart of the worker. Absent when the worker always lists everything. */
  listVersion: z.string().optional(),
  /** Present when `tasks` holds only tasks that have changed since that version. All others are as they were. */
  since: z.string().optional()
})

/** A worker's own list. */
export type WorkerReport = z.infer<typeof workerReportSchema>
