/**
 * The instances of one service in the failure domain, and the choice of an instance for each request.
 *
 * @module
 */

import { CLAIM_NAMES, type Authority } from '../seams/authority.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers } from '../seams/timers.js'
import type { UpstreamClient } from '../seams/upstreamClient.js'
import type { VmRecord } from '../protocol/vms.js'
import { OccupancyReader } from './occupancyReader.js'
import { ServiceInstance } from './serviceInstance.js'
import type { ServiceCapacity } from './waitEstimator.js'

/** A request is sent only if the claim on the instance remains valid for this long. */
const SEND_MARGIN_MS = 100

/** Largest share of the usable instances that failures may pause at the same time. */
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

/** An instance with the reader that finds out how many requests run there. */
interface InstanceEntry {
  instance: ServiceInstance
  reader: OccupancyReader
}

/** Keeps the instances, the epochs of their claims and their capacity. */
export class InstancePool {
  private readonly _options: InstancePoolOptions
  /** By {@link instanceKey}. */
  private readonly _entries = new Map<string, InstanceEntry>()
  private _instances: ServiceInstance[] = []

  constructor (options: InstancePoolOptions) {
    this._options = options
  }

  /** Sets the listed instances. One that is no longer listed gets no new requests and is dropped once nothing runs there. */
  setInstances (records: VmRecord[]): void {
    const listed = new Set(records.map(instanceKey))
    for (const record of records) {
      const { instance } = this._entries.get(instanceKey(record)) ?? this._add(record)
      instance.setRecord(record)
    }
    for (const [key, { instance }] of this._entries) {
      if (listed.has(key)) continue
      instance.leaving = true
      if (instance.idle) this._entries.delete(key)
    }
    this._instances = [...this._entries.values()].map(({ instance }) => instance)
    this.refreshClaims()
  }

  /**
   * Updates each instance's epoch from the claims held now. After a takeover the instance is used only once its
   * running requests have been counted, because the former holder may have sent some of them.
   */
  refreshClaims (): void {
    for (const { instance, reader } of this._entries.values()) {
      const epoch = this._epochOf(instance)
      if (epoch !== undefined && epoch !== instance.lastEpoch) {
        instance.countPending = true
        instance.lastEpoch = epoch
      }
      instance.epoch = epoch
      reader.startIfNeeded()
    }
  }

  /** The instance with a free slot and the lowest expected cost whose claim is still held under the same epoch. */
  pick (nowMs: number, expectedMs: number, excluded?: Set<string>): ServiceInstance | undefined {
    for (;;) {
      const best = this._bestInstance(nowMs, expectedMs, excluded)
      if (!best || this._epochOf(best) === best.epoch) return best
      best.epoch = undefined
    }
  }

  /** To be called after a request at the instance has ended. */
  onRequestEnded (instance: ServiceInstance): void {
    const reader = this._entries.get(instanceKey(instance))?.reader
    reader?.startIfNeeded()
    if (instance.inFlight === 0) reader?.onInstanceDrained()
  }

  /** Whether any instance, apart from the excluded ones, takes new requests. */
  hasUsableInstance (excluded?: Set<string>): boolean {
    return this._instances.some(instance => instance.usable() && !excluded?.has(instance.name))
  }

  /** Whether a failure may pause one more instance. When many fail at once the cause is unlikely to be the instances. */
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

  /** Number of instances whose claims this process holds. */
  heldInstances (): number {
    return this._instances.filter(instance => instance.epoch !== undefined).length
  }

  /** Total capacity of the usable instances. */
  capacity (nowMs: number, expectedMs: number): ServiceCapacity {
    const capacity = { startsPerMs: 0, freeSlots: 0, slots: 0, resumesInMs: Infinity, expectedMs }
    for (const instance of this._instances) {
      if (!instance.usable()) continue
      capacity.startsPerMs += instance.capacityPerMs(nowMs, expectedMs)
      capacity.freeSlots += instance.freeSlots(nowMs)
      capacity.slots += instance.slots
      capacity.resumesInMs = Math.min(capacity.resumesInMs, Math.max(0, instance.health.pausedUntilMs() - nowMs))
    }
    return capacity
  }

  /** Time at which the next paused instance may be probed. Infinite when none is paused. */
  nextResumeMs (nowMs: number): number {
    let nextMs = Infinity
    for (const { health } of this._instances) {
      const untilMs = health.pausedUntilMs()
      if (untilMs > nowMs && untilMs < nextMs) nextMs = untilMs
    }
    return nextMs
  }

  private _bestInstance (nowMs: number, expectedMs: number, excluded?: Set<string>): ServiceInstance | undefined {
    let best: ServiceInstance | undefined
    let bestCostMs = Infinity
    for (const instance of this._instances) {
      if (instance.freeSlots(nowMs) === 0 || excluded?.has(instance.name)) continue
      const costMs = instance.costMs(expectedMs)
      if (costMs >= bestCostMs) continue
      best = instance
      bestCostMs = costMs
    }
    return best
  }

  private _add (record: VmRecord): InstanceEntry {
    const { timers, upstream, random, onChange } = this._options
    const instance = new ServiceInstance({ record, random })
    const entry = { instance, reader: new OccupancyReader({ instance, timers, upstream, onChange }) }
    this._entries.set(instanceKey(record), entry)
    return entry
  }

  private _epochOf ({ name }: ServiceInstance): number | undefined {
    return this._options.authority.epochOf(CLAIM_NAMES.instance(this._options.failureDomain, name), SEND_MARGIN_MS)
  }
}

/** Name and address: an instance that returns with another address is a new one. */
function instanceKey ({ name, address }: { name: string, address: string }): string {
  return `${name} ${address}`
}
