/**
 * Distinguishes workers that fail any task from jobs that fail on any worker.
 *
 * @module
 */

import type { JobSettings } from './jobSettings.js'

/** Number of job families whose failures on a worker put it on probation. */
const MIN_FAILED_FAMILIES = 3
/** When a family has failed on this many other workers, its failures are attributed to the family, not to the worker. */
const MIN_OTHER_WORKERS = 2
/** Older failures are not counted. */
const FAILURE_WINDOW_MS = 600_000

interface Probation {
  untilMs: number
  lengthMs: number
}

/** Records failures by worker and job family, and puts workers that fail tasks of several families on probation. */
export class FailureTracker {
  private readonly _cfg: JobSettings
  /** Worker -> family -> time of the last failure. */
  private readonly _failuresByWorker = new Map<string, Map<string, number>>()
  private readonly _probations = new Map<string, Probation>()

  constructor ({ cfg }: { cfg: JobSettings }) {
    this._cfg = cfg
  }

  /** Records a failure. Returns true when it puts the worker on probation. */
  recordFailure (worker: string, family: string, nowMs: number): boolean {
    const families = this._failuresByWorker.get(worker) ?? new Map<string, number>()
    this._failuresByWorker.set(worker, families.set(family, nowMs))
    if (this.isOnProbation(worker, nowMs)) return false
    const counted = [...families].filter(([name, atMs]) => nowMs - atMs < FAILURE_WINDOW_MS && !this._failsElsewhere(name, worker, nowMs))
    if (counted.length < MIN_FAILED_FAMILIES) return false
    const last = this._probations.get(worker)
    const lengthMs = Math.min(this._cfg.maxProbationMs, last ? 2 * last.lengthMs : this._cfg.probationMs)
    this._probations.set(worker, { lengthMs, untilMs: nowMs + lengthMs })
    families.clear()
    return true
  }

  isOnProbation (worker: string, nowMs: number): boolean {
    return nowMs < this.probationEndMs(worker)
  }

  /** End of the worker's last probation; negative infinity when there was none. */
  probationEndMs (worker: string): number {
    return this._probations.get(worker)?.untilMs ?? Number.NEGATIVE_INFINITY
  }

  /** True when the worker has ever been on probation. Its failures are then not counted against jobs. */
  isSuspect (worker: string): boolean {
    return this._probations.has(worker)
  }

  listWorkersOnProbation (nowMs: number): string[] {
    return [...this._probations.keys()].filter(worker => this.isOnProbation(worker, nowMs))
  }

  removeWorker (worker: string): void {
    this._failuresByWorker.delete(worker)
    this._probations.delete(worker)
  }

  private _failsElsewhere (family: string, worker: string, nowMs: number): boolean {
    let workers = 0
    for (const [name, families] of this._failuresByWorker) {
      const atMs = families.get(family)
      if (name !== worker && atMs !== undefined && nowMs - atMs < FAILURE_WINDOW_MS && !this.isSuspect(name)) workers++
    }
    return workers >= MIN_OTHER_WORKERS
  }
}
