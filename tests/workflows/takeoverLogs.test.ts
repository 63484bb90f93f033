/** Tests of the lines and figures that tell why tasks wait after a change of scheduler. */

import t from 'tap'
import type { EventFields } from 'pomelofold/utils/eventLog'
import { slowEligibility } from './slowEligibility.js'
import { WorkflowCell, type TestDaemon } from './workflowCell.js'

/** Longest time from the end of a wait until its line, in milliseconds: the longest pause between two placement passes, and rounding. */
const SETTLE_NOTICE_MS = 110
const SLOW_ELIGIBILITY = { baseMs: 150, perWorkerMs: 1, validMs: 2_000 }

/** Starts a cell in which a gang of two long-running tasks runs on workers w1 and w2. */
async function startGang (): Promise<WorkflowCell> {
  const cell = new WorkflowCell({ daemons: 4, runMs: () => 60_000 })
  for (const worker of cell.workers.slice(1)) worker.entry.labels = ['pair']
  await cell.waitUntilReady()
  await cell.submit(cell.workflow([{ tasks: 2, longRunning: true, gang: true, maxPerWorker: 1, requiredLabel: 'pair' }]))
  await cell.timers.advanceUntil(() => cell.records.length === 2)
  await cell.timers.advance(1_000)
  return cell
}

/** Kills the scheduler and waits for the election of the next one. */
async function replaceScheduler (cell: WorkflowCell, { refuses = false } = {}): Promise<TestDaemon> {
  const former = cell.leader!
  const followers = cell.daemons.filter(daemon => daemon !== former)
  former.process.kill()
  if (refuses) followers[0].daemon.service.state('0'.repeat(16))
  await cell.timers.advanceUntil(() => cell.leader !== undefined)
  return cell.leader!
}

/** Fields of the lines with that name. */
function linesOf (cell: WorkflowCell, name: string): EventFields[] {
  return cell.events.filter(event => event.name === name).map(({ fields }) => fields)
}

// Guards against a wait after a change of scheduler whose lines do not tell for which worker, and until when.
t.test('the lines of a wait name the worker that does not answer and the time until it can run nothing', async t => {
  const cell = await startGang()
  cell.workers[2].faults.unreachable = true
  const leader = await replaceScheduler(cell)
  const { epoch } = leader.daemon.figures()
  await cell.timers.advance(500)
  const [task] = cell.workers[1].runs.keys()
  cell.workers[1].endRunsAsBroken()
  await cell.timers.advanceUntil(() => linesOf(cell, 'step.waiting').length === 2)
  const awaited = linesOf(cell, 'inheritance.awaited').filter(fields => fields.epoch === epoch)
  t.match(awaited, [{ workers: 1, names: 'w2@1' }])
  const waiting = { task: task.slice(0, task.lastIndexOf('.')), cause: 'predecessor', workers: 1, names: 'w2@1', predecessorActiveMs: 0 }
  t.match(linesOf(cell, 'step.waiting'), [{ ...waiting, tasks: 1, endedInTerm: 0 }, { ...waiting, tasks: 2, endedInTerm: 1 }])
  const untilMs = cell.timers.now() + Number(linesOf(cell, 'step.waiting')[1].untilMs)
  t.equal(leader.daemon.figures().term!.awaitedWorkers, 1)
  t.ok(leader.daemon.figures().term!.longRunningDownMs > 0)
  await cell.timers.advanceUntil(() => linesOf(cell, 'inheritance.settled').some(fields => fields.epoch === epoch))
  const lateMs = cell.timers.now() - untilMs
  t.ok(lateMs >= 0 && lateMs < SETTLE_NOTICE_MS, `settled ${lateMs} ms after the time in the line`)
  await cell.timers.advance(1_000)
  t.match(linesOf(cell, 'worker.lapsed').filter(fields => fields.worker === 'w2@1'), [{ answered: false, runs: 0 }])
  t.equal(linesOf(cell, 'inheritance.awaited').filter(fields => fields.epoch === epoch).length, 1)
  t.equal(leader.daemon.figures().term!.awaitedWorkers, 0)
})

