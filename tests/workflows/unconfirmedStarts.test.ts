/**
 * Tests with workers that crash while starts are on their way to them: the scheduler cannot know whether they were carried out.
 *
 * @module
 */

import t from 'tap'
import type { LeasedWorkerFaults } from '@pomelofold/standins/leasedWorker'
import { crashWeight, judge } from 'pomelofold/crashes/crashEvidence'
import { UNCONFIRMED_STARTS, type CrashRecord, type UnconfirmedStart } from 'pomelofold/protocol/crashes'
import type { WorkflowStep } from 'pomelofold/protocol/workflows'
import { START_REFUSALS } from 'pomelofold/seams/workflowUpstreams'
import { CRASHING_JOB, FORBIDDEN_STARTS, cellWithCrashingTask, startsAfterThirdCrash } from './crashingTasks.js'
import { WorkflowCell } from './workflowCell.js'

/** Delay of a late order in these tests, in milliseconds: longer than a lease, so that a worker with another id refuses it. */
const LATE_MS = 9_000

/** A start that does not reach its worker: faults of the worker, and the event after which it crashes. */
interface LostStart {
  faults: Partial<LeasedWorkerFaults>
  event: string
}

/** Ways in which a start does not reach its worker. */
const LOST_STARTS = {
  broken: { faults: { breaksOrders: true }, event: 'start.unanswered' },
  refused: { faults: { refuseOrdersAfterMs: 200 }, event: 'run.start' },
  pending: { faults: { orderDelayMs: LATE_MS }, event: 'run.start' },
  unanswered: { faults: { orderDelayMs: LATE_MS }, event: 'start.unanswered' }
} satisfies Record<string, LostStart>

/** Steps of a task that crashes its workers. */
const STEPS: Array<Partial<WorkflowStep>> = [{}, { speculative: true }, { gang: true }, { tasks: 1 }]

const NO_FAULTS: Partial<LeasedWorkerFaults> = { breaksOrders: false, refuseOrdersAfterMs: undefined, orderDelayMs: 0 }

/** Lets the first start of a job after so many events get lost, and crashes its worker. Returns the task. */
async function loseStart (cell: WorkflowCell, job: string, { faults, event }: LostStart, before: number): Promise<string> {
  const eventOfJob = (): WorkflowCell['events'][0] | undefined =>
    cell.events.slice(before).find(({ name, fields }) => name === event && String(fields.task).startsWith(job))
  await cell.timers.advanceUntil(() => {
    for (const worker of cell.workers) Object.assign(worker.faults, faults)
    return eventOfJob() !== undefined
  }, { stepMs: 1 })
  await cell.timers.advance(20)
  const { task, worker } = eventOfJob()!.fields
  for (const worker of cell.workers) Object.assign(worker.faults, NO_FAULTS)
  cell.crashWorker(cell.workers.find(({ entry }) => `${entry.id}@${entry.bornMs}` === worker)!)
  return task as string
}

/** Submits a job whose first starts get lost, one after another. Another job has just started if it is only one. */
async function loseStarts (cell: WorkflowCell, { how, times = 1, step = {} }: {
  how: keyof typeof LOST_STARTS, times?: number, step?: Partial<WorkflowStep>
}): Promise<{ job: string, task: string }> {
  const lost = LOST_STARTS[how]
  if (times === 1) await cell.submit(cell.workflow([{ tasks: 2 * cell.workers.length }]))
  await cell.timers.advanceUntil(() => times > 1 || cell.workers.every(({ runs }) => runs.size > 0))
  for (const { faults } of cell.workers) Object.assign(faults, lost.faults)
  const job = cell.workflow([{ tasks: 1, ...step }])
  let before = cell.events.length
  let task = ''
  await cell.submit(job)
  for (let start = 0; start < times; start++) {
    task = await loseStart(cell, job.id, lost, before)
    before = cell.events.length
  }
  return { job: job.id, task }
}

/** Number of crashes that were noticed before all starts at the worker were confirmed. */
function unconfirmedCrashes ({ events }: WorkflowCell): number {
  return events.filter(({ name, fields }) => name === 'worker.crashed' && Number(fields.unconfirmedRuns) > 0).length
}

