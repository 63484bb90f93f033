/**
 * Test of the order by what a workflow can still reach, on drawn bursts.
 *
 * @module
 */

import t from 'tap'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { cores, QUEUE, SharesCell, type Outcome } from './sharesCell.js'

/** Longest wait of a step for its start, in milliseconds: that from which it comes first, and the time of a burst. */
const LONGEST_WAIT_MS = 45_000

/** Workflows of a day with bursts of twice the room: widths with a heavy tail, estimates off by up to nine tenths. */
async function outcomesOf (ranking: 'submission' | 'slack', seed: number): Promise<Outcome[]> {
  const random = new SeededRandom(seed)
  const cell = new SharesCell({ capacity: cores(400), ranking })
  const arrive = (nowMs: number): void => {
    const perPass = nowMs % 20_000 < 8_000 ? 4 : 1
    for (let count = 0; count < perPass; count++) {
      const runMs = 400 + random.int(1_200)
      const tasks = Math.min(57, Math.ceil(4 / (1 - random.next()) ** 0.7))
      cell.submit({ tasks, size: cores(1 + random.int(4)), runMs, estimateMs: runMs * (0.5 + 1.4 * random.next()) })
    }
  }
  await cell.runUntil(60_000, arrive)
  await cell.runUntil(110_000)
  return cell.outcomes
}

/** Credit as callers see it: 1 in time, a fifth up to three times the objective. */
function creditOf (outcomes: Outcome[]): number {
  let credit = 0
  for (const { runMs, endedMs, submittedMs } of outcomes) {
    const ratio = (endedMs - submittedMs) / (QUEUE.stretch * runMs + QUEUE.targetMs)
    credit += ratio <= 1 ? 1 : ratio <= 3 ? 0.2 : 0
  }
  return credit / outcomes.length
}

for (const seed of [1, 2, 3]) {
  t.test(`seed ${seed}: by slack, more of a burst is in time, and nothing waits without end`, async t => {
    const bySubmission = creditOf(await outcomesOf('submission', seed))
    const outcomes = await outcomesOf('slack', seed)
    t.ok(creditOf(outcomes) > bySubmission, `${creditOf(outcomes).toFixed(3)} after ${bySubmission.toFixed(3)}`)
    const longestMs = Math.max(...outcomes.map(({ startedMs, submittedMs }) => startedMs - submittedMs))
    t.ok(longestMs <= LONGEST_WAIT_MS, `${longestMs} ms`)
  })
}
