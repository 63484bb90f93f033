/**
 * Tests with draining workers that are cut off from the scheduler and the directory. Their tasks may start elsewhere only when
 * their runs have surely ended, although their entries disappear from the directory like those of workers that have left.
 *
 * @module
 */

import t from 'tap'
import type { LeasedWorker } from '@pomelofold/standins/leasedWorker'
import { WorkflowCell, type WorkflowCellOptions } from './workflowCell.js'

/** Announced time until the draining worker leaves, in milliseconds. It works on for longer. */
const LEAVES_IN_MS = 400

/** Time in which the entry of a silent worker expires and its lease ends, in milliseconds. */
const SETTLED_MS = 14_000

/** Time from the end of an outage until the entries of workers that reach the directory are back, in milliseconds. */
const ENTRIES_BACK_MS = 1_900

/** Starts a cell whose first worker drains and has two of six long tasks. */
async function drainingCell (options: WorkflowCellOptions = {}): Promise<{ cell: WorkflowCell, worker: LeasedWorker }> {
  const cell = new WorkflowCell({ daemons: 1, workers: 3, runMs: () => 60_000, ...options })
  const leader = await cell.waitUntilReady()
  await cell.submit(cell.workflow([{ tasks: 6, estimateMs: 60_000 }]), cell.daemons.find(daemon => daemon !== leader))
  await cell.timers.advance(2_500)
  const [worker] = cell.workers
  Object.assign(worker.faults, { draining: true, leavesInMs: LEAVES_IN_MS })
  return { cell, worker }
}

/** Number of runs in progress. */
function activeRuns (cell: WorkflowCell): number {
  return cell.records.filter(run => run.endMs === Number.POSITIVE_INFINITY).length
}

// Guards against two runs of one task after the entry of a draining worker that is cut off has expired and its announced time has passed.
t.test('tasks of a draining worker that is cut off and works on start elsewhere only after its lease has ended', async t => {
  for (let cutAfterMs = 0; cutAfterMs <= 3_000; cutAfterMs += 250) {
    const { cell, worker } = await drainingCell()
    await cell.timers.advance(cutAfterMs)
    Object.assign(worker.faults, { unreachable: true, silent: true })
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `cut off after ${cutAfterMs} ms`)
    t.equal(activeRuns(cell), 6, 'all tasks run again')
    const unlisted = cell.events.filter(({ name, fields }) => name === 'worker.unlisted' && fields.worker === 'w0@1')
    t.match(unlisted, [{ fields: { left: false } }])
  }
})

// Guards against two runs of one task when all entries vanish in an outage of the directory, also in one that no reading meets.
t.test('tasks of a draining worker whose entry vanishes in an outage start elsewhere only after its lease has ended', async t => {
  for (const paused of [false, true]) {
    for (const outageMs of [200, 600, 1_200, 1_800]) {
      const { cell, worker } = await drainingCell()
      const [{ client, process }] = cell.daemons
      await cell.timers.advance(1_000)
      Object.assign(worker.faults, { unreachable: true, silent: true })
      client.directoryDown = true
      if (paused) process.freeze()
      await cell.timers.advance(outageMs)
      for (const { faults } of cell.workers) faults.unlisted = true
      client.directoryDown = false
      process.thaw()
      await cell.timers.advance(ENTRIES_BACK_MS)
      for (const { faults } of cell.workers.slice(1)) faults.unlisted = false
      await cell.timers.advance(SETTLED_MS)
      t.same(cell.violations(), [], `an outage of ${outageMs} ms, ${paused ? 'paused' : 'not paused'}`)
      t.equal(activeRuns(cell), 6, 'all tasks run again')
    }
  }
})

// Guards against two runs of one task when another writer overwrites the entry of a draining worker that is cut off.
t.test('tasks of a draining worker whose entry is overwritten by another writer start elsewhere only after its lease has ended', async t => {
  const { cell, worker } = await drainingCell()
  await cell.timers.advance(1_000)
  Object.assign(worker.faults, { unreachable: true, silent: true, entryOverwritten: true })
  await cell.timers.advance(SETTLED_MS)
  t.same(cell.violations(), [])
  t.equal(activeRuns(cell), 6, 'all tasks run again')
})

// Guards against two runs of one task when a new scheduler knows a draining worker that is cut off only from its last entry.
t.test('a new scheduler that finds only the last entry of a draining worker waits for the end of its lease', async t => {
  for (let cutAfterMs = 0; cutAfterMs <= 1_500; cutAfterMs += 250) {
    const { cell, worker } = await drainingCell({ daemons: 3 })
    await cell.timers.advance(cutAfterMs)
    Object.assign(worker.faults, { unreachable: true, silent: true })
    await cell.timers.advance(100)
    cell.leader!.process.kill()
    await cell.timers.advance(SETTLED_MS + 10_000)
    t.same(cell.violations(), [], `cut off after ${cutAfterMs} ms`)
    t.equal(activeRuns(cell), 6, 'all tasks run again')
  }
})

// Guards against waiting for leases of workers that have left, whenever they leave between two heartbeats and two readings.
t.test('tasks of a worker that leaves at any time after a heartbeat start elsewhere before its lease ends', async t => {
  for (let leftAfterMs = 450; leftAfterMs < 2_100; leftAfterMs += 110) {
    const { cell, worker } = await drainingCell()
    await cell.timers.advance(leftAfterMs)
    const leftMs = cell.timers.now()
    worker.crash()
    await cell.timers.advance(3_500)
    t.equal(activeRuns(cell), 6, `left ${leftAfterMs} ms after it began to drain`)
    const again = cell.records.filter(run => run.startMs >= leftMs)
    t.ok(again.length > 0)
    const unlisted = cell.events.filter(({ name, fields }) => name === 'worker.unlisted' && fields.worker === 'w0@1')
    t.match(unlisted, [{ fields: { draining: true, left: true } }])
    t.same(cell.violations(), [])
  }
})
