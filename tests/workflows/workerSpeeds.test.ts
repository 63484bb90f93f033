/**
 * Tests of placement on workers of one kind and different speed: the load pattern of cells whose workers were bought over
 * many years, where urgent work competes with work that has time.
 */

import t from 'tap'
import { SPEEDS_KEY } from 'pomelofold/workflows/keys'
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

/** Share of the runs since `fromMs` that were started on the fast workers. */
function shareOnFastWorkers ({ records }: WorkflowCell, fromMs: number): number {
  const runs = records.filter(({ startMs }) => startMs > fromMs)
  return runs.filter(({ worker }) => FAST_WORKERS.has(worker.split('@')[0])).length / runs.length
}

t.test('urgent tasks run on the workers that have proved fast although all workers are of one kind', async t => {
  const cell = new WorkflowCell({ workers: 8, runMs })
  await cell.waitUntilReady()
  await submitSeries(cell, 60)
  const learnedMs = cell.timers.now()
  await submitSeries(cell, 60)
  const share = shareOnFastWorkers(cell, learnedMs)
  t.ok(share >= 0.95, `${share} of the runs on the fast workers`)
})

t.test('a new scheduler starts with the speeds that the earlier one has learned', async t => {
  const cell = new WorkflowCell({ workers: 8, runMs })
  await cell.waitUntilReady()
  await submitSeries(cell, 120)
  await cell.timers.advance(2_000)
  cell.leader!.process.kill()
  cell.daemons.shift()
  await cell.timers.advanceUntil(() => cell.leader !== undefined)
  await cell.waitUntilReady()
  const electedMs = cell.timers.now()
  await submitSeries(cell, 10)
  const share = shareOnFastWorkers(cell, electedMs)
  t.ok(share >= 0.95, `${share} of the runs on the fast workers`)
})

t.test('speeds that cannot be read or written do not stop placement', async t => {
  const cell = new WorkflowCell({ workers: 4, runMs })
  cell.store.txn([], [{ op: 'put', key: SPEEDS_KEY, value: '{"workers":3}' }])
  await cell.waitUntilReady()
  const workflow = cell.workflow()
  await cell.submit(workflow)
  await cell.waitForState(workflow.id, 'done')
  t.ok(cell.events.some(({ name }) => name === 'speeds.unreadable'))
})
