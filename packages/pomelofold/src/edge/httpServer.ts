/**
 * The HTTP server of a daemon.
 *
 * @module
 */

import { serve, type ServerType } from '@hono/node-server'
import type { Server } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Hono } from 'hono'
import { problem, PROBLEM_CONTENT_TYPE } from '../protocol/problem.js'
import { HEADERS, OUTCOMES } from '../protocol/requests.js'
import { splitAddress } from '../utils/address.js'

/** Time from a last answer until the connection is closed, in milliseconds. */
const CLOSE_DELAY_MS = 500

/** Time for which idle connections are kept when the server stops, in milliseconds: requests on their way arrive and are read. */
const IDLE_CLOSE_DELAY_MS = 300

/** Options of an {@link HttpServer}. */
export interface HttpServerOptions {
  /** `host:port`. */
  address: string
  /** Largest header accepted, in bytes. Larger ones are answered with 431. */
  maxHeaderBytes?: number
  /** Connections accepted at once. */
  maxConnections?: number
}

/** Serves a hono app. */
export class HttpServer {
  private readonly _options: Required<HttpServerOptions>
  private _server: ServerType | undefined

  constructor ({ maxHeaderBytes = 16_384, maxConnections = 10_000, ...options }: HttpServerOptions) {
    this._options = { maxHeaderBytes, maxConnections, ...options }
  }

  /** Starts to listen. Rejects when the address cannot be used. */
  listen (app: Hono): Promise<void> {
    const { address, maxHeaderBytes, maxConnections } = this._options
    const { host, port } = splitAddress(address)
    return new Promise((resolve, reject) => {
      const server = serve({ fetch: app.fetch, hostname: host, port, serverOptions: { maxHeaderSize: maxHeaderBytes } }, () => resolve())
      server.once('error', reject)
      ;(server as Server).on('clientError', answerUnparsable)
      ;(server as Server).on('connection', discardInputBeforeClose)
      ;(server as Server).maxConnections = maxConnections
      this._server = server
    })
  }

  /** Port in use, for tests that listen at port 0. */
  get port (): number {
    const address = this._server?.address()
    return typeof address === 'object' && address ? address.port : 0
  }

  /** Stops listening, and resolves when every answer in flight has been sent, to requests on their way included. */
  close (): Promise<void> {
    const server = this._server as Server | undefined
    if (!server) return Promise.resolve()
    return new Promise(resolve => {
      // The close of an HTTP server would also end connections whose next request has come but is not read yet.
      NetServer.prototype.close.call(server, () => resolve())
      setTimeout(() => server.close(), IDLE_CLOSE_DELAY_MS)
    })
  }
}

/**
 * Makes a connection that is closed after its last answer discard input for a while first. A close with
 * unread input resets the connection, and a caller that is still sending would lose the answer.
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

/** Answers input that is no HTTP request, or whose header is too large, and closes the connection. */
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

/** Sends a last answer. Input is discarded for a while, since closing at once could lose the answer on its way. */
function sendAndClose (socket: Duplex, text: string): void {
  socket.resume()
  socket.end(text)
  const timer = setTimeout(() => socket.destroy(), CLOSE_DELAY_MS)
  socket.once('close', () => clearTimeout(timer))
}
