/**
 * The platform's key-value service in memory: compare-and-swap, leases, watches, counted calls.
 * Shared by the HTTP stand-in and by the in-process fake.
 *
 * @module
 */

import type { Timers, TimerSubscription } from 'pomelofold/seams/timers'
import type { Change, Guard, RangeResult, StoredValue, TxnOutcome, WatchEvent } from 'pomelofold/seams/platformClient'

interface Lease {
  ttlMs: number
  expiry: TimerSubscription
  keys: Set<string>
}

interface Watcher {
  prefix: string
  onEvents: (events: WatchEvent[]) => void
}

/** Calls counted since the start. A watch counts once for each time it is opened. */
export interface CallCounts {
  reads: number
  writes: number
  watches: number
}

/** Largest value, in bytes. */
const MAX_VALUE_BYTES = 1_000_000

/** Events kept for watches that start in the past. */
const HISTORY_EVENTS = 10_000

/** The store. Calls are synchronous; delays and faults are added by its front ends. */
export class KeyValueStore {
  readonly counts: CallCounts = { reads: 0, writes: 0, watches: 0 }
  private readonly _timers: Timers
  private readonly _values = new Map<string, StoredValue & { leaseId?: string }>()
  private readonly _leases = new Map<string, Lease>()
  private readonly _watchers = new Set<Watcher>()
  private _history: WatchEvent[] = []
  private _revision = 0
  private _forgottenRevision = 0
  private _leaseNumber = 0

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  get revision (): number {
    return this._revision
  }

  /** Oldest revision from which a watch sees every event. */
  get oldestWatchable (): number {
    return this._forgottenRevision + 1
  }

  range (prefix: string): RangeResult {
    this.counts.reads++
    const values = [...this._values.values()].filter(value => value.key.startsWith(prefix)).map(plainValue)
    return { values: values.sort((a, b) => a.key < b.key ? -1 : 1), revision: this._revision }
  }

  get (key: string): StoredValue | undefined {
    this.counts.reads++
    const value = this._values.get(key)
    return value && plainValue(value)
  }

  /** Applies all changes if all guards hold. Throws on a value that is too large or an unknown lease. */
  txn (guards: Guard[], changes: Change[]): TxnOutcome {
    this.counts.writes++
    for (const change of changes) this._check(change)
    const holds = guards.every(guard => (this._values.get(guard.key)?.modRevision ?? 0) === guard.modRevision)
    if (!holds) return { applied: false, revision: this._revision }
    if (changes.length === 0) return { applied: true, revision: this._revision }
    this._revision++
    this._publish(changes.flatMap(change => this._apply(change)))
    return { applied: true, revision: this._revision }
  }

  grantLease (ttlMs: number): { leaseId: string, ttlMs: number } {
    this.counts.writes++
    const leaseId = String(++this._leaseNumber)
    this._leases.set(leaseId, { ttlMs, keys: new Set(), expiry: this._armExpiry(leaseId, ttlMs) })
    return { leaseId, ttlMs }
  }

  keepAlive (leaseId: string): { ttlMs: number } {
    this.counts.writes++
    const lease = this._leases.get(leaseId)
    if (!lease) return { ttlMs: 0 }
    lease.expiry.cancel()
    lease.expiry = this._armExpiry(leaseId, lease.ttlMs)
    return { ttlMs: lease.ttlMs }
  }

  revokeLease (leaseId: string): void {
    this.counts.writes++
    this._endLease(leaseId)
  }

  /** Watches a prefix, starting with the events after `fromRevision` that are still known. */
  watch (prefix: string, fromRevision: number, onEvents: (events: WatchEvent[]) => void): { close: () => void } {
    this.counts.watches++
    const watcher: Watcher = { prefix, onEvents }
    this._watchers.add(watcher)
    const missed = this._history.filter(event => event.revision >= fromRevision && event.key.startsWith(prefix))
    if (missed.length) onEvents(missed)
    return { close: () => { this._watchers.delete(watcher) } }
  }

  /** Stops all timers. Leases stay as they are. */
  close (): void {
    for (const lease of this._leases.values()) lease.expiry.cancel()
  }

  private _check (change: Change): void {
    if (change.op !== 'put') return
    if (Buffer.byteLength(change.value) > MAX_VALUE_BYTES) throw new Error(`value of ${change.key} is over ${MAX_VALUE_BYTES} bytes`)
    if (change.leaseId !== undefined && !this._leases.has(change.leaseId)) throw new Error(`lease ${change.leaseId} is not known`)
  }

  private _apply (change: Change): WatchEvent[] {
    const old = this._values.get(change.key)
    if (old?.leaseId !== undefined) this._leases.get(old.leaseId)?.keys.delete(change.key)
    if (change.op === 'delete') {
      if (!old) return []
      this._values.delete(change.key)
      return [{ key: change.key, revision: this._revision }]
    }
    const { key, value: text, leaseId } = change
    const value = { key, value: text, createRevision: old?.createRevision ?? this._revision, modRevision: this._revision, leaseId }
    this._values.set(change.key, value)
    if (change.leaseId !== undefined) this._leases.get(change.leaseId)?.keys.add(change.key)
    return [{ key: change.key, value: plainValue(value), revision: this._revision }]
  }

  private _armExpiry (leaseId: string, ttlMs: number): TimerSubscription {
    return this._timers.after(ttlMs, () => this._endLease(leaseId))
  }

  private _endLease (leaseId: string): void {
    const lease = this._leases.get(leaseId)
    if (!lease) return
    lease.expiry.cancel()
    this._leases.delete(leaseId)
    if (lease.keys.size === 0) return
    this._revision++
    this._publish([...lease.keys].flatMap(key => this._apply({ op: 'delete', key })))
  }

  private _publish (events: WatchEvent[]): void {
    this._history.push(...events)
    if (this._history.length > 2 * HISTORY_EVENTS) {
      this._forgottenRevision = this._history[this._history.length - HISTORY_EVENTS - 1].revision
      this._history = this._history.slice(-HISTORY_EVENTS)
    }
    for (const watcher of [...this._watchers]) {
      const own = events.filter(event => event.key.startsWith(watcher.prefix))
      if (own.length) watcher.onEvents(own)
    }
  }
}

function plainValue ({ key, value, createRevision, modRevision }: StoredValue): StoredValue {
  return { key, value, createRevision, modRevision }
}
