/**
 * A caller's connection. Passes input to the HTTP parser only as far as it is wanted, so that a caller that sends ahead, or does
 * not read its answers, is slowed down by TCP.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { BODY_ERRORS } from '../seams/requestBody.js'
import type { Timers } from '../seams/timers.js'
import type { BlockPool } from './bodyBuffer.js'
import { CONNECTION_STATES, type CallerAccount, type ConnectionState } from './callerBudget.js'
import { ReceivedRequest } from './receivedRequest.js'

/**
 * Maximum number of bytes that are passed to the parser at once. The parser cannot be stopped before their end, and emits all requests
 * and pieces of a body among them.
 */
const PARSE_BYTES = 256

/** Number of pieces that are passed to the parser before other connections have their turn. */
const PIECES_PER_TURN = 4

/** Amount of input that counts as progress, in bytes. */
const PROGRESS_BYTES = 16_384

/** Memory that a byte of an incomplete header or trailer takes: the parser keeps names and values as separate strings. */
const HEADER_COST = 8

/** Input that the operating system may buffer for a connection that is not read, in bytes. */
const UNREAD_INPUT_BYTES = 65_536

/** Time from the last answer on a connection until it is closed, in milliseconds. Input is discarded in this time. */
const CLOSE_DELAY_MS = 500

/** Maximum amount of input that is discarded before a connection is closed, in bytes. */
const MAX_DISCARDED_BYTES = 4_000_000

/** Options of a {@link CallerConnection}. */
export interface CallerConnectionOptions {
  socket: Socket
  account: CallerAccount
  timers: Timers
  /** Memory that a complete body takes until its answer, as a multiple of its size. */
  bodyCost: number
  /** Blocks for the bodies of requests. */
  pool: BlockPool
  /** Maximum number of requests that are in progress at once. Further ones wait. */
  maxPipelinedRequests: number
  /** Called for each response that has not been sent when the connection has been closed. */
  onResponseClosed: (res: ServerResponse) => void
  /** Called when input is given up, or the connection closed, because there is no room. */
  onNoRoom: () => void
}

/** Input and open requests of a connection of an HTTP server. Must be created in the server's `connection` event. */
export class CallerConnection {
  private readonly _socket: Socket
  private readonly _account: CallerAccount
  private readonly _options: CallerConnectionOptions
  private readonly _parse: (chunk: Buffer) => void
  /** Requests whose answers have not been sent. */
  private readonly _requests = new Set<ReceivedRequest>()
  /** The last request, until it has been received in full and its answer has been sent. */
  private _lastRequest: ReceivedRequest | undefined
  /** A request for which there was no room. It is not accounted until its refusal has been sent. */
  private _refusedForRoom: ReceivedRequest | undefined
  /** Input that has not been parsed. */
  private _input: Buffer | undefined
  private _headerBytes = 0
  private _unreportedBytes = 0
  private _discardedBytes = 0
  private _parsing = false
  private _yielding = false
  /** True while this object has paused the socket. Node.js pauses it as well, for answers that are not read. */
  private _paused = false
  private _stopped = false
  private _ending = false
  private _served = false

  constructor (options: CallerConnectionOptions) {
    const { socket, account } = options
    const destroySoon = socket.destroySoon.bind(socket)
    this._socket = socket
    this._account = account
    this._options = options
    const [parse] = socket.listeners('data') as Array<(chunk: Buffer) => void>
    this._parse = parse
    socket.removeListener('data', parse)
    socket.on('data', (chunk: Buffer) => this._onInput(chunk))
    socket.on('resume', () => this._parseInput())
    socket.once('end', () => this._abort())
    socket.once('close', () => this._onClose())
    socket.destroySoon = () => this._end(destroySoon)
  }

  /** Adds a request. Undefined after {@link stop}. */
  receive (req: IncomingMessage, res: ServerResponse, expectsContinue: boolean): ReceivedRequest | undefined {
    if (this._stopped) return
    const { bodyCost, pool } = this._options
    const request = new ReceivedRequest({ req, res, expectsContinue, bodyCost, pool, onChange: () => this._onRequestChange() })
    this._requests.add(request)
    this._lastRequest = request
    res.once('prefinish', () => this._checkRoom())
    res.once('close', () => this._onAnswerSent(request))
    return request
  }

  /** Accounts a request that has been received. Returns false when there is no room for it; it is to be refused. */
  admit (request: ReceivedRequest): boolean {
    if (this._report()) return true
    this._refusedForRoom = request
    return false
  }

  /** Notes that a request is answered without the app. No further input is parsed. */
  refuse (request: ReceivedRequest): void {
    request.noteAnswer()
    this.stop()
  }

  /** Notes that the app has answered a request. */
  noteAnswer (request: ReceivedRequest): void {
    if (!request.noteAnswer()) this.stop()
    this._report()
    this._parseInput()
  }

  /** Parses no further input. What arrives is discarded. */
  stop (): void {
    this._stopped = true
    this._input = undefined
    if (!this._paused) return
    this._paused = false
    this._socket.resume()
  }

  /** Ends the connection after input that cannot be parsed: with the answers to its open requests, or else with `text`. */
  endWith (text: string): void {
    this._abort()
    if (this._requests.size > 0) return
    this._socket.write(text)
    this._socket.destroySoon()
  }

  /** Closes the connection at once, and gives up what it holds. Its `close` event comes only after the input of other connections. */
  destroy (): void {
    this._abort()
    this._socket.destroy()
  }

  private _abort (): void {
    this.stop()
    for (const request of this._requests) request.abort(BODY_ERRORS.aborted)
  }

  /** Node.js closes only the response whose turn it was. */
  private _onClose (): void {
    this._abort()
    this._account.end()
    for (const { res } of this._requests) this._options.onResponseClosed(res)
    this._requests.clear()
  }

