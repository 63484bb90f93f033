/**
 * The HTTP server of a daemon.
 *
 * @module
 */

import { serve, type ServerType } from '@hono/node-server'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Hono } from 'hono'
import { problem, PROBLEM_CONTENT_TYPE } from '../protocol/problem.js'
import { HEADERS, OUTCOMES } from '../protocol/requests.js'
import { splitAddress } from '../utils/address.js'

/** Time from the last answer on a connection until it is closed, in milliseconds. Input is discarded in this time. */
const CLOSE_DELAY_MS = 500

/**
 * Time for which idle connections stay open when the server stops, in milliseconds, so that requests that callers have
 * already sent are still received and answered.
 */
const IDLE_CLOSE_DELAY_MS = 300

/** Options of an {@link HttpServer}. */
export interface HttpServerOptions {
  /** `host:port`. */
  address: string
  /** Maximum size of a request's header, in bytes. Larger headers are answered with status 431. */
  maxHeaderBytes?: number
  /** Maximum number of open connections. */
  maxConnections?: number
}

/** HTTP server for a Hono app. */
export class HttpServer {
  private readonly _options: Required<HttpServerOptions>
  private _server: ServerType | undefined
  private _closing = false
  /** Responses that have not ended. */
  private readonly _openResponses = new Set<ServerResponse>()

  constructor ({ maxHeaderBytes = 16_384, maxConnections = 10_000, ...options }: HttpServerOptions) {
    this._options = { maxHeaderBytes, maxConnections, ...options }
  }

  /** Starts listening. Rejects when the address cannot be used. */
  listen (app: Hono): Promise<void> {
    const { address, maxHeaderBytes, maxConnections } = this._options
    const { host, port } = splitAddress(address)
    return new Promise((resolve, reject) => {
      const server = serve({ fetch: app.fetch, hostname: host, port, serverOptions: { maxHeaderSize: maxHeaderBytes } }, () => resolve())
      server.once('error', reject)
      ;(server as Server).on('clientError', answerUnparsable)
      ;(server as Server).on('connection', discardInputBeforeClose)
      ;(server as Server).prependListener('request', (_req: IncomingMessage, res: ServerResponse) => this._trackResponse(res))
      ;(server as Server).maxConnections = maxConnections
      this._server = server
    })
  }

  /** Port at which the server listens. For tests, which listen at port 0. */
  get port (): number {
    const address = this._server?.address()
    return typeof address === 'object' && address ? address.port : 0
  }

  /**
   * Stops listening. The next answer on each open connection is its last one and says `connection: close`. Resolves
   * when all requests have been answered, including those that were in transit at the call, or after `timeoutMs`,
   * when the connections that are still open are closed without an answer.
   */
  close ({ timeoutMs }: { timeoutMs: number }): Promise<void> {
    const server = this._server as Server | undefined
    if (!server) return Promise.resolve()
    this._closing = true
    for (const res of this._openResponses) res.shouldKeepAlive = false
    return new Promise(resolve => {
      const timeout = setTimeout(() => server.closeAllConnections(), timeoutMs)
      // The HTTP server's own close() would also end connections whose next request has arrived but has not been read.
      NetServer.prototype.close.call(server, () => { clearTimeout(timeout); resolve() })
      setTimeout(() => server.close(), IDLE_CLOSE_DELAY_MS)
    })
  }

  private _trackResponse (res: ServerResponse): void {
    if (this._closing) res.shouldKeepAlive = false
    this._openResponses.add(res)
    res.once('close', () => this._openResponses.delete(res))
  }
}

/**
 * Delays the close of a connection after its last answer, and discards input until then. Closing a connection with unread
 * input resets it, so that a caller that is still sending would lose the answer.
 */
function discardInputBeforeClose (socket: Socket): void {
  const destroySoon = socket.destroySoon.bind(socket)
  socket.destroySoon = () => {
    socket.end()
    socket.resume()
    const timer = setTimeout(destroySoon, CLOSE_DELAY_MS)
    socket.once('end', destroySoon)
    socket.once('close', () => clearTimeout(timer))
  }
}

/** Answers input that is not an HTTP request, or whose header is too large, and closes the connection. */
function answerUnparsable (err: NodeJS.ErrnoException, socket: Duplex): void {
  if (!socket.writable || err.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const tooLarge = err.code === 'HPE_HEADER_OVERFLOW'
  const fault = tooLarge
    ? { path: '(header)', message: 'the header is over the limit; see http.maxHeaderBytes in docs/SETTINGS.md' }
    : { path: '(header)', message: 'the input is not an HTTP/1.1 request' }
  const [status, reason] = tooLarge ? [431, 'Request Header Fields Too Large'] : [400, 'Bad Request']
  const body = JSON.stringify({ ...problem('invalid', `${fault.path}: ${fault.message}`, { faults: [fault], outcome: OUTCOMES.notRun }), status })
  const head = [
    `HTTP/1.1 ${status} ${reason}`,
    `content-type: ${PROBLEM_CONTENT_TYPE}`,
    `${HEADERS.outcome}: ${OUTCOMES.notRun}`,
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close'
  ]
  sendAndClose(socket, `${head.join('\r\n')}\r\n\r\n${body}`)
}

/** Sends the last answer on a connection. Discards input before the close, since an immediate close could lose the answer. */
function sendAndClose (socket: Duplex, text: string): void {
  socket.resume()
  socket.end(text)
  const timer = setTimeout(() => socket.destroy(), CLOSE_DELAY_MS)
  socket.once('close', () => clearTimeout(timer))
}
