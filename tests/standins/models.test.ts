import t from 'tap'
import { HEADERS } from 'pomelofold/protocol/requests'
import type { TaskStart } from 'pomelofold/protocol/worker'
import { StaleEpochError } from 'pomelofold/seams/upstreamClient'
import { InstanceModel, type InstanceModelOptions } from '@pomelofold/standins/instanceModel'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { MemoryUpstreamClient } from '@pomelofold/standins/memoryUpstreamClient'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { WorkerModel, type WorkerModelOptions } from '@pomelofold/standins/workerModel'

const ADDRESS = '10.0.0.1:80'
const TIMEOUT_MS = 10_000
const SIZE = { cpus: 4, memoryMb: 1_000, accelerators: 1 }

function makeWorker (options: Partial<WorkerModelOptions> = {}) {
  const timers = new ManualTimers()
  const capacity = { cpus: 8, memoryMb: 4_000, accelerators: 2 }
  const worker = new WorkerModel({ timers, random: new SeededRandom(1), capacity, ...options })
  const upstreams = new MemoryUpstreamClient({ timers, models: { instances: new Map(), workers: new Map([[ADDRESS, worker]]) } })
  return { timers, worker, upstreams }
}

function makeInstance (options: Partial<InstanceModelOptions> = {}) {
  const timers = new ManualTimers()
  const instance = new InstanceModel({ timers, random: new SeededRandom(1), expectedMs: 100, spread: 0, ...options })
  const upstreams = new MemoryUpstreamClient({ timers, models: { instances: new Map([[ADDRESS, instance]]), workers: new Map() } })
  const send = (id: string) => {
    const req = { method: 'POST', path: '/', headers: { [HEADERS.requestId]: id }, body: Buffer.from(id) }
    return upstreams.request(ADDRESS, req, TIMEOUT_MS)
  }
  return { timers, instance, upstreams, send }
}

function taskStart (taskId: string, fields: Partial<TaskStart> = {}): TaskStart {
  return { taskId, size: SIZE, leaseMs: 1_000, runMs: 0, payload: '', ...fields }
}

t.test('a task is stopped at the moment its lease lapses, and one with a renewed lease continues to run', async t => {
  const { timers, worker } = makeWorker()
  worker.start(1, [taskStart('a'), taskStart('b', { leaseMs: 1_500 })])
  await timers.advance(1_200)
  t.match(worker.renew(1, 1_000, []), { value: { tasks: [{ taskId: 'a', state: 'stopped', ranMs: 1_000 }, { taskId: 'b', state: 'running' }] } })
  await timers.advance(999)
  t.match(worker.record().runs[1], { taskId: 'b', endMs: undefined })
  await timers.advance(1)
  const { runs } = worker.record()
  t.same(runs.map(run => run.endMs! - run.startMs), [1_000, 2_200])
})

t.test('calls of older epochs are refused with the newest epoch, and their starts are recorded as refused', async t => {
  const { timers, worker, upstreams } = makeWorker()
  worker.renew(5, 1_000, [])
  const late = upstreams.startTasks(ADDRESS, 4, [taskStart('a')], TIMEOUT_MS)
  await timers.advance(10)
  const result = await late
  t.ok(result.isErr && result.error instanceof StaleEpochError && result.error.epoch === 5)
  t.match(worker.record(), { runs: [], refusedStarts: [{ taskId: 'a', epoch: 4 }], epoch: 5 })
})

t.test('a start is refused while the task is listed, and ended tasks are listed until they are acknowledged', async t => {
  const { timers, worker } = makeWorker()
  worker.start(1, [taskStart('a', { runMs: 100 })])
  t.match(worker.start(1, [taskStart('a')]), { value: [{ started: false, reason: /already started/ }] })
  await timers.advance(100)
  t.match(worker.start(1, [taskStart('a')]), { value: [{ started: false, reason: /finished/ }] })
  t.match(worker.renew(1, 1_000, []), { value: { tasks: [{ taskId: 'a', state: 'finished' }] } })
  t.match(worker.renew(1, 1_000, ['a']), { value: { tasks: [] } })
  t.match(worker.record().timesRun, { a: 1 })
})

t.test('a worker lists only the tasks that have changed since a version of its own list', async t => {
  const { worker, timers } = makeWorker({ usageLagMs: 500 })
  const reportOf = (since?: string) => worker.renew(1, 60_000, [], since).unwrapOr(undefined)
  worker.start(1, [taskStart('a', { leaseMs: 60_000 }), taskStart('b', { leaseMs: 60_000, runMs: 1_000 })])
  const first = reportOf()
  t.equal(first?.tasks.length, 2)
  t.match(reportOf(first?.listVersion), { tasks: [], since: first?.listVersion })
  await timers.advance(600)
  const second = reportOf(first?.listVersion)
  t.equal(second?.tasks.length, 2, 'the usage of both tasks is reported')
  await timers.advance(600)
  t.match(reportOf(second?.listVersion), { tasks: [{ taskId: 'b', state: 'finished' }] })
  t.equal(reportOf('another/3')?.tasks.length, 2, 'a version of the list of an earlier process')
})

t.test('tasks started beyond the capacity run, and the start and the peak are recorded', async t => {
  const { worker } = makeWorker()
  t.match(worker.start(1, [taskStart('a'), taskStart('b'), taskStart('c')]), { value: [{ started: true }, { started: true }, { started: true }] })
  t.match(worker.record(), { overfilledStarts: 1, peakDeclared: { cpus: 12, memoryMb: 3_000, accelerators: 3 } })
})

