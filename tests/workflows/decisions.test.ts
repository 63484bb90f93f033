import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import type { EligibilityAnswer, WorkerEntry } from 'pomelofold/seams/workflowUpstreams'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { workersToAsk } from 'pomelofold/workflows/askOrder'
import { remainingRunMs, shouldMove } from 'pomelofold/workflows/departures'
import { EligibilityBook } from 'pomelofold/workflows/eligibilityBook'
import { LeaseClock } from 'pomelofold/workflows/leaseClock'
import { SpeedLearner } from 'pomelofold/workflows/speedLearner'
import { stalledRuns } from 'pomelofold/workflows/stalls'
import { placeStep } from 'pomelofold/workflows/stepPlacer'
import { WorkerSession } from 'pomelofold/workflows/workerSession'
import { WorkerTrust } from 'pomelofold/workflows/workerTrust'
import { RUN_STATES, WorkflowRuntime, type Run, type StepRuntime } from 'pomelofold/workflows/workflowRuntime'
import type { WorkflowStep } from 'pomelofold/protocol/workflows'
import { WorkflowCell } from './workflowCell.js'

const cell = new WorkflowCell({ daemons: 0 })

function step (spec: Partial<WorkflowStep>): StepRuntime {
  const record = cell.workflow([spec])
  return new WorkflowRuntime({ record, revision: 1, learnedMs: 0 }).steps(0)![0]
}

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
  return new WorkerSession({ entry, timers: new ManualTimers() } as unknown as ConstructorParameters<typeof WorkerSession>[0])
}

function run (of: StepRuntime, index: number, at: WorkerSession, extra: Partial<Run> = {}): Run {
  const task = of.tasks[index]
  const value: Run = {
    name: task.name,
    attempt: 1,
    session: at,
    task,
    size: of.spec.size,
    state: RUN_STATES.running,
    startedMs: 0,
    confirmedMs: 0,
    unanswered: false,
    stopConfirmedMs: undefined,
    percent: 10,
    progressedMs: 0,
    reading: undefined,
    pacePercent: 100,
    ...extra
  }
  at.addRun(value)
  return value
}

t.test('an urgent step takes the quick workers first', async t => {
  const of = step({ tasks: 2 })
  const workers = [session('slow', { labels: ['b', 'r1'] }), session('quick')]
  const slowness = (worker: WorkerSession): number => worker.entry.labels[0] === 'b' ? 2.4 : 1
  const plan = placeStep({ step: of, tasks: of.tasks, workers, urgent: true, slowness, urgentShare: 0 })
  t.same(plan.map(({ worker }) => worker.entry.id), ['quick', 'quick'])
})

t.test('overnight steps fill a worker in use before an empty one', async t => {
  const of = step({ tasks: 2 })
  const [empty, used] = [session('empty'), session('used')]
  run(step({}), 0, used)
  const plan = placeStep({ step: of, tasks: of.tasks, workers: [empty, used], urgent: false, slowness: () => 1, urgentShare: 0 })
  t.same(plan.map(({ worker }) => worker.entry.id), ['used', 'used'])
})

t.test('a gang gets room for all of its tasks or none', async t => {
  const of = step({ tasks: 5, gang: true, size: { cpuMillis: 4_000, memoryMb: 1, accelerators: 0 } })
  const options = { step: of, tasks: of.tasks, urgent: false, slowness: () => 1, urgentShare: 0 }
  t.equal(placeStep({ ...options, workers: [session('a'), session('b')] }).length, 0)
  t.equal(placeStep({ ...options, workers: [session('a'), session('b'), session('c')] }).length, 5)
})

t.test('a gang that asks for one rack gets one when it fits, and a mixture otherwise', async t => {
  const of = step({ tasks: 4, gang: true, sameRack: true, size: { cpuMillis: 4_000, memoryMb: 1, accelerators: 0 } })
  const workers = [session('a', { labels: ['k', 'r1'] }), session('b', { labels: ['k', 'r2'] }), session('c', { labels: ['k', 'r2'] })]
  const options = { step: of, tasks: of.tasks, urgent: false, slowness: () => 1, urgentShare: 0 }
  t.same(new Set(placeStep({ ...options, workers }).map(({ worker }) => worker.entry.labels[1])), new Set(['r2']))
  t.equal(placeStep({ ...options, workers: workers.slice(0, 2) }).length, 4)
})

