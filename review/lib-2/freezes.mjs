/**
 * Rounds in which a daemon freezes while it hands in jobs, and the store loses some answers to writes before it wakes up.
 */

import { CLIENT_HOST, sleep, Unable } from './cell.mjs'

const INTAKE_PREFIX = 'pomelofold/intake/workflows/'
/** One answer in so many to a write is lost: less than the site file's share of 0.35. */
const EACH_LOST = 3
/** The freeze comes when the answers to at least so many of the daemon's writes have just gone out. */
const MIN_ANSWERED = 3
const FREEZE_AFTER_MS = 1
const JOBS = 12
const MAX_TRIES = 12
const RETRY_MS = 200
/** Clients that ask for the states of their jobs at the daemon, and the pause between two such requests of one client. */
const POLLERS = 12
const POLL_MS = 10
const POLL_FOR_MS = 500

export const ROUTE = {
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

export class Freezes {
  /** Options: how long a daemon freezes, when from then on the store begins to lose answers, and for how long it does. */
  constructor (cell, { freezeMs, lostFromMs, lostMs }) {
    this.cell = cell
    this.freezeMs = freezeMs
    this.lostFromMs = lostFromMs
    this.lostMs = lostMs
    /** Time from which on there is neither a disruption nor a new job. */
    this.endedAt = 0
  }

  /** Starts three daemons and four minions. */
  async start () {
    const { cell } = this
    cell.configure([ROUTE])
    await cell.start({ daemons: 3 })
    for (let index = 0; index < 4; index++) {
      const capacity = { cpu: 64000, mem_mb: 131072, gpu: 0 }
      await cell.addMinion({ id: `i-${index}`, service: 'hub', capacity, labels: ['a', `r1-${index}`] })
    }
    await sleep(2_000)
    let writes = 0
    cell.store.gate = ({ path, body }) => {
      if (!this.losing || path !== '/api/kv-txn' || ++writes % EACH_LOST) return {}
      cell.record(`store: lost the answer to a write of ${body.puts.map(({ key }) => key).join(' ')}`)
      return { lose: true }
    }
    cell.store.onAnswered = bodies => {
      const handedIn = bodies.filter(({ puts }) => puts.some(({ key }) => key.startsWith(INTAKE_PREFIX)))
      if (this.daemon && handedIn.length >= MIN_ANSWERED) this._freeze()
    }
  }

  _freeze () {
    const { cell, daemon, freezeMs, lostFromMs, lostMs } = this
    this.daemon = undefined
    setTimeout(() => cell.signal(daemon, 'SIGSTOP'), FREEZE_AFTER_MS)
    setTimeout(() => cell.signal(daemon, 'SIGCONT'), FREEZE_AFTER_MS + freezeMs)
    setTimeout(() => this._lose(true), lostFromMs)
    setTimeout(() => this._lose(false), lostFromMs + lostMs)
    this.endedAt = Date.now() + Math.max(FREEZE_AFTER_MS + freezeMs, lostFromMs + lostMs)
  }

  _lose (losing) {
    this.losing = losing
    this.cell.record(`store: ${losing ? 'one answer in three to writes is lost from now on' : 'no more answers are lost'}`)
  }

  /**
   * Hands jobs in at a daemon that does not lead, and freezes that one, if wanted. `jobOf` gives the spec and the step of a job by its
   * index; `afterwards` is called for each accepted job, with a daemon that neither leads nor freezes. Returns the ids.
   */
  async handIn (round, { freeze, jobOf, afterwards = () => {} }) {
    const { cell } = this
    const [first, second] = cell.daemons.filter(daemon => daemon !== cell.leader)
    if (freeze) this.daemon = first
    const ids = Array.from({ length: JOBS }, (_, index) =>
      `5c0e7a21d94b${round.toString(16).padStart(2, '0')}${index.toString(16).padStart(2, '0')}`)
    const polling = Promise.all(Array.from({ length: POLLERS }, async (_, index) => {
      const end = Date.now() + POLL_FOR_MS
      while (Date.now() < end && await cell.ask(first, `/jobs/${ids[index]}`)) await sleep(POLL_MS)
    }))
    await Promise.all(ids.map(async (id, index) => {
      const { spec, step, retryMs = RETRY_MS } = jobOf(index)
      // A client that gets no answer sends the request again, with the same id, to another daemon.
      for (let tries = 0; tries < MAX_TRIES; tries++) {
        const { status } = await cell.call(tries ? second : first, 'POST', `/jobs/${id}`, { spec, steps: [step] })
        if (status === 200) return afterwards(id, second)
        await sleep(retryMs)
      }
      throw new Unable(`job ${id} was not accepted`)
    }))
    await polling
    this.daemon = undefined
    this.endedAt = Math.max(this.endedAt, Date.now())
    return ids
  }

  /** Waits until the last disruption has ended, and the last job was handed in, so long ago. */
  async calm (ms) {
    await sleep(this.endedAt + ms - Date.now())
  }
}