/** Waits until the task runs, and crashes its worker. */
async function crashUnderRun (cell: WorkflowCell, task: string): Promise<void> {
  await cell.timers.advanceUntil(() => cell.workers.some(({ runs }) => runs.has(task)))
  await cell.timers.advance(20)
  cell.crashWorker(cell.workers.find(({ runs }) => runs.has(task))!)
}

/** Kills the scheduler, and starts its process again once another one schedules. */
async function changeLeader (cell: WorkflowCell): Promise<void> {
  const { vm, process } = cell.leader!
  process.kill()
  await cell.timers.advanceUntil(() => cell.leader !== undefined)
  cell.startDaemon(vm)
}

// Guards against a job that is given up after one crash under its task (LOST): another start of it was broken off by a worker that
// crashed before it had carried it out.
t.test('a job is not given up for a start that its worker may not have carried out', async t => {
  const cases: Array<{
    how: keyof typeof LOST_STARTS, times?: number, step?: Partial<WorkflowStep>, workers?: number, leaderChanges?: boolean
  }> = [
    { how: 'broken' },
    { how: 'broken', leaderChanges: true },
    { how: 'broken', workers: 2, step: { speculative: true } },
    { how: 'broken', step: { speculative: true }, leaderChanges: true },
    { how: 'broken', workers: 2, step: { tasks: 2, gang: true, maxPerWorker: 1 } },
    { how: 'pending' },
    { how: 'pending', leaderChanges: true },
    { how: 'unanswered' },
    { how: 'unanswered', times: 2 },
    { how: 'unanswered', times: 3 },
    { how: 'unanswered', times: 2, leaderChanges: true }
  ]
  for (const { how, times = 1, step = {}, workers = 1, leaderChanges = false } of cases) {
    const name = JSON.stringify({ how, times, step, workers, leaderChanges })
    const cell = new WorkflowCell({ workers, runMs: () => step.gang ? 8_000 : 2_000 })
    await cell.waitUntilReady()
    const { job, task } = await loseStarts(cell, { how, times, step })
    await cell.timers.advanceUntil(() => unconfirmedCrashes(cell) === times)
    if (leaderChanges) {
      await cell.timers.advance(100)
      await changeLeader(cell)
    }
    t.same(cell.runsOf(task), [], `${name}: no start was carried out`)
    await crashUnderRun(cell, task)
    await cell.timers.advance(30_000)
    t.match(await cell.advanceUntilSettled(cell.daemons[0].daemon.service.state(job)), { state: 'done' }, name)
  }
})

// Guards against a job that is given up after one crash under its task (LOST): another start was still on its way when the crash of its
// worker was noticed, and then found the connection refused.
t.test('the crash of a worker is withdrawn from the task of a start that was not sent there', async t => {
  const cell = new WorkflowCell({ workers: 1, runMs: () => 2_000 })
  await cell.waitUntilReady()
  const { job, task } = await loseStarts(cell, { how: 'refused' })
  const eventsOf = (event: string): number => cell.events.filter(({ name, fields }) => name === event && fields.task === task).length
  await cell.timers.advance(1_000)
  t.same([eventsOf('task.suspected'), eventsOf('run.refused'), eventsOf('task.crash.withdrawn')], [1, 1, 1])
  await crashUnderRun(cell, task)
  await cell.waitForState(job, 'done')
})

// Guards against a job that is given up after one crash under its task (LOST): before, a device had refused the connections to another
// worker until its lease had lapsed, and the evidence stayed when the worker answered again.
t.test('a refusal of connections that outlasts the lease is no evidence once the worker answers again', async t => {
  for (const refusedMs of [2_500, 8_000]) {
    const cell = new WorkflowCell({ workers: 2, runMs: () => 12_000 })
    await cell.waitUntilReady()
    const job = cell.workflow([{ tasks: 1 }])
    await cell.submit(job)
    await cell.timers.advanceUntil(() => cell.workers.some(({ runs }) => runs.size === 1), { stepMs: 1 })
    const { faults } = cell.workers.find(({ runs }) => runs.size === 1)!
    // The task is started once more at the other worker, when this one has answered again.
    const other = cell.workers.find(worker => worker.runs.size === 0)!
    other.faults.refuseStarts = START_REFUSALS.unhealthy
    Object.assign(faults, { refusesConnections: true, refuseStarts: START_REFUSALS.unhealthy })
    await cell.timers.advance(refusedMs)
    faults.refusesConnections = false
    await cell.timers.advanceUntil(() => cell.events.filter(({ name }) => name === 'worker.reached').length === 3)
    const withdrawn = cell.events.filter(({ name }) => name === 'task.crash.withdrawn').length
    t.equal(withdrawn, 1, `${refusedMs} ms: the evidence is withdrawn`)
    other.faults.refuseStarts = undefined
    await crashUnderRun(cell, `${job.id}.0.0.0`)
    await cell.timers.advance(30_000)
    t.match(await cell.advanceUntilSettled(cell.daemons[0].daemon.service.state(job.id)), { state: 'done' }, `${refusedMs} ms`)
  }
})

