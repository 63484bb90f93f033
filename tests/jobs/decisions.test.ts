/**
 * Tests of single decisions of the placer: restarts of gangs, cancellations, preemption, replicas of services, overuse, and
 * failures of workers and jobs. An error in one of them starts a task twice, starts it never, or stops a task without need.
 */

import t from 'tap'
import { manifestSchema, type Manifest } from 'pomelofold/protocol/manifest'
import { JobCell, MANIFEST, specOf } from './jobCell.js'

const SHORT_LEASES = { leaseMs: 12_000, renewEveryMs: 4_000, maxDeliveryMs: 3_000, probeEveryMs: 1_000 }
const SIZE = { cpus: 1, memoryMb: 10, accelerators: 0 }

function withServices (...longRunning: Array<{ name: string, replicas: number, payload?: string }>): Manifest {
  const declared = longRunning.map(service => ({ ...service, team: 'street', size: SIZE }))
  return manifestSchema.parse({ ...MANIFEST, longRunning: declared })
}

function countRunning (cell: JobCell, prefix: string): number {
  return cell.runs.filter(run => run.task.startsWith(prefix) && run.toMs === Infinity).length
}

// Guards against starts beyond the capacity that the list of VMs shows, until the worker's next report.
t.test('a worker whose capacity shrinks in the list of VMs gets no tasks beyond it', async t => {
  const cell = new JobCell({ workers: 2, cpus: 8 })
  const placer = await cell.addPlacer()
  await cell.timers.advance(2_000)
  const shrunk = { cpus: 2, memoryMb: 1e6, accelerators: 4 }
  cell.vms = cell.vms.map(vm => ({ ...vm, capacity: shrunk }))
  for (const worker of cell.workers) worker.vm.capacity = shrunk
  await cell.timers.advance(2_000)
  await cell.submit(placer, 'job', { count: 12, runMs: 5_000 })
  await cell.timers.advance(3_000)
  t.equal(countRunning(cell, 'job'), 4)
  await cell.untilState(placer, 'job', 'done')
  t.same(cell.violations(), [])
})

t.test('a gang with a refused start is stopped and restarted as a whole', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const placer = await cell.addPlacer()
  cell.workers[2].faults.refuse = true
  await cell.submit(placer, 'gang', { kind: 'gang', count: 12, runMs: 60_000 })
  await cell.timers.advance(8_000)
  t.ok(cell.runs.some(run => run.end === 'stopped'))
  cell.workers[2].faults.refuse = false
  await cell.untilState(placer, 'gang', 'done')
  const lastStarts = cell.runs.filter(run => run.end === 'finished')
  t.equal(lastStarts.length, 12)
  t.same(cell.violations(), [])
})

t.test('a gang that loses a member is restarted as a whole, also across a takeover', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES, workers: 4 })
  const first = await cell.addPlacer()
  await cell.submit(first, 'gang', { kind: 'gang', count: 12, runMs: 30_000 })
  await cell.timers.advance(1_000)
  cell.kill(first)
  cell.workers[0].reset()
  const second = await cell.addPlacer()
  await cell.untilState(second, 'gang', 'done')
  const finished = cell.runs.filter(run => run.end === 'finished')
  t.equal(finished.length, 12)
  const spreadMs = Math.max(...finished.map(run => run.fromMs)) - Math.min(...finished.map(run => run.fromMs))
  t.ok(spreadMs < 1_000, `starts are ${spreadMs} ms apart`)
  t.same(cell.violations(), [])
})

t.test('10,000 cancellations are committed in a few writes, do not block placement, and prevent unsent starts', async t => {
  const cell = new JobCell({ workers: 2, cfg: { commitEveryMs: 20 } })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'filler', { count: 8, runMs: 600_000 })
  const ids = Array.from({ length: 10_000 }, (_, i) => `wave-${i}`)
  for (let at = 0; at < ids.length; at += 2_000) {
    const submits = ids.slice(at, at + 2_000).map(jobId => placer.manager.submitJob({ jobId, digest: 'd', spec: specOf(jobId) }))
    await cell.wait(Promise.all(submits))
  }
  const { writes } = cell.store.counts
  const startMs = performance.now()
  const cancels = Promise.all(ids.map(async jobId => await placer.manager.cancelJob({ jobId })))
  const freed = placer.manager.cancelJob({ jobId: 'filler' })
  const submitted = cell.submit(placer, 'after', { class: 'urgent' })
  t.ok((await cell.wait(cancels)).every(answer => answer.kind === 'job' && answer.job.state === 'cancelled'))
  t.equal((await cell.wait(freed)).kind, 'job')
  t.comment(`10,000 cancellations: ${Math.round(performance.now() - startMs)} ms, ${cell.store.counts.writes - writes} writes`)
  t.ok(cell.store.counts.writes - writes <= 10)
  t.equal((await cell.wait(submitted)).kind, 'job')
  await cell.untilState(placer, 'after', 'done', 15_000)
  t.equal(cell.runs.filter(run => run.task.startsWith('wave')).length, 0)
})

