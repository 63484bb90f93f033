/**
 * Keeps the ends of the leases of lost workers in the store, so that the next scheduler does not count them anew.
 *
 * Load pattern: schedulers that are replaced every few seconds while workers that have crashed hold leases. A few workers are lost at
 * a time, so the record is small; it is written when a worker is lost and while such a lease lasts.
 *
 * The lease of a worker is extended again only after the removal of its loss is stored, so that no scheduler counts on an end that
 * is no longer true. A loss stays in the record after the end of the lease, until the roster no longer contains the worker.
 *
 * @module
 */

import { workerIdOf } from './incarnations.js'
import { LEASE_ENDS_KEY } from './keys.js'
import { listLeaseEnds, type KnownLeaseEnd, type LeaseEndView, type UnconfirmedStarts } from './leaseEndView.js'
import { COMMIT_REFUSALS, CommitRefusedError, type GroupCommitter } from '../commits/groupCommitter.js'
import type { LeaseEnd } from '../protocol/leaseEnds.js'
import type { PlatformClient } from '../seams/platformClient.js'
import { delay, type Timers, type TimerSubscription } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'
import { ManualPromise } from '../utils/manualPromise.js'

/** Period of the writes while a lease in the record lasts, in milliseconds: a daemon that starts counts from the last one. */
const REFRESH_PERIOD_MS = 1_000
/** Pause after a failed write, in milliseconds. */
const RETRY_MS = 150
/** Timeout of reading the record, in milliseconds. */
const READ_TIMEOUT_MS = 900
/** Smallest change of an end for which the record is written, in milliseconds. */
const MIN_CHANGE_MS = 250
/** Maximum number of losses in the record: about 46 KB. Leases of further workers are counted from the election of each scheduler. */
const MAX_LOSSES = 400
/** Maximum number of tasks that are named in the record. A loss with which there were more is left out. */
const MAX_UNCONFIRMED_TASKS = 1_000

/** A recorded loss of a worker, with starts that were sent to it. */
export interface RecordedLoss {
  /** Incarnation of the worker. */
  worker: string
  starts: UnconfirmedStarts
  /** True when a later incarnation of the worker is known. */
  restarted: boolean
  /** True when the next incarnation has answered since: it refuses these starts. */
  nextAnswered: boolean
}

/** Options of a {@link LeaseEndRecorder}. */
export interface LeaseEndRecorderOptions {
  epoch: number
  platform: PlatformClient
  /** Used for this record only. Its writes are fenced by the leader key. */
  committer: GroupCommitter
  timers: Timers
  log: EventLog
  view: LeaseEndView
  /** True while the store answers. A loss that ends before it can be stored delays no extension. */
  isStoreReachable: () => boolean
  /** Called with the revision of each write. */
  onWritten: (revision: number) => void
  /** Called when another scheduler has taken over. */
  onFenced: () => void
}

/** Reads the record of the earlier scheduler, and writes that of this one. */
export class LeaseEndRecorder {
  /** Resolves when the record of the earlier scheduler has been read. */
  readonly loaded = new ManualPromise<void>()
  private readonly _options: LeaseEndRecorderOptions
  /** Losses to record, by the incarnation of the worker. */
  private readonly _losses = new Map<string, KnownLeaseEnd>()
  /** Workers whose loss the store may contain; undefined while these are not known. */
  private _stored: Set<string> | undefined
  private _lossCount = 0
  /** Workers of the stored roster; undefined until this scheduler has written it. */
  private _roster: ReadonlySet<string> | undefined
  /** True when the last loss did not fit into the record. */
  private _isFull = false
  private _loaded = false
  private _dirty = false
  private _writing: Promise<void> | undefined
  private _refreshTimer: TimerSubscription | undefined
  private _closed = false

  constructor (options: LeaseEndRecorderOptions) {
    this._options = options
  }

  close (): void {
    this._closed = true
    this._refreshTimer?.cancel()
    this._options.committer.close()
  }

