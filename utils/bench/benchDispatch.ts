/**
 * Benchmark of placement passes of the workflow scheduler: the time of a pass after a run has ended, in a nearly full
 * cell, for several numbers of workers and of waiting steps.
 *
 * Usage: `npm run bench -- dispatch`
 *
 * @module
 */

import { DispatchCell } from './dispatchCell.js'

const SEED = 1
const WORKER_COUNTS = [378, 1_000, 6_000]
const STEP_COUNTS = [200, 1_000, 5_000]
const WARM_UP_PASSES = 50
const TIMED_PASSES = 300
const COLUMN_WIDTHS = [7, 14, 12, 7, 14]

/** Runs the benchmark and prints a table. */
export async function run (): Promise<void> {
  console.log('workers  waiting steps  pass p50 ms  p99 ms  starts a pass')
  for (const workerCount of WORKER_COUNTS) {
    for (const stepCount of STEP_COUNTS) console.log(await measure(workerCount, stepCount))
  }
}

async function measure (workerCount: number, stepCount: number): Promise<string> {
  const cell = new DispatchCell({ workerCount, stepCount, seed: SEED })
  await cell.fill()
  const startsBefore = cell.starts
  const times: number[] = []
  for (let pass = 0; pass < WARM_UP_PASSES + TIMED_PASSES; pass++) {
    await cell.prepareAfterEnd()
    const startMs = performance.now()
    cell.pass()
    if (pass >= WARM_UP_PASSES) times.push(performance.now() - startMs)
  }
  times.sort((a, b) => a - b)
  const at = (share: number): string => times[Math.floor(share * times.length)].toFixed(1)
  const startsPerPass = (cell.starts - startsBefore) / (WARM_UP_PASSES + TIMED_PASSES)
  const columns = [workerCount, stepCount, at(0.5), at(0.99), startsPerPass.toFixed(1)]
  return columns.map((value, index) => String(value).padStart(COLUMN_WIDTHS[index])).join(' ')
}
