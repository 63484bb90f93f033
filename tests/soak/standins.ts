/**
 * HTTP stand-in for the platform's store, with the interface that the platform's pages describe.
 *
 * @module
 */

import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import type { StoredValue } from 'pomelofold/seams/platformClient'
import type { Timers } from 'pomelofold/seams/timers'

/** Status and body of an answer; undefined leaves the call unanswered. */
export type Answer = { status: number, body?: object } | undefined
type Call = { path: string, query: URLSearchParams, body: any }
type Handler = (call: Call) => Promise<Answer>

/** HTTP server that passes JSON calls to a handler and answers with JSON. */
export class JsonServer {
  private readonly _server: Server

  constructor (answer: Handler) {
    this._server = createServer((req, res) => { this._serve(req, res, answer) })
  }

  async listen (host: string, port: number): Promise<void> {
    this._server.listen(port, host)
    await once(this._server, 'listening')
  }

  close (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  private async _serve (req: IncomingMessage, res: ServerResponse, answer: Handler): Promise<void> {
    try {
      const chunks = await req.toArray()
      const { pathname, searchParams } = new URL(req.url!, 'http://h')
      const text = Buffer.concat(chunks).toString()
      const answered = await answer({ path: `${req.method} ${pathname}`, query: searchParams, body: text ? JSON.parse(text) : {} })
      if (!answered) return
      res.writeHead(answered.status, { 'content-type': 'application/json' }).end(JSON.stringify(answered.body ?? {}))
    } catch (err) {
      // The caller has closed the connection, or has sent a call that the program never sends.
      res.destroy(err as Error)
    }
  }
}

const ENTRIES_PER_PAGE = 500

/** HTTP server of a key-value store. */
export class StoreServer {
  readonly store: KeyValueStore
  /** `down` refuses every call; `losing` carries transactions out without answering them. */
  fault: 'none' | 'down' | 'losing' = 'none'
  readonly server = new JsonServer(call => this._answer(call))

  constructor ({ timers }: { timers: Timers }) {
    this.store = new KeyValueStore({ timers })
  }

  private async _answer (call: Call): Promise<Answer> {
    if (this.fault === 'down') return { status: 503 }
    const losing = this.fault === 'losing' && call.path === 'POST /api/kv-txn'
    const name = call.path.replace(/\/\d+$/, '')
    const answer = await this._handlers[name]?.(call) ?? { status: 404 }
    return losing ? undefined : answer
  }

  private readonly _handlers: Record<string, (call: Call) => Promise<Answer> | Answer> = {
    'GET /api/kv-key': ({ query }) => {
      const value = this.store.get(query.get('key')!)
      return value ? { status: 200, body: { ...encodeEntry(value), as_of: this.store.revision } } : { status: 404 }
    },
    'GET /api/kv-range': ({ query }) => {
      const { values, revision } = this.store.range(query.get('prefix')!)
      const rest = values.filter(({ key }) => key > (query.get('after') ?? ''))
      const page = rest.slice(0, ENTRIES_PER_PAGE)
      return { status: 200, body: { items: page.map(encodeEntry), has_more: rest.length > page.length, as_of: revision } }
    },
    'GET /api/kv-watch': ({ query }) => this._watch(query.get('prefix')!, Number(query.get('after')), Number(query.get('wait_ms'))),
    'POST /api/kv-txn': ({ body }) => {
      const puts = body.puts.map(({ key, value, lease }: { key: string, value: string, lease: number }) => ({
        op: 'put', key, value: Buffer.from(value, 'base64').toString(), leaseId: lease ? String(lease) : undefined
      }))
      const deletes = body.deletes.map((key: string) => ({ op: 'delete', key }))
      const guards = body.expect.map(({ key, revision }: { key: string, revision: number }) => ({ key, modRevision: revision }))
      if (guards.length + puts.length + deletes.length > 32) return { status: 400 }
      try {
        const { applied, revision } = this.store.txn(guards, [...puts, ...deletes])
        return applied ? { status: 200, body: { revision } } : { status: 412 }
      } catch {
        // A transaction of the program fails here only when its lease has ended.
        return { status: 404 }
      }
    },
    'POST /api/kv-lease': ({ body }) => {
      const { leaseId, ttlMs } = this.store.grantLease(body.ttl_ms)
      return { status: 200, body: { lease: Number(leaseId), ttl_ms: ttlMs } }
    },
    'POST /api/kv-keep': ({ path }) => {
      const { ttlMs } = this.store.keepAlive(path.split('/').at(-1)!)
      return ttlMs ? { status: 200, body: { ttl_ms: ttlMs } } : { status: 404 }
    },
    'DELETE /api/kv-lease-end': ({ path }) => {
      this.store.revokeLease(path.split('/').at(-1)!)
      return { status: 200 }
    }
  }

  private async _watch (prefix: string, after: number, waitMs: number): Promise<Answer> {
    const events: object[] = []
    let resolveWait = (): void => {}
    const watch = this.store.watch(prefix, after + 1, found => {
      events.push(...found.map(({ key, value, revision }) => value ? encodeEntry(value) : { key, revision, tombstone: true }))
      resolveWait()
    })
    if (events.length === 0) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, waitMs)
        resolveWait = () => { clearTimeout(timer); resolve() }
      })
    }
    watch.close()
    return { status: 200, body: { events, as_of: this.store.revision } }
  }
}

function encodeEntry ({ key, value, createRevision, modRevision }: StoredValue): object {
  return { key, value: Buffer.from(value).toString('base64'), revision: modRevision, created: createRevision, lease: 0 }
}
