/**
 * Review of issue 49: jobs that are given up for crashes that no run of theirs has seen, and tasks that are never given up.
 *
 * @module
 */

import t from 'tap'
import { WorkflowCell } from './workflowCell.js'
import { JobCell } from '../jobs/jobCell.js'

// Guards against a task that the placer of the entry daemons never gives up since it crashes the same worker again and again.
t.test('placer: a task that crashes the only worker is given up', async t => {
  const cell = new JobCell({ workers: 1, cpus: 8 })
  cell.workers[0].crashingTasks.add('bad:0')
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'bad', { count: 1, runMs: 60_000 })
  await cell.timers.advance(900_000)
  t.equal(placer.manager.explain('bad')?.state, 'failed')
  t.ok(cell.workers[0].crashes <= 5, `${cell.workers[0].crashes} crashes`)
})

// Guards against evidence that stays although the worker answers again: a device has refused connections for longer than the lease (LOST).
t.test('the crash of a worker that answers again after its lease has lapsed is withdrawn', async t => {
  const cell = new WorkflowCell({ workers: 3, runMs: () => 12_000 })
  await cell.waitUntilReady()
  const job = cell.workflow([{ tasks: 1 }])
  await cell.submit(job)
  const task = `${job.id}.0.0.0`
  for (let run = 1; run <= 2; run++) {
    await cell.timers.advanceUntil(() => cell.workers.some(({ runs }) => runs.has(task)))
    await cell.timers.advance(50)
    const { faults } = cell.workers.find(({ runs }) => runs.has(task))!
    faults.refusesConnections = true
    await cell.timers.advance(9_000)
    faults.refusesConnections = false
  }
  await cell.timers.advance(500)
  t.equal(cell.crashes.length, 0)
  const eventsOf = (event: string) => cell.events.filter(({ name, fields }) => name === event && fields.task === task)
  t.same(eventsOf('task.suspected').map(({ fields }) => fields.crashes), [], 'no worker has crashed')
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

// Guards against the same where the worker that the task has crashed is the only one with room for its trial.
t.test('placer: a task that crashes the only worker with room for it is given up', async t => {
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