/** Crashes the only worker of a cell. Its next incarnation has the same id, and can be reached some time later. */
function restartBehindCut (cell: WorkflowCell): void {
  cell.restartWorker('w0', { listedAfterMs: 600, reachableAfterMs: 600 })
}

/** True when a crash has been put down to one attempt of a task more than once. */
function countsAttemptTwice ({ events }: WorkflowCell): boolean {
  return events.some(({ fields: { attempts } }) => {
    const counted = typeof attempts === 'string' ? attempts.split(' ') : []
    return new Set(counted).size < counted.length
  })
}

// Guards against one attempt that counts as two crashes: its start times out, and the next incarnations of its worker, which are told
// to refuse it, crash, too.
t.test('a late start that the next incarnations refuse before they crash counts once', async t => {
  for (const isStopAnswered of [true, false]) {
    const cell = new WorkflowCell({ daemons: 1, workers: 1, runMs: () => 2_000 })
    await cell.waitUntilReady()
    // The clock of the next incarnation has to be behind.
    await cell.timers.advance(10_000)
    cell.workers[0].faults.orderDelayMs = LATE_MS
    const job = cell.workflow([{ tasks: 1 }])
    const task = `${job.id}.0.0.0`
    await cell.submit(job)
    await cell.timers.advanceUntil(() => cell.events.some(({ name }) => name === 'start.unanswered'))
    restartBehindCut(cell)
    for (const incarnation of ['w0@2', 'w0@3', 'w0@4']) {
      cell.workers[0].faults.breaksOrders = !isStopAnswered
      await cell.timers.advanceUntil(() => cell.events.some(({ name, fields }) => name === 'run.stop' && fields.worker === incarnation))
      restartBehindCut(cell)
    }
    const name = `stop answered: ${isStopAnswered}`
    t.same(cell.runsOf(task), [], `${name}: no start was carried out`)
    await crashUnderRun(cell, task)
    await cell.timers.advance(30_000)
    t.notOk(countsAttemptTwice(cell), `${name}: each attempt counts once`)
    t.match(await cell.advanceUntilSettled(cell.daemons[0].daemon.service.state(job.id)), { state: 'done' }, name)
  }
})

// Guards against a task that is started without end since none of its starts is confirmed (BUDGET).
t.test('a task that crashes its worker before the start is answered is given up beside young runs of other jobs', async t => {
  for (const step of STEPS) {
    for (const leaderChanges of [false, true]) {
      const { cell, crashing, ordinary } = await cellWithCrashingTask({
        workers: 3,
        step,
        afterMs: 0,
        earlierJobs: 4,
        ordinaryJobs: 1,
        runMs: task => step.gang && task.startsWith(CRASHING_JOB) ? 100_000 : 800
      })
      for (let job = 0; job < 60; job++) {
        // These workers go on with the rest of a gang, so that the first scheduler has to have stopped it.
        if (leaderChanges && job === (step.gang ? 30 : 10)) await changeLeader(cell)
        const workflow = cell.workflow([{ tasks: 3 }])
        // A daemon that has just started does not know a scheduler yet.
        if (await cell.submit(workflow) === 'stored') ordinary.push(workflow.id)
        await cell.timers.advance(100)
      }
      const name = JSON.stringify({ step, leaderChanges })
      await cell.waitForState(crashing, 'failed', { limitMs: 30_000 })
      const starts = startsAfterThirdCrash(cell, `${crashing}.0.0.0`)
      t.ok(starts < FORBIDDEN_STARTS, `${name}: ${cell.runsOf(`${crashing}.0.0.0`).length} starts, ${starts} after the third crash`)
      for (const id of ordinary) await cell.waitForState(id, 'done', { limitMs: 30_000 })
    }
  }
})

