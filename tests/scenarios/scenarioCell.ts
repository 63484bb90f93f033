/**
 * A complete cell in one process: real entry daemons on a manual clock, with in-memory stand-ins for everything else.
 *
 * @module
 */

import { EntryDaemon } from 'pomelofold/server/entryDaemon'
import { CLAIM_NAMES } from 'pomelofold/seams/authority'
import { daemonSettingsSchema, type DaemonSettings } from 'pomelofold/settings/daemonSettings'
import type { VmRecord } from 'pomelofold/protocol/vms'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { InstanceModel } from '@pomelofold/standins/instanceModel'
import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { PeerNetwork } from '@pomelofold/standins/peerNetwork'
import { MemoryPlatformClient, type PlatformLinkFaults } from '@pomelofold/standins/memoryPlatformClient'
import { MemoryUpstreamClient } from '@pomelofold/standins/memoryUpstreamClient'
import { deliverResultsThrough, ProcessTimers } from '@pomelofold/standins/processTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { WorkerModel } from '@pomelofold/standins/workerModel'

/** Time until a change appears in the platform's list of VMs, in milliseconds. */
const VM_LIST_LAG_MS = 2_000

/** Longest time for which an upstream may still get new work after the list shows it as leaving, in milliseconds. */
export const LEAVING_GRACE_MS = 3_000

/** One-way delay within a failure domain, in milliseconds. */
const SAME_DOMAIN_DELAY_MS = 0.3
/** One-way delay between two failure domains, in milliseconds. */
const CROSS_DOMAIN_DELAY_MS = 1.5

/** Options of a {@link ScenarioCell}. */
export interface ScenarioCellOptions {
  domains?: string[]
  entriesPerDomain?: number
  instancesPerDomain?: number
  workersPerDomain?: number
  seed?: number
}

/** An entry daemon's process on an entry VM. */
export interface EntryProcess {
  vm: string
  failureDomain: string
  daemon: EntryDaemon
  timers: ProcessTimers
  platform: MemoryPlatformClient
  /** True once the process was killed or has finished its shutdown. */
  hasEnded: boolean
  /** Revisions of the manifest that this process applied, in order. */
  revisions: number[]
}

/** Starts, stops and disturbs the processes, VMs and links of a cell. */
export class ScenarioCell {
  readonly clock = new ManualTimers()
  readonly store = new KeyValueStore({ timers: this.clock })
  readonly processes = new Map<string, EntryProcess>()
  readonly instances = new Map<string, InstanceModel>()
  readonly workers = new Map<string, WorkerModel>()
  /**
   * Wall-clock time since when the failure domain of a leaving VM could read without interruption that the VM is listed
   * as leaving, from the platform or through another failure domain.
   */
  readonly leavingSinceMs = new Map<string, number>()
  readonly lostVms = new Set<string>()
  readonly random: SeededRandom
  private readonly _models = { instances: new Map<string, InstanceModel>(), workers: new Map<string, WorkerModel>() }
  private readonly _peers: DaemonSettings['peers']
  private readonly _cuts = new Set<string>()
  private readonly _platformFaults = new Map<string, Partial<PlatformLinkFaults>>()
  private readonly _network: PeerNetwork
  private readonly _seed: number
  private _vms: VmRecord[] = []
  private _startCount = 0
  private readonly _endedProcesses: EntryProcess[] = []

