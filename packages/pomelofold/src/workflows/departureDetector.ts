/**
 * Tells workers that have left from workers that have fallen silent, by their entries in the worker directory.
 *
 * Load pattern: many draining workers leave within seconds, while others are cut off from the directory and the scheduler and
 * work on. The directory removes the entry of a worker that leaves at once, and that of a silent worker only after its expiry
 * time. An entry that disappears sooner after a heartbeat shows that its worker has left.
 *
 * @module
 */

import { incarnationOf } from './incarnations.js'
import type { DirectoryReading } from '../seams/workflowUpstreams.js'

/** Share of the expiry time within which an entry cannot have expired: intervals of heartbeats and clocks are approximate. */
const CERTAIN_SHARE = 0.8

/** Options of a {@link DepartureDetector}. */
export interface DepartureDetectorOptions {
  /** Time without a heartbeat after which the directory removes an entry, in milliseconds; 0 when it is not known. */
  entryExpiryMs: number
  /** Time after a failed reading in which entries of workers that are present may be missing, in milliseconds. */
  recoveryMs: number
  /** True for a worker that answers and has not announced that it leaves. */
  isStaying: (incarnation: string) => boolean
}

/** A reading with its times on the monotonic clock, in milliseconds. */
export interface TimedReading {
  reading: DirectoryReading
  requestedMs: number
  answeredMs: number
}

/** An entry as it was read last. */
interface SeenEntry {
  workerId: string
  heartbeat: number | undefined
  /** Earliest possible time of that heartbeat. */
  earliestMs: number
}

/** The removal of an entry, as the first reading without it shows it. */
export interface Removal {
  /** True when the worker has certainly left. */
  left: boolean
  /** Longest possible time since the worker's last heartbeat, in milliseconds; infinite when it is not known. */
  silentMs: number
}

/** Follows the entries of all workers from reading to reading. */
export class DepartureDetector {
  private readonly _options: DepartureDetectorOptions
  /** Entries by the incarnation of their worker. */
  private readonly _entries = new Map<string, SeenEntry>()
  /** Removed entries by the incarnation of their worker. */
  private readonly _removals = new Map<string, Removal>()
  /** Time at which the last successful reading was requested. */
  private _lastRequestedMs = Number.NEGATIVE_INFINITY
  private _unreliableUntilMs = Number.NEGATIVE_INFINITY

  constructor (options: DepartureDetectorOptions) {
    this._options = options
  }

  /** How the worker's entry was removed; undefined while it is listed, overwritten by another writer, or was never read. */
  removalOf (incarnation: string): Removal | undefined {
    return this._removals.get(incarnation)
  }

  /** Drops what is known of a worker whose session has ended. */
  forget (incarnation: string): void {
    this._removals.delete(incarnation)
  }

  /** Notes a failed reading. */
  noteFailure (nowMs: number): void {
    this._unreliableUntilMs = nowMs + this._options.recoveryMs
  }

  /** Notes a successful reading. */
  noteReading ({ reading, requestedMs, answeredMs }: TimedReading): void {
    const present = new Set<string>()
    for (const worker of reading.workers) {
      const incarnation = incarnationOf(worker)
      const heartbeat = reading.heartbeats.get(worker.id)
      present.add(incarnation)
      this._removals.delete(incarnation)
      // The last reading did not show this heartbeat, so it was sent after that reading was requested.
      if (this._entries.get(incarnation)?.heartbeat !== heartbeat) {
        this._entries.set(incarnation, { workerId: worker.id, heartbeat, earliestMs: this._lastRequestedMs })
      }
    }
    const removed = this._takeRemoved(present, reading)
    // Entries of workers that are present were dropped in an outage that no reading met.
    if (removed.some(([incarnation]) => this._options.isStaying(incarnation))) this.noteFailure(answeredMs)
    for (const [incarnation, { earliestMs }] of removed) {
      const silentMs = answeredMs - earliestMs
      const left = silentMs < this._options.entryExpiryMs * CERTAIN_SHARE && answeredMs >= this._unreliableUntilMs
      this._removals.set(incarnation, { left, silentMs: Math.round(silentMs) })
    }
    this._lastRequestedMs = requestedMs
  }

  /** Drops the entries that are no longer there. Returns them, except for those that were overwritten by other entries. */
  private _takeRemoved (present: Set<string>, { heartbeats }: DirectoryReading): Array<[string, SeenEntry]> {
    const removed: Array<[string, SeenEntry]> = []
    for (const [incarnation, entry] of this._entries) {
      if (present.has(incarnation)) continue
      this._entries.delete(incarnation)
      if (!heartbeats.has(entry.workerId)) removed.push([incarnation, entry])
    }
    return removed
  }
}
