/**
 * State of a cell as one entry daemon sees it.
 *
 * @module
 */

/** Answer of `GET /v1/status`. */
export interface DaemonStatus {
  vm: string
  failureDomain: string
  leaving: boolean
  revision: number
  claims: { held: number, names: string[] }
  inFlight: number
  peers: Array<{ vm: string, failureDomain: string, reachable: boolean, leaving: boolean, revision: number }>
}

/** Answer of `GET /v1/figures`: figures by entry VM. */
export interface CellFigures {
  figures: Record<string, DaemonFigures>
  unreachable: string[]
}

/** Figures of one entry daemon. */
export interface DaemonFigures {
  claims: { held: number }
  requests: { objectives: ObjectiveCount[] }
  [part: string]: unknown
}

/** How many requests met the objective of a service and class, since the start of a daemon. */
export interface ObjectiveCount {
  service: string
  class: string
  waitMs: number
  target: number
  good: number
  bad: number
}

/** One entry VM of the cell. Revision and claims are absent while it cannot be reached. */
export interface EntryStatus {
  vm: string
  failureDomain: string
  reachable: boolean
  leaving: boolean
  revision?: number
  claims?: number
}

/** State of the cell. */
export interface CellStatus extends DaemonStatus {
  entries: EntryStatus[]
}

/** Puts together what a daemon knows of itself and of its peers. */
export function cellStatus (status: DaemonStatus, { figures }: CellFigures): CellStatus {
  const { vm, failureDomain, leaving, revision, claims, peers } = status
  const own: EntryStatus = { vm, failureDomain, reachable: true, leaving, revision, claims: claims.held }
  const others = peers.map((peer): EntryStatus => {
    const { vm, failureDomain, reachable, leaving } = peer
    if (!reachable) return { vm, failureDomain, reachable, leaving }
    return { vm, failureDomain, reachable, leaving, revision: peer.revision, claims: figures[vm]?.claims.held }
  })
  return { ...status, entries: [own, ...others].sort((a, b) => a.vm < b.vm ? -1 : 1) }
}

/** Burn of one service-level objective over the whole cell. */
export interface ObjectiveBurn extends ObjectiveCount {
  /** Share of requests that met the objective; absent when there were none. */
  attained?: number
  /** Rate at which the error budget is used: 1 uses it up exactly. Absent when there were no requests. */
  burnRate?: number
}

/** Sums the counts of all entry daemons and works out how fast each error budget burns. */
export function objectiveBurn ({ figures }: CellFigures): ObjectiveBurn[] {
  const sums = new Map<string, ObjectiveCount>()
  for (const { requests } of Object.values(figures)) {
    for (const count of requests.objectives) addCount(sums, count)
  }
  return [...sums.values()].map(withBurn)
}

function addCount (sums: Map<string, ObjectiveCount>, count: ObjectiveCount): void {
  const key = JSON.stringify([count.service, count.class, count.waitMs, count.target])
  const sum = sums.get(key) ?? { ...count, good: 0, bad: 0 }
  sums.set(key, { ...sum, good: sum.good + count.good, bad: sum.bad + count.bad })
}

function withBurn (count: ObjectiveCount): ObjectiveBurn {
  const total = count.good + count.bad
  if (total === 0) return count
  return { ...count, attained: count.good / total, burnRate: count.bad / total / (1 - count.target) }
}
