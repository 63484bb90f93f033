/**
 * Extensions and starts that come late to the next incarnation of a worker, while no scheduler that knows of them leads any more. The
 * cases are those of `tests/spec/formerCallsSpec.ts`.
 *
 * @module
 */

import t from 'tap'
import { cellWithLateExtension, cellWithStartInTransit, replaceLeader } from './leaderChain.js'
import { WorkflowCell } from './workflowCell.js'

const RUN_MS = 600_000
/** Time after which no call is late any more and no lease without extensions goes on, in milliseconds. */
const SETTLED_MS = 30_000

// Guards against TWICE: the second leader records the loss of the next incarnation with the end of the usual lease, and the record of the
// late start is gone when the third leader reads it.
t.test('a late start to a former incarnation runs no task twice under the leader that is elected when it can come no more', async t => {
  for (const lastMs of [10_600, 11_500, 13_500]) {
    const { cell, task } = await cellWithStartInTransit({ orderDelayMs: 11_500, reachableAfterMs: 60_000 })
    await cell.timers.advance(1_500)
    await replaceLeader(cell, 'refused')
    await cell.timers.advance(lastMs)
    await replaceLeader(cell, 'refused')
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `the second leader ends after ${lastMs} ms`)
    t.equal(cell.runsOf(task).filter(({ endMs }) => endMs === Number.POSITIVE_INFINITY).length, 1, 'the task runs')
  }
})

/**
 * Plays a start that comes 11.5 s late to a next incarnation which never answers, and an extension that was sent to the former one
 * 3.5 s after it and comes 11 s late. Returns the violations until the task runs elsewhere.
 */
async function playLateExtension (
  { idsReturn = false, listedAfterMs = 100, restarts = 1, replaced = false }:
  { idsReturn?: boolean, listedAfterMs?: number, restarts?: number, replaced?: boolean } = {}
): Promise<string[]> {
  const { cell, task } = await cellWithLateExtension({ idsReturn })
  for (let restart = 0; restart < restarts; restart++) {
    cell.restartWorker('w0', { listedAfterMs, reachableAfterMs: 60_000 })
    await cell.timers.advance(1_500)
  }
  cell.addWorker()
  if (replaced) await replaceLeader(cell, 'refused')
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 1)
  await cell.timers.advance(SETTLED_MS)
  return cell.violations()
}

// Guards against TWICE: an extension that was sent after the start comes later than it, and prolongs its lease under the next leader.
t.test('a late extension to a former incarnation runs no task twice under the next leader', async t => {
  t.same(await playLateExtension(), [], 'the leader goes on')
  t.same(await playLateExtension({ replaced: true }), [], 'the leader is replaced')
})

// Guards against TWICE: the end of the next incarnation hides an extension that was sent to the one before.
t.test('a late extension to a former incarnation runs no task twice when the next one ends, too', async t => {
  t.same(await playLateExtension({ restarts: 2 }), [])
})

// Guards against TWICE: only the listing of the next incarnation makes late extensions count.
t.test('a late extension to a former incarnation runs no task twice when the directory never lists the next one', async t => {
  t.same(await playLateExtension({ idsReturn: true, listedAfterMs: 60_000 }), [])
})

// Guards against TWICE: the task that the record names waits until the start can come no more, not until a run that it has begun has ended.
t.test('a late start runs no task twice under the next leader when the directory never lists the next incarnation', async t => {
  for (const orderDelayMs of [8_000, 10_000, 11_500]) {
    for (const replaced of [false, true]) {
      const cell = new WorkflowCell({ daemons: 5, cpuMillis: 1_000, runMs: () => RUN_MS })
      await cell.waitUntilReady()
      cell.restartWorker('w1')
      cell.workers[2].faults.draining = true
      await cell.timers.advance(20_000)
      cell.workers[0].faults.orderDelayMs = orderDelayMs
      const workflow = cell.workflow([{ tasks: 1, longRunning: true, requiredLabel: 'r0' }])
      const task = `${workflow.id}.0.0.0`
      await cell.submit(workflow, cell.leader!)
      await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'start.unanswered'))
      cell.restartWorker('w0', { listedAfterMs: 60_000, reachableAfterMs: 60_000 })
      cell.workers[2].faults.draining = false
      await cell.timers.advance(3_000)
      if (replaced) await replaceLeader(cell, 'refused')
      await cell.timers.advance(SETTLED_MS)
      t.same(cell.violations(), [], `carried out ${orderDelayMs} ms late, leader replaced: ${replaced}`)
      t.equal(cell.runsOf(task).filter(({ endMs }) => endMs === Number.POSITIVE_INFINITY).length, 1, 'the task runs')
    }
  }
})
