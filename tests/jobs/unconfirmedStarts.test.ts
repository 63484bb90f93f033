/**
 * Tests with workers that crash before they answer a start: the placer cannot know whether it was carried out.
 *
 * @module
 */

import t from 'tap'
import Result from 'true-myth/result'
import { JOB_KEYS } from 'pomelofold/tasks/jobs/jobRecord'
import { CallError, EFFECTS } from 'pomelofold/utils/errors'
import { JobCell, type EntryVm } from './jobCell.js'
import type { MemoryWorker } from './memoryWorkers.js'

const JOB = 'job'
const TASK = `${JOB}:0`
/** Highest number of workers that one task may crash. */
const MAX_CRASHES = 5

/** Lets workers break off the call with a start of the task `count` times, and crash. With `carriedOut`, the task runs at that moment. */
function breakStarts (cell: JobCell, { count, carriedOut }: { count: number, carriedOut: boolean }): { broken: string[] } {
  const { upstream } = cell
  const startTasks = upstream.startTasks.bind(upstream)
  const broken: string[] = []
  upstream.startTasks = async (address, epoch, starts, timeoutMs) => {
    const hasTask = starts.some(({ taskId }) => taskId.startsWith(`${TASK}:`))
    if (!hasTask || broken.length === count) return await startTasks(address, epoch, starts, timeoutMs)
    if (carriedOut) await startTasks(address, epoch, starts, timeoutMs)
    broken.push(address)
    upstream.workers.get(address)!.crash()
    return Result.err(new CallError('other side closed', { step: 'upstream', peer: address, effect: EFFECTS.unknown }))
  }
  return { broken }
}

function workerOfTask (cell: JobCell): MemoryWorker | undefined {
  return cell.workers.find(({ tasks }) => [...tasks.values()].some(({ run, state }) => run.task === TASK && state === 'running'))
}

async function crashUnderRun (cell: JobCell): Promise<void> {
  await cell.timers.advanceUntil(() => workerOfTask(cell) !== undefined)
  await cell.timers.advance(20)
  workerOfTask(cell)!.crash()
}

/** Number of crashes in the task's record. */
function recordedCrashes ({ store }: JobCell): number {
  const stored = store.get(`${JOB_KEYS.progress('a')}${JOB}`)
  return stored ? (JSON.parse(stored.value) as { crashes: Record<string, unknown[]> }).crashes[0]?.length ?? 0 : 0
}

async function cellWithPlacer (): Promise<{ cell: JobCell, placer: EntryVm }> {
  const cell = new JobCell({ workers: 6, cpus: 4 })
  return { cell, placer: await cell.addPlacer() }
}

// Guards against a job that is given up after one crash under its task (LOST): other starts of it were broken off by workers that
// crashed before they had carried them out.
t.test('a job of the placer is not given up for starts that its workers did not carry out', async t => {
  for (const brokenBefore of [1, 2, 4]) {
    const { cell, placer } = await cellWithPlacer()
    const { broken } = breakStarts(cell, { count: brokenBefore, carriedOut: false })
    await cell.submit(placer, JOB, { runMs: 60_000 })
    await cell.timers.advanceUntil(() => broken.length === brokenBefore)
    t.equal(cell.runs.length, 0, `${brokenBefore} starts were not carried out`)
    await crashUnderRun(cell)
    await cell.timers.advanceUntil(() => recordedCrashes(cell) > 0)
    t.equal(recordedCrashes(cell), 1, 'only the crash under the run counts')
    await cell.untilState(placer, JOB, 'done')
    t.same(cell.violations(), [])
  }
})

