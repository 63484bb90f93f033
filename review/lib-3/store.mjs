/**
 * Stand-in of the platform's store, by its published interface. One process; each daemon has a port of its own, so that the store
 * knows which daemon was the last to write under a condition. Started by `cell.mjs`, which passes the settings as the first argument.
 */

import { createServer } from 'node:http'

const { host, daemonPorts, operatorPort, valueBytes, ttlMinMs } = JSON.parse(process.argv[2])

const MAX_TXN_ENTRIES = 32
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const HISTORY_EVENTS = 200_000
const EXPIRY_PERIOD_MS = 20
const MAX_TTL_MS = 600_000

const items = new Map()
const leases = new Map()
let events = []
let forgottenRevision = 0
let revision = 1
let nextLease = 1
/** Number of the daemon whose transaction with a condition was carried out last. */
let lastConditionalWriter = -1
/** Answers of the store by status, and its largest refused value, for the record. */
const counts = { tooLarge: 0, largestRefusedBytes: 0 }
const waiting = new Set()

const send = (res, status, body = {}) => res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))

function apply (puts, deletes) {
  revision++
  for (const { key, value, lease = 0 } of puts) {
    const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease }
    items.set(key, item)
    events.push(item)
  }
  for (const key of deletes) {
    if (items.delete(key)) events.push({ key, revision, tombstone: true })
  }
  if (events.length > HISTORY_EVENTS) {
    events = events.slice(-HISTORY_EVENTS / 2)
    forgottenRevision = events[0].revision - 1
  }
  for (const check of [...waiting]) check()
}

const eventsOf = (prefix, after) => events.filter(event => event.revision > after && event.key.startsWith(prefix))

const base64Bytes = text => Math.floor(text.length * 3 / 4) - (text.endsWith('==') ? 2 : text.endsWith('=') ? 1 : 0)

function txn (res, { expect = [], puts = [], deletes = [] }, writer) {
  if (expect.length + puts.length + deletes.length > MAX_TXN_ENTRIES) return send(res, 400)
  const largest = Math.max(0, ...puts.map(({ value }) => base64Bytes(value)))
  if (largest > valueBytes) {
    counts.tooLarge++
    counts.largestRefusedBytes = Math.max(counts.largestRefusedBytes, largest)
    return send(res, 400)
  }
  const isDaemon = writer >= 0
  if (isDaemon && [...puts.map(({ key }) => key), ...deletes].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return send(res, 403)
  const holds = expect.every(({ key, revision: expected }) => (items.get(key)?.revision ?? 0) === expected)
  if (!holds) return send(res, 412, { items: expect.map(({ key }) => items.get(key)).filter(item => item) })
  if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) return send(res, 404)
  apply(puts, deletes)
  if (isDaemon && expect.length > 0) lastConditionalWriter = writer
  send(res, 200, { revision })
}

function range (res, query) {
  const [prefix, after] = [query.get('prefix'), query.get('after') ?? '']
  const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
  const page = []
  let bytes = 0
  for (const item of found) {
    if (page.length === PAGE_ITEMS || (page.length > 0 && bytes + item.value.length > PAGE_BYTES)) break
    page.push(item)
    bytes += item.value.length
  }
  send(res, 200, { items: page, has_more: page.length < found.length, as_of: revision })
}

function watch (req, res, query) {
  const [prefix, after] = [query.get('prefix'), Number(query.get('after'))]
  if (after < forgottenRevision) return send(res, 410)
  let seen = after
  const check = () => {
    const found = eventsOf(prefix, seen)
    seen = revision
    if (found.length === 0) return
    finish(found)
  }
  const finish = found => {
    waiting.delete(check)
    clearTimeout(timer)
    if (!res.writableEnded && !res.destroyed) send(res, 200, { events: found, as_of: revision })
  }
  const timer = setTimeout(() => finish([]), Number(query.get('wait_ms') ?? 0))
  req.once('close', () => { waiting.delete(check); clearTimeout(timer) })
  waiting.add(check)
  check()
}

function endLease (lease) {
  if (!leases.delete(lease)) return false
  const keys = [...items.values()].filter(item => item.lease === lease).map(({ key }) => key)
  if (keys.length > 0) apply([], keys)
  return true
}

setInterval(() => {
  for (const [lease, { endMs }] of leases) if (performance.now() >= endMs) endLease(lease)
}, EXPIRY_PERIOD_MS)

async function serve (req, res, writer) {
  const chunks = await req.toArray().catch(() => undefined)
  if (!chunks) return
  const { pathname, searchParams: query } = new URL(req.url, 'http://store')
  const text = Buffer.concat(chunks).toString()
  const body = text ? JSON.parse(text) : {}
  const call = `${req.method} ${pathname.replace(/\/\d+$/, '')}`
  const lease = Number(/\/(\d+)$/.exec(pathname)?.[1] ?? 0)
  if (call === 'GET /api/kv-key') {
    const item = items.get(query.get('key'))
    return item ? send(res, 200, { ...item, as_of: revision }) : send(res, 404, { as_of: revision })
  }
  if (call === 'GET /api/kv-range') return range(res, query)
  if (call === 'GET /api/kv-watch') return watch(req, res, query)
  if (call === 'POST /api/kv-txn') return txn(res, body, writer)
  if (call === 'POST /api/kv-lease') {
    const ttlMs = Math.min(Math.max(body.ttl_ms, ttlMinMs), MAX_TTL_MS)
    leases.set(nextLease, { ttlMs, endMs: performance.now() + ttlMs })
    return send(res, 200, { lease: nextLease++, ttl_ms: ttlMs })
  }
  if (call === 'POST /api/kv-keep') {
    const known = leases.get(lease)
    if (!known) return send(res, 404)
    known.endMs = performance.now() + known.ttlMs
    return send(res, 200, { ttl_ms: known.ttlMs })
  }
  if (call === 'DELETE /api/kv-lease-end') return send(res, endLease(lease) ? 200 : 404)
  if (call === 'GET /status' && writer < 0) return send(res, 200, { revision, lastConditionalWriter, counts })
  send(res, 404)
}

const listen = (port, writer) => new Promise(resolve => {
  createServer({ keepAliveTimeout: 120_000 }, (req, res) => { serve(req, res, writer) }).listen(port, host, resolve)
})
await Promise.all([listen(operatorPort, -1), ...daemonPorts.map((port, index) => listen(port, index))])
process.send?.({ ready: true })
process.once('disconnect', () => process.exit())
