/**
 * Chooses peers that may store something for a daemon without a path to the store.
 *
 * Load pattern: a failure domain that is cut off, or a store that is down for all, while callers keep
 * submitting. The first calls find out which peers cannot help; those that follow are refused at once, until
 * the peers are asked again.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Most peers asked for one submission, one after the other. */
const MAX_PROXIES = 3
/** Time for which a peer that could not help is left alone, in milliseconds: two renewals of the session, which find a path again. */
const FAILED_PAUSE_MS = 1_000

/** A peer, as far as the choice depends on it. */
export interface ProxyCandidate {
  vm: string
  failureDomain: string
}

/** Knows which peers have helped and which could not. */
export class StoreProxies {
  private readonly _timers: Timers
  private readonly _failureDomain: string
  private readonly _pausedUntilMs = new Map<string, number>()
  private _lastHelper: string | undefined

  constructor ({ timers, failureDomain }: { timers: Timers, failureDomain: string }) {
    this._timers = timers
    this._failureDomain = failureDomain
  }

  /** Peers to ask, best first: the one that helped last, `preferred`, then one of each failure domain, the own one last. */
  choose (peers: ProxyCandidate[], preferred?: string): string[] {
    const countByDomain = new Map<string, number>()
    const ranked = peers.filter(({ vm }) => !this.isPaused(vm)).map(({ vm, failureDomain }) => {
      const indexInDomain = countByDomain.get(failureDomain) ?? 0
      countByDomain.set(failureDomain, indexInDomain + 1)
      if (vm === this._lastHelper) return { vm, rank: -2 }
      if (vm === preferred) return { vm, rank: -1 }
      return { vm, rank: failureDomain === this._failureDomain ? peers.length + indexInDomain : indexInDomain }
    })
    return ranked.sort((a, b) => a.rank - b.rank).slice(0, MAX_PROXIES).map(({ vm }) => vm)
  }

  /** True while a peer is left alone. */
  isPaused (vm: string): boolean {
    return (this._pausedUntilMs.get(vm) ?? 0) > this._timers.now()
  }

  noteHelped (vm: string): void {
    this._lastHelper = vm
    this._pausedUntilMs.delete(vm)
  }

  /** Notes that a peer did not answer, or has no path to the store either. */
  noteFailed (vm: string): void {
    if (this._lastHelper === vm) this._lastHelper = undefined
    this._pausedUntilMs.set(vm, this._timers.now() + FAILED_PAUSE_MS)
  }
}