// Guards against the same across a change of the placer, which adopts runs and reads the record of their crashes.
t.test('a job is not given up by the next placer after one crash under its task', async t => {
  const { cell, placer } = await cellWithPlacer()
  const { broken } = breakStarts(cell, { count: 2, carriedOut: false })
  await cell.submit(placer, JOB, { runMs: 60_000 })
  await crashUnderRun(cell)
  await cell.timers.advanceUntil(() => recordedCrashes(cell) > 0)
  cell.kill(placer)
  const second = await cell.addPlacer()
  await cell.timers.advance(60_000)
  cell.kill(second)
  const third = await cell.addPlacer()
  await cell.untilState(third, JOB, 'done')
  t.equal(broken.length, 2)
  t.same(cell.violations(), [])
})

// Guards against one crash that counts twice: by the placer that noted it, and again by the next one.
t.test('a crash that one placer has recorded is not counted again by the next', async t => {
  const { cell, placer } = await cellWithPlacer()
  await cell.submit(placer, JOB, { runMs: 60_000 })
  await crashUnderRun(cell)
  await cell.timers.advanceUntil(() => recordedCrashes(cell) === 1)
  let current = placer
  let most = 0
  for (let change = 0; change < 3; change++) {
    cell.kill(current)
    current = await cell.addPlacer()
    for (let step = 0; step < 20; step++) {
      await cell.timers.advance(100)
      most = Math.max(most, recordedCrashes(cell))
    }
  }
  t.equal(most, 1)
  await cell.untilState(current, JOB, 'done')
  t.same(cell.violations(), [])
})

// Guards against a task that crashes worker after worker (BUDGET): the placer knows of no crash under a start without an answer.
t.test('a task of the placer that crashes its worker before the start is answered is given up', async t => {
  const { cell, placer } = await cellWithPlacer()
  const { broken } = breakStarts(cell, { count: Number.POSITIVE_INFINITY, carriedOut: true })
  await cell.submit(placer, JOB, { runMs: 60_000 })
  await cell.timers.advance(600_000)
  t.ok(broken.length <= MAX_CRASHES, `${broken.length} workers crash`)
})

// Guards against a task that crashes worker after worker (BUDGET): a worker that is back and has started something else lists a
// confirmed run, and counts as one that has not crashed.
t.test('a task of the placer is given up though its workers have started others when their crash is noticed', async t => {
  const { cell, placer } = await cellWithPlacer()
  for (const worker of cell.workers) worker.crashingTasks.add(TASK)
  await cell.submit(placer, JOB, { runMs: 60_000 })
  const isDown = (): boolean => cell.workers.some(({ faults }) => faults.down)
  for (let round = 0; round < 2 * MAX_CRASHES && await cell.stateOf(placer, JOB) !== 'failed'; round++) {
    for (let waitedMs = 0; !isDown() && waitedMs < 200_000; waitedMs += 10) await cell.timers.advance(10)
    await cell.timers.advanceUntil(() => !isDown())
    await cell.submit(placer, `ordinary-${round}`, { count: 6, cpus: 2.2, runMs: 45_000 })
  }
  const crashes = cell.workers.reduce((sum, worker) => sum + worker.crashes, 0)
  t.ok(crashes <= MAX_CRASHES, `${crashes} workers crash`)
  await cell.untilState(placer, JOB, 'failed')
})

// Guards against a cut that counts as a crash: the runs of the worker have ended with their leases.
t.test('a worker that lists its tasks as stopped after their leases have ended has not crashed', async t => {
  const { cell, placer } = await cellWithPlacer()
  await cell.submit(placer, JOB, { runMs: 400_000 })
  await cell.timers.advanceUntil(() => workerOfTask(cell) !== undefined)
  const cut = workerOfTask(cell)!
  for (const cutMs of [100_000, 180_000]) {
    cut.faults.cut = true
    await cell.timers.advance(cutMs)
    cut.faults.cut = false
    await cell.timers.advance(60_000)
    t.equal(recordedCrashes(cell), 0, `cut for ${cutMs} ms`)
  }
  t.equal(cell.runs[0].end, 'stopped')
  await cell.untilState(placer, JOB, 'done')
  t.same(cell.violations(), [])
})
