/**
 * Checks of what must always hold, read from the records of the stand-ins alone.
 *
 * @module
 */

import type { InstanceRecord, TaskRun, WorkerRecord } from '@pomelofold/standins/runRecords'

/** Sentences that name each violation found; empty when there is none. */
export function checkRecords (instances: InstanceRecord[], workers: WorkerRecord[]): string[] {
  return [...instances.flatMap(instanceOverCapacity), ...workers.flatMap(workerOverCapacity), ...overlappingTaskRuns(workers)]
}

function instanceOverCapacity ({ vm, slots, peakAccepted }: InstanceRecord): string[] {
  return peakAccepted > slots ? [`${vm} was given ${peakAccepted} requests at once; it has ${slots} slots`] : []
}

function workerOverCapacity ({ vm, capacity, peakDeclared, overfilledStarts }: WorkerRecord): string[] {
  if (overfilledStarts === 0) return []
  return [`${vm} was given ${JSON.stringify(peakDeclared)} at once, ${overfilledStarts} starts too many; it has ${JSON.stringify(capacity)}`]
}

function overlappingTaskRuns (workers: WorkerRecord[]): string[] {
  const runs = workers.flatMap(({ vm, runs }) => runs.map(run => ({ vm, ...run })))
  const byTask = runsByTask(runs)
  return [...byTask].flatMap(([taskId, ofTask]) => {
    const ordered = [...ofTask].sort((a, b) => a.startMs - b.startMs)
    const overlap = ordered.find((run, i) => i > 0 && run.startMs < (ordered[i - 1].endMs ?? Infinity))
    return overlap ? [`task ${taskId} ran in two places at once, the second time at ${overlap.vm}`] : []
  })
}

/** The task of a run. A worker knows a run as `job:index:run`; the task is `job:index`. */
export function taskOf (runId: string): string {
  return runId.slice(0, runId.lastIndexOf(':'))
}

/** Runs by task. */
function runsByTask<T extends TaskRun> (runs: T[]): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const run of runs) {
    const task = taskOf(run.taskId)
    groups.set(task, [...groups.get(task) ?? [], run])
  }
  return groups
}

/** Requests that ran more often than once, of those named. */
export function ranMoreThanOnce (instances: InstanceRecord[], requestIds: ReadonlySet<string>): string[] {
  const times = new Map<string, number>()
  for (const { timesRun } of instances) {
    for (const [requestId, count] of Object.entries(timesRun)) times.set(requestId, (times.get(requestId) ?? 0) + count)
  }
  return [...times].filter(([requestId, count]) => count > 1 && requestIds.has(requestId)).map(([requestId]) => requestId)
}
