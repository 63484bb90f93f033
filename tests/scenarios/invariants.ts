/**
 * Invariants of a cell, checked against the records of the stand-ins and of the callers.
 *
 * @module
 */

import { checkRecords, taskOf } from '../../utils/cell/checkRecords.js'
import { LEAVING_GRACE_MS, type ScenarioCell } from './scenarioCell.js'
import { digestOf, type Workload } from './workload.js'

/** The cell and the workload that the checks read. */
export interface CheckInput {
  cell: ScenarioCell
  workload: Workload
}

/** Checks by the name of their invariant. Each returns descriptions of the violations that it finds. */
export const INVARIANTS: Record<string, (evidence: CheckInput) => string[]> = {
  'no VM is over capacity and no task runs in two places at once': ({ cell }) =>
    checkRecords([...cell.instances.values()].map(model => model.record()), [...cell.workers.values()].map(model => model.record())),

  'requests answered with not-run did not run': ({ cell, workload }) => {
    const times = timesRun(cell)
    return workload.calls.filter(call => call.outcome === 'not-run' && times.has(call.requestId))
      .map(call => `${call.requestId} through ${call.vm} ran, but was answered with not-run: ${call.answer?.detail}`)
  },

  'a keyed request runs at most once': ({ cell, workload }) => {
    const times = timesRun(cell)
    const byKey = new Map<string, number>()
    for (const { key, requestId } of workload.calls) {
      if (key !== undefined) byKey.set(key, (byKey.get(key) ?? 0) + (times.get(requestId) ?? 0))
    }
    return [...byKey].filter(([, count]) => count > 1).map(([key, count]) => `${key} ran ${count} times`)
  },

  'every caller gets the complete answer to its own request': ({ workload }) =>
    workload.calls.filter(call => call.outcome === 'ran' && call.answer?.status === 200)
      .filter(call => (JSON.parse(Buffer.from(call.answer!.body).toString()) as { digest: string }).digest !== digestOf(call.body))
      .map(call => `${call.requestId} got the answer to another request`),

  'a leaving upstream gets no new work': ({ cell }) =>
    [...cell.leavingSinceMs].flatMap(([vm, sinceMs]) => {
      const runs = cell.instances.get(vm)?.record().runs ?? cell.workers.get(vm)?.record().runs ?? []
      return runs.filter(run => run.startMs > sinceMs + LEAVING_GRACE_MS).map(run => `${vm} got work ${run.startMs - sinceMs} ms after it was listed as leaving`)
    }),

  'the revision of the manifest in force never decreases': ({ cell }) =>
    [...cell.revisionsByVm()].filter(([, revisions]) => revisions.some((revision, i) => i > 0 && revision < revisions[i - 1]))
      .map(([vm, revisions]) => `${vm} applied the revisions ${revisions.join(', ')} in this order`),

  'a task finishes at one worker only': ({ cell, workload }) => {
    const finished = new Map<string, string[]>()
    for (const [vm, model] of cell.workers) {
      for (const run of model.record().runs) {
        const task = taskOf(run.taskId)
        if (run.end === 'finished') finished.set(task, [...finished.get(task) ?? [], vm])
      }
    }
    const gangs = new Set(workload.jobs.filter(job => job.spec.kind === 'gang').map(job => job.jobId))
    return [...finished].filter(([task, vms]) => vms.length > 1 && !gangs.has(task.split(':')[0]) && !vms.some(vm => cell.lostVms.has(vm)))
      .map(([task, vms]) => `${task} finished at ${vms.join(' and ')}`)
  }
}

/** Number of runs of each request, by request id. */
export function timesRun (cell: ScenarioCell): Map<string, number> {
  const times = new Map<string, number>()
  for (const model of cell.instances.values()) {
    for (const { requestId } of model.record().runs) times.set(requestId, (times.get(requestId) ?? 0) + 1)
  }
  return times
}

/** Descriptions of all violations, each with the name of its invariant. */
export function findViolations (evidence: CheckInput): string[] {
  return Object.entries(INVARIANTS).flatMap(([name, check]) => check(evidence).map(found => `${name}: ${found}`))
}
