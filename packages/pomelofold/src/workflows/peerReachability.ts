/**
 * Decides whether a daemon that has lost the store can still serve callers: it can while it reaches peers.
 *
 * Load pattern: a failure domain that is cut off while its callers keep submitting. Its daemons can store
 * nothing, even if the scheduler is one of them, and callers are served better by another domain. When the store
 * is down for all daemons, no other domain serves better, and states of workflows can still be read.
 *
 * @module
 */

import type { CellSession } from './cellSession.js'
import type { PeerTransport } from '../seams/peerTransport.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers } from '../seams/timers.js'
import { isConnectionRefused } from '../utils/errors.js'

/** Peers asked in one probe. */
const PEERS_PER_PROBE = 3
/** Timeout of a call to a peer, in milliseconds. */
const PROBE_TIMEOUT_MS = 400
/** Age up to which an answer of a peer counts, in milliseconds: three probe periods of the daemon. */
const ANSWER_MAX_AGE_MS = 1_000

/** Options of a {@link PeerReachability}. */
export interface PeerReachabilityOptions {
  vm: string
  failureDomain: string
  session: CellSession
  transport: PeerTransport
  timers: Timers
  random: RandomSource
}

/** Probes peers of other failure domains, or of this daemon's domain when there is no other. */
export class PeerReachability {
  private readonly _options: PeerReachabilityOptions
  /** Time of the last answer of a peer that proves that this daemon is not cut off. */
  private _lastAnswerMs = Number.NEGATIVE_INFINITY
  /** Time at which each peer last confirmed that it can reach the store. */
  private readonly _storeConfirmedMs = new Map<string, number>()
  private _probedMs = Number.NEGATIVE_INFINITY

  constructor (options: PeerReachabilityOptions) {
    this._options = options
  }

  /** True when a peer that proves connectivity has answered within `ANSWER_MAX_AGE_MS`. */
  get hasRecentAnswer (): boolean {
    return this._options.timers.now() - this._lastAnswerMs < ANSWER_MAX_AGE_MS
  }

  /** Peers that have recently confirmed that they can reach the store. Probes first when the last probe is too old. */
  async findPeersWithStore (): Promise<string[]> {
    const { timers } = this._options
    if (timers.now() - this._probedMs > ANSWER_MAX_AGE_MS) await this.probe()
    const beforeMs = timers.now() - ANSWER_MAX_AGE_MS
    return [...this._storeConfirmedMs].filter(([, atMs]) => atMs > beforeMs).map(([vm]) => vm)
  }

  /** Asks a few peers and the scheduler whether they can reach the store. A refused connection shows that the scheduler has ended. */
  async probe (): Promise<void> {
    const { session, transport, timers } = this._options
    const { leader } = session
    this._probedMs = timers.now()
    const targets = leader && leader.vm !== this._options.vm ? new Set([...this._samplePeers(), leader.vm]) : new Set(this._samplePeers())
    await Promise.all([...targets].map(async vm => {
      const answer = await transport.call(vm, 'reachesStore', {}, PROBE_TIMEOUT_MS)
      if (answer.isOk && this._provesConnectivity(vm)) this._lastAnswerMs = timers.now()
      if (answer.isOk && answer.value.reaches) this._storeConfirmedMs.set(vm, timers.now())
      else this._storeConfirmedMs.delete(vm)
      if (answer.isErr && vm === leader?.vm && isConnectionRefused(answer.error)) session.noteLeaderRefusedConnection(leader.epoch)
    }))
  }

  private _samplePeers (): string[] {
    const { session, vm, random } = this._options
    const peers = session.presentMembers.filter(other => other !== vm && this._provesConnectivity(other))
    return Array.from({ length: Math.min(PEERS_PER_PROBE, peers.length) }, () => peers.splice(random.int(peers.length), 1)[0])
  }

  /** True for peers whose answer proves that the failure domain of this daemon is not cut off: those of other domains, if any. */
  private _provesConnectivity (peer: string): boolean {
    const { session, failureDomain } = this._options
    const domains = [...session.members.values()].map(member => member.failureDomain)
    return domains.every(domain => domain === failureDomain) || session.members.get(peer)?.failureDomain !== failureDomain
  }
}
