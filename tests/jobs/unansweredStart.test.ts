/**
 * Tests of starts that have had no answer and arrive late, or never: until it is certain that such a start cannot arrive any more,
 * its task must not start elsewhere, and its room must not be given away.
 */

import t from 'tap'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { JobCell, MANIFEST, specOf } from './jobCell.js'

const MAX_DELIVERY_MS = 15_000
const START_DELAYS_MS = [2_500, 5_000, 8_000, 14_000]
const RUN_MS = 20_000
const SHORT_LEASES = { leaseMs: 12_000, renewEveryMs: 4_000, maxDeliveryMs: 3_000, probeEveryMs: 1_000 }
/** Time in which a start is sent and has not been answered yet. */
const SENT_MS = 500
const GANGS = { gangs: new Set(['gang']) }

/** Submits a gang whose start at the first worker arrives after `startDelayMs`, and whose start at the second is refused. */
async function startGangInPart (cell: JobCell, placer: Awaited<ReturnType<JobCell['addPlacer']>>, startDelayMs: number): Promise<void> {
  const [late, refusing] = cell.workers
  late.faults.startDelayMs = startDelayMs
  refusing.faults.refuse = true
  await cell.timers.advance(1_000)
  await cell.submit(placer, 'gang', { kind: 'gang', count: 3, runMs: RUN_MS })
  await cell.timers.advance(SENT_MS)
  late.faults.startDelayMs = 0
  refusing.faults.refuse = false
}

for (const startDelayMs of START_DELAYS_MS) {
  // Guards against two runs of a member: its gang restarted while the member's start was under way.
  t.test(`a gang with a refused start restarts only after a start that arrives ${startDelayMs} ms late has been stopped`, async t => {
    const cell = new JobCell({ workers: 3, cpus: 1 })
    const placer = await cell.addPlacer()
    await startGangInPart(cell, placer, startDelayMs)
    await cell.untilState(placer, 'gang', 'done')
    await cell.timers.advance(RUN_MS)
    t.same(cell.violations(GANGS), [])
  })

  // Guards against an overfilled worker: the room of a preempted run was given away while its start was under way.
  t.test(`a preempted run whose start arrives ${startDelayMs} ms late keeps its room until it has been stopped`, async t => {
    const cell = new JobCell({ workers: 1, cpus: 1 })
    const placer = await cell.addPlacer()
    cell.workers[0].faults.startDelayMs = startDelayMs
    await cell.timers.advance(1_000)
    await cell.submit(placer, 'low', { runMs: RUN_MS })
    await cell.timers.advance(2_100)
    cell.workers[0].faults.startDelayMs = 0
    await cell.submit(placer, 'high', { runMs: RUN_MS, class: 'urgent' })
    await cell.untilState(placer, 'high', 'done')
    await cell.untilState(placer, 'low', 'done')
    await cell.timers.advance(RUN_MS)
    t.same(cell.violations(), [])
  })

  // Guards against an overfilled worker: the room of a cancelled job was given away while its start was under way.
  t.test(`a cancelled job whose start arrives ${startDelayMs} ms late keeps its room until it has been stopped`, async t => {
    const cell = new JobCell({ workers: 1, cpus: 1 })
    const placer = await cell.addPlacer()
    cell.workers[0].faults.startDelayMs = startDelayMs
    await cell.timers.advance(1_000)
    await cell.submit(placer, 'cancelled', { runMs: RUN_MS })
    await cell.timers.advance(SENT_MS)
    cell.workers[0].faults.startDelayMs = 0
    await cell.wait(placer.manager.cancelJob({ jobId: 'cancelled' }))
    await cell.submit(placer, 'next', { runMs: RUN_MS })
    await cell.untilState(placer, 'next', 'done')
    await cell.timers.advance(RUN_MS)
    t.same(cell.violations(), [])
  })

  // Guards against two runs of a replica: a service was declared again while the start of its stopped replica was under way.
  t.test(`a service that is declared again does not start a replica whose start arrives ${startDelayMs} ms late`, async t => {
    const cell = new JobCell({ workers: 2, cpus: 1 })
    const placer = await cell.addPlacer()
    const size = { cpus: 1, memoryMb: 10, accelerators: 0 }
    const declared = manifestSchema.parse({ ...MANIFEST, longRunning: [{ name: 'street', team: 'street', replicas: 1, size }] })
    for (const worker of cell.workers) worker.faults.startDelayMs = startDelayMs
    await cell.timers.advance(1_000)
    placer.manager.setManifest(declared)
    await cell.timers.advance(SENT_MS)
    for (const worker of cell.workers) worker.faults.startDelayMs = 0
    placer.manager.setManifest(MANIFEST)
    await cell.timers.advance(SENT_MS)
    placer.manager.setManifest(declared)
    await cell.timers.advance(2 * MAX_DELIVERY_MS)
    t.equal(cell.runs.filter(run => run.toMs === Infinity).length, 1)
    t.same(cell.violations(), [])
  })

  // Guards against two runs of a member: a new placer restarted the gang while a start of the earlier one was under way.
  t.test(`a new placer restarts a gang that is being stopped, while a start arrives ${startDelayMs} ms late, without a second run`, async t => {
    const cell = new JobCell({ workers: 3, cpus: 1 })
    const first = await cell.addPlacer()
    await startGangInPart(cell, first, startDelayMs)
    await cell.timers.advance(2_000)
    cell.kill(first)
    const second = await cell.addPlacer()
    await cell.untilState(second, 'gang', 'done')
    await cell.timers.advance(RUN_MS)
    t.same(cell.violations(GANGS), [])
  })
}

