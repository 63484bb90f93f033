/**
 * Calls that were meant for a former incarnation of a worker and reach the next one, which has the same id. Nothing in such a call says
 * for which incarnation it is, so that the next one carries it out.
 *
 * @module
 */

import t from 'tap'
import type { Workflow } from 'pomelofold/protocol/workflows'
import { cellWithStartInTransit, replaceLeader } from './leaderChain.js'
import { WorkflowCell } from './workflowCell.js'

const MAX_LEASE_MS = 10_000
const RUN_MS = 30_000
/** Age of the former incarnation when it ends, in milliseconds. */
const FORMER_AGE_MS = 20_000
/** Time from the restart of the worker until the start is sent, in milliseconds: the leader waits for a report all that time. */
const SENT_AFTER_MS = 200
/** Longest time from the restart of a worker until its tasks run elsewhere, in milliseconds. */
const RESTART_MS = 3_000
/** Time after which no call is late any more and no lease without extensions goes on, in milliseconds. */
const SETTLED_MS = 25_000

/** A cell whose only worker has just come back under its id, which no directory and no report shows. */
async function silentlyRestartedWorker ({ daemons = 3 } = {}): Promise<WorkflowCell> {
  const cell = new WorkflowCell({ daemons, workers: 1, maxLeaseMs: MAX_LEASE_MS, runMs: () => RUN_MS })
  await cell.waitUntilReady()
  await cell.timers.advance(FORMER_AGE_MS)
  cell.restartWorker('w0', { listedAfterMs: 60_000 })
  await cell.timers.advance(SENT_AFTER_MS)
  return cell
}

/** Has the worker's next incarnation accept the start of a workflow's task, cuts it off, and waits until the task runs elsewhere. */
async function startAndCutOff (cell: WorkflowCell, workflow: Workflow, { cutAfterMs = 0 } = {}): Promise<void> {
  const task = `${workflow.id}.0.0.0`
  cell.leader!.daemon.service.submit(workflow)
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 0, { limitMs: 1_000 })
  await cell.timers.advance(cutAfterMs)
  cell.workers[0].faults.unreachable = true
  cell.addWorker()
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 1)
  await cell.timers.advance(SETTLED_MS)
}

// Guards against TWICE: the next incarnation accepts a start that was meant for the former one, is cut off before its first report, and
// runs the task for the longest lease, while the scheduler counts on the lease that it gave the former one.
t.test('a start that the next incarnation of its worker has accepted runs no task twice when the worker is cut off', async t => {
  for (const cutAfterMs of [50, 200, 400]) {
    const cell = await silentlyRestartedWorker()
    await startAndCutOff(cell, cell.workflow([{ tasks: 1 }]), { cutAfterMs })
    t.same(cell.violations(), [], `cut off ${cutAfterMs} ms after the start`)
  }
})

// Guards against LOST: a start that the former incarnation has confirmed ended with it, and is not waited for at a silent next one.
t.test('a start that was confirmed by its worker before the restart does not delay the task', async t => {
  const cell = new WorkflowCell({ workers: 1, maxLeaseMs: MAX_LEASE_MS, runMs: () => RUN_MS })
  await cell.waitUntilReady()
  await cell.timers.advance(FORMER_AGE_MS)
  const workflow = cell.workflow([{ tasks: 1 }])
  const task = `${workflow.id}.0.0.0`
  await cell.submit(workflow, cell.leader!)
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 0)
  await cell.timers.advance(100)
  const restartedMs = cell.timers.now()
  cell.restartWorker('w0', { listedAfterMs: 300, reachableAfterMs: 60_000 })
  cell.addWorker()
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 1)
  const waitedMs = cell.runsOf(task)[1].startMs - restartedMs
  t.ok(waitedMs <= RESTART_MS, `${waitedMs} ms after the restart`)
  t.same(cell.violations(), [])
})

// Guards against TWICE: a call that comes late to the next incarnation prolongs the lease of everything that runs there.
t.test('a start that the next incarnation has accepted is waited for while a late start may prolong its lease', async t => {
  const cell = await silentlyRestartedWorker()
  const [accepted, late] = [cell.workflow([{ tasks: 1 }]), cell.workflow([{ tasks: 1 }])]
  const { faults } = cell.workers[0]
  faults.orderDelayMs = 6_000
  cell.leader!.daemon.service.submit(late)
  await cell.timers.advanceUntil(() => cell.events.filter(({ name }) => name === 'run.start').length === 1)
  faults.orderDelayMs = 0
  await startAndCutOff(cell, accepted)
  t.same(cell.violations(), [])
})