// Guards against the same when several such tasks make each crash one of many, and a scheduler takes its evidence with it (BUDGET).
t.test('several tasks that crash their workers before the starts are answered are given up, whatever happens to the scheduler', async t => {
  for (const speculative of [false, true]) {
    for (const awayMs of [0, 5_000]) {
      for (const leaderChanges of [false, true]) {
        const name = JSON.stringify({ speculative, awayMs, leaderChanges })
        const isCrashing = (task: string): boolean => Number.parseInt(task, 16) <= 6 && task.endsWith('.0.0.0')
        const cell = new WorkflowCell({ workers: 24, runMs: () => 800, crashAfterMs: task => isCrashing(task) ? 0 : undefined })
        await cell.waitUntilReady()
        const crashing = Array.from({ length: 6 }, () => cell.workflow([{ tasks: 2, speculative }]))
        const ordinary = Array.from({ length: 20 }, () => cell.workflow([{ tasks: 3 }]))
        await Promise.all([...ordinary, ...crashing].map(workflow => cell.submit(workflow)))
        for (const { platform } of cell.daemons) platform.faults.unreachable = awayMs > 0
        await cell.timers.advance(awayMs)
        for (const { platform } of cell.daemons) platform.faults.unreachable = false
        await cell.timers.advanceUntil(() => cell.leader !== undefined)
        if (leaderChanges) await changeLeader(cell)
        for (const { id } of crashing) {
          await cell.waitForState(id, 'failed', { limitMs: 60_000 })
          const starts = startsAfterThirdCrash(cell, `${id}.0.0.0`)
          t.ok(starts < FORBIDDEN_STARTS, `${name}: ${starts} starts after the third crash`)
        }
        for (const { id } of ordinary) await cell.waitForState(id, 'done', { limitMs: 30_000 })
      }
    }
  }
})

// Guards against crashes that stay unconfirmed although the worker has answered the start (BUDGET).
t.test('a task that crashes its workers is given up when its starts are answered after the crash was noticed', async t => {
  for (const workers of [1, 2, 12]) {
    for (const answerDelayMs of [100, 300]) {
      const { cell, crashing, ordinary } = await cellWithCrashingTask({
        workers, earlierJobs: 4, ordinaryJobs: 0, faults: { answerDelayMs }
      })
      await cell.waitForState(crashing, 'failed', { limitMs: 60_000 })
      const name = `${workers} workers, answers after ${answerDelayMs} ms`
      const starts = startsAfterThirdCrash(cell, `${crashing}.0.0.0`)
      t.ok(unconfirmedCrashes(cell) >= 2, `${name}: crashes are noticed before the answer`)
      t.ok(starts < FORBIDDEN_STARTS, `${name}: ${cell.runsOf(`${crashing}.0.0.0`).length} starts, ${starts} after the third crash`)
      for (const id of ordinary) await cell.waitForState(id, 'done', { limitMs: 30_000 })
    }
  }
})

/** Crashes of a young task until its verdict, when the starts of its attempts are confirmed or not as the pattern says, again and again. */
function crashesUntilVerdict (pattern: Array<UnconfirmedStart | undefined>): CrashRecord[] {
  const crashes: CrashRecord[] = []
  for (let attempt = 1; judge(crashes) !== 'givenUp' && attempt <= 20; attempt++) {
    const unconfirmedStart = pattern[(attempt - 1) % pattern.length]
    const ageMs = unconfirmedStart ? 0 : 100
    const situation = { ageMs, onTrial: judge(crashes) === 'suspect', doubtful: false, unconfirmedStart, longRunning: false }
    crashes.push({ worker: `w${attempt}`, attempt, atMs: attempt, ageMs, weight: crashWeight(crashes, situation), unconfirmedStart })
  }
  return crashes
}

