/**
 * Computes the resources that each entry daemon uses to control the cell, from the figures of all entry daemons.
 *
 * @module
 */

/** Resources that a process has used. */
export interface ProcessUsage {
  /** Processor time since the start of the process, in milliseconds. */
  cpuMs: number
  residentBytes: number
  /** Time since the start of the process, in milliseconds. */
  upMs: number
}

/** The figures of entry daemons that {@link controlReport} reads. */
export interface CellControlFigures {
  figures: Record<string, { usage: ProcessUsage, claims: { held: number, mapWrites: number, takeovers: number } }>
  unreachable: string[]
}

/** Resource usage and claims of one entry daemon. */
export interface ControlRow {
  vm: string
  /** Mean share of one core since the start of the process. */
  cpuShare: number
  residentMb: number
  upSeconds: number
  claims: number
  mapWrites: number
  takeovers: number
}

/** Resource usage and claims of all reachable entry daemons. */
export interface ControlReport {
  daemons: ControlRow[]
  unreachable: string[]
}

const BYTES_PER_MB = 1024 * 1024

/** Computes one row for each entry daemon, sorted by VM. */
export function controlReport ({ figures, unreachable }: CellControlFigures): ControlReport {
  const daemons = Object.entries(figures).map(([vm, { usage, claims }]): ControlRow => ({
    vm,
    cpuShare: usage.upMs > 0 ? usage.cpuMs / usage.upMs : 0,
    residentMb: usage.residentBytes / BYTES_PER_MB,
    upSeconds: usage.upMs / 1_000,
    claims: claims.held,
    mapWrites: claims.mapWrites,
    takeovers: claims.takeovers
  }))
  return { daemons: daemons.sort((a, b) => a.vm.localeCompare(b.vm)), unreachable }
}
