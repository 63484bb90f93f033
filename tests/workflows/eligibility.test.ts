/**
 * Tests of scheduling with a slow eligibility service, in the load patterns of the users' cells: few daemons that can
 * call it, scarce workers, gangs beside small tasks, and queues of several priorities.
 */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { EligibilityDaemons } from 'pomelofold/workflows/eligibilityDaemons'
import { WAIT_CAUSES, WaitReporter } from 'pomelofold/workflows/waitReporter'
import { WorkflowRuntime } from 'pomelofold/workflows/workflowRuntime'
import type { EventFields } from 'pomelofold/utils/eventLog'
import { isAmong, slowEligibility, type EligibilityTimes } from './slowEligibility.js'
import { WorkflowCell } from './workflowCell.js'

/** Times of a queue whose tasks use accelerators: two thirds of a second for a call about ten workers. */
const SLOW: EligibilityTimes = { baseMs: 560, perWorkerMs: 8, validMs: 2_000 }
/** Times of a queue of batch work. */
const MEDIUM: EligibilityTimes = { baseMs: 200, perWorkerMs: 2.2, validMs: 2_000 }
const WHOLE_WORKER = { cpuMillis: 8_000, memoryMb: 100, accelerators: 0 }
const WHOLE_WORKERS_GANG = { tasks: 2, gang: true, size: WHOLE_WORKER }

interface ServiceQueue {
  priority: number
  eligibility: EligibilityTimes
  /** Indexes of the workers that run the queue's tasks. */
  workers: number[]
}

/** Adds a queue and a service of the same name. */
function addQueue (cell: WorkflowCell, name: string, { priority, eligibility, workers }: ServiceQueue): void {
  cell.config.queues.set(name, { name, service: name, priority, maxAttempts: 3, stretch: 2, targetMs: 1_000, eligibility })
  for (const index of workers) cell.workers[index].entry.service = name
}

/** Time from the first start of a task of the workflow back to `fromMs`; infinite when none has started. */
function firstStartAfter (cell: WorkflowCell, id: string, fromMs: number): number {
  return Math.min(...cell.records.filter(record => record.task.startsWith(id)).map(record => record.startMs)) - fromMs
}

/** Submits a workflow without waiting for the answer. */
function submitNow (cell: WorkflowCell, ...args: Parameters<WorkflowCell['workflow']>): string {
  const workflow = cell.workflow(...args)
  cell.daemons[0].daemon.service.submit(workflow)
  return workflow.id
}

t.test('batch work with room starts within 4 seconds while twenty more urgent steps wait for room', async t => {
  const cell = new WorkflowCell({
    daemons: 4,
    workers: 6,
    runMs: () => 60_000,
    eligibility: slowEligibility({ times: step => urgent.has(step.slice(0, 16)) ? SLOW : MEDIUM, mayRun: () => true })
  })
  const urgent = new Set<string>()
  addQueue(cell, 'imaging', { priority: 1, eligibility: SLOW, workers: [0, 1, 2] })
  addQueue(cell, 'batch', { priority: 2, eligibility: MEDIUM, workers: [3, 4, 5] })
  await cell.waitUntilReady()
  for (let index = 0; index < 20; index++) urgent.add(submitNow(cell, [WHOLE_WORKERS_GANG], { queue: 'imaging' }))
  await cell.timers.advance(2_000)
  const fromMs = cell.timers.now()
  const batch = submitNow(cell, [{ tasks: 4 }], { queue: 'batch' })
  await cell.timers.advance(10_000)
  t.ok(firstStartAfter(cell, batch, fromMs) < 4_000, `first start after ${firstStartAfter(cell, batch, fromMs)} ms`)
})