  constructor ({ domains = ['a', 'b', 'c'], entriesPerDomain = 2, instancesPerDomain = 2, workersPerDomain = 2, seed = 1 }: ScenarioCellOptions = {}) {
    this._seed = seed
    this.random = new SeededRandom(seed)
    this._network = new PeerNetwork({
      timers: this.clock,
      delayMs: (from, to) => from === to ? SAME_DOMAIN_DELAY_MS : CROSS_DOMAIN_DELAY_MS,
      isPartitioned: (from, to) => this._cuts.has(`${from}|${to}`)
    })
    this._peers = domains.flatMap(failureDomain => numbersUpTo(entriesPerDomain).map(i =>
      ({ vm: `${failureDomain}${i}`, failureDomain, address: '127.0.0.1:1', size: 1 })))
    for (const failureDomain of domains) {
      for (const i of numbersUpTo(instancesPerDomain)) this._addInstance(`instance-${failureDomain}${i}`, failureDomain, i)
      for (const i of numbersUpTo(workersPerDomain)) this._addWorker(`worker-${failureDomain}${i}`, failureDomain, i)
    }
    for (const { vm, failureDomain } of this._peers) this._vms.push({ name: vm, kind: 'entry', state: 'live', failureDomain, rack: '', address: vm })
  }

  get entryVms (): string[] {
    return this._peers.map(peer => peer.vm)
  }

  get domains (): string[] {
    return [...new Set(this._peers.map(peer => peer.failureDomain))]
  }

  /** Starts a process on an entry VM, after killing one that still runs there. */
  start (vm: string): EntryProcess {
    const earlier = this.processes.get(vm)
    if (earlier) this._endedProcesses.push(earlier)
    this.kill(vm)
    const { failureDomain } = this._peers.find(peer => peer.vm === vm)!
    const incarnation = `${vm}-${++this._startCount}`
    const timers = new ProcessTimers({ timers: this.clock })
    const random = new SeededRandom(this._seed * 1_000 + this._startCount)
    const platform = new MemoryPlatformClient({ store: this.store, timers: this.clock, vms: () => this._vms })
    const process = { vm, failureDomain, timers, platform, hasEnded: false, revisions: [] } as unknown as EntryProcess
    const settings = daemonSettingsSchema.parse({ vm, failureDomain, http: { address: '127.0.0.1:1' }, peers: this._peers, platform: { address: '127.0.0.1:1' } })
    process.daemon = new EntryDaemon(settings, {
      timers,
      random,
      platform: deliverResultsThrough(timers, platform),
      upstream: deliverResultsThrough(timers, new MemoryUpstreamClient({ timers: this.clock, models: this._models })),
      transport: this._network.transport({ vm, failureDomain, incarnation }, timers, () => process.hasEnded),
      log: SILENT_LOG,
      usage: () => ({ cpuMs: 0, residentBytes: 0, upMs: this.clock.now() }),
      incarnation
    })
    process.daemon.manifest.onChange(({ revision }) => process.revisions.push(revision))
    this.processes.set(vm, process)
    this._applyFaults(process)
    process.daemon.start()
    return process
  }

  /** Starts all entry VMs and waits until every failure domain has a placer and the other claims are held. */
  async startAll (): Promise<void> {
    for (const vm of this.entryVms) this.start(vm)
    await this.clock.advanceUntil(() => this.domains.every(domain => this.placerOf(domain) !== undefined))
    await this.clock.advance(2_000)
  }

  kill (vm: string): void {
    const process = this.processes.get(vm)
    if (!process || process.hasEnded) return
    process.hasEnded = true
    process.timers.kill()
  }

  /** Shuts a process down gracefully. Resolves when it has ended. */
  async shutdown (vm: string): Promise<void> {
    const process = this.processes.get(vm)!
    await process.daemon.shutdown()
    process.hasEnded = true
    process.timers.kill()
  }

  /** Revisions of the manifest that were in force at each entry VM, in order, over all its processes. */
  revisionsByVm (): Map<string, number[]> {
    const revisions = new Map<string, number[]>()
    for (const process of [...this._endedProcesses, ...this.processes.values()]) {
      revisions.set(process.vm, [...revisions.get(process.vm) ?? [], ...process.revisions])
    }
    return revisions
  }

  /** The entry VM that considers itself the holder of a failure domain's placer claim now. */
  placerOf (domain: string): string | undefined {
    return this.running().find(({ failureDomain, daemon }) => failureDomain === domain && daemon.holds(CLAIM_NAMES.placer(domain)))?.vm
  }

