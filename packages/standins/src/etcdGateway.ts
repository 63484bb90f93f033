/**
 * Server side of a subset of the etcd v3 JSON gateway, backed by a {@link KeyValueStore}.
 *
 * @module
 */

import { z } from 'zod'
import type { Change, Guard, StoredValue, WatchEvent } from 'pomelofold/seams/platformClient'
import type { KeyValueStore } from './keyValueStore.js'

const base64Schema = z.string().default('').transform(text => Buffer.from(text, 'base64'))
const textSchema = base64Schema.transform(bytes => bytes.toString('utf8'))
const int64Schema = z.union([z.string(), z.number()]).default('0').transform(Number)
const leaseIdSchema = z.union([z.string(), z.number()]).transform(String)

const rangeSchema = z.object({ key: base64Schema, range_end: base64Schema })
const putSchema = z.object({ key: textSchema, value: textSchema, lease: leaseIdSchema.optional() })
const deleteSchema = z.object({ key: textSchema })
const txnSchema = z.object({
  compare: z.array(z.object({ key: textSchema, target: z.literal('MOD'), result: z.literal('EQUAL').default('EQUAL'), mod_revision: int64Schema })).default([]),
  success: z.array(z.union([z.object({ request_put: putSchema }), z.object({ request_delete_range: deleteSchema })])).default([])
})
const grantSchema = z.object({ TTL: int64Schema })
const leaseSchema = z.object({ ID: leaseIdSchema })
const watchSchema = z.object({ create_request: rangeSchema.extend({ start_revision: int64Schema }) })

/** Handlers of the gateway's unary calls (one response each), by path. Each throws on an invalid request. */
export const GATEWAY_CALLS: Record<string, { isWrite: boolean, handle: (store: KeyValueStore, body: unknown) => object }> = {
  '/v3/kv/range': {
    isWrite: false,
    handle: (store, body) => {
      const { key, range_end: rangeEnd } = rangeSchema.parse(body)
      if (rangeEnd.length > 0) {
        const { values, revision } = store.range(rangePrefix(key, rangeEnd))
        return { header: responseHeader(revision), kvs: values.map(gatewayValue), count: String(values.length) }
      }
      const value = store.get(key.toString('utf8'))
      return { header: responseHeader(store.revision), ...(value && { kvs: [gatewayValue(value)], count: '1' }) }
    }
  },
  '/v3/kv/txn': {
    isWrite: true,
    handle: (store, body) => {
      const { compare, success } = txnSchema.parse(body)
      const guards = compare.map(({ key, mod_revision: modRevision }): Guard => ({ key, modRevision }))
      const { applied, revision } = store.txn(guards, success.map(storeChange))
      return { header: responseHeader(revision), ...(applied && { succeeded: true }) }
    }
  },
  '/v3/lease/grant': {
    isWrite: true,
    handle: (store, body) => {
      const { leaseId, ttlMs } = store.grantLease(grantSchema.parse(body).TTL * 1_000)
      return { header: responseHeader(store.revision), ID: leaseId, TTL: String(ttlMs / 1_000) }
    }
  },
  '/v3/lease/keepalive': {
    isWrite: true,
    handle: (store, body) => {
      const { ID } = leaseSchema.parse(body)
      const { ttlMs } = store.keepAlive(ID)
      return { result: { header: responseHeader(store.revision), ID, ...(ttlMs > 0 && { TTL: String(ttlMs / 1_000) }) } }
    }
  },
  '/v3/lease/revoke': {
    isWrite: true,
    handle: (store, body) => {
      store.revokeLease(leaseSchema.parse(body).ID)
      return { header: responseHeader(store.revision) }
    }
  }
}

/**
 * Opens a watch and passes each line of the streamed response to `send` as an object. The watch is cancelled at once
 * when events from its start revision on are no longer kept.
 */
export function openWatch (store: KeyValueStore, body: unknown, send: (line: object) => void): { close: () => void } {
  const { key, range_end: rangeEnd, start_revision: startRevision } = watchSchema.parse(body).create_request
  const fromRevision = startRevision > 0 ? startRevision : store.revision + 1
  send({ result: { header: responseHeader(store.revision), watch_id: '0', created: true } })
  if (fromRevision < store.oldestWatchableRevision) {
    send({ result: { header: responseHeader(store.revision), watch_id: '0', canceled: true, compact_revision: String(store.oldestWatchableRevision) } })
    return { close () {} }
  }
  return store.watch(rangePrefix(key, rangeEnd), fromRevision, events => {
    send({ result: { header: responseHeader(store.revision), watch_id: '0', events: events.map(gatewayEvent) } })
  })
}

function responseHeader (revision: number): object {
  return { cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '1' }
}

function storeChange (request: z.infer<typeof txnSchema>['success'][number]): Change {
  if ('request_delete_range' in request) return { op: 'delete', key: request.request_delete_range.key }
  const { key, value, lease } = request.request_put
  return { op: 'put', key, value, leaseId: lease === '0' ? undefined : lease }
}

/** Returns the prefix whose keys are exactly the range from `key` to `rangeEnd`. Throws on other ranges, which are not supported. */
function rangePrefix (key: Buffer, rangeEnd: Buffer): string {
  if (key.equals(Buffer.of(0)) && rangeEnd.equals(Buffer.of(0))) return ''
  const expectedEnd = Buffer.from(key)
  if (expectedEnd.length > 0) expectedEnd[expectedEnd.length - 1]++
  if (!expectedEnd.equals(rangeEnd)) throw new Error('only ranges that cover exactly one prefix are supported')
  return key.toString('utf8')
}

function gatewayValue ({ key, value, createRevision, modRevision }: StoredValue): object {
  return {
    key: Buffer.from(key).toString('base64'),
    value: Buffer.from(value).toString('base64'),
    create_revision: String(createRevision),
    mod_revision: String(modRevision)
  }
}

function gatewayEvent ({ key, value, revision }: WatchEvent): object {
  if (value) return { kv: gatewayValue(value) }
  return { type: 'DELETE', kv: { key: Buffer.from(key).toString('base64'), mod_revision: String(revision) } }
}
