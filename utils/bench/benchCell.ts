/**
 * Entry VMs with real schedulers and routers on top of in-memory service instances.
 *
 * @module
 */

import Result from 'true-myth/result'
import { RequestRouter } from 'pomelofold/requests/requestRouter'
import { RequestScheduler } from 'pomelofold/requests/requestScheduler'
import { CLAIM_NAMES, type Authority, type Subscription } from 'pomelofold/seams/authority'
import type { PeerTransport } from 'pomelofold/seams/peerTransport'
import type { RandomSource } from 'pomelofold/seams/randomSource'
import type { Timers } from 'pomelofold/seams/timers'
import type { PeerMethod, PeerMethods } from 'pomelofold/protocol/peerMessages'
import type { VmRecord } from 'pomelofold/protocol/vms'
import { serviceSchema, type Manifest } from 'pomelofold/protocol/manifest'
import { CallError, CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'
import type { MemoryInstances } from './benchInstances.js'

/** Service that tests and benchmarks send requests to. */
export const SERVICE = 'readings'

/** Authority whose claims a test or benchmark grants and revokes. */
export class ManualAuthority implements Authority {
  private readonly _epochs = new Map<string, number>()
  private readonly _listeners = new Set<() => void>()

  epochOf (claim: string): number | undefined {
    return this._epochs.get(claim)
  }

  heldClaims (): string[] {
    return [...this._epochs.keys()]
  }

  holderOf (claim: string): string | undefined {
    return this._epochs.has(claim) ? 'self' : undefined
  }

  onChange (fn: () => void): Subscription {
    this._listeners.add(fn)
    return { cancel: () => this._listeners.delete(fn) }
  }

  grant (claim: string, epoch = 1): void {
    this._epochs.set(claim, epoch)
    this.notifyListeners()
  }

  revoke (claim: string): void {
    this._epochs.delete(claim)
    this.notifyListeners()
  }

  /** Removes a claim without a notification, as when a lease lapses during a pause of the process. */
  lapse (claim: string): void {
    this._epochs.delete(claim)
  }

  notifyListeners (): void {
    for (const fn of this._listeners) fn()
  }
}

/** An entry VM with its scheduler and router. */
export interface MemoryEntry {
  vm: string
  failureDomain: string
  authority: ManualAuthority
  scheduler: RequestScheduler
  router: RequestRouter
}

/** Faults of the network between entry VMs. */
export interface PeerFaults {
  /** VMs that refuse connections. */
  refusing: Set<string>
  /** VMs whose answers are lost. */
  silent: Set<string>
}

/** Options of a {@link MemoryCell}. */
export interface MemoryCellOptions {
  timers: Timers
  random: RandomSource
  upstream: MemoryInstances
  /** Instances of all failure domains. */
  records: VmRecord[]
  /** Entry VMs by failure domain. */
  entries: Record<string, string[]>
  /** Returns the entry VM that holds the claim on an instance; by default, claims are distributed in turn. */
  holder?: (record: VmRecord, index: number, entries: string[]) => string
  service?: Partial<Manifest['services'][number]>
  services?: Manifest['services']
  teams?: Manifest['teams']
  maxQueued?: number
  nearDelayMs?: number
  farDelayMs?: number
}

/** Creates the VM record of a service instance. */
export function instanceRecord (name: string, { failureDomain = 'fd1', slots = 8, service = SERVICE }: Partial<VmRecord> = {}): VmRecord {
  return { name, kind: 'instance', state: 'live', failureDomain, rack: 'r1', address: name, service, slots, connections: 64 }
}

/** Entry VMs that are peers of each other. */
export class MemoryCell {
  readonly entries: MemoryEntry[] = []
  readonly faults: PeerFaults = { refusing: new Set(), silent: new Set() }
  private readonly _options: MemoryCellOptions

  constructor (options: MemoryCellOptions) {
    this._options = options
    const services = options.services ?? [serviceSchema.parse({ name: SERVICE, ...options.service })]
    for (const [failureDomain, vms] of Object.entries(options.entries)) {
      const records = options.records.filter(record => record.failureDomain === failureDomain)
      for (const vm of vms) this.entries.push(this._entry(vm, failureDomain))
      records.forEach((record, index) => {
        const holder = options.holder?.(record, index, vms) ?? vms[index % vms.length]
        this.entry(holder).authority.grant(CLAIM_NAMES.instance(failureDomain, record.name))
      })
    }
    for (const { scheduler, router } of this.entries) {
      scheduler.setServices(services)
      scheduler.setTeams(options.teams ?? [])
      scheduler.setInstances(options.records)
      router.setPeers(this.entries)
    }
  }

  entry (vm: string): MemoryEntry {
    const entry = this.entries.find(other => other.vm === vm)
    if (!entry) throw new Error(`the cell has no entry VM ${vm}`)
    return entry
  }

  /** Sends the loads of each entry VM to all others, as heartbeats do, except those of the `lost` ones. */
  exchangeLoads (lost: ReadonlySet<string> = new Set()): void {
    for (const from of this.entries) {
      if (lost.has(from.vm)) continue
      const loads = from.scheduler.loads()
      for (const to of this.entries) if (to !== from) to.router.onPeerLoads(from.vm, loads)
    }
  }

  private _entry (vm: string, failureDomain: string): MemoryEntry {
    const { timers, random, upstream, maxQueued } = this._options
    const authority = new ManualAuthority()
    const scheduler = new RequestScheduler({ failureDomain, timers, random, authority, upstream, maxQueued })
    const transport = this._transport(failureDomain)
    const router = new RequestRouter({ vm, failureDomain, scheduler, transport, timers, random })
    return { vm, failureDomain, authority, scheduler, router }
  }

  private _transport (failureDomain: string): Pick<PeerTransport, 'call'> {
    return {
      call: async <M extends PeerMethod> (vm: string, method: M, params: PeerMethods[M]['params'], timeoutMs: number) => {
        const to = this.entry(vm)
        const delayMs = to.failureDomain === failureDomain ? this._options.nearDelayMs ?? 0.2 : this._options.farDelayMs ?? 1.5
        const result = await this._call(to, params as PeerMethods['forwardRequest']['params'], delayMs, timeoutMs)
        return result as Result<PeerMethods[M]['result'], CallError>
      }
    }
  }

  private _call (to: MemoryEntry, params: PeerMethods['forwardRequest']['params'], delayMs: number, timeoutMs: number) {
    const { timers } = this._options
    const details = { step: 'peer.forwardRequest', peer: to.vm, effect: EFFECTS.unknown }
    return new Promise<Result<PeerMethods['forwardRequest']['result'], CallError>>(resolve => {
      if (this.faults.refusing.has(to.vm)) {
        timers.after(delayMs, () => resolve(Result.err(new CallError('connection refused', { ...details, effect: EFFECTS.none }))))
        return
      }
      const timeout = timers.after(timeoutMs, () => resolve(Result.err(new CallTimeoutError(timeoutMs, details))))
      timers.after(delayMs, () => {
        to.router.forwardRequest(params, { vm: 'peer', failureDomain: to.failureDomain, incarnation: '1' }).then(result => {
          if (this.faults.silent.has(to.vm)) return
          timers.after(delayMs, () => {
            timeout.cancel()
            resolve(Result.ok(result))
          })
        })
      })
    })
  }
}
