/**
 * A local copy of all keys under a prefix of the store, updated by a watch.
 *
 * @module
 */

import { readClocks, type ClockReading } from '../seams/clockReading.js'
import type { PlatformClient, StoredValue, Watch, WatchOptions } from '../seams/platformClient.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Pause before a failed list is read again, in milliseconds; doubled with each failure up to the maximum. */
const LIST_RETRY_MIN_MS = 50
const LIST_RETRY_MAX_MS = 400

/** Longest time without progress of a list, in milliseconds. A connection that has become silent is abandoned after it. */
const LIST_TIMEOUT_MS = 1_000

/** Minimum time between two log lines about failed lists, in milliseconds. */
const FAILURE_LOG_INTERVAL_MS = 5_000

/** Options of a {@link PrefixView}. */
export interface PrefixViewOptions {
  prefix: string
  platform: PlatformClient
  timers: Timers
  log: EventLog
  /** Called with the keys that have changed, after each change. */
  onChange: (keys: string[]) => void
  /**
   * Called when the store has confirmed the view, after `onChange`, with the time at which the confirming call was sent: the store
   * answered it later, so no change before that time is missing.
   */
  onConfirmed?: (sent: ClockReading) => void
  watch?: WatchOptions
  /**
   * Maximum of the timeout of a page, which doubles with each failed try, in milliseconds. Without it the timeout
   * stays the same. Only for large lists: a longer timeout means that a silent connection is noticed later.
   */
  maxListTimeoutMs?: number
  /**
   * Time of the transfer of events after which the keys are listed in place of watching on, in milliseconds. The events hold every
   * version of a value, and a list only the newest. Without it the watch always goes on.
   */
  relistAfterMs?: number
}

/** Holds the keys under a prefix. The values may be outdated by up to `ageMs`. */
export class PrefixView {
  private readonly _options: PrefixViewOptions
  private readonly _values = new Map<string, StoredValue>()
  private _watch: Watch | undefined
  private _retryTimer: TimerSubscription | undefined
  private _retryMs = LIST_RETRY_MIN_MS
  private _timeoutMs = LIST_TIMEOUT_MS
  private _revision = 0
  /** Time at which the store last confirmed the view. */
  private _confirmedMs: number | undefined
  /** Lists that have failed since the last one that was read. */
  private _failures = 0
  private _failureLoggedMs = 0
  private _listing: Promise<void> | undefined
  /** Times at which the last and the first part of an answer in transfer have arrived; undefined between answers. */
  private _receivedMs: number | undefined
  private _receivingSinceMs: number | undefined
  private _closed = false

  constructor (options: PrefixViewOptions) {
    this._options = options
  }

  /** Starts reading. `onChange` is called after the first list, even when the list is empty. */
  start (): void {
    this._list()
  }

  close (): void {
    this._closed = true
    this._retryTimer?.cancel()
    this._watch?.close()
  }

  /** True once a list has been read. */
  get loaded (): boolean {
    return this._confirmedMs !== undefined
  }

  /** Time since the store last confirmed the view, in milliseconds. Infinite before the first list. */
  get ageMs (): number {
    return this._confirmedMs === undefined ? Number.POSITIVE_INFINITY : this._options.timers.now() - this._confirmedMs
  }

  /** Revision of the store up to which the view contains every change of its keys; 0 before the first list. */
  get revision (): number {
    return this._revision
  }

  /** True while the list cannot be read. */
  get failing (): boolean {
    return this._failures > 0
  }

  /** Settles when the list in progress has ended; undefined between lists. */
  get listing (): Promise<void> | undefined {
    return this._listing
  }

  /** True while an answer of the store is arriving. */
  get receiving (): boolean {
    return this._receivedMs !== undefined && this._options.timers.now() - this._receivedMs < LIST_TIMEOUT_MS
  }

  get (key: string): StoredValue | undefined {
    return this._values.get(key)
  }

  values (): IterableIterator<StoredValue> {
    return this._values.values()
  }

