/**
 * Tests with tasks that crash the worker that runs them, for the placer of the entry daemons.
 *
 * @module
 */

import t from 'tap'
import { JobCell, type EntryVm, type SpecOptions } from './jobCell.js'

/** Highest number of workers that one task may crash. */
const MAX_CRASHES = 5

function crashCount (cell: JobCell): number {
  return cell.workers.reduce((sum, worker) => sum + worker.crashes, 0)
}

/** A cell whose task `bad:0` crashes its workers, with ordinary jobs beside it. */
async function cellWithCrashingTask (spec: SpecOptions): Promise<{ cell: JobCell, placer: EntryVm, ordinary: string[] }> {
  const cell = new JobCell({ workers: 8, cpus: 8 })
  for (const worker of cell.workers) worker.crashingTasks.add('bad:0')
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'bad', { count: 3, ...spec })
  const ordinary: string[] = []
  for (let number = 0; number < 8; number++) {
    ordinary.push(`ordinary-${number}`)
    await cell.submit(placer, `ordinary-${number}`, { count: 4, runMs: 20_000 })
  }
  return { cell, placer, ordinary }
}

// Guards against one task that crashes worker after worker.
t.test('a task that crashes each worker that starts it is given up, and the others are done', async t => {
  for (const kind of ['batch', 'gang'] as const) {
    const { cell, placer, ordinary } = await cellWithCrashingTask({ kind, runMs: 60_000 })
    await cell.untilState(placer, 'bad', 'failed', 900_000)
    t.ok(crashCount(cell) <= MAX_CRASHES, `${kind}: ${crashCount(cell)} crashes`)
    const answer = await placer.manager.getJob({ jobId: 'bad' })
    t.match(answer, { job: { waitingFor: /crashed its workers: worker-\d at \d{4}-/ } }, 'the caller learns why')
    for (const jobId of ordinary) await cell.untilState(placer, jobId, 'done')
    t.same(cell.violations({ gangs: new Set(['bad']) }), [])
  }
})

// Guards against a count of crashes that starts from zero with each placer.
t.test('the crashes of a task are known to the next placer', async t => {
  const { cell, placer } = await cellWithCrashingTask({})
  let current = placer
  for (let takeovers = 0; takeovers < 3; takeovers++) {
    const before = crashCount(cell)
    await cell.timers.advanceUntil(() => crashCount(cell) > before || current.manager.explain('bad')?.state === 'failed')
    if (current.manager.explain('bad')?.state === 'failed') break
    await cell.timers.advance(30_000)
    cell.kill(current)
    current = await cell.addPlacer()
  }
  await cell.untilState(current, 'bad', 'failed', 900_000)
  t.ok(crashCount(cell) <= MAX_CRASHES, `${crashCount(cell)} crashes`)
})

// Guards against jobs that are given up because their workers crash for other reasons.
t.test('no job is given up because workers crash for other reasons', async t => {
  const { cell, placer, ordinary } = await cellWithCrashingTask({})
  for (const worker of cell.workers) worker.crashingTasks.clear()
  for (let round = 0; round < 4; round++) {
    await cell.timers.advance(25_000)
    for (const worker of cell.workers.slice(round, round + 3)) worker.crash()
  }
  for (const jobId of ['bad', ...ordinary]) await cell.untilState(placer, jobId, 'done')
  t.same(cell.violations(), [])
})

// Guards against a gang that is given up for crashes under different tasks of it (LOST).
t.test('a gang is not given up when its workers crash one after another, each under another task', async t => {
  const cell = new JobCell({ workers: 8, cpus: 8 })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'gang', { kind: 'gang', count: 5, cpus: 6, runMs: 120_000 })
  const hit = new Set<string>()
  const runningOn = (worker: typeof cell.workers[number]): string[] =>
    [...worker.tasks.values()].filter(({ state }) => state === 'running').map(({ run }) => run.task)
  for (let crash = 0; crash < 4; crash++) {
    await cell.timers.advanceUntil(() => cell.workers.filter(worker => runningOn(worker).length === 1).length === 5)
    await cell.timers.advance(50_000)
    const worker = cell.workers.find(each => runningOn(each).some(task => !hit.has(task)))!
    for (const task of runningOn(worker)) hit.add(task)
    worker.crash()
  }
  await cell.untilState(placer, 'gang', 'done')
  t.equal(hit.size, 4)
  t.same(cell.violations({ gangs: new Set(['gang']) }), [])
})

// Guards against a task that the placer of the entry daemons never gives up since it crashes the same worker again and again.
t.test('a task that crashes the only worker is given up', async t => {
  const cell = new JobCell({ workers: 1, cpus: 8 })
  cell.workers[0].crashingTasks.add('bad:0')
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'bad', { count: 1, runMs: 60_000 })
  await cell.timers.advance(900_000)
  t.equal(placer.manager.explain('bad')?.state, 'failed')
  t.ok(cell.workers[0].crashes <= 5, `${cell.workers[0].crashes} crashes`)
})

// Guards against a task that is never given up (BUDGET): the worker that it has crashed is the only one with room for its trial.
t.test('a task that crashes the only worker with room for it is given up', async t => {
  const cell = new JobCell({ workers: 4, cpus: 8 })
  for (const worker of cell.workers) worker.crashingTasks.add('bad:0')
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'long', { count: 3, cpus: 8, runMs: 3_000_000 })
  await cell.timers.advance(30_000)
  await cell.submit(placer, 'bad', { count: 1, cpus: 8, runMs: 60_000 })
  await cell.timers.advance(900_000)
  t.equal(placer.manager.explain('bad')?.state, 'failed')
  t.ok(cell.workers.reduce((sum, { crashes }) => sum + crashes, 0) <= 5, cell.workers.map(({ crashes }) => crashes).join(' '))
})
