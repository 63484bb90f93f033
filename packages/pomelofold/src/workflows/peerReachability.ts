/**
 * Whether a daemon that has lost the store can still be of use to callers.
 *
 * Load pattern: a failure domain that is cut off while its callers keep submitting. Its daemons can store
 * nothing, the scheduler's included, and callers are better served by another domain. When the store is down
 * for all, no other domain serves better, and states can still be told.
 *
 * @module
 */

import type { CellSession } from './cellSession.js'
import type { PeerTransport } from '../seams/peerTransport.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers } from '../seams/timers.js'
import { isRefused } from '../utils/errors.js'

/** Peers asked at once. */
const SAMPLE_SIZE = 3
/** Longest wait for a peer's answer, in milliseconds. */
const PROBE_TIMEOUT_MS = 400
/** Age of the last answer up to which peers count as reached, in milliseconds: three probes of the daemon. */
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

/** Asks peers of other failure domains for signs of life; those of the own domain when there is no other. */
export class PeerReachability {
  private readonly _options: PeerReachabilityOptions
  private _lastAnswerMs = Number.NEGATIVE_INFINITY
  /** Times at which peers have last said that they reach the store. */
  private readonly _storeConfirmedMs = new Map<string, number>()
  private _probedMs = Number.NEGATIVE_INFINITY

  constructor (options: PeerReachabilityOptions) {
    this._options = options
  }

  /** True when a peer has answered lately. */
  get hasRecentAnswer (): boolean {
    return this._options.timers.now() - this._lastAnswerMs < ANSWER_MAX_AGE_MS
  }

  /** Peers that have lately said that they reach the store. Asks first when nobody has been asked lately. */
  async findPeersWithStore (): Promise<string[]> {
    const { timers } = this._options
    if (timers.now() - this._probedMs > ANSWER_MAX_AGE_MS) await this.probe()
    const beforeMs = timers.now() - ANSWER_MAX_AGE_MS
    return [...this._storeConfirmedMs].filter(([, atMs]) => atMs > beforeMs).map(([vm]) => vm)
  }

  /** Asks a few peers, and the scheduler whether its process lives. */
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
      if (answer.isErr && vm === leader?.vm && isRefused(answer.error)) session.noteLeaderRefusedConnection(leader.epoch)
    }))
  }

  private _samplePeers (): string[] {
    const { session, vm, random } = this._options
    const peers = session.presentMembers.filter(other => other !== vm && this._provesConnectivity(other))
    return Array.from({ length: Math.min(SAMPLE_SIZE, peers.length) }, () => peers.splice(random.int(peers.length), 1)[0])
  }

  /** Peers of the own failure domain tell nothing of a cut around it. */
  private _provesConnectivity (peer: string): boolean {
    const { session, failureDomain } = this._options
    const domains = [...session.members.values()].map(member => member.failureDomain)
    return domains.every(domain => domain === failureDomain) || session.members.get(peer)?.failureDomain !== failureDomain
  }
}
