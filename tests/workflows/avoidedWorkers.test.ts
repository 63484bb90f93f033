/**
 * Tests with workers that fail or hold up what they start, while the other workers that may run the tasks are full.
 *
 * @module
 */

import t from 'tap'
import { AvoidedWorkers, withoutExcluded } from 'pomelofold/workflows/avoidedWorkers'
import type { Workflow, WorkflowStep } from 'pomelofold/protocol/workflows'
import { WorkflowCell, type WorkflowCellOptions } from './workflowCell.js'

/** Time for which a worker fails all that it starts, in milliseconds. */
const FAILING_MS = 6_500
/** Longest time until a task runs, once its only worker with room is sound, in milliseconds. */
const START_LIMIT_MS = 7_000
/** Label of the only workers that may run the tasks. */
const LABEL = 'b'

/** A cell and what submits a job of one step to it. */
interface LabelledCell { cell: WorkflowCell, submit: (step?: Partial<WorkflowStep>) => Promise<Workflow> }

/** A cell with two workers that have the label. A long-running task fills one of them, and the other one fails all that it starts. */
async function cellWithFailingWorker (options: WorkflowCellOptions = {}): Promise<LabelledCell> {
  const cell = new WorkflowCell({ workers: 6, runMs: task => task.startsWith('1'.padStart(16, '0')) ? 1_000_000 : 400, ...options })
  for (const worker of cell.workers.slice(0, 2)) worker.entry.labels = [LABEL, 'r0']
  await cell.waitUntilReady()
  const submit = async (step: Partial<WorkflowStep> = {}): Promise<Workflow> => {
    const size = { cpuMillis: 2_000, memoryMb: 100, accelerators: 0 }
    const workflow = cell.workflow([{ tasks: 1, requiredLabel: LABEL, size, ...step }])
    await cell.submit(workflow)
    return workflow
  }
  await submit({ longRunning: true, size: { cpuMillis: 7_500, memoryMb: 100, accelerators: 0 } })
  await cell.timers.advanceUntil(() => cell.records.length === 1)
  const { faults } = cell.workers.slice(0, 2).find(({ runs }) => runs.size === 0)!
  faults.failTasks = true
  cell.timers.after(FAILING_MS, () => { faults.failTasks = false })
  return { cell, submit }
}

// Guards against a task that waits for ever beside the only worker with room, since a run of it has failed there (LOST).
t.test('a task that has failed on the only worker with room runs there once the worker has recovered', async t => {
  for (const step of [{}, { speculative: true }, { maxPerWorker: 1 }, { gang: true }]) {
    for (const eligibility of [undefined, { baseMs: 20, perWorkerMs: 1, validMs: 2_000 }]) {
      const { cell, submit } = await cellWithFailingWorker({ queue: { eligibility } })
      const { id } = await submit(step)
      const name = JSON.stringify({ ...step, eligibility })
      await cell.waitForState(id, 'done', { limitMs: FAILING_MS + START_LIMIT_MS })
      t.ok(cell.runsOf(`${id}.0.0.0`).length <= 3, `${name}: ${cell.runsOf(`${id}.0.0.0`).length} starts`)
    }
  }
})

// Guards against the same after a run that has stalled.
t.test('a task that has stalled on the only worker with room runs there once the worker has recovered', async t => {
  let stallsUntilMs = Number.POSITIVE_INFINITY
  const cell: WorkflowCell = new WorkflowCell({
    workers: 2, runMs: task => task.startsWith('1'.padStart(16, '0')) || cell.timers.now() < stallsUntilMs ? 1_000_000_000 : 400
  })
  await cell.waitUntilReady()
  await cell.submit(cell.workflow([{ tasks: 1, longRunning: true, size: { cpuMillis: 7_500, memoryMb: 100, accelerators: 0 } }]))
  await cell.timers.advanceUntil(() => cell.records.length === 1)
  stallsUntilMs = cell.timers.now() + FAILING_MS
  const workflow = cell.workflow([{ tasks: 1 }])
  await cell.submit(workflow)
  await cell.waitForState(workflow.id, 'done', { limitMs: 2 * FAILING_MS + START_LIMIT_MS })
})

// Guards against a task that uses up its attempts on the only worker there is (BUDGET) while that fails all that it starts.
t.test('a task does not use up its attempts on one worker while that fails all that it starts', async t => {
  for (const maxAttempts of [3, 4]) {
    const cell = new WorkflowCell({ workers: 1, queue: { maxAttempts } })
    await cell.waitUntilReady()
    const { faults } = cell.workers[0]
    faults.failTasks = true
    cell.timers.after(FAILING_MS, () => { faults.failTasks = false })
    const workflow = cell.workflow([{ tasks: 1 }])
    await cell.submit(workflow)
    await cell.waitForState(workflow.id, 'done', { limitMs: FAILING_MS + START_LIMIT_MS })
  }
})

// Guards against a gang that uses up its attempts on one bad worker, each time under another of its tasks (LOST).
t.test('a gang that has failed on a worker is not started there again under another task', async t => {
  for (const sameRack of [false, true]) {
    const cell = new WorkflowCell({ workers: 10, cpuMillis: 1_000, runMs: () => 800 })
    await cell.waitUntilReady()
    cell.workers[0].faults.failTasks = true
    const gang = cell.workflow([{ tasks: 4, gang: true, sameRack }])
    await cell.submit(gang)
    await cell.waitForState(gang.id, 'done', { limitMs: 10_000 })
    t.equal(cell.records.filter(({ how }) => how === 'failed').length, 1)
  }
})

// Guards against a wait that is not explained: the task has room, and is not started.
t.test('the log tells that a task waits because it has failed on the workers with room', async t => {
  const { cell, submit } = await cellWithFailingWorker()
  const { id } = await submit()
  await cell.waitForState(id, 'done')
  const events = cell.events.filter(({ fields }) => fields.task === `${id}.0.0.0` || fields.task === `${id}.0.0`)
  t.match(events.find(({ name }) => name === 'task.avoids')?.fields, { worker: /^w\d/, attemptsLeft: 2 })
  t.match(events.find(({ name }) => name === 'step.waiting')?.fields, { cause: 'avoided', openSlots: 0 })
  t.equal(events.filter(({ name }) => name === 'run.start').at(-1)?.fields.avoided, true)
})

t.test('a worker is avoided, then used again: later before the last attempt unless it has succeeded meanwhile', t => {
  const [failing, other] = ['failing', 'other'].map(incarnation => ({ incarnation, lastSuccessStartMs: 0 }))
  const avoid = new AvoidedWorkers()
  avoid.note(failing, { nowMs: 1_000, attemptsLeft: 2 })
  t.same([avoid.has(failing), avoid.has(other)], [true, false])
  t.same([2_000, 3_600].map(nowMs => avoid.excludes(failing, nowMs)), [true, false])
  t.same(withoutExcluded([failing, other], [{ avoid }], 2_000), [other])
  t.same(withoutExcluded([failing, other], [{ avoid }, { avoid: undefined }], 2_000), [failing, other])
  avoid.note(failing, { nowMs: 4_000, attemptsLeft: 1 })
  t.same([6_600, 9_900, 10_100].map(nowMs => avoid.excludes(failing, nowMs)), [true, true, false])
  failing.lastSuccessStartMs = 5_000
  t.same([6_000, 6_600].map(nowMs => avoid.excludes(failing, nowMs)), [true, false])
  t.end()
})
