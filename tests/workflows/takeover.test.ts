/**
 * Tests of a new scheduler after a crash or an outage: it must continue the stored workflows without losing progress or
 * changing a final state, and no daemon may replace a scheduler that is still running.
 */

import t from 'tap'
import Result from 'true-myth/result'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import type { PlatformClient } from 'pomelofold/seams/platformClient'
import { delay } from 'pomelofold/seams/timers'
import { CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'
import { endedWorkflowSchema, type Workflow } from 'pomelofold/protocol/workflows'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { decodeJson } from 'pomelofold/utils/storedJson'
import { PrefixView } from 'pomelofold/workflows/prefixView'
import { cancellationKey, INTAKE_PREFIX, PROGRESS_PREFIX, progressKey, workflowKey } from 'pomelofold/workflows/keys'
import { WorkflowCell, type TestDaemon } from './workflowCell.js'

/** Delays each list of workflows or progress by `takesMs`, as large lists take long. A list with a shorter timeout fails. */
function delayLists ({ platform, process }: TestDaemon, takesMs: number): void {
  const range = platform.range.bind(platform)
  platform.range = async (prefix, options) => {
    if (prefix !== INTAKE_PREFIX && prefix !== PROGRESS_PREFIX) return range(prefix, options)
    const { timeoutMs = 1_000 } = options ?? {}
    await delay(process, Math.min(takesMs, timeoutMs))
    if (timeoutMs >= takesMs) return range(prefix, options)
    return Result.err(new CallTimeoutError(timeoutMs, { step: 'store.range', peer: 'store', effect: EFFECTS.none }))
  }
}

/** Kills all daemons and waits until their leases have ended. */
async function killAll (cell: WorkflowCell): Promise<void> {
  for (const { process } of cell.daemons) process.kill()
  await cell.timers.advance(4_000)
}

/** A cell whose daemon was killed when one of the two tasks of a workflow was done and the other was running. */
async function cellKilledMidWorkflow (): Promise<{ cell: WorkflowCell, workflow: Workflow }> {
  const cell = new WorkflowCell({ daemons: 1, workers: 1, runMs: task => task.endsWith('.0') ? 200 : 60_000 })
  await cell.waitUntilReady()
  const workflow = cell.workflow()
  await cell.submit(workflow)
  await cell.timers.advance(1_000)
  await killAll(cell)
  return { cell, workflow }
}

t.test('a new scheduler with a slow connection to the store continues a stored workflow', async t => {
  const cell = new WorkflowCell({ daemons: 1 })
  await cell.waitUntilReady()
  const workflow = cell.workflow([{ tasks: 2 }, { tasks: 2, after: [0] }])
  await cell.submit(workflow)
  await killAll(cell)
  delayLists(cell.startDaemon('entry-0'), 3_500)
  await cell.waitUntilReady()
  await cell.waitForState(workflow.id, 'done')
  t.same(cell.violations(), [])
})

t.test('after the end of a workflow only its outcome stays in the store', async t => {
  const cell = new WorkflowCell()
  await cell.waitUntilReady()
  const [done, cancelled] = [cell.workflow(), cell.workflow()]
  await cell.submit(done)
  await cell.submit(cancelled)
  await cell.advanceUntilSettled(cell.daemons[1].daemon.service.cancel(cancelled.id))
  await cell.waitForState(done.id, 'done')
  await cell.waitForState(cancelled.id, 'cancelled')
  t.same([...cell.store.range(INTAKE_PREFIX).values], [])
  t.equal(cell.store.range(PROGRESS_PREFIX).values.length, 2)
})

t.test('the outcome of a workflow is known after a restart of all daemons', async t => {
  const cell = new WorkflowCell()
  await cell.waitUntilReady()
  const workflow = cell.workflow()
  await cell.submit(workflow)
  await cell.waitForState(workflow.id, 'done')
  await killAll(cell)
  for (const vm of ['entry-0', 'entry-1', 'entry-2']) cell.startDaemon(vm)
  await cell.waitUntilReady()
  await cell.waitForState(workflow.id, 'done', { limitMs: 100 })
  t.equal(await cell.submit(workflow, cell.daemons[1]), 'stored')
  await cell.timers.advance(3_000)
  t.equal(cell.records.length, 2, 'submitted again, it does not run again')
  await cell.waitForState(workflow.id, 'done', { limitMs: 100, at: cell.daemons[2] })
})

t.test('a workflow that ends while its state is read is reported as done', async t => {
  const cell = new WorkflowCell()
  await cell.waitUntilReady()
  const workflow = cell.workflow()
  await cell.submit(workflow)
  const [{ daemon, platform }] = cell.daemons.filter(entry => entry !== cell.leader)
  const get = platform.get.bind(platform)
  platform.get = async (key, options) => {
    // The workflow key is read after the end of the workflow, its progress before.
    if (key === workflowKey(workflow.id)) await delay(cell.timers, 2_000)
    return get(key, options)
  }
  const early = await cell.advanceUntilSettled(get(progressKey(workflow.id)))
  t.equal(early.unwrapOr(undefined), undefined, 'nothing is recorded yet')
  const { _session: session } = daemon as unknown as { _session: { _leader: undefined } }
  session._leader = undefined
  t.same(await cell.advanceUntilSettled(daemon.service.state(workflow.id)), { state: 'done' })
})

t.test('a workflow received from a peer before the store is read keeps its recorded progress', async t => {
  const { cell, workflow } = await cellKilledMidWorkflow()
  await cell.timers.advance(8_000)
  const entry = cell.startDaemon('entry-0')
  delayLists(entry, 800)
  await cell.timers.advanceUntil(() => entry.daemon.figures().leading)
  const { _term: term } = entry.daemon as unknown as { _term: { addWorkflow: (record: typeof workflow, revision: number) => void } }
  term.addWorkflow(workflow, 1)
  await cell.waitUntilReady()
  await cell.timers.advance(3_000)
  t.equal(cell.runsOf(`${workflow.id}.0.0.0`).length, 1, 'a task that is done does not run again')
  t.equal(cell.runsOf(`${workflow.id}.0.0.1`).length, 2)
})

t.test('a cancellation that the earlier scheduler did not record is recorded by the next scheduler', async t => {
  const { cell, workflow } = await cellKilledMidWorkflow()
  cell.store.txn([], [{ op: 'put', key: cancellationKey(workflow.id), value: '1' }])
  cell.startDaemon('entry-0')
  await cell.waitUntilReady()
  await cell.waitForState(workflow.id, 'cancelled')
  const [recorded] = cell.store.range(PROGRESS_PREFIX).values
  t.equal(decodeJson(endedWorkflowSchema, recorded.value).unwrapOr(undefined)?.state, 'cancelled')
})

t.test('a cancellation between the end of a workflow and its recording does not change the final state', async t => {
  const cell = new WorkflowCell({ daemons: 1, workers: 1 })
  const { daemon, platform } = await cell.waitUntilReady()
  const workflow = cell.workflow()
  await cell.submit(workflow)
  const txn = platform.txn.bind(platform)
  platform.txn = async (guards, changes, options) => {
    if (changes.some(({ key }) => key === progressKey(workflow.id))) await delay(cell.timers, 300)
    return txn(guards, changes, options)
  }
  await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'workflow.finish'))
  await cell.advanceUntilSettled(daemon.service.cancel(workflow.id))
  await cell.timers.advance(2_000)
  const [recorded] = cell.store.range(PROGRESS_PREFIX).values
  t.equal(decodeJson(endedWorkflowSchema, recorded.value).unwrapOr(undefined)?.state, 'done')
  await cell.waitForState(workflow.id, 'done', { limitMs: 100 })
})

