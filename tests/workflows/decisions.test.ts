/**
 * Tests of single scheduling decisions: placement, stalled runs, suspended workers, eligibility queries, copies of
 * stragglers and moves off draining workers.
 *
 * @module
 */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import type { EligibilityAnswer, WorkerEntry } from 'pomelofold/seams/workflowUpstreams'
import { TeamUsage } from 'pomelofold/teams/teamUsage'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { workersToQuery } from 'pomelofold/workflows/workersToQuery'
import { remainingRunMs, shouldMoveRun } from 'pomelofold/workflows/drainMoves'
import { EligibilityCache } from 'pomelofold/workflows/eligibilityCache'
import { EligibilityDaemons } from 'pomelofold/workflows/eligibilityDaemons'
import { LeaseClock } from 'pomelofold/workflows/leaseClock'
import { WorkerSpeedEstimator } from 'pomelofold/workflows/workerSpeedEstimator'
import { findStalledRuns } from 'pomelofold/workflows/stalledRuns'
import { placeStep } from 'pomelofold/workflows/stepPlacer'
import { WorkerSession } from 'pomelofold/workflows/workerSession'
import { WorkerSuspensions } from 'pomelofold/workflows/workerSuspensions'
import { RUN_STATES, WorkflowRuntime, type Run, type StepRuntime } from 'pomelofold/workflows/workflowRuntime'
import type { WorkflowStep } from 'pomelofold/protocol/workflows'
import { WorkflowCell } from './workflowCell.js'

const cell = new WorkflowCell({ daemons: 0 })

/** First step of a new workflow with one step. */
function step (spec: Partial<WorkflowStep>): StepRuntime {
  const record = cell.workflow([spec])
  return new WorkflowRuntime({ record, revision: 1, addedMs: 0 }).steps(0)![0]
}

/** Session of a worker without runs. */
function session (name: string, { cpuMillis = 8_000, labels = ['a', 'r1'] } = {}): WorkerSession {
  const entry: WorkerEntry = {
    id: name,
    bornMs: 1,
    service: 's',
    address: name,
    failureDomain: 'a',
    draining: false,
    capacity: {
      cpuMillis, memoryMb: 64_000, accelerators: 0
    },
    labels
  }
  const options = { entry, timers: new ManualTimers(), teamUsage: new TeamUsage() }
  return new WorkerSession(options as unknown as ConstructorParameters<typeof WorkerSession>[0])
}

/** Adds a run of a task to a worker. */
function run (placedStep: StepRuntime, index: number, worker: WorkerSession, extra: Partial<Run> = {}): Run {
  const task = placedStep.tasks[index]
  const value: Run = {
    name: task.name,
    attempt: 1,
    session: worker,
    task,
    team: undefined,
    size: placedStep.spec.size,
    state: RUN_STATES.running,
    adopted: false,
    startedMs: 0,
    pendingStartMs: undefined,
    startConfirmedMs: 0,
    startConfirmedBy: 'host',
    unansweredMs: undefined,
    startBroken: false,
    stopConfirmedMs: undefined,
    percent: 10,
    progressedMs: 0,
    progressedClockMs: 0,
    reading: undefined,
    pacePercent: 100,
    ...extra
  }
  worker.addRun(value)
  return value
}

t.test('an urgent step is placed at the fastest workers first', async t => {
  const placedStep = step({ tasks: 2 })
  const workers = [session('slow', { labels: ['b', 'r1'] }), session('quick')]
  const slowness = (worker: WorkerSession): number => worker.entry.labels[0] === 'b' ? 2.4 : 1
  const plan = placeStep({ step: placedStep, tasks: placedStep.tasks, workers, urgent: true, nowMs: 0, slowness })
  t.same(plan.map(({ worker }) => worker.entry.id), ['quick', 'quick'])
})

// Guards against two runs of one task on one worker, of which the later one ends the earlier one or waits for it.
t.test('a copy of a task is placed beside none of its other runs', async t => {
  const placedStep = step({ tasks: 1, speculative: true })
  const workers = [session('first'), session('second'), session('third')]
  const task = placedStep.tasks[0]
  task.supersededRuns = [run(placedStep, 0, workers[0])]
  task.run = run(placedStep, 0, workers[1], { attempt: 2 })
  const slowness = (worker: WorkerSession): number => worker === workers[2] ? 2 : 1
  const plan = placeStep({ step: placedStep, tasks: [task], workers, urgent: true, nowMs: 0, slowness })
  t.same(plan.map(({ worker }) => worker.entry.id), ['third'])
})

