/**
 * Long-running services of the manifest: keeps their replicas running.
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

/** Colons do not occur in the ids of callers' jobs. */
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
 * One job per declaration. A declaration that differs in more than its number of replicas is another job,
 * so that its tasks are told apart at the workers.
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

  /** Adds and ends jobs so that they match the manifest. Returns those that were added. */
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
    const earlier = this._ledger.jobs.get(jobId)
    if (replicas === 0 && !earlier) return undefined
    const job = new Job({ plan: planOfService(jobId, service, replicas) })
    job.history.add(this._timers.wallClock(), 'declared in the manifest')
    this._takeOverRuns(job)
    if (earlier) this._remove(earlier)
    this._ledger.jobs.set(jobId, job)
    return job
  }

  /** Takes over runs under the same id, also those that are being stopped: their replicas must not start elsewhere before they end. */
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
    this._lifecycle.end(job, JOB_STATES.cancelled, 'the manifest does not name it any more')
  }

  /** Replicas are dealt out to the failure domains in turn, in the order of their names. */
  private _replicasHere (replicas: number): number {
    const domains = [...this._failureDomains].sort()
    const position = domains.indexOf(this._failureDomain)
    return Math.floor((replicas - position + domains.length - 1) / domains.length)
  }
}

/** Starts with the failure domain, like every job's id: each domain has replicas of its own. */
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
