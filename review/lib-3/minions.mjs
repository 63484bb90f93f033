/**
 * Stand-ins of minions, several in one process, by their published interface. They register in the store and run tasks whose `spec`
 * says for how long: `ms=N`, or `lasts`. Started by `cell.mjs`, which passes the settings as the first argument and gets each start
 * and end.
 */

import { createServer } from 'node:http'

const { host, store, minions, heartbeatMs, holdMaxMs } = JSON.parse(process.argv[2])

const MAX_LISTED_ENDS = 500
/** Intervals without a report after which the platform removes an entry. */
const EXPIRY_INTERVALS = 3
const CONFLICT = 409
const OTHER_INSTANCE = 421
const TICK_MS = 5
const REPORT_PERIOD_MS = 20
/** Time that a stopped run still takes, in milliseconds: less than `stop_ms`. */
const STOP_MS = 20

let notes = []
const note = (...row) => notes.push([Date.now(), ...row])
setInterval(() => {
  if (notes.length === 0) return
  process.send?.({ notes })
  notes = []
}, REPORT_PERIOD_MS)

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

const send = (res, status, body) => {
  if (!res.destroyed) res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

const HEADERS = { 'content-type': 'application/json' }

const txn = body => fetch(`http://${store}/api/kv-txn`, { method: 'POST', body: JSON.stringify(body), headers: HEADERS })

/** Time that a task with this `spec` takes, in milliseconds. */
const runTimeOf = spec => Number(/ms=(\d+)/.exec(spec)?.[1] ?? Number.POSITIVE_INFINITY)

/** Progress of a run in percent. A task that lasts is at work at once. */
function percentOf ({ startedMs, endMs }) {
  const share = (performance.now() - startedMs) / Math.max(1, endMs - startedMs)
  return endMs === Number.POSITIVE_INFINITY ? 100 : Math.min(99, Math.round(100 * share))
}

/** One minion: an address at which boots follow each other under one id. */
class Minion {
  constructor ({ id, port, service, zone, labels, capacity }) {
    this.settings = { id, port, service, zone, capacity }
    this.boot(labels)
    setInterval(() => this.tick(), TICK_MS)
    setInterval(() => { if (!this.isDown && !this.isCut) this.beat() }, heartbeatMs)
  }

  /** Starts a boot, which knows nothing of earlier ones. */
  boot (labels) {
    this.born = Date.now()
    this.startedMs = performance.now()
    this.labels = labels
    this.sequence = 0
    this.fence = 0
    this.leaseEndMs = 0
    this.runs = new Map()
    this.refusedUpTo = new Map()
    this.ends = []
    this.nextEnd = 1
    this.waiters = new Set()
    this.isDown = false
    this.server = createServer({ keepAliveTimeout: 120_000 }, (req, res) => { this.serve(req, res) }).listen(this.settings.port, host)
    note('boot', this.settings.id, labels.join('/'))
    if (!this.isCut) this.beat()
  }

  /** Ends the boot without notice: its connections break off, and new ones are refused until the next one. */
  crash () {
    this.isDown = true
    note('crash', this.settings.id)
    for (const { task, run } of this.runs.values()) note('end', this.settings.id, task, run, 'crashed')
    this.runs.clear()
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Crashes, and boots again after `downMs`, unless that is null. */
  async crashFor (downMs) {
    this.crash()
    if (downMs === null) return this.expire()
    await sleep(downMs)
    this.boot(this.labels)
  }

  /** Is cut off from all machines for some time, and crashes and boots again behind the cut. */
  async cutFor ({ forMs, rebornAfterMs, downMs }) {
    this.isCut = true
    note('cut', this.settings.id)
    setTimeout(() => { this.isCut = false; note('healed', this.settings.id) }, forMs)
    await sleep(rebornAfterMs)
    await this.crashFor(downMs)
  }

  /** Loses power for good: nothing is answered any more. */
  losePower () {
    this.isDown = true
    note('dark', this.settings.id)
    this.runs.clear()
    return this.expire()
  }

  /** The platform removes the entry of a minion that is silent. */
  async expire () {
    await sleep(EXPIRY_INTERVALS * heartbeatMs)
    await txn({ deletes: [`servers/${this.settings.id}`] })
  }

  get clockMs () {
    return Math.round(performance.now() - this.startedMs)
  }

  beat () {
    const { id, port, service, zone, capacity } = this.settings
    const entry = {
      service,
      address: `${host}:${port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      capacity,
      labels: this.labels,
      born: this.born,
      clock_ms: this.clockMs,
      sequence: ++this.sequence
    }
    txn({ puts: [{ key: `servers/${id}`, value: Buffer.from(JSON.stringify(entry)).toString('base64'), lease: 0 }] }).catch(() => {})
  }

  tick () {
    if (this.isDown) return
    const nowMs = performance.now()
    if (this.runs.size > 0 && this.clockMs >= this.leaseEndMs) for (const run of [...this.runs.values()]) this.end(run, 'lapsed')
    for (const run of [...this.runs.values()]) if (nowMs >= run.endMs) this.end(run, run.stopped ? 'stopped' : 'done')
  }

  end (run, how) {
    this.runs.delete(`${run.task}#${run.run}`)
    this.refuse(run.task, run.run)
    this.ends.push([this.nextEnd++, run.task, run.run, how, ''])
    note('end', this.settings.id, run.task, run.run, how)
    for (const wake of [...this.waiters]) wake()
  }

  refuse (task, run) {
    this.refusedUpTo.set(task, Math.max(run, this.refusedUpTo.get(task) ?? 0))
  }

  extend (deadlineMs) {
    if (deadlineMs !== undefined) this.leaseEndMs = Math.max(this.leaseEndMs, Math.min(deadlineMs, this.clockMs + holdMaxMs))
  }

  async serve (req, res) {
    const chunks = await req.toArray().catch(() => undefined)
    if (!chunks || this.isDown || this.isCut) return
    const text = Buffer.concat(chunks).toString()
    const body = text ? JSON.parse(text) : {}
    const expected = req.headers['x-pomelofold-expected-instance']
    if (expected !== undefined && expected !== this.settings.id) return send(res, OTHER_INSTANCE, {})
    if (this.lateByMs !== undefined && req.url !== '/api/hold') return this.carryOutLate(req, body)
    this.carryOut(req, res, body)
  }

  /** Leaves an order unanswered, and has the boot that is up then carry it out. */
  carryOutLate (req, body) {
    note('late', this.settings.id, req.url, body.task, body.attempt)
    setTimeout(() => { if (!this.isDown) this.carryOut(req, { destroyed: true }, body) }, this.lateByMs)
  }

  carryOut (req, res, body) {
    if ((body.fence_token ?? 0) < this.fence) return send(res, CONFLICT, { clock_ms: this.clockMs, reason: 'fence' })
    this.fence = Math.max(this.fence, body.fence_token ?? 0)
    if (req.url === '/api/hold') return this.hold(res, body)
    if (req.url === '/api/run-start') return this.start(res, body)
    if (req.url === '/api/run-stop') return this.stop(res, body)
    if (req.url === '/api/pace') return send(res, 200, { clock_ms: this.clockMs })
    send(res, 404, {})
  }

  hold (res, { acked_through: acked = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 }) {
    const { born } = this
    this.ends = this.ends.filter(([number]) => number > acked)
    this.extend(deadlineMs)
    const answer = () => {
      this.waiters.delete(answer)
      clearTimeout(timer)
      if (this.isDown || this.born !== born) return
      const running = [...this.runs.values()].map(run => [run.task, run.run, '', percentOf(run), 0])
      send(res, 200, { clock_ms: this.clockMs, born: this.born, running, ended_runs: this.ends.slice(0, MAX_LISTED_ENDS) })
    }
    const timer = setTimeout(answer, this.ends.length > 0 ? 0 : waitMs)
    if (this.ends.length === 0 && waitMs > 0) this.waiters.add(answer)
  }

  start (res, { task, attempt, spec, deadline_ms: deadlineMs }) {
    const key = `${task}#${attempt}`
    if (this.losesPowerAtStart) return this.losePower()
    if (deadlineMs <= this.clockMs) return send(res, CONFLICT, { clock_ms: this.clockMs, reason: 'late' })
    this.extend(deadlineMs)
    if (this.runs.has(key)) return send(res, 200, { clock_ms: this.clockMs })
    if (attempt <= (this.refusedUpTo.get(task) ?? 0)) return send(res, CONFLICT, { clock_ms: this.clockMs, reason: 'old' })
    const startedMs = performance.now()
    const forMs = runTimeOf(spec)
    this.runs.set(key, { task, run: attempt, startedMs, endMs: startedMs + forMs })
    note('start', this.settings.id, task, attempt, this.labels.join('/'))
    send(res, 200, { clock_ms: this.clockMs })
    if (forMs === 0) this.end(this.runs.get(key), 'done')
  }

  stop (res, { task, attempt }) {
    const run = this.runs.get(`${task}#${attempt}`)
    if (run) {
      run.stopped = true
      run.endMs = Math.min(run.endMs, performance.now() + STOP_MS)
    } else this.refuse(task, attempt)
    send(res, 200, { clock_ms: this.clockMs })
  }
}

const all = new Map(minions.map(settings => [settings.id, new Minion(settings)]))

/** Orders of the script that started this process. */
process.on('message', ({ id, crashForMs, losesPowerAtStart, cut, lateByMs }) => {
  const minion = all.get(id)
  if (crashForMs !== undefined) minion.crashFor(crashForMs)
  if (losesPowerAtStart) minion.losesPowerAtStart = true
  if (cut) minion.cutFor(cut)
  if (lateByMs !== undefined) minion.lateByMs = lateByMs ?? undefined
})
process.send?.({ ready: true })
process.once('disconnect', () => process.exit())
