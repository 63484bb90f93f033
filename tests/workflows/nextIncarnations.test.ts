/**
 * Answers that the next incarnation of a worker gives to orders for the former one, and calls that it carries out after them.
 *
 * @module
 */

import t from 'tap'
import { delay } from 'pomelofold/seams/timers'
import { cellWithLateExtension, cellWithStartInTransit, replaceLeader } from './leaderChain.js'
import { WorkflowCell } from './workflowCell.js'

const MAX_LEASE_MS = 10_000
const RUN_MS = 30_000
/** Age of the former incarnation when it ends, in milliseconds. */
const FORMER_AGE_MS = 20_000
/** Time after which no call is late any more and no lease without extensions goes on, in milliseconds. */
const SETTLED_MS = 30_000

// Guards against LOST: two starts are on their way to a worker that has restarted. The first answer ends the session, and the second one
// confirms that its task was running in the crash, which came before its start.
t.test('a start that the next incarnation accepts after the session has ended is no evidence of the crash', async t => {
  const cell = new WorkflowCell({ workers: 1, maxLeaseMs: MAX_LEASE_MS, runMs: () => RUN_MS })
  await cell.waitUntilReady()
  await cell.timers.advance(FORMER_AGE_MS)
  cell.restartWorker('w0', { listedAfterMs: 60_000 })
  await cell.timers.advance(100)
  await cell.submit(cell.workflow([{ tasks: 2 }]), cell.leader!)
  await cell.timers.advance(1_000)
  t.equal(cell.records.length, 2, 'the next incarnation has started both')
  t.same(cell.events.filter(({ name }) => name === 'task.crash.confirmed'), [])
  t.equal(cell.events.filter(({ name }) => name === 'task.crash.withdrawn').length, 1)
})

// Guards against BUDGET: a task crashes its worker before the answer, and the next try of its start reaches the next incarnation.
t.test('a crash counts when the next incarnation accepts another try of the start', async t => {
  let restarts = 0
  const cell: WorkflowCell = new WorkflowCell({
    workers: 1,
    maxLeaseMs: MAX_LEASE_MS,
    runMs: () => RUN_MS,
    crashAfterMs: () => {
      if (restarts++ === 0) cell.restartWorker('w0', { listedAfterMs: 60_000 })
      return undefined
    }
  })
  await cell.waitUntilReady()
  await cell.timers.advance(FORMER_AGE_MS)
  await cell.submit(cell.workflow([{ tasks: 1 }]), cell.leader!)
  await cell.timers.advance(1_500)
  t.equal(cell.records.length, 2, 'the next incarnation has started it, too')
  const crashed = cell.events.filter(({ name }) => name === 'worker.crashed')
  t.match(crashed.map(({ fields }) => fields), [{ evidence: 'another incarnation of the worker answered an order', youngRuns: 1, unconfirmedRuns: 1 }])
})

// Guards against TWICE: the record of a worker that is lost before its restart is known says nothing of an extension on its way.
t.test('the next leader waits for a late extension to a worker that was lost before its restart was known', async t => {
  const { cell, task } = await cellWithLateExtension({ idsReturn: true })
  cell.restartWorker('w0', { listedAfterMs: 60_000, reachableAfterMs: 60_000 })
  await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'leaseEnd.noted'))
  await cell.timers.advance(500)
  cell.addWorker()
  await replaceLeader(cell, 'refused')
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 1)
  await cell.timers.advance(SETTLED_MS)
  t.same(cell.violations(), [])
})

// Guards against TWICE: a member of a gang is stopped while its start is on its way. The next incarnation accepts the start and is cut off.
t.test('a start in a gang that the next incarnation accepts while it is being stopped runs no task twice', async t => {
  const cell = new WorkflowCell({ workers: 2, cpuMillis: 1_000, maxLeaseMs: MAX_LEASE_MS, runMs: () => 600_000 })
  await cell.waitUntilReady()
  await cell.timers.advance(FORMER_AGE_MS)
  cell.restartWorker('w0', { listedAfterMs: 60_000 })
  const [{ faults }, other] = cell.workers
  faults.answerDelayMs = 200
  other.faults.refuseStarts = 'noRoom'
  await cell.timers.advance(100)
  const workflow = cell.workflow([{ tasks: 2, gang: true }])
  cell.leader!.daemon.service.submit(workflow)
  await cell.timers.advanceUntil(() => cell.records.length > 0, { limitMs: 2_000, stepMs: 1 })
  await cell.timers.advance(0)
  cell.leader!.client.unreachableWorkers.add('w0')
  other.faults.refuseStarts = undefined
  cell.addWorker()
  await cell.timers.advance(SETTLED_MS)
  t.same(cell.violations(), [])
})

