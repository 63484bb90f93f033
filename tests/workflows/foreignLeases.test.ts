/**
 * Leases of workers that come back under their ids. A lease end is a time on the clock of one incarnation: a call that was meant for
 * an earlier incarnation gives the next one a lease of the maximum length, which is longer than those that the scheduler sends.
 */

import t from 'tap'
import { START_REFUSALS } from 'pomelofold/seams/workflowUpstreams'
import { WorkflowCell } from './workflowCell.js'

const MAX_LEASE_MS = 10_000
const RUN_MS = 30_000
/** Time from the restart of the worker until it can be reached and listed, in milliseconds. */
const DOWNTIME = { reachableAfterMs: 300, listedAfterMs: 600 }
/** Time from the restart of the worker until it accepts starts, in milliseconds. */
const REFUSING_MS = 550
/** Time after a start until a report has listed the run, in milliseconds. */
const LISTING_MS = 600
/** Longest time from the end of the longest lease until the task runs elsewhere, in milliseconds. */
const RESTART_MS = 1_000

/**
 * A cell whose only worker has come back under its id while a start was tried. The next incarnation has refused a try of it for its
 * ticket, and runs the task of another workflow, which it has listed.
 */
async function restartedWorker (): Promise<{ cell: WorkflowCell, task: string, restartedMs: number }> {
  const cell = new WorkflowCell({ workers: 1, maxLeaseMs: MAX_LEASE_MS, runMs: () => RUN_MS })
  await cell.waitUntilReady()
  await cell.timers.advance(20_000)
  const restartedMs = cell.timers.now()
  cell.leader!.daemon.service.submit(cell.workflow([{ tasks: 1 }]))
  cell.restartWorker('w0', DOWNTIME)
  cell.workers[0].faults.refuseStarts = START_REFUSALS.invalidTicket
  await cell.timers.advance(REFUSING_MS)
  cell.workers[0].faults.refuseStarts = undefined
  const workflow = cell.workflow([{ tasks: 1 }])
  cell.leader!.daemon.service.submit(workflow)
  const task = `${workflow.id}.0.0.0`
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 0)
  await cell.timers.advance(LISTING_MS)
  return { cell, task, restartedMs }
}

/** Cuts the worker off, adds another one, and waits until the task runs there. */
async function cutOff (cell: WorkflowCell, task: string): Promise<void> {
  cell.workers[0].faults.unreachable = true
  cell.addWorker()
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 1)
}

// Guards against TWICE: the task is started elsewhere while a lease lasts that a call to the worker's former incarnation has lengthened.
t.test('a worker that comes back under its id and is cut off keeps its runs for the longest lease', async t => {
  const { cell, task, restartedMs } = await restartedWorker()
  await cutOff(cell, task)
  t.same(cell.violations(), [])
  const longestMs = restartedMs + DOWNTIME.listedAfterMs + MAX_LEASE_MS / 0.98
  t.ok(cell.runsOf(task)[1].startMs <= longestMs + RESTART_MS, 'the task waits no longer than that lease can last')
})

// Guards against TWICE: the next scheduler does not know that the lease of a worker in its roster is longer than the usual one.
t.test('the next scheduler waits for the longest lease of a worker that has come back under its id', async t => {
  const { cell, task } = await restartedWorker()
  cell.leader!.process.kill()
  await cutOff(cell, task)
  t.same(cell.violations(), [])
})

// Guards against LOST: a lease from a former incarnation is waited for while it can last, and not for as long as the worker lives.
t.test('a worker that has come back long ago keeps its runs for the usual lease', async t => {
  const { cell, task } = await restartedWorker()
  await cell.timers.advance(MAX_LEASE_MS + 2_000)
  const cutMs = cell.timers.now()
  await cutOff(cell, task)
  t.same(cell.violations(), [])
  t.ok(cell.runsOf(task)[1].startMs - cutMs <= 6_000 / 0.98 + RESTART_MS)
})

// Guards against LOST: the roster tells the next scheduler of such a lease only while it can last.
t.test('the next scheduler waits for the usual lease of a worker that has come back long ago', async t => {
  const { cell, task } = await restartedWorker()
  await cell.timers.advance(MAX_LEASE_MS + 2_000)
  cell.leader!.process.kill()
  cell.workers[0].faults.unreachable = true
  await cell.timers.advanceUntil(() => cell.leader !== undefined)
  const electedMs = cell.timers.now()
  await cutOff(cell, task)
  t.same(cell.violations(), [])
  t.ok(cell.runsOf(task)[1].startMs - electedMs <= 6_000 / 0.98 + RESTART_MS, `${cell.runsOf(task)[1].startMs - electedMs} ms after the election`)
})

// Guards against LOST: the clock of the next incarnation, taken from its answer to a start, moves the end of the former one's lease.
t.test('the answer of a later incarnation to a start does not prolong the lease of the former one', async t => {
  const cell = new WorkflowCell({ workers: 1, runMs: () => RUN_MS })
  await cell.waitUntilReady()
  await cell.timers.advance(20_000)
  const running = cell.workflow([{ tasks: 1 }])
  await cell.submit(running)
  await cell.timers.advance(1_000)
  const restartedMs = cell.timers.now()
  cell.leader!.daemon.service.submit(cell.workflow([{ tasks: 1 }]))
  cell.restartWorker('w0', { ...DOWNTIME, listedAfterMs: 60_000 })
  cell.workers[0].faults.refuseStarts = START_REFUSALS.invalidTicket
  cell.addWorker()
  await cell.timers.advanceUntil(() => cell.events.some(({ name, fields }) => name === 'run.refused' && fields.reason === START_REFUSALS.invalidTicket))
  cell.workers[0].faults.unreachable = true
  const task = `${running.id}.0.0.0`
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 1)
  const waitedMs = cell.runsOf(task)[1].startMs - restartedMs
  t.ok(waitedMs <= 6_000 / 0.98 + RESTART_MS, `${waitedMs} ms after the restart`)
})
