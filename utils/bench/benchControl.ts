/**
 * Benchmark of the cost of control: processor time, memory, network bytes and platform calls of one entry daemon, which
 * runs as a separate process, with several numbers of peers, workers, requests and task starts.
 *
 * Usage: `npm run bench -- control [peers|workers|requests|starts ...]`
 *
 * @module
 */

import { readFileSync } from 'node:fs'
import { InstanceStandin } from '@pomelofold/standins/instanceStandin'
import { WorkerStandin } from '@pomelofold/standins/workerStandin'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { jobSpecSchema } from 'pomelofold/protocol/jobs'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import type { VmRecord } from 'pomelofold/protocol/vms'
import { ByteRelay } from '../cell/byteRelay.js'
import { planCell, type CellPlan } from '../cell/cellPlan.js'
import { ProcessCell, waitUntil } from '../cell/processCell.js'

/** Time from the start of the load until the first reading, in milliseconds. */
const WARM_UP_MS = 12_000
/** The same for loads that measure the renewal of task leases: the first renewals carry complete lists. */
const RENEWALS_WARM_UP_MS = 100_000
/** Time between the two readings, in milliseconds. */
const MEASUREMENT_MS = 45_000
/** Cells measured at the same time. */
const CELLS_AT_ONCE = 5
/** Tasks that run at each worker throughout. */
const TASKS_PER_WORKER = 8
/** Clock ticks of the kernel in a second, the unit of processor time in `/proc`. */
const TICKS_PER_SECOND = 100
const INSTANCE_COUNT = 4
const MEASURED_VM = 'entry-a1'

/** Size and load of one cell. */
interface Load {
  /** Other entry VMs, in another failure domain. */
  peers: number
  workers: number
  requestsPerSecond: number
  startsPerSecond: number
  warmUpMs?: number
}

/** Cost of the measured entry daemon. */
interface Cost {
  cpuPercent: number
  residentMb: number
  peerBytesPerSecond: number
  platformBytesPerSecond: number
  workerBytesPerSecond: number
  platformReadsPerSecond: number
  platformWritesPerSecond: number
}

const BASE_LOAD: Load = { peers: 2, workers: 20, requestsPerSecond: 0, startsPerSecond: 0 }

/** Loads of each series by name, at five sizes. */
const SERIES: Record<string, Load[]> = {
  peers: [2, 8, 16, 24, 32].map(peers => ({ ...BASE_LOAD, peers })),
  workers: [20, 100, 200, 350, 550].map(workers => ({ ...BASE_LOAD, workers, warmUpMs: RENEWALS_WARM_UP_MS })),
  requests: [50, 100, 200, 400, 800].map(requestsPerSecond => ({ ...BASE_LOAD, requestsPerSecond })),
  starts: [12, 25, 50, 100, 188].map(startsPerSecond => ({ ...BASE_LOAD, workers: 50, startsPerSecond }))
}

/** Relays on the links of the measured entry daemon. */
interface Relays {
  platform: ByteRelay
  peers: ByteRelay[]
  workers: ByteRelay[]
}

/** A cell whose links to the measured entry daemon run through relays. */
class MeasuredCell {
  private readonly _standins: Array<{ close (): Promise<void> }> = []
  private _relays!: Relays
  private _cell!: ProcessCell
  private _ended = false

  /** Starts the cell, applies the load, and measures the cost. */
  async measure (load: Load): Promise<Cost> {
    try {
      await this._start(load)
      this._generateLoad(load)
      await pause(load.warmUpMs ?? WARM_UP_MS)
      const before = await this._readCounters()
      await pause(MEASUREMENT_MS)
      return costOf(before, await this._readCounters())
    } finally {
      await this._close()
    }
  }

