/**
 * Workers that come back under their ids, are cut off or gone: over changes of leader, and as opposed to other workers at their address.
 *
 * @module
 */

import t from 'tap'
import { LeasedWorker } from '@pomelofold/standins/leasedWorker'
import { delay } from 'pomelofold/seams/timers'
import { START_REFUSALS } from 'pomelofold/seams/workflowUpstreams'
import { cellWithStartInTransit, replaceLeader } from './leaderChain.js'
import { WorkflowCell } from './workflowCell.js'

/** Time after which no call is late any more and no lease without extensions goes on, in milliseconds. */
const SETTLED_MS = 40_000
/** Time by which the answer to an order is handled after its arrival, in milliseconds. */
const HANDLED_LATE_MS = 1_300
/** Longest time until tasks of a worker that is gone for good run elsewhere: its lease, and the time that a lasting task may be down. */
const GONE_MS = 9_000

/** A worker with another id at the address of an earlier one. */
function replacement (cell: WorkflowCell, { entry: { address, bornMs, capacity, labels } }: LeasedWorker): LeasedWorker {
  const worker = new LeasedWorker({
    id: `${address}-next`, address, timers: cell.timers, records: cell.records, runMs: () => 600_000, capacity, labels, clockStartMs: cell.timers.now()
  })
  Object.assign(worker.entry, { bornMs: bornMs + 1 })
  return worker
}

/** Ends a worker for good while a start is on its way to it. Returns the time until its task runs elsewhere, in milliseconds. */
async function timeUntilRestart (cell: WorkflowCell): Promise<number> {
  const gone = cell.addWorker()
  const others = cell.workers.filter(worker => worker !== gone)
  await cell.timers.advance(3_000)
  for (const { faults } of others) faults.draining = true
  await cell.timers.advance(1_500)
  gone.faults.orderDelayMs = 60_000
  const workflow = cell.workflow([{ tasks: 1, longRunning: true }])
  const seen = cell.events.length
  await cell.submit(workflow, cell.leader!)
  await cell.timers.advanceUntil(() => cell.events.slice(seen).some(({ name }) => name === 'start.unanswered'))
  const goneMs = cell.timers.now()
  gone.crash()
  for (const { faults } of others) faults.draining = false
  await cell.timers.advanceUntil(() => cell.runsOf(`${workflow.id}.0.0.0`).length > 0, { limitMs: 60_000 })
  return cell.runsOf(`${workflow.id}.0.0.0`)[0].startMs - goneMs
}

// Guards against TWICE: the record says until when the start may be carried out, not until when the run that it begins goes on. The next
// incarnation is listed, is cut off, and its entry expires, so that no session of the next leader stands for it.
t.test('the next leader waits for the end of a late start at an incarnation that is listed no more', async t => {
  for (const how of ['refused', 'silent', 'handedOver'] as const) {
    const { cell, task } = await cellWithStartInTransit({ orderDelayMs: 10_000, reachableAfterMs: 25_000 })
    const [{ faults }] = cell.workers
    await cell.timers.advance(1_200)
    faults.unlisted = true
    await cell.timers.advance(2_800)
    await replaceLeader(cell, how)
    await cell.timers.advance(20_000)
    faults.unlisted = false
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `leader ${how}`)
    t.ok(cell.runsOf(task).length > 0, 'the task runs')
  }
})

// Guards against TWICE: the leader that has sent the start ends; the next one sees the next incarnation listed, and its entry expires while
// the start is on its way.
t.test('a scheduler waits for late starts at a successor whose entry has expired', async t => {
  for (const expiresAfterMs of [1_000, 3_000, 5_000]) {
    const { cell, task } = await cellWithStartInTransit({ orderDelayMs: 10_000, reachableAfterMs: 25_000 })
    const [{ faults }] = cell.workers
    await replaceLeader(cell, 'refused')
    await cell.timers.advance(expiresAfterMs)
    faults.unlisted = true
    await cell.timers.advance(20_000)
    faults.unlisted = false
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `expired ${expiresAfterMs} ms after the election`)
    t.ok(cell.runsOf(task).length > 0, 'the task runs')
  }
})

// Guards against LOST: another id at the address refuses an order, with a time on its own clock in the answer, as in all answers over HTTP.
// That is no restart under the id: nothing is late there, and the tasks need not wait.
t.test('an order that another id at the address refuses is no sign of a restart under the same id', async t => {
  const cell = new WorkflowCell({ workers: 2, cpuMillis: 2_000, runMs: () => 600_000 })
  const leader = await cell.waitUntilReady()
  await cell.timers.advance(20_000)
  const [worker, other] = cell.workers
  const { client } = leader
  for (const order of ['start', 'stop'] as const) {
    const send = client[order].bind(client) as (...args: unknown[]) => ReturnType<typeof client.stop>
    client[order] = async (...args: unknown[]) => (await send(...args)).map(answer =>
      answer.refusal === START_REFUSALS.otherIncarnation ? { ...answer, clockMs: cell.workers[0].clockMs } : answer)
  }
  other.faults.draining = true
  await cell.timers.advance(1_500)
  worker.faults.orderDelayMs = 60_000
  const workflow = cell.workflow([{ tasks: 1, longRunning: true }])
  leader.daemon.service.submit(workflow)
  await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'run.start'))
  worker.crash()
  cell.workers[0] = replacement(cell, worker)
  await cell.timers.advanceUntil(() => cell.runsOf(`${workflow.id}.0.0.0`).length > 0, { limitMs: 60_000 })
  const evidence = cell.events.filter(({ name }) => name === 'worker.crashed').map(({ fields }) => fields.evidence)
  await cell.timers.advance(30_000)
  const waitedMs = await timeUntilRestart(cell)
  t.ok(waitedMs <= GONE_MS, `a task of another worker started after ${waitedMs} ms; evidence of the crash: ${evidence.join('; ')}`)
})

