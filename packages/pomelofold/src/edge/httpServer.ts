/**
 * The HTTP server of a daemon.
 *
 * @module
 */

import { getRequestListener } from '@hono/node-server'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'
import type { Hono } from 'hono'
import { problem, PROBLEM_CONTENT_TYPE, type Problem, type ProblemKind } from '../protocol/problem.js'
import { HEADERS, OUTCOMES } from '../protocol/requests.js'
import { BODY_ERRORS, type RequestEnvironment } from '../seams/requestBody.js'
import type { Timers } from '../seams/timers.js'
import { splitAddress } from '../utils/address.js'
import { SILENT_LOG, type EventLog } from '../utils/eventLog.js'
import { BlockPool } from './bodyBuffer.js'
import { CallerBudget, type ExceededBound } from './callerBudget.js'
import { CallerConnection } from './callerConnection.js'
import type { ReceivedRequest } from './receivedRequest.js'
import { CALLER_REFUSALS, RefusalCounter, type CallerRefusal } from './refusalCounter.js'
import { SystemTimers } from './systemTimers.js'

/**
 * Time for which idle connections stay open when the server stops, in milliseconds, so that requests that callers have
 * already sent are still received and answered.
 */
const IDLE_CLOSE_DELAY_MS = 300

/** Delay after which a caller may repeat a request for which there was no room, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** Options of an {@link HttpServer}. */
export interface HttpServerOptions {
  /** `host:port`. */
  address: string
  /** Maximum size of a request's header, in bytes. Larger headers are answered with status 431. */
  maxHeaderBytes?: number
  /** Maximum number of open connections. Beyond it, the least active one is closed for a new one. */
  maxConnections?: number
  /** Maximum size of what is held for all callers together, in bytes: requests without an answer, their bodies, and unread input. */
  maxHeldBytes?: number
  /** Memory that a complete body takes until its answer, as a multiple of its size. */
  bodyCost?: number
  /** Maximum number of requests of one connection that are in progress at once. Further ones wait. */
  maxPipelinedRequests?: number
  timers?: Timers
  log?: EventLog
}

/** What a server holds for its callers, and the refusals since its start. */
export interface HttpServerFigures {
  connections: number
  heldBytes: number
  refusals: ReadonlyMap<CallerRefusal, number>
}

type NodeEnvironment = RequestEnvironment & { incoming: IncomingMessage }

/** HTTP server for a Hono app. */
export class HttpServer {
  private readonly _options: Required<HttpServerOptions>
  private readonly _budget: CallerBudget
  private readonly _pool: BlockPool
  private readonly _refusals: RefusalCounter
  private readonly _connections = new WeakMap<object, CallerConnection>()
  private _server: Server | undefined
  private _closing = false
  /** Responses that have not ended. */
  private readonly _openResponses = new Set<ServerResponse>()

  constructor ({
    maxHeaderBytes = 16_384,
    maxConnections = 10_000,
    maxHeldBytes = 100_000_000,
    bodyCost = 4,
    maxPipelinedRequests = 1,
    timers = new SystemTimers(),
    log = SILENT_LOG,
    ...options
  }: HttpServerOptions) {
    this._options = { maxHeaderBytes, maxConnections, maxHeldBytes, bodyCost, maxPipelinedRequests, timers, log, ...options }
    this._budget = new CallerBudget({ timers, maxHeldBytes, maxConnections })
    this._pool = new BlockPool({ maxHeldBytes })
    this._refusals = new RefusalCounter({ timers, log, address: options.address })
  }

  /** Starts listening. Rejects when the address cannot be used. */
  listen (app: Hono): Promise<void> {
    const { address, maxHeaderBytes } = this._options
    const { host, port } = splitAddress(address)
    const requests = new WeakMap<IncomingMessage, ReceivedRequest>()
    const listener = getRequestListener(
      (req, env) => this._fetch(app, req, env as unknown as NodeEnvironment, requests), { hostname: host, autoCleanupIncoming: false }
    )
    const onRequest = (req: IncomingMessage, res: ServerResponse, expectsContinue = false): void => {
      const request = this._receive(req, res, expectsContinue)
      if (!request) return
      requests.set(req, request)
      listener(req, res)
    }
    return new Promise((resolve, reject) => {
      // Requests without a host header are refused here, so that they count as requests.
      const server = createServer({ maxHeaderSize: maxHeaderBytes, requireHostHeader: false })
      server.once('error', reject)
      server.on('connection', socket => this._onConnection(socket))
      server.on('request', (req, res) => onRequest(req, res))
      server.on('checkContinue', (req, res) => onRequest(req, res, true))
      server.on('checkExpectation', (req, res) => {
        const request = this._receive(req, res, true)
        if (request) this._refuse(request, 'invalid', 'the expect header is not known', CALLER_REFUSALS.invalidHeader)
      })
      server.on('clientError', (err, socket) => this._onUnparsable(err, socket as Socket))
      server.listen(port, host, () => resolve())
      this._server = server
    })
  }

  /** Port at which the server listens. For tests, which listen at port 0. */
  get port (): number {
    const address = this._server?.address()
    return typeof address === 'object' && address ? address.port : 0
  }

  figures (): HttpServerFigures {
    return { connections: this._budget.connections, heldBytes: this._budget.heldBytes, refusals: this._refusals.totals }
  }

