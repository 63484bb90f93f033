/**
 * Callers of a cell under test. They keep their own record of what they were told.
 *
 * @module
 */

import { createHash } from 'node:crypto'
import type { JobSpec } from 'pomelofold/protocol/jobs'
import { jobSpecSchema } from 'pomelofold/protocol/jobs'
import type { RequestClass, ServiceAnswer } from 'pomelofold/protocol/requests'
import type { EntryProcess, ScenarioCell } from './scenarioCell.js'

/** Time beyond its deadline that a caller waits, in milliseconds. */
const CALLER_GRACE_MS = 500

/** Deadline of each request, in milliseconds. */
const DEADLINE_MS = 4_000

/** Time until a caller tries again to submit a job, in milliseconds. */
const JOB_RETRY_MS = 1_000

/** One call of a caller. */
export interface Call {
  requestId: string
  key?: string
  vm: string
  failureDomain: string
  class: RequestClass
  body: string
  sentAtMs: number
  /** Absent while it waits; `lost` when no answer came. */
  outcome?: ServiceAnswer['outcome'] | 'lost'
  answer?: ServiceAnswer
}

/** A job as its caller knows it. */
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
  /** Entry VMs through which each request comes, with the same idempotency key. */
  copies?: number
  keyed?: boolean
  /** Only through entry VMs of this failure domain. */
  domain?: string
}

/** Sends requests and jobs, and remembers the answers. */
export class Workload {
  readonly calls: Call[] = []
  readonly jobs: CallerJob[] = []
  private readonly _cell: ScenarioCell
  private _lastNumber = 0

  constructor (cell: ScenarioCell) {
    this._cell = cell
  }

  /** Spreads `count` requests evenly over `seconds`. Returns at once. */
  sendRequests (count: number, seconds: number, { class: cls = 'normal', copies = 1, keyed = copies > 1, domain }: RequestOptions = {}): void {
    for (let i = 0; i < count; i++) {
      this._cell.clock.after(i * seconds * 1_000 / count, () => {
        const body = `body-${++this._lastNumber}`
        const key = keyed ? `key-${this._lastNumber}` : undefined
        for (let copy = 0; copy < copies; copy++) this._send(body, cls, key, domain)
      })
    }
  }

  /** Submits a job through some entry VM, again and again with the same key until it is accepted or refused for good. */
  submitJob (input: unknown, domain?: string): CallerJob {
    const spec = jobSpecSchema.parse(input)
    const job: CallerJob = { spec, key: `job-${++this._lastNumber}` }
    this.jobs.push(job)
    this._trySubmit(job, domain)
    return job
  }

  /** Cancels a job, again and again until it is done. */
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

  /** An entry VM whose process is not gone: the balancer notices a refused connection, but not a frozen process. */
  private _pickProcess (domain?: string): EntryProcess | undefined {
    const processes = [...this._cell.processes.values()]
      .filter(process => !process.hasEnded && (domain === undefined || process.failureDomain === domain))
    return processes[this._cell.random.int(Math.max(1, processes.length))]
  }

  private _scheduleRetry (fn: () => void): void {
    this._cell.clock.after(JOB_RETRY_MS, fn)
  }
}

/** The SHA-256 of a body, as the upstreams' stand-ins echo it. */
export function digestOf (body: string): string {
  return createHash('sha256').update(body).digest('hex')
}
