/**
 * A daemon freezes while it hands in jobs. The leader finds the jobs in the store, runs them and records their ends, while the store
 * loses some answers to writes. Then the daemon wakes up, and its notices of the jobs reach the leader.
 */

import { CLIENT_HOST, runCase, sleep, Unable } from '../lib-2/cell.mjs'

/** node_freeze: one machine, 3.5 s. */
const FREEZE_MS = 3_500
/** platform_lost: a third of the writes are done and not answered, for 4.5 s at most. */
const LOST_FROM_MS = 500
const LOST_MS = 4_000
const EACH_LOST = 3
/** Rounds, each with one freeze, of which the first one that breaks the rule ends the case. */
const ROUNDS = 9
const REST_MS = 2_000
const JOBS = 12
const MAX_TRIES = 12
const RETRY_MS = 200
const jobMs = index => 2_200 + 40 * index
/** Clients that ask for the states of their jobs at the daemon, and the pause between two such requests of one client. */
const POLLERS = 12
const POLL_MS = 10
const POLL_FOR_MS = 500
/** The freeze comes when the answers to at least so many of the daemon's writes have just gone out. */
const MIN_ANSWERED = 3
const FREEZE_AFTER_MS = 1
const idOf = (round, index) => `5c0e7a21d94b${round.toString(16).padStart(2, '0')}${index.toString(16).padStart(2, '0')}`

const ROUTE = {
  name: 'jobs',
  host: CLIENT_HOST,
  prefix: '/jobs/',
  service: 'hub',
  route_type: 'unsafe',
  timeout_ms: 3000,
  priority: 1,
  max_attempts: 3,
  stretch: 2,
  target_duration_ms: 1200
}

runCase(import.meta.url, async (cell, trouble) => {
  cell.configure([ROUTE])
  await cell.start({ daemons: 3 })
  for (let index = 0; index < 4; index++) {
    await cell.addMinion({ id: `i-${index}`, service: 'hub', capacity: { cpu: 64000, mem_mb: 131072, gpu: 0 }, labels: ['a', `r1-${index}`] })
  }
  await sleep(2_000)
  let toFreeze
  let writes = 0
  let losing = false
  const lose = on => {
    losing = on
    cell.record(`store: ${on ? 'a third of the answers to writes are lost from now on' : 'no more answers are lost'}`)
  }
  cell.store.onAnswered = bodies => {
    const handedIn = bodies.filter(({ puts }) => puts.some(({ key }) => key.startsWith('pomelofold/intake/workflows/')))
    if (!toFreeze || handedIn.length < MIN_ANSWERED) return
    const daemon = toFreeze
    toFreeze = undefined
    setTimeout(() => cell.signal(daemon, 'SIGSTOP'), FREEZE_AFTER_MS)
    setTimeout(() => cell.signal(daemon, 'SIGCONT'), FREEZE_AFTER_MS + FREEZE_MS)
    setTimeout(() => lose(true), LOST_FROM_MS)
    setTimeout(() => lose(false), LOST_FROM_MS + LOST_MS)
  }
  cell.store.gate = ({ path, body }) => {
    if (!losing || path !== '/api/kv-txn' || ++writes % EACH_LOST) return {}
    cell.record(`store: lost the answer to a write of ${body.puts.map(({ key }) => key).join(' ')}`)
    return { lose: true }
  }
  /** A client that gets no answer sends the request again, with the same id, to another daemon. */
  const handIn = async (id, ms, daemons) => {
    const body = { spec: `ms=${ms}`, steps: [{ task_count: 1, cpu: 1000, mem_mb: 256, est_runtime_ms: ms }] }
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const { status } = await cell.call(daemons[Math.min(tries, 1)], 'POST', `/jobs/${id}`, body)
      if (status === 200) return
      await sleep(RETRY_MS)
    }
    throw new Unable(`job ${id} was not accepted`)
  }
  const startedAgain = task => {
    const [done] = cell.ends(task, 'done')
    const noted = cell.lines.some(({ line }) => line.includes(`noted task=${task} `) && line.endsWith('how=done'))
    return done && noted && cell.starts(task).some(({ atMs }, index) => index > 0 && atMs > done.atMs)
  }
  /** Asks for the states of jobs, quietly, until there is no answer. */
  const poll = (daemon, own) => Promise.all(Array.from({ length: POLLERS }, async (_, index) => {
    const end = Date.now() + POLL_FOR_MS
    while (Date.now() < end && await cell.ask(daemon, `/jobs/${own[index % own.length]}`)) await sleep(POLL_MS)
  }))
  const ids = []
  for (let round = 0; round < (trouble ? ROUNDS : 2); round++) {
    const others = cell.daemons.filter(daemon => daemon !== cell.leader)
    if (trouble) toFreeze = others[0]
    const own = Array.from({ length: JOBS }, (_, index) => idOf(round, index))
    ids.push(...own)
    const polling = poll(others[0], own)
    await Promise.all(own.map((id, index) => handIn(id, jobMs(index), others)))
    await sleep(LOST_FROM_MS + LOST_MS + REST_MS)
    await polling
    const twice = own.map(id => `${id}.0.0.0`).filter(startedAgain)
    if (twice.length) return `TWICE: started again after they had ended as done, which was taken note of: ${twice.join(' ')}`
  }
  const states = await Promise.all(ids.map(id => cell.call(cell.daemons[0], 'GET', `/jobs/${id}`)))
  if (states.some(({ body }) => body?.state !== 'completed')) throw new Unable('not all jobs are completed')
})
