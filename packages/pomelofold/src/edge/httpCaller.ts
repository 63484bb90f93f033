/**
 * HTTP calls whose errors state whether the call can have reached the server.
 *
 * @module
 */

import { Pool, type Dispatcher } from 'undici'
import Result from 'true-myth/result'
import { describeMalformedCall } from './httpCallCheck.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'
import { CallError, CallTimeoutError, EFFECTS, type CallErrorOptions, type Effect, type PartialAnswer } from '../utils/errors.js'
import { ManualPromise } from '../utils/manualPromise.js'

/** Options of an {@link HttpCaller}. */
export interface HttpCallerOptions {
  timers: Timers
  /** Maximum number of connections to one address. Further calls wait for a free connection until their deadline. */
  connections?: number
  /** Timeout for opening a TCP connection, in milliseconds. */
  connectTimeoutMs?: number
  /** Maximum size of an answer's body, in bytes. */
  maxAnswerBytes?: number
  /** Time without calls after which the connections to an address are closed, in milliseconds. */
  idleTimeoutMs?: number
}

/** One HTTP call. */
export interface HttpCall {
  /** Name of the call in error messages. */
  step: string
  method: string
  path: string
  headers?: Record<string, string>
  body?: Uint8Array | string
  /**
   * Longest time until the answer is complete, in milliseconds; with `maxTransferMs`, the longest time without progress: until the
   * headers, and then without {@link PROGRESS_BYTES} of the body.
   */
  timeoutMs: number
  /** Longest time until the answer is complete, in milliseconds, for answers whose size is not known. Defaults to `timeoutMs`. */
  maxTransferMs?: number
  /** Called whenever a part of the answer has arrived. */
  onData?: () => void
  /** Maximum size of the answer's body, in bytes. Defaults to the limit of the caller. */
  maxAnswerBytes?: number
  /** False for a call that only reads: its errors always have the effect `none`. Defaults to true. */
  mutates?: boolean
}

/** A complete HTTP answer. Header names are in lower case. */
export interface HttpAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}

type LimitedCall = HttpCall & { maxAnswerBytes: number }

type RawHeaders = Record<string, string | string[] | undefined>

interface PoolEntry {
  pool: Pool
  callsInFlight: number
  lastUsedMs: number
}

/** Delay until the first TCP keep-alive probe on a connection, in milliseconds. */
export const TCP_KEEP_ALIVE_DELAY_MS = 5_000

/**
 * Longest time for the answer to a read of the store, in milliseconds: a megabyte and its encoding on a link of 1 Mbit/s. The
 * timeout of a read counts from its last progress, so that a transfer that goes on is not begun again.
 */
export const MAX_READ_TRANSFER_MS = 12_000

/** Part of an answer that counts as progress, in bytes. A connection on which less arrives within the timeout is as good as lost. */
const PROGRESS_BYTES = 16_384

/** `host:port`, with IPv6 addresses in brackets. */
const ADDRESS_PATTERN = /^(\[[0-9a-f:.]+\]|[a-z0-9.-]+):\d{1,5}$/i

/** Statuses of answers without a body. */
const BODILESS_STATUSES = new Set([204, 304])

/**
 * Sends calls over persistent connections, one call at a time on each. It does not retry calls, so that nothing is sent
 * twice. A failed call that mutates has the effect `none` only when its request was not written to a connected socket and
 * will not be written later.
 */
export class HttpCaller {
  private readonly _timers: Timers
  private readonly _pools = new Map<string, PoolEntry>()
  private readonly _connections: number
  private readonly _connectTimeoutMs: number
  private readonly _maxAnswerBytes: number
  private readonly _idleTimeoutMs: number
  private readonly _idleTimer: TimerSubscription
  private _closed = false