  /** Reads the record of the earlier scheduler, which cannot write it any more. False when it could not be read. */
  async load (): Promise<boolean> {
    const { platform, log, view, epoch } = this._options
    const read = await platform.get(LEASE_ENDS_KEY, { timeoutMs: READ_TIMEOUT_MS })
    if (this._closed) return false
    if (read.isErr) {
      log.event('warn', 'leaseEnds.read.failed', { epoch, detail: read.error.message })
      return false
    }
    const record = view.apply(read.value?.value)
    this._loaded = true
    if (record.isOk) {
      for (const [worker, end] of record.value) this._losses.set(worker, end)
      this._stored = new Set(this._losses.keys())
    } else {
      log.event('error', 'leaseEnds.unreadable', { epoch, revision: read.value?.modRevision, detail: record.error })
      this._write()
    }
    this.loaded.resolve()
    this._refreshTimer = this._options.timers.every(REFRESH_PERIOD_MS, () => this._refresh())
    if (this._losses.size) log.event('info', 'leaseEnds.loaded', { epoch, workers: this._losses.size, latestEndMs: this._latestEndMs })
    return true
  }

  /** Applies what another daemon knows of the losses in the record. Other losses in its answer are ignored. */
  applyAnswer (answer: LeaseEnd[]): void {
    const nowMs = this._options.timers.now()
    for (const { worker, loss, endsInMs } of answer) {
      const known = this._losses.get(worker)
      if (known?.loss === loss) this._losses.set(worker, { ...known, endMs: Math.min(known.endMs, nowMs + endsInMs) })
    }
  }

  /** True while a lease in the record lasts. */
  get awaitsLeases (): boolean {
    const nowMs = this._options.timers.now()
    return [...this._losses.values()].some(({ endMs }) => endMs > nowMs)
  }

  /** Recorded end of the worker's lease, in milliseconds of the monotonic clock; undefined when its loss is not recorded. */
  endOf (worker: string): number | undefined {
    return this._losses.get(worker)?.endMs
  }

  /** Losses of workers whose later incarnations may carry out starts that were sent to them, or run what they have carried out. */
  get withStarts (): RecordedLoss[] {
    const nowMs = this._options.timers.now()
    return [...this._losses].filter(([, { starts }]) => starts.runsEndMs > nowMs)
      .map(([worker, { starts, restarted, nextAnswered }]) => ({ worker, starts, restarted, nextAnswered }))
  }

  /** Notes that the worker does not answer, and that its lease, which is not extended any more, ends at `endMs` of the monotonic clock. */
  noteLost (worker: string, endMs: number, starts: UnconfirmedStarts): void {
    const { epoch, log, timers } = this._options
    if (!this._loaded || this._closed) return
    const known = this._losses.get(worker)
    const hasLaterStarts = starts.tasks.length > 0 && starts.runsEndMs > (known?.starts.runsEndMs ?? 0) + MIN_CHANGE_MS
    if (known && known.endMs <= endMs + MIN_CHANGE_MS && !hasLaterStarts) return
    if (!known && this._isFullWith(starts)) return
    // What daemons have counted for a loss holds only as long as its starts are the same.
    const loss = known && !hasLaterStarts ? known.loss : `${epoch}.${++this._lossCount}`
    this._losses.set(worker, {
      loss,
      endMs: Math.min(endMs, known?.endMs ?? endMs),
      starts: known ? mergedStarts(known.starts, starts) : starts,
      restarted: known?.restarted ?? false,
      nextAnswered: false
    })
    log.event('info', 'leaseEnd.noted', { worker, loss, endsInMs: Math.round(endMs - timers.now()), unconfirmedTasks: starts.tasks.length })
    this._write()
  }

  /** Notes that the worker has ended, and that a later incarnation may carry out starts that were sent to it. */
  noteRestarted (worker: string, starts: UnconfirmedStarts): void {
    const { epoch, log, timers } = this._options
    const nowMs = timers.now()
    const known = this._losses.get(worker)
    if (!this._loaded || this._closed || starts.runsEndMs <= nowMs) return
    if (known?.restarted && starts.runsEndMs <= known.starts.runsEndMs) return
    if (!known && this._isFullWith(starts)) return
    const loss = `${epoch}.${++this._lossCount}`
    const merged = known ? mergedStarts(known.starts, starts) : starts
    this._losses.set(worker, { loss, endMs: Math.min(nowMs, known?.endMs ?? nowMs), starts: merged, restarted: true, nextAnswered: false })
    const runsEndInMs = Math.round(merged.runsEndMs - nowMs)
    log.event('info', 'lateStarts.noted', { worker, loss, runsEndInMs, unconfirmedTasks: merged.tasks.length })
    this._write()
  }

