/**
 * Interface of the platform's key-value service (compare-and-swap, leases, watches) and of its list of VMs.
 * The platform counts each method call as one call, and an open watch as one call for as long as it is open.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import type { ClockReading } from './clockReading.js'
import type { CallError } from '../utils/errors.js'
import type { VmRecord } from '../protocol/vms.js'

/** A stored value with its revisions. Revisions are counted for the whole cell and only increase. */
export interface StoredValue {
  key: string
  /** UTF-8 text of at most 1 MB. */
  value: string
  /** Revision at which the key was created. */
  createRevision: number
  /** Revision of the last change of the key. */
  modRevision: number
}

/** A condition of a transaction: the key must have been changed last at this revision. 0 means that the key must not exist. */
export interface Guard {
  key: string
  modRevision: number
}

/** A change that a transaction makes. */
export type Change =
  | { op: 'put', key: string, value: string, leaseId?: string }
  | { op: 'delete', key: string }

/** Result of a transaction. */
export interface TxnOutcome {
  /** True when all guards matched and all changes were made; false when nothing was changed. */
  applied: boolean
  /** Revision of the store after the call. */
  revision: number
}

/** Keys with their values, read at one revision of the store. */
export interface RangeResult {
  values: StoredValue[]
  revision: number
}

/** A change that a watch reports. `value` is absent when the key was deleted. */
export interface WatchEvent {
  key: string
  value?: StoredValue
  revision: number
}

/** An open watch. */
export interface Watch {
  /** Ends the watch. Its handlers are not called any more. */
  close (): void
}

/**
 * Callbacks of a watch. `onEnd` is the last call: the caller then reads the range again and opens a new watch.
 * `sent` is the time at which the call was sent that the service answered with the events; clients that do not know it omit it.
 */
export interface WatchHandlers {
  onEvents: (events: WatchEvent[], sent?: ClockReading) => void
  onEnd: (reason: string) => void
  /** Called when the service has confirmed that there were no further changes. Optional for clients. */
  onProgress?: (sent?: ClockReading) => void
  /** Called when a part of an answer has arrived. Optional for clients. */
  onData?: () => void
}

/** Options of every call. */
export interface CallOptions {
  /**
   * Deadline, in milliseconds from now. The client's default when absent. For ranges, the longest time without progress of the
   * answer: how long its transfer takes depends on the size of the values and on the link.
   */
  timeoutMs?: number
  /** Called when a part of the answer has arrived. Optional for clients. */
  onData?: () => void
}

/** Options of a watch. */
export interface WatchOptions {
  /** Maximum time until the loss of the connection is detected, in milliseconds. */
  lossDetectionMs?: number
  /** Minimum time between two calls of `onEvents`, in milliseconds. */
  minIntervalMs?: number
}

/** Options of {@link PlatformClient.listVms}. */
export interface ListVmsOptions extends CallOptions {
  /** Only VMs of this failure domain. */
  failureDomain?: string
}

/**
 * Client of the platform's service. A failed call whose `effect` is `unknown` may have taken effect:
 * read the keys to find out.
 */
export interface PlatformClient {
  /** Reads all keys that start with `prefix`. */
  range (prefix: string, options?: CallOptions): Promise<Result<RangeResult, CallError>>
  /** Reads one key. */
  get (key: string, options?: CallOptions): Promise<Result<StoredValue | undefined, CallError>>
  /** Makes all `changes` if all `guards` match, atomically and at one revision. */
  txn (guards: Guard[], changes: Change[], options?: CallOptions): Promise<Result<TxnOutcome, CallError>>
  /** Grants a lease of `ttlMs` milliseconds. The keys that are bound to it are deleted when it lapses. */
  grantLease (ttlMs: number, options?: CallOptions): Promise<Result<{ leaseId: string, ttlMs: number }, CallError>>
  /** Renews a lease for its full duration. A `ttlMs` of 0 means that the lease has lapsed. */
  keepAlive (leaseId: string, options?: CallOptions): Promise<Result<{ ttlMs: number }, CallError>>
  /** Ends a lease at once and deletes its keys. */
  revokeLease (leaseId: string, options?: CallOptions): Promise<Result<void, CallError>>
  /** Reports changes of keys that start with `prefix`, beginning with `fromRevision`. */
  watch (prefix: string, fromRevision: number, handlers: WatchHandlers, options?: WatchOptions): Watch
  /** Reads the platform's list of VMs that are live or leaving. The list is updated with a delay. */
  listVms (options?: ListVmsOptions): Promise<Result<VmRecord[], CallError>>
}