  constructor (
    { timers, connections = 64, connectTimeoutMs = 1_000, maxAnswerBytes = 1_000_000, idleTimeoutMs = 30_000 }: HttpCallerOptions
  ) {
    this._timers = timers
    this._connections = connections
    this._connectTimeoutMs = connectTimeoutMs
    this._maxAnswerBytes = maxAnswerBytes
    this._idleTimeoutMs = idleTimeoutMs
    this._idleTimer = timers.every(idleTimeoutMs, () => this._closeIdlePools())
  }

  /** Returns the addresses that have a connection pool. */
  addresses (): string[] {
    return [...this._pools.keys()]
  }

  /** Sends `call` to `address` (`host:port`) and waits for the complete answer. The promise never rejects. */
  async call (address: string, call: HttpCall): Promise<Result<HttpAnswer, CallError>> {
    const unsentDetails: CallErrorOptions = { step: call.step, peer: address, effect: EFFECTS.none }
    if (this._closed) return Result.err(new CallError('the client is closed', unsentDetails))
    const malformedReason = describeMalformedCall(call)
    if (malformedReason !== undefined) return Result.err(new CallError(malformedReason, unsentDetails))
    const entry = this._poolEntry(address)
    if (!entry) return Result.err(new CallError('the address is not valid', unsentDetails))
    entry.callsInFlight++
    const exchange = new Exchange(address, { maxAnswerBytes: this._maxAnswerBytes, ...call }, this._timers)
    exchange.startDeadline()
    entry.pool.dispatch({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: call.headers,
      body: call.body,
      headersTimeout: 0,
      bodyTimeout: 0
    }, exchange)
    const result = await exchange.result
    exchange.stopDeadline()
    entry.callsInFlight--
    entry.lastUsedMs = this._timers.now()
    return result
  }

  /** Closes all connections. Calls in flight fail. */
  async close (): Promise<void> {
    this._closed = true
    this._idleTimer.cancel()
    const entries = [...this._pools.values()]
    this._pools.clear()
    await Promise.all(entries.map(entry => entry.pool.destroy()))
  }

  /** Returns the pool of an address, opened if necessary. Undefined when the address is not `host:port`. */
  private _poolEntry (address: string): PoolEntry | undefined {
    const existing = this._pools.get(address)
    if (existing) return existing
    if (!URL.canParse(`http://${address}`) || !ADDRESS_PATTERN.test(address)) return
    const pool = new Pool(`http://${address}`, {
      connections: this._connections,
      pipelining: 1,
      connect: { timeout: this._connectTimeoutMs, keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS }
    })
    const entry = { pool, callsInFlight: 0, lastUsedMs: this._timers.now() }
    this._pools.set(address, entry)
    return entry
  }

  private _closeIdlePools (): void {
    const idleSinceMs = this._timers.now() - this._idleTimeoutMs
    for (const [address, entry] of this._pools) {
      if (entry.callsInFlight > 0 || entry.lastUsedMs > idleSinceMs) continue
      this._pools.delete(address)
      entry.pool.destroy().catch(() => {})
    }
  }
}

/** One call in progress: collects the answer, and records whether the request was passed to a socket. */
class Exchange implements Dispatcher.DispatchHandler {
  private readonly _address: string
  private readonly _call: LimitedCall
  private readonly _timers: Timers
  private readonly _startedMs: number
  private _deadlineMs: number
  private _deadlineTimer: TimerSubscription | undefined
  private readonly _result = new ManualPromise<Result<HttpAnswer, CallError>>()
  private readonly _chunks: Buffer[] = []
  private _controller: Dispatcher.DispatchController | undefined
  private _status = 0
  private _headers: Record<string, string> = {}
  private _receivedBytes = 0
  /** Bytes that had been received at the last progress; undefined before the headers. */
  private _progressBytes: number | undefined

  constructor (address: string, call: LimitedCall, timers: Timers) {
    this._address = address
    this._call = call
    this._timers = timers
    this._startedMs = timers.now()
    this._deadlineMs = this._startedMs + call.timeoutMs
  }

