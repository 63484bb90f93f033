/**
 * Tests of the life cycle of a workflow, from its submission to its end: its tasks run in the order of the steps and end
 * once, it stops when it is cancelled or has failed too often, and its final state does not change.
 */

import t from 'tap'
import { progressKey } from 'pomelofold/workflows/keys'
import { WorkflowCell } from './workflowCell.js'

t.test('a workflow of two steps runs them in order and ends as done', async t => {
  const cell = new WorkflowCell()
  await cell.waitUntilReady()
  const workflow = cell.workflow([{ tasks: 3 }, { tasks: 2, after: [0] }])
  t.equal(await cell.submit(workflow), 'stored')
  await cell.waitForState(workflow.id, 'done')
  t.equal(cell.records.length, 5)
  const firstEnds = Math.max(...cell.records.filter(run => run.task.includes('.0.0.')).map(run => run.endMs))
  t.ok(cell.records.filter(run => run.task.includes('.0.1.')).every(run => run.startMs >= firstEnds))
  t.same(cell.violations(), [])
})

t.test('a workflow submitted to several daemons runs once', async t => {
  const cell = new WorkflowCell()
  await cell.waitUntilReady()
  const workflow = cell.workflow()
  const outcomes = await cell.advanceUntilSettled(Promise.all([0, 1].map(index => cell.daemons[index].daemon.service.submit(workflow))))
  t.same(outcomes, ['stored', 'stored'])
  await cell.waitForState(workflow.id, 'done')
  t.equal(await cell.submit(workflow, cell.daemons[2]), 'stored')
  await cell.timers.advance(3_000)
  t.equal(cell.records.length, 2)
})

t.test('the tasks of a cancelled workflow are stopped and not started again', async t => {
  const cell = new WorkflowCell({ runMs: () => 60_000 })
  await cell.waitUntilReady()
  const workflow = cell.workflow([{ longRunning: true }])
  await cell.submit(workflow)
  await cell.waitForState(workflow.id, 'running')
  t.equal(await cell.advanceUntilSettled(cell.daemons[1].daemon.service.cancel(workflow.id)), 'cancelled')
  await cell.waitForState(workflow.id, 'cancelled')
  await cell.timers.advance(1_000)
  t.ok(cell.records.every(run => run.how === 'stopped'))
  t.equal(cell.records.length, 2)
})

t.test('a workflow fails after maxAttempts failures of a task, and the task is not started again', async t => {
  const cell = new WorkflowCell({ workers: 4 })
  await cell.waitUntilReady()
  for (const worker of cell.workers) worker.faults.failTasks = true
  const workflow = cell.workflow([{ tasks: 1 }])
  await cell.submit(workflow)
  await cell.waitForState(workflow.id, 'failed')
  await cell.timers.advance(3_000)
  t.equal(cell.records.length, 3)
})

t.test('a long-running task is started again after each end', async t => {
  const cell = new WorkflowCell({ runMs: () => 700 })
  await cell.waitUntilReady()
  const workflow = cell.workflow([{ tasks: 1, longRunning: true }])
  await cell.submit(workflow)
  await cell.timers.advance(5_000)
  t.ok(cell.records.length >= 5)
  t.same(cell.violations().filter(text => text.includes('twice')), [])
})

t.test('no worker runs more tasks than its capacity allows', async t => {
  const cell = new WorkflowCell({ workers: 2, cpuMillis: 4_000 })
  await cell.waitUntilReady()
  const workflows = Array.from({ length: 6 }, () => cell.workflow([{ tasks: 5 }]))
  await cell.advanceUntilSettled(Promise.all(workflows.map(workflow => cell.daemons[0].daemon.service.submit(workflow))))
  for (const workflow of workflows) await cell.waitForState(workflow.id, 'done')
  const times = cell.records.map(run => run.startMs)
  for (const worker of cell.workers) {
    const own = cell.records.filter(run => run.worker === worker.entry.id)
    const most = Math.max(...times.map(at => own.filter(run => run.startMs <= at && run.endMs > at).length))
    t.ok(most <= 4, `${worker.entry.id} ran ${most}`)
  }
  t.same(cell.violations(), [])
})

t.test('a term starts when the watch shows the election before the answer to the write', async t => {
  const cell = new WorkflowCell({ daemons: 1 })
  const [{ daemon, platform }] = cell.daemons
  // Answers to writes arrive after the watch events of the same writes.
  const txn = platform.txn.bind(platform)
  platform.txn = async (guards, changes, options) => {
    const result = await txn(guards, changes, options)
    await new Promise<void>(resolve => { cell.timers.after(50, resolve) })
    return result
  }
  await cell.timers.advanceUntil(() => daemon.figures().epoch > 0)
  await cell.timers.advance(200)
  t.ok(daemon.figures().leading)
})

t.test('a final state is not overwritten when a worker lists the same ends again to the next scheduler', async t => {
  const cell = new WorkflowCell()
  const first = await cell.waitUntilReady()
  const workflow = cell.workflow([{ tasks: 4 }])
  await cell.submit(workflow)
  // The scheduler records the ends and crashes before it can acknowledge them to the workers.
  await cell.timers.advanceUntil(() => cell.events.filter(event => event.name === 'run.ended').length === 4, { stepMs: 1 })
  first.client.disconnected = true
  await cell.timers.advanceUntil(() => cell.events.some(event => event.name === 'workflow.ended'))
  first.process.kill()
  await cell.timers.advanceUntil(() => cell.leader !== undefined && cell.leader !== first)
  await cell.waitUntilReady()
  await cell.timers.advance(5_000)
  t.equal(JSON.parse(cell.store.get(progressKey(workflow.id))!.value).state, 'done')
  t.equal(cell.records.length, 4)
  t.same(cell.violations(), [])
})

t.test('all members of a gang restart from the same checkpoint', async t => {
  const cell = new WorkflowCell({ runMs: () => 2_000 })
  await cell.waitUntilReady()
  const workflow = cell.workflow([{ tasks: 3, gang: true, checkpointing: true }])
  await cell.submit(workflow)
  await cell.timers.advance(1_000)
  // The members report different checkpoints before their runs end because of each other.
  cell.workers.forEach((worker, index) => {
    worker.checkpoint = `checkpoint-${index}`
    worker.endRunsAsBroken()
  })
  await cell.waitForState(workflow.id, 'done')
  const again = cell.records.filter(run => run.checkpoint !== undefined)
  t.equal(again.length, 3)
  t.equal(new Set(again.map(run => run.checkpoint)).size, 1)
  t.equal(new Set(again.map(run => run.attempt)).size, 1)
})

t.test('a task that has failed on every worker is tried again', async t => {
  const cell = new WorkflowCell({ workers: 2, queue: { maxAttempts: 5 } })
  await cell.waitUntilReady()
  for (const worker of cell.workers) worker.faults.failTasks = true
  const workflow = cell.workflow([{ tasks: 1 }])
  await cell.submit(workflow)
  await cell.timers.advanceUntil(() => cell.records.length === 2)
  for (const worker of cell.workers) worker.faults.failTasks = false
  await cell.waitForState(workflow.id, 'done')
})
