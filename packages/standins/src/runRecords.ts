/**
 * Records of the work that the stand-ins ran, kept independently of the scheduler so that tests can check it.
 * `GET /control/record` returns these documents. Times are wall-clock milliseconds.
 *
 * @module
 */

import { z } from 'zod'
import { WORKER_TASK_STATES } from 'pomelofold/protocol/worker'
import { capacitySchema } from 'pomelofold/protocol/vms'

/** Schema of one run of a request at a service instance. */
export const requestRunSchema = z.object({
  requestId: z.string(),
  /** SHA-256 of the request's body, hexadecimal. */
  digest: z.string(),
  arrivedMs: z.number(),
  startMs: z.number(),
  /** Absent while the request runs. */
  endMs: z.number().optional(),
  /** HTTP status of the response, also when it was not sent. Absent while the request runs. */
  status: z.number().int().optional()
})

/** One run of a request at a service instance. */
export type RequestRun = z.infer<typeof requestRunSchema>

/** Schema of the record of what a service instance has run. */
export const instanceRecordSchema = z.object({
  vm: z.string(),
  slots: z.number().int(),
  /** Maximum number of requests that ran at the same time. */
  peakRunning: z.number().int(),
  /** Maximum number of requests that ran or waited at the same time. */
  peakAccepted: z.number().int(),
  /** Number of runs, by request id. */
  timesRun: z.record(z.string(), z.number().int()),
  runs: z.array(requestRunSchema)
})

/** Record of what a service instance has run. */
export type InstanceRecord = z.infer<typeof instanceRecordSchema>

/** Schema of one run of a task at a worker. */
export const taskRunSchema = z.object({
  taskId: z.string(),
  /** Epoch of the scheduler that started the task. */
  epoch: z.number().int(),
  /** Size declared for scheduling. */
  size: capacitySchema,
  /** Actual usage, which may differ from the declared size. */
  usage: capacitySchema,
  startMs: z.number(),
  /** Absent while the task runs. */
  endMs: z.number().optional(),
  end: z.enum(WORKER_TASK_STATES).exclude(['running']).optional(),
  reason: z.string().optional()
})

/** One run of a task at a worker. */
export type TaskRun = z.infer<typeof taskRunSchema>

/** Schema of the record of what a worker has run. */
export const workerRecordSchema = z.object({
  vm: z.string(),
  rack: z.string(),
  /** Newest epoch that the worker has seen. */
  epoch: z.number().int(),
  capacity: capacitySchema,
  /** Maximum sum of the declared sizes of running tasks, for each resource separately. */
  peakDeclared: capacitySchema,
  /** Maximum sum of the actual usage of running tasks, for each resource separately. */
  peakUsage: capacitySchema,
  /** Number of starts after which the sum of declared sizes exceeded the capacity. */
  overfilledStarts: z.number().int(),
  /** Number of runs, by task id. */
  timesRun: z.record(z.string(), z.number().int()),
  runs: z.array(taskRunSchema),
  refusedStarts: z.array(z.object({ taskId: z.string(), epoch: z.number().int(), reason: z.string(), atMs: z.number() }))
})

/** Record of what a worker has run. */
export type WorkerRecord = z.infer<typeof workerRecordSchema>

/** Counts how often each id occurs. */
export function countOccurrences (ids: string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const id of ids) counts[id] = (counts[id] ?? 0) + 1
  return counts
}
