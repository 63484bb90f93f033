/**
 * Group commit: changes of many callers in one transaction of the platform's service.
 *
 * @module
 */

import Result from 'true-myth/result'
import { CallError, CallTimeoutError, EFFECTS, type Effect } from '../utils/errors.js'
import { ManualPromise } from '../utils/manualPromise.js'

/** Most changes and guards in one transaction, the writer's own key included. */
export const MAX_CHANGES_PER_WRITE = 100
/** Most bytes of keys and values in one transaction. */
export const MAX_BYTES_PER_WRITE = 900_000
const RETRY_MIN_MS = 100
const RETRY_MAX_MS = 2_000
/** The writer's key, its guard and the fence. */
const WRITER_ENTRIES = 3
const STEP = 'groupCommit.write'
const PEER = 'platform'

/** Why a commit was refused. */
export const COMMIT_REFUSALS = {
  /** A guard of the caller did not hold. */
  guard: 'guard',
  /** The fence did not hold: another writer has taken over. */
  fence: 'fence'
} as const

/** A commit that did not take effect and never will. */
export class CommitRefusedError extends CallError {
  readonly reason: typeof COMMIT_REFUSALS[keyof typeof COMMIT_REFUSALS]

  constructor (reason: CommitRefusedError['reason']) {
    super(`the ${reason} does not hold`, { step: STEP, peer: PEER, effect: EFFECTS.none })
    this.name = 'CommitRefusedError'
    this.reason = reason
  }
}

/** Result of a commit: the revision at which it took effect. */
export type CommitResult = Result<number, CallError>

/** A condition: the key's last change must be at exactly this revision; 0 means that the key is absent. */
interface Guard {
  key: string
  modRevision: number
}

type Change =
  | { op: 'put', key: string, value: string, leaseId?: string }
  | { op: 'delete', key: string }

interface TxnOutcome {
  applied: boolean
  revision: number
}

/** What the committer needs of the timers. */
interface CommitTimers {
  now (): number
  after (delayMs: number, fn: () => void): { cancel (): void }
}

/** What the committer needs of the platform's client. */
interface CommitPlatform {
  get (key: string): Promise<Result<{ value: string, modRevision: number } | undefined, CallError>>
  txn (guards: Guard[], changes: Change[]): Promise<Result<TxnOutcome, CallError>>
}

/** Options of one commit. */
export interface CommitOptions {
  guards?: Guard[]
  /** The caller is answered by then. Waits as long as it takes when absent. */
  timeoutMs?: number
}

/** Options of a {@link GroupCommitter}. */
export interface GroupCommitterOptions {
  timers: CommitTimers
  platform: CommitPlatform
  random: { hex (bytes: number): string }
  /** Name of the writer. One live committer at a time may use it. */
  writer: string
  /** Least time between the starts of two writes, in milliseconds. */
  minIntervalMs?: number
  /** Most changes and guards of one transaction, the committer's own included. */
  maxEntries?: number
  /** Longest pause between tries of a write whose outcome is not known, in milliseconds. */
  retryMaxMs?: number
  /** Guard that every write carries. */
  fence?: () => Guard | undefined
}

interface PendingCommit {
  changes: Change[]
  guards: Guard[]
  bytes: number
  settled: ManualPromise<CommitResult>
  timeout?: { cancel (): void }
}

/** Collects changes and writes them, one transaction in flight at a time. Each is applied once or not at all. */
export class GroupCommitter {
  private readonly _timers: CommitTimers
  private readonly _platform: CommitPlatform
  private readonly _minIntervalMs: number
  private readonly _maxEntries: number
  private readonly _retryMaxMs: number
  private readonly _fence: () => Guard | undefined
  private readonly _writerKey: string
  private readonly _incarnation: string
  private _queue: PendingCommit[] = []
  private _running = false
  private _closed = false
  private _lastWriteNumber = 0
  private _writerKeyRevision: number | undefined
  private _lastWriteMs = Number.NEGATIVE_INFINITY