  private async _start ({ peers, workers, requestsPerSecond }: Load): Promise<void> {
    const plan = await planCell({ domains: ['a', 'b'], entries: [1, peers], instancesPerDomain: 0, workersPerDomain: 0 })
    const vms = [...await this._startWorkers(workers), ...requestsPerSecond > 0 ? await this._startInstances() : []]
    await this._insertRelays(plan, vms)
    this._cell = await ProcessCell.startPlan(plan)
    const manifest = manifestSchema.parse({
      format: 1,
      services: [{ name: 'readings', expectedMs: 20 }],
      teams: [{ name: 'growth', quota: { cpus: 1e6, memoryMb: 1e9, accelerators: 0 } }]
    })
    await waitUntil('the manifest is accepted', async () => (await this._cell.client(MEASURED_VM).submitManifest(manifest, 0)).isOk)
    if (workers > 0) await this._submit('steady', workers * TASKS_PER_WORKER, 3_600_000)
  }

  private async _startWorkers (count: number): Promise<VmRecord[]> {
    const capacity = { cpus: 64, memoryMb: 128_000, accelerators: 0 }
    return Promise.all(Array.from({ length: count }, async (_, i): Promise<VmRecord> => {
      const name = `worker-${i}`
      const standin = new WorkerStandin({ timers: new SystemTimers(), settings: { vm: name, capacity } })
      this._standins.push(standin)
      const address = await standin.listen('127.0.0.1:0')
      return { name, kind: 'worker', state: 'live', failureDomain: 'a', rack: `r${Math.floor(i / 8)}`, address, capacity }
    }))
  }

  private async _startInstances (): Promise<VmRecord[]> {
    return Promise.all(Array.from({ length: INSTANCE_COUNT }, async (_, i): Promise<VmRecord> => {
      const name = `instance-${i}`
      const standin = new InstanceStandin({ timers: new SystemTimers(), settings: { vm: name, expectedMs: 20 } })
      this._standins.push(standin)
      const address = await standin.listen('127.0.0.1:0')
      return { name, kind: 'instance', state: 'live', failureDomain: 'a', rack: 'r0', address, service: 'readings', slots: 8, connections: 64 }
    }))
  }

  /** Inserts relays between the measured daemon and the platform, its peers and its workers. */
  private async _insertRelays (plan: CellPlan, vms: VmRecord[]): Promise<void> {
    const settingsOf = (name: string): Record<string, any> => plan.processes.find(process => process.name === name)!.settings
    const daemons = plan.entries.map(entry => settingsOf(entry.vm))
    const addresses = new Map<string, string>(daemons[0].peers.map((peer: { vm: string, address: string }) => [peer.vm, peer.address]))
    const relays: Relays = { platform: await ByteRelay.startTo(plan.platformAddress), peers: [], workers: [] }
    const incoming = await ByteRelay.startTo(addresses.get(MEASURED_VM)!)
    relays.peers.push(incoming)
    for (const settings of daemons) {
      const isMeasured = settings.vm === MEASURED_VM
      if (isMeasured) settings.platform = { address: relays.platform.address }
      settings.peers = await Promise.all(settings.peers.map(async (peer: { vm: string, address: string }) => {
        if (isMeasured === (peer.vm === MEASURED_VM)) return peer
        if (!isMeasured) return { ...peer, address: incoming.address }
        const relay = await ByteRelay.startTo(peer.address)
        relays.peers.push(relay)
        return { ...peer, address: relay.address }
      }))
    }
    const relayedVms = await Promise.all(vms.map(async vm => {
      if (vm.kind !== 'worker') return vm
      const relay = await ByteRelay.startTo(vm.address)
      relays.workers.push(relay)
      return { ...vm, address: relay.address }
    }))
    const platform = settingsOf('platform')
    platform.vms = [...platform.vms, ...relayedVms]
    this._relays = relays
  }

  private _generateLoad ({ requestsPerSecond, startsPerSecond }: Load): void {
    const client = this._cell.client(MEASURED_VM)
    const every = (periodMs: number, fn: () => void): void => {
      const timer = setInterval(() => this._ended ? clearInterval(timer) : fn(), periodMs)
    }
    if (requestsPerSecond > 0) {
      every(100, () => { for (let i = 0; i < requestsPerSecond / 10; i++) client.sendRequest('readings', 'x'.repeat(200)) })
    }
    if (startsPerSecond > 0) every(1_000, () => { this._submit('short', startsPerSecond, 2_000) })
  }

