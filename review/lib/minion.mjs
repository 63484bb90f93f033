/**
 * Stand-in for a minion, after the users' page on the protocol: leases, fence numbers, runs and their ends.
 *
 * @module
 */

import { readJson, respond, startServer } from './http.mjs'

/** Interval at which a minion writes its entry, in milliseconds; an entry goes after three of them without a write. */
export const HEARTBEAT_MS = 1_500
const EXPIRY_INTERVALS = 3
/** Longest lease, in milliseconds. */
export const HOLD_MAX_MS = 6_000
/** Time that a stop takes, in milliseconds. */
const STOP_MS = 50
const LEASE_CHECK_MS = 20
const MAX_LISTED_ENDS = 500
const MAX_WAIT_MS = 2_000

/** A minion. Each start of it is a new boot, which knows nothing of the boot before. */
export class Minion {
  /** Tells which orders are left unanswered and not carried out now, by path and body. */
  leavesUnanswered = () => false
  /** Time at which the last extension of the lease arrived, in milliseconds of the monotonic clock. */
  lastHoldMs = 0
  #options
  #server
  #boot
  #sequence = 0
  #heartbeat
  #expiry
  #leaseCheck

  /**
   * `plan` gives `{ workMs, how }` of a run: how long it works and how it ends by itself. `workMs` is infinite for a task that lasts.
   * `record` is called with each event. `gangs` holds the runs of gangs, which end together; absent when there are none.
   */
  constructor (options) {
    this.#options = options
  }

  get id () {
    return this.#options.id
  }

  /** Tasks that run now. */
  get running () {
    return [...this.#boot?.runs.keys() ?? []]
  }

  /** Processor that is free, in thousandths of a core, by the sizes that `cpuOf` gives for the tasks. */
  freeCpu (cpuOf) {
    return this.#boot ? this.#options.capacity.cpu - this.running.reduce((sum, task) => sum + cpuOf(task), 0) : 0
  }

  get up () {
    return this.#boot !== undefined
  }

  async start () {
    const { id, port, record } = this.#options
    this.#boot = {
      born: Date.now(),
      startedMs: performance.now(),
      fence: 0,
      leaseEndMs: 0,
      runs: new Map(),
      ends: [],
      last: 0,
      highest: new Map(),
      waiting: new Set()
    }
    record('up', { minion: id })
    // After a loss of power, connections that were open are reset.
    this.#server?.closeAllConnections()
    this.#server ??= await startServer(port, (req, res) => this.#handle(req, res))
    this.#writeEntry()
    this.#heartbeat = setInterval(() => this.#writeEntry(), HEARTBEAT_MS)
    this.#leaseCheck = setInterval(() => this.#checkLease(), LEASE_CHECK_MS)
  }

