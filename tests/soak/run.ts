/**
 * Runs soaks from the command line:
 * `npm run soak -- --seeds 1-50 [--seconds 20] [--daemons 4] [--workers 5] [--jobs 3] [--no-deadly-jobs] [--no-teams] [--leaders]`.
 * Logs of each seed are kept under `target/soak/SEED`. Exits with 1 when a guarantee was violated.
 *
 * @module
 */

import { rmSync } from 'node:fs'
import { join } from 'node:path'
import { Command } from 'commander'
import { soak } from './soak.js'
import { buildProgram } from './soakCell.js'

const MS_PER_S = 1_000

const program = new Command('soak')
  .requiredOption('--seeds <list>', 'seeds: a number or a range such as 1-50')
  .option('--seconds <n>', 'seconds during which faults start', '20')
  .option('--daemons <n>', 'number of daemons', '4')
  .option('--workers <n>', 'number of workers: 5, with --leaders 10')
  .option('--jobs <n>', 'soaks that run at the same time', '3')
  .option('--no-deadly-jobs', 'no tasks that crash their workers, and no changes of capacity')
  .option('--leaders', 'chains of leaders among crashes of workers, with tasks that run until they are cancelled, and nothing else')
  .option('--no-teams', 'no teams; without it, half of the seeds have them')
  .parse()
const options = program.opts<Record<'seeds' | 'seconds' | 'daemons' | 'jobs', string> & Record<'deadlyJobs' | 'teams', boolean> & { workers?: string, leaders?: boolean }>()
const [first, last = first] = options.seeds.split('-').map(Number)
const seeds = Array.from({ length: last - first + 1 }, (_, index) => first + index)
let failed = 0
buildProgram()
// The processes of the cells are killed when this process exits.
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1))

async function runNext (lane: number): Promise<void> {
  for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
    const dir = join('target', 'soak', String(seed))
    rmSync(dir, { recursive: true, force: true })
    const report = await soak({
      seed,
      faultsMs: Number(options.seconds) * MS_PER_S,
      daemons: Number(options.daemons),
      workers: options.workers === undefined ? undefined : Number(options.workers),
      leaders: options.leaders,
      deadlyJobs: options.leaders ? undefined : options.deadlyJobs,
      teams: options.teams ? undefined : false,
      dir,
      networkPrefix: `127.${100 + lane}.${process.pid % 250}`
    })
    if (report.violations.length) failed++
    console.log(JSON.stringify(report))
  }
}

await Promise.all(Array.from({ length: Number(options.jobs) }, (_, lane) => runNext(lane)))
console.log(`${failed} of the soaks broke a promise`)
process.exit(failed ? 1 : 0)
