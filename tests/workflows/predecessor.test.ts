/**
 * Tests of the starts that a new scheduler makes while a worker of the earlier one does not answer: the load pattern of a
 * failure domain that is cut off together with the scheduler in it.
 */

import t from 'tap'
import { WorkflowCell, type TestDaemon } from './workflowCell.js'

/** Times of the starts of tasks whose names begin with `prefix`, in order. */
function startsOf (cell: WorkflowCell, prefix: string): number[] {
  return cell.records.filter(({ task }) => task.startsWith(prefix)).map(({ startMs }) => startMs).sort((a, b) => a - b)
}

/** Kills the scheduler while worker w2 does not answer, and waits for the election of the next one. */
async function replaceScheduler (cell: WorkflowCell): Promise<TestDaemon> {
  const former = cell.leader!
  const followers = cell.daemons.filter(daemon => daemon !== former)
  cell.workers[2].faults.unreachable = true
  former.process.kill()
  // A call of a follower finds that the scheduler's process has ended.
  followers[0].daemon.service.waiting('checks')
  followers[0].daemon.service.state('0'.repeat(16))
  await cell.timers.advanceUntil(() => followers.some(({ daemon }) => daemon.figures().leading))
  return followers.find(({ daemon }) => daemon.figures().leading)!
}

/** Submits a workflow and returns the time until its first start, in milliseconds. */
async function waitOfNewWork (cell: WorkflowCell, at: TestDaemon): Promise<number> {
  const fromMs = cell.timers.now()
  const workflow = cell.workflow()
  await cell.submit(workflow, at)
  await cell.waitForState(workflow.id, 'done', { at })
  return startsOf(cell, workflow.id)[0] - fromMs
}

t.test('new work starts at once under a new scheduler although a worker does not answer', async t => {
  const cell = new WorkflowCell({ daemons: 4 })
  await cell.waitUntilReady()
  await cell.timers.advance(2_000)
  const leader = await replaceScheduler(cell)
  const waitedMs = await waitOfNewWork(cell, leader)
  t.ok(waitedMs < 300, `first start after ${waitedMs} ms`)
})

t.test('new work waits while the earlier scheduler may have found a majority without the store', async t => {
  const cell = new WorkflowCell({ daemons: 4 })
  await cell.waitUntilReady()
  await cell.timers.advance(2_000)
  for (const { platform } of cell.daemons) platform.faults.unreachable = true
  await cell.timers.advance(1_500)
  for (const { platform } of cell.daemons) platform.faults.unreachable = false
  await cell.timers.advance(500)
  const leader = await replaceScheduler(cell)
  const waitedMs = await waitOfNewWork(cell, leader)
  t.ok(waitedMs >= 900, `first start after ${waitedMs} ms`)
})

t.test('a step starts under a new scheduler when the step before it has ended there, although a worker does not answer', async t => {
  const cell = new WorkflowCell({ daemons: 4, runMs: task => task.includes('.0.0.') ? 2_000 : 300 })
  const before = await cell.waitUntilReady()
  const workflow = cell.workflow([{ tasks: 2, requiredLabel: 'r1' }, { tasks: 2, after: [0], requiredLabel: 'r1' }])
  await cell.submit(workflow, before)
  await cell.timers.advance(500)
  const leader = await replaceScheduler(cell)
  await cell.waitForState(workflow.id, 'done', { at: leader })
  const waitedMs = startsOf(cell, `${workflow.id}.0.1.`)[0] - startsOf(cell, `${workflow.id}.0.0.`)[0] - 2_000
  t.ok(waitedMs < 1_000, `the second step started ${waitedMs} ms after the end of the first`)
  t.same(cell.violations(), [])
})

t.test('a step whose predecessor ended before the new scheduler was elected waits for the worker that does not answer', async t => {
  const cell = new WorkflowCell({ daemons: 4, runMs: task => task.includes('.0.0.') ? 300 : 3_000 })
  const before = await cell.waitUntilReady()
  // The second step runs on the worker that will not answer: only its lease tells when its runs have ended.
  cell.workers[2].entry.labels = ['a', 'lost']
  await cell.timers.advance(1_000)
  const workflow = cell.workflow([{ tasks: 2, requiredLabel: 'r1' }, { tasks: 2, after: [0], requiredLabel: 'lost' }])
  await cell.submit(workflow, before)
  await cell.timers.advance(1_000)
  t.equal(startsOf(cell, `${workflow.id}.0.1.`).length, 2)
  await replaceScheduler(cell)
  await cell.timers.advance(2_500)
  t.equal(startsOf(cell, `${workflow.id}.0.1.`).length, 2, 'no second start')
  t.same(cell.violations(), [])
})

// Guards against a slow change of scheduler: an answer from its failure domain shows that no device refuses connections in its place.
t.test('new work starts soon after the end of a scheduler in another failure domain of which a daemon or a worker answers', async t => {
  for (const { neighbour, limitMs } of [{ neighbour: 'a2', limitMs: 300 }, { neighbour: 'c1', limitMs: 600 }]) {
    const cell = new WorkflowCell({ daemons: 0 })
    for (const vm of ['a1', 'b1', 'b2']) cell.startDaemon(vm, { failureDomain: vm[0] })
    cell.startDaemon(neighbour, { failureDomain: neighbour[0], size: 0.5 })
    await cell.waitUntilReady()
    await cell.timers.advance(2_000)
    const leader = await replaceScheduler(cell)
    t.equal(leader.vm, 'b1')
    const waitedMs = await waitOfNewWork(cell, leader)
    t.ok(waitedMs < limitMs, `neighbour ${neighbour}: first start after ${waitedMs} ms`)
  }
})
