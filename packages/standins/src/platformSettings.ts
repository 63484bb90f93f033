/**
 * Schemas of the settings, faults and counts of the platform's stand-in.
 *
 * @module
 */

import { z } from 'zod'
import { vmRecordSchema } from 'pomelofold/protocol/vms'

/** Kinds of outage of the platform. */
export const OUTAGES = {
  none: 'none',
  /** Connections are reset. */
  reset: 'reset',
  /** Calls are neither processed nor answered, and connections stay open. */
  silent: 'silent',
  /** Calls are refused with status 503 and not processed. */
  unavailable: 'unavailable'
} as const

/** Schema of the settings of the platform's stand-in. */
export const platformSettingsSchema = z.strictObject({
  address: z.string().default('127.0.0.1:0'),
  vms: z.array(vmRecordSchema).default([]),
  /** Time until the platform's list shows a change of the VMs, in milliseconds. */
  vmLagMs: z.number().nonnegative().default(3_000)
})

/** Settings of the platform's stand-in. */
export type PlatformSettings = z.input<typeof platformSettingsSchema>

const faultsSchema = z.strictObject({
  outage: z.enum(OUTAGES),
  /** Time until a call takes effect, in milliseconds. */
  delayMs: z.number().nonnegative(),
  /** Writes take effect, but their answers are lost. */
  loseAnswers: z.boolean()
})

/** Injected faults of the platform. They may be changed at any time. */
export type PlatformStandinFaults = z.infer<typeof faultsSchema>

/** Body of `POST /control/faults`. */
export const platformFaultsSchema: z.ZodType<Partial<PlatformStandinFaults>> = faultsSchema.partial()

/** Body of `POST /control/vms/{name}`. `gone` removes the VM from the list. */
export const vmChangeSchema = z.strictObject({ state: z.enum(['live', 'leaving', 'gone']) })

/** Body of the answer to `GET /control/counts`: numbers of calls since the start. */
export const platformCountsSchema = z.object({
  reads: z.number().int(),
  writes: z.number().int(),
  /** Watches opened since the start. */
  watches: z.number().int(),
  vmLists: z.number().int(),
  /** Watches that are open now. */
  openWatches: z.number().int(),
  wallClockMs: z.number()
})

/** Numbers of calls since the start. */
export type PlatformCounts = z.infer<typeof platformCountsSchema>
