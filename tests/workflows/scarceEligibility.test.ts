/**
 * Tests of who calls a slow eligibility service when many steps wait and few daemons can call it.
 */

import t from 'tap'
import { NO_RESOURCES, type WorkflowStep } from 'pomelofold/protocol/workflows'
import type { QueueConfig } from 'pomelofold/seams/workflowUpstreams'
import { EligibilityQueries } from 'pomelofold/workflows/eligibilityQueries'
import type { PlacementPass } from 'pomelofold/workflows/placementPass'
import { QueryOrder } from 'pomelofold/workflows/queryOrder'
import type { BlockedStep } from 'pomelofold/workflows/readyStep'
import type { WorkerSession } from 'pomelofold/workflows/workerSession'
import { workersToQuery } from 'pomelofold/workflows/workersToQuery'
import { WorkflowRuntime, type StepRuntime } from 'pomelofold/workflows/workflowRuntime'
import { isAmong, slowEligibility, type EligibilityTimes } from './slowEligibility.js'
import { WorkflowCell } from './workflowCell.js'

/** Times of a queue of batch work, and of one of serving tasks. */
const BATCH: EligibilityTimes = { baseMs: 390, perWorkerMs: 5.6, validMs: 2_000 }
const SERVING: EligibilityTimes = { baseMs: 450, perWorkerMs: 6.5, validMs: 2_000 }
/** Share of the workers that steps of either queue may use. */
const ELIGIBLE_SHARE = 0.35

/** A cell with serving tasks and batch work on the same workers. */
function crowdedCell ({ daemons, workers, runMs }: { daemons: number, workers: number, runMs: number }): {
  cell: WorkflowCell, submit: (...args: Parameters<WorkflowCell['workflow']>) => string
} {
  const serving = new Set<string>()
  const cell = new WorkflowCell({
    daemons,
    workers,
    runMs: task => serving.has(task.slice(0, 16)) ? 600_000 : runMs,
    eligibility: slowEligibility({
      times: step => serving.has(step.slice(0, 16)) ? SERVING : BATCH,
      mayRun: (step, worker) => isAmong(ELIGIBLE_SHARE, step, worker)
    })
  })
  const queue = { service: 'leafline', maxAttempts: 3, stretch: 2, targetMs: 1_000 }
  cell.config.queues.set('serving', { ...queue, name: 'serving', priority: 1, eligibility: SERVING })
  cell.config.queues.set('batch', { ...queue, name: 'batch', priority: 2, eligibility: BATCH })
  const submit = (...args: Parameters<WorkflowCell['workflow']>): string => {
    const workflow = cell.workflow(...args)
    if (args[1]?.queue === 'serving') serving.add(workflow.id)
    cell.daemons[0].daemon.service.submit(workflow)
    return workflow.id
  }
  return { cell, submit }
}

const SERVING_STEP = { tasks: 12, longRunning: true, estimateMs: 600_000, size: { cpuMillis: 2_000, memoryMb: 100, accelerators: 0 } }
const BATCH_STEP = { tasks: 10, estimateMs: 3_000, size: { cpuMillis: 3_000, memoryMb: 100, accelerators: 0 } }

t.test('serving tasks whose workers were lost run again 2 s after the lapse while fifty batch steps wait for calls', async t => {
  const { cell, submit } = crowdedCell({ daemons: 6, workers: 40, runMs: 3_000 })
  await cell.waitUntilReady()
  const ids = [submit([SERVING_STEP], { queue: 'serving' }), submit([SERVING_STEP], { queue: 'serving' })]
  const running = (): number => {
    const isRunning = ({ task, endMs }: { task: string, endMs: number }): boolean =>
      ids.some(id => task.startsWith(id)) && !(endMs <= cell.timers.now())
    return new Set(cell.records.filter(isRunning).map(({ task }) => task)).size
  }
  await cell.timers.advance(4_000)
  t.equal(running(), 24)
  for (let index = 0; index < 50; index++) submit([BATCH_STEP], { queue: 'batch' })
  await cell.timers.advance(2_000)
  for (const { entry } of cell.workers.slice(0, 16)) cell.restartWorker(entry.id)
  await cell.timers.advance(100)
  t.ok(running() < 16, `${running()} tasks run on`)
  await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'worker.lapsed'))
  await cell.timers.advance(2_000)
  t.equal(running(), 24)
  const waiting = cell.events.filter(({ name }) => name === 'step.waiting')
  const counts = ['tickets', 'expired', 'ticketSlots', 'eligibleSlots', 'calls', 'ahead', 'busyDaemons']
  t.ok(waiting.length > 0)
  t.ok(waiting.every(({ fields }) => counts.every(count => typeof fields[count] === 'number')), 'the log tells tickets and calls')
})

/** A blocked step for the order of queries. */
function blockedStep (
  queue: Partial<QueueConfig>, spec: Partial<WorkflowStep>, { readyMs, ...others }: Partial<BlockedStep> & { readyMs: number }
): BlockedStep {
  const record = recordSource.workflow([spec])
  const step = new WorkflowRuntime({ record, revision: 1, addedMs: 0 }).steps(0)![0]
  step.readyMs = readyMs
  const config = { name: 'batch', service: 's', priority: 2, maxAttempts: 3, stretch: 2, targetMs: 1_000, eligibility: BATCH, ...queue }
  return { step, queue: config, order: 0, waiting: 2, ...others }
}

const recordSource = new WorkflowCell({ daemons: 0 })