t.test('the larger VM leads again after a restart of all daemons', async t => {
  const cell = new WorkflowCell({ daemons: 0 })
  cell.startDaemon('small', { size: 0.2 })
  cell.startDaemon('large', { size: 1.3 })
  await cell.waitUntilReady()
  t.equal(cell.leader?.vm, 'large')
  await killAll(cell)
  cell.startDaemon('small', { size: 0.2 })
  await cell.timers.advance(300)
  cell.startDaemon('large', { size: 1.3 })
  await cell.waitUntilReady()
  t.equal(cell.leader?.vm, 'large')
})

t.test('a small VM leads when no larger VM becomes a member', async t => {
  const cell = new WorkflowCell({ daemons: 0 })
  cell.startDaemon('small', { size: 0.2 })
  cell.startDaemon('large', { size: 1.3 })
  const large = await cell.waitUntilReady()
  large.process.kill()
  await cell.timers.advanceUntil(() => cell.leader?.vm === 'small')
  t.pass()
})

t.test('a daemon that was cut off from the store does not replace a running scheduler', async t => {
  const cell = new WorkflowCell()
  const leader = await cell.waitUntilReady()
  const [follower] = cell.daemons.filter(entry => entry !== leader)
  const { epoch } = leader.daemon.figures()
  follower.platform.faults.unreachable = true
  await cell.timers.advance(1_500)
  const { _session: session } = follower.daemon as unknown as { _session: { noteLeaderRefusedConnection: (epoch: number) => void } }
  session.noteLeaderRefusedConnection(epoch)
  await cell.timers.advance(4_000)
  follower.platform.faults.unreachable = false
  await cell.timers.advance(3_000)
  t.equal(cell.leader, leader)
  t.equal(leader.daemon.figures().epoch, epoch)
})

