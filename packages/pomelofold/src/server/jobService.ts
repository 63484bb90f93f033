/**
 * Accepts jobs from callers and forwards them to the job manager of a failure domain. The id of a job starts with the name
 * of its failure domain, so every entry daemon can forward calls about the job without a lookup.
 *
 * @module
 */

import { createHash } from 'node:crypto'
import { match } from 'ts-pattern'
import type { JobSpec, JobView } from '../protocol/jobs.js'
import type { JobAnswer, PeerMethod, PeerMethods } from '../protocol/peerMessages.js'
import { CLAIM_NAMES, type Authority } from '../seams/authority.js'
import type { PeerTransport } from '../seams/peerTransport.js'
import type { PlatformClient } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import { EFFECTS } from '../utils/errors.js'

/** Prefix of the platform keys of the records that bind an idempotency key to a job. */
const JOB_KEYS_PREFIX = 'pomelofold/jobkeys/'

/** Timeout of one call to the entry daemon that manages a job, in milliseconds. */
const CALL_TIMEOUT_MS = 5_000

/** Retry delay for callers when no entry daemon that manages the job can be reached, in milliseconds. */
const UNAVAILABLE_RETRY_AFTER_MS = 2_000

type JobMethod = 'submitJob' | 'getJob' | 'cancelJob'

/** Methods of the job manager in this process. */
export type LocalJobs = { [M in JobMethod | 'listJobs']: (params: PeerMethods[M]['params']) => Promise<PeerMethods[M]['result']> } & {
  explain (jobId: string): object | undefined
}

/** The job that an idempotency key is bound to, and the revision of the record of the key. */
interface KeyBinding {
  jobId: string
  modRevision: number
}

/** Options of a {@link JobService}. */
export interface JobServiceOptions {
  vm: string
  failureDomain: string
  /** All entry VMs of the cell. */
  members: Array<{ vm: string, failureDomain: string }>
  authority: Authority
  transport: PeerTransport
  platform: PlatformClient
  random: RandomSource
  localJobs: LocalJobs
}

/** Submits, queries and cancels jobs at the job managers of all failure domains. */
export class JobService {
  private readonly _options: JobServiceOptions
  /** Entry VM that last answered a call about a job, by failure domain. */
  private readonly _lastRespondingVm = new Map<string, string>()

  constructor (options: JobServiceOptions) {
    this._options = options
  }

  /**
   * Submits a job to this failure domain and, if it is refused here, to the others in turn. With an idempotency key, the next
   * failure domain is tried only after `cannotRun`. Repeating a key with the same job returns the job that was created first.
   */
  async submit (spec: JobSpec, idempotencyKey?: string): Promise<JobAnswer> {
    const digest = createHash('sha256').update(JSON.stringify(spec)).digest('hex')
    if (idempotencyKey === undefined) return this._submitWithoutKey(spec, digest)
    const key = JOB_KEYS_PREFIX + createHash('sha256').update(JSON.stringify([spec.team, idempotencyKey])).digest('hex')
    let binding = await this._bindKey(key, digest)
    let answer = 'jobId' in binding ? await this._callJobManager(binding.jobId, 'submitJob', { jobId: binding.jobId, spec, digest }) : binding
    for (const domain of this._domains().slice(1)) {
      if (!('jobId' in binding) || answer.kind !== 'cannotRun') break
      binding = await this._rebindKeyToDomain(key, digest, binding, domain)
      answer = 'jobId' in binding ? await this._callJobManager(binding.jobId, 'submitJob', { jobId: binding.jobId, spec, digest }) : binding
    }
    return answer
  }

  get (jobId: string): Promise<JobAnswer> {
    return this._callJobManager(jobId, 'getJob', { jobId })
  }

  cancel (jobId: string): Promise<JobAnswer> {
    return this._callJobManager(jobId, 'cancelJob', { jobId })
  }

  /** History of a job, from the entry daemon that manages it. Undefined when no reachable daemon does. */
  async explain (jobId: string): Promise<Record<string, unknown> | undefined> {
    const { vm, transport, localJobs } = this._options
    for (const entryVm of this._entryVmsOf(jobId.split('.')[0])) {
      const explained = entryVm === vm
        ? localJobs.explain(jobId)
        : (await transport.call(entryVm, 'explainJob', { jobId }, CALL_TIMEOUT_MS)).unwrapOr(null)
      if (explained) return { ...explained }
    }
    return undefined
  }

  /** Jobs of all failure domains, and the names of the failure domains without a reachable job manager. */
  async list (): Promise<{ jobs: JobView[], unreachable: string[] }> {
    const domains = this._domains()
    const lists = await Promise.all(domains.map(domain => this._listDomain(domain)))
    return {
      jobs: lists.flatMap(list => list ?? []),
      unreachable: domains.filter((_, i) => lists[i] === undefined)
    }
  }

  private async _submitWithoutKey (spec: JobSpec, digest: string): Promise<JobAnswer> {
    let refusal: JobAnswer | undefined
    for (const domain of this._domains()) {
      const jobId = this._newJobId(domain)
      const answer = await this._callJobManager(jobId, 'submitJob', { jobId, spec, digest })
      const isFinal = answer.kind === 'job' || answer.kind === 'conflict' || (answer.kind === 'unavailable' && answer.mayHaveEffect)
      if (isFinal) return answer
      refusal = moreInformativeRefusal(refusal, answer)
    }
    return refusal!
  }

