/**
 * Client of the platform over HTTP: the etcd v3 JSON gateway of its key-value service, and `GET /vms`.
 *
 * @module
 */

import { Client } from 'undici'
import Result from 'true-myth/result'
import { z } from 'zod'
import { HttpCaller, MAX_READ_TRANSFER_MS, TCP_KEEP_ALIVE_DELAY_MS, type HttpAnswer } from './httpCaller.js'
import * as messages from './platformMessages.js'
import type { VmRecord } from '../protocol/vms.js'
import type {
  ListVmsOptions,
  CallOptions, Change, Guard, PlatformClient, RangeResult, StoredValue, TxnOutcome, Watch, WatchHandlers
} from '../seams/platformClient.js'
import type { Timers } from '../seams/timers.js'
import { CallError, EFFECTS, errorText } from '../utils/errors.js'

/** Options of an {@link HttpPlatformClient}. */
export interface HttpPlatformClientOptions {
  timers: Timers
  /** `host:port` of the platform. */
  address: string
  /** Deadline of calls that do not state one, in milliseconds. */
  timeoutMs?: number
  /** Maximum number of open connections, not counting those of watches. */
  connections?: number
}

interface PlatformCall<T> {
  step: string
  path: string
  body?: object
  schema: z.ZodType<T>
  maxTransferMs?: number
  mutates: boolean
}

/** Maximum size of an answer's body, in bytes. */
const MAX_ANSWER_BYTES = 64_000_000

/** HTTP status of an answer to a conditional request whose content has not changed. */
const NOT_MODIFIED_STATUS = 304

/** Maximum length of a line of a watch, in characters. */
const MAX_WATCH_LINE_CHARS = 64_000_000

/** gRPC status codes that mean that the service refused the call and that it had no effect. */
const REFUSAL_CODES = new Set([
  3, // INVALID_ARGUMENT
  5, // NOT_FOUND
  7, // PERMISSION_DENIED
  8, // RESOURCE_EXHAUSTED
  9, // FAILED_PRECONDITION
  11, // OUT_OF_RANGE
  16 // UNAUTHENTICATED
])

/**
 * {@link PlatformClient} over HTTP. It does not retry calls, so that nothing is sent twice. The effect of a failed call is
 * `none` when its request was never sent, when it only reads, or when the service refused it with one of
 * {@link REFUSAL_CODES}.
 */
export class HttpPlatformClient implements PlatformClient {
  private readonly _caller: HttpCaller
  private readonly _address: string
  private readonly _timeoutMs: number
  /** Last lists by path, for conditional requests. */
  private readonly _lastVmLists = new Map<string, { etag: string, vms: VmRecord[] }>()
  private readonly _watches = new Set<Watch>()

  constructor ({ timers, address, timeoutMs = 1_000, connections = 8 }: HttpPlatformClientOptions) {
    this._caller = new HttpCaller({ timers, connections, maxAnswerBytes: MAX_ANSWER_BYTES })
    this._address = address
    this._timeoutMs = timeoutMs
  }

  range (prefix: string, options?: CallOptions): Promise<Result<RangeResult, CallError>> {
    return this._call({
      step: 'platform.range',
      path: '/v3/kv/range',
      body: { ...messages.prefixRange(prefix), sort_order: 'ASCEND', sort_target: 'KEY' },
      schema: messages.rangeAnswerSchema,
      maxTransferMs: MAX_READ_TRANSFER_MS,
      mutates: false
    }, options)
  }

  async get (key: string, options?: CallOptions): Promise<Result<StoredValue | undefined, CallError>> {
    const result = await this._call({
      step: 'platform.get',
      path: '/v3/kv/range',
      body: { key: messages.encodeBase64(key) },
      schema: messages.rangeAnswerSchema,
      mutates: false
    }, options)
    return result.map(({ values }) => values.find(value => value.key === key))
  }

  txn (guards: Guard[], changes: Change[], options?: CallOptions): Promise<Result<TxnOutcome, CallError>> {
    return this._call({
      step: 'platform.txn',
      path: '/v3/kv/txn',
      body: messages.txnBody(guards, changes),
      schema: messages.txnAnswerSchema,
      mutates: true
    }, options)
  }

  grantLease (ttlMs: number, options?: CallOptions): Promise<Result<{ leaseId: string, ttlMs: number }, CallError>> {
    return this._call({
      step: 'platform.grantLease',
      path: '/v3/lease/grant',
      body: { TTL: String(Math.ceil(ttlMs / 1_000)) },
      schema: messages.grantAnswerSchema,
      mutates: true
    }, options)
  }

  keepAlive (leaseId: string, options?: CallOptions): Promise<Result<{ ttlMs: number }, CallError>> {
    return this._call({
      step: 'platform.keepAlive',
      path: '/v3/lease/keepalive',
      body: { ID: leaseId },
      schema: messages.keepAliveAnswerSchema,
      mutates: true
    }, options)
  }

  revokeLease (leaseId: string, options?: CallOptions): Promise<Result<void, CallError>> {
    return this._call({
      step: 'platform.revokeLease',
      path: '/v3/lease/revoke',
      body: { ID: leaseId },
      schema: messages.revokeAnswerSchema,
      mutates: true
    }, options)
  }

