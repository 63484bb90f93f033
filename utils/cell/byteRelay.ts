/**
 * A TCP relay on loopback that counts the bytes that pass through it.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from 'node:net'
import { splitAddress } from 'pomelofold/utils/address'

/** Forwards connections to one address and counts the bytes in both directions. */
export class ByteRelay {
  private readonly _sockets = new Set<Socket>()
  private readonly _server: Server
  private _bytes = 0

  private constructor (target: string) {
    this._server = createServer(socket => this._relay(socket, target))
  }

  /** Starts a relay to `target` (`host:port`). */
  static async startTo (target: string): Promise<ByteRelay> {
    const relay = new ByteRelay(target)
    await new Promise<void>(resolve => relay._server.listen(0, '127.0.0.1', resolve))
    return relay
  }

  /** Address to connect to instead of the target. */
  get address (): string {
    return `127.0.0.1:${(this._server.address() as { port: number }).port}`
  }

  /** Number of bytes forwarded in both directions. */
  get bytes (): number {
    return this._bytes
  }

  close (): void {
    for (const socket of this._sockets) socket.destroy()
    this._server.close()
  }

  private _relay (socket: Socket, target: string): void {
    const outgoing = connect({ ...splitAddress(target) })
    for (const [from, to] of [[socket, outgoing], [outgoing, socket]]) {
      this._sockets.add(from)
      from.on('data', chunk => { this._bytes += chunk.length; to.write(chunk) })
      from.on('error', () => {})
      from.on('close', () => { to.destroy(); this._sockets.delete(from) })
    }
  }
}
