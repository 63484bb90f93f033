/**
 * Cells with tasks that crash the worker that runs them, and the bounds of what such a task may cost.
 *
 * @module
 */

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

/** A cell whose task 0 of the first job crashes its worker, and ordinary jobs that come in beside it. */
export async function cellWithCrashingTask ({ step = {}, afterMs = 10, ordinaryJobs = 20, ...options }: Partial<WorkflowCellOptions> & {
  step?: Partial<WorkflowStep>, afterMs?: number, ordinaryJobs?: number
} = {}): Promise<{ cell: WorkflowCell, crashing: string, ordinary: string[], speculative: Set<string> }> {
  const task = `${CRASHING_JOB}.0.0.0`
  const cell = new WorkflowCell({
    workers: 12, runMs: () => 800, crashAfterMs: name => name === task ? afterMs : undefined, ...options
  })
  await cell.waitUntilReady()
  const crashing = cell.workflow([{ tasks: 4, ...step }])
  const ordinary: string[] = []
  const speculative = new Set(step.speculative ? [crashing.id] : [])
  await cell.submit(crashing)
  for (let job = 0; job < ordinaryJobs; job++) {
    const workflow = cell.workflow([{ tasks: 3, speculative: job % 2 === 0 }])
    ordinary.push(workflow.id)
    if (job % 2 === 0) speculative.add(workflow.id)
    await cell.submit(workflow)
    await cell.timers.advance(100)
  }
  return { cell, crashing: crashing.id, ordinary, speculative }
}
