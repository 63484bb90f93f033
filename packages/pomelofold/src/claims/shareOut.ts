/**
 * Shares claims out among live entry VMs in proportion to their sizes, with as few moves as possible.
 *
 * @module
 */

/** An entry VM that can take claims. */
export interface Share {
  vm: string
  size: number
}

/** What is to be shared out. */
export interface ShareOutOptions {
  names: string[]
  shares: Share[]
  /** Present holder of each name, where there is one. */
  holders: Map<string, string>
}

/** Kinds of claims in the order in which they are shared out; see `CLAIMS` in `seams/authority.ts`. */
const KIND_ORDER = ['placer', 'home', 'instance']

/** Computes the holder of each name. Deterministic; empty when nobody can take claims. */
export function shareOut ({ names, shares, holders }: ShareOutOptions): Map<string, string> {
  const plan = new Map<string, string>()
  if (shares.length === 0) return plan
  const sorted = [...shares].sort((a, b) => a.vm < b.vm ? -1 : 1)
  const seats = new Map(sorted.map(share => [share.vm, 0]))
  for (const group of groupByKind(names)) shareOutGroup({ names: group, shares: sorted, holders }, seats, plan)
  return plan
}

function shareOutGroup ({ names, shares, holders }: ShareOutOptions, seats: Map<string, number>, plan: Map<string, string>): void {
  const quotas = groupQuotas({ names, shares, holders }, seats)
  const open: string[] = []
  for (const name of names) {
    const vm = holders.get(name)
    const quota = vm === undefined ? 0 : quotas.get(vm) ?? 0
    if (vm === undefined || quota === 0) {
      open.push(name)
      continue
    }
    quotas.set(vm, quota - 1)
    plan.set(name, vm)
  }
  const free = shares.flatMap(({ vm }) => Array<string>(quotas.get(vm) ?? 0).fill(vm))
  open.forEach((name, index) => plan.set(name, free[index]))
}

/** Highest averages with odd divisors (Sainte-Laguë), continued from kind to kind; ties go to present holders. */
function groupQuotas ({ names, shares, holders }: ShareOutOptions, seats: Map<string, number>): Map<string, number> {
  const quotas = new Map<string, number>()
  const present = countHolders(names, holders)
  for (let seat = 0; seat < names.length; seat++) {
    const average = ({ vm, size }: Share): number => size / (2 * seats.get(vm)! + 1)
    const spare = ({ vm }: Share): number => Math.max(0, (present.get(vm) ?? 0) - (quotas.get(vm) ?? 0))
    const best = shares.reduce((a, b) => {
      const lead = average(b) - average(a)
      return lead > 0 || (lead === 0 && spare(b) > spare(a)) ? b : a
    })
    seats.set(best.vm, seats.get(best.vm)! + 1)
    quotas.set(best.vm, (quotas.get(best.vm) ?? 0) + 1)
  }
  return quotas
}

function countHolders (names: string[], holders: Map<string, string>): Map<string, number> {
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
    const kind = KIND_ORDER.indexOf(name.split('/')[1])
    groups.set(kind, [...groups.get(kind) ?? [], name])
  }
  return [...groups.keys()].sort((a, b) => a - b).map(kind => groups.get(kind)!)
}
