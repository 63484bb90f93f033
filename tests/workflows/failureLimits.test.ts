/**
 * Tests of the number of failed runs after which a workflow fails, while the configuration or the scheduler changes.
 *
 * @module
 */

import t from 'tap'
import { WorkflowCell } from './workflowCell.js'

const QUEUE = 'checks'

/** Puts a version of the configuration in force whose queue has this limit; undefined for one without the queue. */
function setLimit (cell: WorkflowCell, maxAttempts: number | undefined): void {
  const { queues } = cell.config
  const queue = queues.get(QUEUE) ?? removed.get(cell)!
  removed.set(cell, queue)
  if (maxAttempts === undefined) queues.delete(QUEUE)
  else queues.set(QUEUE, { ...queue, maxAttempts })
}
const removed = new WeakMap<WorkflowCell, ReturnType<WorkflowCell['config']['queues']['get']> & object>()

/** A cell of workers whose runs fail. */
async function failingCell (options: ConstructorParameters<typeof WorkflowCell>[0] = {}): Promise<WorkflowCell> {
  const cell = new WorkflowCell({ workers: 4, ...options })
  await cell.waitUntilReady()
  for (const worker of cell.workers) worker.faults.failTasks = true
  return cell
}

function failedRuns (cell: WorkflowCell, id: string): number {
  return cell.runsOf(`${id}.0.0.0`).filter(({ how }) => how === 'failed').length
}

async function untilFailed (cell: WorkflowCell, id: string, count: number): Promise<void> {
  await cell.timers.advanceUntil(() => failedRuns(cell, id) >= count)
}

// Guards against a job that fails with fewer failed runs than any version of the configuration allowed while it lived (LOST).
t.test('a job does not fail below the lowest limit in force while it lived', async t => {
  const limits: Array<Array<number | undefined>> = [
    [5, 2, 4], [4, undefined, 2], [3, undefined], [2, 5, undefined, 3], [6, 1]
  ]
  for (const versions of limits) {
    for (const failuresBefore of [0, 1, 2]) {
      const name = `limits ${versions.map(limit => limit ?? 'none').join(' ')}, ${failuresBefore} failures first`
      const cell = await failingCell({ queue: { maxAttempts: versions[0] } })
      const workflow = cell.workflow([{ tasks: 1 }])
      const start = cell.timers.now()
      await cell.submit(workflow)
      const inForce = [versions[0]]
      if (failuresBefore > 0 && failuresBefore < versions[0]!) await untilFailed(cell, workflow.id, failuresBefore)
      for (const limit of versions.slice(1)) {
        setLimit(cell, limit)
        inForce.push(limit)
        await cell.timers.advance(100)
        const state = await cell.advanceUntilSettled(cell.daemons[0].daemon.service.state(workflow.id))
        if (typeof state !== 'string' && state.state === 'failed') break
      }
      const lowest = Math.min(...inForce.filter(limit => limit !== undefined))
      if (inForce.at(-1) === undefined) setLimit(cell, lowest)
      await cell.waitForState(workflow.id, 'failed')
      t.ok(failedRuns(cell, workflow.id) >= lowest, `${name}: ${failedRuns(cell, workflow.id)} after ${cell.timers.now() - start} ms`)
    }
  }
})

// Guards against a failed run that counts twice: by the scheduler that could not record it, or had, and by the next one.
t.test('a failed run counts once, whichever schedulers see it', async t => {
  for (const unrecorded of [false, true]) {
    const cell = await failingCell()
    const workflow = cell.workflow([{ tasks: 1 }])
    await cell.submit(workflow)
    for (let term = 0; term < 2; term++) {
      await cell.timers.advanceUntil(() => cell.runsOf(`${workflow.id}.0.0.0`).length > term)
      const leader = cell.leader!
      if (unrecorded) leader.platform.faults.unreachable = true
      await untilFailed(cell, workflow.id, term + 1)
      await cell.timers.advance(unrecorded ? 500 : 10)
      leader.process.kill()
      await cell.timers.advanceUntil(() => cell.leader !== undefined)
      cell.startDaemon(leader.vm)
    }
    await cell.waitForState(workflow.id, 'failed')
    const counted = cell.events.filter(({ name }) => name === 'task.failed').map(({ fields }) => String(fields.failures).split(' '))
    t.ok(counted.every(attempts => new Set(attempts).size === attempts.length), `unrecorded ${unrecorded}: each attempt once`)
    t.equal(failedRuns(cell, workflow.id), 3, `unrecorded ${unrecorded}`)
  }
})