  private async _submit (name: string, count: number, expectedMs: number): Promise<void> {
    const spec = jobSpecSchema.parse({ name, kind: 'batch', team: 'growth', tasks: [{ count, size: { cpus: 1, memoryMb: 500 }, expectedMs }] })
    await waitUntil(`${name} is accepted`, async () => this._ended || (await this._cell.client(MEASURED_VM).submitJob(spec)).isOk)
  }

  private async _readCounters () {
    const pid = this._cell.pidOf(MEASURED_VM)
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1].split(' ')
    const rss = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))!
    const sum = (relays: ByteRelay[]): number => relays.reduce((bytes, relay) => bytes + relay.bytes, 0)
    const { reads, writes, vmLists } = await this._cell.control<{ reads: number, writes: number, vmLists: number }>('platform', 'counts')
    return {
      cpuSeconds: (Number(stat[11]) + Number(stat[12])) / TICKS_PER_SECOND,
      residentMb: Number(rss[1]) / 1024,
      peerBytes: sum(this._relays.peers),
      platformBytes: this._relays.platform.bytes,
      workerBytes: sum(this._relays.workers),
      reads: reads + vmLists,
      writes
    }
  }

  private async _close (): Promise<void> {
    this._ended = true
    await this._cell?.close()
    for (const relay of [this._relays.platform, ...this._relays.peers, ...this._relays.workers]) relay.close()
    await Promise.all(this._standins.map(standin => standin.close()))
  }
}

type Reading = Awaited<ReturnType<MeasuredCell['_readCounters']>>

function costOf (before: Reading, after: Reading): Cost {
  const seconds = MEASUREMENT_MS / 1_000
  return {
    cpuPercent: (after.cpuSeconds - before.cpuSeconds) / seconds * 100,
    residentMb: after.residentMb,
    peerBytesPerSecond: (after.peerBytes - before.peerBytes) / seconds,
    platformBytesPerSecond: (after.platformBytes - before.platformBytes) / seconds,
    workerBytesPerSecond: (after.workerBytes - before.workerBytes) / seconds,
    platformReadsPerSecond: (after.reads - before.reads) / seconds,
    platformWritesPerSecond: (after.writes - before.writes) / seconds
  }
}

function pause (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}

function tableRow ({ peers, workers, requestsPerSecond, startsPerSecond }: Load, cost: Cost): string {
  const cells = [peers, workers, requestsPerSecond, startsPerSecond, cost.cpuPercent.toFixed(2), cost.residentMb.toFixed(0),
    cost.peerBytesPerSecond.toFixed(0), cost.platformBytesPerSecond.toFixed(0), cost.workerBytesPerSecond.toFixed(0),
    cost.platformReadsPerSecond.toFixed(1), cost.platformWritesPerSecond.toFixed(1)]
  return `| ${cells.join(' | ')} |`
}

/** Measures the named series, or all of them, and prints a table. */
export async function run (names: string[]): Promise<void> {
  const loads = (names.length > 0 ? names : Object.keys(SERIES)).flatMap(name => SERIES[name])
  console.log(`window ${MEASUREMENT_MS / 1_000} s after ${WARM_UP_MS / 1_000} s; ${TASKS_PER_WORKER} tasks run at each worker; platform calls are those of the whole cell`)
  console.log('| peers | workers | requests/s | starts/s | cpu % | RSS MB | peer B/s | platform B/s | worker B/s | reads/s | writes/s |')
  console.log('| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |')
  const waiting = [...loads]
  const measureLoads = async (): Promise<void> => {
    for (let load = waiting.shift(); load; load = waiting.shift()) console.log(tableRow(load, await new MeasuredCell().measure(load)))
  }
  await Promise.all(Array.from({ length: CELLS_AT_ONCE }, measureLoads))
}
