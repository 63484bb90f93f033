/**
 * Tests of the review of issue 52: what the first placement passes after a change of leader cost.
 *
 * @module
 */

import t from 'tap'
import { InheritedWorkers } from 'pomelofold/workflows/inheritedWorkers'
import { replaceLeader } from './leaderChain.js'
import { WorkflowCell } from './workflowCell.js'

/** Number of lines about waiting steps that are written in a second. */
const MAX_LINES = 20

// Guards against a placement pass that lists the awaited workers anew for each waiting step, and takes seconds.
t.test('a pass after a change of leader lists the awaited workers no more often than it writes lines', async t => {
  const reads = new Map<number, number>()
  const cell = new WorkflowCell({ daemons: 5, runMs: () => 600_000 })
  const { get } = Object.getOwnPropertyDescriptor(InheritedWorkers.prototype, 'awaited')!
  Object.defineProperty(InheritedWorkers.prototype, 'awaited', {
    get () {
      const nowMs = cell.timers.now()
      reads.set(nowMs, (reads.get(nowMs) ?? 0) + 1)
      return get!.call(this)
    }
  })
  const leader = await cell.waitUntilReady()
  await cell.timers.advance(3_000)
  const size = { cpuMillis: 8_000, memoryMb: 100, accelerators: 0 }
  for (let index = 0; index < 100; index++) await cell.submit(cell.workflow([{ tasks: 1, size }]), leader)
  await cell.timers.advance(2_000)
  cell.workers[0].faults.unreachable = true
  await replaceLeader(cell, 'silent')
  await cell.timers.advance(5_000)
  const most = Math.max(...reads.values())
  t.ok(most <= MAX_LINES + 2, `${most} times at one time, with 97 waiting steps`)
})