  /**
   * Stores which job the key is bound to, before the job is submitted. If the key is already bound, returns that binding, or a
   * conflict when it is bound to another job.
   */
  private async _bindKey (key: string, digest: string): Promise<KeyBinding | JobAnswer> {
    const { platform, failureDomain } = this._options
    const created = await this._writeBinding(key, digest, 0, failureDomain)
    if ('jobId' in created) return created
    const read = await platform.get(key)
    if (read.isErr) return unavailableAnswer(`the key could not be recorded: ${read.error.message}`, true)
    if (!read.value) return unavailableAnswer('the key could not be recorded', false)
    const recorded = JSON.parse(read.value.value) as { jobId: string, digest: string }
    if (recorded.digest !== digest) return { kind: 'conflict', detail: `the key was used with another job, ${recorded.jobId}; use a new key` }
    return { jobId: recorded.jobId, modRevision: read.value.modRevision }
  }

  /** Binds the key to a job in another failure domain, after the previous one answered that the job can never run there. */
  private _rebindKeyToDomain (key: string, digest: string, binding: KeyBinding, domain: string): Promise<KeyBinding | JobAnswer> {
    return this._writeBinding(key, digest, binding.modRevision, domain)
  }

  private async _writeBinding (key: string, digest: string, modRevision: number, domain: string): Promise<KeyBinding | JobAnswer> {
    const jobId = this._newJobId(domain)
    const written = await this._options.platform.txn([{ key, modRevision }], [{ op: 'put', key, value: JSON.stringify({ jobId, digest }) }])
    if (written.isErr) return unavailableAnswer(`the key could not be recorded: ${written.error.message}`, written.error.effect === EFFECTS.unknown)
    if (!written.value.applied) return unavailableAnswer('the key is being used through another entry VM', false)
    return { jobId, modRevision: written.value.revision }
  }

  private async _callJobManager<M extends JobMethod> (jobId: string, method: M, params: PeerMethods[M]['params']): Promise<JobAnswer> {
    const { vm, transport, localJobs } = this._options
    const domain = jobId.split('.')[0]
    const entryVms = this._entryVmsOf(domain)
    if (entryVms.length === 0) return { kind: 'notFound' }
    let answer: JobAnswer = unavailableAnswer(`no entry VM of ${domain} can be reached`, false)
    for (const entryVm of entryVms) {
      const called = entryVm === vm
        ? await localJobs[method](params as never)
        : await callPeer(transport, entryVm, method, params)
      answer = called
      if (answer.kind === 'unavailable' && !answer.mayHaveEffect) continue
      this._lastRespondingVm.set(domain, entryVm)
      return answer
    }
    return answer
  }

  private async _listDomain (domain: string): Promise<JobView[] | undefined> {
    const { vm, transport, localJobs } = this._options
    for (const entryVm of this._entryVmsOf(domain)) {
      const listed = entryVm === vm
        ? await localJobs.listJobs({})
        : (await transport.call(entryVm, 'listJobs', {}, CALL_TIMEOUT_MS)).unwrapOr(undefined)
      if (listed?.active) return listed.jobs
    }
    return undefined
  }

  /** Entry VMs of a failure domain, starting with the one that most likely manages its jobs. */
  private _entryVmsOf (domain: string): string[] {
    const { members, authority } = this._options
    const preferredVm = authority.holderOf(CLAIM_NAMES.placer(domain)) ?? this._lastRespondingVm.get(domain)
    const vms = members.filter(member => member.failureDomain === domain).map(member => member.vm)
    return vms.sort((a, b) => Number(b === preferredVm) - Number(a === preferredVm))
  }

  /** All failure domains, starting with the one of this daemon. */
  private _domains (): string[] {
    const { members, failureDomain } = this._options
    const others = new Set(members.map(member => member.failureDomain))
    others.delete(failureDomain)
    return [failureDomain, ...others]
  }

  private _newJobId (domain: string): string {
    return `${domain}.${this._options.random.hex(10)}`
  }
}

async function callPeer<M extends JobMethod & PeerMethod> (transport: PeerTransport, vm: string, method: M, params: PeerMethods[M]['params']):
Promise<JobAnswer> {
  const called = await transport.call(vm, method, params, CALL_TIMEOUT_MS)
  if (called.isOk) return called.value as JobAnswer
  return unavailableAnswer(called.error.message, called.error.effect === EFFECTS.unknown)
}

function unavailableAnswer (detail: string, mayHaveEffect: boolean): JobAnswer {
  return { kind: 'unavailable', detail, retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS, mayHaveEffect }
}

/**
 * Returns the refusal that is more useful to the caller. `unavailable` is preferred to `cannotRun`, since the job may run in the
 * unreachable failure domain later.
 */
function moreInformativeRefusal (a: JobAnswer | undefined, b: JobAnswer): JobAnswer {
  return match(a)
    .with(undefined, () => b)
    .with({ kind: 'unavailable' }, first => first)
    .otherwise(first => b.kind === 'unavailable' ? b : first)
}