t.test('a step that waits for room makes no calls that cannot start a task', async t => {
  let calls = 0
  const cell = new WorkflowCell({
    daemons: 4,
    workers: 2,
    runMs: () => 60_000,
    eligibility: slowEligibility({ times: () => SLOW, mayRun: () => true, onCall: () => { calls++ } })
  })
  addQueue(cell, 'imaging', { priority: 1, eligibility: SLOW, workers: [0, 1] })
  await cell.waitUntilReady()
  submitNow(cell, [WHOLE_WORKERS_GANG], { queue: 'imaging' })
  await cell.timers.advance(3_000)
  calls = 0
  for (let index = 0; index < 5; index++) submitNow(cell, [WHOLE_WORKERS_GANG], { queue: 'imaging' })
  await cell.timers.advance(20_000)
  t.equal(calls, 5, 'each step asks once who may run it')
})

t.test('scarce workers stand idle for less than half a call between two runs although few of them may run each step', async t => {
  const runMs = 5_600
  const cell = new WorkflowCell({
    daemons: 6,
    workers: 8,
    runMs: () => runMs,
    eligibility: slowEligibility({ times: () => SLOW, mayRun: (step, worker) => isAmong(0.4, step, worker) })
  })
  addQueue(cell, 'imaging', { priority: 1, eligibility: SLOW, workers: [0, 1, 2, 3, 4, 5, 6, 7] })
  await cell.waitUntilReady()
  for (let index = 0; index < 80; index++) {
    submitNow(cell, [{ tasks: 1, estimateMs: runMs, size: WHOLE_WORKER }], { queue: 'imaging' })
  }
  await cell.timers.advance(5_000)
  const fromMs = cell.timers.now()
  await cell.timers.advance(30_000)
  const untilMs = cell.timers.now()
  const busyMs = cell.records
    .map(({ startMs, endMs }) => Math.max(0, Math.min(endMs, untilMs) - Math.max(startMs, fromMs)))
    .reduce((sum, ms) => sum + ms, 0)
  const share = busyMs / (cell.workers.length * (untilMs - fromMs))
  t.ok(share >= 0.95, `busy for ${share.toFixed(3)} of the time`)
})

t.test('a gang starts while small tasks of a less urgent queue take every piece of room', async t => {
  const cell = new WorkflowCell({ daemons: 4, workers: 4, runMs: () => 1_500, queue: { priority: 2 } })
  cell.config.queues.set('gangs', { ...cell.config.queues.get('checks')!, name: 'gangs', priority: 1 })
  await cell.waitUntilReady()
  const smallStep = { tasks: 4, estimateMs: 1_500, size: { cpuMillis: 2_000, memoryMb: 100, accelerators: 0 } }
  const submitSmall = (): void => { submitNow(cell, [smallStep]) }
  for (let index = 0; index < 10; index++) submitSmall()
  await cell.timers.advance(1_000)
  const fromMs = cell.timers.now()
  const gang = submitNow(cell, [{ tasks: 4, gang: true, estimateMs: 1_500, size: WHOLE_WORKER }], { queue: 'gangs' })
  for (let index = 0; index < 40; index++) {
    submitSmall()
    await cell.timers.advance(300)
  }
  const waitedMs = firstStartAfter(cell, gang, fromMs)
  t.ok(waitedMs < 4_500, `the gang started after ${waitedMs} ms: its wait before it reserves room, and two runs of small tasks`)
})

t.test('an urgent step with room starts within 300 ms while 400 overnight steps wait for room', async t => {
  const quick: EligibilityTimes = { baseMs: 30, perWorkerMs: 0.4, validMs: 2_500 }
  const cell = new WorkflowCell({
    daemons: 8,
    workers: 30,
    runMs: task => urgent.has(task.slice(0, 16)) ? 400 : 60_000,
    eligibility: slowEligibility({ times: step => urgent.has(step.slice(0, 16)) ? quick : SLOW, mayRun: () => true })
  })
  const urgent = new Set<string>()
  const everyWorker = cell.workers.map((_worker, index) => index)
  addQueue(cell, 'urgent', { priority: 0, eligibility: quick, workers: everyWorker })
  addQueue(cell, 'overnight', { priority: 2, eligibility: SLOW, workers: everyWorker })
  for (const worker of cell.workers) worker.entry.service = 'overnight'
  cell.config.queues.get('urgent')!.service = 'overnight'
  await cell.waitUntilReady()
  const large = { tasks: 1, size: { cpuMillis: 7_000, memoryMb: 100, accelerators: 0 } }
  for (let index = 0; index < 430; index++) submitNow(cell, [large], { queue: 'overnight' })
  await cell.timers.advance(12_000)
  const fromMs = cell.timers.now()
  const id = submitNow(cell, [{ tasks: 2, size: { cpuMillis: 500, memoryMb: 100, accelerators: 0 } }], { queue: 'urgent' })
  urgent.add(id)
  await cell.timers.advance(2_000)
  t.ok(firstStartAfter(cell, id, fromMs) < 300, `first start after ${firstStartAfter(cell, id, fromMs)} ms`)
})

