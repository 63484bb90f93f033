/**
 * Keys and values of members in the platform. The claim map and the member keys of a failure domain
 * share a prefix, so that one range read and one watch cover both.
 *
 * @module
 */

import { z } from 'zod'

/** Keys in the platform. */
export const CLAIM_KEYS = {
  prefix: (failureDomain: string): string => `pomelofold/claims/${failureDomain}/`,
  map: (failureDomain: string): string => `pomelofold/claims/${failureDomain}/map`,
  members: (failureDomain: string): string => `pomelofold/claims/${failureDomain}/members/`,
  member: (failureDomain: string, vm: string): string => `pomelofold/claims/${failureDomain}/members/${vm}`
} as const

/** Value of a member key. It exists while its lease lasts. */
export const memberValueSchema = z.object({
  incarnation: z.string(),
  size: z.number().positive(),
  leaseId: z.string(),
  /** Epoch of the latest claim map that the process acts on. */
  knows: z.number().int()
})

/** Value of a member key. */
export type MemberValue = z.infer<typeof memberValueSchema>
