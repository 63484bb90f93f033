/**
 * Plans the processes of a cell on loopback, with their addresses and settings.
 *
 * @module
 */

import { createServer } from 'node:net'
import type { DaemonSettings } from 'pomelofold/settings/daemonSettings'
import type { VmRecord } from 'pomelofold/protocol/vms'

/** Options of {@link planCell}. */
export interface CellOptions {
  /** Names of the failure domains. */
  domains?: string[]
  /** Number of entry VMs in each failure domain, in the order of `domains`. */
  entries?: number[]
  instancesPerDomain?: number
  workersPerDomain?: number
  service?: string
  /** Mean service time at speed 1, in milliseconds. */
  expectedMs?: number
  /** Speeds of the instances, used in turn. */
  speeds?: number[]
  /** Settings that differ from the defaults of an entry daemon. */
  daemon?: Partial<Pick<DaemonSettings, 'claims' | 'tasks' | 'heartbeatMs' | 'shutdownMs' | 'log'>>
  /** Time until a change appears in the platform's list of VMs, in milliseconds. */
  vmLagMs?: number
}

/** A process to start. */
export interface ProcessPlan {
  name: string
  program: 'platform' | 'instance' | 'worker' | 'daemon'
  /** Address of its HTTP interface. */
  address: string
  settings: Record<string, unknown>
}

/** An entry VM of the cell. */
export interface EntryPlan {
  vm: string
  failureDomain: string
  httpAddress: string
}

/** The processes of a cell, in the order of their start. */
export interface CellPlan {
  platformAddress: string
  entries: EntryPlan[]
  vms: VmRecord[]
  processes: ProcessPlan[]
}

/** First port that is assigned. All assigned ports are below the range that systems use for outgoing connections. */
const FIRST_PORT = 10_000
/** Size of the block of ports that a process selects by its id, so that processes that plan cells at the same time do not collide. */
const PORTS_PER_PROCESS = 200
/** Number of blocks; process ids that are equal modulo this number share a block. */
const PORT_BLOCKS = 110

let nextPortOffset = 0

/** Finds ports on loopback that are free at the time of the check. */
async function freePorts (count: number): Promise<number[]> {
  const first = FIRST_PORT + (process.pid % PORT_BLOCKS) * PORTS_PER_PROCESS
  const ports: number[] = []
  for (let tries = 0; ports.length < count; tries++) {
    if (tries > PORTS_PER_PROCESS) throw new Error(`fewer than ${count} ports are free from ${first} on`)
    const port = first + nextPortOffset++ % PORTS_PER_PROCESS
    if (await isFree(port)) ports.push(port)
  }
  return ports
}

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}

const WORKER_CAPACITY = { cpus: 16, memoryMb: 32_000, accelerators: 0 }

/** Plans a cell with ports that are free now. */
export async function planCell ({
  domains = ['a', 'b', 'c'],
  entries = [2, 1, 1],
  instancesPerDomain = 2,
  workersPerDomain = 2,
  service = 'readings',
  expectedMs = 20,
  speeds = [1, 2, 4],
  daemon = {},
  vmLagMs = 1_000
}: CellOptions = {}): Promise<CellPlan> {
  const entryCount = entries.reduce((sum, count) => sum + count, 0)
  const ports = await freePorts(1 + 2 * entryCount + domains.length * (instancesPerDomain + workersPerDomain))
  const nextAddress = (): string => `127.0.0.1:${ports.pop()}`
  const platformAddress = nextAddress()
  const vms: VmRecord[] = []
  const upstreams: ProcessPlan[] = []
  const liveVm = { state: 'live' as const }

  domains.forEach((failureDomain, d) => {
    for (let i = 0; i < instancesPerDomain; i++) {
      const vm = `instance-${failureDomain}${i + 1}`
      const address = nextAddress()
      const speed = speeds[(d * instancesPerDomain + i) % speeds.length]
      vms.push({ ...liveVm, name: vm, kind: 'instance', failureDomain, rack: `${failureDomain}-r${i}`, address, service, slots: 8, connections: 64 })
      upstreams.push({ name: vm, program: 'instance', address, settings: { address, vm, speed, expectedMs, seed: d * 100 + i } })
    }
    for (let i = 0; i < workersPerDomain; i++) {
      const vm = `worker-${failureDomain}${i + 1}`
      const address = nextAddress()
      const capacity = { ...WORKER_CAPACITY, accelerators: i === 0 ? 2 : 0 }
      const rack = `${failureDomain}-r${i}`
      vms.push({ ...liveVm, name: vm, kind: 'worker', failureDomain, rack, address, capacity })
      upstreams.push({ name: vm, program: 'worker', address, settings: { address, vm, rack, capacity, seed: d * 100 + i } })
    }
  })

  const peers = domains.flatMap((failureDomain, d) => Array.from({ length: entries[d] }, (_, i) =>
    ({ vm: `entry-${failureDomain}${i + 1}`, failureDomain, address: nextAddress(), size: 1 })))
  for (const { vm, failureDomain, address } of peers) vms.push({ ...liveVm, name: vm, kind: 'entry', failureDomain, rack: `${failureDomain}-r0`, address })
  const daemons = peers.map(({ vm, failureDomain }): ProcessPlan => {
    const address = nextAddress()
    return { name: vm, program: 'daemon', address, settings: { vm, failureDomain, http: { address }, peers, platform: { address: platformAddress }, ...daemon } }
  })

  const platform: ProcessPlan = { name: 'platform', program: 'platform', address: platformAddress, settings: { address: platformAddress, vms, vmLagMs } }
  return {
    platformAddress,
    entries: daemons.map(({ name, address }, i) => ({ vm: name, failureDomain: peers[i].failureDomain, httpAddress: address })),
    vms,
    processes: [platform, ...upstreams, ...daemons]
  }
}
