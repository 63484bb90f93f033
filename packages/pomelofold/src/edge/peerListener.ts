/**
 * Accepts connections from peers and answers their calls.
 *
 * @module
 */

import type { Server, Socket } from 'node:net'
import { CallError, EFFECTS, errorText } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import { encodeFrame, FrameDecoder } from '../protocol/framing.js'
import { frameSchema, helloSchema, PEER_PROTOCOL_VERSION, peerMethodSchemas, type PeerMethod } from '../protocol/peerMessages.js'
import type { PeerHandlers, PeerIdentity } from '../seams/peerTransport.js'
import type { Timers } from '../seams/timers.js'

/** Time limit for the first frame of a new connection, in milliseconds. */
const HELLO_TIMEOUT_MS = 5_000

/** Options of a {@link PeerListener}. */
export interface PeerListenerOptions {
  self: PeerIdentity
  handlers: PeerHandlers
  /** VMs that may connect, by name. */
  members: ReadonlyMap<string, { failureDomain: string }>
  timers: Timers
  log: EventLog
  createServer: (onConnection: (socket: Socket) => void) => Server
}

/** Server for the calls of peers. The calls of a connection run concurrently. */
export class PeerListener {
  private readonly _options: PeerListenerOptions
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()

  constructor (options: PeerListenerOptions) {
    this._options = options
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
    for (const socket of this._sockets) socket.destroy()
    return new Promise(resolve => this._server.close(() => resolve()))
  }

  private async _serveConnection (socket: Socket): Promise<void> {
    const { log } = this._options
    const remote = `${socket.remoteAddress}:${socket.remotePort}`
    this._sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    try {
      await this._serveFrames(socket, remote)
    } catch (err) {
      log.event('warn', 'peer.connection.ended', { step: 'peer.read', peer: remote, detail: errorText(err) })
    } finally {
      socket.destroy()
      this._sockets.delete(socket)
    }
  }

  private async _serveFrames (socket: Socket, remote: string): Promise<void> {
    const decoder = new FrameDecoder()
    const helloTimer = this._options.timers.after(HELLO_TIMEOUT_MS, () => socket.destroy())
    let from: PeerIdentity | undefined
    for await (const chunk of socket) {
      for (const frame of decoder.push(chunk as Buffer)) {
        if (from) {
          this._serveCall(socket, from, frame)
          continue
        }
        from = this._acceptHello(socket, frame, remote)
        helloTimer.cancel()
        if (!from) return
      }
    }
  }

  private _acceptHello (socket: Socket, frame: unknown, remote: string): PeerIdentity | undefined {
    const { self, members, log } = this._options
    const hello = helloSchema.safeParse(frame)
    const refuse = (reason: string): undefined => {
      log.event('warn', 'peer.refused', { step: 'peer.hello', peer: remote, reason })
      socket.end(encodeFrame({ type: 'refused', reason }))
      return undefined
    }
    if (!hello.success) return refuse('the first frame is not a hello frame')
    const { protocol, vm, failureDomain, incarnation } = hello.data
    if (protocol !== PEER_PROTOCOL_VERSION) return refuse(`protocol version ${protocol}; this daemon supports ${PEER_PROTOCOL_VERSION}`)
    if (members.get(vm)?.failureDomain !== failureDomain) return refuse(`${vm} in ${failureDomain} is not in the member list of ${self.vm}`)
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
      this._options.log.event('warn', 'peer.call.failed', { step: `peer.${method}`, peer: from.vm, detail: errorText(err) })
      if (!socket.destroyed) socket.write(encodeFrame({ type: 'error', id, message: errorText(err), effect }))
    }
  }

  private _dispatch (method: string, params: unknown, from: PeerIdentity): Promise<unknown> {
    const details = { step: `peer.${method}`, peer: this._options.self.vm, effect: EFFECTS.none }
    const handler = Object.hasOwn(peerMethodSchemas, method) ? this._options.handlers[method as PeerMethod] : undefined
    if (!handler) throw new CallError('unknown method', details)
    const parsed = peerMethodSchemas[method as PeerMethod].params.safeParse(params)
    if (!parsed.success) throw new CallError(`invalid parameters: ${parsed.error.message}`, details)
    return (handler as (params: unknown, from: PeerIdentity) => Promise<unknown>)(parsed.data, from)
  }
}
