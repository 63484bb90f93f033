/**
 * Tests with workers that crash all the time for reasons of their own.
 *
 * @module
 */

import t from 'tap'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { WorkflowCell } from './workflowCell.js'

// Guards against a sound job that is given up because two ordinary crashes hit its workers soon after its starts.
t.test('two crashes of its workers do not end a job where workers crash all the time', async t => {
  const random = new SeededRandom(1)
  const cell = new WorkflowCell({ workers: 33, runMs: () => 2_000 })
  await cell.waitUntilReady()
  for (let crash = 0; crash < 10; crash++) {
    const up = cell.workers.filter(({ faults }) => !faults.refusesConnections)
    cell.crashWorker(up[random.int(up.length)])
    await cell.timers.advance(900)
  }
  const job = cell.workflow([{ tasks: 1 }])
  const task = `${job.id}.0.0.0`
  await cell.submit(job)
  for (let crash = 0; crash < 2; crash++) {
    await cell.timers.advanceUntil(() => cell.workers.some(({ runs }) => runs.has(task)))
    await cell.timers.advance(100)
    cell.crashWorker(cell.workers.find(({ runs }) => runs.has(task))!)
  }
  await cell.waitForState(job.id, 'done')
  t.equal(cell.runsOf(task).length, 3, 'both starts before were carried out')
})
