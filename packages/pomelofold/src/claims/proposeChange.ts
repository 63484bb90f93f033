/**
 * Computes the next change of the claim map that one process may write.
 *
 * @module
 */

import { addClaimant, assignClaim, claimNamesOf, isClaimant, removeClaim, removeClaimant, type ClaimMap, type ProcessId } from './claimMap.js'
import type { MemberValue } from './memberKey.js'
import { distributeClaims } from './distributeClaims.js'

/** State of a process and its view on which a proposal is based. */
export interface ProposalInputs {
  self: ProcessId
  map: ClaimMap
  members: ReadonlyMap<string, MemberValue>
  /** True when the platform's list of VMs contains this VM. */
  listed: boolean
  /** True when this process is handing over all its claims. */
  leaving: boolean
  /** Claims that should exist. Undefined until the list of VMs has been read. */
  wantedClaims: ReadonlySet<string> | undefined
  /** True when a claim of this process has been unwanted for long enough to be removed. */
  isUnwantedLongEnough: (name: string) => boolean
  /** True when this process may take over from the VM, whose member key is absent. */
  mayTakeOver: (vm: string) => boolean
}

/** A change of the claim map. */
export interface Proposal {
  /** The map to write. */
  map: ClaimMap
  /** Claims that this process releases. It must stop using them before the write is sent. */
  releasedClaims: string[]
  /** VMs whose claims are taken over. Their member keys must be absent when the write takes effect. */
  takenOverVms: string[]
}

/** Computes the change to write now. Undefined when the map needs no change. */
export function proposeChange (inputs: ProposalInputs): Proposal | undefined {
  const { self, map, leaving, listed } = inputs
  if (leaving) return map.claimants[self.vm] ? proposeHandOver(inputs) : undefined
  if (!isClaimant(map, self)) return { map: addClaimant(map, { ...self, listed }), releasedClaims: [], takenOverVms: [] }
  return proposeRebalance(inputs)
}

/** Removes this process from the claimants and assigns its claims to the others, or to nobody when no other claimant is live. */
function proposeHandOver (inputs: ProposalInputs): Proposal {
  const { self, map } = inputs
  const releasedClaims = claimNamesOf(map, self.vm)
  const candidates = liveCandidates(inputs, map).filter(({ vm }) => vm !== self.vm)
  const names = Object.keys(map.claims)
    .filter(name => candidates.some(({ vm }) => vm === map.claims[name].vm) || releasedClaims.includes(name))
  const plan = distributeClaims({ names, candidates, holders: holdersOf(map) })
  const withoutOwnVm = removeClaimant(map, self.vm)
  const next = releasedClaims
    .filter(name => plan.has(name))
    .reduce((result, name) => assignClaim(result, name, plan.get(name)!), withoutOwnVm)
  return { map: next, releasedClaims, takenOverVms: [] }
}

/**
 * Removes absent claimants and takes over their claims, moves claims of this process to their planned holders, and assigns
 * claims without a holder.
 */
function proposeRebalance (inputs: ProposalInputs): Proposal | undefined {
  const { self, map, wantedClaims, members, mayTakeOver } = inputs
  const absent = Object.keys(map.claimants).filter(vm => vm !== self.vm && !members.has(vm))
  const removableVms = absent.filter(vm => claimNamesOf(map, vm).length === 0 ? isFirstLiveClaimant(inputs) : mayTakeOver(vm))
  const takenOverVms = removableVms.filter(vm => claimNamesOf(map, vm).length > 0)
  const takenOverClaims = new Set(takenOverVms.flatMap(vm => claimNamesOf(map, vm)))
  let next = removableVms.reduce(removeClaimant, markOwnVmListed(inputs))
  const releasedClaims: string[] = []
  if (wantedClaims) {
    const plan = planHolders(inputs, next, wantedClaims)
    for (const name of claimNamesOf(next, self.vm)) {
      const target = plan.get(name)
      if (target === self.vm || (target === undefined && !inputs.isUnwantedLongEnough(name))) continue
      releasedClaims.push(name)
      next = target === undefined ? removeClaim(next, name) : assignClaim(next, name, target)
    }
    for (const [name, vm] of plan) {
      if (!next.claims[name] && (takenOverClaims.has(name) || isFirstLiveClaimant(inputs))) next = assignClaim(next, name, vm)
    }
  }
  return next === map ? undefined : { map: next, releasedClaims, takenOverVms }
}

/** Plans the holders of the wanted claims. Claims of VMs that are not live are left out, since they cannot be moved yet. */
function planHolders (inputs: ProposalInputs, map: ClaimMap, wantedClaims: ReadonlySet<string>): Map<string, string> {
  const candidates = liveCandidates(inputs, map)
  const isLive = (vm: string): boolean => candidates.some(candidate => candidate.vm === vm)
  const names = [...wantedClaims].filter(name => !map.claims[name] || isLive(map.claims[name].vm))
  return distributeClaims({ names, candidates, holders: holdersOf(map) })
}

function markOwnVmListed ({ self, map, listed }: ProposalInputs): ClaimMap {
  const own = map.claimants[self.vm]
  if (!listed || own.listed) return map
  return { ...map, claimants: { ...map.claimants, [self.vm]: { ...own, listed } } }
}

/**
 * True when this process is the first live claimant by VM name. It alone assigns claims without a holder and removes absent
 * claimants without claims.
 */
function isFirstLiveClaimant (inputs: ProposalInputs): boolean {
  const live = liveCandidates(inputs, inputs.map).map(({ vm }) => vm).sort()
  return live[0] === inputs.self.vm
}

/** Claimants whose current incarnation has a member key. */
function liveCandidates ({ members }: ProposalInputs, map: ClaimMap): Array<{ vm: string, size: number }> {
  return Object.entries(map.claimants)
    .filter(([vm, { incarnation }]) => members.get(vm)?.incarnation === incarnation)
    .map(([vm]) => ({ vm, size: members.get(vm)!.size }))
}

function holdersOf (map: ClaimMap): Map<string, string> {
  return new Map(Object.entries(map.claims).map(([name, { vm }]) => [name, vm]))
}
