/**
 * Notices of stored workflows that reach the scheduler late. A notice says what was true when it was sent: the workflow may have
 * ended since.
 */

import t from 'tap'
import Result from 'true-myth/result'
import { delay } from 'pomelofold/seams/timers'
import { CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'
import { workflowKey } from 'pomelofold/workflows/keys'
import type { SchedulerTerm } from 'pomelofold/workflows/schedulerTerm'
import type { Workflow, WorkflowStep } from 'pomelofold/protocol/workflows'
import { WorkflowCell, type TestDaemon } from './workflowCell.js'

/** Timeout of a write whose answer is lost, in milliseconds. */
const LOST_ANSWER_MS = 1_000
/** Time for which outcomes are kept, and some for their deletion, in milliseconds. */
const EXPIRY_MS = 120_000 + 6_000

/** A cell with a daemon that has stored a workflow and has frozen before it could notify the scheduler. */
interface HeldNotice {
  cell: WorkflowCell
  leader: TestDaemon
  /** The frozen daemon. */
  sender: TestDaemon
  other: TestDaemon
  workflow: Workflow
  task: string
}

async function holdNotice (step: Partial<WorkflowStep> = {}): Promise<HeldNotice> {
  const cell = new WorkflowCell()
  const leader = await cell.waitUntilReady()
  const [sender, other] = cell.daemons.filter(entry => entry !== leader)
  const workflow = cell.workflow([{ tasks: 1, ...step }])
  const txn = sender.platform.txn.bind(sender.platform)
  sender.platform.txn = async (guards, changes, options) => {
    const result = await txn(guards, changes, options)
    if (changes.some(({ key }) => key === workflowKey(workflow.id))) {
      sender.process.freeze()
      await delay(sender.process, 1)
    }
    return result
  }
  sender.daemon.service.submit(workflow)
  const task = `${workflow.id}.0.0.0`
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > 0)
  return { cell, leader, sender, other, workflow, task }
}

/** The write that records the workflow's final state takes effect, and its answer is lost. */
function loseFinalAnswer ({ cell, leader: { platform }, workflow }: HeldNotice): void {
  const txn = platform.txn.bind(platform)
  platform.txn = async (guards, changes, options) => {
    const result = await txn(guards, changes, options)
    if (!changes.some(({ op, key }) => op === 'delete' && key === workflowKey(workflow.id))) return result
    await delay(cell.timers, LOST_ANSWER_MS)
    return Result.err(new CallTimeoutError(LOST_ANSWER_MS, { step: 'store.txn', peer: 'store', effect: EFFECTS.unknown }))
  }
}

/** Lets the frozen daemon go on once the scheduler's watch has shown that the workflow was deleted. */
async function thawAfterDeletion ({ cell, sender, workflow }: HeldNotice): Promise<void> {
  await cell.timers.advanceUntil(() => cell.store.get(workflowKey(workflow.id)) === undefined)
  await cell.timers.advance(10)
  sender.process.thaw()
  await cell.timers.advance(8_000)
}

// Guards against TWICE: a finished workflow is run again between the deletion of its key and the answer to the write that deleted it.
t.test('a late notice of a workflow that is done runs no task again', async t => {
  const held = await holdNotice()
  loseFinalAnswer(held)
  await thawAfterDeletion(held)
  t.equal(held.cell.runsOf(held.task).length, 1)
  t.same(held.cell.violations(), [])
  t.ok(held.cell.events.some(({ name }) => name === 'workflow.notice.late'), 'the log tells of the late notice')
})

// Guards against UNASKED: a cancelled service is started again by a late notice, and nobody stops it.
t.test('a late notice of a cancelled service starts no task', async t => {
  const held = await holdNotice({ longRunning: true })
  const { cell, other, workflow, task } = held
  loseFinalAnswer(held)
  t.equal(await cell.advanceUntilSettled(other.daemon.service.cancel(workflow.id)), 'cancelled')
  await thawAfterDeletion(held)
  t.same(cell.workers.flatMap(({ runs }) => [...runs.keys()]), [], 'nothing runs')
  t.equal(cell.runsOf(task).length, 1)
})

// Guards against TWICE: the outcome of a workflow is deleted, so that only revisions tell a late notice from news.
t.test('a notice that comes after the outcome has expired runs no task again', async t => {
  const { cell, sender, task } = await holdNotice()
  await cell.timers.advance(EXPIRY_MS)
  sender.process.thaw()
  await cell.timers.advance(5_000)
  t.equal(cell.runsOf(task).length, 1)
})

// Guards against a wrong final state: a scheduler that has not read the store records a finished workflow as cancelled.
t.test('late notices that come before the store is read do not change the final state', async t => {
  const { cell, workflow, task, other } = await holdNotice()
  await cell.waitForState(workflow.id, 'done', { at: other })
  for (const { process } of cell.daemons) process.kill()
  const entry = cell.startDaemon('entry-0')
  const range = entry.platform.range.bind(entry.platform)
  entry.platform.range = async (prefix, options) => {
    await delay(cell.timers, 600)
    return range(prefix, options)
  }
  await cell.timers.advanceUntil(() => entry.daemon.figures().leading)
  const { _term: term } = entry.daemon as unknown as { _term: Pick<SchedulerTerm, 'addWorkflow' | 'cancel'> }
  term.addWorkflow(workflow, 1)
  term.cancel(workflow.id)
  await cell.waitUntilReady()
  await cell.timers.advance(3_000)
  await cell.waitForState(workflow.id, 'done', { limitMs: 100, at: entry })
  t.equal(cell.runsOf(task).length, 1)
})
