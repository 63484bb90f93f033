/**
 * Extensions and starts that come late to the next incarnation of a worker, while no scheduler that knows of them leads any more. The
 * cases are those of `tests/spec/formerCallsSpec.ts`.
 *
 * @module
 */

import t from 'tap'
import { replaceLeader } from './leaderChain.js'
import { WorkflowCell } from './workflowCell.js'

const MAX_LEASE_MS = 10_000
const RUN_MS = 600_000
/** Time after which no call is late any more and no lease without extensions goes on, in milliseconds. */
const SETTLED_MS = 30_000

/**
 * Plays a start that comes 11.5 s late to a next incarnation which never answers, and an extension that was sent to the former one
 * 3.5 s after it and comes 11 s late. Returns the violations until the task runs elsewhere.
 */
async function playLateExtension (
  { idsReturn = false, listedAfterMs = 100, restarts = 1, replaced = false }:
  { idsReturn?: boolean, listedAfterMs?: number, restarts?: number, replaced?: boolean } = {}
): Promise<string[]> {
  const cell = new WorkflowCell({ daemons: 5, workers: 1, maxLeaseMs: MAX_LEASE_MS, runMs: () => RUN_MS })
  await cell.waitUntilReady()
  if (idsReturn) cell.restartWorker('w0')
  await cell.timers.advance(20_000)
  const [{ faults }] = cell.workers
  faults.orderDelayMs = 11_500
  const workflow = cell.workflow([{ tasks: 1, longRunning: true }])
  await cell.submit(workflow, cell.leader!)
  // No stop comes late: it would end the run.
  await cell.timers.advanceUntil(() => cell.events.filter(({ name }) => name === 'start.unanswered').length === 3)
  faults.orderDelayMs = 0
  faults.breaksOrders = true
  await cell.timers.advance(3_500)
  faults.extensionDelayMs = 11_000
  const calls = cell.leader!.client
  const extendLease = calls.extendLease.bind(calls)
  let extended = false
  calls.extendLease = (...args) => { extended = true; return extendLease(...args) }
  await cell.timers.advanceUntil(() => extended)
  for (let restart = 0; restart < restarts; restart++) {
    cell.restartWorker('w0', { listedAfterMs, reachableAfterMs: 60_000 })
    await cell.timers.advance(1_500)
  }
  cell.addWorker()
  if (replaced) await replaceLeader(cell, 'refused')
  await cell.timers.advanceUntil(() => cell.runsOf(`${workflow.id}.0.0.0`).length > 1)
  await cell.timers.advance(SETTLED_MS)
  return cell.violations()
}

// Guards against TWICE: the end of the next incarnation hides an extension that was sent to the one before.
t.test('a late extension to a former incarnation runs no task twice when the next one ends, too', async t => {
  t.same(await playLateExtension({ restarts: 2 }), [])
})

// Guards against TWICE: only the listing of the next incarnation makes late extensions count.
t.test('a late extension to a former incarnation runs no task twice when the directory never lists the next one', async t => {
  t.same(await playLateExtension({ idsReturn: true, listedAfterMs: 60_000 }), [])
})
