/**
 * What the stand-ins record of the work that they ran, independently of the scheduler.
 * `GET /control/record` answers with these documents; times are wall-clock milliseconds.
 *
 * @module
 */

import { z } from 'zod'
import { WORKER_TASK_STATES } from 'pomelofold/protocol/worker'
import { capacitySchema } from 'pomelofold/protocol/vms'

/** One run of a request at a service instance. */
export const requestRunSchema = z.object({
  requestId: z.string(),
  /** SHA-256 of the request's body, hexadecimal. */
  digest: z.string(),
  arrivedMs: z.number(),
  startMs: z.number(),
  /** Absent while it runs. */
  endMs: z.number().optional(),
  /** Status of the answer, sent or not. Absent while it runs. */
  status: z.number().int().optional()
})

/** One run of a request at a service instance. */
export type RequestRun = z.infer<typeof requestRunSchema>

/** Record of a service instance. */
export const instanceRecordSchema = z.object({
  vm: z.string(),
  slots: z.number().int(),
  /** Most requests that ran at once. */
  peakRunning: z.number().int(),
  /** Most requests that ran or waited at once. */
  peakAccepted: z.number().int(),
  /** Runs by request id. */
  timesRun: z.record(z.string(), z.number().int()),
  runs: z.array(requestRunSchema)
})

/** Record of a service instance. */
export type InstanceRecord = z.infer<typeof instanceRecordSchema>

/** One run of a task at a worker. */
export const taskRunSchema = z.object({
  taskId: z.string(),
  /** Epoch under which it was started. */
  epoch: z.number().int(),
  /** Declared size. */
  size: capacitySchema,
  /** True usage. */
  usage: capacitySchema,
  startMs: z.number(),
  /** Absent while it runs. */
  endMs: z.number().optional(),
  end: z.enum(WORKER_TASK_STATES).exclude(['running']).optional(),
  reason: z.string().optional()
})

/** One run of a task at a worker. */
export type TaskRun = z.infer<typeof taskRunSchema>

/** Record of a worker. */
export const workerRecordSchema = z.object({
  vm: z.string(),
  rack: z.string(),
  epoch: z.number().int(),
  capacity: capacitySchema,
  /** Largest sum of declared sizes that ran at once, each kind by itself. */
  peakDeclared: capacitySchema,
  /** Largest sum of true usage at once, each kind by itself. */
  peakUsage: capacitySchema,
  /** Starts that went beyond the capacity by declared sizes. */
  overfilledStarts: z.number().int(),
  /** Runs by task id. */
  timesRun: z.record(z.string(), z.number().int()),
  runs: z.array(taskRunSchema),
  refusedStarts: z.array(z.object({ taskId: z.string(), epoch: z.number().int(), reason: z.string(), atMs: z.number() }))
})

/** Record of a worker. */
export type WorkerRecord = z.infer<typeof workerRecordSchema>

/** How often each id occurs. */
export function countOccurrences (ids: string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const id of ids) counts[id] = (counts[id] ?? 0) + 1
  return counts
}
