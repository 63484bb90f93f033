/**
 * Tests of leases that outlast what a new scheduler could take for their end: a lost worker that has answered again, late writes,
 * late copies of runs, and a former scheduler that goes on extending them. No task may run twice.
 *
 * @module
 */

import t, { type Test } from 'tap'
import type { LeasedWorker, RunRecord } from '@pomelofold/standins/leasedWorker'
import { LEASE_ENDS_KEY, TERM_KEY } from 'pomelofold/workflows/keys'
import { runViolations } from './runViolations.js'
import {
  cellWithService, cutFromOthers, followersOf, injectRecordFaults, loseWorker, regainWorker,
  replaceLeader, workerOf, type RecordFaults, type ServiceCell
} from './leaderChain.js'
import { WorkflowCell } from './workflowCell.js'

/** Ways in which a leader goes. */
const WAYS = ['silent', 'refused', 'handedOver'] as const

/** Checks that the first run of a task has lasted as long as the lease of its worker, and that no other run began before. */
function checkFirstRun (t: Test, { cell, tasks: [task], worker, leaseEndViolations }: ServiceCell, name: string): void {
  const [first, second] = cell.runsOf(task)
  const lapsedMs = worker.leaseLapsesMs[0]
  t.same(cell.violations(), [], name)
  t.same(leaseEndViolations, [], name)
  t.ok(first.endMs >= lapsedMs, `${name}: the run ended at ${first.endMs}, the lease at ${lapsedMs}`)
  t.ok(second?.startMs >= lapsedMs, `${name}: the next run began at ${second?.startMs}, the lease ended at ${lapsedMs}`)
}

// Guards against two runs of a task when an old loss of its worker is taken for the end of its lease (TWICE).
t.test('a worker that was lost and has answered again is waited for until the lease that it has now ends', async t => {
  for (const how of WAYS) {
    for (const extendedMs of [20, 400, 2_500, 20_000]) {
      for (const lagMs of how === 'refused' ? [0, 30_000] : [0]) {
        const service = await cellWithService()
        const { cell, worker, lag } = service
        await loseWorker(cell, worker)
        lag.lagMs = lagMs
        await regainWorker(cell, worker)
        await cell.timers.advance(extendedMs)
        cutFromOthers(cell, worker, cell.leader!)
        await replaceLeader(cell, how)
        await cell.timers.advance(14_000)
        checkFirstRun(t, service, `leader ${how}, ${extendedMs} ms after the answer, watches lag ${lagMs} ms`)
      }
    }
  }
})

// Guards against the end of an earlier loss that is taken for that of a later one (TWICE).
t.test('a second loss of a worker does not end with its first one at a daemon that has not seen the time between', async t => {
  const service = await cellWithService()
  const { cell, worker } = service
  const followers = followersOf(cell)
  await loseWorker(cell, worker)
  for (const { platform } of followers) platform.faults.unreachable = true
  await regainWorker(cell, worker)
  await cell.timers.advance(3_500)
  await loseWorker(cell, worker)
  for (const { platform } of followers) platform.faults.unreachable = false
  await cell.timers.advance(500)
  await replaceLeader(cell, 'refused')
  await cell.timers.advance(14_000)
  checkFirstRun(t, service, 'lost twice')
})

/** What becomes of writes of the ends of leases. */
const RECORD_FAULTS: RecordFaults[] = [
  { delayMs: 400 }, { delayMs: 2_000 }, { delayMs: 4_000 }, { delayMs: 1, losesAnswer: true }, { delayMs: Number.POSITIVE_INFINITY }
]

// Guards against a lease that is extended while the store still says that it ends (TWICE).
t.test('no lease is extended while a loss of its worker may be in the store', async t => {
  for (const fault of RECORD_FAULTS) {
    for (const { atLoss, atReturn } of [{ atLoss: true, atReturn: false }, { atLoss: false, atReturn: true }]) {
      for (const extendedMs of [300, 2_500]) {
        const service = await cellWithService()
        const { cell, worker } = service
        const record = injectRecordFaults(cell.leader!, cell)
        record.current = atLoss ? fault : undefined
        await loseWorker(cell, worker)
        record.current = atReturn ? fault : undefined
        await regainWorker(cell, worker)
        await cell.timers.advance(extendedMs)
        cutFromOthers(cell, worker, cell.leader!)
        await replaceLeader(cell, 'refused')
        await cell.timers.advance(14_000)
        const name = `${JSON.stringify(fault)}, at the loss ${atLoss}, at the return ${atReturn}, ${extendedMs} ms after the answer`
        checkFirstRun(t, service, name)
      }
    }
  }
})

