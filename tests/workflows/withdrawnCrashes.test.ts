/**
 * Tests with devices that refuse connections between the scheduler and workers that have not crashed, for longer than a lease lasts.
 *
 * @module
 */

import t from 'tap'
import { START_REFUSALS } from 'pomelofold/seams/workflowUpstreams'
import { WorkflowCell } from './workflowCell.js'

/** Time for which a device refuses connections: longer than a lease lasts, in milliseconds. */
const REFUSED_MS = 9_000
/** Time from a start until a worker is refused or crashes, in milliseconds. */
const YOUNG_MS = 20

/** Two workers of which only the first can be reached until a device has refused the calls to it for a while. */
async function refusedForLong ({ changeLeader }: { changeLeader: boolean }): Promise<{ cell: WorkflowCell, id: string, task: string }> {
  const cell = new WorkflowCell({ workers: 2, runMs: () => 20_000 })
  const [first, second] = cell.workers
  Object.assign(second.faults, { unreachable: true, unlisted: true })
  await cell.waitUntilReady()
  const { id } = await submitted(cell)
  const task = `${id}.0.0.0`
  await cell.timers.advanceUntil(() => first.runs.has(task))
  await cell.timers.advance(YOUNG_MS)
  first.faults.refusesConnections = true
  await cell.timers.advance(1_000)
  if (changeLeader) cell.leader!.process.kill()
  await cell.timers.advance(REFUSED_MS - 1_000)
  first.faults.refuseStarts = START_REFUSALS.noRoom
  first.faults.refusesConnections = false
  await cell.timers.advanceUntil(() => cell.leader !== undefined)
  await cell.timers.advance(3_000)
  return { cell, id, task }
}

async function submitted (cell: WorkflowCell): Promise<{ id: string }> {
  const workflow = cell.workflow([{ tasks: 1 }])
  await cell.submit(workflow)
  return workflow
}

// Guards against a job that is given up after one crash under its task (LOST): the refusals of a device count as another one, also
// when the worker has answered again, because its run had ended with its lease.
t.test('a job is not given up for a worker that answers again after its lease has ended', async t => {
  for (const changeLeader of [false, true]) {
    const { cell, id, task } = await refusedForLong({ changeLeader })
    const second = cell.workers[1]
    const at = cell.daemons.find(({ process }) => process.isRunning())
    t.equal(cell.runsOf(task)[0].how, 'lapsed', 'the first worker has not crashed')
    Object.assign(second.faults, { unreachable: false, unlisted: false })
    await cell.timers.advanceUntil(() => second.runs.has(task))
    await cell.timers.advance(YOUNG_MS)
    cell.crashWorker(second)
    await cell.waitForState(id, 'done', { at, limitMs: 90_000 }).catch((err: Error) => t.fail(`leader changes ${changeLeader}: ${err.message}`))
    t.equal(cell.crashes.length, 1)
  }
})

// Guards against evidence that stays although the worker answers again: a device has refused connections for longer than the lease (LOST).
t.test('the crash of a worker that answers again after its lease has lapsed is withdrawn', async t => {
  const cell = new WorkflowCell({ workers: 3, runMs: () => 12_000 })
  await cell.waitUntilReady()
  const job = cell.workflow([{ tasks: 1 }])
  await cell.submit(job)
  const task = `${job.id}.0.0.0`
  for (let run = 1; run <= 2; run++) {
    await cell.timers.advanceUntil(() => cell.workers.some(({ runs }) => runs.has(task)))
    await cell.timers.advance(50)
    const { faults } = cell.workers.find(({ runs }) => runs.has(task))!
    faults.refusesConnections = true
    await cell.timers.advance(9_000)
    faults.refusesConnections = false
  }
  await cell.timers.advance(500)
  t.equal(cell.crashes.length, 0)
  const eventsOf = (event: string) => cell.events.filter(({ name, fields }) => name === event && fields.task === task)
  t.same(eventsOf('task.suspected').map(({ fields }) => fields.crashes), [], 'no worker has crashed')
})