t.test('a cancelled task whose start has not been sent never starts', async t => {
  const cell = new JobCell({ workers: 1 })
  const placer = await cell.addPlacer()
  cell.workers[0].faults.startDelayMs = 1_000
  await cell.submit(placer, 'first', { runMs: 1_000 })
  await cell.timers.advance(100)
  await cell.submit(placer, 'second', { runMs: 1_000 })
  await cell.timers.advance(100)
  t.match(placer.manager.explain('second'), { runs: [{ state: 'queued' }] })
  await cell.wait(placer.manager.cancelJob({ jobId: 'second' }))
  await cell.timers.advance(10_000)
  t.same(cell.runs.map(run => run.task), ['first:0'])
})

t.test('cancellations survive a takeover', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const first = await cell.addPlacer()
  await cell.submit(first, 'nightly', { count: 3, runMs: 60_000 })
  await cell.timers.advance(500)
  t.match(await cell.wait(first.manager.cancelJob({ jobId: 'nightly' })), { job: { state: 'cancelled' } })
  cell.kill(first)
  const second = await cell.addPlacer()
  await cell.timers.advance(10_000)
  t.equal(await cell.stateOf(second, 'nightly'), 'cancelled')
  t.equal(countRunning(cell, 'nightly'), 0)
})

t.test('an urgent job stops less urgent tasks after a checkpoint and starts within 7.3 s; they resume from the checkpoint', async t => {
  const cell = new JobCell({ workers: 2 })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'overnight', { class: 'overnight', count: 8, runMs: 60_000 })
  await cell.timers.advance(10_000)
  const submittedMs = cell.timers.now()
  await cell.submit(placer, 'urgent', { class: 'urgent', cpus: 2, runMs: 5_000 })
  await cell.untilState(placer, 'urgent', 'done')
  const urgent = cell.runs.find(run => run.task === 'urgent:0')!
  t.comment(`the urgent job waited ${urgent.fromMs - submittedMs} ms`)
  t.ok(urgent.fromMs - submittedMs < 7_300)
  const { commands } = cell.workers[0]
  t.same(commands.map(command => command.split(' ')[0]), ['checkpoint', 'checkpoint', 'stop', 'stop'])
  await cell.untilState(placer, 'overnight', 'done')
  t.equal(cell.runs.filter(run => run.checkpoint?.startsWith('at ')).length, 2)
  t.same(cell.violations(), [])
})

t.test('an urgent job of several tasks makes room for them at the same time', async t => {
  const cell = new JobCell({ workers: 6 })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'overnight', { class: 'overnight', count: 24, runMs: 60_000 })
  await cell.timers.advance(10_000)
  const submittedMs = cell.timers.now()
  await cell.submit(placer, 'urgent', { class: 'urgent', count: 5, cpus: 3, runMs: 5_000 })
  await cell.untilState(placer, 'urgent', 'done')
  t.ok(cell.runs.filter(run => run.task.startsWith('urgent')).every(run => run.fromMs - submittedMs < 7_300))
  t.same(cell.violations(), [])
})

t.test('a job that does not fit does not block others, and reports what it waits for', async t => {
  const cell = new JobCell({ workers: 2 })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'filler', { count: 5, runMs: 20_000 })
  await cell.submit(placer, 'wide', { cpus: 4 })
  await cell.submit(placer, 'small', { cpus: 1, runMs: 1_000 })
  await cell.untilState(placer, 'small', 'done', 5_000)
  t.match(await placer.manager.getJob({ jobId: 'wide' }), { job: { state: 'accepted', waitingFor: 'full: needs 4 cpus' } })
})

t.test('a long-running service keeps its replicas, replaces lost ones, and ends with its declaration', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const first = await cell.addPlacer()
  first.manager.setManifest(withServices({ name: 'street', replicas: 5 }, { name: 'gone', replicas: 1 }))
  await cell.timers.advance(2_000)
  t.equal(countRunning(cell, 'a.service:street'), 5)
  cell.workers[0].reset()
  await cell.timers.advance(20_000)
  t.equal(countRunning(cell, 'a.service:street'), 5)
  cell.kill(first)
  const second = cell.addEntryVm()
  second.manager.setManifest(withServices({ name: 'street', replicas: 3 }))
  second.authority.set(9)
  await cell.timers.advance(30_000)
  t.same([countRunning(cell, 'a.service:street'), countRunning(cell, 'a.service:gone')], [3, 0])
  second.manager.setManifest(withServices({ name: 'street', replicas: 5, payload: 'new' }))
  await cell.timers.advance(30_000)
  t.equal(countRunning(cell, 'a.service:street'), 5)
  t.same(cell.violations(), [])
})

