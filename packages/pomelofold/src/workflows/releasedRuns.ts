/**
 * Remembers why runs were released. A released run that a worker lists later was given up too early, or its start was
 * carried out late.
 *
 * @module
 */

import { runIdOf } from './workerSession.js'
import type { Run } from './workflowRuntime.js'
import type { Timers } from '../seams/timers.js'

/** Ways in which the scheduler ceases to count a run. */
export const RELEASES = {
  /** The worker listed the end of the run. */
  ended: 'ended',
  /** The worker refused the start. */
  refused: 'refused',
  /** The run is known to have ended without a listed end. */
  lost: 'lost'
} as const

/** One of {@link RELEASES}, or `none` for a run that this scheduler has not released. */
export type Release = typeof RELEASES[keyof typeof RELEASES] | 'none'

/** Time for which a released run is remembered, in milliseconds: more than the longest delay of an order and a lease. */
const RETENTION_MS = 30_000
/** Maximum number of remembered runs. */
const MAX_RUNS = 20_000

interface ReleasedRun {
  release: Release
  reason: string
  /** Incarnation of the worker. */
  worker: string
  atMs: number
}

/** The runs that were released lately. */
export class ReleasedRuns {
  private readonly _timers: Timers
  /** By the id of the run, in the order of their release. */
  private readonly _runs = new Map<string, ReleasedRun>()

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  note ({ name, attempt, session }: Pick<Run, 'name' | 'attempt' | 'session'>, release: Release, reason: string): void {
    const nowMs = this._timers.now()
    this._runs.delete(runIdOf(name, attempt))
    this._runs.set(runIdOf(name, attempt), { release, reason, worker: session.incarnation, atMs: nowMs })
    for (const [id, { atMs }] of this._runs) {
      if (this._runs.size <= MAX_RUNS && nowMs - atMs <= RETENTION_MS) break
      this._runs.delete(id)
    }
  }

  /** How and why a run was released, at which worker, and how long ago in milliseconds; for the log. */
  find (name: string, attempt: number): { release: Release, releaseReason?: string, releasedWorker?: string, releasedAgoMs?: number } {
    const found = this._runs.get(runIdOf(name, attempt))
    if (!found) return { release: 'none' }
    const { release, reason, worker, atMs } = found
    return { release, releaseReason: reason, releasedWorker: worker, releasedAgoMs: Math.round(this._timers.now() - atMs) }
  }
}