t.test('a refused connection that is too old does not replace a running scheduler', async t => {
  const cell = new WorkflowCell()
  const leader = await cell.waitUntilReady()
  const { epoch } = leader.daemon.figures()
  const [follower] = cell.daemons.filter(entry => entry !== leader)
  const txn = follower.platform.txn.bind(follower.platform)
  let slow = true
  follower.platform.txn = async (guards, changes, options) => {
    if (!slow) return txn(guards, changes, options)
    await delay(cell.timers, 1_500)
    return Result.err(new CallTimeoutError(1_500, { step: 'store.txn', peer: 'store', effect: EFFECTS.none }))
  }
  const { _session: session } = follower.daemon as unknown as { _session: { noteLeaderRefusedConnection: (epoch: number) => void } }
  session.noteLeaderRefusedConnection(epoch)
  await cell.timers.advance(1_400)
  slow = false
  await cell.timers.advance(3_000)
  t.equal(leader.daemon.figures().epoch, epoch)
})

t.test('a small view is read within 1.5 seconds of the end of an outage of any length', async t => {
  const timers = new ManualTimers()
  let down = true
  const platform = {
    range: async (_prefix: string, { timeoutMs = 1_000 }: { timeoutMs?: number } = {}) => {
      if (!down) return Result.ok({ values: [], revision: 1 })
      await delay(timers, timeoutMs)
      return Result.err(new CallTimeoutError(timeoutMs, { step: 'store.range', peer: 'store', effect: EFFECTS.none }))
    },
    watch: () => ({ close: () => {} })
  } as unknown as PlatformClient
  for (const outageMs of [3_000, 5_500, 8_000]) {
    down = true
    const view = new PrefixView({ prefix: 'p', platform, timers, log: SILENT_LOG, onChange: () => {} })
    view.start()
    await timers.advance(outageMs)
    down = false
    await timers.advance(1_500)
    t.ok(view.loaded, `after ${outageMs} ms`)
    view.close()
  }
})

t.test('a scheduler that alone loses the store is replaced in two thirds of the time of its lease, and no task runs twice', async t => {
  for (const others of [0, 1]) {
    const cell = new WorkflowCell({ daemons: 5, runMs: () => 1_200 })
    const leader = await cell.waitUntilReady()
    const followers = cell.daemons.filter(daemon => daemon !== leader)
    const workflow = cell.workflow([{ tasks: 6 }, { tasks: 4, after: [0] }])
    await cell.submit(workflow, followers[2])
    await cell.timers.advance(700)
    const lostMs = cell.timers.now()
    for (const { platform } of [leader, ...followers.slice(0, others)]) platform.faults.unreachable = true
    await cell.timers.advanceUntil(() => followers.some(({ daemon }) => daemon.figures().leading))
    const tookMs = cell.timers.now() - lostMs
    t.ok(tookMs < 1_700, `${others} others without the store: replaced after ${tookMs} ms`)
    await cell.waitForState(workflow.id, 'done', { at: followers[2], limitMs: 6_000 })
    t.equal(cell.records.length, 10, 'the new scheduler adopts the running tasks')
    t.same(cell.violations(), [])
  }
})

t.test('a scheduler whose release of leadership got no answer is replaced, and the entry does not stay', async t => {
  const cell = new WorkflowCell({ daemons: 5, runMs: () => 1_200 })
  const leader = await cell.waitUntilReady()
  const followers = cell.daemons.filter(daemon => daemon !== leader)
  leader.platform.faults.unreachable = true
  for (const { platform } of followers) platform.faults.loseAnswers = true
  await cell.timers.advance(1_300)
  for (const { platform } of cell.daemons) Object.assign(platform.faults, { unreachable: false, loseAnswers: false })
  const workflow = cell.workflow()
  await cell.timers.advance(3_000)
  await cell.submit(workflow, followers[2])
  await cell.waitForState(workflow.id, 'done', { at: followers[2], limitMs: 6_000 })
  t.same(cell.violations(), [])
})

t.test('work goes on at once under a new scheduler after a worker has left for good', async t => {
  const cell = new WorkflowCell({ daemons: 4, workers: 4, runMs: task => task.includes('.0.0.') ? 2_000 : 300 })
  await cell.waitUntilReady()
  const leaving = cell.workers[3]
  Object.assign(leaving.faults, { draining: true, leavesInMs: 1_000 })
  await cell.timers.advance(2_000)
  leaving.crash()
  await cell.timers.advance(5_000)
  const workflow = cell.workflow([{ tasks: 2 }, { tasks: 2, after: [0] }])
  await cell.submit(workflow, cell.leader!)
  await cell.timers.advance(500)
  const former = cell.leader!
  const followers = cell.daemons.filter(daemon => daemon !== former)
  former.process.kill()
  await cell.waitForState(workflow.id, 'done', { at: followers[0], limitMs: 20_000 })
  const firstStart = (step: number): number =>
    Math.min(...cell.records.filter(({ task }) => task.startsWith(`${workflow.id}.0.${step}.`)).map(({ startMs }) => startMs))
  const waitedMs = firstStart(1) - firstStart(0) - 2_000
  t.ok(waitedMs < 1_500, `the second step started ${waitedMs} ms after the end of the first`)
  t.same(cell.violations(), [])
})