// Guards against a needless wait: a start that never arrives is settled when the longest delivery time is over.
t.test('a gang whose start never arrives restarts soon after the longest delivery time', async t => {
  const cell = new JobCell({ workers: 3, cpus: 1 })
  const placer = await cell.addPlacer()
  const [cut, refusing] = cell.workers
  await cell.timers.advance(1_000)
  const submittedMs = cell.timers.now()
  cut.faults.cut = true
  refusing.faults.refuse = true
  await cell.submit(placer, 'gang', { kind: 'gang', count: 3, runMs: RUN_MS })
  await cell.timers.advance(2_500)
  cut.faults.cut = false
  refusing.faults.refuse = false
  await cell.untilState(placer, 'gang', 'done')
  const restartMs = Math.min(...cell.runs.filter(run => run.end === 'finished').map(run => run.fromMs)) - submittedMs
  t.ok(restartMs >= MAX_DELIVERY_MS && restartMs < MAX_DELIVERY_MS + 3_000, `restarted after ${restartMs} ms`)
  t.same(cell.violations(GANGS), [])
})

// Guards against a needless wait: a start that has arrived cannot arrive again, so its listed end settles it.
t.test('a gang whose start arrived without an answer restarts as soon as the worker lists the end', async t => {
  const cell = new JobCell({ workers: 3, cpus: 1 })
  const placer = await cell.addPlacer()
  const [silent, refusing] = cell.workers
  await cell.timers.advance(1_000)
  const submittedMs = cell.timers.now()
  silent.faults.loseAnswers = true
  refusing.faults.refuse = true
  await cell.submit(placer, 'gang', { kind: 'gang', count: 3, runMs: RUN_MS })
  await cell.timers.advance(1_900)
  silent.faults.loseAnswers = false
  refusing.faults.refuse = false
  await cell.untilState(placer, 'gang', 'done')
  const restartMs = Math.min(...cell.runs.filter(run => run.end === 'finished').map(run => run.fromMs)) - submittedMs
  t.ok(restartMs < 10_000, `restarted after ${restartMs} ms`)
  t.same(cell.violations(GANGS), [])
})

// Guards against a needless wait: a start that was listed has arrived, so a list without its task shows that the task is lost.
t.test('a task that was listed after an unanswered start, and is lost with a restart of its worker, starts again at once', async t => {
  const cell = new JobCell({ workers: 1, cpus: 1 })
  const placer = await cell.addPlacer()
  const [worker] = cell.workers
  await cell.timers.advance(1_000)
  worker.faults.loseAnswers = true
  await cell.submit(placer, 'low', { runMs: RUN_MS })
  await cell.timers.advance(1_900)
  worker.faults.loseAnswers = false
  await cell.timers.advance(2_000)
  t.match(placer.manager.explain('low'), { runs: [{ state: 'running' }] })
  worker.reset()
  const lostMs = cell.timers.now()
  await cell.submit(placer, 'high', { runMs: 1_000, class: 'urgent' })
  await cell.untilState(placer, 'high', 'done')
  t.ok(cell.timers.now() - lostMs < 5_000, `the urgent job was done after ${cell.timers.now() - lostMs} ms`)
  t.same(cell.violations(), [])
})

// Guards against two runs of a task: a stop did not keep a queued start from being sent.
t.test('a task that turns out to have finished at a worker given up as lost is not sent to another worker', async t => {
  const cell = new JobCell({ workers: 2, cpus: 100, cfg: { ...SHORT_LEASES, probeEveryMs: 100 } })
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'nightly', { count: 2, runMs: 5_000 })
  await cell.timers.advance(1_000)
  const cut = cell.fullestWorker()
  const other = cell.workers.find(worker => worker !== cut)!
  const tasksAtCut = cell.runs.filter(run => run.worker === cut.vm.name).map(run => run.task)
  cut.faults.cut = true
  other.faults.startDelayMs = 1_000
  let isQueued = false
  for (let step = 0; !isQueued && step < 3_000; step++) {
    // Keeps a start under way to the other worker.
    if (step % 10 === 0) placer.manager.submitJob({ jobId: `filler-${step}`, digest: 'd', spec: specOf('filler', { runMs: 1_000 }) })
    await cell.timers.advance(10)
    isQueued = placer.manager.explain('nightly')!.runs.some(run => run.worker === other.vm.name && run.state === 'queued')
  }
  t.ok(isQueued, 'a task waits to be sent to the other worker')
  cut.faults.cut = false
  await cell.untilState(placer, 'nightly', 'done')
  await cell.timers.advance(20_000)
  t.same(cell.runs.filter(run => tasksAtCut.includes(run.task)).map(run => run.worker), tasksAtCut.map(() => cut.vm.name))
  t.same(cell.violations(), [])
})
