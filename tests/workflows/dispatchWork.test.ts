/**
 * Test of the work of a placement pass.
 */

import t from 'tap'
import { DispatchCell } from '../../utils/bench/dispatchCell.js'

const WORKERS = 378

/** Lookups of eligibility in each of fifty passes after the end of a run. */
async function lookupsPerPass (stepCount: number): Promise<number> {
  const cell = new DispatchCell({ workerCount: WORKERS, stepCount, seed: 1 })
  await cell.fill()
  const before = cell.eligibilityLookups
  for (let pass = 0; pass < 50; pass++) {
    await cell.prepareAfterEnd()
    cell.pass()
  }
  return (cell.eligibilityLookups - before) / 50
}

t.test('in a full cell, a pass considers at most sixteen queries, however many steps wait', async t => {
  for (const stepCount of [100, 400]) {
    const lookups = await lookupsPerPass(stepCount)
    t.ok(lookups <= 24 * WORKERS, `${stepCount} steps: ${Math.round(lookups)} lookups a pass: 16 queries and 8 reservations`)
  }
})

t.test('with many waiting steps, free room is still used at once', async t => {
  const cell = new DispatchCell({ workerCount: 60, stepCount: 300, seed: 1 })
  await cell.fill()
  const before = cell.starts
  for (let pass = 0; pass < 200; pass++) {
    await cell.prepareAfterEnd()
    cell.pass()
  }
  t.ok(cell.starts - before >= 190, `${cell.starts - before} starts after 200 ends`)
})