  constructor ({
    timers, platform, random, writer, minIntervalMs = 250, maxEntries = MAX_CHANGES_PER_WRITE, retryMaxMs = RETRY_MAX_MS,
    fence = () => undefined
  }: GroupCommitterOptions) {
    this._timers = timers
    this._platform = platform
    this._minIntervalMs = minIntervalMs
    this._maxEntries = maxEntries
    this._retryMaxMs = retryMaxMs
    this._fence = fence
    this._writerKey = `pomelofold/writers/${writer}`
    this._incarnation = random.hex(8)
  }

  /** Applies `changes` if all guards hold. Callers do not affect each other. Never rejects. */
  commit (changes: Change[], { guards = [], timeoutMs }: CommitOptions = {}): Promise<CommitResult> {
    const bytes = changes.reduce((sum, change) => sum + changeBytes(change), 0)
    const fits = changes.length + guards.length + WRITER_ENTRIES <= this._maxEntries && bytes <= MAX_BYTES_PER_WRITE
    if (!fits) return Promise.resolve(failedCommit('the changes are too large for one write', EFFECTS.none))
    if (this._closed) return Promise.resolve(failedCommit('the committer is closed', EFFECTS.none))
    const pending: PendingCommit = { changes, guards, bytes, settled: new ManualPromise() }
    if (timeoutMs !== undefined) pending.timeout = this._timers.after(timeoutMs, () => this._timeOut(pending, timeoutMs))
    this._queue.push(pending)
    if (!this._running) this._run()
    return pending.settled.promise
  }

  /** Commits that are queued. */
  get queued (): number {
    return this._queue.length
  }

  /** Answers everything that waits and writes no more. */
  close (): void {
    this._closed = true
    for (const pending of this._queue.splice(0)) settle(pending, failedCommit('the committer is closed', EFFECTS.none))
  }

  private async _run (): Promise<void> {
    this._running = true
    while (this._queue.length > 0 && !this._closed) {
      await this._waitForMinInterval()
      await this._write(this._takeBatch())
    }
    this._running = false
  }

  /** Takes callers in order, up to the limits of one write or to a key that the batch already touches. */
  private _takeBatch (): PendingCommit[] {
    const keys = new Set<string>()
    let entries = WRITER_ENTRIES
    let bytes = 0
    let taken = 0
    for (const pending of this._queue) {
      const commitKeys = [...pending.changes, ...pending.guards].map(item => item.key)
      if (entries + pending.changes.length + pending.guards.length > this._maxEntries || bytes + pending.bytes > MAX_BYTES_PER_WRITE) break
      if (commitKeys.some(key => keys.has(key))) break
      for (const key of commitKeys) keys.add(key)
      entries += pending.changes.length + pending.guards.length
      bytes += pending.bytes
      taken++
    }
    return this._queue.splice(0, taken)
  }

  /** Writes a batch; when it is refused, finds the callers whose guards fail by halving it. */
  private async _write (batch: PendingCommit[]): Promise<void> {
    if (batch.length === 0) return
    const result = await this._send(batch)
    const refused = result.isErr && result.error instanceof CommitRefusedError && result.error.reason === COMMIT_REFUSALS.guard
    if (!refused || batch.length === 1) return batch.forEach(pending => settle(pending, result))
    const half = Math.ceil(batch.length / 2)
    await this._write(batch.slice(0, half))
    await this._waitForMinInterval()
    await this._write(batch.slice(half))
  }

  /** Waits until the next write may start. */
  private async _waitForMinInterval (): Promise<void> {
    const waitMs = this._lastWriteMs + this._minIntervalMs - this._timers.now()
    if (waitMs > 0) await this._delay(waitMs)
    else await Promise.resolve()
  }

