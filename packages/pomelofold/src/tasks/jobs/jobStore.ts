/**
 * Stores jobs in the platform's service: accepted jobs, their progress, and cancellations.
 *
 * @module
 */

import Result from 'true-myth/result'
import { delay, type Timers } from '../../seams/timers.js'
import type { Change, Guard, PlatformClient, StoredValue } from '../../seams/platformClient.js'
import type { RandomSource } from '../../seams/randomSource.js'
import { CallError, EFFECTS, errorText } from '../../utils/errors.js'
import type { EventLog } from '../../utils/eventLog.js'
import { COMMIT_REFUSALS, CommitRefusedError, GroupCommitter, type CommitResult } from '../../commits/groupCommitter.js'
import { ManualPromise } from '../../utils/manualPromise.js'
import { Job, planOf } from './job.js'
import { cancelListSchema, JOB_KEYS, jobProgressSchema, jobRecordSchema, type JobProgress, type JobRecord } from './jobRecord.js'
import type { JobSettings } from './jobSettings.js'

/** Most jobs whose progress goes into one write. Each takes at most two changes, and the list of cancellations takes one more. */
const JOBS_PER_WRITE = 49
const CANCELS_PER_LIST = 2_000
/** Delay before a failed read or write is repeated. */
const RETRY_DELAY_MS = 500

/** Options of a {@link JobStore}. */
export interface JobStoreOptions {
  timers: Timers
  platform: PlatformClient
  random: RandomSource
  log: EventLog
  failureDomain: string
  vm: string
  epoch: number
  cfg: JobSettings
  /** Called when a write fails because another placer has changed the fence. */
  onSuperseded: () => void
}

/** Reads and writes the jobs of one failure domain under one epoch of the placer claim. */
export class JobStore {
  private readonly _timers: Timers
  private readonly _platform: PlatformClient
  private readonly _log: EventLog
  private readonly _failureDomain: string
  private readonly _epoch: number
  /** Value in the fence that identifies this store. */
  private readonly _fenceOwner: string
  private readonly _committer: GroupCommitter
  private readonly _onSuperseded: () => void
  private _fence: Guard | undefined
  /** Jobs whose progress waits to be written, each with the promise for the result. */
  private _unsavedProgress = new Map<Job, ManualPromise<CommitResult>>()
  /** Jobs whose cancellation waits to be written, likewise. */
  private _unsavedCancels = new Map<Job, ManualPromise<CommitResult>>()
  /** Wall-clock time of each stored list of cancellations, by key. */
  private _cancelLists = new Map<string, number>()
  private _nextCancelListNumber = 0
  private _flushing = false
  private _closed = false

  constructor ({ timers, platform, random, log, failureDomain, vm, epoch, cfg, onSuperseded }: JobStoreOptions) {
    this._onSuperseded = onSuperseded
    this._timers = timers
    this._platform = platform
    this._log = log
    this._failureDomain = failureDomain
    this._epoch = epoch
    this._fenceOwner = `${vm}/${random.hex(8)}`
    this._committer = new GroupCommitter({ timers, platform, random, writer: `${vm}/jobs`, minIntervalMs: cfg.commitEveryMs, fence: () => this._fence })
  }

  /**
   * Takes the fence, so that writes of earlier placers fail, then reads all jobs.
   * Retries until it succeeds, is superseded, or is closed.
   */
  async open (): Promise<Result<Job[], CallError>> {
    while (!this._closed) {
      const fenced = await this._takeFence()
      if (fenced.isOk && fenced.value) return await this._loadAll()
      if (fenced.isErr && fenced.error.effect === EFFECTS.none && fenced.error.step === FENCE_STEP) return Result.err(fenced.error)
      await delay(this._timers, RETRY_DELAY_MS)
    }
    return Result.err(new CallError('the job store is closed', { step: 'jobStore.open', peer: 'platform', effect: EFFECTS.none }))
  }

  close (): void {
    this._closed = true
    this._committer.close()
  }

  /** Number of queued writes. */
  get backlog (): number {
    return this._committer.queued
  }

  /** Stores an accepted job. Fails when the key of its id exists already. */
  create (record: JobRecord): Promise<CommitResult> {
    const key = this._recordKey(record.jobId)
    const change: Change = { op: 'put', key, value: JSON.stringify(record) }
    return this._commit([change], [{ key, modRevision: 0 }])
  }

  /** Writes the progress that the job has at the time of the write. Resolves after the commit. */
  save (job: Job): Promise<CommitResult> {
    return this._enqueue(this._unsavedProgress, job)
  }

