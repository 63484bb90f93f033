/**
 * Tests with starts that are carried out seconds after they were sent, while their worker lapses, restarts or is cut off.
 *
 * @module
 */

import t from 'tap'
import type { WorkflowStep } from 'pomelofold/protocol/workflows'
import { WorkflowCell } from './workflowCell.js'

/** Delay of a late order in these tests, in milliseconds: below the longest one, so that the order outlives a lease. */
const LATE_MS = 9_000
/** Time from the last submission after which no order is late any more and no lease without extensions goes on, in milliseconds. */
const SETTLED_MS = 25_000
/** Longest delay of an order and longest lease on a slow clock, with some slack, in milliseconds. */
const MAX_WAIT_MS = 12_000 + 6_000 / 0.98 + 500

/**
 * A cell with a step whose first start, at `w0`, is carried out after `LATE_MS`. Its first answer is overdue. With
 * `idsReturn`, another worker has come back under its id before.
 */
async function cellWithLateStart (
  { step = {}, workers = 2, idsReturn = true, runMs = 30_000 }: {
    step?: Partial<WorkflowStep>, workers?: number, idsReturn?: boolean, runMs?: number
  } = {}
): Promise<WorkflowCell> {
  const cell = new WorkflowCell({ daemons: 1, workers, cpuMillis: 1_000, runMs: () => runMs })
  await cell.waitUntilReady()
  // The clock of the next incarnation has to be behind.
  await cell.timers.advance(10_000)
  if (idsReturn) cell.restartWorker('w1')
  const others = cell.workers.slice(1)
  cell.workers[0].faults.orderDelayMs = LATE_MS
  if (!step.gang) for (const { faults } of others) faults.unlisted = true
  await cell.timers.advance(1_500)
  await cell.submit(cell.workflow([{ tasks: 1, ...step }]))
  await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'start.unanswered'))
  for (const { faults } of others) faults.unlisted = false
  return cell
}

/** Tasks that run at the end of a test. */
function runningTasks (cell: WorkflowCell): string[] {
  return cell.records.filter(run => run.endMs === Number.POSITIVE_INFINITY).map(run => run.task).sort()
}

/** Outcomes of the waits for late starts, in order of time. */
function holdOutcomes (cell: WorkflowCell): unknown[] {
  return cell.events.filter(({ name }) => name === 'run.hold.ended').map(({ fields }) => fields.outcome)
}

/** Time from the first start that was sent to the last one, in milliseconds. */
function restartDelayMs (cell: WorkflowCell): number {
  const starts = cell.events.filter(({ name }) => name === 'run.start')
  return starts.at(-1)!.atMs - starts[0].atMs
}

// Guards against two runs of one task when the lease of a worker lapses before its restart behind a cut is known.
t.test('a start that is carried out after its worker lapsed and restarted behind a cut runs no task twice', async t => {
  for (const restartedMs of [100, 500, 2_000, 5_000]) {
    for (const reachedMs of [11_000, 100_000]) {
      const cell = await cellWithLateStart()
      cell.workers[0].faults.unreachable = true
      await cell.timers.advance(restartedMs)
      const reachableAfterMs = reachedMs - restartedMs
      cell.restartWorker('w0', { listedAfterMs: reachableAfterMs, reachableAfterMs })
      await cell.timers.advance(SETTLED_MS)
      const name = `restarted after ${restartedMs} ms, reached after ${reachedMs} ms`
      t.same(cell.violations(), [], name)
      t.equal(runningTasks(cell).length, 1, `${name}: the task runs`)
      t.same(holdOutcomes(cell), [reachedMs < SETTLED_MS ? 'listed' : 'no incarnation of its worker has reported'], name)
    }
  }
})

// Guards against tasks that wait longer for a late start than it can be carried out.
t.test('a task whose start may be carried out late waits no longer than needed', async t => {
  const gone = await cellWithLateStart()
  gone.workers[0].crash()
  await gone.timers.advance(SETTLED_MS)
  t.ok(restartDelayMs(gone) <= MAX_WAIT_MS + 1_500, `its worker never comes back: ${restartDelayMs(gone)} ms after the first try`)
  t.same(gone.violations(), [])

  const elsewhere = await cellWithLateStart({ idsReturn: false })
  elsewhere.workers[0].crash()
  await elsewhere.timers.advance(SETTLED_MS)
  const lapseMs = 6_000 / 0.98 + 2_000
  t.ok(restartDelayMs(elsewhere) <= lapseMs, `no worker comes back under its id: ${restartDelayMs(elsewhere)} ms after the first try`)

  const replaced = await cellWithLateStart()
  replaced.workers[0].crash()
  Object.assign(replaced.workers[1].entry, { address: 'w0', bornMs: 2 })
  await replaced.timers.advance(3_000)
  t.equal(replaced.records.length, 1, 'another id is at its address: the task runs')

  const back = await cellWithLateStart()
  Object.assign(back.workers[0].faults, { unreachable: true, orderDelayMs: 0 })
  await back.timers.advance(6_500)
  t.equal(back.records.length, 0, 'the task waits while the worker does not answer')
  back.workers[0].faults.unreachable = false
  await back.timers.advance(1_500)
  t.equal(back.records.length, 1, 'the same incarnation answers again: the task runs')

  const restarted = await cellWithLateStart()
  await restarted.timers.advance(500)
  restarted.restartWorker('w0')
  await restarted.timers.advance(SETTLED_MS)
  t.ok(restartDelayMs(restarted) <= 12_000 + 1_500 + 1_500, `the next incarnation answers: ${restartDelayMs(restarted)} ms after the first try`)
})

