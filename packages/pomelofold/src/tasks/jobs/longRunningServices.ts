/**
 * Keeps the replicas of the manifest's long-running services running.
 *
 * @module
 */

import fnv from 'fnv-plus'
import type { Timers } from '../../seams/timers.js'
import { JOB_KINDS, JOB_STATES } from '../../protocol/jobs.js'
import type { Manifest } from '../../protocol/manifest.js'
import { parseTaskId } from './taskId.js'
import { Job, type JobPlan } from './job.js'
import type { JobLifecycle } from './jobLifecycle.js'
import type { JobQueue } from './jobQueue.js'
import type { TaskLedger } from './taskLedger.js'

type ServiceDeclaration = Manifest['longRunning'][number]

/** Contains a colon, which job ids of callers cannot contain. */
const SERVICE_ID_PREFIX = 'service:'
const HASH_BITS = 64

/** Options of a {@link LongRunningServices}. */
export interface LongRunningServicesOptions {
  timers: Timers
  ledger: TaskLedger
  lifecycle: JobLifecycle
  queue: JobQueue
  failureDomain: string
  failureDomains: readonly string[]
}

/**
 * Creates one job per declaration. A declaration that changes in more than its number of replicas becomes another job,
 * so that the task ids at the workers show to which version of the declaration a task belongs.
 */
export class LongRunningServices {
  private readonly _timers: Timers
  private readonly _ledger: TaskLedger
  private readonly _lifecycle: JobLifecycle
  private readonly _queue: JobQueue
  private readonly _failureDomain: string
  private readonly _failureDomains: readonly string[]

  constructor ({ timers, ledger, lifecycle, queue, failureDomain, failureDomains }: LongRunningServicesOptions) {
    this._timers = timers
    this._ledger = ledger
    this._lifecycle = lifecycle
    this._queue = queue
    this._failureDomain = failureDomain
    this._failureDomains = failureDomains
  }

  /** Adds and ends jobs so that they match the manifest. Returns the added jobs. */
  apply (services: ServiceDeclaration[]): Job[] {
    const wanted = new Map(services.map(service => [serviceJobId(this._failureDomain, service), service]))
    for (const job of [...this._ledger.jobs.values()]) {
      if (job.isService && !wanted.has(job.jobId)) this._remove(job)
    }
    const changed = [...wanted].filter(([jobId, { replicas }]) => this._ledger.jobs.get(jobId)?.total !== this._replicasHere(replicas))
    return changed.map(([jobId, service]) => this._add(jobId, service)).filter(job => job !== undefined)
  }

  private _add (jobId: string, service: ServiceDeclaration): Job | undefined {
    const replicas = this._replicasHere(service.replicas)
    const earlierJob = this._ledger.jobs.get(jobId)
    if (replicas === 0 && !earlierJob) return undefined
    const job = new Job({ plan: planOfService(jobId, service, replicas) })
    job.history.add(this._timers.wallClock(), 'declared in the manifest')
    this._takeOverRuns(job)
    if (earlierJob) this._remove(earlierJob)
    this._ledger.jobs.set(jobId, job)
    return job
  }

  /**
   * Assigns runs of an earlier job with the same id to the new job. This includes runs that are being stopped, since
   * their replicas must not start elsewhere before they have ended.
   */
  private _takeOverRuns (job: Job): void {
    for (const run of this._ledger.runs.values()) {
      if (parseTaskId(run.taskId)?.jobId !== job.jobId || run.index >= job.total || job.runs.has(run.index)) continue
      run.job?.runs.delete(run.index)
      this._ledger.reassign(run, job)
    }
  }

  private _remove (job: Job): void {
    this._ledger.jobs.delete(job.jobId)
    this._queue.remove(job)
    this._lifecycle.end(job, JOB_STATES.cancelled, 'the manifest no longer declares this service')
  }

  /** Number of replicas in this failure domain. Replicas are divided among the domains in turn, in the order of their names. */
  private _replicasHere (replicas: number): number {
    const domains = [...this._failureDomains].sort()
    const position = domains.indexOf(this._failureDomain)
    return Math.floor((replicas - position + domains.length - 1) / domains.length)
  }
}

/** The id starts with the failure domain, like that of every job, since each domain has replicas of its own. */
function serviceJobId (failureDomain: string, { name, team, class: jobClass, size, payload }: ServiceDeclaration): string {
  const { cpus, memoryMb, accelerators } = size
  const digest = fnv.hash(JSON.stringify([team, jobClass, cpus, memoryMb, accelerators, payload]), HASH_BITS).hex()
  return `${failureDomain}.${SERVICE_ID_PREFIX}${name}@${digest}`
}

function planOfService (jobId: string, service: ServiceDeclaration, replicas: number): JobPlan {
  const { name, team, class: jobClass, size, payload } = service
  return {
    jobId,
    kind: JOB_KINDS.service,
    class: jobClass,
    team,
    family: `${SERVICE_ID_PREFIX}${name}`,
    within: 'failureDomain',
    atMostOnce: false,
    groups: [{ count: replicas, size, payload, expectedMs: 0 }],
    acceptedAtMs: 0
  }
}