  /** Processes that have neither ended nor are frozen. */
  running (): EntryProcess[] {
    return [...this.processes.values()].filter(process => !process.hasEnded && process.timers.isRunning())
  }

  /** Cuts or restores all links between two groups of failure domains. */
  setCut (from: string[], to: string[], cut: boolean): void {
    for (const a of from) {
      for (const b of to.filter(b => b !== a)) {
        for (const pair of [`${a}|${b}`, `${b}|${a}`]) cut ? this._cuts.add(pair) : this._cuts.delete(pair)
      }
    }
    this._updateLeavingSince()
  }

  /** Sets faults of the platform's connections to some failure domains, for running processes and those started later. */
  setPlatformFaults (domains: string[], faults: Partial<PlatformLinkFaults>): void {
    for (const domain of domains) this._platformFaults.set(domain, { ...this._platformFaults.get(domain), ...faults })
    for (const process of this.processes.values()) this._applyFaults(process)
    this._updateLeavingSince()
  }

  /** Marks a VM as leaving in the platform's list, after the lag of the list. */
  markLeaving (name: string): void {
    this.clock.after(VM_LIST_LAG_MS, () => {
      this._vms = this._vms.map(vm => vm.name === name ? { ...vm, state: 'leaving' } : vm)
      this._updateLeavingSince()
    })
  }

  /** Removes a VM with everything that runs on it. The platform's list drops it after the lag of the list. */
  loseVm (name: string): void {
    this.kill(name)
    this.lostVms.add(name)
    this._models.instances.delete(name)
    this._models.workers.delete(name)
    this.workers.get(name)?.crash()
    this.instances.get(name)?.crash()
    this.clock.after(VM_LIST_LAG_MS, () => { this._vms = this._vms.filter(vm => vm.name !== name) })
  }

  private _updateLeavingSince (): void {
    for (const { name, failureDomain } of this._vms.filter(vm => vm.state === 'leaving')) {
      const sinceMs = this.leavingSinceMs.get(name)
      const nowMs = this.clock.wallClock()
      if (!this._canReadVmList(failureDomain)) {
        if (sinceMs !== undefined && nowMs < sinceMs + LEAVING_GRACE_MS) this.leavingSinceMs.delete(name)
      } else if (sinceMs === undefined) {
        this.leavingSinceMs.set(name, nowMs)
      }
    }
  }

  private _canReadVmList (domain: string): boolean {
    const reads = (name: string): boolean => {
      const { unreachable = false, loseAnswers = false } = this._platformFaults.get(name) ?? {}
      return !unreachable && !loseAnswers
    }
    return this.domains.some(name => reads(name) && !this._cuts.has(`${domain}|${name}`))
  }

  private _addInstance (name: string, failureDomain: string, i: number): void {
    const random = new SeededRandom(this._seed * 100 + this.instances.size)
    const model = new InstanceModel({ timers: this.clock, random, vm: name, speed: i })
    this.instances.set(name, model)
    this._models.instances.set(name, model)
    this._vms.push({ name, kind: 'instance', state: 'live', failureDomain, rack: `${failureDomain}-r${i}`, address: name, service: 'readings', slots: 8, connections: 64 })
  }

  private _addWorker (name: string, failureDomain: string, i: number): void {
    const capacity = { cpus: 16, memoryMb: 32_000, accelerators: i === 1 ? 2 : 0 }
    const rack = `${failureDomain}-r${i}`
    const random = new SeededRandom(this._seed * 200 + this.workers.size)
    const model = new WorkerModel({ timers: this.clock, random, vm: name, rack, capacity })
    this.workers.set(name, model)
    this._models.workers.set(name, model)
    this._vms.push({ name, kind: 'worker', state: 'live', failureDomain, rack, address: name, capacity })
  }

  private _applyFaults ({ failureDomain, platform }: EntryProcess): void {
    Object.assign(platform.faults, this._platformFaults.get(failureDomain))
  }
}

function numbersUpTo (count: number): number[] {
  return Array.from({ length: count }, (_, i) => i + 1)
}