  /** Notes that an incarnation of a worker has answered: it refuses what was sent to earlier ones. */
  noteNextAnswered (incarnation: string): void {
    const nowMs = this._options.timers.now()
    for (const [worker, end] of this._losses) {
      const isEarlier = worker !== incarnation && workerIdOf(worker) === workerIdOf(incarnation)
      if (!isEarlier || end.nextAnswered || end.starts.runsEndMs <= nowMs) continue
      if (end.starts.tasks.length === 0 && end.endMs <= nowMs) this._losses.delete(worker)
      else this._losses.set(worker, { ...end, nextAnswered: true })
      const runsEndInMs = Math.round(end.starts.runsEndMs - nowMs)
      this._options.log.event('info', 'lateStarts.refused', { worker, next: incarnation, runsEndInMs })
      this._write()
    }
  }

  /** Notes that the worker has answered: its lease may be extended once its loss is removed from the store. */
  noteAnswered (worker: string): void {
    if (!this._losses.delete(worker)) return
    this._options.log.event('info', 'leaseEnd.withdrawn', { worker })
    this._write()
  }

  /** Notes the workers of the stored roster: no later scheduler waits for others. */
  retain (roster: ReadonlySet<string>): void {
    this._roster = roster
    this._prune()
  }

  /** Removes the losses of workers that are no longer in the roster, unless a start may still be carried out by a later incarnation. */
  private _prune (): void {
    const { size } = this._losses
    const nowMs = this._options.timers.now()
    for (const [worker, { starts }] of this._losses) {
      if (this._roster && !this._roster.has(worker) && starts.runsEndMs <= nowMs) this._losses.delete(worker)
    }
    if (this._losses.size < size) this._write()
  }

  /** True when no scheduler counts on a recorded end of the worker's lease. */
  mayExtend (worker: string): boolean {
    return this._stored !== undefined && !this._losses.has(worker) && !this._stored.has(worker)
  }

  /** Writes the record as it is now, before the leadership is given up. */
  async flush (): Promise<void> {
    this._refresh()
    await this._writing
  }

  private get _latestEndMs (): number {
    return Math.round(Math.max(...[...this._losses.values()].map(({ endMs }) => endMs)) - this._options.timers.now())
  }

  /** True when one more loss with these starts does not fit into the record. */
  private _isFullWith ({ tasks }: UnconfirmedStarts): boolean {
    const named = this.withStarts.reduce((sum, { starts }) => sum + starts.tasks.length, tasks.length)
    const isFull = this._losses.size >= MAX_LOSSES || named > MAX_UNCONFIRMED_TASKS
    const { log, epoch } = this._options
    if (isFull && !this._isFull) log.event('warn', 'leaseEnds.full', { epoch, workers: this._losses.size, unconfirmedTasks: named })
    this._isFull = isFull
    return isFull
  }

  /** Writes the remaining time of the leases that last, and of the starts that may still be carried out. */
  private _refresh (): void {
    this._prune()
    if (this.awaitsLeases || this.withStarts.length > 0) this._write()
  }

  private _write (): void {
    this._dirty = true
    this._writing ??= this._writeUntilClean().finally(() => { this._writing = undefined })
  }

  private async _writeUntilClean (): Promise<void> {
    const { committer, timers, log, epoch, isStoreReachable, onWritten, onFenced } = this._options
    while (this._dirty && !this._closed) {
      // Losses of one turn of the event loop go into one record.
      await Promise.resolve()
      if (!isStoreReachable()) {
        await delay(timers, RETRY_MS)
        continue
      }
      this._dirty = false
      const workers = [...this._losses.keys()]
      for (const worker of workers) this._stored?.add(worker)
      const value = JSON.stringify(listLeaseEnds(this._losses, timers.now()))
      const result = await committer.commit([{ op: 'put', key: LEASE_ENDS_KEY, value }])
      if (this._closed) return
      if (result.isOk) {
        this._stored = new Set(workers)
        onWritten(result.value)
        continue
      }
      const fenced = result.error instanceof CommitRefusedError && result.error.reason === COMMIT_REFUSALS.fence
      log.event('warn', 'leaseEnds.write.failed', { epoch, workers: workers.length, detail: result.error.message, fenced })
      if (fenced) return onFenced()
      this._dirty = true
      await delay(timers, RETRY_MS)
    }
  }
}

/** Both groups of starts at one worker. */
function mergedStarts (a: UnconfirmedStarts, b: UnconfirmedStarts): UnconfirmedStarts {
  return {
    tasks: [...new Set([...a.tasks, ...b.tasks])], endMs: Math.max(a.endMs, b.endMs), runsEndMs: Math.max(a.runsEndMs, b.runsEndMs)
  }
}