t.test('fractions of cores that fill a worker exactly are not recorded as an overfilled start', async t => {
  const { worker } = makeWorker({ capacity: { cpus: 0.3, memoryMb: 1, accelerators: 0 } })
  worker.start(1, ['a', 'b', 'c'].map(taskId => taskStart(taskId, { size: { cpus: 0.1, memoryMb: 0, accelerators: 0 } })))
  t.match(worker.record(), { overfilledStarts: 0, peakDeclared: { cpus: 0.3 } })
})

t.test('a throttled task runs at half speed, and a task resumes from where its checkpoint was taken', async t => {
  const { timers, worker } = makeWorker()
  worker.start(1, [taskStart('a', { runMs: 400, leaseMs: 10_000 })])
  await timers.advance(100)
  worker.command(1, 'a', 'throttle')
  await timers.advance(200)
  worker.command(1, 'a', 'checkpoint')
  const report = worker.renew(1, 10_000, [])
  const checkpoint = report.isOk ? report.value.tasks[0].checkpoint : undefined
  await timers.advance(400)
  t.match(worker.record().runs[0], { end: 'finished' })
  worker.start(1, [taskStart('b', { runMs: 400, leaseMs: 10_000, checkpoint })])
  await timers.advance(200)
  t.match(worker.record().runs[1], { taskId: 'b', end: 'finished' })
})

t.test('usage is reported after a lag and differs from the declared size', async t => {
  const { timers, worker } = makeWorker({ usageFactor: [1.5, 2], usageLagMs: 500 })
  worker.start(1, [taskStart('a')])
  const usage = () => worker.renew(1, 1_000, []).map(report => report.tasks[0].usage).unwrapOr(undefined)
  await timers.advance(499)
  t.equal(usage(), undefined)
  await timers.advance(1)
  t.ok(usage()!.cpus >= 6 && usage()!.cpus <= 8)
})

t.test('a worker with the fault failTasks fails its tasks, and a hanging one processes calls when the fault is switched off', async t => {
  const { timers, worker, upstreams } = makeWorker()
  Object.assign(worker.faults, { failTasks: true, hang: true })
  const start = upstreams.startTasks(ADDRESS, 1, [taskStart('a')], 100)
  await timers.advance(200)
  t.match(await start, { error: { effect: 'unknown' } })
  t.same(worker.record().runs, [])
  worker.faults.hang = false
  await timers.advance(100)
  t.match(worker.record().runs, [{ taskId: 'a', end: 'failed' }])
})

t.test('an instance runs as many requests as it has slots, and starts the others in order of arrival', async t => {
  const { timers, instance, send } = makeInstance({ slots: 2, speed: 2 })
  const ids = ['a', 'b', 'c', 'd', 'e']
  const answers = Promise.all(ids.map(send))
  await timers.advance(200)
  const { runs, peakRunning, peakAccepted } = instance.record()
  t.same(runs.map(run => run.requestId), ids)
  t.same([peakRunning, peakAccepted], [2, 5])
  t.same(runs.map(run => run.startMs - runs[0].startMs), [0, 0, 50, 50, 100])
  for (const [index, answer] of (await answers).entries()) {
    t.match(answer.isOk && JSON.parse(Buffer.from(answer.value.body).toString()), { requestId: ids[index], digest: runs[index].digest })
  }
})

t.test('an instance resets requests beyond its connections without running them', async t => {
  const { timers, instance, send } = makeInstance({ connections: 1 })
  const [first, second] = [send('a'), send('b')]
  await timers.advance(200)
  t.match(await first, { value: { status: 200 } })
  t.match(await second, { error: { effect: 'unknown' } })
  t.same(instance.record().timesRun, { a: 1 })
})

t.test('service times repeat with the same seed and have the expected mean', async t => {
  const mean = async () => {
    const { timers, instance, send } = makeInstance({ spread: 0.5, slots: 1 })
    for (let i = 0; i < 500; i++) {
      const answer = send(String(i))
      await timers.advance(1_000)
      await answer
    }
    return instance.record().runs.reduce((sum, run) => sum + run.endMs! - run.startMs, 0) / 500
  }
  const first = await mean()
  t.equal(await mean(), first)
  t.ok(first > 90 && first < 110, `mean ${first}`)
})

for (const [name, fault, ran] of [
  ['an unreachable link delivers no request', { unreachable: true }, {}],
  ['a request whose answer is lost has run', { loseAnswers: true }, { a: 1 }],
  ['a request delayed beyond its timeout still arrives', { delayMs: 2 * TIMEOUT_MS }, { a: 1 }]
] as const) {
  t.test(`${name}, and the effect is unknown`, async t => {
    const { timers, instance, upstreams, send } = makeInstance()
    Object.assign(upstreams.link(ADDRESS), fault)
    const answer = send('a')
    await timers.advance(5 * TIMEOUT_MS)
    t.match(await answer, { error: { effect: 'unknown', step: 'upstream.request', peer: ADDRESS } })
    t.same(instance.record().timesRun, ran)
  })
}

t.test('an address without a VM refuses the connection', async t => {
  const { upstreams } = makeInstance()
  t.match(await upstreams.renew('10.0.0.9:80', 1, 1, [], TIMEOUT_MS), { error: { effect: 'none' } })
})