t.test('a step that is queried in several calls starts on the first answer', async t => {
  const calls: string[][] = []
  const cell = new WorkflowCell({
    daemons: 40,
    workers: 120,
    cpuMillis: 1_000,
    eligibility: slowEligibility({ times: () => SLOW, mayRun: () => true, onCall: (_step, workers) => { calls.push(workers) } })
  })
  addQueue(cell, 'wide', { priority: 2, eligibility: SLOW, workers: cell.workers.map((_worker, index) => index) })
  await cell.waitUntilReady()
  const fromMs = cell.timers.now()
  const id = submitNow(cell, [{ tasks: 20 }], { queue: 'wide' })
  await cell.timers.advance(1_500)
  t.ok(calls.length > 1)
  t.ok(calls.every(workers => workers.length <= 30))
  t.ok(firstStartAfter(cell, id, fromMs) < 1_000, 'one call about 80 workers would take 1,200 ms')
})

t.test('daemons that do not answer are used for calls less and less often', async t => {
  const timers = new ManualTimers()
  const daemons = new EligibilityDaemons({ timers, daemons: () => ['cut-off', 'd1', 'd2'] })
  t.equal(daemons.take(50), 'cut-off')
  daemons.release('cut-off', { failed: true })
  await timers.advance(1_000)
  t.equal(daemons.take(50), 'd1', 'a daemon without failures comes first')
  t.equal(daemons.take(50), 'd2')
  t.equal(daemons.take(50), 'cut-off', 'the pause is over')
  daemons.release('cut-off', { failed: true })
  await timers.advance(400)
  t.equal(daemons.take(50), undefined, 'the pause is longer after the second failure')
  await timers.advance(300)
  t.equal(daemons.take(50), 'cut-off')
  daemons.release('cut-off', { failed: false })
  t.equal(daemons.take(50), 'cut-off', 'an answer ends the pauses')
})

t.test('the log says why a step waits, at most twenty lines a second, and counts the others', async t => {
  const timers = new ManualTimers()
  const lines: Array<{ name: string, fields: EventFields }> = []
  const reporter = new WaitReporter({ timers, log: { event: (_level, name, fields = {}) => { lines.push({ name, fields }) } } })
  const record = new WorkflowCell({ daemons: 0 }).workflow([{}])
  const steps = Array.from({ length: 30 }, () => new WorkflowRuntime({ record, revision: 1, addedMs: 0 }).steps(0)![0])
  const note = (): void => {
    for (const step of steps) {
      const waitedMs = timers.now()
      reporter.note({ step, queue: 'checks', objectiveMs: 250, tasks: 2, waitedMs, explain: () => ({ cause: WAIT_CAUSES.noRoom, slots: 0 }) })
    }
  }
  note()
  t.same(lines, [], 'not before the objective')
  await timers.advance(300)
  note()
  note()
  t.equal(lines.length, 20)
  t.match(lines[0], { name: 'step.waiting', fields: { cause: 'no-room', slots: 0, waitedMs: 300, tasks: 2 } })
  await timers.advance(5_000)
  note()
  t.ok(lines.some(({ name, fields }) => name === 'step.waiting.omitted' && fields.lines === 10))
  t.equal(reporter.counts['no-room'], 30)
})