// Guards against a lease that is extended while the store still says that it ends (TWICE).
t.test('no lease is extended beyond a loss in the store while the store cannot be reached', async t => {
  for (const beforeReturnMs of [0, 400, 900]) {
    for (const outageMs of [700, 2_200]) {
      const service = await cellWithService()
      const { cell, worker } = service
      await loseWorker(cell, worker)
      for (const { platform } of cell.daemons) platform.faults.unreachable = true
      await cell.timers.advance(beforeReturnMs)
      await regainWorker(cell, worker)
      await cell.timers.advance(outageMs)
      cutFromOthers(cell, worker, cell.leader!)
      cell.leader!.process.kill()
      for (const { platform } of cell.daemons) platform.faults.unreachable = false
      await cell.timers.advance(16_000)
      checkFirstRun(t, service, `store lost ${beforeReturnMs} ms before the return, for ${outageMs} ms after it`)
    }
  }
})

// Guards against a start that gives a worker a lease which outlives the recorded end (TWICE).
t.test('the retry of a start without an answer does not prolong the lease of a worker that has just been lost', async t => {
  for (const lostBeforeMs of [0, 450, 900, 1_900]) {
    for (const silentMs of [300, 600, 1_000]) {
      const service = await cellWithService()
      const { cell, worker } = service
      // Orders without an answer are carried out.
      worker.faults.loseAnswers = true
      for (const other of cell.workers) other.faults.draining = other !== worker
      await cell.timers.advance(1_000)
      worker.faults.unreachable = true
      await cell.timers.advance(lostBeforeMs)
      worker.faults.unreachable = false
      cell.leader!.daemon.service.submit(cell.workflow([{ tasks: 1 }]))
      await cell.timers.advance(100)
      worker.faults.unreachable = true
      await cell.timers.advance(silentMs)
      worker.faults.unreachable = false
      await cell.timers.advance(300)
      cutFromOthers(cell, worker, cell.leader!)
      for (const other of cell.workers) other.faults.draining = false
      await replaceLeader(cell, 'refused')
      await cell.timers.advance(14_000)
      checkFirstRun(t, service, `silent for ${lostBeforeMs} ms before the start and ${silentMs} ms after it`)
    }
  }
})

/** A cell whose new leader sees a late copy of an earlier run, while the last run of the task goes on at a worker that does not answer. */
async function cellWithLateCopy (
  how: typeof WAYS[number]
): Promise<{ cell: WorkflowCell, task: string, copy: RunRecord, worker: LeasedWorker }> {
  const cell = new WorkflowCell({ daemons: 5, runMs: () => 600_000 })
  const former = await cell.waitUntilReady()
  const [first, worker, other] = cell.workers
  for (const { faults } of [worker, other]) faults.draining = true
  // The clock of the next incarnation has to be behind.
  await cell.timers.advance(10_000)
  // The first try of the start is carried out late, the second at once.
  first.faults.orderDelayMs = 1_600
  const workflow = cell.workflow([{ tasks: 1, longRunning: true }])
  const task = `${workflow.id}.0.0.0`
  cell.submit(workflow, former)
  await cell.timers.advance(200)
  first.faults.orderDelayMs = 0
  worker.faults.draining = false
  await cell.timers.advance(500)
  first.faults.draining = true
  await cell.timers.advance(100)
  first.failRun(task)
  await cell.timers.advance(400)
  worker.faults.unreachable = true
  other.faults.draining = false
  cell.restartWorker(first.entry.id, { listedAfterMs: 2_000 })
  cell.workers[0].faults.unreachable = true
  await replaceLeader(cell, how)
  await cell.timers.advanceUntil(() => cell.runsOf(task).length === 3, { limitMs: 5_000 })
  cell.workers[0].faults.unreachable = false
  return { cell, task, copy: cell.runsOf(task)[2], worker }
}

