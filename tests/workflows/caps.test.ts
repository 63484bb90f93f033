/**
 * Tests with teams that have more to run than their cap allows, while workers fall silent, leaders change and the cap changes.
 *
 * @module
 */

import t from 'tap'
import Result from 'true-myth/result'
import type { Workflow, WorkflowStep } from 'pomelofold/protocol/workflows'
import { WorkflowCell, type TestDaemon, type WorkflowCellOptions } from './workflowCell.js'

const LONG_MS = 60_000

/** A cell in which team `x` has a cap for that many tasks of one core, and `y` has none. */
async function cellWithCap (cores: number, options: WorkflowCellOptions = {}): Promise<WorkflowCell> {
  const cell = new WorkflowCell({ daemons: 1, ...options })
  setCap(cell, cores)
  await cell.waitUntilReady()
  return cell
}

function setCap (cell: WorkflowCell, cores: number): void {
  const teams = [{ name: 'x', cores }, { name: 'y', cores: 0 }]
    .map(({ name, cores }) => ({ name, weight: 1, cap: { cpuMillis: 1_000 * cores, memoryMb: 0, accelerators: 0 } }))
  cell.config.teams = { byName: new Map(teams.map(team => [team.name, team])), nameByKeyHash: new Map() }
}

async function submit (cell: WorkflowCell, step: Partial<WorkflowStep>, { team = 'x', at = cell.leader! } = {}): Promise<Workflow> {
  const workflow = cell.workflow([step], { team })
  await cell.submit(workflow, at)
  return workflow
}

/** Largest number of runs at the time of a start, of all workflows but the excluded ones. */
function peak (cell: WorkflowCell, { fromMs = 0, except = [] }: { fromMs?: number, except?: Workflow[] } = {}): number {
  const runs = cell.records.filter(({ task }) => !except.some(({ id }) => task.startsWith(id)))
  return Math.max(0, ...runs.filter(({ startMs }) => startMs >= fromMs)
    .map(({ startMs }) => runs.filter(other => other.startMs <= startMs && other.endMs > startMs).length))
}

function runningOf (cell: WorkflowCell, { id }: Workflow): number {
  return cell.records.filter(({ task, endMs }) => task.startsWith(id) && endMs === Number.POSITIVE_INFINITY).length
}

async function handOver (cell: WorkflowCell): Promise<TestDaemon> {
  const former = cell.leader!
  former.daemon.handOver()
  await cell.timers.advanceUntil(() => cell.leader !== undefined && cell.leader !== former)
  return cell.leader!
}

// Guards against a team that takes all room, and against caps that hold others or leave allowed room idle.
t.test('a flood of one team runs within its cap, uses it fully and holds nobody else', async t => {
  const cell = await cellWithCap(4)
  const flood = []
  for (let index = 0; index < 6; index++) flood.push(await submit(cell, { tasks: 8 }))
  const other = await submit(cell, { tasks: 8 }, { team: 'y' })
  await cell.timers.advance(200)
  t.equal(runningOf(cell, other), 8)
  for (const { id } of flood) await cell.waitForState(id, 'done')
  t.equal(peak(cell, { except: [other] }), 4)
  t.same(cell.events.filter(({ name }) => name === 'team.cap.reached').map(({ fields }) => [fields.team, fields.resource]), [['x', 'cpuMillis']])
  t.match(cell.events.find(({ name, fields }) => name === 'step.waiting' && fields.cause === 'cap')?.fields, { cap: 4_000, unknown: 0 })
})

// Guards against a team that gets round its cap with tasks that reserve no CPU at their worker.
t.test('tasks that use spare CPU count with their CPU', async t => {
  const cell = await cellWithCap(2, { runMs: () => LONG_MS })
  await submit(cell, { tasks: 5, usesSpareCpu: true })
  await cell.timers.advance(1_000)
  t.equal(cell.records.length, 2)
})

// Guards against a daemon's calls that a flood uses up for tasks that its cap holds.
t.test('no call of the eligibility service is made for tasks that the cap holds', async t => {
  let queries = 0
  const cell = await cellWithCap(2, {
    runMs: () => 5_000,
    queue: { eligibility: { baseMs: 20, perWorkerMs: 1, validMs: 300 } },
    eligibility: () => ({
      query: async (_step, workers) => {
        queries++
        return Result.ok({ tickets: Object.fromEntries(workers.map(name => [name, 'ticket'])), validMs: 300 })
      }
    })
  })
  await submit(cell, { tasks: 2 })
  await cell.timers.advance(1_000)
  t.equal(cell.records.length, 2)
  const before = queries
  await submit(cell, { tasks: 8 })
  await cell.timers.advance(2_000)
  t.equal(queries, before)
})

