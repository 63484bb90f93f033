/**
 * What the scheduler of workflows needs of the outside: workers, their directory, the eligibility service
 * and the configuration of queues.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import type { CallError } from '../utils/errors.js'
import type { Resources } from '../protocol/workflows.js'

/** One life of a worker, as its directory lists it. */
export interface WorkerEntry {
  id: string
  /** Date of its start, in milliseconds since the Unix epoch. Differs between lives with the same id. */
  bornMs: number
  service: string
  address: string
  failureDomain: string
  /** True while it is leaving: it takes no new tasks. */
  draining: boolean
  /** Least time until it leaves, in milliseconds. Only while it is draining. */
  leavesInMs?: number
  capacity: Resources
  /** Its kind and its rack. */
  labels: string[]
}

/** How a run ended. */
export const RUN_ENDS = {
  done: 'done',
  /** By its own fault or the worker's. */
  failed: 'failed',
  stopped: 'stopped',
  /** The worker's lease ended. */
  lapsed: 'lapsed',
  /** Another member of the gang ended. */
  gangBroken: 'broken',
  /** The other members of the gang did not come in time. */
  gangIncomplete: 'alone'
} as const

/** One of {@link RUN_ENDS}. */
export type RunEnd = typeof RUN_ENDS[keyof typeof RUN_ENDS]

/** A run that a worker lists as running. */
export interface ListedRun {
  task: string
  attempt: number
  /** Newest checkpoint; empty for none. */
  checkpoint: string
  percent: number
  /** Tail of response times in milliseconds for a task that serves; processor use in thousandths of a core for others. */
  reading?: number
}

/** A run that a worker lists as ended. */
export interface ListedEnd {
  /** Number of the end; grows within a life of the worker. */
  sequence: number
  task: string
  attempt: number
  how: RunEnd
  checkpoint: string
}

/** A worker's answer to an extension of its lease. */
export interface LeaseReport {
  /** The worker's clock, in milliseconds. */
  clockMs: number
  bornMs?: number
  running: ListedRun[]
  ended: ListedEnd[]
}

/** Parameters of an extension. */
export interface LeaseExtension {
  epoch: number
  /** Ends up to this sequence are recorded and need not be listed again. */
  acknowledged: number
  /** On the worker's clock. Absent to ask only. */
  untilMs?: number
  /** Longest wait for an end, in milliseconds. */
  waitMs?: number
}

/** A task to start. */
export interface RunStart {
  epoch: number
  task: string
  attempt: number
  payload: string
  /** On the worker's clock. */
  untilMs: number
  checkpoint?: string
  /** Ticket of the eligibility service, where the queue has one. */
  ticket?: string
}

/** Why a worker refused a start or an order. It has done nothing. */
export const START_REFUSALS = {
  /** The worker has seen a newer epoch. */
  staleEpoch: 'staleEpoch',
  /** A run of that number or a higher one has ended there. */
  oldAttempt: 'oldAttempt',
  /** The lease of the start has ended. */
  leaseLapsed: 'late',
  noRoom: 'noRoom',
  /** The ticket is not valid. */
  invalidTicket: 'ticket',
  /** The worker is not well, or too busy. */
  unhealthy: 'unhealthy',
  /** Another life of the worker answered. */
  otherIncarnation: 'otherLife',
  invalid: 'invalid'
} as const

/** One of {@link START_REFUSALS}. */
export type StartRefusal = typeof START_REFUSALS[keyof typeof START_REFUSALS]

/** What a worker answers to an order. */
export interface OrderAnswer {
  clockMs?: number
  /** Absent when the order was carried out. */
  refusal?: StartRefusal
}

/** Client of workers. Every call names the life of the worker that it is meant for. Never rejects. */
export interface WorkerClient {
  extendLease (
    worker: WorkerEntry, extension: LeaseExtension, timeoutMs: number
  ): Promise<Result<LeaseReport | { refusal: StartRefusal }, CallError>>
  start (worker: WorkerEntry, start: RunStart, timeoutMs: number): Promise<Result<OrderAnswer, CallError>>
  stop (
    worker: WorkerEntry, order: { epoch: number, task: string, attempt: number }, timeoutMs: number
  ): Promise<Result<OrderAnswer, CallError>>
  /** Lets the run work at this share of its speed. */
  pace (
    worker: WorkerEntry, order: { epoch: number, task: string, attempt: number, percent: number }, timeoutMs: number
  ): Promise<Result<OrderAnswer, CallError>>
}

/** List of workers that are present. */
export interface WorkerDirectory {
  list (timeoutMs: number): Promise<Result<WorkerEntry[], CallError>>
}

/** Workers that may run a step, with a ticket for each. */
export interface EligibilityAnswer {
  tickets: Record<string, string>
  /** Time for which the tickets are valid, in milliseconds from the answer. */
  validMs: number
}

/** Client of the service that knows which workers may run a step. It serves one call of a daemon at a time. */
export interface EligibilityClient {
  query (step: string, workers: string[], timeoutMs: number): Promise<Result<EligibilityAnswer, CallError>>
}

/** A queue of workflows. */
export interface QueueConfig {
  name: string
  /** Service whose workers run the queue's tasks. */
  service: string
  /** 0 comes first. */
  priority: number
  /** A task whose runs have failed this often fails its workflow. */
  maxAttempts: number
  /** Objective: `stretch` times the longest chain of work, and `targetMs` more, in milliseconds. */
  stretch: number
  targetMs: number
  /** Times of the eligibility service, in milliseconds; absent when every worker may run the queue's steps. */
  eligibility?: { baseMs: number, perWorkerMs: number, validMs: number }
}

/** Where requests find a queue. */
export interface QueueRoute {
  queue: string
  host: string
  prefix: string
}

/** Configuration of the cell in force. */
export interface CellConfig {
  version: number
  queues: Map<string, QueueConfig>
  routes: QueueRoute[]
  /** Largest body of a submission, in bytes. */
  maxBodyBytes: number
}