  /** Ends the minion without notice. Connections break, and new ones are refused; in the dark, nothing is answered any more. */
  crash ({ dark = false } = {}) {
    const { id, record } = this.#options
    if (!this.#boot) return
    record('crash', { minion: id, running: this.running })
    const { runs, waiting } = this.#boot
    this.#boot = undefined
    for (const [task, { timer, attempt }] of runs) {
      clearTimeout(timer)
      this.#options.gangs?.noteEnd(task, attempt)
    }
    for (const wake of waiting) wake()
    clearInterval(this.#heartbeat)
    clearInterval(this.#leaseCheck)
    if (!dark) this.#stopListening()
  }

  #stopListening () {
    this.#server?.close()
    this.#server?.closeAllConnections()
    this.#server = undefined
  }

  close () {
    this.crash()
    this.#stopListening()
    clearTimeout(this.#expiry)
  }

  #writeEntry () {
    const { id, port, zone, service, capacity, labels, store } = this.#options
    store.write(`servers/${id}`, {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version: '1.0',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      sequence: ++this.#sequence,
      born: this.#boot.born,
      capacity,
      labels
    })
    clearTimeout(this.#expiry)
    this.#expiry = setTimeout(() => store.remove(`servers/${id}`), EXPIRY_INTERVALS * HEARTBEAT_MS)
  }

  #clock (boot) {
    return Math.floor(performance.now() - boot.startedMs)
  }

  async #handle (req, res) {
    const body = await readJson(req)
    const boot = this.#boot
    if (!boot) return
    if (req.url === '/health') return respond(res, { status: 200 })
    if (req.headers['x-pomelofold-expected-instance'] !== this.id) return respond(res, { status: 421 })
    if (this.leavesUnanswered(req.url, body)) return
    if (req.url === '/api/hold') this.lastHoldMs = performance.now()
    const answer = await this.#carryOut(boot, req.url, body)
    // A boot that has ended meanwhile answers nothing.
    if (this.#boot !== boot) return
    respond(res, { status: answer.status, body: { clock_ms: this.#clock(boot), born: boot.born, ...answer.body } })
  }

  /** Carries out an order that was left unanswered, at the boot that is up now. */
  carryOutLate (path, body) {
    return this.#boot && this.#carryOut(this.#boot, path, body)
  }

  #carryOut (boot, path, body) {
    const handler = this.#handlers[path]
    if (!handler) return { status: 404 }
    const token = body.fence_token ?? 0
    if (token < boot.fence) return { status: 409, body: { reason: 'fence' } }
    boot.fence = token
    return handler(boot, body)
  }

  #handlers = {
    '/api/run-start': (boot, { task, attempt, spec, deadline_ms: untilMs, checkpoint }) => {
      const { id, plan, record } = this.#options
      if (untilMs <= this.#clock(boot)) return { status: 409, body: { reason: 'late' } }
      this.#extend(boot, untilMs)
      const present = boot.runs.get(task)
      if (present?.attempt === attempt) return { status: 200 }
      if (attempt <= (boot.highest.get(task) ?? 0) || present) return { status: 409, body: { reason: 'old' } }
      const { gangs } = this.#options
      const { workMs, how } = gangs?.has(task) ? { workMs: Number.POSITIVE_INFINITY } : plan(task, attempt, id)
      const run = { attempt, startedMs: performance.now(), workMs, timer: undefined }
      if (Number.isFinite(workMs)) run.timer = setTimeout(() => this.#end(boot, task, how), workMs)
      boot.runs.set(task, run)
      record('start', { minion: id, task, attempt, spec, checkpoint })
      if (gangs?.has(task)) gangs.noteStart(task, attempt, ended => this.#end(boot, task, ended))
      return { status: 200 }
    },
    '/api/run-stop': (boot, { task, attempt }) => {
      boot.highest.set(task, Math.max(attempt, boot.highest.get(task) ?? 0))
      const run = boot.runs.get(task)
      if (run && run.attempt <= attempt) setTimeout(() => { if (boot.runs.get(task) === run) this.#end(boot, task, 'stopped') }, STOP_MS)
      return { status: 200 }
    },
    '/api/pace': () => ({ status: 200 }),
    '/api/hold': async (boot, { deadline_ms: untilMs, acked_through: acked = 0, wait_ms: waitMs = 0 }) => {
      if (untilMs !== undefined) this.#extend(boot, untilMs)
      for (const end of boot.ends) if (end.n <= acked) this.#options.record('taken-note', { minion: this.id, task: end.task, attempt: end.attempt, how: end.how })
      boot.ends = boot.ends.filter(end => end.n > acked)
      if (boot.ends.length === 0 && waitMs > 0) await this.#waitForEnd(boot, Math.min(waitMs, MAX_WAIT_MS))
      return {
        status: 200,
        body: {
          running: [...boot.runs].map(([task, run]) => [task, run.attempt, '', percentOf(run)]),
          ended_runs: boot.ends.slice(0, MAX_LISTED_ENDS).map(({ n, task, attempt, how }) => [n, task, attempt, how, ''])
        }
      }
    }
  }

  #extend (boot, untilMs) {
    boot.leaseEndMs = Math.max(boot.leaseEndMs, Math.min(untilMs, this.#clock(boot) + HOLD_MAX_MS))
  }

  #checkLease () {
    const boot = this.#boot
    if (!boot || this.#clock(boot) < boot.leaseEndMs) return
    for (const task of [...boot.runs.keys()]) this.#end(boot, task, 'lapsed')
  }

  #end (boot, task, how) {
    const run = boot.runs.get(task)
    if (!run || this.#boot !== boot) return
    clearTimeout(run.timer)
    boot.runs.delete(task)
    boot.highest.set(task, Math.max(run.attempt, boot.highest.get(task) ?? 0))
    boot.ends.push({ n: ++boot.last, task, attempt: run.attempt, how })
    this.#options.record('end', { minion: this.id, task, attempt: run.attempt, how })
    this.#options.gangs?.noteEnd(task, run.attempt)
    for (const wake of boot.waiting) wake()
  }

  #waitForEnd (boot, waitMs) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        boot.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      boot.waiting.add(wake)
    })
  }
}

/** Progress of a run. A task that lasts is at work soon after its start. */
function percentOf ({ startedMs, workMs }) {
  const ranMs = performance.now() - startedMs
  return Math.min(100, Math.floor(Number.isFinite(workMs) ? 100 * ranMs / workMs : ranMs / 5))
}
