/**
 * Tests of what a new scheduler waits for at workers that an earlier scheduler used, when late orders, restarts of workers or lagging
 * watches let the earlier scheduler's starts be carried out after the change.
 *
 * @module
 */

import t from 'tap'
import Result from 'true-myth/result'
import { CallError, EFFECTS } from 'pomelofold/utils/errors'
import { delay } from 'pomelofold/seams/timers'
import { PROGRESS_PREFIX } from 'pomelofold/workflows/keys'
import { delayWatches } from './leaderChain.js'
import { WorkflowCell, type TestDaemon } from './workflowCell.js'

/** Hands leadership over and waits for the next scheduler. */
async function handOver (cell: WorkflowCell): Promise<TestDaemon> {
  const former = cell.leader!
  former.daemon.handOver()
  await cell.timers.advanceUntil(() => cell.leader !== undefined && cell.leader !== former)
  return cell.leader!
}

/** Sequences in which worker w0 restarts around a change of scheduler. */
const RESTARTS = [
  { name: 'listed at once', orderDelayMs: 4_000 },
  { name: 'listed after the lease of a silent worker has ended', orderDelayMs: 8_500, listedAfterMs: 1_500 },
  { name: 'restarted before the change', orderDelayMs: 9_000, beforeChange: true },
  { name: 'answers before it is listed', orderDelayMs: 1_000, listedAfterMs: 4_000, answersMs: [1_000, 2_000] }
]

// Guards against two runs of a task when a late start of the earlier scheduler reaches an incarnation that has not answered the new one.
t.test('a late start of the earlier scheduler at a restarted worker that does not answer runs no task twice', async t => {
  for (const { name, orderDelayMs, listedAfterMs = 0, beforeChange = false, answersMs = [] } of RESTARTS) {
    const cell = new WorkflowCell({ runMs: () => 5_000 })
    const restart = (): void => {
      cell.restartWorker('w0', { listedAfterMs })
      const { faults } = cell.workers[0]
      faults.unreachable = true
      for (const atMs of answersMs) cell.timers.after(atMs, () => { faults.unreachable = !faults.unreachable })
    }
    await cell.waitUntilReady()
    // Workers w0 and w2 have the label; w2 is not used until the change.
    const [worker, , other] = cell.workers
    Object.assign(worker.faults, { orderDelayMs })
    other.faults.draining = true
    await cell.timers.advance(10_000)
    const workflow = cell.workflow([{ tasks: 1, requiredLabel: 'r0' }])
    await cell.submit(workflow, cell.leader!)
    await cell.timers.advance(100)
    worker.faults.unreachable = true
    other.faults.draining = false
    if (beforeChange) restart()
    const leader = await handOver(cell)
    await cell.timers.advance(300)
    if (!beforeChange) restart()
    await cell.timers.advance(10_000)
    cell.workers[0].faults.unreachable = false
    await cell.waitForState(workflow.id, 'done', { at: leader })
    t.same(cell.violations(), [], name)
    t.equal(cell.runsOf(`${workflow.id}.0.0.0`)[0].worker, 'w0', 'the late start was carried out')
  }
})

// Guards against two runs of a task when a scheduler that is still running is taken for ended and learns late that it was replaced.
t.test('a scheduler that is replaced while it is running and cut off from its peers starts no task that its successor starts', async t => {
  const cases = [500, 1_000, 2_000, 4_000].flatMap(lagMs => [false, true].map(readsFail => ({ lagMs, readsFail })))
  for (const { lagMs, readsFail } of cases) {
    const cell = new WorkflowCell({ daemons: 0, runMs: () => 4_000 })
    for (const vm of ['a1', 'a2', 'b1', 'b2', 'c1', 'c2', 'd1']) {
      const daemon = cell.startDaemon(vm, { failureDomain: vm[0] })
      if (vm[0] === 'a') delayWatches(daemon, { lagMs })
    }
    for (const { entry } of cell.workers.slice(1)) entry.failureDomain = 'b'
    const former = await cell.waitUntilReady()
    await cell.timers.advance(5_000)
    const peer = cell.daemons.find(({ vm }) => vm === 'a2')!
    const others = cell.daemons.filter(({ vm }) => vm[0] !== 'a')
    // Domain a is cut off by a device that refuses connections; its worker is reached only from there, the others only from outside.
    cell.refusingDomains.add('a')
    const failed = new CallError('refused', { step: 'store.get', peer: 'store', effect: EFFECTS.none })
    if (readsFail) former.platform.get = async () => Result.err(failed)
    for (const { client } of others) client.unreachableWorkers.add('w0')
    for (const { client } of [former, peer]) for (const id of ['w1', 'w2']) client.unreachableWorkers.add(id)
    others[0].daemon.service.state('0'.repeat(16))
    await cell.timers.advanceUntil(() => others.some(({ daemon }) => daemon.figures().leading))
    const successor = others.find(({ daemon }) => daemon.figures().leading)!
    const ids: string[] = []
    for (let index = 0; index < 16; index++) {
      const workflow = cell.workflow([{ tasks: 1 }])
      ids.push(workflow.id)
      peer.daemon.service.submit(workflow)
      await cell.timers.advance(200)
    }
    for (const id of ids) await cell.waitForState(id, 'done', { at: successor, limitMs: 20_000 })
    t.same(cell.violations(), [], `events of watches come ${lagMs} ms late, reads ${readsFail ? 'fail' : 'are answered'}`)
  }
})

// Guards against two runs of a step when a late copy of an earlier attempt makes the step before it look unfinished.
t.test('a late copy of an attempt that an earlier scheduler has seen end starts no step that this scheduler has started', async t => {
  let firstStepMs = 300
  const cell = new WorkflowCell({ runMs: task => task.includes('.0.0.') ? firstStepMs : 9_000 })
  const former = await cell.waitUntilReady()
  const [worker, silent, other] = cell.workers
  Object.assign(silent.entry, { labels: ['second'] })
  Object.assign(other.entry, { labels: ['second'] })
  other.faults.draining = true
  await cell.timers.advance(10_000)
  // The first try of the start is carried out late, the second at once.
  worker.faults.orderDelayMs = 1_600
  const workflow = cell.workflow([{ tasks: 1, requiredLabel: 'r0' }, { tasks: 1, after: [0], requiredLabel: 'second' }])
  await cell.submit(workflow, former)
  await cell.timers.advance(200)
  worker.faults.orderDelayMs = 0
  // The earlier scheduler cannot record the end of the first step, and starts the second.
  const txn = former.platform.txn.bind(former.platform)
  former.platform.txn = async (guards, changes, options) => {
    if (changes.some(({ key }) => key.startsWith(PROGRESS_PREFIX))) await delay(cell.timers, 30_000)
    return txn(guards, changes, options)
  }
  await cell.timers.advanceUntil(() => cell.runsOf(`${workflow.id}.0.1.0`).length > 0)
  silent.faults.unreachable = true
  other.faults.draining = false
  firstStepMs = 2_500
  cell.restartWorker('w0', { listedAfterMs: 2_000 })
  cell.workers[0].faults.unreachable = true
  await handOver(cell)
  cell.workers[0].faults.unreachable = false
  await cell.timers.advance(6_000)
  t.equal(cell.runsOf(`${workflow.id}.0.0.0`).length, 2, 'the late copy was carried out')
  t.same(cell.violations(), [])
})