t.test('an overnight step is placed at a worker in use before an empty one', async t => {
  const placedStep = step({ tasks: 2 })
  const [empty, used] = [session('empty'), session('used')]
  run(step({}), 0, used)
  const plan = placeStep({
    step: placedStep, tasks: placedStep.tasks, workers: [empty, used], urgent: false, nowMs: 0, slowness: () => 1
  })
  t.same(plan.map(({ worker }) => worker.entry.id), ['used', 'used'])
})

t.test('a gang is placed completely or not at all', async t => {
  const placedStep = step({ tasks: 5, gang: true, size: { cpuMillis: 4_000, memoryMb: 1, accelerators: 0 } })
  const options = { step: placedStep, tasks: placedStep.tasks, urgent: false, nowMs: 0, slowness: () => 1 }
  t.equal(placeStep({ ...options, workers: [session('a'), session('b')] }).length, 0)
  t.equal(placeStep({ ...options, workers: [session('a'), session('b'), session('c')] }).length, 5)
})

t.test('a gang that requires one rack is placed in one rack if it fits, else across racks', async t => {
  const placedStep = step({ tasks: 4, gang: true, sameRack: true, size: { cpuMillis: 4_000, memoryMb: 1, accelerators: 0 } })
  const workers = [session('a', { labels: ['k', 'r1'] }), session('b', { labels: ['k', 'r2'] }), session('c', { labels: ['k', 'r2'] })]
  const options = { step: placedStep, tasks: placedStep.tasks, urgent: false, nowMs: 0, slowness: () => 1 }
  t.same(new Set(placeStep({ ...options, workers }).map(({ worker }) => worker.entry.labels[1])), new Set(['r2']))
  t.equal(placeStep({ ...options, workers: workers.slice(0, 2) }).length, 4)
})

t.test('no worker gets more tasks of a step than maxPerWorker', async t => {
  const placedStep = step({ tasks: 5, maxPerWorker: 2 })
  const plan = placeStep({
    step: placedStep, tasks: placedStep.tasks, workers: [session('a'), session('b')], urgent: true, nowMs: 0, slowness: () => 1
  })
  t.equal(plan.length, 4)
})

t.test('tasks that use spare CPU reserve memory but no CPU', async t => {
  const placedStep = step({ tasks: 3, usesSpareCpu: true, size: { cpuMillis: 8_000, memoryMb: 20_000, accelerators: 0 } })
  t.equal(placeStep({ step: placedStep, tasks: placedStep.tasks, workers: [session('a')], urgent: false, nowMs: 0, slowness: () => 1 }).length, 3)
})

t.test('runs count as stalled only when no run of their worker makes progress', async t => {
  const placedStep = step({ tasks: 2, estimateMs: 800 })
  const worker = session('a')
  const runs = [run(placedStep, 0, worker), run(placedStep, 1, worker, { progressedClockMs: 2_900 })]
  t.same(findStalledRuns(runs, 3_000), [])
  t.equal(findStalledRuns([runs[0]], 3_000).length, 1)
  t.same(findStalledRuns([runs[0]], 900), [])
})

t.test('runs of long-running steps and gangs never count as stalled', async t => {
  const worker = session('a')
  t.same(findStalledRuns([run(step({ longRunning: true }), 0, worker), run(step({ gang: true }), 0, worker)], 60_000), [])
})

t.test('a worker that fails tasks of two workflows is suspended, and the next suspension is longer', async t => {
  const timers = new ManualTimers()
  const suspensions = new WorkerSuspensions({ timers, log: SILENT_LOG })
  suspensions.noteEnd('w', 'one', 'failed')
  t.notOk(suspensions.isSuspended('w'))
  suspensions.noteEnd('w', 'two', 'failed')
  t.ok(suspensions.isSuspended('w'))
  await timers.advance(4_100)
  t.notOk(suspensions.isSuspended('w'))
  suspensions.noteEnd('w', 'three', 'failed')
  suspensions.noteEnd('w', 'four', 'failed')
  await timers.advance(4_100)
  t.ok(suspensions.isSuspended('w'))
})

t.test('failures of a single workflow do not suspend a worker', async t => {
  const suspensions = new WorkerSuspensions({ timers: new ManualTimers(), log: SILENT_LOG })
  for (let index = 0; index < 8; index++) suspensions.noteEnd('w', 'one', 'failed')
  t.notOk(suspensions.isSuspended('w'))
})

