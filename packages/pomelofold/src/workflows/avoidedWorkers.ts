/**
 * Decides when a task may run again on a worker on which a run of it has failed or stalled.
 *
 * Load pattern: a worker fails all that it starts for some seconds, while the other workers that may run the task are full. A task
 * that is tried there at once uses up its attempts; one that is kept away for good waits beside a worker that has recovered.
 *
 * @module
 */

import type { RunHost } from './runHost.js'

/** Time for which a task waits for room on other workers before it runs again on one where it has failed, in milliseconds. */
const RETRY_DELAY_MS = 2_500
/** The same before the last allowed attempt, unless a run that was started on the worker meanwhile has succeeded, in milliseconds. */
const LAST_ATTEMPT_DELAY_MS = 6_000

type Worker = Pick<RunHost, 'incarnation' | 'lastSuccessStartMs'>

/** The workers that a task avoids. */
export class AvoidedWorkers {
  /** Times of the last failure or stall by incarnation, in milliseconds of the monotonic clock. */
  private readonly _failedMs = new Map<string, number>()
  private _isLastAttempt = false

  /** Records a run of the task that has failed or stalled on the worker. `attemptsLeft` is the number of runs it may still fail. */
  note ({ incarnation }: Worker, { nowMs, attemptsLeft }: { nowMs: number, attemptsLeft: number }): void {
    this._failedMs.set(incarnation, nowMs)
    this._isLastAttempt = attemptsLeft <= 1
  }

  /** True for a worker that the task uses only if no other has room. */
  has ({ incarnation }: Worker): boolean {
    return this._failedMs.has(incarnation)
  }

  /** True for a worker that the task does not use yet, whether others have room or not. */
  excludes ({ incarnation, lastSuccessStartMs }: Worker, nowMs: number): boolean {
    const failedMs = this._failedMs.get(incarnation)
    if (failedMs === undefined) return false
    const hasRecovered = lastSuccessStartMs > failedMs
    return nowMs - failedMs < (this._isLastAttempt && !hasRecovered ? LAST_ATTEMPT_DELAY_MS : RETRY_DELAY_MS)
  }
}

/** The workers without those that every one of the tasks excludes. */
export function withoutExcluded<T extends Worker> (workers: T[], tasks: Array<{ avoid: AvoidedWorkers | undefined }>, nowMs: number): T[] {
  if (tasks.length === 0 || tasks.some(({ avoid }) => avoid === undefined)) return workers
  return workers.filter(worker => tasks.some(({ avoid }) => !avoid!.excludes(worker, nowMs)))
}
