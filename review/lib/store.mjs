/**
 * Stand-in for the platform's metadata store, after the users' page on the protocol.
 *
 * @module
 */

import { readJson, respond, startServer } from './http.mjs'

const MAX_ITEMS = 500
const MAX_ENTRIES = 32
const MAX_WAIT_MS = 30_000

/** Key-value store with a revision counter, leases, watches and conditional transactions. */
export class Store {
  #items = new Map()
  #events = []
  #leases = new Map()
  #waiting = new Set()
  #lastLease = 0
  #silent = new WeakSet()
  #server
  revision = 1
  /** Tells which calls are carried out and not answered, by method with path and by query. */
  losesAnswer = () => false
  /** Numbers of the calls whose answers were lost, and of the others. */
  counts = { lost: 0, answered: 0 }

  async listen (port) {
    this.#server = await startServer(port, (req, res) => this.#handle(req, res))
  }

  close () {
    for (const { timer } of this.#leases.values()) clearTimeout(timer)
    for (const wake of this.#waiting) wake()
    this.#server?.closeAllConnections()
    this.#server?.close()
  }

  /** Value of a key as parsed JSON; undefined when it is absent. */
  read (key) {
    const item = this.#items.get(key)
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString())
  }

  /** Writes for the operator or a server, which do not go through the daemons. */
  write (key, value) {
    this.#apply([{ key, value: Buffer.from(JSON.stringify(value)).toString('base64'), lease: 0 }], [])
  }

  remove (key) {
    if (this.#items.has(key)) this.#apply([], [key])
  }

  #apply (puts, deletes) {
    this.revision++
    for (const { key, value, lease } of puts) {
      const created = this.#items.get(key)?.created ?? this.revision
      const item = { key, value, revision: this.revision, created, lease: lease ?? 0 }
      this.#items.set(key, item)
      this.#events.push(item)
    }
    for (const key of deletes) {
      if (this.#items.delete(key)) this.#events.push({ key, revision: this.revision, tombstone: true })
    }
    for (const wake of [...this.#waiting]) wake()
  }

  #startLease (id, ttlMs) {
    clearTimeout(this.#leases.get(id)?.timer)
    this.#leases.set(id, { ttlMs, timer: setTimeout(() => this.#endLease(id), ttlMs) })
  }

  #endLease (id) {
    clearTimeout(this.#leases.get(id)?.timer)
    this.#leases.delete(id)
    const keys = [...this.#items.values()].filter(({ lease }) => lease === id).map(({ key }) => key)
    if (keys.length) this.#apply([], keys)
  }

  async #handle (req, res) {
    const { pathname, searchParams } = new URL(req.url, 'http://store')
    const body = await readJson(req)
    const name = `${req.method} ${pathname.replace(/\/\d+$/, '')}`
    const answer = await this.#handlers[name]?.({ query: searchParams, body, id: Number(pathname.split('/').at(-1)) })
    // A connection on which an answer is lost returns nothing further.
    if (this.#silent.has(req.socket) || this.losesAnswer(name, searchParams)) {
      this.#silent.add(req.socket)
      this.counts.lost++
      return
    }
    this.counts.answered++
    respond(res, answer ?? { status: 404 })
  }

  #handlers = {
    'GET /api/kv-key': ({ query }) => {
      const item = this.#items.get(query.get('key'))
      return item ? { status: 200, body: { ...item, as_of: this.revision } } : { status: 404 }
    },
    'GET /api/kv-range': ({ query }) => {
      const after = query.get('after') ?? ''
      const found = [...this.#items.values()].filter(({ key }) => key.startsWith(query.get('prefix')) && key > after)
      found.sort((a, b) => a.key < b.key ? -1 : 1)
      return { status: 200, body: { items: found.slice(0, MAX_ITEMS), has_more: found.length > MAX_ITEMS, as_of: this.revision } }
    },
    'GET /api/kv-watch': async ({ query }) => {
      const after = Number(query.get('after'))
      const find = () => this.#events.filter(({ key, revision }) => revision > after && key.startsWith(query.get('prefix')))
      const endMs = Date.now() + Math.min(Number(query.get('wait_ms')), MAX_WAIT_MS)
      let events = find()
      while (events.length === 0 && Date.now() < endMs) {
        await this.#nextChange(endMs - Date.now())
        events = find()
      }
      return { status: 200, body: { events, as_of: this.revision } }
    },
    'POST /api/kv-txn': ({ body: { expect = [], puts = [], deletes = [] } }) => {
      if (expect.length + puts.length + deletes.length > MAX_ENTRIES) return { status: 400 }
      if ([...puts.map(({ key }) => key), ...deletes].some(key => /^(op|servers)\//.test(key))) return { status: 403 }
      const revisionOf = key => this.#items.get(key)?.revision ?? 0
      if (expect.some(({ key, revision }) => revisionOf(key) !== revision)) {
        return { status: 412, body: { items: expect.map(({ key }) => this.#items.get(key)).filter(Boolean) } }
      }
      if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) return { status: 404 }
      if (puts.length || deletes.length) this.#apply(puts, deletes)
      return { status: 200, body: { revision: this.revision } }
    },
    'POST /api/kv-lease': ({ body }) => {
      const id = ++this.#lastLease
      this.#startLease(id, body.ttl_ms)
      return { status: 200, body: { lease: id, ttl_ms: body.ttl_ms } }
    },
    'POST /api/kv-keep': ({ id }) => {
      const lease = this.#leases.get(id)
      if (!lease) return { status: 404 }
      this.#startLease(id, lease.ttlMs)
      return { status: 200, body: { ttl_ms: lease.ttlMs } }
    },
    'DELETE /api/kv-lease-end': ({ id }) => {
      this.#endLease(id)
      return { status: 200, body: {} }
    }
  }

  #nextChange (waitMs) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer)
        this.#waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.#waiting.add(wake)
    })
  }
}
