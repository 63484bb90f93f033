/**
 * Bounds the connections to the port of the peers.
 *
 * @module
 */

import type { Socket } from 'node:net'

/** Connections without a hello frame that may be open at once, beside those for each member. */
const BASE_WITHOUT_HELLO = 64
const WITHOUT_HELLO_PER_MEMBER = 2

/** Options of {@link PeerSockets}. */
export interface PeerSocketsOptions {
  /** VMs that may connect, by name. */
  members: ReadonlyMap<string, unknown>
  /** Maximum number of connections of one member. Beyond it, the oldest one is closed for a new one. */
  maxPerMember?: number
  /** Called when a connection is closed for a new one; `vm` is undefined when it had not sent a hello frame. */
  onClose: (vm: string | undefined) => void
}

/** Open sockets of a listener. Connections without a hello frame are never kept at the cost of those of members. */
export class PeerSockets {
  private readonly _options: Required<PeerSocketsOptions>
  /** The oldest ones first. */
  private readonly _withoutHello = new Set<Socket>()
  /** By name of the VM, the oldest ones first. */
  private readonly _byMember = new Map<string, Set<Socket>>()

  constructor ({ maxPerMember = 8, ...options }: PeerSocketsOptions) {
    this._options = { maxPerMember, ...options }
  }

  /** Adds a new connection. At the maximum number of connections without a hello frame, the oldest of them is closed. */
  add (socket: Socket): void {
    const { members } = this._options
    this._closeOldest(this._withoutHello, BASE_WITHOUT_HELLO + WITHOUT_HELLO_PER_MEMBER * members.size)
    this._withoutHello.add(socket)
  }

  /** Notes that the hello frame of a member has been accepted. At its maximum number of connections, the oldest one is closed. */
  accept (socket: Socket, vm: string): void {
    const sockets = this._byMember.get(vm) ?? new Set()
    this._byMember.set(vm, sockets)
    this._withoutHello.delete(socket)
    this._closeOldest(sockets, this._options.maxPerMember, vm)
    sockets.add(socket)
  }

  /** Removes a connection that has ended. Returns false when it was closed for a new one. */
  delete (socket: Socket, vm?: string): boolean {
    if (vm === undefined) return this._withoutHello.delete(socket)
    const sockets = this._byMember.get(vm)
    const deleted = sockets?.delete(socket) ?? false
    if (sockets?.size === 0) this._byMember.delete(vm)
    return deleted
  }

  /** Closes all connections. */
  close (): void {
    for (const sockets of [this._withoutHello, ...this._byMember.values()]) {
      for (const socket of sockets) socket.destroy()
    }
  }

  private _closeOldest (sockets: Set<Socket>, max: number, vm?: string): void {
    if (sockets.size < max) return
    const [oldest] = sockets
    sockets.delete(oldest)
    oldest.destroy()
    this._options.onClose(vm)
  }
}