t.test('the time for which a long-running task is down is measured until its next start', async t => {
  const cell = new WorkflowCell({ daemons: 4, runMs: () => 60_000 })
  await cell.waitUntilReady()
  await cell.submit(cell.workflow([{ tasks: 1, longRunning: true, requiredLabel: 'r1' }, { tasks: 1, requiredLabel: 'r1' }]))
  await cell.timers.advance(1_000)
  t.same(cell.downtimesMs, [], 'the first start ends no downtime')
  cell.crashWorker(cell.workers[1])
  const leader = await replaceScheduler(cell)
  await cell.timers.advance(500)
  const { longRunningDownMs } = leader.daemon.figures().term!
  await cell.timers.advanceUntil(() => cell.downtimesMs.length > 0)
  t.ok(longRunningDownMs > 0 && longRunningDownMs <= cell.downtimesMs[0], `${longRunningDownMs} ms, then ${cell.downtimesMs[0]} ms`)
  await cell.timers.advance(1_000)
  t.equal(cell.downtimesMs.length, 1)
  t.equal(leader.daemon.figures().term!.longRunningDownMs, 0)
})

t.test('the evidence that an earlier scheduler has stopped is logged, and the first call to it that fails', async t => {
  for (const { refuses, evidence } of [{ refuses: false, evidence: /had gone/ }, { refuses: true, evidence: /refuses connections/ }]) {
    const cell = new WorkflowCell({ daemons: 4 })
    const former = await cell.waitUntilReady()
    await cell.timers.advance(2_000)
    const leader = await replaceScheduler(cell, { refuses })
    const { epoch } = leader.daemon.figures()
    await cell.timers.advance(1_000)
    t.match(linesOf(cell, 'term.predecessor.stopped').filter(fields => fields.epoch === epoch), [{ evidence, connected: 3, members: 4 }])
    t.same(linesOf(cell, 'term.predecessor.unreachable').map(({ epoch, peer }) => ({ epoch, peer })), [{ epoch, peer: former.vm }])
    cell.startDaemon(former.vm)
    await cell.timers.advanceUntil(() => linesOf(cell, 'term.predecessor.ended').length > 0)
    t.match(linesOf(cell, 'term.predecessor.ended'), [{ peer: former.vm, evidence: /no such process/ }])
  }
})

t.test('a scheduler that hands over and answers its successor is logged as retired', async t => {
  const cell = new WorkflowCell({ daemons: 4 })
  const former = await cell.waitUntilReady()
  await cell.timers.advance(2_000)
  former.daemon.handOver()
  await cell.timers.advanceUntil(() => linesOf(cell, 'term.predecessor.ended').length > 0)
  t.match(linesOf(cell, 'term.predecessor.ended'), [{ peer: former.vm, evidence: 'it has retired', failures: 0 }])
})

// Guards against lines for each of many calls through a peer that cannot be reached.
t.test('the first of the eligibility calls in a row that fail at a peer is logged, and the end of the row', async t => {
  const cell = new WorkflowCell({
    daemons: 0,
    workers: 6,
    queue: { eligibility: SLOW_ELIGIBILITY },
    eligibility: slowEligibility({ times: () => SLOW_ELIGIBILITY, mayRun: () => true })
  })
  for (const vm of ['a1', 'b1']) cell.startDaemon(vm, { failureDomain: vm[0] })
  await cell.waitUntilReady()
  const submitMany = async (): Promise<void> => {
    for (let index = 0; index < 20; index++) {
      await cell.submit(cell.workflow(), cell.leader!)
      await cell.submit(cell.workflow(), cell.leader!)
      await cell.timers.advance(200)
    }
  }
  cell.cutDomains.add('b')
  await submitMany()
  t.equal(linesOf(cell, 'eligibility.peer.failed').length, 1)
  const failures = linesOf(cell, 'eligibility.failed').length
  t.ok(failures > 1, `${failures} calls failed`)
  cell.cutDomains.clear()
  await submitMany()
  t.match(linesOf(cell, 'eligibility.peer.regained'), [{ failures }])
})
