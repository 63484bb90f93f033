/**
 * Interface for calls between entry daemons.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import type { CallError } from '../utils/errors.js'
import type { PeerMethod, PeerMethods } from '../protocol/peerMessages.js'

/** Sender of a call. The transport takes it from the first frame of the connection, not from the message. */
export interface PeerIdentity {
  vm: string
  failureDomain: string
  /** Distinguishes the successive daemon processes of a VM. */
  incarnation: string
}

/** Handler of one method. A rejected promise is sent to the caller as an error. */
export type PeerHandler<M extends PeerMethod> =
  (params: PeerMethods[M]['params'], from: PeerIdentity) => Promise<PeerMethods[M]['result']>

/** Handlers by method. */
export type PeerHandlers = { [M in PeerMethod]?: PeerHandler<M> }

/** Sends calls to peers and answers calls from peers. */
export interface PeerTransport {
  /** Calls `method` at the peer `vm`. The call is answered or fails by its deadline. The promise never rejects. */
  call<M extends PeerMethod> (vm: string, method: M, params: PeerMethods[M]['params'], timeoutMs: number):
  Promise<Result<PeerMethods[M]['result'], CallError>>
  /** Starts to accept connections from peers. */
  listen (handlers: PeerHandlers): Promise<void>
  /** Closes the listener and all connections. */
  close (): Promise<void>
}
