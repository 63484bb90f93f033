/**
 * In-memory implementation of the platform's key-value service: compare-and-swap, leases, watches and call counts.
 * The HTTP stand-in and the in-process client both use it.
 *
 * @module
 */

import type { Timers, TimerSubscription } from 'pomelofold/seams/timers'
import type { Change, Guard, RangeResult, StoredValue, TxnOutcome, WatchEvent } from 'pomelofold/seams/platformClient'

interface Lease {
  ttlMs: number
  expiryTimer: TimerSubscription
  /** Keys that are deleted when the lease ends. */
  keys: Set<string>
}

interface Watcher {
  prefix: string
  onEvents: (events: WatchEvent[]) => void
}

/** Number of calls since the start. A watch counts once, when it is opened. */
export interface CallCounts {
  reads: number
  writes: number
  watches: number
}

/** Maximum size of a value, in bytes. */
const MAX_VALUE_BYTES = 1_000_000

/** Number of latest events that are always kept, for watches that start at an earlier revision. */
const MIN_HISTORY_EVENTS = 10_000

/** Key-value store with synchronous calls. The clients and servers in front of it add delays and faults. */
export class KeyValueStore {
  readonly counts: CallCounts = { reads: 0, writes: 0, watches: 0 }
  private readonly _timers: Timers
  private readonly _values = new Map<string, StoredValue & { leaseId?: string }>()
  private readonly _leases = new Map<string, Lease>()
  private readonly _watchers = new Set<Watcher>()
  private _history: WatchEvent[] = []
  private _revision = 0
  private _lastDiscardedRevision = 0
  private _lastLeaseNumber = 0

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  /** Revision of the last change. */
  get revision (): number {
    return this._revision
  }

  /** Oldest start revision at which a watch misses no event. */
  get oldestWatchableRevision (): number {
    return this._lastDiscardedRevision + 1
  }

  range (prefix: string): RangeResult {
    this.counts.reads++
    const values = [...this._values.values()].filter(value => value.key.startsWith(prefix)).map(withoutLease)
    return { values: values.sort((a, b) => a.key < b.key ? -1 : 1), revision: this._revision }
  }

  get (key: string): StoredValue | undefined {
    this.counts.reads++
    const value = this._values.get(key)
    return value && withoutLease(value)
  }

  /** Applies all changes at one revision if all guards hold. Throws on a value that is too large and on an unknown lease. */
  txn (guards: Guard[], changes: Change[]): TxnOutcome {
    this.counts.writes++
    for (const change of changes) this._validateChange(change)
    const guardsHold = guards.every(guard => (this._values.get(guard.key)?.modRevision ?? 0) === guard.modRevision)
    if (!guardsHold) return { applied: false, revision: this._revision }
    if (changes.length === 0) return { applied: true, revision: this._revision }
    this._revision++
    this._publish(changes.flatMap(change => this._applyChange(change)))
    return { applied: true, revision: this._revision }
  }

  /** Grants a lease; its keys are deleted when it expires. */
  grantLease (ttlMs: number): { leaseId: string, ttlMs: number } {
    this.counts.writes++
    const leaseId = String(++this._lastLeaseNumber)
    this._leases.set(leaseId, { ttlMs, keys: new Set(), expiryTimer: this._startExpiryTimer(leaseId, ttlMs) })
    return { leaseId, ttlMs }
  }

  /** Restarts a lease's time to live. `ttlMs` 0 means that the lease has ended. */
  keepAlive (leaseId: string): { ttlMs: number } {
    this.counts.writes++
    const lease = this._leases.get(leaseId)
    if (!lease) return { ttlMs: 0 }
    lease.expiryTimer.cancel()
    lease.expiryTimer = this._startExpiryTimer(leaseId, lease.ttlMs)
    return { ttlMs: lease.ttlMs }
  }

  revokeLease (leaseId: string): void {
    this.counts.writes++
    this._endLease(leaseId)
  }

  /** Watches a prefix. Kept events from `fromRevision` on are delivered at once, before this method returns. */
  watch (prefix: string, fromRevision: number, onEvents: (events: WatchEvent[]) => void): { close: () => void } {
    this.counts.watches++
    const watcher: Watcher = { prefix, onEvents }
    this._watchers.add(watcher)
    const pastEvents = this._history.filter(event => event.revision >= fromRevision && event.key.startsWith(prefix))
    if (pastEvents.length) onEvents(pastEvents)
    return { close: () => { this._watchers.delete(watcher) } }
  }

  /** Cancels all timers. Leases and values remain. */
  close (): void {
    for (const lease of this._leases.values()) lease.expiryTimer.cancel()
  }

  private _validateChange (change: Change): void {
    if (change.op !== 'put') return
    if (Buffer.byteLength(change.value) > MAX_VALUE_BYTES) throw new Error(`value of ${change.key} is over ${MAX_VALUE_BYTES} bytes`)
    if (change.leaseId !== undefined && !this._leases.has(change.leaseId)) throw new Error(`lease ${change.leaseId} is not known`)
  }

  private _applyChange (change: Change): WatchEvent[] {
    const previous = this._values.get(change.key)
    if (previous?.leaseId !== undefined) this._leases.get(previous.leaseId)?.keys.delete(change.key)
    if (change.op === 'delete') {
      if (!previous) return []
      this._values.delete(change.key)
      return [{ key: change.key, revision: this._revision }]
    }
    const { key, value: text, leaseId } = change
    const value = { key, value: text, createRevision: previous?.createRevision ?? this._revision, modRevision: this._revision, leaseId }
    this._values.set(change.key, value)
    if (change.leaseId !== undefined) this._leases.get(change.leaseId)?.keys.add(change.key)
    return [{ key: change.key, value: withoutLease(value), revision: this._revision }]
  }

  private _startExpiryTimer (leaseId: string, ttlMs: number): TimerSubscription {
    return this._timers.after(ttlMs, () => this._endLease(leaseId))
  }

  /** Deletes a lease and, at one revision, all its keys. */
  private _endLease (leaseId: string): void {
    const lease = this._leases.get(leaseId)
    if (!lease) return
    lease.expiryTimer.cancel()
    this._leases.delete(leaseId)
    if (lease.keys.size === 0) return
    this._revision++
    this._publish([...lease.keys].flatMap(key => this._applyChange({ op: 'delete', key })))
  }

  /** Adds events to the history, which is cut back to its minimum when it has twice that length, and delivers them to the watchers. */
  private _publish (events: WatchEvent[]): void {
    this._history.push(...events)
    if (this._history.length > 2 * MIN_HISTORY_EVENTS) {
      this._lastDiscardedRevision = this._history[this._history.length - MIN_HISTORY_EVENTS - 1].revision
      this._history = this._history.slice(-MIN_HISTORY_EVENTS)
    }
    for (const watcher of [...this._watchers]) {
      const matching = events.filter(event => event.key.startsWith(watcher.prefix))
      if (matching.length) watcher.onEvents(matching)
    }
  }
}

/** Copies a value without the lease id, which clients do not receive. */
function withoutLease ({ key, value, createRevision, modRevision }: StoredValue): StoredValue {
  return { key, value, createRevision, modRevision }
}
