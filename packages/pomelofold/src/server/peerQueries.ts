/**
 * Read-only calls of an entry daemon to other entry daemons.
 *
 * @module
 */

import type Result from 'true-myth/result'
import type { CallError } from '../utils/errors.js'
import type { QueryKeyOwner } from '../outcomes/keyedRequests.js'
import type { PeerState, PeerTable } from '../peers/peerTable.js'
import type { VersionedManifest } from '../protocol/manifest.js'
import type { RequestRecord } from '../protocol/requests.js'
import type { VmRecord } from '../protocol/vms.js'
import type { PeerTransport } from '../seams/peerTransport.js'

/** Timeout of a query, in milliseconds. */
const QUERY_TIMEOUT_MS = 2_000

/** Options of {@link PeerQueries}. */
export interface PeerQueriesOptions {
  transport: PeerTransport
  peers: PeerTable
  failureDomain: string
}

/** Queries manifests, lists of VMs, outcomes and figures from other entry daemons. */
export class PeerQueries {
  private readonly _options: PeerQueriesOptions

  constructor (options: PeerQueriesOptions) {
    this._options = options
  }

  /** One reachable entry VM of each other failure domain. It can read the list of VMs while this VM cannot reach the platform. */
  relays (): string[] {
    const { failureDomain } = this._options
    const others = this._reachable().filter(peer => peer.failureDomain !== failureDomain)
    return [...new Map(others.map(peer => [peer.failureDomain, peer.vm])).values()]
  }

  /** The list of VMs of this daemon's failure domain, read from the platform by the entry VM `vm`. Null when that VM could not read it. */
  listVms (vm: string): Promise<Result<{ vms: VmRecord[] | null }, CallError>> {
    const { transport, failureDomain } = this._options
    return transport.call(vm, 'listVms', { failureDomain }, QUERY_TIMEOUT_MS)
  }

  fetchManifest (vm: string): Promise<Result<VersionedManifest, CallError>> {
    return this._options.transport.call(vm, 'fetchManifest', {}, QUERY_TIMEOUT_MS)
  }

  /** Outcome of a request with an idempotency key, from the process that stored the record of the key. */
  readonly keyedOutcome: QueryKeyOwner = async (vm, key, requestId) => {
    const result = await this._options.transport.call(vm, 'keyedOutcome', { key, requestId }, QUERY_TIMEOUT_MS)
    return result.isOk ? result.value : undefined
  }

  /** Records of a request from all reachable entry daemons that have one. */
  async explainRequest (requestId: string): Promise<RequestRecord[]> {
    const answers = await Promise.all(this._reachable().map(peer =>
      this._options.transport.call(peer.vm, 'explainRequest', { requestId }, QUERY_TIMEOUT_MS)))
    return answers.flatMap(answer => answer.isOk && answer.value ? [answer.value] : [])
  }

  /** Figures of the other entry daemons by VM, and the names of unreachable VMs. */
  async figures (): Promise<{ figures: Record<string, unknown>, unreachable: string[] }> {
    const peers = this._options.peers.all()
    const results = await Promise.all(peers.map(peer => this._options.transport.call(peer.vm, 'figures', {}, QUERY_TIMEOUT_MS)))
    return {
      figures: Object.fromEntries(results.flatMap((answer, i) => answer.isOk ? [[peers[i].vm, answer.value]] : [])),
      unreachable: peers.filter((_, i) => results[i].isErr).map(peer => peer.vm)
    }
  }

  private _reachable (): PeerState[] {
    return this._options.peers.all().filter(peer => peer.reachable)
  }
}
