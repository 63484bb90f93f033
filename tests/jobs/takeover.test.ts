/**
 * Tests of takeovers, lost answers and unreachable workers: a new placer must not start a task that may still run, and a
 * suspended earlier placer must not start or store anything.
 */

import t from 'tap'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { JOB_CLASSES_BY_URGENCY } from 'pomelofold/tasks/jobs/jobQueue'
import { JobCell, MANIFEST, specOf, type EntryVm } from './jobCell.js'

const LEASE_MS = 12_000
const SIZE = { cpus: 1, memoryMb: 10, accelerators: 0 }
const SHORT_LEASES = { leaseMs: LEASE_MS, renewEveryMs: 4_000, maxDeliveryMs: 3_000, probeEveryMs: 1_000 }

t.test('a placer that was suspended during a takeover starts and stores nothing more', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const suspended = await cell.addPlacer()
  await cell.submit(suspended, 'nightly', { count: 30, runMs: 3_000 })
  await cell.timers.advance(1_000)
  const second = await cell.addPlacer()
  t.equal((await cell.submit(suspended, 'late')).kind, 'unavailable')
  await cell.untilState(second, 'nightly', 'done')
  t.equal(await cell.stateOf(second, 'late'), 'notFound')
  t.same(cell.violations(), [])
})

t.test('a start that was delayed in the network beyond a takeover does not run a task twice', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const first = await cell.addPlacer()
  for (const worker of cell.workers) worker.faults.startDelayMs = 2_500
  await cell.submit(first, 'nightly', { count: 6, runMs: 3_000 })
  await cell.timers.advance(500)
  cell.kill(first)
  for (const worker of cell.workers) worker.faults.startDelayMs = 0
  const second = await cell.addPlacer()
  await cell.untilState(second, 'nightly', 'done')
  t.same(cell.violations(), [])
  t.equal(cell.runs.length, 6)
})

t.test('tasks on a worker that does not answer the new placer run on other workers only after their leases have expired', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const first = await cell.addPlacer()
  await cell.submit(first, 'long', { count: 9, runMs: 120_000 })
  await cell.timers.advance(1_000)
  const cut = cell.fullestWorker()
  const stranded = cell.runs.filter(run => run.worker === cut.vm.name)
  cell.kill(first)
  cut.faults.cut = true
  await cell.addPlacer()
  const takenMs = cell.timers.now()
  await cell.timers.advanceUntil(() => cell.runs.length === 9 + stranded.length)
  const restarted = cell.runs.slice(9)
  t.ok(stranded.length >= 3)
  t.ok(restarted.every(run => run.fromMs >= takenMs + LEASE_MS))
  t.same(cell.violations(), [])
})

t.test('a gang that loses a member during a takeover waits for members on unresponsive workers before it restarts', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES, workers: 4 })
  const first = await cell.addPlacer()
  await cell.submit(first, 'gang', { kind: 'gang', count: 8, runMs: 60_000 })
  await cell.timers.advance(1_000)
  cell.kill(first)
  const [unresponsive, lost] = cell.workers.filter(worker => worker.tasks.size > 0)
  unresponsive.faults.cut = true
  const second = await cell.addPlacer()
  lost.reset()
  await cell.untilState(second, 'gang', 'done')
  t.same(cell.violations({ gangs: new Set(['gang']) }), [])
})

t.test('tasks of a worker that is no longer on the list of VMs are placed again at once', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'long', { count: 3, runMs: 60_000 })
  await cell.timers.advance(1_000)
  const gone = cell.workers.find(worker => worker.tasks.size > 0)!
  const lost = gone.tasks.size
  gone.faults.cut = true
  gone.reset()
  cell.vms = cell.vms.filter(vm => vm.name !== gone.vm.name)
  await cell.timers.advance(2_000)
  t.equal(cell.runs.length, 3 + lost)
  t.same(cell.violations(), [])
})

t.test('a start whose answer was lost counts as running until a renewal shows its state', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES, workers: 2 })
  const placer = await cell.addPlacer()
  cell.workers[0].faults.loseAnswers = true
  await cell.submit(placer, 'long', { count: 4, runMs: 20_000 })
  await cell.timers.advance(4_000)
  cell.workers[0].faults.loseAnswers = false
  await cell.untilState(placer, 'long', 'done')
  t.equal(cell.runs.length, 4)
  t.same(cell.violations(), [])
})

t.test('at most once: a task whose worker was lost is reported as unknown and not run again', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'reminders', { count: 6, runMs: 60_000, atMostOnce: true })
  await cell.timers.advance(2_000)
  const fullest = cell.fullestWorker()
  const lost = fullest.tasks.size
  t.ok(lost >= 2)
  fullest.reset()
  await cell.untilState(placer, 'reminders', 'failed')
  t.match(await placer.manager.getJob({ jobId: 'reminders' }), { job: { tasks: { unknown: lost, finished: 6 - lost } } })
  t.equal(cell.runs.length, 6)
})

t.test('at most once: after a takeover no task with an intent runs again', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES })
  const first = await cell.addPlacer()
  for (const worker of cell.workers) worker.faults.cut = true
  await cell.submit(first, 'reminders', { count: 3, atMostOnce: true })
  await cell.timers.advance(1_000)
  cell.kill(first)
  for (const worker of cell.workers) worker.faults.cut = false
  const second = await cell.addPlacer()
  await cell.untilState(second, 'reminders', 'failed')
  t.match(await second.manager.getJob({ jobId: 'reminders' }), { job: { tasks: { unknown: 3, finished: 0 } } })
  t.equal(cell.runs.length, 0)
})

