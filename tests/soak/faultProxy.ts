/**
 * A proxy on the loopback interface that harms the connections through it.
 *
 * @module
 */

import { once } from 'node:events'
import { connect, createServer, type Server, type Socket } from 'node:net'

/** What happens to connections. */
export const LINK_FAULTS = {
  none: 'none',
  /** Bytes arrive late, both ways. */
  delayed: 'delayed',
  /** Nothing passes, and nothing is said of it; bytes sent meanwhile are lost with their connection. */
  silent: 'silent',
  /** Requests arrive; answers do not. */
  oneWay: 'oneWay',
  /** Connections are reset, new ones at once. */
  reset: 'reset'
} as const

/** One of {@link LINK_FAULTS}. */
export type LinkFault = typeof LINK_FAULTS[keyof typeof LINK_FAULTS]

const DELAY_MS = 250

/** Forwards connections to one address. */
export class FaultProxy {
  private readonly _target: { host: string, port: number }
  private readonly _server: Server
  private readonly _pairs = new Set<[Socket, Socket]>()
  /** Connections through which nothing passes any more, in a direction. */
  private readonly _blockedSources = new Set<Socket>()
  private _fault: LinkFault = LINK_FAULTS.none

  constructor (target: string) {
    const { hostname, port } = new URL(`http://${target}`)
    this._target = { host: hostname, port: Number(port) }
    this._server = createServer(socket => this._accept(socket))
  }

  async listen (host: string, port: number): Promise<void> {
    this._server.listen(port, host)
    await once(this._server, 'listening')
  }

  /** Sets the fault for open and for new connections. */
  setFault (fault: LinkFault): void {
    this._fault = fault
    for (const [inner, outer] of this._pairs) this._applyFault(inner, outer)
  }

  close (): void {
    this._server.close()
    for (const pair of this._pairs) for (const socket of pair) socket.destroy()
  }

  private _accept (inner: Socket): void {
    const outer = connect(this._target)
    this._pairs.add([inner, outer])
    this._applyFault(inner, outer)
    this._pipe(inner, outer)
    this._pipe(outer, inner)
  }

  /** A connection that was silent once stays so when the fault is over, as its bytes are lost. */
  private _applyFault (inner: Socket, outer: Socket): void {
    if (this._fault === LINK_FAULTS.reset) inner.resetAndDestroy()
    if (this._fault === LINK_FAULTS.silent) this._blockedSources.add(inner)
    if (this._fault === LINK_FAULTS.silent || this._fault === LINK_FAULTS.oneWay) this._blockedSources.add(outer)
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