t.test('a worker is estimated as slow by its own run times, and until it has some by those of its kind', t => {
  const speedEstimator = new WorkerSpeedEstimator()
  const [quick, slow] = [session('quick'), session('slow')]
  for (let index = 0; index < 20; index++) {
    speedEstimator.noteRunTime({ worker: quick, workload: 'checks', estimateMs: 1_000, ranMs: 700 })
    speedEstimator.noteRunTime({ worker: slow, workload: 'checks', estimateMs: 1_000, ranMs: 1_700 })
    speedEstimator.noteRunTime({ worker: session('other kind', { labels: ['b', 'r1'] }), workload: 'checks', estimateMs: 1_000, ranMs: 1_700 })
  }
  t.equal(speedEstimator.slowness(quick), 1)
  t.ok(Math.abs(speedEstimator.slowness(slow) - 1_700 / 700) < 0.15, `${speedEstimator.slowness(slow)}`)
  t.ok(speedEstimator.slowness(session('new', { labels: ['b', 'r1'] })) > 2)
  t.equal(speedEstimator.slowness(session('unknown', { labels: ['c', 'r1'] })), 1)
  t.end()
})

t.test('wrong estimates of a workload do not count against the workers on which it runs', t => {
  const speedEstimator = new WorkerSpeedEstimator()
  const [quick, slow] = [session('quick'), session('slow')]
  for (let index = 0; index < 200; index++) {
    speedEstimator.noteRunTime({ worker: index % 10 ? quick : slow, workload: 'overdue', estimateMs: 500, ranMs: index % 10 ? 1_400 : 2_800 })
    speedEstimator.noteRunTime({ worker: index % 10 ? slow : quick, workload: 'checks', estimateMs: 1_000, ranMs: index % 10 ? 1_400 : 700 })
  }
  t.equal(speedEstimator.slowness(quick), 1)
  t.ok(Math.abs(speedEstimator.slowness(slow) - 2) < 0.2, `${speedEstimator.slowness(slow)}`)
  t.end()
})

t.test('a workflow that asks for a million occurrences at once does not fill the memory of the scheduler', t => {
  const record = cell.workflow([{ tasks: 1 }], { repeat: { times: 1_000_000, startAtMs: 0, intervalMs: 0 } })
  const workflow = new WorkflowRuntime({ record, revision: 1, addedMs: 0 })
  t.equal(workflow.openSteps(1).length, 256)
  t.equal(workflow.occurrences.size, 256)
  workflow.markDone(workflow.task(0, 0, 0)!)
  t.equal(workflow.openSteps(1).at(-1)!.occurrence, 256, 'the next one follows')
  t.end()
})

t.test('a lease does not count as held when the VM may have been suspended beyond its end', async t => {
  let [monotonic, wall] = [1_000, 5_000_000]
  const clock = new LeaseClock({ now: () => monotonic, wallClock: () => wall } as unknown as ManualTimers)
  clock.noteRenewal(monotonic, wall, 2_500)
  monotonic += 500
  wall += 500
  t.ok(clock.remainingMs > 1_900)
  wall += 3_000
  t.ok(clock.remainingMs <= 0)
  t.equal(clock.sinceRenewalMs, Number.POSITIVE_INFINITY)
  clock.noteRenewal(monotonic, wall, 2_500)
  t.ok(clock.remainingMs > 2_400)
})

t.test('long calls to the eligibility service leave daemons free for short calls, and each daemon makes one call at a time', async t => {
  const timers = new ManualTimers()
  const calls: Array<{ vm: string, step: string, answer: (answer: EligibilityAnswer) => void }> = []
  const cache = new EligibilityCache({
    timers,
    log: SILENT_LOG,
    daemons: new EligibilityDaemons({ timers, daemons: () => ['d1', 'd2', 'd3', 'd4'] }),
    queryThroughDaemon: (vm, name) => new Promise(resolve => calls.push({ vm, step: name, answer: resolve })),
    onAnswer: () => {}
  })
  const workers = [{ id: 'w1', incarnation: 'w1@1' }, { id: 'w2', incarnation: 'w2@1' }]
  for (let index = 0; index < 5; index++) cache.queryWorkers({ step: `long${index}`, workers, queue: 'q', priority: 2, expectedMs: 800 })
  t.equal(calls.length, 2)
  cache.queryWorkers({ step: 'short', workers, queue: 'q', priority: 0, expectedMs: 45 })
  t.equal(calls.length, 3)
  t.equal(new Set(calls.map(call => call.vm)).size, 3)
  calls[2].answer({ tickets: { w1: 'ticket' }, validMs: 2_000 })
  await timers.advance(1)
  t.equal(cache.ticket('short', 'w1@1'), 'ticket')
  t.equal(cache.isEligible('short', 'w2@1'), false)
  await timers.advance(1_900)
  t.equal(cache.ticket('short', 'w1@1'), undefined, 'the ticket has expired')
  t.equal(cache.isEligible('short', 'w1@1'), true, 'the answer itself does not expire')
})

