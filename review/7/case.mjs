/**
 * A daemon freezes while it hands in services. Their clients get no answer, hand them in at another daemon and cancel them there. The
 * store loses some answers to writes. Then the frozen daemon wakes up, and its notices of the services reach the leader.
 */

import { runCase, sleep, Unable } from '../lib-2/cell.mjs'
import { Freezes } from '../lib-2/freezes.mjs'

/** Rounds, each with one freeze, of which the first one that breaks the rule ends the case. */
const ROUNDS = 8
/** contact_ms, cancel_ms and stop_ms of the site, and some time for the record: a cancelled task must be gone by then. */
const CALM_MS = 3_000 + 3_000 + 900 + 600
const SHORT_CALM_MS = 1_000
const CANCEL_TRIES = 12
const CANCEL_RETRY_MS = 200

runCase(import.meta.url, async (cell, trouble) => {
  const freezes = new Freezes(cell, { freezeMs: 3_950, lostFromMs: 1_500, lostMs: 3_500 })
  await freezes.start()
  const jobOf = index => ({
    spec: 'lasting',
    step: { task_count: 1, cpu: 1000, mem_mb: 256, est_runtime_ms: 500, long_running: true },
    retryMs: 50 + 30 * index
  })
  const cancelled = new Set()
  const afterwards = async (id, daemon) => {
    for (let tries = 0; tries < CANCEL_TRIES; tries++) {
      const { status } = await cell.call(daemon, 'DELETE', `/jobs/${id}`)
      if (status === 200 || status === 410) {
        cancelled.add(id)
        return
      }
      await sleep(CANCEL_RETRY_MS)
    }
    throw new Unable(`job ${id} was not cancelled`)
  }
  const left = () => cell.minions.flatMap(({ runs }) => [...runs.keys()])
  for (let round = 0; round < (trouble ? ROUNDS : 3); round++) {
    const own = await freezes.handIn(round, { freeze: trouble, jobOf, afterwards })
    await freezes.calm(SHORT_CALM_MS)
    if (left().length) await freezes.calm(CALM_MS)
    const running = left()
    if (running.length) {
      for (const id of own) cell.record(`cancelled: ${id} ${cancelled.has(id)}`)
      return `UNASKED: tasks of cancelled jobs run ${CALM_MS} ms after the end of the last disruption: ${running.join(' ')}`
    }
  }
})
