/**
 * Cells with tasks that crash the worker that runs them, and the bounds of what such a task may cost.
 *
 * @module
 */

import type { LeasedWorkerFaults } from '@pomelofold/standins/leasedWorker'
import type { WorkflowStep } from 'pomelofold/protocol/workflows'
import { WorkflowCell, type WorkflowCellOptions } from './workflowCell.js'

/** Highest number of workers that one task may crash: one start more than the third crash permits is still on its way. */
export const MAX_CRASHES = 4
/** Number of starts of a task after three crashes of its workers that break the users' rule. */
export const FORBIDDEN_STARTS = 3

/** Id of the first job of a cell. */
export const CRASHING_JOB = '1'.padStart(16, '0')

/** Starts of the task after the third worker had crashed under it. */
export function startsAfterThirdCrash (cell: WorkflowCell, task: string): number {
  const crashed = cell.runsOf(task).filter(run => cell.crashes.some(({ worker, atMs }) => worker === run.worker && atMs === run.endMs))
  if (crashed.length < 3) return 0
  return cell.runsOf(task).filter(({ startMs }) => startMs > crashed[2].endMs).length
}

/**
 * A cell whose task 0 of the first job crashes its worker, and ordinary jobs that come in before and beside it. All workers,
 * also later ones, have `faults`.
 */
export async function cellWithCrashingTask ({
  step = {}, afterMs = 10, earlierJobs = 0, ordinaryJobs = 20, faults, ...options
}: Partial<WorkflowCellOptions> & {
  step?: Partial<WorkflowStep>, afterMs?: number, earlierJobs?: number, ordinaryJobs?: number, faults?: Partial<LeasedWorkerFaults>
} = {}): Promise<{ cell: WorkflowCell, crashing: string, ordinary: string[], speculative: Set<string> }> {
  const task = `${CRASHING_JOB}.0.0.0`
  const cell = new WorkflowCell({
    workers: 12, runMs: () => 800, crashAfterMs: name => name === task ? afterMs : undefined, ...options
  })
  await cell.waitUntilReady()
  if (faults) cell.timers.every(1, () => { for (const worker of cell.workers) Object.assign(worker.faults, faults) })
  const crashing = cell.workflow([{ tasks: 4, ...step }])
  const ordinary: string[] = []
  const speculative = new Set(step.speculative ? [crashing.id] : [])
  for (let job = -earlierJobs; job < ordinaryJobs; job++) {
    if (job === 0) await cell.submit(crashing)
    const workflow = cell.workflow([{ tasks: 3, speculative: job % 2 === 0 }])
    ordinary.push(workflow.id)
    if (job % 2 === 0) speculative.add(workflow.id)
    await cell.submit(workflow)
    await cell.timers.advance(100)
  }
  if (ordinaryJobs === 0) await cell.submit(crashing)
  return { cell, crashing: crashing.id, ordinary, speculative }
}
