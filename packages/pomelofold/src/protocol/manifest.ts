/**
 * The manifest: the operators' configuration of a cell. It is kept in version control and stored as one value
 * in the platform's key-value service.
 *
 * @module
 */

import { z } from 'zod'
import { JOB_CLASSES } from './jobs.js'
import { REQUEST_CLASSES, requestClassSchema } from './requests.js'
import { capacitySchema } from './vms.js'

const nameSchema = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/, 'must be 1 to 63 letters, digits, dots, underscores or dashes, starting with a letter or digit')

/** Names of placement policies. The policy of each name is defined in `tasks/placement/policies.ts`. */
export const PLACEMENT_POLICIES = {
  /** Fills one worker after the other. */
  tight: 'tight',
  /** Puts tasks on different failure domains and racks. */
  spread: 'spread',
  /** Puts all tasks into one rack or failure domain. */
  together: 'together'
} as const

/** An objective for waiting times: the share `target` of the requests of `class` is sent to an upstream within `waitMs`. */
export const objectiveSchema = z.strictObject({
  class: requestClassSchema,
  waitMs: z.number().positive(),
  target: z.number().gt(0).lt(1),
  /** Length of the period over which the share is measured, in days. */
  windowDays: z.number().positive().default(28)
})

/** A service whose requests are answered by service instances. */
export const serviceSchema = z.strictObject({
  name: nameSchema,
  /** Expected service time, in milliseconds. Used until enough measurements are available. */
  expectedMs: z.number().positive().default(50),
  /** Deadline of requests that do not state one, in milliseconds. */
  defaultDeadlineMs: z.number().positive().default(10_000),
  /** Maximum size of a request's body, in bytes. */
  maxBodyBytes: z.number().int().positive().max(1_000_000).default(1_000_000),
  /** True when a request that may have run can be sent again, unless it is marked at-most-once. */
  idempotent: z.boolean().default(false),
  objectives: z.array(objectiveSchema).max(Object.keys(REQUEST_CLASSES).length).default([])
    .refine(items => new Set(items.map(item => item.class)).size === items.length, { message: 'a class has at most one objective' })
})

/** A long-running service: tasks that run on workers for as long as the manifest declares them. */
export const longRunningServiceSchema = z.strictObject({
  name: nameSchema,
  team: nameSchema,
  replicas: z.number().int().nonnegative().max(10_000),
  size: capacitySchema,
  class: z.enum(JOB_CLASSES).default(JOB_CLASSES.normal),
  placement: z.enum(PLACEMENT_POLICIES).default(PLACEMENT_POLICIES.spread),
  payload: z.string().max(65_536).default('')
})

/** A team with its quota and limits. */
export const teamSchema = z.strictObject({
  name: nameSchema,
  /** Resources that the team's tasks may use at once. */
  quota: capacitySchema,
  /** Maximum number of the team's waiting and running requests in each failure domain. Unlimited when absent. */
  requestLimit: z.number().int().positive().optional(),
  /** True when the team may use resources of other teams' quotas that are unused. */
  borrow: z.boolean().default(true)
})

const hasUniqueNames = (items: Array<{ name: string }>): boolean => new Set(items.map(item => item.name)).size === items.length
const UNIQUE_NAMES_ERROR = { message: 'names must be unique' }

/** The manifest. */
export const manifestSchema = z.strictObject({
  /** Version of the format. */
  format: z.literal(1),
  services: z.array(serviceSchema).max(1000).default([]).refine(hasUniqueNames, UNIQUE_NAMES_ERROR),
  longRunning: z.array(longRunningServiceSchema).max(2000).default([]).refine(hasUniqueNames, UNIQUE_NAMES_ERROR),
  teams: z.array(teamSchema).max(500).default([]).refine(hasUniqueNames, UNIQUE_NAMES_ERROR),
  /** Placement policies by kind of job. */
  placement: z.strictObject({
    batch: z.enum(PLACEMENT_POLICIES).default(PLACEMENT_POLICIES.tight),
    gang: z.enum(PLACEMENT_POLICIES).default(PLACEMENT_POLICIES.together)
  }).default({ batch: PLACEMENT_POLICIES.tight, gang: PLACEMENT_POLICIES.together })
}).superRefine((manifest, ctx) => {
  const teams = new Set(manifest.teams.map(team => team.name))
  const message = `must be the name of a team of this manifest: ${[...teams].join(', ') || '(none)'}`
  manifest.longRunning.forEach((item, i) => {
    if (!teams.has(item.team)) ctx.addIssue({ code: 'custom', path: ['longRunning', i, 'team'], message })
  })
})

/** A validated manifest with its defaults filled in. */
export type Manifest = z.infer<typeof manifestSchema>

/** A manifest with its revision in the platform's key-value service. The revision is 0 when none has been stored. */
export interface VersionedManifest {
  revision: number
  manifest: Manifest
}

/** The manifest of a cell to which no manifest has been submitted. */
export const EMPTY_MANIFEST: Manifest = manifestSchema.parse({ format: 1 })

/** Key of the manifest in the platform's key-value service. */
export const MANIFEST_KEY = 'pomelofold/config/manifest'
