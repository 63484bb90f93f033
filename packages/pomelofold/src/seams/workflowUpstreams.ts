/**
 * Interfaces between the workflow scheduler and the services around it: workers, the worker directory, the eligibility
 * service and the configuration of queues.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import type { CallError } from '../utils/errors.js'
import type { Resources } from '../protocol/workflows.js'

/** One incarnation of a worker, as the worker directory lists it. */
export interface WorkerEntry {
  id: string
  /** Start date, in milliseconds since the Unix epoch. Distinguishes the incarnations with the same id. */
  bornMs: number
  service: string
  address: string
  failureDomain: string
  /** True while the worker drains: it accepts no new tasks. */
  draining: boolean
  /** Minimum time until the worker shuts down, in milliseconds. Present only while it drains. */
  leavesInMs?: number
  capacity: Resources
  /** The worker's kind and its rack. */
  labels: string[]
}

/** Ways in which a run can end. */
export const RUN_ENDS = {
  done: 'done',
  /** Because of an error in the task or at the worker. */
  failed: 'failed',
  /** By a stop order of the scheduler. */
  stopped: 'stopped',
  /** The worker's lease lapsed. */
  lapsed: 'lapsed',
  /** A run of another member of the gang ended. */
  gangBroken: 'broken',
  /** The other members of the gang did not start within the time limit. */
  gangIncomplete: 'alone'
} as const

/** One of {@link RUN_ENDS}. */
export type RunEnd = typeof RUN_ENDS[keyof typeof RUN_ENDS]

/** A run that a worker lists as running. */
export interface ListedRun {
  task: string
  attempt: number
  /** Latest checkpoint; empty if there is none. */
  checkpoint: string
  /** Progress in percent. */
  percent: number
  /** For serving tasks the tail latency, in milliseconds. For other tasks the CPU usage, in thousandths of a core. */
  reading?: number
}

/** A run that a worker lists as ended. */
export interface ListedEnd {
  /** Sequence number of the end. Increases within an incarnation of the worker. */
  sequence: number
  task: string
  attempt: number
  how: RunEnd
  /** Latest checkpoint; empty if there is none. */
  checkpoint: string
}

/** A worker's answer to a lease extension. */
export interface LeaseReport {
  /** The worker's clock, in milliseconds. */
  clockMs: number
  /** The worker's start date, by which a new incarnation with the same id is detected. Absent when the worker does not report it. */
  bornMs?: number
  running: ListedRun[]
  ended: ListedEnd[]
  /** True when there may be further ends, which are listed once these are acknowledged. */
  hasMoreEnds?: boolean
}

/** Parameters of a lease extension. */
export interface LeaseExtension {
  epoch: number
  /** Highest sequence number up to which all ends are recorded. The worker stops listing them. */
  acknowledged: number
  /** New end of the lease on the worker's clock, in milliseconds. Absent to read the report without an extension. */
  untilMs?: number
  /** Maximum time for which the worker holds its answer until a run ends, in milliseconds. */
  waitMs?: number
}

/** Order to start a run of a task. */
export interface RunStart {
  epoch: number
  task: string
  attempt: number
  payload: string
  /** End of the worker's lease on the worker's clock, in milliseconds. */
  untilMs: number
  /** Checkpoint to resume from. */
  checkpoint?: string
  /** Ticket from the eligibility service. Absent when the queue does not use the service. */
  ticket?: string
}

/** Reasons why a worker refuses an order. A refused order has no effect. */
export const START_REFUSALS = {
  /** The worker has received an order with a newer epoch. */
  staleEpoch: 'staleEpoch',
  /** A run with this attempt number or a higher one has ended at the worker. */
  oldAttempt: 'oldAttempt',
  /** The end of the lease that the order names has passed. */
  leaseLapsed: 'late',
  /** The worker's free capacity is too small. */
  noRoom: 'noRoom',
  /** The ticket is not valid. */
  invalidTicket: 'ticket',
  /** The worker is unhealthy or overloaded. */
  unhealthy: 'unhealthy',
  /** Another worker answered at the address, so the incarnation that the order is for no longer runs there. */
  otherIncarnation: 'otherLife',
  /** The worker rejected the order as invalid. */
  invalid: 'invalid'
} as const

/** One of {@link START_REFUSALS}. */
export type StartRefusal = typeof START_REFUSALS[keyof typeof START_REFUSALS]