  /**
   * Sends one transaction until its outcome is certain. Each is chained to the writer's last one
   * by a guard on the writer's key, so a copy that arrives late has no effect.
   */
  private async _send (batch: PendingCommit[]): Promise<CommitResult> {
    const number = ++this._lastWriteNumber
    let retryMs = RETRY_MIN_MS
    for (let attempt = 1; !this._closed; attempt++) {
      const fence = this._fence()
      const answer = await this._attempt(batch, number, fence)
      if (answer?.isOk && answer.value.applied) return Result.ok(answer.value.revision)
      if (answer?.isErr && answer.error.effect === EFFECTS.none && attempt === 1) return Result.err(answer.error)
      const readBack = answer ? await this._readBack(number) : 'unreadable'
      if (typeof readBack === 'number') return Result.ok(readBack)
      if (readBack === 'unchanged' && answer?.isOk) return this._resolveRefusal(attempt, fence)
      if (readBack === 'overtaken') continue
      await this._delay(retryMs)
      retryMs = Math.min(2 * retryMs, this._retryMaxMs)
    }
    return failedCommit('the committer is closed', EFFECTS.unknown)
  }

  private async _attempt (
    batch: PendingCommit[], number: number, fence: Guard | undefined
  ): Promise<Result<TxnOutcome, CallError> | undefined> {
    if (this._writerKeyRevision === undefined) {
      const read = await this._platform.get(this._writerKey)
      if (read.isErr) return undefined
      this._writerKeyRevision = read.value?.modRevision ?? 0
    }
    const writerGuard: Guard = { key: this._writerKey, modRevision: this._writerKeyRevision }
    const guards = [writerGuard, ...(fence ? [fence] : []), ...batch.flatMap(pending => pending.guards)]
    const value = JSON.stringify({ incarnation: this._incarnation, number })
    this._lastWriteMs = this._timers.now()
    const answer = await this._platform.txn(guards, [{ op: 'put', key: this._writerKey, value }, ...batch.flatMap(pending => pending.changes)])
    if (answer.isOk && answer.value.applied) this._writerKeyRevision = answer.value.revision
    return answer
  }

  /** Revision of write `number` if it took effect; otherwise whether the writer's key has changed since the last write. */
  private async _readBack (number: number): Promise<number | 'unchanged' | 'overtaken' | 'unreadable'> {
    const read = await this._platform.get(this._writerKey)
    if (read.isErr) return 'unreadable'
    const revision = read.value?.modRevision ?? 0
    const isOwnWrite = read.value?.value === JSON.stringify({ incarnation: this._incarnation, number })
    const hasChanged = revision !== this._writerKeyRevision
    this._writerKeyRevision = revision
    if (isOwnWrite) return revision
    return hasChanged ? 'overtaken' : 'unchanged'
  }

  /** Settles a refusal. Copies sent before are made void first, for their guards might hold later. */
  private async _resolveRefusal (attempts: number, fence: Guard | undefined): Promise<CommitResult> {
    if (attempts > 1) await this._send([])
    if (!fence) return Result.err(new CommitRefusedError(COMMIT_REFUSALS.guard))
    const read = await this._platform.get(fence.key)
    const fenceFailed = read.isOk && (read.value?.modRevision ?? 0) !== fence.modRevision
    return Result.err(new CommitRefusedError(fenceFailed ? COMMIT_REFUSALS.fence : COMMIT_REFUSALS.guard))
  }

  private _delay (delayMs: number): Promise<void> {
    return new Promise(resolve => { this._timers.after(delayMs, resolve) })
  }

  private _timeOut (pending: PendingCommit, timeoutMs: number): void {
    const index = this._queue.indexOf(pending)
    if (index >= 0) this._queue.splice(index, 1)
    const effect = index >= 0 ? EFFECTS.none : EFFECTS.unknown
    settle(pending, Result.err(new CallTimeoutError(timeoutMs, { step: STEP, peer: PEER, effect })))
  }
}

function settle (pending: PendingCommit, result: CommitResult): void {
  pending.timeout?.cancel()
  pending.settled.resolve(result)
}

function failedCommit (message: string, effect: Effect): CommitResult {
  return Result.err(new CallError(message, { step: STEP, peer: PEER, effect }))
}

function changeBytes (change: Change): number {
  return Buffer.byteLength(change.key) + (change.op === 'put' ? Buffer.byteLength(change.value) : 0)
}
