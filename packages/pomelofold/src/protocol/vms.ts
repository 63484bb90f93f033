/**
 * The platform's list of VMs.
 *
 * @module
 */

import { z } from 'zod'

/** What a VM is for. */
export const VM_KINDS = { entry: 'entry', instance: 'instance', worker: 'worker' } as const

/** Whether a VM takes new work. */
export const VM_STATES = { live: 'live', leaving: 'leaving' } as const

/** Processors in cores, memory in MB, accelerators in units. */
export const capacitySchema = z.strictObject({
  cpus: z.number().nonnegative(),
  memoryMb: z.number().nonnegative(),
  accelerators: z.number().int().nonnegative()
})

/** A size of a task or a worker. */
export type Capacity = z.infer<typeof capacitySchema>

/** One entry of the platform's list of VMs. */
export const vmRecordSchema = z.object({
  name: z.string().min(1),
  kind: z.enum(VM_KINDS),
  state: z.enum(VM_STATES),
  failureDomain: z.string().min(1),
  rack: z.string(),
  /** `host:port` of the VM's interface for this kind. */
  address: z.string().min(1),
  /** Service name; instances only. */
  service: z.string().optional(),
  /** Requests run at once; instances only. */
  slots: z.number().int().positive().optional(),
  /** Connections accepted at once; instances only. */
  connections: z.number().int().positive().optional(),
  /** Workers only. */
  capacity: capacitySchema.optional()
})

/** A VM as the platform lists it. */
export type VmRecord = z.infer<typeof vmRecordSchema>