  private _onInput (chunk: Buffer): void {
    if (this._stopped) return this._discard(chunk)
    this._unreportedBytes += chunk.length
    if (this._unreportedBytes >= PROGRESS_BYTES) {
      this._unreportedBytes = 0
      this._account.progress()
    }
    if (this._input) {
      this._paused = true
      this._socket.pause()
      this._socket.unshift(chunk)
      return this._checkRoom()
    }
    this._input = chunk
    this._parseInput()
  }

  /** Parses further input after that of other connections. */
  private _yield (): void {
    if (this._yielding) return
    this._yielding = true
    setImmediate(() => {
      this._yielding = false
      this._parseInput()
    })
  }

  private _parseInput (): void {
    if (this._parsing || this._yielding) return
    this._parsing = true
    for (let pieces = 0; this._input && this._wantsInput(); pieces++) {
      if (pieces === PIECES_PER_TURN) {
        this._yield()
        break
      }
      if (this._paused) {
        this._paused = false
        this._socket.resume()
      }
      this._parsePiece(this._input)
    }
    this._parsing = false
    this._checkRoom()
  }

  private _parsePiece (input: Buffer): void {
    const lastRequest = this._lastRequest
    const inHeader = !lastRequest || lastRequest.complete
    const receivedBytes = lastRequest?.receivedChunkBytes
    const bytes = Math.min(input.length, Math.max(PARSE_BYTES, inHeader ? 0 : lastRequest.remainingBytes))
    this._input = bytes < input.length ? input.subarray(bytes) : undefined
    this._parse(input.subarray(0, bytes))
    // Input that is no part of a chunked body may be one of its trailers, which the parser keeps as it keeps headers.
    const inTrailer = !inHeader && !lastRequest.complete && receivedBytes !== undefined && receivedBytes === lastRequest.receivedChunkBytes
    this._headerBytes = inTrailer || (inHeader && lastRequest === this._lastRequest) ? this._headerBytes + bytes : 0
  }

  private _wantsInput (): boolean {
    if (this._stopped || this._socket.destroyed || (this._socket.isPaused() && !this._paused)) return false
    const request = this._lastRequest
    if (request && !request.complete) return request.wantsInput
    return this._requests.size < this._options.maxPipelinedRequests
  }

  /** True while the rest of a request is to come. */
  private get _isReceiving (): boolean {
    return this._lastRequest !== undefined && !this._lastRequest.complete
  }

  private _onRequestChange (): boolean {
    if (!this._report()) return false
    this._parseInput()
    return true
  }

  private _onAnswerSent (request: ReceivedRequest): void {
    // Some requests are answered before the app sees them.
    if (!request.answered && !request.noteAnswer()) this.stop()
    this._requests.delete(request)
    // An idle connection must not keep the body of its last request.
    if (this._lastRequest === request && request.complete) this._lastRequest = undefined
    this._served = true
    if (this._input) this._yield()
    else this._checkRoom()
    if (this._stopped && this._requests.size === 0 && !this._socket.destroyed) this._socket.destroySoon()
  }

  /** Reports what the connection holds. Returns false when there is no room for it. */
  private _report (): boolean {
    return this._account.update(this._heldBytes(), this._state())
  }

  private _checkRoom (): void {
    if (this._report() || this._socket.destroyed) return
    if (this._isWaitingForServer() && this._giveUpInput()) return
    this._options.onNoRoom()
    this.destroy()
  }

  /**
   * Gives up the input after the last request, so that those in progress are still answered. The connection is closed after the last
   * answer. Returns false when there is no room nevertheless.
   */
  private _giveUpInput (): boolean {
    const lastRequest = this._lastRequest
    if (this._stopped || !lastRequest) return false
    this.stop()
    lastRequest.res.shouldKeepAlive = false
    lastRequest.abort(BODY_ERRORS.noRoom)
    if (!this._report()) return false
    // A body that is given up is counted when it is read.
    if (lastRequest.complete) this._options.onNoRoom()
    return true
  }

  private _heldBytes (): number {
    const unreadBytes = this._socket.isPaused() ? UNREAD_INPUT_BYTES : 0
    let bytes = this._headerBytes * HEADER_COST + unreadBytes + (this._input?.length ?? 0) + this._socket.writableLength
    for (const request of this._requests) if (request !== this._refusedForRoom) bytes += request.heldBytes
    return bytes
  }

  private _isWaitingForServer (): boolean {
    for (const request of this._requests) {
      // A body that is not wanted yet waits for this server, too.
      if (!request.answered && (request.complete || !request.wantsInput)) return true
    }
    return false
  }

  private _state (): ConnectionState {
    if (this._isWaitingForServer()) return CONNECTION_STATES.server
    const isBetweenRequests = this._requests.size === 0 && this._headerBytes === 0 && !this._input && !this._isReceiving
    return this._served && isBetweenRequests && !this._stopped ? CONNECTION_STATES.idle : CONNECTION_STATES.caller
  }

  private _discard (chunk: Buffer): void {
    if (this._isWaitingForServer()) return
    this._discardedBytes += chunk.length
    if (this._discardedBytes > MAX_DISCARDED_BYTES) this._socket.destroy()
  }

  /**
   * Closes the connection after the last answer. Closing a connection with unread input resets it, so that a caller that is still
   * sending would lose the answer; input is discarded for a while.
   */
  private _end (destroySoon: () => void): void {
    if (this._ending) return
    this._ending = true
    this.stop()
    this._socket.end()
    this._socket.resume()
    const timer = this._options.timers.after(CLOSE_DELAY_MS, destroySoon)
    this._socket.once('end', destroySoon)
    this._socket.once('close', () => timer.cancel())
  }
}