  /** Stores that the job is cancelled. Cancellations that wait at the same time share one change. */
  cancel (job: Job): Promise<CommitResult> {
    return this._enqueue(this._unsavedCancels, job)
  }

  /** Deletes jobs from the platform, and the lists of cancellations from before `beforeMs`. */
  async deleteJobs (jobs: Job[], beforeMs: number): Promise<CommitResult> {
    const keys = jobs.flatMap(job => [this._recordKey(job.jobId), this._progressKey(job.jobId)])
    const expiredLists = [...this._cancelLists].filter(([, atMs]) => atMs < beforeMs).map(([key]) => key)
    let result: CommitResult = Result.ok(0)
    for (const batch of [...chunks(keys, 2 * JOBS_PER_WRITE), ...chunks(expiredLists, JOBS_PER_WRITE)]) {
      result = await this._committer.commit(batch.map(key => ({ op: 'delete', key })))
      if (result.isErr) return result
    }
    for (const key of expiredLists) this._cancelLists.delete(key)
    return result
  }

  private async _commit (changes: Change[], guards: Guard[] = []): Promise<CommitResult> {
    const result = await this._committer.commit(changes, { guards })
    const isSuperseded = result.isErr && result.error instanceof CommitRefusedError && result.error.reason === COMMIT_REFUSALS.fence
    if (isSuperseded && !this._closed) this._onSuperseded()
    return result
  }

  private _enqueue (table: Map<Job, ManualPromise<CommitResult>>, job: Job): Promise<CommitResult> {
    let settled = table.get(job)
    if (!settled) table.set(job, settled = new ManualPromise())
    if (!this._flushing) this._flush()
    return settled.promise
  }

  private async _flush (): Promise<void> {
    this._flushing = true
    await Promise.resolve()
    while ((this._unsavedProgress.size > 0 || this._unsavedCancels.size > 0) && !this._closed) await this._flushOnce()
    this._flushing = false
  }

  private async _flushOnce (): Promise<void> {
    const cancelWrites = takeFirst(this._unsavedCancels, CANCELS_PER_LIST)
    const progressWrites = takeFirst(this._unsavedProgress, JOBS_PER_WRITE)
    const changeSets = [this._cancelChange(cancelWrites.map(([job]) => job)), ...progressWrites.map(([job]) => this._progressChanges(job))]
    const results = await Promise.all(changeSets.filter(changes => changes.length > 0).map(changes => this._commit(changes)))
    const failed = results.find(result => result.isErr)
    const retry = failed?.isErr && !(failed.error instanceof CommitRefusedError)
    if (retry) return await this._retryLater(cancelWrites, progressWrites, failed.error)
    for (const [, settled] of [...cancelWrites, ...progressWrites]) settled.resolve(failed ?? Result.ok(0))
  }

  /** Queues the same writes again after a failure. Writing progress twice is harmless. */
  private async _retryLater (cancelWrites: UnsavedJob[], progressWrites: UnsavedJob[], err: CallError): Promise<void> {
    this._log.event('warn', 'jobs.saveFailed', { step: err.step, peer: err.peer, error: errorText(err) })
    putBack(this._unsavedCancels, cancelWrites)
    putBack(this._unsavedProgress, progressWrites)
    await delay(this._timers, RETRY_DELAY_MS)
  }

  /** Changes that write the progress. After the end of a job the payloads in its record are deleted: no task starts again. */
  private _progressChanges (job: Job): Change[] {
    const changes: Change[] = [{ op: 'put', key: this._progressKey(job.jobId), value: JSON.stringify(job.progress()) }]
    const { record } = job
    const dropPayloads = job.ended && record?.spec.tasks.some(group => group.payload !== '')
    if (!dropPayloads) return changes
    job.record = { ...record!, spec: { ...record!.spec, tasks: record!.spec.tasks.map(group => ({ ...group, payload: '' })) } }
    return [...changes, { op: 'put', key: this._recordKey(job.jobId), value: JSON.stringify(job.record) }]
  }

  private _cancelChange (jobs: Job[]): Change[] {
    if (jobs.length === 0) return []
    const atMs = this._timers.wallClock()
    const key = `${JOB_KEYS.cancels(this._failureDomain)}${this._epoch}-${this._fenceOwner.replace('/', '-')}-${this._nextCancelListNumber++}`
    this._cancelLists.set(key, atMs)
    return [{ op: 'put', key, value: JSON.stringify({ atMs, jobIds: jobs.map(job => job.jobId) }) }]
  }

