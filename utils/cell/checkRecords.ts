/**
 * Checks invariants of a cell against the records of the stand-ins only.
 *
 * @module
 */

import type { InstanceRecord, TaskRun, WorkerRecord } from '@pomelofold/standins/runRecords'

/** Returns a description of each violation; empty when there is none. */
export function checkRecords (instances: InstanceRecord[], workers: WorkerRecord[]): string[] {
  return [...instances.flatMap(instanceOverCapacity), ...workers.flatMap(workerOverCapacity), ...overlappingTaskRuns(workers)]
}

function instanceOverCapacity ({ vm, slots, peakAccepted }: InstanceRecord): string[] {
  return peakAccepted > slots ? [`${vm} got ${peakAccepted} requests at once; it has ${slots} slots`] : []
}

function workerOverCapacity ({ vm, capacity, peakDeclared, overfilledStarts }: WorkerRecord): string[] {
  if (overfilledStarts === 0) return []
  return [`${vm} got tasks of ${JSON.stringify(peakDeclared)} at once, ${overfilledStarts} starts over its capacity; it has ${JSON.stringify(capacity)}`]
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

/** Returns the id of a run's task: workers identify a run as `job:index:run`, and the task is `job:index`. */
export function taskOf (runId: string): string {
  return runId.slice(0, runId.lastIndexOf(':'))
}

/** Groups runs by task. */
function runsByTask<T extends TaskRun> (runs: T[]): Map<string, T[]> {
  const groups = new Map<string, T[]>()
  for (const run of runs) {
    const task = taskOf(run.taskId)
    groups.set(task, [...groups.get(task) ?? [], run])
  }
  return groups
}

/** Returns those of the given requests that ran more than once. */
export function ranMoreThanOnce (instances: InstanceRecord[], requestIds: ReadonlySet<string>): string[] {
  const times = new Map<string, number>()
  for (const { timesRun } of instances) {
    for (const [requestId, count] of Object.entries(timesRun)) times.set(requestId, (times.get(requestId) ?? 0) + count)
  }
  return [...times].filter(([requestId, count]) => count > 1 && requestIds.has(requestId)).map(([requestId]) => requestId)
}
