/**
 * State of the other entry daemons, kept up to date by a loop of heartbeats to each.
 *
 * @module
 */

import type { EventLog } from '../utils/eventLog.js'
import type { ServiceLoad } from '../protocol/requests.js'
import type { PeerMethods } from '../protocol/peerMessages.js'
import type { PeerTransport } from '../seams/peerTransport.js'
import { delay, type Timers } from '../seams/timers.js'

/** Period of heartbeats to other failure domains, as a multiple of the period within the failure domain of this process. */
const REMOTE_HEARTBEAT_PERIOD_FACTOR = 5

/** Number of consecutive heartbeats without an answer after which a peer counts as unreachable. */
const MISSED_HEARTBEATS_LIMIT = 2

/** State of another entry daemon, from the heartbeats that are exchanged with it. */
export interface PeerState {
  vm: string
  failureDomain: string
  reachable: boolean
  /** True when the peer is draining or shutting down. */
  leaving: boolean
  /** Revision of the manifest in force at the peer, by its last answer. */
  revision: number
  /** Round-trip time of the last answered heartbeat, in milliseconds. */
  roundTripMs: number
  loads: Record<string, ServiceLoad>
}

/** Content of the answer to a heartbeat. */
export type Heartbeat = PeerMethods['heartbeat']['result']

/** Options of a {@link PeerTable}. */
export interface PeerTableOptions {
  timers: Timers
  transport: PeerTransport
  log: EventLog
  /** The other entry VMs. */
  peers: Array<{ vm: string, failureDomain: string }>
  /** Failure domain of this process. */
  failureDomain: string
  /** Period of heartbeats within the failure domain. */
  heartbeatMs: number
  /** Returns the content of this process's heartbeats. */
  ownHeartbeat: () => Heartbeat
  /** Called with each answer. */
  onHeartbeat: (vm: string, heartbeat: Heartbeat) => void
}

/** Sends heartbeats to all peers and stores the last answer of each. */
export class PeerTable {
  private readonly _options: PeerTableOptions
  private readonly _states = new Map<string, PeerState>()
  private _stopped = false

  constructor (options: PeerTableOptions) {
    this._options = options
    for (const { vm, failureDomain } of options.peers) {
      this._states.set(vm, { vm, failureDomain, reachable: false, leaving: false, revision: 0, roundTripMs: 0, loads: {} })
    }
  }

  /** All other entry VMs, reachable or not. */
  all (): PeerState[] {
    return [...this._states.values()]
  }

  start (): void {
    for (const state of this._states.values()) this._runHeartbeats(state)
  }

  stop (): void {
    this._stopped = true
  }

  private async _runHeartbeats (state: PeerState): Promise<void> {
    const { timers, failureDomain, heartbeatMs } = this._options
    const periodMs = state.failureDomain === failureDomain ? heartbeatMs : heartbeatMs * REMOTE_HEARTBEAT_PERIOD_FACTOR
    let missedHeartbeats = 0
    while (!this._stopped) {
      const answered = await this._sendHeartbeat(state, periodMs)
      missedHeartbeats = answered ? 0 : missedHeartbeats + 1
      const reachable = answered || (state.reachable && missedHeartbeats < MISSED_HEARTBEATS_LIMIT)
      if (reachable !== state.reachable) this._options.log.event(reachable ? 'info' : 'warn', reachable ? 'peer.reachable' : 'peer.unreachable', { peer: state.vm })
      state.reachable = reachable
      await delay(timers, state.reachable ? periodMs : Math.min(periodMs, heartbeatMs))
    }
  }

  private async _sendHeartbeat (state: PeerState, timeoutMs: number): Promise<boolean> {
    const { timers, transport, ownHeartbeat, onHeartbeat } = this._options
    const sentMs = timers.now()
    const { revision, loads } = ownHeartbeat()
    const answer = await transport.call(state.vm, 'heartbeat', { revision, loads }, timeoutMs)
    if (answer.isErr) return false
    const heartbeat = answer.value
    Object.assign(state, heartbeat, { roundTripMs: timers.now() - sentMs })
    onHeartbeat(state.vm, heartbeat)
    return true
  }
}