  /** Writes the fence under this epoch. Resolves to true only when a later read has found it in place. */
  private async _takeFence (): Promise<Result<boolean, CallError>> {
    const key = JOB_KEYS.placer(this._failureDomain)
    const read = await this._platform.get(key)
    if (read.isErr) return Result.err(read.error)
    const current = read.value && JSON.parse(read.value.value) as { epoch: number, token: string }
    if (read.value && current?.token === this._fenceOwner) {
      this._fence = { key, modRevision: read.value.modRevision }
      return Result.ok(true)
    }
    if (current && current.epoch > this._epoch) return Result.err(supersededError(current.epoch))
    const guard = { key, modRevision: read.value?.modRevision ?? 0 }
    await this._platform.txn([guard], [{ op: 'put', key, value: JSON.stringify({ epoch: this._epoch, token: this._fenceOwner }) }])
    return Result.ok(false)
  }

  private async _loadAll (): Promise<Result<Job[], CallError>> {
    while (!this._closed) {
      const [records, progress, cancels] = await Promise.all([
        this._platform.range(JOB_KEYS.records(this._failureDomain)),
        this._platform.range(JOB_KEYS.progress(this._failureDomain)),
        this._platform.range(JOB_KEYS.cancels(this._failureDomain))
      ])
      if (records.isOk && progress.isOk && cancels.isOk) {
        return Result.ok(this._buildJobs(records.value.values, progress.value.values, cancels.value.values))
      }
      await delay(this._timers, RETRY_DELAY_MS)
    }
    return Result.ok([])
  }

  private _buildJobs (records: StoredValue[], progress: StoredValue[], cancels: StoredValue[]): Job[] {
    const prefix = JOB_KEYS.progress(this._failureDomain)
    const progressOf = new Map(progress.map(({ key, value }) => [key.slice(prefix.length), value]))
    const cancelledAt = new Map<string, number>()
    for (const { key, value } of cancels) {
      const { atMs, jobIds } = cancelListSchema.parse(JSON.parse(value))
      this._cancelLists.set(key, atMs)
      for (const jobId of jobIds) cancelledAt.set(jobId, atMs)
    }
    const jobs = records.map(({ key, value }) => {
      const record = jobRecordSchema.safeParse(JSON.parse(value))
      if (!record.success) return this._log.event('error', 'jobs.badRecord', { step: 'jobStore.load', key })
      const stored = progressOf.get(record.data.jobId)
      const progress = jobProgressSchema.parse(stored ? JSON.parse(stored) : {})
      return new Job({
        plan: planOf(record.data),
        record: record.data,
        progress: withCancellation(progress, cancelledAt.get(record.data.jobId))
      })
    })
    return jobs.filter(job => job !== undefined)
  }

  private _recordKey (jobId: string): string {
    return JOB_KEYS.records(this._failureDomain) + jobId
  }

  private _progressKey (jobId: string): string {
    return JOB_KEYS.progress(this._failureDomain) + jobId
  }
}

/** A job with the promise for the result of its write. */
type UnsavedJob = [Job, ManualPromise<CommitResult>]

const FENCE_STEP = 'jobStore.takeFence'

function supersededError (epoch: number): CallError {
  return new CallError(`a placer of epoch ${epoch} has taken over`, { step: FENCE_STEP, peer: 'platform', effect: EFFECTS.none })
}

function withCancellation (progress: JobProgress, cancelledAtMs: number | undefined): JobProgress {
  if (cancelledAtMs === undefined || progress.state) return progress
  return { ...progress, state: 'cancelled', endedAtMs: cancelledAtMs }
}

function takeFirst (table: Map<Job, ManualPromise<CommitResult>>, count: number): UnsavedJob[] {
  const taken: UnsavedJob[] = []
  for (const entry of table) {
    if (taken.length === count) break
    taken.push(entry)
    table.delete(entry[0])
  }
  return taken
}

/** Returns entries to the table. An entry that was added for the same job meanwhile gets the same result. */
function putBack (table: Map<Job, ManualPromise<CommitResult>>, entries: UnsavedJob[]): void {
  for (const [job, settled] of entries) {
    const added = table.get(job)
    if (added) settled.promise.then(result => added.resolve(result))
    table.set(job, settled)
  }
}

function chunks<T> (items: T[], size: number): T[][] {
  return Array.from({ length: Math.ceil(items.length / size) }, (_, at) => items.slice(at * size, (at + 1) * size))
}