t.test('a service that is declared again does not start replicas that may still run', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const placer = await cell.addPlacer()
  placer.manager.setManifest(withServices({ name: 'street', replicas: 3 }))
  await cell.timers.advance(2_000)
  cell.workers[0].faults.cut = true
  placer.manager.setManifest(withServices())
  await cell.timers.advance(100)
  placer.manager.setManifest(withServices({ name: 'street', replicas: 3 }))
  await cell.timers.advance(5_000)
  cell.workers[0].faults.cut = false
  await cell.timers.advance(20_000)
  t.equal(countRunning(cell, 'a.service:street'), 3)
  t.same(cell.violations(), [])
})

t.test('tasks that use more than declared are throttled, then stopped with a checkpoint, the least urgent first', async t => {
  const cell = new JobCell({ workers: 1, cfg: SHORT_LEASES })
  const placer = await cell.addPlacer()
  cell.workers[0].usageFactor = 2
  await cell.submit(placer, 'normal', { count: 2, runMs: 40_000, family: 'underdeclared' })
  await cell.submit(placer, 'overnight', { class: 'overnight', count: 2, runMs: 40_000, family: 'underdeclared' })
  await cell.timers.advance(12_000)
  t.same([...new Set(cell.workers[0].commands)].slice(0, 2).sort(), ['throttle overnight:0', 'throttle overnight:1'])
  t.notOk(cell.workers[0].commands.some(command => command.startsWith('stop normal')))
  await cell.untilState(placer, 'normal', 'done')
  await cell.untilState(placer, 'overnight', 'done')
  cell.workers[0].commands.length = 0
  await cell.submit(placer, 'next', { count: 4, runMs: 10_000, family: 'underdeclared' })
  await cell.timers.advance(5_000)
  t.equal(countRunning(cell, 'next'), 2, 'planned with the observed size')
})

// Guards against a job that waits for ever beside the only worker with room, since a task of it has failed there (LOST).
t.test('a job that has failed on the only worker with room runs there later', async t => {
  const cell = new JobCell({ workers: 3, cpus: 8 })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'long', { kind: 'gang', count: 2, cpus: 8, runMs: 100_000_000 })
  await cell.timers.advance(1_000)
  const worker = cell.workers.find(({ tasks }) => tasks.size === 0)!
  worker.faults.failTasks = true
  await cell.submit(placer, 'job', { cpus: 8 })
  await cell.timers.advanceUntil(() => cell.runs.some(run => run.task === 'job:0' && run.end === 'failed'))
  worker.faults.failTasks = false
  await cell.untilState(placer, 'job', 'done')
})

t.test('a worker that fails tasks of unrelated jobs goes on probation; the jobs succeed on other workers', async t => {
  const cell = new JobCell()
  const placer = await cell.addPlacer()
  cell.workers[0].faults.failTasks = true
  const jobIds = Array.from({ length: 12 }, (_, i) => `job-${i}`)
  for (const jobId of jobIds) await cell.submit(placer, jobId, { runMs: 1_000 })
  for (const jobId of jobIds) await cell.untilState(placer, jobId, 'done', 30_000)
  t.match(placer.manager.figures(), { workersOnProbation: ['worker-0'] })
  const before = cell.runs.filter(run => run.worker === 'worker-0').length
  for (const jobId of ['a', 'b', 'c', 'd']) await cell.submit(placer, jobId, { runMs: 1_000 })
  for (const jobId of ['a', 'b', 'c', 'd']) await cell.untilState(placer, jobId, 'done', 10_000)
  t.equal(cell.runs.filter(run => run.worker === 'worker-0').length, before)
})

t.test('jobs that fail on several workers are delayed, then fail, and no worker goes on probation', async t => {
  const cell = new JobCell()
  const placer = await cell.addPlacer()
  for (const worker of cell.workers) worker.faults.failTasks = true
  for (const jobId of ['one', 'two', 'three']) {
    await cell.submit(placer, jobId, { runMs: 1_000 })
    await cell.untilState(placer, jobId, 'failed', 120_000)
    t.match(await placer.manager.getJob({ jobId }), { job: { waitingFor: /failed 5 times at 3 workers/ } })
  }
  t.equal(cell.runs.length, 15)
  t.match(placer.manager.figures(), { workersOnProbation: [] })
})
