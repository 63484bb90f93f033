/**
 * An outgoing connection to a peer. Answers are matched to calls by number.
 *
 * @module
 */

import type { Socket } from 'node:net'
import Result from 'true-myth/result'
import { CallError, CallTimeoutError, EFFECTS, errorText, type Effect } from '../utils/errors.js'
import { ManualPromise } from '../utils/manualPromise.js'
import { encodeFrame, FrameDecoder } from '../protocol/framing.js'
import { frameSchema, PEER_PROTOCOL_VERSION, peerMethodSchemas, type Frame, type PeerMethod, type PeerMethods } from '../protocol/peerMessages.js'
import { describeFaults } from '../protocol/problem.js'
import type { PeerIdentity } from '../seams/peerTransport.js'
import type { Timers } from '../seams/timers.js'

interface PendingCall {
  method: PeerMethod
  settle: (result: Result<unknown, CallError>) => void
}

/** Options of a {@link PeerConnection}. */
export interface PeerConnectionOptions {
  /** Name of the peer's VM. */
  peer: string
  self: PeerIdentity
  timers: Timers
  /** Opens the socket. */
  connect: () => Socket
}

/** A connection that this side has opened. It does not reconnect: once it has ended, a new object is needed. */
export class PeerConnection {
  private readonly _peer: string
  private readonly _timers: Timers
  private readonly _socket: Socket
  private readonly _pending = new Map<number, PendingCall>()
  /** Resolves to true on the peer's welcome frame, or to false when the connection ends before that. */
  private readonly _welcomed = new ManualPromise<boolean>()
  private _nextId = 1
  private _endReason: string | undefined
  private _lastFrameMs = 0

  constructor ({ peer, self, timers, connect }: PeerConnectionOptions) {
    this._peer = peer
    this._timers = timers
    this._socket = connect()
    this._socket.setNoDelay(true)
    this._socket.on('error', err => this._end(err.message))
    this._socket.on('close', () => this._end('connection closed'))
    this._socket.once('connect', () => {
      this._socket.write(encodeFrame({ type: 'hello', protocol: PEER_PROTOCOL_VERSION, ...self }))
    })
    this._readFrames()
  }

  /** True once the connection has ended. */
  get ended (): boolean {
    return this._endReason !== undefined
  }

  /** Calls `method` and waits up to `timeoutMs` for the answer. */
  async call<M extends PeerMethod> (method: M, params: PeerMethods[M]['params'], timeoutMs: number):
  Promise<Result<PeerMethods[M]['result'], CallError>> {
    const startedMs = this._timers.now()
    const welcomed = await this._withDeadline(this._welcomed.promise, timeoutMs)
    if (!welcomed && !this.ended) {
      this._end('no welcome frame before the deadline')
      return Result.err(this._timeoutError(method, timeoutMs, EFFECTS.none))
    }
    if (this._endReason !== undefined) return Result.err(this._callError(method, this._endReason, EFFECTS.none))

    const id = this._nextId++
    const answer = new ManualPromise<Result<unknown, CallError>>()
    this._pending.set(id, { method, settle: answer.resolve })
    try {
      this._socket.write(encodeFrame({ type: 'call', id, method, params }))
    } catch (err) {
      this._pending.delete(id)
      return Result.err(this._callError(method, errorText(err), EFFECTS.none))
    }
    const remainingMs = timeoutMs - (this._timers.now() - startedMs)
    const result = await this._withDeadline(answer.promise, remainingMs)
    this._pending.delete(id)
    // A broken connection is not always reset. If no frame has arrived since the start of the call, the connection is replaced.
    if (!result && this._lastFrameMs < startedMs) this._end('no frame was received during a call that timed out')
    return (result ?? Result.err(this._timeoutError(method, timeoutMs, EFFECTS.unknown))) as Result<PeerMethods[M]['result'], CallError>
  }

  /** Ends the connection. Calls without an answer fail with the effect `unknown`. */
  close (): void {
    this._end('closed by this side')
  }

  private _readFrames (): void {
    const decoder = new FrameDecoder()
    this._socket.on('data', chunk => {
      this._lastFrameMs = this._timers.now()
      try {
        for (const frame of decoder.push(chunk as Buffer)) this._handle(frameSchema.parse(frame))
      } catch (err) {
        this._end(`invalid frame: ${errorText(err)}`)
      }
    })
  }

  private _handle (frame: Frame): void {
    if (frame.type === 'welcome') this._welcomed.resolve(true)
    else if (frame.type === 'refused') this._end(`refused: ${frame.reason}`)
    else if (frame.type === 'result') this._settle(frame.id, method => this._parseResult(method, frame.result))
    else if (frame.type === 'error') this._settle(frame.id, method => Result.err(this._callError(method, frame.message, frame.effect)))
    else this._end(`unexpected frame of type ${frame.type}`)
  }

  private _settle (id: number, result: (method: PeerMethod) => Result<unknown, CallError>): void {
    const call = this._pending.get(id)
    if (!call) return
    this._pending.delete(id)
    call.settle(result(call.method))
  }

  private _parseResult (method: PeerMethod, value: unknown): Result<unknown, CallError> {
    const parsed = peerMethodSchemas[method].result.safeParse(value)
    if (parsed.success) return Result.ok(parsed.data)
    return Result.err(this._callError(method, `invalid result: ${describeFaults(parsed.error, value)}`, EFFECTS.unknown))
  }

  private _end (reason: string): void {
    if (this._endReason !== undefined) return
    this._endReason = reason
    this._socket.destroy()
    this._welcomed.resolve(false)
    for (const call of this._pending.values()) call.settle(Result.err(this._callError(call.method, reason, EFFECTS.unknown)))
    this._pending.clear()
  }

  private _withDeadline<T> (promise: Promise<T>, timeoutMs: number): Promise<T | undefined> {
    return new Promise(resolve => {
      const timer = this._timers.after(timeoutMs, () => resolve(undefined))
      promise.then(value => { timer.cancel(); resolve(value) })
    })
  }

  private _callError (method: PeerMethod, message: string, effect: Effect): CallError {
    return new CallError(message, { step: `peer.${method}`, peer: this._peer, effect })
  }

  private _timeoutError (method: PeerMethod, timeoutMs: number, effect: Effect): CallTimeoutError {
    return new CallTimeoutError(timeoutMs, { step: `peer.${method}`, peer: this._peer, effect })
  }
}
