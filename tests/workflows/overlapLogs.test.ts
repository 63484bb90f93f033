/** Tests of the lines and figures that tell that a task ran twice, on which incarnation of a worker, and why. */

import t from 'tap'
import type { EventFields } from 'pomelofold/utils/eventLog'
import { PlatformMetrics } from 'pomelofold-on-platform/platformMetrics'
import { replaceLeader, workerOf } from './leaderChain.js'
import { WorkflowCell } from './workflowCell.js'

const RUN_MS = 4_000

/** Fields of the lines with that name. */
function linesOf (cell: WorkflowCell, name: string): EventFields[] {
  return cell.events.filter(event => event.name === name).map(({ fields }) => fields)
}

/** Cuts the worker of a task off until the task runs elsewhere, and for one more second. Returns the task. */
async function cutDuringRun (cell: WorkflowCell, { cutAfterMs = 500, speculative = false } = {}): Promise<string> {
  await cell.waitUntilReady()
  const workflow = cell.workflow([{ tasks: 1, speculative }])
  await cell.submit(workflow)
  const task = `${workflow.id}.0.0.0`
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 0)
  await cell.timers.advance(cutAfterMs)
  const worker = workerOf(cell, task)
  worker.faults.unreachable = true
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 1, { limitMs: 20_000 })
  await cell.timers.advance(1_000)
  worker.faults.unreachable = false
  await cell.timers.advance(1_000)
  return task
}

// Guards against lines that do not tell an end behind a cut from an end that was acknowledged and not recorded.
t.test('an end that a worker lists after its task has been started again is logged with the state of the task', async t => {
  const cell = new WorkflowCell({ workers: 2, runMs: () => RUN_MS })
  const task = await cutDuringRun(cell)
  const [first, second] = cell.runsOf(task)
  const { epoch } = cell.leader!.daemon.figures()
  t.match(linesOf(cell, 'run.ended').filter(({ known }) => known === false), [
    { task, how: 'done', release: 'lost', taskState: 'running', taskAttempt: second.attempt, taskWorker: `${second.worker}@1` }
  ])
  const overlaps = linesOf(cell, 'run.overlap')
  t.match(overlaps, [{
    task,
    attempt: first.attempt,
    worker: `${first.worker}@1`,
    how: 'done',
    taskState: 'running',
    otherAttempt: second.attempt,
    otherWorker: `${second.worker}@1`,
    otherGoesOn: true,
    release: 'lost',
    releaseReason: 'the worker does not answer',
    releasedWorker: `${first.worker}@1`,
    epoch
  }])
  t.ok(Number(overlaps[0].releasedAgoMs) >= 1_000)
  t.match(cell.events.filter(({ name }) => name === 'run.overlap'), [{ level: 'warn' }])
  t.match(await new PlatformMetrics().text(cell.leader!.daemon.figures(), {}), 'pomelofold_figure{name="overlap_done"} 1\n')
})

t.test('a run that has lapsed behind a cut is no warning', async t => {
  const cell = new WorkflowCell({ workers: 2, runMs: () => 60_000 })
  await cutDuringRun(cell)
  t.same(cell.violations(), [])
  t.match(cell.events.filter(({ name }) => name === 'run.overlap'), [{ level: 'info', fields: { how: 'lapsed' } }])
})

t.test('copies of tasks and ordinary runs are not logged as overlaps', async t => {
  const copied = new WorkflowCell({ workers: 2, runMs: () => RUN_MS })
  await cutDuringRun(copied, { speculative: true })
  t.same(linesOf(copied, 'run.overlap'), [])
  const cell = new WorkflowCell({ workers: 3, runMs: () => RUN_MS })
  await cell.waitUntilReady()
  for (let index = 0; index < 4; index++) await cell.submit(cell.workflow([{ tasks: 5 }, { tasks: 2, gang: true }]))
  await cell.timers.advance(1_000)
  await replaceLeader(cell)
  await cell.timers.advance(40_000)
  t.ok(linesOf(cell, 'run.adopted').length > 0)
  t.same(linesOf(cell, 'run.overlap'), [])
  t.same(linesOf(cell, 'run.ended').filter(({ taskState }) => taskState !== undefined), [])
  t.same(cell.leader!.daemon.figures().term!.overlaps, {})
})

// Guards against a line that does not tell which life of a worker has run the task.
t.test('a run that the next incarnation of its worker lists is logged with that incarnation', async t => {
  const cell = new WorkflowCell({ workers: 2, runMs: () => 60_000 })
  await cell.waitUntilReady()
  const workflow = cell.workflow([{ tasks: 1 }])
  await cell.submit(workflow)
  const task = `${workflow.id}.0.0.0`
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 0)
  await cell.timers.advance(1_000)
  const { entry: { id } } = workerOf(cell, task)
  cell.restartWorker(id, { reachableAfterMs: 5_000 })
  const next = cell.workers.find(({ entry }) => entry.id === id)!
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 1, { limitMs: 20_000 })
  const extend = next.extend.bind(next)
  next.extend = async extension => {
    const report = await extend(extension)
    return 'running' in report ? { ...report, running: [...report.running, { task, attempt: 1, checkpoint: '', percent: 5 }] } : report
  }
  await cell.timers.advance(10_000)
  t.match(linesOf(cell, 'worker.reached').filter(({ worker }) => worker === `${id}@2`), [
    { first: true, earlier: `${id}@1`, mayHaveForeignLease: true }
  ])
  const former = linesOf(cell, 'worker.reached').find(({ worker }) => worker === `${id}@1`)!
  const [reached] = linesOf(cell, 'worker.reached').filter(({ worker }) => worker === `${id}@2`)
  t.equal(former.earlier, undefined)
  t.ok(Number(reached.token) > Number(former.token))
  const overlaps = cell.events.filter(({ name }) => name === 'run.overlap')
  t.match(overlaps, [{ level: 'warn', fields: { task, attempt: 1, worker: `${id}@2`, how: 'running', otherGoesOn: true, releasedWorker: `${id}@1` } }])
  t.same(cell.leader!.daemon.figures().term!.overlaps, { running: 1 })
})
