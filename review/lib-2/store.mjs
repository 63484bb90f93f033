/**
 * Stand-in for the platform's metadata store, after the pages' section on it. It keeps everything in memory and answers on a
 * loopback address. A gate decides about each call before it is carried out and before it is answered.
 */

import { createServer } from 'node:http'
import { once } from 'node:events'

/** Time from the arrival of a call to its answer, in milliseconds. */
const ANSWER_MS = 4
/** Period at which the answers to writes go out together, as of a store that commits in groups, in milliseconds: 4 ms on average. */
const GROUP_MS = 8
const PAGE_ITEMS = 500

export class Store {
  constructor () {
    this.items = new Map()
    this.leases = new Map()
    this.history = []
    this.revision = 1
    this.nextLease = 100
    this.waiters = new Set()
    this.listeners = []
    /** Called with each call; returns what happens to it: `{ refuse: STATUS }`, `{ ignore: true }`, `{ lose: true }`, `{ delayMs }`. */
    this.gate = () => ({})
    this.server = createServer((req, res) => this._serve(req, res))
    this.timer = setInterval(() => this._expireLeases(), 20)
    this.group = []
    this.groupTimer = setInterval(() => this._answerGroup(), GROUP_MS)
    /** Called with the bodies of the writes whose answers have just gone out. */
    this.onAnswered = () => {}
  }

  async listen (host) {
    this.server.listen(0, host)
    await once(this.server, 'listening')
    this.address = `${host}:${this.server.address().port}`
  }

  close () {
    clearInterval(this.timer)
    clearInterval(this.groupTimer)
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Text under a key; undefined when there is none. */
  text (key) {
    const item = this.items.get(key)
    return item && Buffer.from(item.value, 'base64').toString()
  }

  /** Writes as the operator or a minion does. */
  write (key, text) {
    this._apply([{ key, value: Buffer.from(text).toString('base64'), lease: 0 }], [])
  }

  remove (key) {
    if (this.items.has(key)) this._apply([], [key])
  }

  /** Calls `listener` with the puts and deletes of each change. */
  onChange (listener) {
    this.listeners.push(listener)
  }

  async _serve (req, res) {
    const chunks = []
    try {
      for await (const chunk of req) chunks.push(chunk)
    } catch {
      return
    }
    const url = new URL(req.url, 'http://store')
    const body = chunks.length ? JSON.parse(Buffer.concat(chunks).toString()) : {}
    const call = { from: req.headers['x-from'], method: req.method, path: url.pathname, query: url.searchParams, body, socket: req.socket }
    const fate = this.gate(call) ?? {}
    if (fate.ignore) return
    if (fate.refuse) return reply(res, fate.refuse, {})
    const answer = await this._answer(call)
    if (fate.lose) return
    if (call.path === '/api/kv-txn') return this.group.push({ res, answer, body })
    setTimeout(() => reply(res, answer.status, answer.body ?? {}), fate.delayMs ?? ANSWER_MS)
  }

  _answerGroup () {
    const group = this.group.splice(0)
    for (const { res, answer } of group) reply(res, answer.status, answer.body ?? {})
    if (group.length) this.onAnswered(group.map(({ body }) => body))
  }

  async _answer ({ method, path, query, body }) {
    if (method === 'GET' && path === '/api/kv-key') {
      const item = this.items.get(query.get('key'))
      return item ? { status: 200, body: { ...item, as_of: this.revision } } : { status: 404 }
    }
    if (method === 'GET' && path === '/api/kv-range') {
      const prefix = query.get('prefix') ?? ''
      const after = query.get('after') ?? ''
      const found = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => a.key < b.key ? -1 : 1)
      return { status: 200, body: { items: found.slice(0, PAGE_ITEMS), has_more: found.length > PAGE_ITEMS, as_of: this.revision } }
    }
    if (method === 'GET' && path === '/api/kv-watch') return this._watch(query)
    if (method === 'POST' && path === '/api/kv-txn') return this._txn(body)
    if (method === 'POST' && path === '/api/kv-lease') {
      const lease = this.nextLease++
      this.leases.set(lease, { ttlMs: body.ttl_ms, endsAt: Date.now() + body.ttl_ms })
      return { status: 200, body: { lease, ttl_ms: body.ttl_ms } }
    }
    const [, kind, id] = /^\/api\/(kv-keep|kv-lease-end)\/(\d+)$/.exec(path) ?? []
    const lease = this.leases.get(Number(id))
    if (method === 'POST' && kind === 'kv-keep') {
      if (!lease) return { status: 404 }
      lease.endsAt = Date.now() + lease.ttlMs
      return { status: 200, body: { ttl_ms: lease.ttlMs } }
    }
    if (method === 'DELETE' && kind === 'kv-lease-end') {
      if (lease) this._endLease(Number(id))
      return { status: 200 }
    }
    return { status: 404 }
  }

  _txn ({ expect = [], puts = [], deletes = [] }) {
    if (expect.length + puts.length + deletes.length > 32) return { status: 400 }
    if (puts.some(({ lease }) => lease && !this.leases.has(lease))) return { status: 404 }
    const failed = expect.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision)
    if (failed) return { status: 412, body: { items: expect.flatMap(({ key }) => this.items.get(key) ?? []) } }
    return { status: 200, body: { revision: this._apply(puts, deletes) } }
  }

  _apply (puts, deletes) {
    const revision = ++this.revision
    for (const { key, value, lease = 0 } of puts) {
      const item = { key, value, revision, created: this.items.get(key)?.created ?? revision, lease }
      this.items.set(key, item)
      this.history.push(item)
    }
    for (const key of deletes) {
      if (!this.items.delete(key)) continue
      this.history.push({ key, revision, tombstone: true })
    }
    for (const waiter of [...this.waiters]) waiter()
    for (const listener of this.listeners) listener({ puts: puts.map(({ key }) => key), deletes, revision })
    return revision
  }

  _watch (query) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const found = () => this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix))
    const answer = () => ({ status: 200, body: { events: found(), as_of: this.revision } })
    if (found().length) return answer()
    return new Promise(resolve => {
      const done = () => {
        clearTimeout(timer)
        this.waiters.delete(check)
        resolve(answer())
      }
      const check = () => { if (found().length) done() }
      const timer = setTimeout(done, Number(query.get('wait_ms')))
      this.waiters.add(check)
    })
  }

  _expireLeases () {
    for (const [id, { endsAt }] of this.leases) if (endsAt <= Date.now()) this._endLease(id)
  }

  _endLease (id) {
    this.leases.delete(id)
    const keys = [...this.items.values()].filter(({ lease }) => lease === id).map(({ key }) => key)
    if (keys.length) this._apply([], keys)
  }
}

function reply (res, status, body) {
  if (res.destroyed) return
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}