// Guards against two runs of a member of a gang, and against a gang that waits for ever for one of them.
t.test('a gang with a member that may be carried out late starts as a whole once that is settled', async t => {
  for (const reachableAfterMs of [0, 10_000, 100_000]) {
    const cell = await cellWithLateStart({ step: { tasks: 2, gang: true }, workers: 4 })
    cell.workers[0].faults.unreachable = true
    await cell.timers.advance(500)
    cell.restartWorker('w0', { listedAfterMs: reachableAfterMs, reachableAfterMs })
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `reached after ${reachableAfterMs} ms`)
    t.equal(new Set(runningTasks(cell)).size, 2, `reached after ${reachableAfterMs} ms: both members run`)
    const attempts = cell.records.filter(run => run.endMs === Number.POSITIVE_INFINITY).map(run => run.attempt)
    t.equal(new Set(attempts).size, 1, 'they share the attempt')
  }
})

// Guards against two runs of one task when a worker that was told to refuse a late start restarts once more.
t.test('a start that is carried out after two restarts of its worker runs no task twice', async t => {
  for (const secondMs of [600, 2_000, 6_000]) {
    const cell = await cellWithLateStart()
    await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'run.stop'))
    cell.restartWorker('w0')
    await cell.timers.advance(secondMs)
    cell.restartWorker('w0', { listedAfterMs: LATE_MS, reachableAfterMs: LATE_MS })
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `restarted again after ${secondMs} ms`)
    t.equal(runningTasks(cell).length, 1, `restarted again after ${secondMs} ms: the task runs`)
  }
})

// Guards against two runs of one task when one copy of its start has run and ended before the worker restarts.
t.test('a copy of a start that is carried out after the run has ended and the worker has restarted runs no task twice', async t => {
  const cell = await cellWithLateStart()
  Object.assign(cell.workers[0].faults, { orderDelayMs: 0, failTasks: true })
  await cell.timers.advanceUntil(() => cell.records.some(run => run.how === 'failed'))
  await cell.timers.advanceUntil(() => cell.records.length === 2)
  cell.restartWorker('w0')
  await cell.timers.advance(SETTLED_MS)
  t.same(cell.violations(), [])
  t.equal(cell.records.length, 2, 'the next incarnation refuses the copy')
})

// Guards against a second run of a task that is done: the order to refuse the late start of it is late, too.
t.test('a start that comes late to an incarnation that has answered already is refused there', async t => {
  for (const orderDelayMs of [12_000, 0]) {
    const cell = await cellWithLateStart({ runMs: 300 })
    cell.workers[0].faults.orderDelayMs = 0
    await cell.timers.advanceUntil(() => cell.records.some(run => run.how === 'done' && run.acknowledgedMs !== undefined))
    cell.restartWorker('w0')
    cell.workers[0].faults.orderDelayMs = orderDelayMs
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `its orders take ${orderDelayMs} ms`)
    t.equal(cell.records.length, 1, `its orders take ${orderDelayMs} ms: the task has run once`)
    t.equal(cell.events.filter(({ name }) => name === 'term.deposed').length, 0, 'the scheduler goes on')
  }
})

// Guards against a second run of a task that is done, while the next incarnation has answered a call to the former one only.
t.test('a start that comes late to an incarnation that is not listed yet is refused once it has answered', async t => {
  for (const listedAfterMs of [6_000, 8_000]) {
    const cell = await cellWithLateStart({ runMs: 300 })
    const sentMs = cell.timers.now()
    cell.workers[0].faults.orderDelayMs = 0
    await cell.timers.advanceUntil(() => cell.records.some(run => run.how === 'done' && run.acknowledgedMs !== undefined))
    await cell.timers.advance(sentMs + 4_000 - cell.timers.now())
    cell.restartWorker('w0', { listedAfterMs })
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `listed after ${listedAfterMs} ms`)
    t.equal(cell.records.length, 1, `listed after ${listedAfterMs} ms: the task has run once`)
    t.equal(cell.events.filter(({ name }) => name === 'term.deposed').length, 0, 'the scheduler goes on')
    const later = cell.workflow([{ tasks: 2 }])
    await cell.submit(later)
    await cell.waitForState(later.id, 'done', { limitMs: 5_000 })
  }
})

// Guards against two runs of one task when a worker whose lease has lapsed carries out a start that it should refuse as too late.
t.test('a start that is carried out after its worker lapsed and answers again runs no task twice', async t => {
  for (const idsReturn of [true, false]) {
    const cell = await cellWithLateStart({ idsReturn })
    const [worker] = cell.workers
    Object.assign(worker.faults, { unreachable: true, refuseStartsByLeaseInForce: true, orderDelayMs: 0 })
    await cell.timers.advance(7_000)
    worker.faults.unreachable = false
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `ids come back: ${idsReturn}`)
    t.equal(runningTasks(cell).length, 1, 'the task runs')
  }
})
