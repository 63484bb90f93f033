/**
 * The claim map of one failure domain: one JSON value in the platform, changed by compare-and-swap.
 *
 * @module
 */

import { z } from 'zod'

/** An entry VM that may write the claim map and hold claims. */
export const claimantSchema = z.object({
  incarnation: z.string(),
  /** Epoch at which the VM became a claimant. Kept when its process restarts. */
  since: z.number().int(),
  /** Epoch at which this incarnation became a claimant. */
  entered: z.number().int(),
  /** True once the platform's list of VMs has contained the VM. */
  listed: z.boolean()
})

/** An entry VM that may write the claim map and hold claims. */
export type Claimant = z.infer<typeof claimantSchema>

/** Assignment of one claim to its holder. */
export const claimSchema = z.object({
  vm: z.string(),
  incarnation: z.string(),
  /** Fencing token of the claim; larger than that of every earlier holder. */
  epoch: z.number().int()
})

/** Assignment of one claim to its holder. */
export type Claim = z.infer<typeof claimSchema>

/** The claim map. `epoch` is the largest epoch assigned so far. */
export const claimMapSchema = z.object({
  epoch: z.number().int(),
  claimants: z.record(z.string(), claimantSchema),
  claims: z.record(z.string(), claimSchema)
})

/** The claim map. Treated as immutable. */
export type ClaimMap = z.infer<typeof claimMapSchema>

/** The claim map before its first write. */
export const EMPTY_CLAIM_MAP: ClaimMap = { epoch: 0, claimants: {}, claims: {} }

/** A process on an entry VM. Each start of the process has its own incarnation. */
export interface ProcessId {
  vm: string
  incarnation: string
}

/** True when exactly this incarnation is a claimant, and not another one of its VM. */
export function isClaimant (map: ClaimMap, { vm, incarnation }: ProcessId): boolean {
  return map.claimants[vm]?.incarnation === incarnation
}

/** Adds the process to the claimants. Claims of an earlier incarnation of its VM are assigned to it with new epochs. */
export function addClaimant (map: ClaimMap, { vm, incarnation, listed }: ProcessId & { listed: boolean }): ClaimMap {
  const entered = map.epoch + 1
  const since = map.claimants[vm]?.since ?? entered
  const claimants = { ...map.claimants, [vm]: { incarnation, since, entered, listed } }
  const next = { ...map, epoch: entered, claimants }
  return claimNamesOf(map, vm).reduce((result, name) => assignClaim(result, name, vm), next)
}

/** Assigns a claim to a claimant with a new epoch. */
export function assignClaim (map: ClaimMap, name: string, vm: string): ClaimMap {
  const epoch = map.epoch + 1
  const { incarnation } = map.claimants[vm]
  return { ...map, epoch, claims: { ...map.claims, [name]: { vm, incarnation, epoch } } }
}

export function removeClaim (map: ClaimMap, name: string): ClaimMap {
  const { [name]: _, ...claims } = map.claims
  return { ...map, claims }
}

/** Removes a claimant and its claims. */
export function removeClaimant (map: ClaimMap, vm: string): ClaimMap {
  const { [vm]: _, ...claimants } = map.claimants
  const claims = Object.fromEntries(Object.entries(map.claims).filter(([, claim]) => claim.vm !== vm))
  return { ...map, claimants, claims }
}

/** Names of the claims that a VM holds, sorted. */
export function claimNamesOf (map: ClaimMap, vm: string): string[] {
  return Object.keys(map.claims).filter(name => map.claims[name].vm === vm).sort()
}
