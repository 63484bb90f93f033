/**
 * The service instances of one service in the failure domain, and the choice among them.
 *
 * @module
 */

import { CLAIMS, type Authority } from '../seams/authority.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers } from '../seams/timers.js'
import type { UpstreamClient } from '../seams/upstreamClient.js'
import type { VmRecord } from '../protocol/vms.js'
import { OccupancyReader } from './occupancyReader.js'
import { ServiceInstance } from './serviceInstance.js'
import type { CapacityView } from './waitEstimator.js'

/** A claim must last this much longer for a send under it, in milliseconds. */
const SEND_MARGIN_MS = 100

/** Share of the instances that failed requests may pause at once. */
const MAX_PAUSED_SHARE = 0.5

/** Options of an {@link InstancePool}. */
export interface InstancePoolOptions {
  failureDomain: string
  timers: Timers
  random: RandomSource
  authority: Authority
  upstream: UpstreamClient
  /** Called when slots may have become free. */
  onChange: () => void
}

interface KnownInstance {
  instance: ServiceInstance
  reader: OccupancyReader
}

/** Instances with the claims under which they are used. */
export class InstancePool {
  private readonly _options: InstancePoolOptions
  private readonly _known = new Map<string, KnownInstance>()
  private _instances: ServiceInstance[] = []

  constructor (options: InstancePoolOptions) {
    this._options = options
  }

  /** Sets the instances. One that is no longer listed is kept until nothing runs there. */
  setInstances (records: VmRecord[]): void {
    const listed = new Set(records.map(instanceKey))
    for (const record of records) {
      const { instance } = this._known.get(instanceKey(record)) ?? this._add(record)
      instance.setRecord(record)
    }
    for (const [key, { instance }] of this._known) {
      if (listed.has(key)) continue
      instance.leaving = true
      if (instance.idle) this._known.delete(key)
    }
    this._instances = [...this._known.values()].map(({ instance }) => instance)
    this.refreshClaims()
  }

  /** Compares the held claims with those under which instances are used. After a takeover, what runs there is counted first. */
  refreshClaims (): void {
    for (const { instance, reader } of this._known.values()) {
      const epoch = this._epochOf(instance)
      if (epoch !== undefined && epoch !== instance.lastEpoch) {
        instance.uncounted = true
        instance.lastEpoch = epoch
      }
      instance.epoch = epoch
      reader.start()
    }
  }

  /** The free instance with the earliest expected completion whose claim is held now. */
  pick (nowMs: number, expectedMs: number, without?: Set<string>): ServiceInstance | undefined {
    for (;;) {
      const best = this._best(nowMs, expectedMs, without)
      if (!best || this._epochOf(best) === best.epoch) return best
      best.epoch = undefined
    }
  }

  /** Tells that a request at the instance has ended. */
  slotChanged (instance: ServiceInstance): void {
    const reader = this._known.get(instanceKey(instance))?.reader
    reader?.start()
    if (instance.inFlight === 0) reader?.instanceDrained()
  }

  /** Whether an instance takes requests. */
  serves (without?: Set<string>): boolean {
    return this._instances.some(instance => instance.usable() && !without?.has(instance.name))
  }

  /** Whether one more instance may be paused: when most of them fail, the cause is not the instance. */
  mayPause (nowMs: number): boolean {
    let usable = 0
    let paused = 0
    for (const instance of this._instances) {
      if (!instance.usable()) continue
      usable++
      if (instance.health.pausedUntilMs() > nowMs) paused++
    }
    return paused < usable * MAX_PAUSED_SHARE
  }

  /** Number of instances whose claims are held. */
  held (): number {
    return this._instances.filter(instance => instance.epoch !== undefined).length
  }

  /** What the instances can do now. */
  capacity (nowMs: number, expectedMs: number): CapacityView {
    const view = { perMs: 0, free: 0, slots: 0, resumesInMs: Infinity, expectedMs }
    for (const instance of this._instances) {
      if (!instance.usable()) continue
      view.perMs += instance.capacityPerMs(nowMs, expectedMs)
      view.free += instance.free(nowMs)
      view.slots += instance.slots
      view.resumesInMs = Math.min(view.resumesInMs, Math.max(0, instance.health.pausedUntilMs() - nowMs))
    }
    return view
  }

  /** End of the next pause of an instance. */
  nextResumeMs (nowMs: number): number {
    let nextMs = Infinity
    for (const { health } of this._instances) {
      const untilMs = health.pausedUntilMs()
      if (untilMs > nowMs && untilMs < nextMs) nextMs = untilMs
    }
    return nextMs
  }

  private _best (nowMs: number, expectedMs: number, without?: Set<string>): ServiceInstance | undefined {
    let best: ServiceInstance | undefined
    let bestScore = Infinity
    for (const instance of this._instances) {
      if (instance.free(nowMs) === 0 || without?.has(instance.name)) continue
      const score = instance.score(expectedMs)
      if (score >= bestScore) continue
      best = instance
      bestScore = score
    }
    return best
  }

  private _add (record: VmRecord): KnownInstance {
    const { timers, upstream, random, onChange } = this._options
    const instance = new ServiceInstance({ record, random })
    const known = { instance, reader: new OccupancyReader({ instance, timers, upstream, onChange }) }
    this._known.set(instanceKey(record), known)
    return known
  }

  private _epochOf ({ name }: ServiceInstance): number | undefined {
    return this._options.authority.epochOf(CLAIMS.instance(this._options.failureDomain, name), SEND_MARGIN_MS)
  }
}

function instanceKey ({ name, address }: { name: string, address: string }): string {
  return `${name} ${address}`
}
