/**
 * Accepts connections from peers and answers their calls.
 *
 * @module
 */

import type { Server, Socket } from 'node:net'
import { CallError, EFFECTS, errorText } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import { shorten } from '../utils/shorten.js'
import { encodeFrame, FrameDecoder, FrameError, MAX_FRAME_BYTES } from '../protocol/framing.js'
import { frameSchema, helloSchema, PEER_PROTOCOL_VERSION, peerMethodSchemas, type PeerMethod } from '../protocol/peerMessages.js'
import { describeFaults } from '../protocol/problem.js'
import type { PeerHandlers, PeerIdentity } from '../seams/peerTransport.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'
import { LimitedEventLog } from './limitedEventLog.js'
import { PeerSockets } from './peerSockets.js'
import { RefusalCounter } from './refusalCounter.js'

/** Time limit for the first frame of a new connection, in milliseconds. */
const HELLO_TIMEOUT_MS = 5_000

/** Maximum size of a frame until the hello frame has been accepted, in bytes. */
const MAX_HELLO_BYTES = 4_096

/** Maximum length of the message of an error that is answered, so that its frame can always be encoded. */
const MAX_ERROR_CHARS = 16_000

/** Why a connection was refused or closed. */
export const PEER_REFUSALS = {
  /** It had not sent a hello frame, and was the oldest one at the maximum number of such connections. */
  closedWithoutHello: 'closed-without-hello',
  /** It did not send a hello frame in time. */
  helloTimeout: 'hello-timeout',
  /** The first frame is not a hello frame, or is too large. */
  invalidHello: 'invalid-hello',
  /** The hello frame has another protocol version, or names no member that is known yet. */
  refusedHello: 'refused-hello',
  /** It was the oldest one of a member that has opened too many. */
  closedForMember: 'closed-for-member'
} as const

/** One of {@link PEER_REFUSALS}. */
export type PeerRefusal = typeof PEER_REFUSALS[keyof typeof PEER_REFUSALS]

/** Options of a {@link PeerListener}. */
export interface PeerListenerOptions {
  self: PeerIdentity
  /** Address of this listener, for the log. Defaults to the name of the VM. */
  address?: string
  handlers: PeerHandlers
  /** VMs that may connect, by name. */
  members: ReadonlyMap<string, { failureDomain: string }>
  timers: Timers
  log: EventLog
  createServer: (onConnection: (socket: Socket) => void) => Server
}

interface AcceptedConnection {
  socket: Socket
  /** Address of the other side, for the log. */
  remote: string
  /** Set when the hello frame has been accepted. */
  from?: PeerIdentity
}

/** Server for the calls of peers. The calls of a connection run concurrently. */
export class PeerListener {
  private readonly _options: PeerListenerOptions
  private readonly _server: Server
  /** Log for events that anyone who reaches the port can cause. */
  private readonly _limitedLog: LimitedEventLog
  private readonly _sockets: PeerSockets
  private readonly _refusals: RefusalCounter<PeerRefusal>

  constructor (options: PeerListenerOptions) {
    const { self, address = self.vm, members, timers, log } = options
    this._options = options
    this._limitedLog = new LimitedEventLog({ timers, log })
    this._refusals = new RefusalCounter({ timers, log, event: 'peer.connections.refused', address })
    this._sockets = new PeerSockets({
      members,
      onClose: vm => this._refusals.count(vm === undefined ? PEER_REFUSALS.closedWithoutHello : PEER_REFUSALS.closedForMember)
    })
    this._server = options.createServer(socket => { this._serveConnection(socket) })
  }