t.test('at most once: members of a gang that have finished stay finished across a takeover', async t => {
  const cell = new JobCell({ cfg: SHORT_LEASES, workers: 2 })
  const first = await cell.addPlacer()
  await cell.submit(first, 'spots', { kind: 'gang', count: 8, runMs: 2_000, atMostOnce: true })
  await cell.timers.advance(500)
  cell.workers[1].faults.cut = true
  await cell.timers.advance(3_000)
  cell.kill(first)
  cell.workers[0].reset()
  cell.workers[1].faults.cut = false
  const second = await cell.addPlacer()
  await cell.untilState(second, 'spots', 'done')
  t.equal(cell.runs.length, 8)
})

t.test('a gang starts no member while a start cannot be sent to a worker that has stopped answering', async t => {
  const cell = new JobCell({ cfg: { ...SHORT_LEASES, callTimeoutMs: 300 }, workers: 2 })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'filler', { kind: 'gang', cpus: 3, count: 2, runMs: 2_000 })
  await cell.timers.advance(1_000)
  placer.platform.faults.delayMs = 900
  await cell.submit(placer, 'spots', { kind: 'gang', count: 2, runMs: 10_000, atMostOnce: true })
  for (const worker of cell.workers.slice(1)) worker.faults.cut = true
  await cell.timers.advance(4_000)
  for (const worker of cell.workers) worker.faults.cut = false
  await cell.untilState(placer, 'spots', 'done')
  const times = cell.runs.filter(run => run.task.startsWith('spots')).map(run => run.fromMs)
  t.ok(Math.max(...times) - Math.min(...times) < 1_000, `starts at ${times.join(', ')}`)
  t.equal(times.length, 2)
})

for (const seed of [1, 2, 3, 4, 5, 6, 7, 72, 134]) {
  t.test(`random faults: tasks finish once, in one place, within capacity (seed ${seed})`, async t => {
    const cell = new JobCell({ cfg: SHORT_LEASES, workers: 4, seed })
    const random = new SeededRandom(seed + 100)
    cell.manifest = manifestSchema.parse({ ...MANIFEST, longRunning: [{ name: 'listener', team: 'street', replicas: 3, size: SIZE }] })
    let placer: EntryVm = await cell.addPlacer()
    const accepted: string[] = []
    const gangs = new Set<string>()
    for (let step = 0; step < 40; step++) {
      const jobId = `job-${step}`
      const kind = random.int(4) === 0 ? 'gang' : 'batch'
      const jobClass = JOB_CLASSES_BY_URGENCY[random.int(3)]
      const spec = { count: 1 + random.int(5), runMs: 500 + random.int(8_000), atMostOnce: random.int(5) === 0, class: jobClass }
      const answer = await cell.submit(placer, jobId, { kind, ...spec })
      if (kind === 'gang') gangs.add(jobId)
      if (answer.kind === 'job') accepted.push(jobId)
      const { faults } = cell.workers[random.int(4)]
      Object.assign(faults, { cut: random.int(4) === 0, loseAnswers: random.int(4) === 0, startDelayMs: random.int(4) === 0 ? 2_500 : 0 })
      placer.platform.faults.loseAnswers = random.int(6) === 0
      if (random.int(8) === 0) cell.workers[random.int(4)].reset()
      if (random.int(5) === 0) await cell.wait(placer.manager.cancelJob({ jobId: `job-${random.int(step + 1)}` }))
      if (random.int(6) === 0) {
        if (random.int(2) === 0) cell.kill(placer)
        else cell.suspend(placer)
        placer = await cell.addPlacer()
      }
      await cell.timers.advance(random.int(4_000))
    }
    for (const worker of cell.workers) Object.assign(worker.faults, { cut: false, loseAnswers: false, startDelayMs: 0 })
    placer.platform.faults.loseAnswers = false
    await cell.timers.advance(240_000)
    t.same(cell.violations({ gangs }), [])
    t.ok(accepted.length > 20, `${accepted.length} jobs were accepted`)
    for (const jobId of accepted) t.match(await cell.stateOf(placer, jobId), /done|failed|cancelled/, jobId)
    const { jobs } = await placer.manager.listJobs()
    const once = jobs.filter(job => job.spec.atMostOnce).map(job => job.jobId)
    const repeated = once.filter(jobId => new Set(tasksOf(cell, jobId)).size !== tasksOf(cell, jobId).length)
    t.same(repeated, [], 'at most once')
    t.same(jobs.filter(job => job.state === 'failed' && !job.spec.atMostOnce), [])
    t.equal(cell.runs.filter(run => run.task.startsWith('a.service:listener') && run.toMs === Infinity).length, 3)
  })
}

function tasksOf (cell: JobCell, jobId: string): string[] {
  return cell.runs.filter(run => run.task.startsWith(`${jobId}:`)).map(run => run.task)
}

t.test('a submission whose answer from the platform was lost is accepted when the commit is confirmed', async t => {
  const cell = new JobCell()
  const placer = await cell.addPlacer()
  placer.platform.faults.loseAnswers = true
  const answer = placer.manager.submitJob({ jobId: 'nightly', digest: 'd', spec: specOf('nightly') })
  t.equal((await cell.wait(answer)).kind, 'unavailable')
  placer.platform.faults.loseAnswers = false
  await cell.untilState(placer, 'nightly', 'done')
  t.equal(cell.runs.length, 1)
})
