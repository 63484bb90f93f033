/**
 * State of a cell from the point of view of one entry daemon.
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

/** Answer of `GET /v1/figures`: figures by entry VM, and the names of unreachable VMs. */
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

/** State of one entry VM. Revision and claims are absent while it is unreachable. */
export interface EntryVmStatus {
  vm: string
  failureDomain: string
  reachable: boolean
  leaving: boolean
  revision?: number
  claims?: number
}

/** State of the entry daemon that was queried, and of all entry VMs. */
export interface CellStatus extends DaemonStatus {
  entries: EntryVmStatus[]
}

/** Combines a daemon's status with the figures of its peers into one entry for each entry VM, sorted by name. */
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
