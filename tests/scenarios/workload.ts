/**
 * Callers of a cell under test, with their own record of the answers that they received.
 *
 * @module
 */

import { createHash } from 'node:crypto'
import type { JobSpec } from 'pomelofold/protocol/jobs'
import { jobSpecSchema } from 'pomelofold/protocol/jobs'
import type { RequestClass, ServiceAnswer } from 'pomelofold/protocol/requests'
import type { EntryProcess, ScenarioCell } from './scenarioCell.js'

/** Time that a caller waits after the deadline of its request, in milliseconds. */
const CALLER_GRACE_MS = 500

/** Deadline of each request, in milliseconds. */
const DEADLINE_MS = 4_000

/** Time until a caller tries a submission or cancellation again, in milliseconds. */
const JOB_RETRY_MS = 1_000

/** A request sent through an entry VM. */
export interface Call {
  requestId: string
  key?: string
  vm: string
  failureDomain: string
  class: RequestClass
  body: string
  sentAtMs: number
  /** Undefined while the caller waits; `lost` when no answer arrived in time. */
  outcome?: ServiceAnswer['outcome'] | 'lost'
  answer?: ServiceAnswer
}

/** A job with the answers that its caller has received. */
export interface CallerJob {
  spec: JobSpec
  key: string
  jobId?: string
  refused?: string
  cancelled?: boolean
  acceptedAtMs?: number
}

/** Options of {@link Workload.sendRequests}. */
export interface RequestOptions {
  class?: RequestClass
  /** Number of times that each request is sent, with the same idempotency key. */
  copies?: number
  keyed?: boolean
  /** Failure domain of the entry VMs that requests are sent through; undefined for all. */
  domain?: string
}

/** Sends requests and jobs, and records the answers. */
export class Workload {
  readonly calls: Call[] = []
  readonly jobs: CallerJob[] = []
  private readonly _cell: ScenarioCell
  private _lastNumber = 0

  constructor (cell: ScenarioCell) {
    this._cell = cell
  }

  /** Schedules `count` requests, evenly spread over `seconds`, and returns at once. */
  sendRequests (count: number, seconds: number, { class: cls = 'normal', copies = 1, keyed = copies > 1, domain }: RequestOptions = {}): void {
    for (let i = 0; i < count; i++) {
      this._cell.clock.after(i * seconds * 1_000 / count, () => {
        const body = `body-${++this._lastNumber}`
        const key = keyed ? `key-${this._lastNumber}` : undefined
        for (let copy = 0; copy < copies; copy++) this._send(body, cls, key, domain)
      })
    }
  }

  /** Submits a job through a random entry VM, and repeats with the same key until the job is accepted or finally refused. */
  submitJob (input: unknown, domain?: string): CallerJob {
    const spec = jobSpecSchema.parse(input)
    const job: CallerJob = { spec, key: `job-${++this._lastNumber}` }
    this.jobs.push(job)
    this._trySubmit(job, domain)
    return job
  }

  /** Cancels a job, and repeats until the cancellation is answered. */
  cancelJob (job: CallerJob): void {
    const process = this._pickProcess()
    if (!process || !job.jobId) return this._scheduleRetry(() => this.cancelJob(job))
    process.timers.after(0, async () => {
      const answer = await process.daemon.jobs.cancel(job.jobId!)
      if (answer.kind === 'job') job.cancelled = answer.job.state === 'cancelled'
    })
    this._scheduleRetry(() => { if (job.cancelled === undefined) this.cancelJob(job) })
  }

  private _send (body: string, cls: RequestClass, key: string | undefined, domain?: string): void {
    const process = this._pickProcess(domain)
    if (!process) return
    const requestId = `r${++this._lastNumber}`
    const { vm, failureDomain } = process
    const call: Call = { requestId, key, vm, failureDomain, class: cls, body, sentAtMs: this._cell.clock.now() }
    this.calls.push(call)
    this._cell.clock.after(DEADLINE_MS + CALLER_GRACE_MS, () => { call.outcome ??= 'lost' })
    process.timers.after(0, async () => {
      const answer = await process.daemon.requests.handle({
        requestId,
        service: 'readings',
        class: cls,
        team: 'gardeners',
        deadlineMs: DEADLINE_MS,
        atMostOnce: false,
        idempotencyKey: key,
        headers: { 'pomelofold-request-id': requestId },
        body: new Uint8Array(Buffer.from(body))
      })
      if (process.hasEnded) return
      call.outcome ??= answer.outcome
      call.answer = answer
    })
  }

  private _trySubmit (job: CallerJob, domain?: string): void {
    const process = this._pickProcess(domain)
    if (!process) return this._scheduleRetry(() => this._trySubmit(job, domain))
    process.timers.after(0, async () => {
      const answer = await process.daemon.jobs.submit(job.spec, job.key)
      if (process.hasEnded) return
      if (answer.kind === 'job') {
        job.jobId = answer.job.jobId
        job.acceptedAtMs ??= this._cell.clock.now()
      }
      if (answer.kind === 'cannotRun' || answer.kind === 'conflict') job.refused = answer.detail
    })
    this._scheduleRetry(() => { if (job.jobId === undefined && job.refused === undefined) this._trySubmit(job, domain) })
  }

  /** Picks a process that has not ended: the balancer notices a refused connection, but not a frozen process. */
  private _pickProcess (domain?: string): EntryProcess | undefined {
    const processes = [...this._cell.processes.values()]
      .filter(process => !process.hasEnded && (domain === undefined || process.failureDomain === domain))
    return processes[this._cell.random.int(Math.max(1, processes.length))]
  }

  private _scheduleRetry (fn: () => void): void {
    this._cell.clock.after(JOB_RETRY_MS, fn)
  }
}

/** The SHA-256 of a body, as the stand-ins of the upstreams return it. */
export function digestOf (body: string): string {
  return createHash('sha256').update(body).digest('hex')
}
