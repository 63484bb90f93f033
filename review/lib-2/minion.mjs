/**
 * Stand-in for a minion, after the pages' section on running tasks. The `spec` of a job says how long its tasks work: `ms=800`, or
 * `lasting`; with `saves`, they checkpoint their progress. A crash ends its process: connections break, new ones are refused, and its
 * entry in the store expires.
 */

import { createServer } from 'node:http'
import { once } from 'node:events'

const HEARTBEAT_MS = 1_500
const HOLD_MAX_MS = 6_000
const SAVE_MS = 500
const STOP_MS = 50
const STARTUP_MS = 200
const TICK_MS = 10
/** Time after which a run ends as failed on a minion that fails all that it starts. */
const FAIL_MS = 50

export class Minion {
  constructor ({ store, record, host, id, service, zone, capacity, labels = ['a', 'r1'] }) {
    Object.assign(this, { store, record, host, id, service, zone, capacity, labels })
    this.port = 0
    this.up = false
    /** True while the minion fails all that it starts. */
    this.failing = false
    /** Called with each order before it is carried out; returns `{ ignore: true }`, `{ lose: true }` or nothing. */
    this.gate = () => ({})
  }

  /** Starts an incarnation. It knows nothing of before. */
  async start () {
    this.born = Date.now()
    this.startedAt = performance.now()
    this.fence = 0
    this.leaseEnd = 0
    this.runs = new Map()
    this.ended = []
    this.sequence = 0
    this.lastEnd = 0
    this.highest = new Map()
    this.wakers = new Set()
    this.sockets = new Set()
    this.state = 'ready'
    const server = this.server = createServer((req, res) => this._serve(req, res))
    server.on('connection', socket => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
    server.listen(this.port, this.host)
    await once(server, 'listening')
    this.port = server.address().port
    this.up = true
    this.record(`minion ${this.id} up born=${this.born}`)
    this._beat()
    this.beats = setInterval(() => this._beat(), HEARTBEAT_MS)
    this.ticks = setInterval(() => this._tick(), TICK_MS)
  }

  /** Ends the process without notice. */
  crash () {
    if (!this.up) return
    this.up = false
    clearInterval(this.beats)
    clearInterval(this.ticks)
    for (const run of this.runs.values()) this.record(`minion ${this.id} gone task=${run.task} attempt=${run.attempt}`)
    this.runs = new Map()
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
    this.record(`minion ${this.id} crash`)
    const born = this.born
    setTimeout(() => { if (!this.up && this.born === born) this.store.remove(`servers/${this.id}`) }, 3 * HEARTBEAT_MS)
  }

  get clock () {
    return Math.round(performance.now() - this.startedAt)
  }

  get used () {
    return [...this.runs.values()].length
  }

  _beat () {
    this.store.write(`servers/${this.id}`, JSON.stringify({
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_left_ms: 0,
      capacity: this.capacity,
      labels: this.labels,
      clock_ms: this.clock,
      born: this.born,
      sequence: ++this.sequence
    }))
  }

  _tick () {
    const now = this.clock
    if (this.leaseEnd > 0 && now >= this.leaseEnd) for (const run of [...this.runs.values()]) this._end(run, 'lapsed')
    for (const run of [...this.runs.values()]) {
      const worked = now - run.startedAt
      const saves = Math.floor(worked / SAVE_MS)
      if (run.checkpointing && saves > run.saves) {
        run.saves = saves
        run.saved = checkpoint(run.workedBefore + worked)
      }
      if (run.stopAt !== undefined && now >= run.stopAt) this._end(run, 'stopped')
      else if (run.fails && worked >= FAIL_MS) this._end(run, 'failed')
      else if (run.workMs !== undefined && run.workedBefore + worked >= run.workMs) this._end(run, 'done')
    }
  }

  _end (run, how) {
    this.runs.delete(run.task)
    if (how === 'stopped' && run.checkpointing) run.saved = checkpoint(run.workedBefore + this.clock - run.startedAt)
    this.highest.set(run.task, Math.max(run.attempt, this.highest.get(run.task) ?? 0))
    this.ended.push([++this.lastEnd, run.task, run.attempt, how, run.saved])
    this.record(`minion ${this.id} end task=${run.task} attempt=${run.attempt} how=${how}`)
    for (const wake of [...this.wakers]) wake()
  }

  async _serve (req, res) {
    const chunks = []
    try {
      for await (const chunk of req) chunks.push(chunk)
    } catch {
      return
    }
    const body = chunks.length ? JSON.parse(Buffer.concat(chunks).toString()) : {}
    const { born } = this
    const call = { path: req.url, body }
    const fate = this.gate(call) ?? {}
    if (fate.ignore) return
    const expected = req.headers['x-pomelofold-expected-instance']
    const answer = expected && expected !== this.id ? { status: 421 } : await this._answer(call)
    if (fate.lose || !this.up || this.born !== born || res.destroyed) return
    const clock = { clock_ms: this.clock, born: this.born }
    res.writeHead(answer.status, { 'content-type': 'application/json' }).end(JSON.stringify({ ...clock, ...answer.body }))
  }

  async _answer ({ path, body }) {
    if ((body.fence_token ?? 0) < this.fence) return { status: 409, body: { reason: 'fence' } }
    this.fence = body.fence_token ?? 0
    if (path === '/api/run-start') return this._start(body)
    if (path === '/api/run-stop') return this._stop(body)
    if (path === '/api/pace') return { status: 200 }
    if (path === '/api/hold') return this._hold(body)
    return { status: 404 }
  }

  _extend (deadline) {
    if (deadline !== undefined) this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadline, this.clock + HOLD_MAX_MS))
  }

  _start ({ task, attempt, spec, deadline_ms: deadline, checkpoint: saved = '', fence_token: fence }) {
    if (deadline <= this.clock) return { status: 409, body: { reason: 'late' } }
    this._extend(deadline)
    const present = this.runs.get(task)
    if (present?.attempt === attempt) return { status: 200 }
    if (present || attempt <= (this.highest.get(task) ?? 0)) return { status: 409, body: { reason: 'old' } }
    const workMs = /ms=(\d+)/.exec(spec)?.[1]
    this.runs.set(task, {
      task,
      attempt,
      saved,
      saves: 0,
      startedAt: this.clock,
      fails: this.failing,
      checkpointing: spec.includes('saves'),
      workMs: workMs === undefined ? undefined : Number(workMs),
      workedBefore: saved === '' ? 0 : Number.parseInt(saved, 16),
      stopAt: undefined
    })
    this.record(`minion ${this.id} start task=${task} attempt=${attempt} fence=${fence} checkpoint=${saved}`)
    return { status: 200 }
  }

  _stop ({ task, attempt }) {
    this.highest.set(task, Math.max(attempt, this.highest.get(task) ?? 0))
    const run = this.runs.get(task)
    if (run && run.attempt <= attempt) run.stopAt ??= this.clock + STOP_MS
    return { status: 200 }
  }

  async _hold ({ acked_through: acked, deadline_ms: deadline, wait_ms: wait = 0 }) {
    for (const [, task, attempt, how] of this.ended.filter(([n]) => n <= acked)) {
      this.record(`minion ${this.id} noted task=${task} attempt=${attempt} how=${how}`)
    }
    this.ended = this.ended.filter(([n]) => n > acked)
    this._extend(deadline)
    if (this.ended.length === 0 && wait > 0) {
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer)
          this.wakers.delete(done)
          resolve()
        }
        const timer = setTimeout(done, wait)
        this.wakers.add(done)
      })
    }
    const running = [...this.runs.values()].map(run => [run.task, run.attempt, run.saved, this._percent(run), 0])
    return { status: 200, body: { running, ended_runs: this.ended.slice(0, 500) } }
  }

  _percent ({ workMs, workedBefore, startedAt }) {
    const worked = this.clock - startedAt
    if (workMs === undefined) return worked >= STARTUP_MS ? 100 : 0
    return Math.min(99, Math.floor(100 * (workedBefore + worked) / workMs))
  }
}

/** A checkpoint holds the work done so far, in milliseconds. */
function checkpoint (workedMs) {
  return Math.round(workedMs).toString(16).padStart(16, '0')
}
