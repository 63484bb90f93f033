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
  /** Counts for the burn report. */
  burn?: unknown
  [part: string]: unknown
}

/** One entry VM of the cell. Revision and claims are absent while it cannot be reached. */
export interface EntryVmStatus {
  vm: string
  failureDomain: string
  reachable: boolean
  leaving: boolean
  revision?: number
  claims?: number
}

/** State of the cell. */
export interface CellStatus extends DaemonStatus {
  entries: EntryVmStatus[]
}

/** Puts together what a daemon knows of itself and of its peers. */
export function buildCellStatus (status: DaemonStatus, { figures }: CellFigures): CellStatus {
  const { vm, failureDomain, leaving, revision, claims, peers } = status
  const own: EntryVmStatus = { vm, failureDomain, reachable: true, leaving, revision, claims: claims.held }
  const others = peers.map((peer): EntryVmStatus => {
    const { vm, failureDomain, reachable, leaving } = peer
    if (!reachable) return { vm, failureDomain, reachable, leaving }
    return { vm, failureDomain, reachable, leaving, revision: peer.revision, claims: figures[vm]?.claims.held }
  })
  return { ...status, entries: [own, ...others].sort((a, b) => a.vm < b.vm ? -1 : 1) }
}
