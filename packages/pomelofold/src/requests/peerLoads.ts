/**
 * What a peer has reported about its queues, and the delay measured to it.
 *
 * @module
 */

import type { RequestClass, ServiceLoad } from '../protocol/requests.js'

/** Age after which a reported load is ignored. */
const MAX_LOAD_AGE_MS = 5_000
/** Weight of a new sample in the moving average of the one-way delay. */
const DELAY_WEIGHT = 0.2
/** One-way delay assumed for a peer that has not answered yet. */
const INITIAL_DELAY_MS = 1
/** Time without forwards to a peer after one that failed. */
const UNREACHABLE_PAUSE_MS = 1_000

/** A load with the time of its arrival. */
interface ReceivedLoad extends ServiceLoad {
  atMs: number
  /** Requests forwarded since the load arrived, which it does not include. */
  forwardedSince: number
}

/** Loads of one peer by service, to estimate how soon it would start a forwarded request. */
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

  /** Moving average of the one-way delay, in milliseconds. */
  get delayMs (): number {
    return this._delayMs
  }

  /** Replaces all loads by those that the peer reports. */
  setLoads (loads: Record<string, ServiceLoad>, nowMs: number): void {
    for (const service of this._loads.keys()) if (!(service in loads)) this._loads.delete(service)
    for (const [service, load] of Object.entries(loads)) this.setLoad(service, load, nowMs)
  }

  setLoad (service: string, load: ServiceLoad, nowMs: number): void {
    this._loads.set(service, { ...load, atMs: nowMs, forwardedSince: 0 })
  }

  /** To be called when the peer holds no instance of the service any more. */
  dropLoad (service: string): void {
    this._loads.delete(service)
  }

  /** Expected time until the peer sends a request that is forwarded now. Infinite when the peer is not usable for the service. */
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

  /** Updates the delay from a round trip of which the peer spent `peerMs` on the request. */
  recordRoundTrip (roundTripMs: number, peerMs: number): void {
    const sampleMs = Math.max(0, roundTripMs - peerMs) / 2
    this._delayMs += DELAY_WEIGHT * (sampleMs - this._delayMs)
  }

  /** Stops forwards to the peer for a while. */
  markUnreachable (nowMs: number): void {
    this._unreachableUntilMs = nowMs + UNREACHABLE_PAUSE_MS
  }
}
