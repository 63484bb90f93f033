/**
 * Peer transport over TCP. It opens a connection to a peer at the first call, and again at the next call after it ended.
 *
 * @module
 */

import { connect, createServer } from 'node:net'
import Result from 'true-myth/result'
import { CallError, EFFECTS } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import type { PeerMethod, PeerMethods } from '../protocol/peerMessages.js'
import type { PeerHandlers, PeerIdentity, PeerTransport } from '../seams/peerTransport.js'
import type { Timers } from '../seams/timers.js'
import { splitAddress } from '../utils/address.js'
import { PeerConnection } from './peerConnection.js'
import { PeerListener } from './peerListener.js'

/** Minimum time between two attempts to connect to the same peer, in milliseconds. */
const RECONNECT_INTERVAL_MS = 200

/** Options of a {@link TcpPeerTransport}. */
export interface TcpPeerTransportOptions {
  self: PeerIdentity
  /** Address at which this daemon listens, `host:port`. */
  address: string
  /** All entry VMs of the cell, by name. The map is read at each call and may change. */
  members: ReadonlyMap<string, { failureDomain: string, address: string }>
  timers: Timers
  log: EventLog
}

interface PeerLink {
  connection: PeerConnection
  address: string
  openedMs: number
}

/** {@link PeerTransport} over TCP with CBOR frames. */
export class TcpPeerTransport implements PeerTransport {
  private readonly _options: TcpPeerTransportOptions
  private readonly _links = new Map<string, PeerLink>()
  private _listener: PeerListener | undefined
  private _closed = false

  constructor (options: TcpPeerTransportOptions) {
    this._options = options
  }

  async call<M extends PeerMethod> (vm: string, method: M, params: PeerMethods[M]['params'], timeoutMs: number):
  Promise<Result<PeerMethods[M]['result'], CallError>> {
    const connection = this._connectionTo(vm)
    if (typeof connection === 'string') {
      return Result.err(new CallError(connection, { step: `peer.${method}`, peer: vm, effect: EFFECTS.none }))
    }
    return connection.call(method, params, timeoutMs)
  }

  async listen (handlers: PeerHandlers): Promise<void> {
    const { self, address, members, timers, log } = this._options
    const { host, port } = splitAddress(address)
    this._listener = new PeerListener({ self, address, handlers, members, timers, log, createServer })
    await this._listener.listen(host, port)
  }

  async close (): Promise<void> {
    this._closed = true
    for (const { connection } of this._links.values()) connection.close()
    await this._listener?.close()
  }

  /** Returns the open connection or a new one, or a text that says why there is none. */
  private _connectionTo (vm: string): PeerConnection | string {
    const { self, members, timers } = this._options
    if (this._closed) return 'this daemon is shutting down'
    const member = members.get(vm)
    if (!member) return 'the VM is not a member of the cell'
    const link = this._links.get(vm)
    const addressChanged = link && link.address !== member.address
    if (link && !addressChanged && !link.connection.ended) return link.connection
    if (link && !addressChanged && timers.now() - link.openedMs < RECONNECT_INTERVAL_MS) return 'the last connection attempt was too recent to reconnect'
    link?.connection.close()
    const { host, port } = splitAddress(member.address)
    const connection = new PeerConnection({ peer: vm, self, timers, connect: () => connect({ host, port }) })
    this._links.set(vm, { connection, address: member.address, openedMs: timers.now() })
    return connection
  }
}
