/**
 * Tests of ends of leases that a new scheduler takes from the record although a run may begin or go on later.
 *
 * @module
 */

import t from 'tap'
import { LEASE_ENDS_KEY, TERM_KEY } from 'pomelofold/workflows/keys'
import { cellWithService, cellWithStartInTransit, cutFromOthers, injectRecordFaults, loseWorker, regainWorker, replaceLeader } from './leaderChain.js'

// Guards against a record that no leader has kept, and that the next but one trusts (TWICE).
t.test('the record of ends of leases is not used when the leader that should have written it anew has ended before', async t => {
  for (const how of ['refused', 'silent'] as const) {
    const service = await cellWithService()
    const { cell, worker } = service
    await loseWorker(cell, worker)
    const record = cell.store.get(LEASE_ENDS_KEY)!.value
    await regainWorker(cell, worker)
    await cell.timers.advance(8_000)
    const { term, size } = JSON.parse(cell.store.get(TERM_KEY)!.value)
    // The leader is one of a version without the record, which extends the lease of the worker.
    cell.store.txn([], [
      { op: 'put', key: TERM_KEY, value: JSON.stringify({ term, size }) },
      { op: 'put', key: LEASE_ENDS_KEY, value: record }
    ])
    await cell.timers.advance(8_000)
    cutFromOthers(cell, worker, cell.leader!)
    const faults = cell.daemons.map(daemon => injectRecordFaults(daemon, cell))
    for (const fault of faults) fault.current = { delayMs: Number.POSITIVE_INFINITY }
    await replaceLeader(cell, 'refused')
    await cell.timers.advance(100)
    for (const fault of faults) fault.current = undefined
    await replaceLeader(cell, how)
    await cell.timers.advance(14_000)
    const [first, second] = cell.runsOf(service.tasks[0])
    t.same(cell.violations(), [], how)
    t.ok(
      first.endMs >= worker.leaseEndMs && second.startMs >= worker.leaseEndMs,
      `${how}: the next run began at ${second.startMs}, the lease ended at ${worker.leaseEndMs}`
    )
  }
})

// Guards against a recorded end of a lease that hides a start which the next incarnation of the worker carries out late (TWICE).
t.test('a late start at a worker that comes back under its id after its recorded lease end runs no task twice', async t => {
  for (const how of ['refused', 'silent'] as const) {
    for (const { backMs, orderDelayMs } of [{ backMs: 7_000, orderDelayMs: 7_400 }, { backMs: 8_000, orderDelayMs: 9_000 }]) {
      const { cell, task } = await cellWithStartInTransit({
        orderDelayMs, listedAfterMs: backMs, reachableAfterMs: backMs + 3_000, refusesConnections: true
      })
      await cell.timers.advance(1_000)
      await replaceLeader(cell, how)
      await cell.timers.advance(30_000)
      const runs = cell.runsOf(task).map(run => `${run.worker} ${run.startMs} to ${run.endMs}`)
      t.same(cell.violations(), [], `leader ${how}, back after ${backMs} ms, late by ${orderDelayMs} ms: ${runs.join(', ')}`)
    }
  }
})

// Guards against a wait that is shorter than the delay of orders to a worker that was lost with the leader (TWICE).
t.test('a late start at a worker that is lost in the moment of its leader and comes back under its id runs no task twice', async t => {
  for (const how of ['refused', 'silent'] as const) {
    for (const { backMs, orderDelayMs } of [{ backMs: 8_000, orderDelayMs: 8_500 }, { backMs: 10_000, orderDelayMs: 10_500 }]) {
      const { cell, task } = await cellWithStartInTransit({ orderDelayMs, listedAfterMs: backMs, reachableAfterMs: backMs + 3_000 })
      await replaceLeader(cell, how)
      await cell.timers.advance(30_000)
      const runs = cell.runsOf(task).map(run => `${run.worker} ${run.startMs} to ${run.endMs}`)
      t.same(cell.violations(), [], `leader ${how}, back after ${backMs} ms, late by ${orderDelayMs} ms: ${runs.join(', ')}`)
    }
  }
})

/** Time for which a leader of a version without the record extends leases after its authority has ended, in milliseconds. */
const LEGACY_EXTENSION_MS = 3_000

// Guards against a bound that leaves out how long the leader before the predecessor extends leases (TWICE).
t.test('a worker that only a leader of an older version reaches is waited for, also by the next leader but one', async t => {
  for (const lastMs of [200, 600, 1_200]) {
    const service = await cellWithService()
    const { cell, worker } = service
    const { term, size } = JSON.parse(cell.store.get(TERM_KEY)!.value)
    cell.store.txn([], [{ op: 'put', key: TERM_KEY, value: JSON.stringify({ term, size }) }])
    await cell.timers.advance(1_000)
    // The older leader is cut off: its authority ends with its lease, and it reaches only this worker.
    for (const daemon of cell.daemons) daemon.client.unreachableWorkers.add(worker.entry.id)
    const { epoch } = worker
    const extension = cell.timers.every(100, () => {
      worker.extend({ epoch, acknowledged: 0, untilMs: worker.clockMs + 6_000, waitMs: 0 })
    })
    await replaceLeader(cell, 'refused')
    // It may start work until 2.5 s after it was replaced.
    cell.timers.after(2_400 + LEGACY_EXTENSION_MS, () => extension.cancel())
    await cell.timers.advance(lastMs)
    await replaceLeader(cell, 'refused')
    await cell.timers.advance(25_000)
    const [first, second] = cell.runsOf(service.tasks[0])
    t.same(cell.violations(), [], `the predecessor lasts ${lastMs} ms`)
    t.ok(second.startMs >= first.endMs, `the next run began at ${second.startMs}, the first ended at ${first.endMs}`)
  }
})
