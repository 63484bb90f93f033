/**
 * A TCP proxy on the loopback interface that disturbs the connections through it.
 *
 * @module
 */

import { once } from 'node:events'
import { connect, createServer, type Server, type Socket } from 'node:net'

/** Faults of connections. */
export const LINK_FAULTS = {
  none: 'none',
  /** Bytes arrive late in both directions. */
  delayed: 'delayed',
  /** Bytes are dropped in both directions while connections stay open. A connection with dropped bytes does not recover. */
  blackholed: 'blackholed',
  /** Requests arrive; answers are dropped. */
  oneWay: 'oneWay',
  /** Open connections are reset, new ones as soon as they are accepted. */
  reset: 'reset',
  /** Open connections are reset, new ones refused. */
  refused: 'refused'
} as const

/** One of {@link LINK_FAULTS}. */
export type LinkFault = typeof LINK_FAULTS[keyof typeof LINK_FAULTS]

const DELAY_MS = 250

/** Forwards connections to one address, with a fault that can be changed at any time. */
export class FaultProxy {
  private readonly _target: { host: string, port: number }
  private readonly _server: Server
  private readonly _pairs = new Set<[Socket, Socket]>()
  /** Sockets whose incoming bytes are dropped. */
  private readonly _blockedSources = new Set<Socket>()
  private _fault: LinkFault = LINK_FAULTS.none
  private _port = 0
  private _host = ''
  private _closed = false

  constructor (target: string) {
    const { hostname, port } = new URL(`http://${target}`)
    this._target = { host: hostname, port: Number(port) }
    this._server = createServer(socket => this._accept(socket))
  }

  async listen (host: string, port: number): Promise<void> {
    this._port = port
    this._host = host
    this._server.listen(port, host)
    await once(this._server, 'listening')
  }

  get fault (): LinkFault {
    return this._fault
  }

  /** Sets the fault for open and for new connections. */
  setFault (fault: LinkFault): void {
    if (this._closed) return
    if (this._fault === LINK_FAULTS.refused && fault !== LINK_FAULTS.refused) this._server.listen(this._port, this._host)
    if (fault === LINK_FAULTS.refused && this._server.listening) this._server.close()
    this._fault = fault
    for (const [incoming, outgoing] of this._pairs) this._applyFault(incoming, outgoing)
  }

  close (): void {
    this._closed = true
    this._server.close()
    for (const pair of this._pairs) for (const socket of pair) socket.destroy()
  }

  private _accept (incoming: Socket): void {
    const outgoing = connect(this._target)
    this._pairs.add([incoming, outgoing])
    this._applyFault(incoming, outgoing)
    this._pipe(incoming, outgoing)
    this._pipe(outgoing, incoming)
  }

  /** Applies the fault to a connection. A direction that was blocked stays blocked after the fault, as its bytes are lost. */
  private _applyFault (incoming: Socket, outgoing: Socket): void {
    if (this._fault === LINK_FAULTS.reset || this._fault === LINK_FAULTS.refused) incoming.resetAndDestroy()
    if (this._fault === LINK_FAULTS.blackholed) this._blockedSources.add(incoming)
    if (this._fault === LINK_FAULTS.blackholed || this._fault === LINK_FAULTS.oneWay) this._blockedSources.add(outgoing)
  }

  private _pipe (from: Socket, to: Socket): void {
    from.on('data', bytes => {
      if (this._blockedSources.has(from)) return
      if (this._fault === LINK_FAULTS.delayed) setTimeout(() => to.destroyed || to.write(bytes), DELAY_MS)
      else to.write(bytes)
    })
    from.on('error', () => to.destroy())
    from.on('close', () => {
      to.destroy()
      for (const pair of this._pairs) if (pair.includes(from)) this._pairs.delete(pair)
    })
  }
}