  watch (prefix: string, fromRevision: number, handlers: WatchHandlers): Watch {
    const abort = new AbortController()
    const watch: Watch = {
      close: () => {
        this._watches.delete(watch)
        abort.abort()
      }
    }
    this._watches.add(watch)
    this._readWatch(prefix, fromRevision, handlers, abort.signal)
      .catch(errorText)
      .then(reason => {
        this._watches.delete(watch)
        if (!abort.signal.aborted) handlers.onEnd(reason)
      })
    return watch
  }

  /** Reads the list with a conditional request. Returns the previous list when it has not changed. */
  async listVms ({ failureDomain, timeoutMs = this._timeoutMs }: ListVmsOptions = {}): Promise<Result<VmRecord[], CallError>> {
    const path = failureDomain === undefined ? '/vms' : `/vms?failureDomain=${encodeURIComponent(failureDomain)}`
    const last = this._lastVmLists.get(path)
    const call = { step: 'platform.listVms', path, schema: messages.vmsAnswerSchema, mutates: false }
    const headers: Record<string, string> = last ? { 'if-none-match': last.etag } : {}
    const answer = await this._caller.call(this._address, { ...call, method: 'GET', headers, timeoutMs, maxTransferMs: MAX_READ_TRANSFER_MS })
    if (answer.isErr) return Result.err(answer.error)
    if (last && answer.value.status === NOT_MODIFIED_STATUS) return Result.ok(last.vms)
    const vms = this._parseAnswer(call, answer.value)
    const { etag } = answer.value.headers
    if (vms.isOk && etag !== undefined) this._lastVmLists.set(path, { etag, vms: vms.value })
    return vms
  }

  /** Ends all watches and closes all connections. */
  close (): Promise<void> {
    for (const watch of [...this._watches]) watch.close()
    return this._caller.close()
  }

  private async _call<T> (
    call: PlatformCall<T>, { timeoutMs = this._timeoutMs, onData }: CallOptions = {}
  ): Promise<Result<T, CallError>> {
    const { step, path, body, maxTransferMs, mutates } = call
    const result = await this._caller.call(this._address, {
      step,
      method: body ? 'POST' : 'GET',
      path,
      headers: body ? { 'content-type': 'application/json' } : {},
      body: body && JSON.stringify(body),
      timeoutMs,
      maxTransferMs,
      onData,
      mutates
    })
    return result.andThen(answer => this._parseAnswer(call, answer))
  }

  private _parseAnswer<T> ({ step, schema, mutates }: PlatformCall<T>, answer: HttpAnswer): Result<T, CallError> {
    const details = { step, peer: this._address, effect: mutates ? EFFECTS.unknown : EFFECTS.none }
    try {
      const json: unknown = JSON.parse(Buffer.from(answer.body).toString('utf8'))
      if (answer.status === 200) return Result.ok(schema.parse(json))
      const { code, message, error } = messages.errorAnswerSchema.parse(json)
      const effect = REFUSAL_CODES.has(code) ? EFFECTS.none : details.effect
      return Result.err(new CallError(`refused with code ${code}: ${message || error}`, { ...details, effect }))
    } catch (err) {
      const text = err instanceof z.ZodError ? z.prettifyError(err) : errorText(err)
      return Result.err(new CallError(`status ${answer.status} with an invalid answer: ${text}`, { ...details, cause: err }))
    }
  }

  /** Reads a watch, on a connection of its own, until it ends. Returns the reason for the end. */
  private async _readWatch (prefix: string, fromRevision: number, handlers: WatchHandlers, signal: AbortSignal): Promise<string> {
    const client = new Client(`http://${this._address}`, {
      connect: { timeout: this._timeoutMs, keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS },
      headersTimeout: this._timeoutMs,
      bodyTimeout: 0
    })
    try {
      const { statusCode, body } = await client.request({
        method: 'POST',
        path: '/v3/watch',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ create_request: { ...messages.prefixRange(prefix), start_revision: String(Math.max(1, fromRevision)) } }),
        signal
      })
      if (statusCode !== 200) return `refused with status ${statusCode}`
      for await (const line of readLines(body)) {
        const end = handleWatchLine(line, handlers, signal)
        if (end !== undefined) return end
      }
      return 'the platform closed the watch'
    } finally {
      await client.destroy()
    }
  }
}

/** Passes the events in one line of a watch to `handlers`. Returns the reason if the watch has ended. */
function handleWatchLine (line: string, handlers: WatchHandlers, signal: AbortSignal): string | undefined {
  const message = messages.watchLineSchema.parse(JSON.parse(line))
  const { canceled, cancel_reason: reason, compact_revision: compacted } = message.result
  if (compacted > 0) return `revisions before ${compacted} are no longer kept`
  if (canceled) return `cancelled by the platform: ${reason}`
  const events = messages.decodeWatchEvents(message)
  if (events.length && !signal.aborted) handlers.onEvents(events)
}

async function * readLines (chunks: AsyncIterable<Buffer>): AsyncGenerator<string> {
  const decoder = new TextDecoder()
  let incomplete = ''
  for await (const chunk of chunks) {
    const complete = (incomplete + decoder.decode(chunk, { stream: true })).split('\n')
    incomplete = complete.pop() ?? ''
    if (incomplete.length > MAX_WATCH_LINE_CHARS) throw new Error('the line of the watch is too long')
    yield * complete.filter(part => part.trim() !== '')
  }
}
