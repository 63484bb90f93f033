/**
 * Tests with workers whose capacity shrinks and grows while tasks run on them.
 *
 * @module
 */

import t from 'tap'
import type { LeasedWorker } from '@pomelofold/standins/leasedWorker'
import { TeamUsage } from 'pomelofold/teams/teamUsage'
import { StepRoom } from 'pomelofold/workflows/stepPlacer'
import { WorkerSession } from 'pomelofold/workflows/workerSession'
import { WorkflowRuntime, type Run } from 'pomelofold/workflows/workflowRuntime'
import { WorkflowCell } from './workflowCell.js'

/** Processor time that a task of `STEP` needs, in thousandths of a core. */
const TASK_CPU_MILLIS = 1_000
/** Time from a change of a worker's capacity by which the scheduler has read it, in milliseconds. */
const READ_MS = 1_000

function setCapacity ({ entry }: LeasedWorker, cpuMillis: number): void {
  entry.capacity = { ...entry.capacity, cpuMillis }
}

/** Starts that brought a worker over its capacity at that moment, from `fromMs` on. */
function overfullStarts (cell: WorkflowCell, capacityAt: (worker: string, atMs: number) => number, fromMs: number): string[] {
  return cell.records.filter(({ worker, startMs }) => {
    const running = cell.records.filter(run => run.worker === worker && run.startMs <= startMs && run.endMs > startMs).length
    return startMs >= fromMs && running * TASK_CPU_MILLIS > capacityAt(worker, startMs)
  }).map(({ task, worker, startMs }) => `${task} at ${worker} at ${startMs}`)
}

// Guards against starts beyond the room of a worker whose capacity has shrunk (LIMIT), and against room that stays unused.
t.test('a worker whose capacity shrinks gets no tasks beyond it, and gets them again when it grows', async t => {
  const cell = new WorkflowCell({ workers: 2, cpuMillis: 8_000, runMs: () => 900 })
  await cell.waitUntilReady()
  const shrunkMs = cell.timers.now() + 2_000
  const grownMs = shrunkMs + 6_000
  cell.timers.after(2_000, () => setCapacity(cell.workers[0], 2_000))
  cell.timers.after(8_000, () => setCapacity(cell.workers[0], 8_000))
  for (let job = 0; job < 100; job++) {
    await cell.submit(cell.workflow([{ tasks: 2 }]))
    await cell.timers.advance(120)
  }
  const capacityAt = (worker: string, atMs: number): number => worker === 'w0' && atMs > shrunkMs + READ_MS && atMs < grownMs ? 2_000 : 8_000
  t.same(overfullStarts(cell, capacityAt, 0), [])
  const startsIn = (fromMs: number, toMs: number): number =>
    cell.records.filter(({ worker, startMs }) => worker === 'w0' && startMs >= fromMs && startMs < toMs).length
  t.ok(startsIn(shrunkMs + READ_MS, grownMs) > 0, 'its remaining room is used')
  t.ok(startsIn(grownMs, Number.POSITIVE_INFINITY) > startsIn(shrunkMs + READ_MS, grownMs), 'its room is used again')
})

// Guards against room that seems free beside a run of unknown size, once its worker's capacity grows (LIMIT).
t.test('beside a run of unknown size there is no room, also when the capacity of its worker grows', async t => {
  const cell = new WorkflowCell({ workers: 1 })
  const [{ entry }] = cell.workers
  const session = new WorkerSession({
    entry: { ...entry, capacity: { ...entry.capacity, cpuMillis: 1_000 } }, timers: cell.timers, teamUsage: new TeamUsage()
  } as unknown as ConstructorParameters<typeof WorkerSession>[0])
  const [step] = new WorkflowRuntime({ record: cell.workflow(), revision: 1, addedMs: 0 }).steps(0)!
  session.addRun({ name: 'unknown', attempt: 1, size: undefined } as unknown as Run)
  session.entry = entry
  t.equal(new StepRoom(step).slots(session, 10), 0)
  session.removeRun('unknown', 1)
  t.equal(new StepRoom(step).slots(session, 10), 8, 'its end frees all room')
})

// Guards against the stored capacity of a worker being used by the next scheduler after it has shrunk (LIMIT).
t.test('the next scheduler starts nothing by the capacity that a worker had before', async t => {
  const cell = new WorkflowCell({ workers: 2, cpuMillis: 8_000, runMs: () => 900 })
  const leader = await cell.waitUntilReady()
  await cell.timers.advance(1_000)
  for (const { client } of cell.daemons) client.directoryDown = true
  for (const worker of cell.workers) setCapacity(worker, 2_000)
  leader.process.kill()
  await cell.timers.advanceUntil(() => cell.leader !== undefined && cell.leader !== leader)
  const elected = cell.leader!
  const fromMs = cell.timers.now()
  await cell.submit(cell.workflow([{ tasks: 12 }]), elected)
  await cell.timers.advance(3_000)
  t.equal(cell.records.length, 0, 'without the directory it knows no room')
  for (const { client } of cell.daemons) client.directoryDown = false
  await cell.timers.advance(5_000)
  t.ok(cell.records.length > 0)
  t.same(overfullStarts(cell, () => 2_000, fromMs), [])
})
