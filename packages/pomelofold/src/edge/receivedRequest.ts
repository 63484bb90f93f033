/**
 * A request whose header has been received.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import Result from 'true-myth/result'
import { BODY_ERRORS, type BodyError } from '../seams/requestBody.js'
import { ManualPromise } from '../utils/manualPromise.js'
import { BodyBuffer, type BlockPool } from './bodyBuffer.js'

/** Memory that a request takes from its header until its answer has been sent, in bytes. */
const REQUEST_BYTES = 8_192

/** Memory that a name or a value of a header takes, in bytes: they are held as separate strings, in two forms. */
const HEADER_STRING_BYTES = 64

/** Largest body that is received after the answer so that its connection can be used again, in bytes. */
const MAX_DRAINED_BODY_BYTES = 16_384

/** Options of a {@link ReceivedRequest}. */
export interface ReceivedRequestOptions {
  req: IncomingMessage & { rawBody?: Buffer }
  res: ServerResponse
  /** True when the caller waits for `100 Continue` before it sends the body. */
  expectsContinue: boolean
  /** Memory that a complete body takes until its answer, as a multiple of its size. */
  bodyCost: number
  /** Blocks for the body. */
  pool: BlockPool
  /** Called when the request holds more or less, or accepts more input. Returns false when there is no room for what it holds. */
  onChange: () => boolean
}

/** Reads the body of a request when the app asks for it. */
export class ReceivedRequest {
  private readonly _options: ReceivedRequestOptions
  /** Size of the body by the request's header, in bytes; undefined for a chunked body. */
  private readonly _announcedBytes: number | undefined
  private readonly _read = new ManualPromise<Result<Uint8Array, BodyError>>()
  private _body: BodyBuffer | undefined
  private _receivedBytes = 0
  private _completeBodyBytes = 0
  private _reading = false
  private _draining = false
  private _answered = false

  constructor (options: ReceivedRequestOptions) {
    const { 'content-length': length = 0, 'transfer-encoding': encoding } = options.req.headers
    this._options = options
    this._announcedBytes = encoding === undefined ? Number(length) : undefined
  }

  get req (): IncomingMessage {
    return this._options.req
  }

  get res (): ServerResponse {
    return this._options.res
  }

  /** True when the request has been received in full. */
  get complete (): boolean {
    return this._options.req.complete
  }

  /** True when the app has answered. The answer may not have been sent yet. */
  get answered (): boolean {
    return this._answered
  }

  /** True while the rest of the body is wanted. */
  get wantsInput (): boolean {
    return this._reading || this._draining
  }

  /** Number of bytes until the end of the body; 0 when it is not known. */
  get remainingBytes (): number {
    return this._reading && this._announcedBytes !== undefined ? this._announcedBytes - this._receivedBytes : 0
  }

  /** Number of bytes that have been received of a chunked body; undefined when none is being read. */
  get receivedChunkBytes (): number | undefined {
    return this._reading && this._announcedBytes === undefined ? this._receivedBytes : undefined
  }

  /** Number of bytes that the request holds. */
  get heldBytes (): number {
    const { req, bodyCost } = this._options
    const headerBytes = (req.rawHeaders.length + req.rawTrailers.length) * HEADER_STRING_BYTES
    return REQUEST_BYTES + headerBytes + (this._body?.allocatedBytes ?? 0) + this._completeBodyBytes * bodyCost
  }

  /** Reads the body. A body that is too large by its header is refused at once, any other as soon as it exceeds the limit. */
  readBody (maxBytes: number): Promise<Result<Uint8Array, BodyError>> {
    const { req, res, expectsContinue, pool, onChange } = this._options
    if (this._reading || this._read.isSettled()) return this._read.promise
    if (req.destroyed) this._endRead(Result.err(BODY_ERRORS.aborted))
    else if (this._announcedBytes !== undefined && this._announcedBytes > maxBytes) this._endRead(Result.err(BODY_ERRORS.tooLarge))
    if (this._read.isSettled()) return this._read.promise
    this._reading = true
    this._body = new BodyBuffer({ maxBytes, expectedBytes: this._announcedBytes, pool })
    req.on('data', (chunk: Buffer) => this._append(chunk))
    req.once('end', () => this._complete())
    req.once('close', () => this.abort(BODY_ERRORS.aborted))
    if (expectsContinue) res.writeContinue()
    onChange()
    return this._read.promise
  }

  /** Notes that the app has answered. Returns false when the connection cannot be used again, since too much input is outstanding. */
  noteAnswer (): boolean {
    const { req, res } = this._options
    this._answered = true
    // The end of a request without a body is parsed after its header has been passed to the app.
    if (req.complete || this._announcedBytes === 0 || this._drainsBody()) return true
    res.shouldKeepAlive = false
    return false
  }

  /** Gives up a body that has not been received in full, also if it is not read yet. */
  abort (error: BodyError): void {
    if (!this.complete) this._endRead(Result.err(error))
  }

  private _append (chunk: Buffer): void {
    const body = this._body
    if (!body) return
    const { allocatedBytes } = body
    this._receivedBytes += chunk.length
    if (!body.append(chunk)) this._endRead(Result.err(BODY_ERRORS.tooLarge))
    else if (body.allocatedBytes > allocatedBytes && !this._options.onChange()) this._endRead(Result.err(BODY_ERRORS.noRoom))
  }

  private _complete (): void {
    if (!this._body) return
    const bytes = this._body.take()
    this._body = undefined
    this._completeBodyBytes = bytes.length
    if (!this._options.onChange()) return this._endRead(Result.err(BODY_ERRORS.noRoom))
    this._options.req.rawBody = bytes
    this._endRead(Result.ok(bytes))
  }

  private _drainsBody (): boolean {
    const { req, expectsContinue } = this._options
    const bytes = this._announcedBytes
    this._draining = bytes !== undefined && bytes <= MAX_DRAINED_BODY_BYTES && !this._read.isSettled() && !expectsContinue
    if (this._draining) req.resume()
    return this._draining
  }

  private _endRead (result: Result<Uint8Array, BodyError>): void {
    this._reading = false
    this._body?.release()
    this._body = undefined
    if (result.isErr) this._completeBodyBytes = 0
    this._read.resolve(result)
  }
}
