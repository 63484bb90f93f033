/**
 * Suspends workers on which runs of several workflows fail, or on which runs stall.
 *
 * Load pattern: a worker that is listed as ready and fails every task that it starts. It appears idle, so without
 * a suspension it would receive one task after another and use up their attempts.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import { RUN_ENDS, type RunEnd } from '../seams/workflowUpstreams.js'
import type { EventFields, EventLog } from '../utils/eventLog.js'

/** Number of recent ends of runs that are evaluated for each worker. */
const RECENT_ENDS = 8
/**
 * Minimum failures among the recent ends, and minimum number of workflows among these failures, before a worker is
 * suspended. One workflow alone may fail by its own fault.
 */
const MIN_FAILURES = 2
const MIN_WORKFLOWS = 2
/** Minimum share of failures among the recent ends before a worker is suspended. */
const MIN_FAILED_SHARE = 0.5
/** Length of the first suspension, in milliseconds; doubled with each further one up to the maximum. */
const SUSPENSION_MIN_MS = 4_000
const SUSPENSION_MAX_MS = 60_000

interface WorkerRecord {
  ends: Array<{ failed: boolean, workflow: string }>
  suspendedUntilMs: number
  nextSuspensionMs: number
}

/** Decides on suspensions from the ends and stalls of the runs at each worker. */
export class WorkerSuspensions {
  private readonly _timers: Timers
  private readonly _log: EventLog
  private readonly _records = new Map<string, WorkerRecord>()

  constructor ({ timers, log }: { timers: Timers, log: EventLog }) {
    this._timers = timers
    this._log = log
  }

  /** True while the worker gets no new tasks. */
  isSuspended (incarnation: string): boolean {
    return (this._records.get(incarnation)?.suspendedUntilMs ?? 0) > this._timers.now()
  }

  /** Suspends a worker on which `runs` runs have stalled. */
  noteStall (incarnation: string, runs: number): void {
    const record = this._recordOf(incarnation)
    if (record.suspendedUntilMs > this._timers.now()) return
    this._suspend(incarnation, record, { stalled: runs })
  }

  /** Records the end of a run, and suspends the worker when the limits for failures are reached. */
  noteEnd (incarnation: string, workflow: string, how: RunEnd): void {
    if (how !== RUN_ENDS.done && how !== RUN_ENDS.failed) return
    const record = this._recordOf(incarnation)
    record.ends.push({ failed: how === RUN_ENDS.failed, workflow })
    if (record.ends.length > RECENT_ENDS) record.ends.shift()
    const failures = record.ends.filter(end => end.failed)
    const workflows = new Set(failures.map(end => end.workflow)).size
    if (failures.length < MIN_FAILURES || workflows < MIN_WORKFLOWS || failures.length < record.ends.length * MIN_FAILED_SHARE) return
    this._suspend(incarnation, record, { failures: failures.length, workflows, ends: record.ends.length })
  }

  private _recordOf (incarnation: string): WorkerRecord {
    const record = this._records.get(incarnation) ?? { ends: [], suspendedUntilMs: 0, nextSuspensionMs: SUSPENSION_MIN_MS }
    this._records.set(incarnation, record)
    return record
  }

  private _suspend (incarnation: string, record: WorkerRecord, reasonFields: EventFields): void {
    this._log.event('warn', 'worker.suspended', { worker: incarnation, ...reasonFields, forMs: record.nextSuspensionMs })
    record.suspendedUntilMs = this._timers.now() + record.nextSuspensionMs
    record.nextSuspensionMs = Math.min(2 * record.nextSuspensionMs, SUSPENSION_MAX_MS)
    record.ends = []
  }
}
