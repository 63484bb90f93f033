/**
 * Jobs in the platform's service: accepted records, progress, cancellations.
 *
 * @module
 */

import Result from 'true-myth/result'
import { delay, type Timers } from '../../seams/timers.js'
import type { Change, Guard, PlatformClient, StoredValue } from '../../seams/platformClient.js'
import type { RandomSource } from '../../seams/randomSource.js'
import { CallError, EFFECTS, errorText } from '../../utils/errors.js'
import type { EventLog } from '../../utils/eventLog.js'
import { COMMIT_REFUSALS, CommitRefusedError, GroupCommitter, type CommitResult } from '../../commits/groupCommit.js'
import { ManualPromise } from '../../utils/manualPromise.js'
import { Job, planOf } from './job.js'
import { cancelListSchema, JOB_KEYS, jobProgressSchema, jobRecordSchema, type JobProgress, type JobRecord } from './jobRecord.js'
import type { JobSettings } from './jobSettings.js'

/** Jobs whose progress goes into one write; two changes each at most, besides the list of cancellations. */
const JOBS_PER_WRITE = 49
const CANCELS_PER_LIST = 2_000
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
  /** Another placer's fence was found. */
  onSuperseded: () => void
}

/** Keeps the jobs of one failure domain under one epoch of the placer claim. */
export class JobStore {
  private readonly _timers: Timers
  private readonly _platform: PlatformClient
  private readonly _log: EventLog
  private readonly _failureDomain: string
  private readonly _epoch: number
  private readonly _fenceOwner: string
  private readonly _committer: GroupCommitter
  private readonly _onSuperseded: () => void
  private _fence: Guard | undefined
  private _unsavedProgress = new Map<Job, ManualPromise<CommitResult>>()
  private _unsavedCancels = new Map<Job, ManualPromise<CommitResult>>()
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

  /** Fences the writes of earlier placers, then reads all jobs. Retries until it succeeds, is superseded, or is closed. */
  async open (): Promise<Result<Job[], CallError>> {
    while (!this._closed) {
      const fenced = await this._takeFence()
      if (fenced.isOk && fenced.value) return await this._loadAll()
      if (fenced.isErr && fenced.error.effect === EFFECTS.none && fenced.error.step === FENCE_STEP) return Result.err(fenced.error)
      await delay(this._timers, RETRY_DELAY_MS)
    }
    return Result.err(new CallError('the store is closed', { step: 'jobStore.open', peer: 'platform', effect: EFFECTS.none }))
  }

  close (): void {
    this._closed = true
    this._committer.close()
  }

  /** Writes that wait. */
  get backlog (): number {
    return this._committer.queued
  }

  /** Adds an accepted job, unless its key is taken. */
  create (record: JobRecord): Promise<CommitResult> {
    const key = this._recordKey(record.jobId)
    const change: Change = { op: 'put', key, value: JSON.stringify(record) }
    return this._commit([change], [{ key, modRevision: 0 }])
  }

  /** Writes the progress that the job has at the moment of the write. Answers after the commit. */
  save (job: Job): Promise<CommitResult> {
    return this._enqueue(this._unsavedProgress, job)
  }

  /** Records that the job is cancelled. Many cancellations share one change. */
  cancel (job: Job): Promise<CommitResult> {
    return this._enqueue(this._unsavedCancels, job)
  }

  /** Deletes jobs from the platform, and the lists of cancellations from before `beforeMs`. */
  async deleteJobs (jobs: Job[], beforeMs: number): Promise<CommitResult> {
    const keys = jobs.flatMap(job => [this._recordKey(job.jobId), this._progressKey(job.jobId)])
    const old = [...this._cancelLists].filter(([, atMs]) => atMs < beforeMs).map(([key]) => key)
    let result: CommitResult = Result.ok(0)
    for (const batch of [...chunks(keys, 2 * JOBS_PER_WRITE), ...chunks(old, JOBS_PER_WRITE)]) {
      result = await this._committer.commit(batch.map(key => ({ op: 'delete', key })))
      if (result.isErr) return result
    }
    for (const key of old) this._cancelLists.delete(key)
    return result
  }

  private async _commit (changes: Change[], guards: Guard[] = []): Promise<CommitResult> {
    const result = await this._committer.commit(changes, { guards })
    const fenced = result.isErr && result.error instanceof CommitRefusedError && result.error.reason === COMMIT_REFUSALS.fence
    if (fenced && !this._closed) this._onSuperseded()
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
    const cancels = takeFirst(this._unsavedCancels, CANCELS_PER_LIST)
    const dirty = takeFirst(this._unsavedProgress, JOBS_PER_WRITE)
    const parts = [this._cancelChange(cancels.map(([job]) => job)), ...dirty.map(([job]) => this._progressChanges(job))]
    const results = await Promise.all(parts.filter(part => part.length > 0).map(part => this._commit(part)))
    const failed = results.find(result => result.isErr)
    const retry = failed?.isErr && !(failed.error instanceof CommitRefusedError)
    if (retry) return await this._retryLater(cancels, dirty, failed.error)
    for (const [, settled] of [...cancels, ...dirty]) settled.resolve(failed ?? Result.ok(0))
  }

  /** The platform refused the connection: the same again, later. Writing progress twice does no harm. */
  private async _retryLater (cancels: PendingWrite[], dirty: PendingWrite[], err: CallError): Promise<void> {
    this._log.event('warn', 'jobs.saveFailed', { step: err.step, peer: err.peer, error: errorText(err) })
    putBack(this._unsavedCancels, cancels)
    putBack(this._unsavedProgress, dirty)
    await delay(this._timers, RETRY_DELAY_MS)
  }

  private _progressChanges (job: Job): Change[] {
    const changes: Change[] = [{ op: 'put', key: this._progressKey(job.jobId), value: JSON.stringify(job.progress()) }]
    const { record } = job
    const droppable = job.ended && record?.spec.tasks.some(group => group.payload !== '')
    if (!droppable) return changes
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

  /** Writes the fence under this epoch. False: try again. */
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
      const known = jobProgressSchema.parse(stored ? JSON.parse(stored) : {})
      return new Job({
        plan: planOf(record.data),
        record: record.data,
        progress: withCancellation(known, cancelledAt.get(record.data.jobId))
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

type PendingWrite = [Job, ManualPromise<CommitResult>]

const FENCE_STEP = 'jobStore.takeFence'

function supersededError (epoch: number): CallError {
  return new CallError(`a placer of epoch ${epoch} has taken over`, { step: FENCE_STEP, peer: 'platform', effect: EFFECTS.none })
}

function withCancellation (progress: JobProgress, cancelledAtMs: number | undefined): JobProgress {
  if (cancelledAtMs === undefined || progress.state) return progress
  return { ...progress, state: 'cancelled', endedAtMs: cancelledAtMs }
}

function takeFirst (table: Map<Job, ManualPromise<CommitResult>>, count: number): PendingWrite[] {
  const taken: PendingWrite[] = []
  for (const entry of table) {
    if (taken.length === count) break
    taken.push(entry)
    table.delete(entry[0])
  }
  return taken
}

/** Puts entries back, joining those that were added since. */
function putBack (table: Map<Job, ManualPromise<CommitResult>>, entries: PendingWrite[]): void {
  for (const [job, settled] of entries) {
    const later = table.get(job)
    if (later) settled.promise.then(result => later.resolve(result))
    table.set(job, settled)
  }
}

function chunks<T> (items: T[], size: number): T[][] {
  return Array.from({ length: Math.ceil(items.length / size) }, (_, at) => items.slice(at * size, (at + 1) * size))
}