/** A worker's answer to an order. */
export interface OrderAnswer {
  /** The worker's clock, in milliseconds. */
  clockMs?: number
  /** Absent when the order was carried out. */
  refusal?: StartRefusal
}

/** Client of workers. Every call names its worker; another worker at the same address refuses it. The promises never reject. */
export interface WorkerClient {
  /** Extends the worker's lease and returns the worker's report. */
  extendLease (
    worker: WorkerEntry, extension: LeaseExtension, timeoutMs: number
  ): Promise<Result<LeaseReport | { refusal: StartRefusal }, CallError>>
  /** Starts a run. */
  start (worker: WorkerEntry, start: RunStart, timeoutMs: number): Promise<Result<OrderAnswer, CallError>>
  /** Stops a run. */
  stop (
    worker: WorkerEntry, order: { epoch: number, task: string, attempt: number }, timeoutMs: number
  ): Promise<Result<OrderAnswer, CallError>>
  /** Limits the speed of a run to `percent` of full speed. */
  pace (
    worker: WorkerEntry, order: { epoch: number, task: string, attempt: number, percent: number }, timeoutMs: number
  ): Promise<Result<OrderAnswer, CallError>>
}

/** One reading of the worker directory. */
export interface DirectoryReading {
  /** All workers that are registered. */
  workers: WorkerEntry[]
  /** Sequence number of the last heartbeat in each entry, by worker id; undefined for an entry that names no usable worker. */
  heartbeats: Map<string, number | undefined>
}

/** Directory of the workers in the cell. */
export interface WorkerDirectory {
  /**
   * Time without a heartbeat after which the entry of a worker is removed, in milliseconds; 0 when it is not known. The entry
   * of a worker that has left is removed at once.
   */
  readonly entryExpiryMs: number
  /** Reads the directory. */
  list (timeoutMs: number): Promise<Result<DirectoryReading, CallError>>
}

/** Answer of the eligibility service. */
export interface EligibilityAnswer {
  /** Tickets by worker id, for the workers that may run the step. */
  tickets: Record<string, string>
  /** Validity of the tickets, in milliseconds from the answer. */
  validMs: number
}

/** Client of the service that decides which workers may run a step. The service handles one call per daemon at a time. */
export interface EligibilityClient {
  /** Asks which of `workers` may run `step`. */
  query (step: string, workers: string[], timeoutMs: number): Promise<Result<EligibilityAnswer, CallError>>
}

/** A queue of workflows. */
export interface QueueConfig {
  name: string
  /** Service whose workers run the queue's tasks. */
  service: string
  /** Lower numbers are scheduled first; 0 is the highest priority. */
  priority: number
  /** Number of failed runs of one task after which its workflow fails. */
  maxAttempts: number
  /** Objective for the duration of a workflow: `stretch` times its critical path, plus `targetMs`, in milliseconds. */
  stretch: number
  targetMs: number
  /**
   * Times of the eligibility service, in milliseconds: a call takes `baseMs` plus `perWorkerMs` for each worker, and its
   * tickets are valid for `validMs`. Absent when every worker may run the queue's steps.
   */
  eligibility?: { baseMs: number, perWorkerMs: number, validMs: number }
}

/** Host and path prefix at which callers reach a queue. */
export interface QueueRoute {
  queue: string
  host: string
  prefix: string
  /** True when callers need no key. */
  open?: boolean
}

/** A team: callers who share its limits. */
export interface TeamConfig {
  name: string
  /**
   * Share of the team when there is not room for all, relative to the other teams. Also the number of workflows a second up to
   * which its work comes before what any team submits beyond its own number.
   */
  weight: number
  /** Maximum resources that the team's runs use on all workers together; 0 for no limit of that resource. */
  cap: Resources
}

/** The teams of a configuration. */
export interface TeamsConfig {
  /** Teams by name. */
  byName: ReadonlyMap<string, TeamConfig>
  /** Names of the teams by the hash of each of their keys; see `hashKey`. */
  nameByKeyHash: ReadonlyMap<string, string>
}

/** Active configuration of the cell. */
export interface CellConfig {
  version: number
  queues: Map<string, QueueConfig>
  routes: QueueRoute[]
  /** Absent when the configuration names no teams: then every caller is served, without shares and caps. */
  teams?: TeamsConfig
  /** Maximum size of a submission's body, in bytes. */
  maxBodyBytes: number
}
