/**
 * Benchmark of placement passes of the workflow scheduler: the time of a pass in a nearly full cell, for several numbers of
 * workers and of waiting steps, after one run has ended and in a burst of ends, with and without teams.
 *
 * Usage: `npm run bench -- dispatch [--workers 245,6000] [--steps 200] [--passes 300]`
 *
 * @module
 */

import { parseArgs } from 'node:util'
import { DispatchCell } from './dispatchCell.js'

const SEED = 1
const WARM_UP_PASSES = 50
const COLUMN_WIDTHS = [7, 14, 5, 6, 12, 7, 11, 14]
/** Ends before each pass, and number of teams. */
const LOADS = [{ ends: 1, teamCount: 0 }, { ends: 20, teamCount: 0 }, { ends: 20, teamCount: 60 }]

/** Runs the benchmark and prints a table. */
export async function run (args: string[]): Promise<void> {
  const { values } = parseArgs({
    args,
    options: {
      workers: { type: 'string', default: '245,378,1000,6000' },
      steps: { type: 'string', default: '200,1000,5000' },
      passes: { type: 'string', default: '300' }
    }
  })
  console.log('workers  waiting steps  ends  teams  pass p50 ms  p99 ms  cpu p50 ms  starts a pass')
  for (const workerCount of values.workers.split(',').map(Number)) {
    for (const stepCount of values.steps.split(',').map(Number)) {
      for (const load of LOADS) console.log(await measure({ ...load, workerCount, stepCount, passes: Number(values.passes) }))
    }
  }
}

interface MeasureOptions {
  workerCount: number
  stepCount: number
  ends: number
  teamCount: number
  passes: number
}

async function measure ({ workerCount, stepCount, ends, teamCount, passes }: MeasureOptions): Promise<string> {
  const cell = new DispatchCell({ workerCount, stepCount, seed: SEED, teamCount })
  await cell.fill()
  const startsBefore = cell.starts
  const times: number[] = []
  const cpuTimes: number[] = []
  for (let pass = 0; pass < WARM_UP_PASSES + passes; pass++) {
    await cell.prepareAfterEnd(ends)
    const startMs = performance.now()
    const cpuBefore = process.cpuUsage()
    cell.pass()
    const cpu = process.cpuUsage(cpuBefore)
    if (pass < WARM_UP_PASSES) continue
    times.push(performance.now() - startMs)
    cpuTimes.push((cpu.user + cpu.system) / 1_000)
  }
  const at = (values: number[], share: number): string => values.sort((a, b) => a - b)[Math.floor(share * values.length)].toFixed(1)
  const startsPerPass = (cell.starts - startsBefore) / (WARM_UP_PASSES + passes)
  const columns = [workerCount, stepCount, ends, teamCount, at(times, 0.5), at(times, 0.99), at(cpuTimes, 0.5), startsPerPass.toFixed(1)]
  return columns.map((value, index) => String(value).padStart(COLUMN_WIDTHS[index])).join(' ')
}