  /** Resolves with the answer or the error. */
  get result (): Promise<Result<HttpAnswer, CallError>> {
    return this._result.promise
  }

  /** Ends the call at its deadline, which a part of the answer may move. */
  startDeadline (): void {
    this._deadlineTimer = this._timers.after(this._deadlineMs - this._timers.now(), () => {
      if (this._timers.now() < this._deadlineMs) this.startDeadline()
      else this._timeOut()
    })
  }

  stopDeadline (): void {
    this._deadlineTimer?.cancel()
  }

  /** undici calls this before it writes the request to a connected socket. Aborts calls that have ended, and a second send. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    // After a pause of the process, the connection can be ready before the deadline's timer has fired.
    if (!this._controller && this._timers.now() >= this._deadlineMs) this._timeOut()
    if (this._controller || this._result.isSettled()) {
      this._abort(new CallError('the connection was lost', this._details()))
      controller.abort(new Error('the call has ended'))
      return
    }
    this._controller = controller
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: RawHeaders): void {
    if (status < 200) return
    this._status = status
    this._headers = joinHeaderValues(headers)
    this._noteData()
    const hasLength = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
    if (hasLength || BODILESS_STATUSES.has(status) || this._call.method === 'HEAD') return
    this._abort(new CallError('the answer does not state its length', this._details()))
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this._receivedBytes += chunk.length
    if (this._receivedBytes > this._call.maxAnswerBytes) {
      return this._abort(new CallError(`the answer is over ${this._call.maxAnswerBytes} bytes`, this._details()))
    }
    this._chunks.push(chunk)
    this._noteData()
  }

  onResponseEnd (): void {
    this._result.resolve(Result.ok({ status: this._status, headers: this._headers, body: Buffer.concat(this._chunks) }))
  }

  onResponseError (_controller: Dispatcher.DispatchController, err: Error): void {
    this._result.resolve(Result.err(new CallError(connectionErrorText(err), this._details(err))))
  }

  private _noteData (): void {
    const { timeoutMs, maxTransferMs, onData } = this._call
    const progressed = this._progressBytes === undefined || this._receivedBytes - this._progressBytes >= PROGRESS_BYTES
    if (maxTransferMs !== undefined && progressed) {
      this._progressBytes = this._receivedBytes
      this._deadlineMs = Math.min(this._timers.now() + timeoutMs, this._startedMs + maxTransferMs)
    }
    if (!this._result.isSettled()) onData?.()
  }

  /** Ends the call. A request that has not been sent yet will not be sent. */
  private _timeOut (): void {
    const elapsedMs = Math.round(this._timers.now() - this._startedMs)
    const partial = this._partialAnswer()
    this._abort(new CallTimeoutError(partial ? elapsedMs : this._call.timeoutMs, { ...this._details(), partial }))
  }

  private _abort (err: CallError): void {
    this._result.resolve(Result.err(err))
    this._controller?.abort(err)
  }

  /** What has arrived of the answer; undefined before its headers. */
  private _partialAnswer (): PartialAnswer | undefined {
    if (this._status === 0) return
    const length = this._headers['content-length']
    return { receivedBytes: this._receivedBytes, totalBytes: length === undefined ? undefined : Number(length) }
  }

  private _details (cause?: unknown): CallErrorOptions {
    const { step, mutates = true } = this._call
    const effect: Effect = this._controller && mutates ? EFFECTS.unknown : EFFECTS.none
    return { step, peer: this._address, effect, cause }
  }
}

/** Describes why a connection failed. An error that covers several addresses has a code but no message. */
function connectionErrorText (err: Error & { code?: string }): string {
  return err.message || err.code || err.name
}

function joinHeaderValues (headers: RawHeaders): Record<string, string> {
  return Object.fromEntries(Object.entries(headers)
    .filter((entry): entry is [string, string | string[]] => entry[1] !== undefined)
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value]))
}