  /**
   * Stops listening. The next answer on each open connection is its last one and says `connection: close`. Resolves
   * when all requests have been answered, including those that were in transit at the call, or after `timeoutMs`,
   * when the connections that are still open are closed without an answer.
   */
  close ({ timeoutMs }: { timeoutMs: number }): Promise<void> {
    const { timers } = this._options
    const server = this._server
    if (!server) return Promise.resolve()
    this._closing = true
    for (const res of this._openResponses) res.shouldKeepAlive = false
    return new Promise(resolve => {
      const timeout = timers.after(timeoutMs, () => server.closeAllConnections())
      // The HTTP server's own close() would also end connections whose next request has arrived but has not been read.
      NetServer.prototype.close.call(server, () => { timeout.cancel(); resolve() })
      timers.after(IDLE_CLOSE_DELAY_MS, () => server.close())
    })
  }

  private _onConnection (socket: Socket): void {
    const { timers, bodyCost, maxPipelinedRequests } = this._options
    const account = this._budget.open(bound => {
      this._refusals.count(CLOSE_CAUSES[bound])
      this._connections.get(socket)!.destroy()
    })
    if (!account) {
      this._refusals.count(CALLER_REFUSALS.closedForConnections)
      socket.destroy()
      return
    }
    const onNoRoom = (): void => this._refusals.count(CALLER_REFUSALS.noRoom)
    const onResponseClosed = (res: ServerResponse): void => { this._openResponses.delete(res) }
    this._connections.set(socket, new CallerConnection({
      socket, account, timers, pool: this._pool, bodyCost, maxPipelinedRequests, onResponseClosed, onNoRoom
    }))
  }

  /** Takes in a request. Undefined when it has been refused, or when its connection takes in no more. */
  private _receive (req: IncomingMessage, res: ServerResponse, expectsContinue: boolean): ReceivedRequest | undefined {
    const connection = this._connections.get(req.socket)
    const request = connection?.receive(req, res, expectsContinue)
    if (!connection || !request) return
    this._trackResponse(res)
    if (!connection.admit(request)) {
      this._refuse(request, 'overloaded', 'too many requests are in progress', CALLER_REFUSALS.noRoom)
      return
    }
    if (req.httpVersion === '1.1' && req.headers.host === undefined) {
      this._refuse(request, 'invalid', 'the host header is missing', CALLER_REFUSALS.invalidHeader)
      return
    }
    return request
  }

  private _fetch (
    app: Hono, req: Request, env: NodeEnvironment, requests: WeakMap<IncomingMessage, ReceivedRequest>
  ): Response | Promise<Response> {
    const request = requests.get(env.incoming)!
    env.readBody = async maxBytes => {
      const body = await request.readBody(maxBytes)
      if (body.isErr && body.error === BODY_ERRORS.tooLarge) this._refusals.count(CALLER_REFUSALS.bodyTooLarge)
      if (body.isErr && body.error === BODY_ERRORS.noRoom) this._refusals.count(CALLER_REFUSALS.noRoom)
      return body
    }
    const noteAnswer = (): void => this._connections.get(env.incoming.socket)?.noteAnswer(request)
    const answer = app.fetch(req, env)
    if (answer instanceof Promise) return answer.finally(noteAnswer)
    noteAnswer()
    return answer
  }

  /** Answers that a request has not run, and closes its connection. */
  private _refuse (request: ReceivedRequest, kind: ProblemKind, detail: string, cause: CallerRefusal): void {
    const { req, res } = request
    this._refusals.count(cause)
    this._connections.get(req.socket)?.refuse(request)
    const retryAfterMs = kind === 'overloaded' ? RETRY_AFTER_MS : undefined
    const body = problem(kind, detail, { outcome: OUTCOMES.notRun, retryAfterMs })
    res.shouldKeepAlive = false
    res.writeHead(body.status, problemHeaders(body))
    res.end(JSON.stringify(body))
  }

  /** Answers input that is not an HTTP request, or whose header is too large, and closes the connection. */
  private _onUnparsable (err: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this._connections.get(socket)
    if (!socket.writable || err.code === 'ECONNRESET' || !connection) {
      socket.destroy()
      return
    }
    this._refusals.count(CALLER_REFUSALS.unparsable)
    connection.endWith(unparsableAnswer(err))
  }

  private _trackResponse (res: ServerResponse): void {
    if (this._closing) res.shouldKeepAlive = false
    this._openResponses.add(res)
    res.once('close', () => this._openResponses.delete(res))
  }
}

const CLOSE_CAUSES: Record<ExceededBound, CallerRefusal> = {
  memory: CALLER_REFUSALS.closedForMemory,
  connections: CALLER_REFUSALS.closedForConnections
}

function problemHeaders (body: Problem): Record<string, string> {
  return {
    'content-type': PROBLEM_CONTENT_TYPE,
    [HEADERS.outcome]: OUTCOMES.notRun,
    ...body.retryAfterMs !== undefined && { 'retry-after': String(Math.ceil(body.retryAfterMs / 1_000)) }
  }
}

/** Complete answer to input that cannot be parsed. */
function unparsableAnswer (err: NodeJS.ErrnoException): string {
  const tooLarge = err.code === 'HPE_HEADER_OVERFLOW'
  const fault = tooLarge
    ? { path: '(header)', message: 'the header is over the limit; see http.maxHeaderBytes in docs/SETTINGS.md' }
    : { path: '(header)', message: 'the input is not an HTTP/1.1 request' }
  const [status, reason] = tooLarge ? [431, 'Request Header Fields Too Large'] : [400, 'Bad Request']
  const body = { ...problem('invalid', `${fault.path}: ${fault.message}`, { faults: [fault], outcome: OUTCOMES.notRun }), status }
  const text = JSON.stringify(body)
  const headers = { ...problemHeaders(body), 'content-length': String(Buffer.byteLength(text)), connection: 'close' }
  const head = [`HTTP/1.1 ${status} ${reason}`, ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`)]
  return `${head.join('\r\n')}\r\n\r\n${text}`
}
