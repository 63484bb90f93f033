/**
 * What a run needs to know of the worker where it runs.
 *
 * @module
 */

import type { WorkerEntry } from '../seams/workflowUpstreams.js'

/** The scheduler's link to one life of a worker, as seen by its runs. */
export interface RunHost {
  /** Name of this life. */
  readonly incarnation: string
  readonly entry: WorkerEntry
  readonly closed: boolean
  /** False while calls fail. */
  readonly reachable: boolean
  /** Time at which the last report of this life was asked for, in milliseconds of the monotonic clock. */
  readonly lastReportAskedMs: number
  /** No starts before then, in milliseconds of the monotonic clock. */
  suspendedUntilMs: number
  /** True while a run counts there. */
  hasRun (name: string, attempt: number): boolean
  removeRun (name: string, attempt: number): void
  /** Lease end of a start, on the worker's clock. Undefined before the worker's clock is known. */
  leaseEndForStart (): number | undefined
  /** Notes an order that was not answered. */
  noteUnanswered (): void
  /** Notes a lease end that is about to be sent. */
  noteLeaseSent (untilMs: number): void
  /** Notes the worker's clock from an answer that has just come. */
  noteClock (clockMs: number | undefined): void
}
