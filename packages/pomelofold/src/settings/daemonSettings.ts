/**
 * Schema of the settings of an entry daemon: one JSON file that is validated completely before the daemon starts.
 *
 * @module
 */

import { z } from 'zod'
import { splitAddress } from '../utils/address.js'

/** Highest number of a TCP port. */
const MAX_PORT = 65_535

/** `host:port`, where the host is an IP address or `localhost`. */
const addressSchema = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]|localhost):\d{1,5}$/i, 'must be host:port with an IP number')
  .refine(isValidAddress, 'must have an IP number, and a port from 1 to 65535')
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'must be 1 to 63 lower-case letters, digits or dashes')

function isValidAddress (address: string): boolean {
  const { host, port } = splitAddress(address)
  const isHost = host === 'localhost' || z.ipv4().safeParse(host).success || z.ipv6().safeParse(host).success
  return isHost && port >= 1 && port <= MAX_PORT
}

/** Schema of one entry VM in the list `peers`, which is the same at all entry daemons of a cell. */
export const peerSettingsSchema = z.strictObject({
  vm: nameSchema.describe('Name of the entry VM'),
  failureDomain: nameSchema.describe('Failure domain of the entry VM'),
  address: addressSchema.describe('Where its daemon listens for peers'),
  size: z.number().positive().default(1).describe('Relative size; claims are shared out in proportion')
})

/** An entry VM of the cell. */
export type PeerSettings = z.infer<typeof peerSettingsSchema>

/** Schema of the settings file of `pomelofoldd`. */
export const daemonSettingsSchema = z.strictObject({
  vm: nameSchema.describe('Name of this entry VM; one of `peers`'),
  failureDomain: nameSchema.describe('Failure domain of this entry VM'),
  http: z.strictObject({
    address: addressSchema.describe('Where callers and operators connect'),
    maxBodyBytes: z.number().int().positive().max(1_000_000).default(1_000_000).describe('Largest accepted body, in bytes'),
    maxHeaderBytes: z.number().int().positive().max(65_536).default(16_384).describe('Largest accepted header, in bytes'),
    maxConnections: z.number().int().positive().default(10_000).describe('Connections open at once; beyond it, the least active one is closed for a new one'),
    maxHeldBytes: z.number().int().min(4_000_000).default(100_000_000).describe('Memory for requests in progress and their bodies, in bytes')
  }),
  peers: z.array(peerSettingsSchema).min(1).max(500).describe('All entry VMs of the cell, this one included'),
  platform: z.strictObject({
    address: addressSchema.describe('The platform\'s key-value service and list of VMs'),
    timeoutMs: z.number().positive().default(1_000).describe('Deadline of one call, in milliseconds'),
    vmListPeriodMs: z.number().positive().default(1_000).describe('Period of reading the list of VMs, in milliseconds')
  }),
  claims: z.strictObject({
    leaseMs: z.number().positive().default(6_000).describe('Length of the lease of this VM\'s claims, in milliseconds'),
    renewEveryMs: z.number().positive().default(2_000).describe('Period of renewing it, in milliseconds'),
    outagePromiseMs: z.number().positive().default(600_000).describe('How long peers promise not to take over while the platform is out, in milliseconds')
  }).default({ leaseMs: 6_000, renewEveryMs: 2_000, outagePromiseMs: 600_000 }),
  tasks: z.strictObject({
    leaseMs: z.number().positive().default(120_000).describe('Length of a task\'s lease at its worker, in milliseconds'),
    renewEveryMs: z.number().positive().default(40_000).describe('Period of renewing the leases at one worker, in milliseconds')
  }).default({ leaseMs: 120_000, renewEveryMs: 40_000 }),
  heartbeatMs: z.number().positive().default(1_000).describe('Period of heartbeats between entry daemons, in milliseconds'),
  shutdownMs: z.number().positive().default(30_000).describe('Longest wait for work in flight when shutting down, in milliseconds'),
  log: z.strictObject({
    level: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info').describe('Least level that is written')
  }).default({ level: 'info' })
}).superRefine((settings, ctx) => {
  const self = settings.peers.find(peer => peer.vm === settings.vm)
  if (!self) ctx.addIssue({ code: 'custom', path: ['vm'], message: `must be one of peers: ${settings.peers.map(peer => peer.vm).join(', ')}` })
  else if (self.failureDomain !== settings.failureDomain) ctx.addIssue({ code: 'custom', path: ['failureDomain'], message: `must be the failure domain that peers give for ${settings.vm}: ${self.failureDomain}` })
  const names = settings.peers.map(peer => peer.vm)
  const duplicateIndex = names.findIndex((name, i) => names.indexOf(name) < i)
  if (duplicateIndex >= 0) ctx.addIssue({ code: 'custom', path: ['peers', duplicateIndex, 'vm'], message: 'must differ from the name of every other peer' })
  if (settings.claims.renewEveryMs * 2 > settings.claims.leaseMs) ctx.addIssue({ code: 'custom', path: ['claims', 'renewEveryMs'], message: 'must be at most half of claims.leaseMs' })
  if (settings.tasks.renewEveryMs * 2 > settings.tasks.leaseMs) ctx.addIssue({ code: 'custom', path: ['tasks', 'renewEveryMs'], message: 'must be at most half of tasks.leaseMs' })
})

/** Validated settings of `pomelofoldd`, with defaults filled in. */
export type DaemonSettings = z.infer<typeof daemonSettingsSchema>