// Guards against a late copy of an earlier run that is taken for the only run of its task (TWICE).
t.test('a late copy at a later incarnation of its worker does not show that its task has no other run', async t => {
  for (const how of ['refused', 'handedOver'] as const) {
    const { cell, task, copy, worker } = await cellWithLateCopy(how)
    await cell.timers.advance(3_000)
    workerOf(cell, task).failRun(task)
    await cell.timers.advance(14_000)
    t.ok(copy.endMs < worker.leaseEndMs, `leader ${how}: the copy ended while the other run went on`)
    t.same(runViolations(cell.records.filter(record => record !== copy), cell.workers), [], `leader ${how}`)
  }
})

// Guards against a second run of a member that the new leader has not seen (TWICE).
t.test('a gang of which a worker has listed only some members starts no member twice', async t => {
  for (const how of WAYS) {
    for (const ends of ['fails', 'goes on'] as const) {
      const { cell, tasks, worker } = await cellWithService({ workers: 5, step: { tasks: 3, gang: true, maxPerWorker: 1 } })
      const silent = workerOf(cell, tasks[1])
      t.not(silent, worker)
      silent.faults.unreachable = true
      await replaceLeader(cell, how)
      await cell.timers.advance(2_500)
      if (ends === 'fails') worker.failRun(tasks[0])
      await cell.timers.advance(20_000)
      t.same(cell.violations(), [], `leader ${how}, the first member ${ends}`)
      const running = tasks.filter(task => cell.runsOf(task).at(-1)!.endMs === Number.POSITIVE_INFINITY)
      if (ends === 'fails') t.same(running, tasks, `leader ${how}: the gang runs again`)
    }
  }
})

// Guards against a recorded end that a leader of a version without the record has left while it extended the lease (TWICE).
t.test('the record of ends of leases is not used after a leader that did not keep it', async t => {
  const service = await cellWithService()
  const { cell, worker } = service
  await loseWorker(cell, worker)
  const record = cell.store.get(LEASE_ENDS_KEY)!.value
  await regainWorker(cell, worker)
  await cell.timers.advance(8_000)
  const { term, size } = JSON.parse(cell.store.get(TERM_KEY)!.value)
  cell.store.txn([], [
    { op: 'put', key: TERM_KEY, value: JSON.stringify({ term, size }) },
    { op: 'put', key: LEASE_ENDS_KEY, value: record }
  ])
  cutFromOthers(cell, worker, cell.leader!)
  await replaceLeader(cell, 'silent')
  await cell.timers.advance(14_000)
  const [first, second] = cell.runsOf(service.tasks[0])
  t.same(cell.violations(), [])
  t.ok(first.endMs >= worker.leaseEndMs && second.startMs >= worker.leaseEndMs, 'the next run began once the lease had ended')
})

/** Starts daemons in five failure domains. With `hideOthers` only the first worker is there. */
function prepareDomains (cell: WorkflowCell, { hideOthers }: { hideOthers: boolean }): void {
  for (const domain of ['a', 'b', 'c', 'd', 'e']) cell.startDaemon(`${domain}1`, { failureDomain: domain })
  for (const { faults } of cell.workers.slice(1)) Object.assign(faults, { unlisted: hideOthers, unreachable: hideOthers })
}

/** Cuts the leader off from the store, its peers and all workers but the one of the service, which only the leader reaches. */
function isolateLeader ({ cell, worker }: ServiceCell): void {
  const former = cell.leader!
  cutFromOthers(cell, worker, former)
  cell.cutDomains.add(former.vm[0])
  former.platform.faults.unreachable = true
  former.client.directoryDown = true
  for (const other of cell.workers.filter(other => other !== worker)) {
    former.client.unreachableWorkers.add(other.entry.id)
    Object.assign(other.faults, { unlisted: false, unreachable: false })
  }
}

// Guards against a bound that is shorter than the time for which a former leader extends leases (TWICE).
t.test('a worker that only a former leader without authority reaches is waited for until its lease ends', async t => {
  for (const phaseMs of [0, 400, 950, 1_340]) {
    for (const others of ['cut off', 'new'] as const) {
      const service = await cellWithService({ daemons: 0, prepare: cell => prepareDomains(cell, { hideOthers: others === 'new' }) })
      const { cell } = service
      await cell.timers.advance(phaseMs)
      isolateLeader(service)
      await cell.timers.advance(16_000)
      checkFirstRun(t, service, `cut ${phaseMs} ms later, the other workers are ${others}`)
    }
  }
})