// Guards against a job that is given up for a start of unknown outcome (LOST), and against a task that is never given up since its
// workers crash before they confirm its starts (BUDGET).
t.test('a task is given up after two crashes under its runs, or four or five starts that end with their workers', t => {
  const kinds = [undefined, ...Object.values(UNCONFIRMED_STARTS)]
  const patterns = kinds.flatMap(a => kinds.flatMap(b => kinds.flatMap(c => kinds.flatMap(d => kinds.map(e => [a, b, c, d, e])))))
  for (const pattern of patterns) {
    const crashes = crashesUntilVerdict(pattern)
    const name = pattern.map(kind => kind ?? 'confirmed').join(', ')
    const count = (kind?: UnconfirmedStart): number => crashes.filter(({ unconfirmedStart }) => unconfirmedStart === kind).length
    if (crashes.length > (count(UNCONFIRMED_STARTS.unanswered) ? 5 : 4)) t.fail(`${name}: ${crashes.length} crashes`)
    if (Math.max(count(), count(UNCONFIRMED_STARTS.broken)) < 2 && crashes.length < (count(UNCONFIRMED_STARTS.unanswered) ? 5 : 4)) t.fail(`${name}: given up after ${crashes.length} crashes`)
  }
  t.end()
})

// Guards against a sound job that is given up for a start on trial that was broken off when another job crashed the worker: two crashes
// under older runs had made its task a suspect.
t.test('a broken start beside a young run of another job is no proof against a suspect', t => {
  const settled: CrashRecord[] = [1, 2].map(attempt => ({ worker: `w${attempt}`, attempt, atMs: attempt, ageMs: attempt === 1 ? 300 : 700, weight: 0.5 }))
  const situation = { ageMs: 0, onTrial: true, doubtful: false, unconfirmedStart: UNCONFIRMED_STARTS.unknown, longRunning: false }
  const crash = { worker: 'w3', attempt: 3, atMs: 3, ageMs: 0, weight: crashWeight(settled, situation), unconfirmedStart: UNCONFIRMED_STARTS.unknown }
  t.equal(judge(settled), 'suspect')
  t.equal(judge([...settled, crash]), 'suspect')
  t.end()
})

// Guards against a job that is given up for a start that is still on its way, and then finds the connection refused (LOST).
t.test('no job is given up for a start that is still on its way when the crash of its worker is noticed', async t => {
  const cell = new WorkflowCell({ workers: 2, runMs: () => 2_000 })
  await cell.waitUntilReady()
  const job = cell.workflow([{ tasks: 1 }])
  const task = `${job.id}.0.0.0`
  const seen = (event: string) => cell.events.filter(({ name, fields }) => name === event && fields.task === task)
  const started = () => cell.workers.find(({ entry }) => String(seen('run.start').at(-1)!.fields.worker).startsWith(entry.id))!
  for (const { faults } of cell.workers) faults.breaksOrders = true
  await cell.submit(job)
  await cell.timers.advanceUntil(() => seen('start.unanswered').length === 1)
  const other = cell.workers.find(worker => worker !== started())!
  Object.assign(other.faults, { breaksOrders: false, refuseOrdersAfterMs: 200 })
  cell.crashWorker(started())
  await cell.timers.advanceUntil(() => seen('run.start').length === 2)
  cell.crashWorker(started())
  await cell.timers.advance(250)
  t.same(cell.runsOf(task), [])
  await cell.waitForState(job.id, 'done')
})

// Guards against a job given up without any run: workers crash beside older runs of others while its start is on its way (LOST).
t.test('no job is given up for two broken starts beside older runs of another job', async t => {
  const cell = new WorkflowCell({ workers: 2, runMs: () => 8_000 })
  await cell.waitUntilReady()
  const other = cell.workflow([{ tasks: 2, maxPerWorker: 1 }])
  await cell.submit(other)
  await cell.timers.advanceUntil(() => cell.workers.every(({ runs }) => runs.size === 1))
  await cell.timers.advance(700)
  for (const { faults } of cell.workers) faults.breaksOrders = true
  const job = cell.workflow([{ tasks: 1 }])
  const task = `${job.id}.0.0.0`
  await cell.submit(job)
  const seen = (event: string) => cell.events.filter(({ name, fields }) => name === event && fields.task === task)
  for (let crash = 1; crash <= 2; crash++) {
    await cell.timers.advanceUntil(() => seen('start.unanswered').length >= crash && seen('run.start').length >= crash)
    cell.crashWorker(cell.workers.find(({ entry }) => String(seen('run.start').at(-1)!.fields.worker).startsWith(entry.id))!)
    await cell.timers.advance(500)
  }
  t.same(cell.runsOf(task), [])
  await cell.waitForState(job.id, 'done')
})