  /** Starts listening. Rejects when the address cannot be used. */
  listen (host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen({ host, port }, () => {
        this._server.off('error', reject)
        this._server.on('error', err => this._options.log.event('error', 'peer.listener', { step: 'peer.accept', detail: err.message }))
        resolve()
      })
    })
  }

  /** Port at which the server listens. For tests, which listen at port 0. */
  get port (): number {
    const address = this._server.address()
    return typeof address === 'object' && address ? address.port : 0
  }

  /** Stops listening and closes all connections. */
  close (): Promise<void> {
    this._sockets.close()
    return new Promise(resolve => this._server.close(() => resolve()))
  }

  private async _serveConnection (socket: Socket): Promise<void> {
    const connection: AcceptedConnection = { socket, remote: `${socket.remoteAddress}:${socket.remotePort}` }
    this._sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    const helloTimer = this._options.timers.after(HELLO_TIMEOUT_MS, () => this._onHelloTimeout(socket))
    try {
      await this._serveFrames(connection, helloTimer)
    } catch (err) {
      this._onFailure(connection, err)
    } finally {
      helloTimer.cancel()
      socket.destroy()
      this._sockets.delete(socket, connection.from?.vm)
    }
  }

  private async _serveFrames (connection: AcceptedConnection, helloTimer: TimerSubscription): Promise<void> {
    const { socket } = connection
    const decoder = new FrameDecoder({ maxFrameBytes: MAX_HELLO_BYTES })
    for await (const chunk of socket) {
      for (const frame of decoder.push(chunk as Buffer)) {
        if (connection.from) {
          this._serveCall(socket, connection.from, frame)
          continue
        }
        helloTimer.cancel()
        connection.from = this._acceptHello(connection, frame)
        if (!connection.from) return
        decoder.maxFrameBytes = MAX_FRAME_BYTES
      }
    }
  }

  private _onHelloTimeout (socket: Socket): void {
    if (!this._sockets.delete(socket)) return
    this._refusals.count(PEER_REFUSALS.helloTimeout)
    socket.destroy()
  }

  private _onFailure ({ socket, remote, from }: AcceptedConnection, err: unknown): void {
    // A connection that was closed at a limit has been counted.
    if (!this._sockets.delete(socket, from?.vm)) return
    if (!from && err instanceof FrameError) this._refusals.count(PEER_REFUSALS.invalidHello)
    this._limitedLog.event('warn', 'peer.connection.ended', { step: 'peer.read', peer: remote, detail: errorText(err) })
  }

  private _acceptHello ({ socket, remote }: AcceptedConnection, frame: unknown): PeerIdentity | undefined {
    const { self, members } = this._options
    const hello = helloSchema.safeParse(frame)
    const refuse = (reason: string, cause: PeerRefusal = PEER_REFUSALS.refusedHello): undefined => {
      this._refusals.count(cause)
      this._limitedLog.event('warn', 'peer.refused', { step: 'peer.hello', peer: remote, reason })
      socket.end(encodeFrame({ type: 'refused', reason }))
      return undefined
    }
    if (!hello.success) return refuse('the first frame is not a hello frame', PEER_REFUSALS.invalidHello)
    const { protocol, vm, failureDomain, incarnation } = hello.data
    if (protocol !== PEER_PROTOCOL_VERSION) return refuse(`protocol version ${protocol}; this daemon supports ${PEER_PROTOCOL_VERSION}`)
    if (members.get(vm)?.failureDomain !== failureDomain) return refuse(`${vm} in ${failureDomain} is not in the member list of ${self.vm}`)
    this._sockets.accept(socket, vm)
    socket.write(encodeFrame({ type: 'welcome', vm: self.vm, incarnation: self.incarnation }))
    return { vm, failureDomain, incarnation }
  }

  private async _serveCall (socket: Socket, from: PeerIdentity, rawFrame: unknown): Promise<void> {
    const frame = frameSchema.safeParse(rawFrame)
    if (!frame.success || frame.data.type !== 'call') {
      this._options.log.event('warn', 'peer.frame.refused', { step: 'peer.read', peer: from.vm })
      socket.destroy()
      return
    }
    const { id, method, params } = frame.data
    try {
      const result = await this._dispatch(method, params, from)
      if (!socket.destroyed) socket.write(encodeFrame({ type: 'result', id, result }))
    } catch (err) {
      const effect = err instanceof CallError ? err.effect : EFFECTS.unknown
      const message = shorten(errorText(err), MAX_ERROR_CHARS)
      this._options.log.event('warn', 'peer.call.failed', { step: `peer.${method}`, peer: from.vm, detail: message })
      if (!socket.destroyed) socket.write(encodeFrame({ type: 'error', id, message, effect }))
    }
  }

  private _dispatch (method: string, params: unknown, from: PeerIdentity): Promise<unknown> {
    const details = { step: `peer.${method}`, peer: this._options.self.vm, effect: EFFECTS.none }
    const handler = Object.hasOwn(peerMethodSchemas, method) ? this._options.handlers[method as PeerMethod] : undefined
    if (!handler) throw new CallError('unknown method', details)
    const parsed = peerMethodSchemas[method as PeerMethod].params.safeParse(params)
    if (!parsed.success) throw new CallError(`invalid parameters: ${describeFaults(parsed.error, params)}`, details)
    return (handler as (params: unknown, from: PeerIdentity) => Promise<unknown>)(parsed.data, from)
  }
}
