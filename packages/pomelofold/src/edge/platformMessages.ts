/**
 * Messages of the platform's key-value service, which has the interface of a subset of the etcd v3 JSON gateway.
 * Keys and values are in base64, 64-bit integers are decimal strings, and durations of leases are in seconds.
 * The service omits fields that have their default value.
 *
 * @module
 */

import { z } from 'zod'
import { vmRecordSchema } from '../protocol/vms.js'
import type { Change, Guard, StoredValue, WatchEvent } from '../seams/platformClient.js'

const int64Schema = z.union([z.string().regex(/^-?\d+$/), z.number().int()]).default('0').transform(Number)
const base64Schema = z.string().default('').transform(text => Buffer.from(text, 'base64').toString('utf8'))
const headerSchema = z.object({ revision: int64Schema })

const keyValueSchema = z.object({
  key: base64Schema,
  value: base64Schema,
  create_revision: int64Schema,
  mod_revision: int64Schema
})

/** Answer of `POST /v3/kv/range`. */
export const rangeAnswerSchema = z.object({ header: headerSchema, kvs: z.array(keyValueSchema).default([]) })
  .transform(({ header, kvs }) => ({ revision: header.revision, values: kvs.map(decodeKeyValue) }))

/** Answer of `POST /v3/kv/txn`. */
export const txnAnswerSchema = z.object({ header: headerSchema, succeeded: z.boolean().default(false) })
  .transform(({ header, succeeded }) => ({ applied: succeeded, revision: header.revision }))

const leaseSchema = z.object({ ID: z.string().regex(/^\d+$/), TTL: int64Schema })
  .transform(({ ID, TTL }) => ({ leaseId: ID, ttlMs: Math.max(0, TTL) * 1_000 }))

/** Answer of `POST /v3/lease/grant`. */
export const grantAnswerSchema = leaseSchema

/** Answer of `POST /v3/lease/keepalive`. */
export const keepAliveAnswerSchema = z.object({ result: leaseSchema }).transform(({ result }) => ({ ttlMs: result.ttlMs }))

/** Answer of `POST /v3/lease/revoke`. */
export const revokeAnswerSchema = z.object({ header: headerSchema }).transform(() => undefined)

/** One line of the answer of `POST /v3/watch`. */
export const watchLineSchema = z.object({
  result: z.object({
    header: headerSchema,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    cancel_reason: z.string().default(''),
    compact_revision: int64Schema,
    events: z.array(z.object({ type: z.enum(['PUT', 'DELETE']).default('PUT'), kv: keyValueSchema })).default([])
  })
})

/** Answer of `GET /vms`. */
export const vmsAnswerSchema = z.object({ vms: z.array(vmRecordSchema) }).transform(({ vms }) => vms)

/** Body of an error answer. `code` is a gRPC status code. */
export const errorAnswerSchema = z.object({ code: z.number().int(), message: z.string().default(''), error: z.string().default('') })

/** Encodes a text as UTF-8 in base64. */
export function encodeBase64 (text: string): string {
  return Buffer.from(text, 'utf8').toString('base64')
}

/** Returns the request fields that select all keys that start with `prefix`. */
export function prefixRange (prefix: string): { key: string, range_end: string } {
  const key = Buffer.from(prefix, 'utf8')
  const last = key.findLastIndex(byte => byte < 0xff)
  if (last < 0) return { key: encodeBase64('\0'), range_end: encodeBase64('\0') }
  const end = Buffer.from(key.subarray(0, last + 1))
  end[last]++
  return { key: key.toString('base64'), range_end: end.toString('base64') }
}

/** Builds the body of `POST /v3/kv/txn`. */
export function txnBody (guards: Guard[], changes: Change[]): object {
  return {
    compare: guards.map(({ key, modRevision }) => ({ key: encodeBase64(key), target: 'MOD', result: 'EQUAL', mod_revision: String(modRevision) })),
    success: changes.map(change => CHANGE_BODIES[change.op](change as never))
  }
}

/** Decodes the events in one line of a watch. */
export function decodeWatchEvents ({ result }: z.infer<typeof watchLineSchema>): WatchEvent[] {
  return result.events.map(({ type, kv }) => {
    const event = { key: kv.key, revision: kv.mod_revision }
    return type === 'DELETE' ? event : { ...event, value: decodeKeyValue(kv) }
  })
}

const CHANGE_BODIES = {
  put: ({ key, value, leaseId = '0' }: Change & { op: 'put' }) => ({ request_put: { key: encodeBase64(key), value: encodeBase64(value), lease: leaseId } }),
  delete: ({ key }: Change & { op: 'delete' }) => ({ request_delete_range: { key: encodeBase64(key) } })
}

function decodeKeyValue (kv: z.infer<typeof keyValueSchema>): StoredValue {
  return { key: kv.key, value: kv.value, createRevision: kv.create_revision, modRevision: kv.mod_revision }
}
