/**
 * Tests of placement on workers of one kind and different speed: the load pattern of cells whose workers were bought over
 * many years, where urgent work competes with work that has time.
 */

import t from 'tap'
import { WorkflowCell } from './workflowCell.js'

const FAST_WORKERS = new Set(['w2', 'w5'])
/** Run time on a worker, in milliseconds. */
const runMs = (_task: string, worker: string): number => FAST_WORKERS.has(worker) ? 300 : 600

/** Submits a workflow of two tasks each 100 ms. */
async function submitSeries (cell: WorkflowCell, count: number): Promise<void> {
  for (let index = 0; index < count; index++) {
    cell.daemons[0].daemon.service.submit(cell.workflow())
    await cell.timers.advance(100)
  }
}

t.test('urgent tasks run on the workers that have proved fast although all workers are of one kind', async t => {
  const cell = new WorkflowCell({ workers: 8, runMs })
  await cell.waitUntilReady()
  await submitSeries(cell, 60)
  const learnedMs = cell.timers.now()
  await submitSeries(cell, 60)
  const runs = cell.records.filter(({ startMs }) => startMs > learnedMs)
  const fast = runs.filter(({ worker }) => FAST_WORKERS.has(worker.split('@')[0]))
  t.ok(fast.length >= 0.95 * runs.length, `${fast.length} of ${runs.length} runs on the fast workers`)
})
