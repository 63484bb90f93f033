/**
 * Tests of the recording of progress with a slow store. One slow write, or one lost answer, must not delay the recording of
 * other workflows, since callers get a final state only after it is recorded.
 */

import t from 'tap'
import Result from 'true-myth/result'
import { delay } from 'pomelofold/seams/timers'
import { CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'
import { PROGRESS_PREFIX } from 'pomelofold/workflows/keys'
import { WorkflowCell } from './workflowCell.js'

/** Duration of a write in a slow store, in milliseconds. */
const SLOW_MS = 400
/** Longest time until a worker is asked again while an earlier end is not recorded, in milliseconds. */
const MAX_POLL_DELAY_MS = 300
/** Time after which the next committer is used, in milliseconds. */
const SLOW_AFTER_MS = 60
/** Longest time from an end until it is recorded, in milliseconds: a call to the worker, the start of a committer, a write. */
const RECORD_MS = MAX_POLL_DELAY_MS + SLOW_AFTER_MS + SLOW_MS

/** Submits workflows of one task one after the other. Returns the time from the end of each task until the final state is recorded. */
async function recordTimes (cell: WorkflowCell, count: number): Promise<number[]> {
  const ids: string[] = []
  for (let index = 0; index < count; index++) {
    const workflow = cell.workflow([{ tasks: 1 }])
    ids.push(workflow.id)
    cell.daemons[0].daemon.service.submit(workflow)
    await cell.timers.advance(70)
  }
  const recorded = (): typeof cell.events => cell.events.filter(({ name }) => name === 'workflow.ended')
  await cell.timers.advanceUntil(() => recorded().length === count)
  const recordedMs = new Map(recorded().map(({ atMs, fields }) => [String(fields.jobId), atMs]))
  return ids.map(id => recordedMs.get(id)! - cell.runsOf(`${id}.0.0.0`)[0].endMs)
}

t.test('while the store is slow, each end is recorded within the time of one write', async t => {
  const cell = new WorkflowCell({ daemons: 1 })
  const { platform } = await cell.waitUntilReady()
  const txn = platform.txn.bind(platform)
  platform.txn = async (guards, changes, options) => {
    if (changes.some(({ key }) => key.startsWith(PROGRESS_PREFIX))) await delay(cell.timers, SLOW_MS)
    return txn(guards, changes, options)
  }
  const times = await recordTimes(cell, 20)
  t.ok(Math.max(...times) <= RECORD_MS, times.join(' '))
})

t.test('a write whose answer is lost delays no other workflow', async t => {
  const cell = new WorkflowCell({ daemons: 1 })
  const { platform } = await cell.waitUntilReady()
  const txn = platform.txn.bind(platform)
  let writes = 0
  platform.txn = async (guards, changes, options) => {
    const result = await txn(guards, changes, options)
    if (!changes.some(({ key }) => key.startsWith(PROGRESS_PREFIX)) || ++writes !== 3) return result
    await delay(cell.timers, 1_000)
    return Result.err(new CallTimeoutError(1_000, { step: 'store.txn', peer: 'store', effect: EFFECTS.unknown }))
  }
  const times = await recordTimes(cell, 20)
  const late = times.filter(timeMs => timeMs > RECORD_MS)
  t.ok(late.length <= 1, times.join(' '))
  t.same(cell.violations(), [])
})
