/**
 * Distributes claims among live entry VMs in proportion to their sizes, with as few moves as possible.
 *
 * @module
 */

/** An entry VM that can take claims. */
export interface CandidateVm {
  vm: string
  size: number
}

/** Claims to distribute, and the entry VMs to choose from. */
export interface DistributionOptions {
  /** Names of the claims. */
  names: string[]
  candidates: CandidateVm[]
  /** Current holder of each claim that has one. */
  holders: Map<string, string>
}

/** Kinds of claims in the order in which they are distributed; see `CLAIM_NAMES` in `seams/authority.ts`. */
const CLAIM_KIND_ORDER = ['placer', 'home', 'instance']

/** Computes the holder of each claim. Deterministic; empty when there are no candidates. */
export function distributeClaims ({ names, candidates, holders }: DistributionOptions): Map<string, string> {
  const plan = new Map<string, string>()
  if (candidates.length === 0) return plan
  const sorted = [...candidates].sort((a, b) => a.vm < b.vm ? -1 : 1)
  const assignedCounts = new Map(sorted.map(candidate => [candidate.vm, 0]))
  for (const group of groupByKind(names)) distributeGroup({ names: group, candidates: sorted, holders }, assignedCounts, plan)
  return plan
}

/** Distributes the claims of one kind: holders keep claims up to their quotas, and the remaining claims fill the open quotas. */
function distributeGroup (
  { names, candidates, holders }: DistributionOptions, assignedCounts: Map<string, number>, plan: Map<string, string>
): void {
  const quotas = groupQuotas({ names, candidates, holders }, assignedCounts)
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
  const vmsWithOpenQuota = candidates.flatMap(({ vm }) => Array<string>(quotas.get(vm) ?? 0).fill(vm))
  unassigned.forEach((name, index) => plan.set(name, vmsWithOpenQuota[index]))
}

/**
 * Computes how many claims of one kind each VM gets, by the Sainte-Laguë method (highest averages with odd divisors).
 * `assignedCounts` counts the claims that each VM has got, those of earlier kinds included, so that the total stays proportional.
 * In a tie, the VM that holds the most claims beyond its quota so far goes first, which avoids a move.
 */
function groupQuotas ({ names, candidates, holders }: DistributionOptions, assignedCounts: Map<string, number>): Map<string, number> {
  const quotas = new Map<string, number>()
  const heldCounts = claimCountByVm(names, holders)
  for (let assignedCount = 0; assignedCount < names.length; assignedCount++) {
    const average = ({ vm, size }: CandidateVm): number => size / (2 * assignedCounts.get(vm)! + 1)
    const heldBeyondQuota = ({ vm }: CandidateVm): number => Math.max(0, (heldCounts.get(vm) ?? 0) - (quotas.get(vm) ?? 0))
    const best = candidates.reduce((a, b) => {
      const difference = average(b) - average(a)
      return difference > 0 || (difference === 0 && heldBeyondQuota(b) > heldBeyondQuota(a)) ? b : a
    })
    assignedCounts.set(best.vm, assignedCounts.get(best.vm)! + 1)
    quotas.set(best.vm, (quotas.get(best.vm) ?? 0) + 1)
  }
  return quotas
}

/** Number of the claims that each VM holds now. */
function claimCountByVm (names: string[], holders: Map<string, string>): Map<string, number> {
  const counts = new Map<string, number>()
  for (const name of names) {
    const vm = holders.get(name)
    if (vm !== undefined) counts.set(vm, (counts.get(vm) ?? 0) + 1)
  }
  return counts
}

/** Groups claims by kind, in the order of {@link CLAIM_KIND_ORDER}. */
function groupByKind (names: string[]): string[][] {
  const groups = new Map<number, string[]>()
  for (const name of [...names].sort()) {
    const kind = CLAIM_KIND_ORDER.indexOf(name.split('/')[1])
    groups.set(kind, [...groups.get(kind) ?? [], name])
  }
  return [...groups.keys()].sort((a, b) => a - b).map(kind => groups.get(kind)!)
}