t.test('no worker gets more tasks of a step than it allows', async t => {
  const of = step({ tasks: 5, maxPerWorker: 2 })
  const plan = placeStep({
    step: of, tasks: of.tasks, workers: [session('a'), session('b')], urgent: true, slowness: () => 1, urgentShare: 0
  })
  t.equal(plan.length, 4)
})

t.test('tasks that use spare processor time take memory only', async t => {
  const of = step({ tasks: 3, usesSpareCpu: true, size: { cpuMillis: 8_000, memoryMb: 20_000, accelerators: 0 } })
  t.equal(placeStep({ step: of, tasks: of.tasks, workers: [session('a')], urgent: false, slowness: () => 1, urgentShare: 0 }).length, 3)
})

t.test('runs stand still only when no run of their worker advances', async t => {
  const of = step({ tasks: 2, estimateMs: 800 })
  const at = session('a')
  const runs = [run(of, 0, at), run(of, 1, at, { progressedMs: 2_900 })]
  t.same(stalledRuns(runs, 3_000), [])
  t.equal(stalledRuns([runs[0]], 3_000).length, 1)
  t.same(stalledRuns([runs[0]], 900), [])
})

t.test('runs of long-running steps and gangs never count as standing still', async t => {
  const at = session('a')
  t.same(stalledRuns([run(step({ longRunning: true }), 0, at), run(step({ gang: true }), 0, at)], 60_000), [])
})

t.test('a worker that fails tasks of two workflows is suspended, and for longer the next time', async t => {
  const timers = new ManualTimers()
  const trust = new WorkerTrust({ timers, log: SILENT_LOG })
  trust.noteEnd('w', 'one', 'failed')
  t.notOk(trust.suspended('w'))
  trust.noteEnd('w', 'two', 'failed')
  t.ok(trust.suspended('w'))
  await timers.advance(4_100)
  t.notOk(trust.suspended('w'))
  trust.noteEnd('w', 'three', 'failed')
  trust.noteEnd('w', 'four', 'failed')
  await timers.advance(4_100)
  t.ok(trust.suspended('w'))
})

t.test('a workflow that fails by its own fault suspends nobody', async t => {
  const trust = new WorkerTrust({ timers: new ManualTimers(), log: SILENT_LOG })
  for (let index = 0; index < 8; index++) trust.noteEnd('w', 'one', 'failed')
  t.notOk(trust.suspended('w'))
})

t.test('kinds of workers are told apart by their run times', async t => {
  const speeds = new SpeedLearner()
  for (let index = 0; index < 20; index++) {
    speeds.note({ labels: ['a'], estimateMs: 1_000, ranMs: 700 })
    speeds.note({ labels: ['b'], estimateMs: 1_000, ranMs: 1_700 })
  }
  t.equal(speeds.slowness(['a']), 1)
  t.ok(Math.abs(speeds.slowness(['b']) - 1_700 / 700) < 0.1)
  t.equal(speeds.slowness(['c']), 1)
})

