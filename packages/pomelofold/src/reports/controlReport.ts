/**
 * What control costs at each entry daemon, from the figures of all of them.
 *
 * @module
 */

/** Resources that a process has used. */
export interface ProcessUsage {
  /** Processor time since the start, in milliseconds. */
  cpuMs: number
  residentBytes: number
  /** Time since the start, in milliseconds. */
  upMs: number
}

/** The figures of entry daemons that {@link controlReport} reads. */
export interface CellControlFigures {
  figures: Record<string, { usage: ProcessUsage, claims: { held: number, mapWrites: number, takeovers: number } }>
  unreachable: string[]
}

/** Cost of one entry daemon. */
export interface ControlRow {
  vm: string
  /** Share of one core, as a mean since the start. */
  cpuShare: number
  residentMb: number
  upSeconds: number
  claims: number
  mapWrites: number
  takeovers: number
}

/** Cost of all entry daemons that could be reached. */
export interface ControlReport {
  daemons: ControlRow[]
  unreachable: string[]
}

const BYTES_PER_MB = 1024 * 1024

/** Works out the cost of control of each entry daemon. */
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