// Guards against a failed run that counts twice in one term: its worker lists it again to a new session.
t.test('a failed run that its worker lists again counts once', async t => {
  const cell = await failingCell({ workers: 1 })
  const [worker] = cell.workers
  const workflow = cell.workflow([{ tasks: 1 }])
  await cell.submit(workflow)
  for (const { platform } of cell.daemons) platform.faults.unreachable = true
  await untilFailed(cell, workflow.id, 1)
  await cell.timers.advance(200)
  worker.faults.unlisted = true
  worker.faults.unreachable = true
  await cell.timers.advance(12_000)
  worker.faults.unlisted = false
  worker.faults.unreachable = false
  for (const { platform } of cell.daemons) platform.faults.unreachable = false
  await cell.waitForState(workflow.id, 'failed')
  t.equal(failedRuns(cell, workflow.id), 3)
})

// Guards against a gang whose members' failures count each for itself.
t.test('the failures of one run of a gang count once', async t => {
  const cell = await failingCell()
  const workflow = cell.workflow([{ tasks: 4, gang: true }])
  await cell.submit(workflow)
  await cell.waitForState(workflow.id, 'failed')
  const attempts = cell.records.filter(({ how }) => how === 'failed').map(({ attempt }) => attempt)
  t.equal(new Set(attempts).size, 3, attempts.join(' '))
})

// Guards against a job that fails by the limit of a version that was replaced before the job came (LOST): the scheduler had no job of
// the queue while the last version with it was in force.
t.test('a job of a removed queue fails by the last limit that the queue had', async t => {
  const cell = await failingCell({ queue: { maxAttempts: 2 } })
  const earlier = cell.workflow([{ tasks: 1 }])
  await cell.submit(earlier)
  await cell.waitForState(earlier.id, 'failed')
  setLimit(cell, 5)
  await cell.timers.advance(3_000)
  const workflow = cell.workflow([{ tasks: 1 }])
  const submitted = cell.daemons[0].daemon.service.submit(workflow)
  setLimit(cell, undefined)
  await cell.advanceUntilSettled(submitted)
  await cell.waitForState(workflow.id, 'failed')
  const runs = failedRuns(cell, workflow.id)
  t.equal(runs, 5, `${runs} failed runs, the limit under which the job came is 5`)
})

// Guards against a job without any limit: its queue was removed, and the next scheduler has never known it.
t.test('a job whose queue comes back with fewer attempts fails at its next failed run, not before', async t => {
  const cell = await failingCell({ queue: { maxAttempts: 6 } })
  const workflow = cell.workflow([{ tasks: 1 }])
  await cell.submit(workflow)
  await untilFailed(cell, workflow.id, 3)
  setLimit(cell, undefined)
  const leader = cell.leader!
  leader.process.kill()
  await cell.timers.advance(10_000)
  const failures = failedRuns(cell, workflow.id)
  t.ok(failures >= 3 && failures < 6, `${failures} failed runs`)
  t.match(await cell.advanceUntilSettled(cell.leader!.daemon.service.state(workflow.id)), { state: /accepted|running/ })
  setLimit(cell, 2)
  await cell.waitForState(workflow.id, 'failed', { at: cell.leader })
  t.equal(failedRuns(cell, workflow.id), failures + 1)
})
