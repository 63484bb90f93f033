/**
 * A daemon freezes while it hands in jobs. The leader finds the jobs in the store, runs them and records their ends, while the store
 * loses some answers to writes. Then the daemon wakes up, and its notices of the jobs reach the leader.
 */

import { runCase, Unable } from '../lib-2/cell.mjs'
import { Freezes } from '../lib-2/freezes.mjs'

/** Rounds, each with one freeze, of which the first one that breaks the rule ends the case. */
const ROUNDS = 9
const CALM_MS = 2_500
const jobMs = index => 2_200 + 40 * index

runCase(import.meta.url, async (cell, trouble) => {
  const freezes = new Freezes(cell, { freezeMs: 3_500, lostFromMs: 500, lostMs: 4_000 })
  await freezes.start()
  const jobOf = index => ({
    spec: `ms=${jobMs(index)}`, step: { task_count: 1, cpu: 1000, mem_mb: 256, est_runtime_ms: jobMs(index) }
  })
  const startedAgain = task => {
    const [done] = cell.ends(task, 'done')
    const noted = cell.lines.some(({ line }) => line.includes(`noted task=${task} `) && line.endsWith('how=done'))
    return done && noted && cell.starts(task).some(({ atMs }, index) => index > 0 && atMs > done.atMs)
  }
  const ids = []
  for (let round = 0; round < (trouble ? ROUNDS : 3); round++) {
    const own = await freezes.handIn(round, { freeze: trouble, jobOf })
    ids.push(...own)
    await freezes.calm(trouble ? CALM_MS : 0)
    const twice = own.map(id => `${id}.0.0.0`).filter(startedAgain)
    if (twice.length) return `TWICE: started again after they had ended as done, which was taken note of: ${twice.join(' ')}`
  }
  await freezes.calm(2 * CALM_MS)
  const states = await Promise.all(ids.map(id => cell.call(cell.daemons[0], 'GET', `/jobs/${id}`)))
  if (states.some(({ body }) => body?.state !== 'completed')) throw new Unable('not all jobs are completed')
})
