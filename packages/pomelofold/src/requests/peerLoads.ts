/**
 * What is known of the queues of peers.
 *
 * @module
 */

import type { RequestClass, ServiceLoad } from '../protocol/requests.js'

/** Age after which a load is no longer believed, in milliseconds. */
const MAX_LOAD_AGE_MS = 5_000
/** Weight of a new sample in the one-way delay. */
const DELAY_WEIGHT = 0.2
/** One-way delay to a peer that has not answered yet, in milliseconds. */
const INITIAL_DELAY_MS = 1
/** Pause after a forward that did not reach a peer, in milliseconds. */
const UNREACHABLE_PAUSE_MS = 1_000

interface ReceivedLoad extends ServiceLoad {
  atMs: number
  /** Requests forwarded since the load was told. */
  forwardedSince: number
}

/** A peer as the router sees it. */
export class PeerLoads {
  readonly vm: string
  readonly failureDomain: string
  private readonly _loads = new Map<string, ReceivedLoad>()
  private _delayMs = INITIAL_DELAY_MS
  private _unreachableUntilMs = 0

  constructor ({ vm, failureDomain }: { vm: string, failureDomain: string }) {
    this.vm = vm
    this.failureDomain = failureDomain
  }

  /** Learned one-way delay, in milliseconds. */
  get delayMs (): number {
    return this._delayMs
  }

  /** Takes over loads told by the peer. */
  setLoads (loads: Record<string, ServiceLoad>, nowMs: number): void {
    for (const service of this._loads.keys()) if (!(service in loads)) this._loads.delete(service)
    for (const [service, load] of Object.entries(loads)) this.setLoad(service, load, nowMs)
  }

  setLoad (service: string, load: ServiceLoad, nowMs: number): void {
    this._loads.set(service, { ...load, atMs: nowMs, forwardedSince: 0 })
  }

  /** The peer holds no instance of the service any more. */
  dropLoad (service: string): void {
    this._loads.delete(service)
  }

  /** Expected time until a request forwarded now would be sent by the peer. Infinite when it cannot be. */
  expectedWaitMs (service: string, cls: RequestClass, nowMs: number): number {
    const load = this._loads.get(service)
    if (!load || nowMs - load.atMs > MAX_LOAD_AGE_MS || nowMs < this._unreachableUntilMs) return Infinity
    const queued = Math.max(0, load.forwardedSince - load.freeSlots)
    return this._delayMs + (load.expectedWaitMs[cls] ?? 0) + (load.startsPerMs ? queued / load.startsPerMs : 0)
  }

  /** Counts a request that is being forwarded. */
  countForward (service: string): void {
    const load = this._loads.get(service)
    if (load) load.forwardedSince++
  }

  /** Learns the delay from a round trip of which the peer took `peerMs`. */
  recordRoundTrip (roundTripMs: number, peerMs: number): void {
    const sampleMs = Math.max(0, roundTripMs - peerMs) / 2
    this._delayMs += DELAY_WEIGHT * (sampleMs - this._delayMs)
  }

  markUnreachable (nowMs: number): void {
    this._unreachableUntilMs = nowMs + UNREACHABLE_PAUSE_MS
  }
}
