/**
 * Names of task runs: `<jobId>:<index>:<run>`. Each start of a task has its own name.
 *
 * @module
 */

/** Job ids that callers may use. Colons are kept for the scheduler's own. */
export const JOB_ID_PATTERN = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,199}$/

/** Name of the `run` of the task `index` of a job. */
export function formatTaskId (jobId: string, index: number, run: string): string {
  return `${jobId}:${index}:${run}`
}

/** Job and index of a task name. Undefined when it is not one of the scheduler's. */
export function parseTaskId (taskId: string): { jobId: string, index: number } | undefined {
  const match = /^(.+):(\d+):[^:]+$/.exec(taskId)
  return match ? { jobId: match[1], index: Number(match[2]) } : undefined
}
