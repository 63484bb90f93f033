/**
 * Shares claims out among live entry VMs in proportion to their sizes, with as few moves as possible.
 *
 * @module
 */

/** An entry VM that can take claims. */
export interface CandidateVm {
  vm: string
  size: number
}

/** What is to be shared out. */
export interface DistributionOptions {
  names: string[]
  candidates: CandidateVm[]
  /** Present holder of each name, where there is one. */
  holders: Map<string, string>
}

/** Kinds of claims in the order in which they are shared out; see `CLAIMS` in `seams/authority.ts`. */
const CLAIM_KIND_ORDER = ['placer', 'home', 'instance']

/** Computes the holder of each name. Deterministic; empty when nobody can take claims. */
export function distributeClaims ({ names, candidates, holders }: DistributionOptions): Map<string, string> {
  const plan = new Map<string, string>()
  if (candidates.length === 0) return plan
  const sorted = [...candidates].sort((a, b) => a.vm < b.vm ? -1 : 1)
  const seats = new Map(sorted.map(share => [share.vm, 0]))
  for (const group of groupByKind(names)) distributeGroup({ names: group, candidates: sorted, holders }, seats, plan)
  return plan
}

function distributeGroup (
  { names, candidates, holders }: DistributionOptions, seats: Map<string, number>, plan: Map<string, string>
): void {
  const quotas = groupQuotas({ names, candidates, holders }, seats)
  const unassigned: string[] = []
  for (const name of names) {
    const vm = holders.get(name)
    const quota = vm === undefined ? 0 : quotas.get(vm) ?? 0
    if (vm === undefined || quota === 0) {
      unassigned.push(name)
      continue
    }
    quotas.set(vm, quota - 1)
    plan.set(name, vm)
  }
  const freeSeats = candidates.flatMap(({ vm }) => Array<string>(quotas.get(vm) ?? 0).fill(vm))
  unassigned.forEach((name, index) => plan.set(name, freeSeats[index]))
}

/** Highest averages with odd divisors (Sainte-Laguë), continued from kind to kind; ties go to present holders. */
function groupQuotas ({ names, candidates, holders }: DistributionOptions, seats: Map<string, number>): Map<string, number> {
  const quotas = new Map<string, number>()
  const heldCounts = claimCountByVm(names, holders)
  for (let seat = 0; seat < names.length; seat++) {
    const average = ({ vm, size }: CandidateVm): number => size / (2 * seats.get(vm)! + 1)
    const heldBeyondQuota = ({ vm }: CandidateVm): number => Math.max(0, (heldCounts.get(vm) ?? 0) - (quotas.get(vm) ?? 0))
    const best = candidates.reduce((a, b) => {
      const difference = average(b) - average(a)
      return difference > 0 || (difference === 0 && heldBeyondQuota(b) > heldBeyondQuota(a)) ? b : a
    })
    seats.set(best.vm, seats.get(best.vm)! + 1)
    quotas.set(best.vm, (quotas.get(best.vm) ?? 0) + 1)
  }
  return quotas
}

function claimCountByVm (names: string[], holders: Map<string, string>): Map<string, number> {
  const counts = new Map<string, number>()
  for (const name of names) {
    const vm = holders.get(name)
    if (vm !== undefined) counts.set(vm, (counts.get(vm) ?? 0) + 1)
  }
  return counts
}

function groupByKind (names: string[]): string[][] {
  const groups = new Map<number, string[]>()
  for (const name of [...names].sort()) {
    const kind = CLAIM_KIND_ORDER.indexOf(name.split('/')[1])
    groups.set(kind, [...groups.get(kind) ?? [], name])
  }
  return [...groups.keys()].sort((a, b) => a - b).map(kind => groups.get(kind)!)
}
