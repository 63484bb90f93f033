/**
 * Works out the next change of the claim map that one process may write.
 *
 * @module
 */

import { claimsOf, dropClaim, enterMap, giveClaim, hasEntered, removeClaimant, type ClaimMap, type ProcessId } from './claimMap.js'
import type { Member } from './memberKey.js'
import { shareOut } from './shareOut.js'

/** What a process knows when it considers a change. */
export interface Situation {
  self: ProcessId
  map: ClaimMap
  members: ReadonlyMap<string, Member>
  /** True when the platform's list of VMs shows this VM. */
  listed: boolean
  /** True when this process is giving up all its claims. */
  leaving: boolean
  /** Claims that should exist. Undefined until the VM list is known. */
  wanted: ReadonlySet<string> | undefined
  /** True when a claim of this process has been unwanted for long enough to be dropped. */
  isStale: (name: string) => boolean
  /** True when this process may take over from the VM, whose member key is absent. */
  mayTakeOver: (vm: string) => boolean
}

/** A change of the map. */
export interface Proposal {
  map: ClaimMap
  /** Own claims given away; use stops before the write. */
  released: string[]
  /** VMs whose claims are taken away. */
  victims: string[]
}

/** Computes the change to write now. Undefined when nothing is to be changed. */
export function proposeChange (situation: Situation): Proposal | undefined {
  const { self, map, leaving, listed } = situation
  if (leaving) return map.claimants[self.vm] ? leave(situation) : undefined
  if (!hasEntered(map, self)) return { map: enterMap(map, { ...self, listed }), released: [], victims: [] }
  return rearrange(situation)
}

function leave (situation: Situation): Proposal {
  const { self, map } = situation
  const released = claimsOf(map, self.vm)
  const shares = liveShares(situation, map).filter(({ vm }) => vm !== self.vm)
  const names = Object.keys(map.claims).filter(name => shares.some(({ vm }) => vm === map.claims[name].vm) || released.includes(name))
  const plan = shareOut({ names, shares, holders: holdersOf(map) })
  const left = removeClaimant(map, self.vm)
  const next = released.filter(name => plan.has(name)).reduce((result, name) => giveClaim(result, name, plan.get(name)!), left)
  return { map: next, released, victims: [] }
}

function rearrange (situation: Situation): Proposal | undefined {
  const { self, map, wanted, members, mayTakeOver } = situation
  const absent = Object.keys(map.claimants).filter(vm => vm !== self.vm && !members.has(vm))
  const gone = absent.filter(vm => claimsOf(map, vm).length === 0 ? isLeader(situation) : mayTakeOver(vm))
  const victims = gone.filter(vm => claimsOf(map, vm).length > 0)
  const freed = new Set(victims.flatMap(vm => claimsOf(map, vm)))
  let next = gone.reduce(removeClaimant, markListed(situation))
  const released: string[] = []
  if (wanted) {
    const plan = planOf(situation, next, wanted)
    for (const name of claimsOf(next, self.vm)) {
      const target = plan.get(name)
      if (target === self.vm || (target === undefined && !situation.isStale(name))) continue
      released.push(name)
      next = target === undefined ? dropClaim(next, name) : giveClaim(next, name, target)
    }
    for (const [name, vm] of plan) {
      if (!next.claims[name] && (freed.has(name) || isLeader(situation))) next = giveClaim(next, name, vm)
    }
  }
  return next === map ? undefined : { map: next, released, victims }
}

function planOf (situation: Situation, map: ClaimMap, wanted: ReadonlySet<string>): Map<string, string> {
  const shares = liveShares(situation, map)
  const isLive = (vm: string): boolean => shares.some(share => share.vm === vm)
  const names = [...wanted].filter(name => !map.claims[name] || isLive(map.claims[name].vm))
  return shareOut({ names, shares, holders: holdersOf(map) })
}

function markListed ({ self, map, listed }: Situation): ClaimMap {
  const own = map.claimants[self.vm]
  if (!listed || own.listed) return map
  return { ...map, claimants: { ...map.claimants, [self.vm]: { ...own, listed } } }
}

/** The first live claimant assigns what nobody holds. */
function isLeader (situation: Situation): boolean {
  const live = liveShares(situation, situation.map).map(({ vm }) => vm).sort()
  return live[0] === situation.self.vm
}

function liveShares ({ members }: Situation, map: ClaimMap): Array<{ vm: string, size: number }> {
  return Object.entries(map.claimants)
    .filter(([vm, { incarnation }]) => members.get(vm)?.incarnation === incarnation)
    .map(([vm]) => ({ vm, size: members.get(vm)!.size }))
}

function holdersOf (map: ClaimMap): Map<string, string> {
  return new Map(Object.entries(map.claims).map(([name, { vm }]) => [name, vm]))
}
