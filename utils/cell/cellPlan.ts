/**
 * Which processes a cell on loopback consists of, with their settings.
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
  /** Entry VMs in each failure domain, in their order. */
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

/** First port that is given out. Ports up to the last one are below those that systems use for outgoing connections. */
const FIRST_PORT = 10_000
/** Ports set aside for each process, told apart by its id, so that processes that plan cells at once do not meet. */
const PORTS_PER_PROCESS = 200
const PORT_BLOCKS = 110

let nextPortOffset = 0

/** Ports on loopback that were free a moment ago. */
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

/** Lays out a cell with ports that are free now. */
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
  const listed = { state: 'live' as const }

  domains.forEach((failureDomain, d) => {
    for (let i = 0; i < instancesPerDomain; i++) {
      const vm = `instance-${failureDomain}${i + 1}`
      const address = nextAddress()
      const speed = speeds[(d * instancesPerDomain + i) % speeds.length]
      vms.push({ ...listed, name: vm, kind: 'instance', failureDomain, rack: `${failureDomain}-r${i}`, address, service, slots: 8, connections: 64 })
      upstreams.push({ name: vm, program: 'instance', address, settings: { address, vm, speed, expectedMs, seed: d * 100 + i } })
    }
    for (let i = 0; i < workersPerDomain; i++) {
      const vm = `worker-${failureDomain}${i + 1}`
      const address = nextAddress()
      const capacity = { ...WORKER_CAPACITY, accelerators: i === 0 ? 2 : 0 }
      const rack = `${failureDomain}-r${i}`
      vms.push({ ...listed, name: vm, kind: 'worker', failureDomain, rack, address, capacity })
      upstreams.push({ name: vm, program: 'worker', address, settings: { address, vm, rack, capacity, seed: d * 100 + i } })
    }
  })

  const peers = domains.flatMap((failureDomain, d) => Array.from({ length: entries[d] }, (_, i) =>
    ({ vm: `entry-${failureDomain}${i + 1}`, failureDomain, address: nextAddress(), size: 1 })))
  for (const { vm, failureDomain, address } of peers) vms.push({ ...listed, name: vm, kind: 'entry', failureDomain, rack: `${failureDomain}-r0`, address })
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
