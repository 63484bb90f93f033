/**
 * Settings and faults of the platform's stand-in.
 *
 * @module
 */

import { z } from 'zod'
import { vmRecordSchema } from 'pomelofold/protocol/vms'

/** Ways of being out of service. */
export const OUTAGES = {
  none: 'none',
  /** Connections are reset. */
  reset: 'reset',
  /** Calls are neither processed nor answered. */
  silent: 'silent',
  /** Calls are refused with status 503, unprocessed. */
  unavailable: 'unavailable'
} as const

/** Settings of the platform's stand-in. */
export const platformSettingsSchema = z.strictObject({
  address: z.string().default('127.0.0.1:0'),
  vms: z.array(vmRecordSchema).default([]),
  /** Time until a change of the VMs shows in the list, in milliseconds. */
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

/** Faults of the platform. Each may be changed at any moment. */
export type PlatformStandinFaults = z.infer<typeof faultsSchema>

/** Body of `POST /control/faults`. */
export const platformFaultsSchema: z.ZodType<Partial<PlatformStandinFaults>> = faultsSchema.partial()

/** Body of `POST /control/vms/{name}`. A VM that is gone leaves the list. */
export const vmChangeSchema = z.strictObject({ state: z.enum(['live', 'leaving', 'gone']) })

/** Answer of `GET /control/counts`: calls since the start. */
export const platformCountsSchema = z.object({
  reads: z.number().int(),
  writes: z.number().int(),
  /** Watches opened. */
  watches: z.number().int(),
  vmLists: z.number().int(),
  /** Watches that wait now. */
  openWatches: z.number().int(),
  wallClockMs: z.number()
})

/** Calls since the start. */
export type PlatformCounts = z.infer<typeof platformCountsSchema>
