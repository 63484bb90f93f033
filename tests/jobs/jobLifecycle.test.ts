/**
 * Tests of the life cycle of a job, from its submission to its end: an accepted job must not be lost, and no job id may be
 * used for two different jobs.
 */

import t from 'tap'
import { JobCell, specOf } from './jobCell.js'

t.test('a job is acknowledged only after its record is committed, then runs to its end', async t => {
  const cell = new JobCell()
  const placer = await cell.addPlacer()
  const answer = await cell.submit(placer, 'nightly', { count: 5 })
  t.equal(answer.kind, 'job')
  t.equal(cell.store.get('pomelofold/jobs/a/nightly')?.key, 'pomelofold/jobs/a/nightly')
  await cell.untilState(placer, 'nightly', 'done', 20_000)
  t.equal(cell.runs.length, 5)
  t.same(cell.violations(), [])
})

t.test('resubmitting a job id returns the same job for the same digest and a conflict for another digest', async t => {
  const cell = new JobCell()
  const placer = await cell.addPlacer()
  await cell.submit(placer, 'nightly')
  const again = await cell.wait(placer.manager.submitJob({ jobId: 'nightly', digest: 'd', spec: specOf('nightly') }))
  const other = await cell.wait(placer.manager.submitJob({ jobId: 'nightly', digest: 'e', spec: specOf('nightly') }))
  t.same([again.kind, other.kind], ['job', 'conflict'])
})

t.test('a manager without the claim answers unavailable', async t => {
  const cell = new JobCell()
  const entry = cell.addEntryVm()
  t.equal((await cell.submit(entry, 'nightly')).kind, 'unavailable')
})

t.test('a job that fits no worker is refused at once with the size it needs', async t => {
  const cell = new JobCell()
  const placer = await cell.addPlacer()
  t.match(await cell.submit(placer, 'huge', { cpus: 96 }), { kind: 'cannotRun', detail: /96 cpus/ })
})

t.test('accepted jobs survive the simultaneous loss of all entry VMs, and each task finishes once', async t => {
  const cell = new JobCell()
  const first = await cell.addPlacer()
  await cell.submit(first, 'nightly', { count: 20, runMs: 4_000 })
  await cell.timers.advance(6_500)
  cell.kill(first)
  await cell.timers.advance(30_000)
  const second = await cell.addPlacer()
  await cell.untilState(second, 'nightly', 'done')
  t.same(cell.violations(), [])
  t.equal(cell.runs.filter(run => run.end === 'finished').length, 20)
})
