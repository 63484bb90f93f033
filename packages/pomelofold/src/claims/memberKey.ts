/**
 * Keys of the claim map and of the members (entry VMs with a lease) in the platform. Both share a prefix for each failure
 * domain, so that one range read and one watch cover them.
 *
 * @module
 */

import { z } from 'zod'

export const CLAIM_KEYS = {
  prefix: (failureDomain: string): string => `pomelofold/claims/${failureDomain}/`,
  map: (failureDomain: string): string => `pomelofold/claims/${failureDomain}/map`,
  members: (failureDomain: string): string => `pomelofold/claims/${failureDomain}/members/`,
  member: (failureDomain: string, vm: string): string => `pomelofold/claims/${failureDomain}/members/${vm}`
} as const

/** Value of a member key. The key exists while the process's lease lasts. */
export const memberValueSchema = z.object({
  incarnation: z.string(),
  size: z.number().positive(),
  leaseId: z.string(),
  /** Epoch up to which the process has read the claim map; it no longer acts on earlier maps. */
  knows: z.number().int()
})

/** Value of a member key. */
export type MemberValue = z.infer<typeof memberValueSchema>
