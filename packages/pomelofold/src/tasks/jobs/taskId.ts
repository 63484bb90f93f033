/**
 * Task ids: `<jobId>:<index>:<run>`. Each start of a task has its own id.
 *
 * @module
 */

/** Job ids that callers may use. Colons are reserved for ids that the scheduler creates. */
export const JOB_ID_PATTERN = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,199}$/

/** Returns the id of one run of the task `index` of a job. */
export function formatTaskId (jobId: string, index: number, run: string): string {
  return `${jobId}:${index}:${run}`
}

/** Returns the job id and index in a task id. Undefined when the scheduler did not create the id. */
export function parseTaskId (taskId: string): { jobId: string, index: number } | undefined {
  const match = /^(.+):(\d+):[^:]+$/.exec(taskId)
  return match ? { jobId: match[1], index: Number(match[2]) } : undefined
}