// Guards against ends that a worker lists for ever: the first call with a number does not arrive, and the number is sent again, by the next
// leader, too.
t.test('each end is acknowledged although calls are lost, records take long and the leader changes', async t => {
  for (const recordMs of [0, 500]) {
    const cell = new WorkflowCell({ daemons: 5, workers: 2, runMs: () => 200 })
    await cell.waitUntilReady()
    for (const { platform, client, process } of cell.daemons) {
      const txn = platform.txn.bind(platform)
      platform.txn = async (...args) => { await delay(process, recordMs); return txn(...args) }
      const extendLease = client.extendLease.bind(client)
      const sent = new Set<string>()
      client.extendLease = (entry, extension, timeoutMs) => {
        const { faults } = cell.workers.find(worker => worker.entry.id === entry.id)!
        const call = `${entry.id} ${extension.acknowledged}`
        faults.unreachable = extension.acknowledged > 0 && !sent.has(call)
        sent.add(call)
        const answer = extendLease(entry, extension, timeoutMs)
        faults.unreachable = false
        return answer
      }
    }
    for (let job = 0; job < 8; job++) {
      await cell.submit(cell.workflow([{ tasks: 3 }]), cell.leader!)
      await cell.timers.advance(400)
      if (job === 4) await replaceLeader(cell, 'refused')
    }
    await cell.timers.advance(SETTLED_MS)
    const ended = cell.records.filter(({ how }) => how !== undefined)
    t.ok(ended.length >= 24, `${ended.length} runs have ended`)
    t.same(ended.filter(({ acknowledgedMs }) => acknowledgedMs === undefined), [], `records take ${recordMs} ms`)
  }
})

// Guards against TWICE: the loss of the worker is recorded while a start is on its way whose run is being stopped, beside another start.
t.test('the record of a lost worker names a start in a gang that is being stopped', async t => {
  const cell = new WorkflowCell({ daemons: 5, workers: 3, cpuMillis: 1_000, runMs: () => 600_000 })
  await cell.waitUntilReady()
  const [worker, other, spare] = cell.workers
  await cell.timers.advance(FORMER_AGE_MS)
  worker.entry.capacity.cpuMillis = 2_000
  spare.faults.draining = true
  await cell.timers.advance(1_500)
  worker.faults.orderDelayMs = 11_500
  other.faults.refuseStarts = 'noRoom'
  const gang = cell.workflow([{ tasks: 2, gang: true }])
  cell.leader!.daemon.service.submit(cell.workflow([{ tasks: 1, requiredLabel: 'r0' }]))
  cell.leader!.daemon.service.submit(gang)
  await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'run.stop'), { stepMs: 1 })
  worker.faults.refusesConnections = true
  worker.crash()
  await cell.timers.advance(100)
  cell.restartWorker('w0', { listedAfterMs: 60_000, reachableAfterMs: 60_000 })
  await cell.timers.advance(900)
  await replaceLeader(cell, 'refused')
  other.faults.refuseStarts = undefined
  spare.faults.draining = false
  await cell.timers.advance(SETTLED_MS)
  t.same(cell.violations(), [])
})

// Guards against TWICE: the next incarnation has answered and ends, too, and the one after it carries out the start of an earlier leader.
t.test('a late start runs no task twice at the third incarnation under the next leader', async t => {
  for (const replaced of [false, true]) {
    const { cell } = await cellWithStartInTransit({ orderDelayMs: 11_500 })
    await cell.timers.advance(1_500)
    t.ok(cell.events.some(({ name, fields }) => name === 'worker.reached' && fields.worker === 'w0@2'), 'the next incarnation has answered')
    if (replaced) await replaceLeader(cell, 'refused')
    await cell.timers.advance(4_000)
    cell.restartWorker('w0', { reachableAfterMs: 25_000 })
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `leader replaced: ${replaced}`)
  }
})