t.test('steps query in the order of their waits, with a handicap for less urgent queues', async t => {
  const batch = blockedStep({}, {}, { readyMs: 1_000 })
  const urgentLater = blockedStep({ priority: 0 }, {}, { readyMs: 4_500 })
  const urgentMuchLater = blockedStep({ priority: 0 }, {}, { readyMs: 5_500 })
  t.same(new QueryOrder().sort([urgentMuchLater, urgentLater, batch], 6_000), [urgentLater, batch, urgentMuchLater])
})

t.test('a step with long-running tasks down queries first, one beyond its budget last', async t => {
  const first = blockedStep({}, {}, { readyMs: 0 })
  const serving = blockedStep({ priority: 1 }, { longRunning: true }, { readyMs: 5_000 })
  serving.step.tasks[0].waitingSinceMs = 5_500
  const late = blockedStep({ priority: 1 }, { longRunning: true }, { readyMs: 4_000 })
  const flood = blockedStep({ priority: 0 }, { longRunning: true }, { readyMs: 0, beyondBudget: true })
  t.same(new QueryOrder().sort([flood, first, serving, late], 5_800), [late, serving, first, flood])
})

t.test('a step whose query started nothing waits from then on', async t => {
  const order = new QueryOrder()
  const [vain, served, other] = [1_000, 1_100, 2_000].map(readyMs => blockedStep({}, {}, { readyMs }))
  order.noteQuery(vain, 3_000)
  order.noteQuery(served, 3_000)
  t.same(order.sort([vain, { ...served, waiting: 1 }, other], 4_000).map(({ step }) => step), [served, other, vain].map(({ step }) => step))
})

/** Steps queried in one pass over `steps` with that many free daemons and eighty empty workers, once for each call. */
function queriedSteps (steps: BlockedStep[], freeDaemons: number): StepRuntime[] {
  const names: string[] = []
  const room = { cpuMillis: 8_000, memoryMb: 64_000, accelerators: 0 }
  const workers = Array.from({ length: 80 }, (_, index) => ({ entry: { id: `w${index}`, capacity: room }, used: NO_RESOURCES, runs: new Map() }))
  const eligibility = {
    isQueryPending: () => false,
    queryWorkers: ({ step }: { step: string }) => names.push(step) > 0,
    isEligible: () => undefined,
    pendingCalls: () => [],
    ticketHolders: () => [],
    counts: { eligibleShare: () => undefined }
  }
  const queries = new EligibilityQueries({
    fleet: { sessions: new Map() },
    eligibility,
    daemons: { freeCount: () => freeDaemons - names.length },
    speedEstimator: { slowness: () => 1 }
  } as unknown as ConstructorParameters<typeof EligibilityQueries>[0])
  const pass = { nowMs: 6_000, workersFor: () => workers, freeRoom: () => room, expectedRoom: () => room }
  queries.queryFor(steps, pass as unknown as PlacementPass)
  return names.map(name => steps.find(({ step }) => step.name === name)!.step)
}

t.test('a step beyond its budget queries only when no other step is due', async t => {
  const flood = blockedStep({ priority: 0 }, {}, { readyMs: 0, beyondBudget: true })
  const usual = blockedStep({}, {}, { readyMs: 5_000 })
  t.same(queriedSteps([flood, usual], 4), [usual.step])
  t.same(queriedSteps([flood], 4), [flood.step])
})

t.test('a query is split over several calls only as far as daemons are left for the other steps', async t => {
  const wide = Array.from({ length: 6 }, () => blockedStep({}, { tasks: 20 }, { readyMs: 0, waiting: 20 }))
  t.equal(queriedSteps(wide.slice(0, 1), 12).length, 3)
  t.same(queriedSteps(wide, 6), wide.map(({ step }) => step))
})

t.test('a query is as large as the share of eligible workers requires', async t => {
  const worker = { entry: { capacity: { cpuMillis: 8_000 } }, used: { cpuMillis: 0 } } as unknown as WorkerSession
  const options = { workers: Array.from({ length: 245 }, () => worker), slowness: () => 1, maxWorkers: 100 }
  const sizeOf = (tasks: number, eligibleShare?: number, slots = 1): number =>
    workersToQuery({ ...options, tasks, eligibleShare, slots: () => slots }).length
  t.equal(sizeOf(1), 32, 'the share is not known')
  t.equal(sizeOf(1, 0.35), 11, 'one in a hundred queries finds no eligible worker')
  t.equal(sizeOf(8, 0.35), 32, 'never more than without the share')
  t.equal(sizeOf(17, 0.35), 68)
  t.equal(sizeOf(17, 0.35, 2), 37)
  t.equal(sizeOf(10, 0.7), 22)
  t.equal(sizeOf(1, 0.01), 32)
})

t.test('calls and tickets are counted by queue: used, expired unused, and the share of eligible workers', async t => {
  const { cell, submit } = crowdedCell({ daemons: 4, workers: 20, runMs: 500 })
  await cell.waitUntilReady()
  submit([{ ...BATCH_STEP, tasks: 1 }], { queue: 'batch' })
  await cell.timers.advance(6_000)
  const { batch } = cell.leader!.daemon.figures().term!.eligibility
  t.match(batch, { calls: 1, failedCalls: 0, asked: 20, usedTickets: 1 })
  t.equal(batch.unusedTickets, batch.tickets - 1)
  t.ok(cell.events.some(({ name, fields }) => name === 'eligibility.counts' && fields.queue === 'batch'))
})
