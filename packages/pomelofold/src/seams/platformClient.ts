/**
 * The platform's key-value service (compare-and-swap, leases, watches) and its list of VMs.
 * Each method is one call counted by the platform; a watch counts as one for as long as it waits.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import type { CallError } from '../utils/errors.js'
import type { VmRecord } from '../protocol/vms.js'

/** A stored value with its revisions. Revisions are cell-wide and only grow. */
export interface StoredValue {
  key: string
  /** UTF-8 text, at most 1 MB. */
  value: string
  /** Revision at which the key was created. */
  createRevision: number
  /** Revision of the last change of the key. */
  modRevision: number
}

/** A condition of a transaction: the key's last change must be at exactly this revision; 0 means that the key is absent. */
export interface Guard {
  key: string
  modRevision: number
}

/** A change in a transaction. */
export type Change =
  | { op: 'put', key: string, value: string, leaseId?: string }
  | { op: 'delete', key: string }

/** What became of a transaction. */
export interface TxnOutcome {
  /** True when every guard held and all changes took effect. */
  applied: boolean
  /** Revision of the store after the call. */
  revision: number
}

/** Keys at one revision of the store. */
export interface RangeResult {
  values: StoredValue[]
  revision: number
}

/** A change seen by a watch. `value` is absent when the key was deleted. */
export interface WatchEvent {
  key: string
  value?: StoredValue
  revision: number
}

/** An open watch. */
export interface Watch {
  close (): void
}

/** What a watch calls. After `onEnd` no further event comes; the caller reads the range again and opens a new watch. */
export interface WatchHandlers {
  onEvents: (events: WatchEvent[]) => void
  onEnd: (reason: string) => void
  /** Called when the service has confirmed that nothing else has changed. Not every client calls it. */
  onProgress?: () => void
}

/** Every call takes a deadline in milliseconds from now. */
export interface CallOptions {
  timeoutMs?: number
}

/** Options of a watch. */
export interface WatchOptions {
  /** Longest time in which a silent connection may stay unnoticed, in milliseconds. */
  lossDetectionMs?: number
  /** Least time between two deliveries of events, in milliseconds. */
  minIntervalMs?: number
}

/** Options of reading the list of VMs. */
export interface ListVmsOptions extends CallOptions {
  /** Only VMs of this failure domain. */
  failureDomain?: string
}

/**
 * Client of the platform's service. A failed call whose `effect` is `unknown`
 * may have taken effect: settle it by reading back.
 */
export interface PlatformClient {
  /** Reads all keys that start with `prefix`. */
  range (prefix: string, options?: CallOptions): Promise<Result<RangeResult, CallError>>
  /** Reads one key. */
  get (key: string, options?: CallOptions): Promise<Result<StoredValue | undefined, CallError>>
  /** Applies all `changes` if all `guards` hold. One call, one revision. */
  txn (guards: Guard[], changes: Change[], options?: CallOptions): Promise<Result<TxnOutcome, CallError>>
  /** Grants a lease of `ttlMs` milliseconds; its keys are deleted when it lapses. */
  grantLease (ttlMs: number, options?: CallOptions): Promise<Result<{ leaseId: string, ttlMs: number }, CallError>>
  /** Extends a lease by its full length. `ttlMs` 0 means that the lease has lapsed. */
  keepAlive (leaseId: string, options?: CallOptions): Promise<Result<{ ttlMs: number }, CallError>>
  /** Ends a lease at once and deletes its keys. */
  revokeLease (leaseId: string, options?: CallOptions): Promise<Result<void, CallError>>
  /** Watches the keys that start with `prefix`, from `fromRevision` on. */
  watch (prefix: string, fromRevision: number, handlers: WatchHandlers, options?: WatchOptions): Watch
  /** The platform's list of live and leaving VMs. It lags behind the truth. */
  listVms (options?: ListVmsOptions): Promise<Result<VmRecord[], CallError>>
}
