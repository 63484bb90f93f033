/**
 * The platform's list of VMs.
 *
 * @module
 */

import { z } from 'zod'

/** Kinds of VMs: entry VMs run the scheduler's daemons, instances answer requests, workers run tasks. */
export const VM_KINDS = { entry: 'entry', instance: 'instance', worker: 'worker' } as const

/** States of a VM. A leaving VM drains: it takes no new work. */
export const VM_STATES = { live: 'live', leaving: 'leaving' } as const

/** Processors in cores, memory in MB, accelerators in units. */
export const capacitySchema = z.strictObject({
  cpus: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().int().nonnegative()
})

/** Resources that a task needs, or that a worker has. */
export type Capacity = z.infer<typeof capacitySchema>

/** One entry of the platform's list of VMs. */
export const vmRecordSchema = z.object({
  name: z.string().min(1),
  kind: z.enum(VM_KINDS),
  state: z.enum(VM_STATES),
  failureDomain: z.string().min(1),
  rack: z.string(),
  /** `host:port` of the interface that VMs of this kind have. */
  address: z.string().min(1),
  /** Name of the service. Instances only. */
  service: z.string().optional(),
  /** Maximum number of requests that run at once. Instances only. */
  slots: z.number().int().positive().optional(),
  /** Maximum number of open connections. Instances only. */
  connections: z.number().int().positive().optional(),
  /** Resources of the worker. Workers only. */
  capacity: capacitySchema.optional()
})

/** A VM as the platform lists it. */
export type VmRecord = z.infer<typeof vmRecordSchema>
