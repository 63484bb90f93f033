import { mkdtempSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import t from 'tap'
import { soak } from './soak.js'
import { buildProgram } from './soakCell.js'

/** Seeds that failed once, each with its cause in docs/HUNTS.md, and seed 1, which never failed. */
const SEEDS = [1, 4, 7, 8, 32, 55]
/** Time during which faults start, in milliseconds. */
const FAULTS_MS = 8_000
/** Longest time of the test, in milliseconds: the faults, the three waits of a soak of 40 s each, and the starts of processes. */
const TIMEOUT_MS = 150_000

t.setTimeout(TIMEOUT_MS)
buildProgram()

t.test('soak: guarantees hold while processes, links and the store fail', async t => {
  const dir = mkdtempSync(join(tmpdir(), 'pomelofold-soak-'))
  const reports = await Promise.all(SEEDS.map((seed, index) => soak({
    seed, faultsMs: FAULTS_MS, dir: join(dir, String(seed)), networkPrefix: `127.${90 + index}.${process.pid % 250}`
  })))
  for (const { seed, violations, accepted, runs } of reports) {
    t.same(violations, [], `seed ${seed}, logs in ${dir}`)
    t.ok(accepted > 0 && runs > 0)
  }
})
