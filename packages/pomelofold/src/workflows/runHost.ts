/**
 * The part of a worker session that runs, the sending of orders and pacing depend on.
 *
 * @module
 */

import type { WorkerEntry } from '../seams/workflowUpstreams.js'

/** Incarnations that may have answered an order. The answer does not name one, but each has a clock of its own. */
export const ANSWERERS = {
  /** The incarnation to which the order was sent. */
  host: 'host',
  /** A later one with the same id. */
  later: 'later',
  unknown: 'unknown'
} as const

/** One of {@link ANSWERERS}. */
export type Answerer = typeof ANSWERERS[keyof typeof ANSWERERS]

/** A time on a worker's clock, and the time at which it was received, both in milliseconds. */
export interface WorkerClock {
  readonly atMs: number
  /** On the monotonic clock. */
  readonly receivedMs: number
}

/** One incarnation of a worker: one process, from its start to its end, under an id that later processes may use again. */
export interface RunHost {
  /** Unique name of the incarnation: the worker's id and start time. */
  readonly incarnation: string
  readonly entry: WorkerEntry
  /** True when a later incarnation with the same id is known: orders to this incarnation may reach it. */
  readonly restarted: boolean
  /** Fencing token of calls to the worker: it refuses those with a lower one than it has seen. */
  readonly token: number
  /** True when no further calls are made to this incarnation. */
  readonly closed: boolean
  /** False while calls to the worker fail. */
  readonly reachable: boolean
  /** True while it is unknown whether a call has failed because the worker has crashed. */
  readonly lossUnexplained: boolean
  /** Time at which the worker was lost, in milliseconds of the monotonic clock. */
  readonly lostMs: number
  /** True when this incarnation is known to have ended without notice. */
  readonly crashed: boolean
  /** Time at which the request for the last report was sent, in milliseconds of the monotonic clock. */
  readonly lastReportRequestSentMs: number
  /** Latest start of a run on the worker that has succeeded, in milliseconds of the monotonic clock. */
  lastSuccessStartMs: number
  /** No starts are sent before this time, in milliseconds of the monotonic clock. */
  suspendedUntilMs: number
  /** True if another scheduler has used the worker when it refuses a call with this token. */
  isFencedByOther (token: number): boolean
  /** True while the run has room reserved at the worker. */
  hasRun (name: string, attempt: number): boolean
  removeRun (name: string, attempt: number): void
  /** Lease end to send with a start, on the worker's clock. Undefined until the worker's clock is known. */
  leaseEndForStart (): number | undefined
  /** Records that an order received no answer. */
  noteUnanswered (): void
  /** Records a lease end before it is sent. */
  noteLeaseSent (untilMs: number): void
  /** Time on the worker's clock in the last report; undefined before the first one. */
  readonly workerClock: WorkerClock | undefined
  /**
   * Which incarnation has answered an order, by the time on its clock in the answer and the last known one when the order was sent: an
   * answer to a later call may have been handled since.
   */
  answererOf (clockMs: number | undefined, sentClock: WorkerClock | undefined): Answerer
  /** Records that a later incarnation has answered an order. */
  noteRestart (): void
}
