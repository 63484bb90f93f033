/**
 * Tests of what a new scheduler waits for at workers that an earlier scheduler used, when late orders, restarts of workers or lagging
 * watches let the earlier scheduler's starts be carried out after the change.
 *
 * @module
 */

import t from 'tap'
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