// Guards against runs above the cap when a run at a silent worker is taken for ended before its lease has ended.
t.test('the runs on a silent worker count until its lease has surely ended', async t => {
  const cell = await cellWithCap(3, { runMs: () => LONG_MS })
  await submit(cell, { tasks: 3, maxPerWorker: 1 })
  const next = await submit(cell, { tasks: 3 })
  await cell.timers.advance(1_000)
  cell.workers[0].faults.unreachable = true
  await cell.timers.advance(12_000)
  t.equal(peak(cell), 3)
  t.equal(cell.records.length, 4, 'the room of the lapsed run is used')
  t.equal(runningOf(cell, next), 1, 'by a task that may run on the other workers')
})

// Guards against runs above the cap when a start without an answer was carried out.
t.test('a start without an answer counts until it is settled', async t => {
  const cell = await cellWithCap(1, { runMs: () => LONG_MS, workers: 2 })
  cell.workers[1].faults.draining = true
  await cell.timers.advance(1_500)
  Object.assign(cell.workers[0].faults, { loseAnswers: true })
  await submit(cell, { tasks: 1 })
  cell.workers[1].faults.draining = false
  await submit(cell, { tasks: 2 })
  await cell.timers.advance(10_000)
  t.equal(peak(cell), 1)
})

// Guards against runs above the cap when an order reaches a later incarnation of its worker after its run was given up.
t.test('a start that a later incarnation of its worker may carry out counts until it cannot', async t => {
  for (const idsReturn of [true, false]) {
    const cell = await cellWithCap(1, { workers: 2, cpuMillis: 1_000, runMs: () => LONG_MS })
    await cell.timers.advance(10_000)
    if (idsReturn) cell.restartWorker('w1')
    cell.workers[0].faults.orderDelayMs = 9_000
    cell.workers[1].faults.unlisted = true
    await cell.timers.advance(1_500)
    await submit(cell, { tasks: 1 })
    await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'start.unanswered'))
    cell.workers[1].faults.unlisted = false
    await submit(cell, { tasks: 1 })
    cell.workers[0].faults.unreachable = true
    await cell.timers.advance(1_000)
    cell.restartWorker('w0', { listedAfterMs: 100_000, reachableAfterMs: 100_000 })
    await cell.timers.advance(30_000)
    t.equal(peak(cell), 1, `ids have returned before: ${idsReturn}`)
    t.ok(cell.records.length > 1, 'the team goes on after that')
  }
})

// Guards against runs above the cap while a new leader does not know what runs at workers that have not answered it.
t.test('what an earlier leader may have running at silent workers counts for teams that had such work', async t => {
  const cell = await cellWithCap(4, { daemons: 2, workers: 4, runMs: () => LONG_MS })
  await submit(cell, { tasks: 4, maxPerWorker: 1 })
  await cell.timers.advance(1_000)
  for (const { faults } of cell.workers.slice(0, 2)) faults.unreachable = true
  const leader = await handOver(cell)
  const next = await submit(cell, { tasks: 4 }, { at: leader })
  const small = await submit(cell, { tasks: 4 }, { at: leader, team: 'y' })
  await cell.timers.advance(1_500)
  t.equal(runningOf(cell, small), 4, 'a team without work at the earlier leader is not held')
  await cell.timers.advance(12_000)
  t.equal(peak(cell, { except: [small] }), 4)
  t.ok(cell.events.some(({ name, fields }) => name === 'team.cap.reached' && fields.unknown === 2_000), 'held by two unlisted tasks')
  t.equal(runningOf(cell, next), 2, 'the room of the lapsed runs is used')
})

// Guards against a team that is held for the whole capacity of silent workers although little of its work can be there.
t.test('a team is held only for as much as its stored work could have running unseen', async t => {
  const cell = await cellWithCap(4, { daemons: 2, workers: 4, runMs: () => LONG_MS })
  await submit(cell, { tasks: 1 })
  await cell.timers.advance(1_000)
  const used = cell.workers.findIndex(({ runs }) => runs.size > 0)
  cell.workers[used].faults.unreachable = true
  const leader = await handOver(cell)
  const next = await submit(cell, { tasks: 4 }, { at: leader })
  await cell.timers.advance(1_500)
  t.equal(runningOf(cell, next), 3)
  t.equal(peak(cell), 4)
})

