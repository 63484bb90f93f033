/**
 * Suspends workers at which runs of several workflows fail.
 *
 * Load pattern: a worker that is listed as ready and fails whatever it starts. It looks idle, so it would
 * take one task after the other, and use up their attempts.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import { RUN_ENDS, type RunEnd } from '../seams/workflowUpstreams.js'
import type { EventFields, EventLog } from '../utils/eventLog.js'

/** Ends that are looked at. */
const RECENT_ENDS = 8
/** Failures among the last ends before a worker is suspended, of at least this many workflows. */
const MIN_FAILURES = 2
const MIN_WORKFLOWS = 2
/** Share of failures among the last ends before a worker is suspended. */
const MIN_FAILED_SHARE = 0.5
/** First suspension, in milliseconds; doubled each time up to the maximum. */
const SUSPENSION_MIN_MS = 4_000
const SUSPENSION_MAX_MS = 60_000

interface WorkerRecord {
  ends: Array<{ failed: boolean, workflow: string }>
  suspendedUntilMs: number
  nextSuspensionMs: number
}

/** Judges workers by how the runs there end. */
export class WorkerSuspensions {
  private readonly _timers: Timers
  private readonly _log: EventLog
  private readonly _records = new Map<string, WorkerRecord>()

  constructor ({ timers, log }: { timers: Timers, log: EventLog }) {
    this._timers = timers
    this._log = log
  }

  /** True while the worker takes no new work. */
  isSuspended (incarnation: string): boolean {
    return (this._records.get(incarnation)?.suspendedUntilMs ?? 0) > this._timers.now()
  }

  /** Suspends a worker at which runs stand still. */
  noteStall (incarnation: string, runs: number): void {
    const record = this._recordOf(incarnation)
    if (record.suspendedUntilMs > this._timers.now()) return
    this._suspend(incarnation, record, { stalled: runs })
  }

  /** Notes the end of a run. */
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
