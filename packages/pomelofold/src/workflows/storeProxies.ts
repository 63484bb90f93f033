/**
 * Chooses the peers that are asked to write to the store for a daemon that cannot reach it.
 *
 * Load pattern: a failure domain that is cut off, or a store that is down for all, while callers keep
 * submitting. The first submissions find which peers cannot help. Later ones are refused at once, until the pause
 * of these peers ends.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Most peers asked for one write, one after the other. */
const MAX_PROXIES = 3
/** Time for which a peer that failed is not asked, in milliseconds: two renewals of its lease, which show whether the store is back. */
const FAILED_PAUSE_MS = 1_000

/** A peer that may be asked. */
export interface ProxyCandidate {
  vm: string
  failureDomain: string
}

/** Ranks peers by whether their last write succeeded, and pauses those that failed. */
export class StoreProxies {
  private readonly _timers: Timers
  private readonly _failureDomain: string
  /** End of the pause of peers that failed, by VM. */
  private readonly _pausedUntilMs = new Map<string, number>()
  /** VM of the peer that last stored something. */
  private _lastSuccessfulProxy: string | undefined

  constructor ({ timers, failureDomain }: { timers: Timers, failureDomain: string }) {
    this._timers = timers
    this._failureDomain = failureDomain
  }

  /**
   * Peers to ask, best first: the last one that succeeded, `preferred`, then peers of each failure domain in turn.
   * Peers of this daemon's domain come last.
   */
  choose (peers: ProxyCandidate[], preferred?: string): string[] {
    const countByDomain = new Map<string, number>()
    const ranked = peers.filter(({ vm }) => !this.isPaused(vm)).map(({ vm, failureDomain }) => {
      const indexInDomain = countByDomain.get(failureDomain) ?? 0
      countByDomain.set(failureDomain, indexInDomain + 1)
      if (vm === this._lastSuccessfulProxy) return { vm, rank: -2 }
      if (vm === preferred) return { vm, rank: -1 }
      return { vm, rank: failureDomain === this._failureDomain ? peers.length + indexInDomain : indexInDomain }
    })
    return ranked.sort((a, b) => a.rank - b.rank).slice(0, MAX_PROXIES).map(({ vm }) => vm)
  }

  /** True while a peer is not asked because it has failed. */
  isPaused (vm: string): boolean {
    return (this._pausedUntilMs.get(vm) ?? 0) > this._timers.now()
  }

  /** Notes that a peer has stored something. */
  noteSucceeded (vm: string): void {
    this._lastSuccessfulProxy = vm
    this._pausedUntilMs.delete(vm)
  }

  /** Notes that a peer did not answer, or cannot reach the store either. */
  noteFailed (vm: string): void {
    if (this._lastSuccessfulProxy === vm) this._lastSuccessfulProxy = undefined
    this._pausedUntilMs.set(vm, this._timers.now() + FAILED_PAUSE_MS)
  }
}