// Guards against a team that is held for all its stored work although little of it fits into the silent workers.
t.test('a team is held only for the capacity of the silent workers', async t => {
  const cell = await cellWithCap(12, { daemons: 2, workers: 4, runMs: () => LONG_MS })
  await submit(cell, { tasks: 40, requiredLabel: 'missing' })
  await cell.timers.advance(1_000)
  cell.workers[0].faults.unreachable = true
  const leader = await handOver(cell)
  const next = await submit(cell, { tasks: 12 }, { at: leader })
  await cell.timers.advance(1_500)
  t.equal(runningOf(cell, next), 4)
})

// Guards against runs above the cap when the runs of a cancelled workflow are forgotten with it.
t.test('the runs of a cancelled workflow count until they are gone, also for the next leader', async t => {
  for (const changesLeader of [false, true]) {
    const cell = await cellWithCap(2, { daemons: 2, runMs: () => LONG_MS })
    const cancelled = await submit(cell, { tasks: 2 })
    await cell.timers.advance(1_000)
    for (const { faults, runs } of cell.workers) faults.unreachable = runs.size > 0
    await cell.advanceUntilSettled(cell.leader!.daemon.service.cancel(cancelled.id))
    await cell.waitForState(cancelled.id, 'cancelled')
    const at = changesLeader ? await handOver(cell) : cell.leader!
    const next = await submit(cell, { tasks: 2 }, { at })
    await cell.timers.advance(12_000)
    t.equal(peak(cell), 2, `leader changes: ${changesLeader}`)
    t.equal(runningOf(cell, next), 2, 'the next workflow runs after that')
  }
})

// Guards against stops for a lowered cap, starts before the team is below it, and a raised cap that is used late.
t.test('a lowered cap stops nothing and starts nothing until the team is below it, and a raised one is used at once', async t => {
  const cell = await cellWithCap(6, { runMs: task => task.startsWith('0000000000000001') ? 3_000 + 1_000 * Number(task.at(-1)) : LONG_MS })
  await submit(cell, { tasks: 6 })
  await submit(cell, { tasks: 8 })
  await cell.timers.advance(500)
  setCap(cell, 2)
  await cell.timers.advance(6_000)
  t.equal(cell.records.length, 6)
  t.equal(cell.records.filter(({ how }) => how === 'stopped').length, 0)
  await cell.timers.advance(3_000)
  t.equal(peak(cell, { fromMs: cell.records[5].startMs + 1 }), 2)
  setCap(cell, 5)
  await cell.timers.advance(200)
  t.equal(cell.records.filter(({ endMs }) => endMs === Number.POSITIVE_INFINITY).length, 5)
})

// Guards against work that a change of the configuration lets run without any limit.
t.test('a team that is not configured any more keeps its last cap', async t => {
  const cell = await cellWithCap(2, { runMs: () => 500 })
  const workflow = await submit(cell, { tasks: 8 })
  await cell.timers.advance(200)
  cell.config.teams = { byName: new Map(), nameByKeyHash: new Map() }
  await cell.waitForState(workflow.id, 'done')
  t.equal(peak(cell), 2)
})

// Guards against parts of a gang above the cap, and against small tasks that pass a gang for ever.
t.test('a gang that is larger than the rest of the cap starts as a whole, and later small tasks do not pass it for long', async t => {
  const cell = await cellWithCap(4, { runMs: () => 700 })
  await submit(cell, { tasks: 2 })
  await cell.timers.advance(100)
  const gang = await submit(cell, { tasks: 4, gang: true })
  for (let index = 0; index < 40; index++) {
    await submit(cell, { tasks: 1 })
    await cell.timers.advance(120)
  }
  await cell.waitForState(gang.id, 'done', { limitMs: 1_000 })
  t.equal(peak(cell), 4)
})

// Guards against copies of late tasks above the cap.
t.test('copies of late tasks count', async t => {
  const cell = await cellWithCap(2, { runMs: (task, worker) => task.startsWith('0000000000000002') || worker === 'w0' ? LONG_MS : 300 })
  cell.workers[2].faults.draining = true
  await cell.timers.advance(1_500)
  await submit(cell, { tasks: 2, speculative: true, maxPerWorker: 1 })
  await submit(cell, { tasks: 1 })
  await cell.timers.advance(5_000)
  t.equal(cell.records.length, 3)
  t.equal(peak(cell), 2)
  setCap(cell, 3)
  await cell.timers.advance(500)
  t.equal(cell.records.length, 4, 'the copy starts once the cap allows it')
})
