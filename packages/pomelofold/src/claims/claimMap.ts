/**
 * The claim map of one failure domain: one JSON value in the platform, changed by compare-and-swap.
 *
 * @module
 */

import { z } from 'zod'

/** An entry VM that may change the map. */
export const claimantSchema = z.object({
  incarnation: z.string(),
  /** Epoch at which the VM became a claimant. Kept when its process restarts. */
  since: z.number().int(),
  /** Epoch at which this incarnation entered. */
  entered: z.number().int(),
  /** True once the platform's list of VMs has shown the VM. */
  listed: z.boolean()
})

/** An entry VM that may change the map. */
export type Claimant = z.infer<typeof claimantSchema>

/** Holder of one claim. */
export const claimSchema = z.object({
  vm: z.string(),
  incarnation: z.string(),
  /** Fencing token of the claim; larger than that of every earlier holder. */
  epoch: z.number().int()
})

/** Holder of one claim. */
export type Claim = z.infer<typeof claimSchema>

/** The claim map. `epoch` is the largest epoch given out. */
export const claimMapSchema = z.object({
  epoch: z.number().int(),
  claimants: z.record(z.string(), claimantSchema),
  claims: z.record(z.string(), claimSchema)
})

/** The claim map. Treated as immutable. */
export type ClaimMap = z.infer<typeof claimMapSchema>

/** The map before anything was written. */
export const EMPTY_CLAIM_MAP: ClaimMap = { epoch: 0, claimants: {}, claims: {} }

/** A process on an entry VM. */
export interface ProcessId {
  vm: string
  incarnation: string
}

/** True when the map lists exactly this process as a claimant. */
export function isClaimant (map: ClaimMap, { vm, incarnation }: ProcessId): boolean {
  return map.claimants[vm]?.incarnation === incarnation
}

/** Makes the process a claimant. Claims of earlier incarnations of its VM pass to it with new epochs. */
export function addClaimant (map: ClaimMap, { vm, incarnation, listed }: ProcessId & { listed: boolean }): ClaimMap {
  const entered = map.epoch + 1
  const since = map.claimants[vm]?.since ?? entered
  const claimants = { ...map.claimants, [vm]: { incarnation, since, entered, listed } }
  const next = { ...map, epoch: entered, claimants }
  return claimNamesOf(map, vm).reduce((result, name) => assignClaim(result, name, vm), next)
}

/** Gives a claim to a claimant under a new epoch. */
export function assignClaim (map: ClaimMap, name: string, vm: string): ClaimMap {
  const epoch = map.epoch + 1
  const { incarnation } = map.claimants[vm]
  return { ...map, epoch, claims: { ...map.claims, [name]: { vm, incarnation, epoch } } }
}

/** Removes a claim. */
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

/** Names of the claims of a VM, sorted. */
export function claimNamesOf (map: ClaimMap, vm: string): string[] {
  return Object.keys(map.claims).filter(name => map.claims[name].vm === vm).sort()
}
