/**
 * In-process client of the platform. Each entry daemon under test has its own, with its own faults.
 *
 * @module
 */

import Result from 'true-myth/result'
import { CallError, CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'
import type { VmRecord } from 'pomelofold/protocol/vms'
import { delay, type Timers } from 'pomelofold/seams/timers'
import type { CallOptions, Change, Guard, ListVmsOptions, PlatformClient, RangeResult, StoredValue, TxnOutcome, Watch, WatchHandlers } from 'pomelofold/seams/platformClient'
import type { KeyValueStore } from './keyValueStore.js'

/** Default timeout of calls, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 1_000

/** Injected faults of one client's link to the platform. They may be changed at any time. */
export interface PlatformLinkFaults {
  /** Calls do not reach the platform; each one times out. */
  unreachable: boolean
  /** Calls take effect, but their answers are lost. */
  loseAnswers: boolean
  /** Time until a call takes effect, in milliseconds. A call whose timeout is not longer times out, but still takes effect. */
  delayMs: number
}

/** Client of a {@link KeyValueStore} and a list of VMs in the same process. */
export class MemoryPlatformClient implements PlatformClient {
  readonly faults: PlatformLinkFaults = { unreachable: false, loseAnswers: false, delayMs: 1 }
  private readonly _store: KeyValueStore
  private readonly _timers: Timers
  private readonly _vms: () => VmRecord[]

  constructor ({ store, timers, vms = () => [] }: { store: KeyValueStore, timers: Timers, vms?: () => VmRecord[] }) {
    this._store = store
    this._timers = timers
    this._vms = vms
  }

  range (prefix: string, options?: CallOptions): Promise<Result<RangeResult, CallError>> {
    return this._call('platform.range', () => this._store.range(prefix), options)
  }

  get (key: string, options?: CallOptions): Promise<Result<StoredValue | undefined, CallError>> {
    return this._call('platform.get', () => this._store.get(key), options)
  }

  txn (guards: Guard[], changes: Change[], options?: CallOptions): Promise<Result<TxnOutcome, CallError>> {
    return this._call('platform.txn', () => this._store.txn(guards, changes), options)
  }

  grantLease (ttlMs: number, options?: CallOptions): Promise<Result<{ leaseId: string, ttlMs: number }, CallError>> {
    return this._call('platform.grantLease', () => this._store.grantLease(ttlMs), options)
  }

  keepAlive (leaseId: string, options?: CallOptions): Promise<Result<{ ttlMs: number }, CallError>> {
    return this._call('platform.keepAlive', () => this._store.keepAlive(leaseId), options)
  }

  revokeLease (leaseId: string, options?: CallOptions): Promise<Result<void, CallError>> {
    return this._call('platform.revokeLease', () => this._store.revokeLease(leaseId), options)
  }

  watch (prefix: string, fromRevision: number, handlers: WatchHandlers): Watch {
    let closed = false
    let end = (): void => { closed = true }
    this._timers.after(this.faults.delayMs, () => {
      if (closed) return
      if (this.faults.unreachable) return handlers.onEnd('the platform is unreachable')
      const watch = this._store.watch(prefix, fromRevision, events => {
        this._timers.after(this.faults.delayMs, () => {
          if (!this.faults.unreachable) return handlers.onEvents(events)
          // Events that would arrive while the platform is unreachable are lost, and the watch ends like one whose connection broke.
          if (closed) return
          closed = true
          watch.close()
          handlers.onEnd('the connection was lost')
        })
      })
      end = () => { closed = true; watch.close() }
    })
    return { close: () => end() }
  }

  listVms ({ failureDomain, ...options }: ListVmsOptions = {}): Promise<Result<VmRecord[], CallError>> {
    const list = (): VmRecord[] => this._vms().filter(vm => failureDomain === undefined || vm.failureDomain === failureDomain)
    return this._call('platform.listVms', list, options)
  }

  private async _call<T> (step: string, call: () => T, options: CallOptions = {}): Promise<Result<T, CallError>> {
    const { timeoutMs = DEFAULT_TIMEOUT_MS } = options
    const details = { step, peer: 'platform', effect: EFFECTS.unknown }
    if (this.faults.unreachable || this.faults.delayMs >= timeoutMs) {
      const arrivesLate = !this.faults.unreachable
      if (arrivesLate) this._timers.after(this.faults.delayMs, () => { call() })
      await delay(this._timers, timeoutMs)
      return Result.err(new CallTimeoutError(timeoutMs, details))
    }
    await delay(this._timers, this.faults.delayMs)
    try {
      const value = call()
      if (!this.faults.loseAnswers) return Result.ok(value)
    } catch (err) {
      return Result.err(new CallError(String(err), { ...details, effect: EFFECTS.none }))
    }
    await delay(this._timers, timeoutMs - this.faults.delayMs)
    return Result.err(new CallTimeoutError(timeoutMs, details))
  }
}
