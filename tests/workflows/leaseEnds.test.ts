/**
 * Tests of tasks whose worker is lost around changes of leader: the lease of the worker bounds the wait, not the election.
 *
 * @module
 */

import t from 'tap'
import { cellWithService, crashForGood, electionsMs, replaceLeader, replaceLeaders, RESTART_MS, timeOfRestart, workerOf } from './leaderChain.js'

/** Longest wait for a worker of which nothing is known, from the election of the first leader that it does not answer, in milliseconds. */
const UNKNOWN_WORKER_MS = 10_500

/** Time in which a long-running task is started again after the last loss in the cell, in milliseconds: 7 s of calm, and 3 s. */
const RESTART_AFTER_LOSS_MS = 10_000

/** Ways in which a leader goes. */
const WAYS = ['silent', 'refused', 'handedOver'] as const

// Guards against a wait that is counted from the election (LOST).
t.test('a task whose worker crashed before the change of leader starts again once the lease of that worker has ended', async t => {
  for (const how of WAYS) {
    const { cell, tasks: [task], worker } = await cellWithService()
    crashForGood(worker)
    await cell.timers.advance(1_000)
    await replaceLeader(cell, how)
    const lateMs = await timeOfRestart(cell, task) - worker.leaseEndMs
    t.ok(lateMs <= RESTART_MS, `leader ${how}: started ${lateMs} ms after the end of the lease`)
    t.same(cell.violations(), [])
  }
})

// Guards against a wait that begins anew with each leader (LOST).
t.test('a chain of leaders that are killed does not prolong the wait for a crashed worker', async t => {
  for (const { how, count, lastMs } of [{ how: 'silent', count: 3, lastMs: 2_000 }, { how: 'refused', count: 4, lastMs: 1_600 }] as const) {
    for (const newVms of [false, true]) {
      const { cell, tasks: [task], worker } = await cellWithService()
      crashForGood(worker)
      await cell.timers.advance(800)
      await replaceLeaders(cell, { how, count, lastMs, newVms })
      const lateMs = await timeOfRestart(cell, task) - worker.leaseEndMs
      t.ok(lateMs <= RESTART_MS, `leaders ${how}, new VMs ${newVms}: started ${lateMs} ms after the end of the lease`)
      t.same(cell.violations(), [])
    }
  }
})

// Guards against a wait that begins anew with each leader (LOST).
t.test('a worker whose VM is gone is waited for until its lease ends, under any number of leaders', async t => {
  const { cell, tasks: [task], worker } = await cellWithService()
  crashForGood(worker, { silent: true })
  await cell.timers.advance(3_000)
  await replaceLeaders(cell, { how: 'refused', count: 3, lastMs: 1_200, newVms: true })
  const lateMs = await timeOfRestart(cell, task) - worker.leaseEndMs
  t.ok(lateMs <= RESTART_MS, `started ${lateMs} ms after the end of the lease`)
  t.same(cell.violations(), [])
})

// Guards against a wait that begins anew with each leader (LOST).
t.test('a chain of leaders that hand over does not prolong the wait for a crashed worker', async t => {
  for (const { count, lastMs } of [{ count: 3, lastMs: 2_500 }, { count: 2, lastMs: 4_900 }]) {
    for (const newVms of [false, true]) {
      const { cell, tasks: [task], worker } = await cellWithService()
      crashForGood(worker)
      await cell.timers.advance(500)
      await replaceLeaders(cell, { how: 'handedOver', count, lastMs, newVms })
      const lateMs = await timeOfRestart(cell, task) - worker.leaseEndMs
      t.ok(lateMs <= RESTART_MS, `a leader each ${lastMs} ms, new VMs ${newVms}: started ${lateMs} ms after the end of the lease`)
      t.same(cell.violations(), [])
    }
  }
})

// Guards against a silent worker that holds every task of the cell (LOST).
t.test('a task whose run was listed to the new leader and failed starts again although another worker does not answer', async t => {
  for (const how of WAYS) {
    const { cell, tasks: [task], worker } = await cellWithService()
    const silent = cell.workers.find(other => other !== worker)!
    silent.faults.unreachable = true
    await replaceLeader(cell, how)
    await cell.timers.advanceUntil(() => cell.events.some(({ name, fields }) => name === 'run.adopted' && fields.task === task))
    // Until then the former leader, of which nothing else is known, may start tasks.
    await cell.timers.advance(1_500)
    const failedMs = cell.timers.now()
    worker.failRun(task)
    const waitedMs = await timeOfRestart(cell, task) - failedMs
    t.ok(waitedMs <= 1_000, `leader ${how}: started ${waitedMs} ms after the failure`)
    t.not(workerOf(cell, task), silent)
    t.same(cell.violations(), [])
  }
})

// Guards against a wait that begins anew with each leader (LOST).
t.test('a worker that never answers any of several leaders is waited for from the election of the first one', async t => {
  for (const { how, count, lastMs } of [{ how: 'refused', count: 4, lastMs: 3_000 }, { how: 'silent', count: 3, lastMs: 2_000 }] as const) {
    for (const newVms of [false, true]) {
      const { cell, tasks: [task], worker } = await cellWithService()
      worker.faults.unreachable = true
      const elections = electionsMs(cell).length
      await replaceLeaders(cell, { how, count, lastMs, newVms })
      const waitedMs = await timeOfRestart(cell, task) - electionsMs(cell)[elections]
      t.ok(waitedMs <= UNKNOWN_WORKER_MS, `leaders ${how}, new VMs ${newVms}: started ${waitedMs} ms after the first election`)
      t.same(cell.violations(), [])
    }
  }
})

// Guards against a wait for leases that nobody can have extended any more (LOST).
t.test('a task whose worker is lost together with the leader starts again in time', async t => {
  for (const silent of [false, true]) {
    const { cell, tasks: [task], worker } = await cellWithService()
    crashForGood(worker, { silent })
    const lostMs = cell.timers.now()
    await replaceLeader(cell, 'silent')
    const waitedMs = await timeOfRestart(cell, task) - lostMs
    t.ok(waitedMs <= RESTART_AFTER_LOSS_MS, `worker silent ${silent}: started after ${waitedMs} ms`)
    t.same(cell.violations(), [])
  }
})