  /** Reads all keys, then opens a watch. Called again when the watch ends. */
  private _list (): void {
    this._listing = this._readList().finally(() => { this._listing = undefined })
  }

  private async _readList (): Promise<void> {
    const { prefix, platform, timers } = this._options
    const sent = readClocks(timers)
    const list = await platform.range(prefix, { timeoutMs: this._timeoutMs, onData: () => this._noteData() })
    this._noteAnswered()
    if (this._closed) return
    if (list.isErr) {
      this._noteFailure(list.error.message)
      this._retryTimer = timers.after(this._retryMs, () => this._list())
      this._retryMs = Math.min(2 * this._retryMs, LIST_RETRY_MAX_MS)
      this._timeoutMs = Math.min(2 * this._timeoutMs, this._options.maxListTimeoutMs ?? LIST_TIMEOUT_MS)
      return
    }
    this._noteSuccess(list.value.revision)
    this._retryMs = LIST_RETRY_MIN_MS
    this._timeoutMs = LIST_TIMEOUT_MS
    this._revision = Math.max(this._revision, list.value.revision)
    this._replaceValues(list.value.values, sent)
    this._openWatch(list.value.revision + 1)
  }

  private _noteData (): void {
    this._receivedMs = this._options.timers.now()
    this._receivingSinceMs ??= this._receivedMs
  }

  /** Returns the time of the answer's transfer, in milliseconds. */
  private _noteAnswered (): number {
    const { timers } = this._options
    const transferMs = timers.now() - (this._receivingSinceMs ?? timers.now())
    this._receivedMs = this._receivingSinceMs = undefined
    return transferMs
  }

  private _noteFailure (detail: string): void {
    const { prefix, timers, log } = this._options
    this._failures++
    if (this._failures > 1 && timers.now() - this._failureLoggedMs < FAILURE_LOG_INTERVAL_MS) return
    this._failureLoggedMs = timers.now()
    log.event('warn', 'view.list.failed', { prefix, failures: this._failures, ageMs: Math.round(this.ageMs), detail })
  }

  private _noteSuccess (revision: number): void {
    const { prefix, log } = this._options
    if (this._failures > 0) log.event('info', 'view.list.regained', { prefix, revision, failures: this._failures })
    this._failures = 0
  }

  private _replaceValues (values: StoredValue[], sent: ClockReading): void {
    const first = !this.loaded
    const removedKeys = new Set(this._values.keys())
    const changed: string[] = []
    for (const value of values) {
      removedKeys.delete(value.key)
      if (this._values.get(value.key)?.modRevision === value.modRevision) continue
      this._values.set(value.key, value)
      changed.push(value.key)
    }
    for (const key of removedKeys) this._values.delete(key)
    this._confirmedMs = sent.monotonicMs
    if (first || changed.length || removedKeys.size) this._options.onChange([...changed, ...removedKeys])
    this._options.onConfirmed?.(sent)
  }

  private _openWatch (fromRevision: number): void {
    const { prefix, platform, timers, log, relistAfterMs = Number.POSITIVE_INFINITY } = this._options
    this._watch = platform.watch(prefix, fromRevision, {
      onData: () => this._noteData(),
      onEvents: (events, sent) => {
        const transferMs = this._noteAnswered()
        if (this._closed) return
        this._confirmedMs = timers.now()
        for (const { key, value, revision } of events) {
          this._revision = Math.max(this._revision, revision)
          if (value) this._values.set(key, value)
          else this._values.delete(key)
        }
        this._options.onChange([...new Set(events.map(event => event.key))])
        if (sent) this._options.onConfirmed?.(sent)
        if (transferMs <= relistAfterMs) return
        this._watch?.close()
        this._list()
      },
      onProgress: sent => {
        this._noteAnswered()
        this._confirmedMs = timers.now()
        if (sent) this._options.onConfirmed?.(sent)
      },
      onEnd: reason => {
        this._noteAnswered()
        if (this._closed) return
        log.event('info', 'view.watch.ended', { prefix, reason })
        this._list()
      }
    }, this._options.watch)
  }
}