t.test('a lease that a suspension of the VM may have outlasted is not counted on', async t => {
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

t.test('long calls to the eligibility service leave daemons for short ones, and each daemon has one call', async t => {
  const timers = new ManualTimers()
  const calls: Array<{ vm: string, step: string, answer: (answer: EligibilityAnswer) => void }> = []
  const book = new EligibilityBook({
    timers,
    log: SILENT_LOG,
    lanes: () => ['d1', 'd2', 'd3', 'd4'],
    ask: (vm, name) => new Promise(resolve => calls.push({ vm, step: name, answer: resolve })),
    onAnswer: () => {}
  })
  const workers = [{ id: 'w1', life: 'w1@1' }, { id: 'w2', life: 'w2@1' }]
  for (let index = 0; index < 5; index++) book.wish({ step: `long${index}`, workers, priority: 2, expectedMs: 800 })
  t.equal(calls.length, 2)
  book.wish({ step: 'short', workers, priority: 0, expectedMs: 45 })
  t.equal(calls.length, 3)
  t.equal(new Set(calls.map(call => call.vm)).size, 3)
  calls[2].answer({ tickets: { w1: 'ticket' }, validMs: 2_000 })
  await timers.advance(1)
  t.equal(book.ticket('short', 'w1@1'), 'ticket')
  t.equal(book.verdict('short', 'w2@1'), false)
  await timers.advance(1_900)
  t.equal(book.ticket('short', 'w1@1'), undefined, 'tickets end')
  t.equal(book.verdict('short', 'w1@1'), true, 'verdicts stay')
})

t.test('a task that lags behind its step is copied where that is allowed, and the first to finish counts', async t => {
  const slow = new Set(['w0'])
  const own = new WorkflowCell({ workers: 3, runMs: () => 400 })
  await own.waitUntilReady()
  own.workers.filter(worker => slow.has(worker.entry.id)).forEach(worker => { Object.assign(worker, { _runMs: () => 20_000 }) })
  const workflow = own.workflow([{ tasks: 6, speculative: true, maxPerWorker: 2 }])
  await own.submit(workflow)
  await own.waitForState(workflow.id, 'done', { limitMs: 3_000 })
  await own.timers.advance(1_000)
  t.ok(own.records.some(record => record.how === 'stopped'), 'the lagging run is stopped')
})

t.test('a copy at a lost worker is not waited for', async t => {
  const own = new WorkflowCell({ workers: 3, runMs: () => 400 })
  await own.waitUntilReady()
  const workflow = own.workflow([{ tasks: 6, speculative: true }])
  await own.submit(workflow)
  own.workers[0].faults.cut = true
  await own.waitForState(workflow.id, 'done', { limitMs: 3_500 })
})

t.test('a task that ends before its worker leaves is left alone', async t => {
  const [of, at] = [step({ tasks: 1, estimateMs: 1_000 }), session('w')]
  const half = run(of, 0, at, { percent: 50, startedMs: 0, progressedMs: 500 })
  t.notOk(shouldMove(half, { leavesAtMs: 1_200, nowMs: 600 }))
  t.equal(remainingRunMs(half, 600), 400)
})

t.test('a task that cannot end in time is moved when little is lost by it', async t => {
  const [of, at] = [step({ tasks: 1, estimateMs: 6_000 }), session('w')]
  const young = run(of, 0, at, { percent: 0, startedMs: 0, progressedMs: 0 })
  t.ok(shouldMove(young, { leavesAtMs: 2_300, nowMs: 300 }), 'it has run for less than it would wait')
  const old = run(of, 0, at, { percent: 50, startedMs: 0, progressedMs: 3_000 })
  t.notOk(shouldMove(old, { leavesAtMs: 5_000, nowMs: 3_000 }), 'it may still end: workers often leave later than they say')
  const saved = step({ tasks: 1, estimateMs: 6_000, checkpointing: true })
  t.ok(shouldMove(run(saved, 0, at, { percent: 50, startedMs: 0, progressedMs: 3_000 }), { leavesAtMs: 5_000, nowMs: 3_000 }), 'it saves its work')
})

t.test('tasks that last leave a worker as soon as it drains', async t => {
  const [of, at] = [step({ tasks: 1, longRunning: true }), session('w')]
  t.ok(shouldMove(run(of, 0, at), { leavesAtMs: Number.POSITIVE_INFINITY, nowMs: 0 }))
})

t.test('of many workers the eligibility service is asked about the quickest, and not about many more than needed', async t => {
  const workers = Array.from({ length: 200 }, (_, index) => session(`w${index}`, { labels: [index % 3 ? 'slow' : 'quick', 'r1'] }))
  const slowness = ({ entry }: WorkerSession): number => entry.labels[0] === 'quick' ? 1 : 1.7
  const few = workersToAsk({ workers, tasks: 10, slowness, most: 100 })
  t.equal(few.length, 40)
  t.ok(few.every(worker => slowness(worker) === 1))
  const many = workersToAsk({ workers, tasks: 60, slowness, most: 100 })
  t.equal(many.length, 100)
  t.equal(many.filter(worker => slowness(worker) === 1).length, 67)
})