// Guards against TWICE: the same with an extension that was sent to the former incarnation.
t.test('a start that the next incarnation has accepted is waited for while a late extension may prolong its lease', async t => {
  const cell = new WorkflowCell({ workers: 1, maxLeaseMs: MAX_LEASE_MS, runMs: () => RUN_MS })
  await cell.waitUntilReady()
  await cell.timers.advance(FORMER_AGE_MS)
  cell.workers[0].faults.extensionDelayMs = 8_000
  const calls = cell.leader!.client
  const extendLease = calls.extendLease.bind(calls)
  let extended = false
  calls.extendLease = (...args) => { extended = true; return extendLease(...args) }
  await cell.timers.advanceUntil(() => extended)
  cell.restartWorker('w0', { listedAfterMs: 60_000 })
  await startAndCutOff(cell, cell.workflow([{ tasks: 1 }]))
  t.same(cell.violations(), [])
})

// Guards against TWICE: the leader knows the restart and ends, and the next one finds only the next incarnation, which does not answer.
t.test('a late start to a former incarnation that is in no roster any more runs no task twice under the next leader', async t => {
  for (const how of ['refused', 'silent', 'handedOver'] as const) {
    for (const lastMs of [1_500, 3_000]) {
      const { cell, task } = await cellWithStartInTransit({ orderDelayMs: 10_000, reachableAfterMs: 25_000 })
      await cell.timers.advance(lastMs)
      await replaceLeader(cell, how)
      await cell.timers.advance(40_000)
      t.same(cell.violations(), [], `leader ${how} after ${lastMs} ms`)
      t.equal(cell.runsOf(task).filter(({ endMs }) => endMs === Number.POSITIVE_INFINITY).length, 1, 'the task runs')
    }
  }
})

// Guards against TWICE: the leader that has seen the next incarnation accept a start ends before that incarnation is listed or reports.
t.test('a start that the next incarnation of its worker has accepted is known to the next leader', async t => {
  for (const lastMs of [300, 1_500, 4_000]) {
    const cell = await silentlyRestartedWorker({ daemons: 5 })
    const workflow = cell.workflow([{ tasks: 1 }])
    const task = `${workflow.id}.0.0.0`
    await cell.submit(workflow, cell.leader!)
    await cell.timers.advanceUntil(() => cell.runsOf(task).length > 0, { limitMs: 1_000 })
    cell.workers[0].faults.unreachable = true
    cell.addWorker()
    await cell.timers.advance(lastMs)
    await replaceLeader(cell, 'refused')
    await cell.timers.advanceUntil(() => cell.runsOf(task).length > 1)
    t.same(cell.violations(), [], `the leader ends ${lastMs} ms after the start`)
  }
})

// Guards against LOST: starts that the next incarnation refuses, since it has answered, delay nothing under the next leader.
t.test('a worker that has come back under its id and answers delays no task under the next leader', async t => {
  const { cell, task } = await cellWithStartInTransit({ orderDelayMs: 10_000 })
  await cell.timers.advance(1_500)
  await replaceLeader(cell, 'refused')
  const electedMs = cell.timers.now()
  const other = cell.workflow([{ tasks: 1 }])
  await cell.submit(other, cell.leader!)
  await cell.timers.advanceUntil(() => cell.runsOf(`${other.id}.0.0.0`).length > 0)
  t.ok(cell.timers.now() - electedMs <= 2_000, `started ${cell.timers.now() - electedMs} ms after the election`)
  await cell.timers.advance(30_000)
  t.same(cell.violations(), [])
  t.equal(cell.runsOf(task).length, 1)
})

// Guards against TWICE: only the leader under which a worker has come back waits for starts that a next incarnation may carry out.
t.test('the next leader knows that workers come back under their ids', async t => {
  const cell = new WorkflowCell({ workers: 2, cpuMillis: 1_000, runMs: () => RUN_MS })
  await cell.waitUntilReady()
  await cell.timers.advance(FORMER_AGE_MS)
  cell.restartWorker('w1')
  await cell.timers.advance(2_000)
  await replaceLeader(cell, 'refused')
  await cell.waitUntilReady()
  const [{ faults }, other] = cell.workers
  faults.orderDelayMs = 9_000
  other.faults.unlisted = true
  await cell.timers.advance(1_500)
  const workflow = cell.workflow([{ tasks: 1 }])
  await cell.submit(workflow, cell.leader!)
  await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'start.unanswered'))
  other.faults.unlisted = false
  faults.unreachable = true
  await cell.timers.advance(500)
  cell.restartWorker('w0', { listedAfterMs: 11_000, reachableAfterMs: 11_000 })
  await cell.timers.advance(SETTLED_MS)
  t.same(cell.violations(), [])
  t.equal(cell.runsOf(`${workflow.id}.0.0.0`).length, 1)
})

// Guards against BUDGET and LOST: a task is suspected of the crash of a worker that had ended before the task was started.
t.test('a task whose start the next incarnation has accepted is not suspected of the crash', async t => {
  const cell = await silentlyRestartedWorker()
  await startAndCutOff(cell, cell.workflow([{ tasks: 1 }]))
  t.match(cell.events.filter(({ name }) => name === 'worker.crashed').map(({ fields }) => fields.youngRuns), [0])
  t.same(cell.events.filter(({ name }) => name === 'task.suspected'), [])
})