t.test('a straggler of a speculative step is copied, and the first run to finish counts', async t => {
  const slow = new Set(['w0'])
  const ownCell = new WorkflowCell({ workers: 3, runMs: () => 400 })
  await ownCell.waitUntilReady()
  ownCell.workers.filter(worker => slow.has(worker.entry.id)).forEach(worker => { Object.assign(worker, { _runMs: () => 20_000 }) })
  const workflow = ownCell.workflow([{ tasks: 6, speculative: true, maxPerWorker: 2 }])
  await ownCell.submit(workflow)
  await ownCell.waitForState(workflow.id, 'done', { limitMs: 3_000 })
  await ownCell.timers.advance(1_000)
  t.ok(ownCell.records.some(record => record.how === 'stopped'), 'the late run is stopped')
})

t.test('a task at an unreachable worker is copied without waiting for the lease to end', async t => {
  const ownCell = new WorkflowCell({ workers: 3, runMs: () => 400 })
  await ownCell.waitUntilReady()
  const workflow = ownCell.workflow([{ tasks: 6, speculative: true }])
  await ownCell.submit(workflow)
  ownCell.workers[0].faults.unreachable = true
  await ownCell.waitForState(workflow.id, 'done', { limitMs: 3_500 })
})

t.test('a run that ends before its worker leaves is not moved', async t => {
  const [placedStep, worker] = [step({ tasks: 1, estimateMs: 1_000 }), session('w')]
  const half = run(placedStep, 0, worker, { percent: 50, startedMs: 0, progressedMs: 500 })
  t.notOk(shouldMoveRun(half, { leavesAtMs: 1_200, nowMs: 600 }))
  t.equal(remainingRunMs(half, 600), 400)
})

t.test('a run that cannot end before its worker leaves is moved if little work is lost', async t => {
  const [placedStep, worker] = [step({ tasks: 1, estimateMs: 6_000 }), session('w')]
  const young = run(placedStep, 0, worker, { percent: 0, startedMs: 0, progressedMs: 0 })
  t.ok(shouldMoveRun(young, { leavesAtMs: 2_300, nowMs: 300 }), 'its run time so far is less than the time until the worker leaves')
  const old = run(placedStep, 0, worker, { percent: 50, startedMs: 0, progressedMs: 3_000 })
  t.notOk(shouldMoveRun(old, { leavesAtMs: 5_000, nowMs: 3_000 }), 'it may still end: workers often leave later than announced')
  const saved = step({ tasks: 1, estimateMs: 6_000, checkpointing: true })
  t.ok(shouldMoveRun(run(saved, 0, worker, { percent: 50, startedMs: 0, progressedMs: 3_000 }), { leavesAtMs: 5_000, nowMs: 3_000 }), 'it saves checkpoints')
})

t.test('long-running tasks are moved as soon as their worker drains', async t => {
  const [placedStep, worker] = [step({ tasks: 1, longRunning: true }), session('w')]
  t.ok(shouldMoveRun(run(placedStep, 0, worker), { leavesAtMs: Number.POSITIVE_INFINITY, nowMs: 0 }))
})

t.test('a query to the eligibility service contains the fastest workers, and not many more than the step needs', async t => {
  const workers = Array.from({ length: 200 }, (_, index) => session(`w${index}`, { labels: [index % 3 ? 'slow' : 'quick', 'r1'] }))
  const slowness = ({ entry }: WorkerSession): number => entry.labels[0] === 'quick' ? 1 : 1.7
  const forTenTasks = workersToQuery({ workers, tasks: 10, slowness, maxWorkers: 100 })
  t.equal(forTenTasks.length, 40)
  t.ok(forTenTasks.every(worker => slowness(worker) === 1))
  const forSixtyTasks = workersToQuery({ workers, tasks: 60, slowness, maxWorkers: 100 })
  t.equal(forSixtyTasks.length, 100)
  t.equal(forSixtyTasks.filter(worker => slowness(worker) === 1).length, 67)
})
