/**
 * Messages between entry daemons. Requests are answered or fail by their deadline.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import type { CallError } from '../utils/errors.js'
import type { PeerMethod, PeerMethods } from '../protocol/peerMessages.js'

/** Who sent a peer request. Set by the transport from the connection's first frame, not by the message. */
export interface PeerIdentity {
  vm: string
  failureDomain: string
  /** Distinguishes the processes that have run on the VM. */
  incarnation: string
}

/** Handles one kind of request from peers. A rejected promise reaches the caller as an error. */
export type PeerHandler<M extends PeerMethod> =
  (params: PeerMethods[M]['params'], from: PeerIdentity) => Promise<PeerMethods[M]['result']>

/** Table of handlers, one for each method. */
export type PeerHandlers = { [M in PeerMethod]?: PeerHandler<M> }

/** Sends requests to peers and serves theirs. */
export interface PeerTransport {
  /** Calls `method` at the peer named `vm`. Never rejects. */
  call<M extends PeerMethod> (vm: string, method: M, params: PeerMethods[M]['params'], timeoutMs: number):
  Promise<Result<PeerMethods[M]['result'], CallError>>
  /** Starts serving. */
  listen (handlers: PeerHandlers): Promise<void>
  /** Closes the listener and all connections. */
  close (): Promise<void>
}
