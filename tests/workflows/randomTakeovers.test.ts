/**
 * Tests of long-running tasks under random crashes, cuts and changes of leader, with fixed seeds.
 *
 * @module
 */

import t from 'tap'
import { RESTART_MS } from './leaderChain.js'
import { playRandomTakeovers } from './randomTakeovers.js'

/** Longest time without a run of a task once the faults have ended, in milliseconds: the lease on a slow clock, and the restart. */
const CALM_MS = 6_000 / 0.98 + RESTART_MS

// Guards against tasks that run twice or stay down after faults in any order (TWICE, LOST).
t.test('after random crashes, cuts and changes of leader each task runs again once leases have ended, and none ran twice', async t => {
  for (const seed of [1, 2, 3, 6, 18]) {
    const { cell, tasks, leaseEndViolations, faults } = await playRandomTakeovers(seed)
    await cell.timers.advance(CALM_MS)
    const down = tasks.filter(task => cell.runsOf(task).at(-1)!.endMs !== Number.POSITIVE_INFINITY)
    t.same(down, [], `seed ${seed}: each task runs, after ${faults.length} faults`)
    t.same(cell.violations(), [], `seed ${seed}`)
    t.same(leaseEndViolations, [], `seed ${seed}`)
  }
})
