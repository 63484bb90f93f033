/**
 * Tests of the number of failed runs after which the entry daemons' placer ends a job.
 *
 * @module
 */

import t from 'tap'
import { JobCell } from './jobCell.js'

const MAX_TASK_FAILURES = 5

function failedRuns (cell: JobCell): number {
  return cell.runs.filter(({ end }) => end === 'failed').length
}

// Guards against a failed run that counts twice (LOST): its worker lists it again, since the acknowledgement was dropped when the
// worker was missing from one reading of the list of VMs.
t.test('a failed run that its worker lists again to the placer counts once', async t => {
  const cell = new JobCell({ workers: 4, cpus: 1 })
  const placer = await cell.addPlacer()
  for (const worker of cell.workers) worker.faults.failTasks = true
  await cell.submit(placer, 'job', { count: 4, runMs: 5_000 })
  await cell.timers.advanceUntil(() => failedRuns(cell) === 4)
  for (const worker of cell.workers) Object.assign(worker.faults, { failTasks: false, refuse: true })
  const counted = (): number => placer.manager.explain('job')!.events.filter(({ text }) => /^task \d failed at/.test(text)).length
  await cell.timers.advanceUntil(() => counted() === 4)
  const { vms } = cell
  for (const listed of [[], vms]) {
    cell.vms = listed
    cell.readVmList()
  }
  await cell.timers.advance(8_000)
  const state = await cell.stateOf(placer, 'job')
  t.equal(counted(), 4)
  t.ok(failedRuns(cell) >= MAX_TASK_FAILURES || state !== 'failed', `${state} after ${failedRuns(cell)} failed runs, ${counted()} counted`)
})
