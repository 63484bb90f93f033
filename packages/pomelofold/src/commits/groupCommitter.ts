/**
 * Group commit: combines the changes of many callers into one transaction of the platform's key-value store.
 *
 * @module
 */

import Result from 'true-myth/result'
import { CallError, CallTimeoutError, EFFECTS, type Effect } from '../utils/errors.js'
import { ManualPromise } from '../utils/manualPromise.js'

/** Maximum number of changes and guards in one transaction, including {@link WRITER_ENTRIES}. */
export const MAX_CHANGES_PER_WRITE = 100
/** Maximum total size of the changed keys and values in one transaction. */
export const MAX_BYTES_PER_WRITE = 900_000
const RETRY_MIN_MS = 100
const RETRY_MAX_MS = 2_000
/** Changes and guards that the committer adds to each transaction: the write of its own key, the guard on that key and the fence. */
const WRITER_ENTRIES = 3
const STEP = 'groupCommit.write'
const PEER = 'platform'

/** Why a commit was refused. */
export const COMMIT_REFUSALS = {
  /** A key guarded by the caller is not at the expected revision. */
  guard: 'guard',
  /** The fence key is not at the expected revision: another writer has taken over. */
  fence: 'fence'
} as const

/** A commit that was refused: it has not taken effect and cannot take effect later. */
export class CommitRefusedError extends CallError {
  readonly reason: typeof COMMIT_REFUSALS[keyof typeof COMMIT_REFUSALS]

  constructor (reason: CommitRefusedError['reason']) {
    super(`commit refused: the ${reason} key is not at the expected revision`, { step: STEP, peer: PEER, effect: EFFECTS.none })
    this.name = 'CommitRefusedError'
    this.reason = reason
  }
}

/** Result of a commit: the store revision at which it took effect, or the error. */
export type CommitResult = Result<number, CallError>

/** Condition of a transaction: the key must have been last modified at exactly this revision. 0 requires that the key does not exist. */
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

/** The subset of the timers that the committer uses. */
interface CommitTimers {
  now (): number
  after (delayMs: number, fn: () => void): { cancel (): void }
}

/** The subset of the platform client that the committer uses. */
interface CommitPlatform {
  get (key: string): Promise<Result<{ value: string, modRevision: number } | undefined, CallError>>
  txn (guards: Guard[], changes: Change[]): Promise<Result<TxnOutcome, CallError>>
}

/** Options of one commit. */
export interface CommitOptions {
  guards?: Guard[]
  /** Time after which the commit fails with a {@link CallTimeoutError}. No timeout when absent. */
  timeoutMs?: number
}

/** Options of a {@link GroupCommitter}. */
export interface GroupCommitterOptions {
  timers: CommitTimers
  platform: CommitPlatform
  random: { hex (bytes: number): string }
  /** Name of the writer, part of its key in the store. Only one live committer at a time may use a name. */
  writer: string
  /** Minimum time between the starts of two transactions, in milliseconds. */
  minIntervalMs?: number
  /** Maximum number of changes and guards in one transaction, including {@link WRITER_ENTRIES}. */
  maxEntries?: number
  /** Maximum delay between attempts of a transaction whose outcome is unknown, in milliseconds. */
  retryMaxMs?: number
  /** Returns the guard that is added to every transaction, so that a writer that has been replaced cannot write. */
  fence?: () => Guard | undefined
}

/** A commit that is queued or being written. */
interface PendingCommit {
  changes: Change[]
  guards: Guard[]
  bytes: number
  settled: ManualPromise<CommitResult>
  timeout?: { cancel (): void }
}

/** Batches commits into transactions, of which at most one is in flight. Each commit is applied exactly once or not at all. */
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

  /** Applies `changes` if all guards match. A guard that fails refuses only its own commit, not others of the batch. Never rejects. */
  commit (changes: Change[], { guards = [], timeoutMs }: CommitOptions = {}): Promise<CommitResult> {
    const bytes = changes.reduce((sum, change) => sum + changeBytes(change), 0)
    const fits = changes.length + guards.length + WRITER_ENTRIES <= this._maxEntries && bytes <= MAX_BYTES_PER_WRITE
    if (!fits) return Promise.resolve(failedCommit('the commit exceeds the limits of one transaction', EFFECTS.none))
    if (this._closed) return Promise.resolve(failedCommit('the committer is closed', EFFECTS.none))
    const pending: PendingCommit = { changes, guards, bytes, settled: new ManualPromise() }
    if (timeoutMs !== undefined) pending.timeout = this._timers.after(timeoutMs, () => this._timeOut(pending, timeoutMs))
    this._queue.push(pending)
    if (!this._running) this._run()
    return pending.settled.promise
  }

  /** Number of commits that are queued and not yet being written. */
  get queued (): number {
    return this._queue.length
  }

  /** Fails all queued commits and stops writing. */
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

  /** Takes commits from the queue in order, up to the limits of one transaction or to a commit with a key that is already in the batch. */
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

  /** Writes a batch. If a guard of it fails, writes each half by itself, which isolates the commits whose guards fail. */
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

  /** Waits until the minimum interval since the start of the last transaction has passed. */
  private async _waitForMinInterval (): Promise<void> {
    const waitMs = this._lastWriteMs + this._minIntervalMs - this._timers.now()
    if (waitMs > 0) await this._delay(waitMs)
    else await Promise.resolve()
  }

  /**
   * Sends one transaction, and repeats it until its outcome is known. Every transaction changes the writer's key and is
   * guarded by the revision of that key after the previous one, so a copy that arrives late has no effect.
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
      if (readBack === 'changed') continue
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

  /**
   * Reads the writer's key. Returns the revision of write `number` if that took effect, and otherwise whether the key
   * has changed since its last known revision.
   */
  private async _readBack (number: number): Promise<number | 'unchanged' | 'changed' | 'unreadable'> {
    const read = await this._platform.get(this._writerKey)
    if (read.isErr) return 'unreadable'
    const revision = read.value?.modRevision ?? 0
    const isOwnWrite = read.value?.value === JSON.stringify({ incarnation: this._incarnation, number })
    const hasChanged = revision !== this._writerKeyRevision
    this._writerKeyRevision = revision
    if (isOwnWrite) return revision
    return hasChanged ? 'changed' : 'unchanged'
  }

  /**
   * Determines whether the fence or a caller's guard refused the transaction. After more than one attempt it first writes an
   * empty transaction: this changes the writer's key, so that earlier copies, whose guards could match later, cannot take effect.
   */
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
