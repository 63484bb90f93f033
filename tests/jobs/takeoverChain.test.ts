/**
 * Tests of the review of issue 52 for the placer of jobs: waits of a takeover that begin anew with each placer or each silent worker.
 *
 * @module
 */

import t from 'tap'
import { JobCell, type EntryVm } from './jobCell.js'

const LEASE_MS = 12_000
const MAX_DELIVERY_MS = 3_000
const SHORT_LEASES = { leaseMs: LEASE_MS, renewEveryMs: 4_000, maxDeliveryMs: MAX_DELIVERY_MS, probeEveryMs: 1_000 }
/** Time in which a task is started again once the lease of its former worker has ended, in milliseconds. */
const RESTART_MS = 3_000

/** Starts a job of several tasks, and crashes a worker with some of them for good. Returns the number of its tasks. */
async function strand (cell: JobCell): Promise<{ placer: EntryVm, stranded: number }> {
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'long', { count: 6, runMs: 600_000 })
  await cell.timers.advance(1_000)
  const gone = cell.fullestWorker()
  const stranded = gone.tasks.size
  gone.faults.cut = true
  return { placer, stranded }
}

// Guards against a wait that begins anew with each placer (LOST).
t.test('a chain of placers does not prolong the wait for a worker that is cut off', async t => {
  for (const { count, lastMs } of [{ count: 1, lastMs: 0 }, { count: 3, lastMs: 8_000 }]) {
    const cell = new JobCell({ cfg: SHORT_LEASES })
    let { placer, stranded } = await strand(cell)
    const cutMs = cell.timers.now()
    for (let index = 0; index < count; index++) {
      if (index > 0) await cell.timers.advance(lastMs)
      cell.kill(placer)
      placer = await cell.addPlacer()
    }
    await cell.timers.advanceUntil(() => cell.runs.length >= 6 + stranded, { limitMs: 120_000 })
    const lateMs = cell.timers.now() - cutMs - LEASE_MS - MAX_DELIVERY_MS
    t.ok(lateMs <= RESTART_MS, `${count} placers: started ${lateMs} ms after the longest lease`)
    t.same(cell.violations(), [])
  }
})

// Guards against a wait for workers that no earlier placer can have used (LOST).
t.test('workers that join after a takeover and never answer do not prolong its wait', async t => {
  for (const joining of [0, 4]) {
    const cell = new JobCell({ cfg: SHORT_LEASES })
    const { placer, stranded } = await strand(cell)
    const cutMs = cell.timers.now()
    cell.kill(placer)
    await cell.addPlacer()
    for (let index = 0; index < joining; index++) {
      await cell.timers.advance(6_000)
      cell.vms = [...cell.vms, { ...cell.vms[0], name: `joined-${index}`, address: `joined-${index}:1` }]
    }
    await cell.timers.advanceUntil(() => cell.runs.length >= 6 + stranded, { limitMs: 120_000 })
    const lateMs = cell.timers.now() - cutMs - LEASE_MS - MAX_DELIVERY_MS
    t.ok(lateMs <= RESTART_MS, `${joining} silent workers join: started ${lateMs} ms after the longest lease`)
    t.same(cell.violations(), [])
  }
})

// Guards against a silent worker that holds every task of a job (LOST).
t.test('a task that was listed to the new placer and was lost since starts again although another worker does not answer', async t => {
  for (const silent of [false, true]) {
    const cell = new JobCell({ cfg: SHORT_LEASES })
    const first = await cell.addPlacer()
    await cell.submit(first, 'long', { count: 2, runMs: 600_000 })
    await cell.timers.advance(1_000)
    const used = cell.workers.filter(worker => worker.tasks.size > 0)
    const idle = cell.workers.find(worker => !used.includes(worker)) ?? used[1]
    idle.faults.cut = silent
    cell.kill(first)
    await cell.addPlacer()
    await cell.timers.advance(6_000)
    const lost = used[0].tasks.size
    used[0].reset()
    const lostMs = cell.timers.now()
    await cell.timers.advanceUntil(() => cell.runs.length >= 2 + lost, { limitMs: 120_000 })
    const waitedMs = cell.timers.now() - lostMs
    t.ok(waitedMs <= 5_000, `another worker is silent ${silent}: started ${waitedMs} ms after the loss`)
    t.same(cell.violations(), [])
  }
})