// Guards against LOST: one worker has come back under its id a minute ago; another one is gone for good while a start is on its way to it.
t.test('a task whose worker is gone for good does not wait for a next incarnation for long', async t => {
  for (const leaderChanges of [true, false]) {
    const cell = new WorkflowCell({ workers: 3, cpuMillis: 1_000, runMs: () => 600_000 })
    await cell.waitUntilReady()
    await cell.timers.advance(20_000)
    cell.restartWorker('w2')
    await cell.timers.advance(60_000)
    if (leaderChanges) {
      await replaceLeader(cell, 'refused')
      await cell.waitUntilReady()
      await cell.timers.advance(20_000)
    }
    const waitedMs = await timeUntilRestart(cell)
    t.ok(waitedMs <= GONE_MS, `leaderChanges=${leaderChanges}: started elsewhere after ${waitedMs} ms`)
  }
})

// Guards against TWICE: a process that stands still for a second handles an answer to an order after that to a later call, within one turn
// of its event loop and before the timeouts. A clock that is behind the last report then shows no restart.
t.test('an answer to an order that is handled late is no sign of a restart', async t => {
  for (const sentAfterMs of [0, 400, 800, 1_200, 1_600]) {
    const cell = new WorkflowCell({ workers: 2, cpuMillis: 2_000, runMs: () => 30_000 })
    const leader = await cell.waitUntilReady()
    await cell.timers.advance(20_000)
    const [worker, other] = cell.workers
    other.faults.draining = true
    await cell.timers.advance(1_500)
    const first = cell.workflow([{ tasks: 1 }])
    await cell.submit(first, leader)
    await cell.timers.advanceUntil(() => cell.runsOf(`${first.id}.0.0.0`).length > 0)
    await cell.timers.advance(3_000 + sentAfterMs)
    worker.faults.refuseStarts = START_REFUSALS.noRoom
    const start = leader.client.start.bind(leader.client)
    leader.client.start = async (...args) => {
      const answer = await start(...args)
      if (args[0].id !== worker.entry.id) return answer
      await delay(cell.timers, HANDLED_LATE_MS)
      return answer
    }
    await cell.submit(cell.workflow([{ tasks: 1 }]), leader)
    await cell.timers.advance(1_000)
    other.faults.draining = false
    await cell.timers.advance(20_000)
    t.same(cell.violations(), [], `sent after ${sentAfterMs} ms`)
    t.equal(worker.entry.bornMs, 1, 'the worker has not restarted')
  }
})

// Guards against TWICE: an extension that was meant for the former incarnation acknowledges an end of the next one that nobody has seen.
t.test('a late extension acknowledges no end of the next incarnation that is not recorded', async t => {
  const cell = new WorkflowCell({ workers: 1, cpuMillis: 2_000, runMs: () => 300 })
  const leader = await cell.waitUntilReady()
  for (let index = 0; index < 5; index++) await cell.submit(cell.workflow([{ tasks: 2 }]), leader)
  await cell.timers.advance(20_000)
  const { client } = leader
  cell.workers[0].faults.extensionDelayMs = 1_500
  const extendLease = client.extendLease.bind(client)
  let extended = false
  client.extendLease = (...args) => { extended = true; return extendLease(...args) }
  await cell.timers.advanceUntil(() => extended)
  cell.restartWorker('w0', { listedAfterMs: 4_000 })
  await cell.timers.advance(200)
  const workflow = cell.workflow([{ tasks: 1 }])
  leader.daemon.service.submit(workflow)
  await cell.timers.advance(SETTLED_MS)
  t.same(cell.violations(), [])
  t.equal(cell.runsOf(`${workflow.id}.0.0.0`).length, 1, 'it runs once')
})

// Guards against TWICE: a record of a loss is raised when the restart is known. A daemon that has read the loss before takes it for the
// earlier end.
t.test('a daemon that has read the loss of a worker knows the late starts that are recorded with its restart', async t => {
  for (const listedAfterMs of [2_500, 3_500]) {
    const { cell } = await cellWithStartInTransit({ orderDelayMs: 11_500, listedAfterMs, reachableAfterMs: 25_000 })
    await replaceLeader(cell, 'refused')
    await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'lateStarts.noted'), { limitMs: 10_000 })
    const names = cell.events.filter(({ name }) => name === 'leaseEnd.noted' || name === 'lateStarts.noted').map(({ name }) => name)
    await cell.timers.advance(400)
    await replaceLeader(cell, 'refused')
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `listed after ${listedAfterMs} ms; ${names.join(', ')}`)
  }
})

// Guards against LOST: the next incarnation has answered and refuses the start, and the record says so. The task of that start waits
// nevertheless.
t.test('a task whose start the next incarnation refuses does not wait for it under the next leader', async t => {
  const { cell, task } = await cellWithStartInTransit({ orderDelayMs: 10_000 })
  const restartedMs = cell.timers.now()
  await cell.timers.advance(1_500)
  t.ok(cell.events.some(({ name, fields }) => name === 'worker.reached' && fields.worker === 'w0@2'), 'the next incarnation has answered')
  await replaceLeader(cell, 'refused')
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 0, { limitMs: SETTLED_MS })
  const waitedMs = cell.runsOf(task)[0].startMs - restartedMs
  t.ok(waitedMs <= GONE_MS, `started ${waitedMs} ms after the restart`)
  await cell.timers.advance(SETTLED_MS)
  t.same(cell.violations(), [])
})
