/**
 * Load tests of the calls that placers make under the highest load: too many of them exceed the limits of the platform's
 * service or of the network to the workers.
 */

import t from 'tap'
import type { JobAnswer } from 'pomelofold/protocol/peerMessages'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { JobCell, MANIFEST, specOf } from './jobCell.js'

const DOMAINS = 11
const CELL_STARTS_PER_SECOND = 2_000
const CELL_WRITES_PER_SECOND = 200
const CELL_READS_PER_SECOND = 500
const DOMAIN_WORKERS = 550
const CONTROL_BYTES_PER_SECOND = 5_000

t.test('2,000 starts a second in 11 failure domains stay within the budget of platform calls', async t => {
  const seconds = 20
  const tasksPerJob = 10
  const jobsPerSecond = Math.ceil(CELL_STARTS_PER_SECOND / DOMAINS / tasksPerJob)
  const cell = new JobCell({ workers: 60, cpus: 32 })
  const placer = await cell.addPlacer()
  await cell.timers.advance(5_000)
  const { reads, writes } = cell.store.counts
  const answers: Array<Promise<JobAnswer>> = []
  const [fromMs, startMs] = [cell.timers.now(), performance.now()]
  for (let second = 0; second < seconds; second++) {
    for (let job = 0; job < jobsPerSecond; job++) {
      const jobId = `job-${second}-${job}`
      answers.push(placer.manager.submitJob({ jobId, digest: 'd', spec: specOf(jobId, { count: tasksPerJob, runMs: 4_000 }) }))
      await cell.timers.advance(1_000 / jobsPerSecond)
    }
  }
  t.equal(Math.round(cell.timers.now() - fromMs), 1_000 * seconds)
  const cpuShare = (performance.now() - startMs) / 1_000 / seconds
  const writesPerSecond = DOMAINS * (cell.store.counts.writes - writes) / seconds
  const readsPerSecond = DOMAINS * (cell.store.counts.reads - reads) / seconds
  const started = cell.runs.length
  t.ok((await cell.wait(Promise.all(answers))).every(answer => answer.kind === 'job'))
  await cell.timers.advance(30_000)
  const { jobs } = await placer.manager.listJobs()
  t.comment(`cell: ${writesPerSecond} writes/s, ${readsPerSecond} reads/s; domain: ${started / seconds} starts/s, ` +
    `${cell.upstream.calls.starts / seconds} start calls/s, ${cpuShare.toFixed(2)} s of real time a second, stand-ins included`)
  t.ok(writesPerSecond <= CELL_WRITES_PER_SECOND && readsPerSecond <= CELL_READS_PER_SECOND)
  t.ok(started / seconds > 0.85 * jobsPerSecond * tasksPerJob)
  t.ok(jobs.length === seconds * jobsPerSecond && jobs.every(job => job.state === 'done'))
  t.same(cell.violations(), [])
})

t.test('the leases of a worker whose tasks do not end are renewed once per period', async t => {
  const workers = 50
  const tasksPerWorker = 8
  const seconds = 400
  const cell = new JobCell({ workers, cpus: tasksPerWorker })
  const placer = await cell.addPlacer()
  const size = { cpus: 1, memoryMb: 10, accelerators: 0 }
  const longRunning = [{ name: 'street', team: 'street', replicas: workers * tasksPerWorker, size }]
  placer.manager.setManifest(manifestSchema.parse({ ...MANIFEST, longRunning }))
  await cell.timers.advance(100_000)
  const { renewals, bytes } = { ...cell.upstream.calls }
  await cell.timers.advance(seconds * 1_000)
  const perWorker = (cell.upstream.calls.renewals - renewals) / workers
  const bytesPerSecond = (cell.upstream.calls.bytes - bytes) / seconds * DOMAIN_WORKERS / workers
  t.comment(`${DOMAIN_WORKERS} workers with ${tasksPerWorker} tasks each: ${(perWorker / seconds * DOMAIN_WORKERS).toFixed(1)} renewals/s, ` +
    `${Math.round(bytesPerSecond)} B/s of bodies`)
  t.ok(perWorker <= seconds / 40 + 1, `${perWorker} renewals of each worker`)
  t.ok(bytesPerSecond <= CONTROL_BYTES_PER_SECOND)
  t.equal(cell.runs.length, workers * tasksPerWorker)
})
