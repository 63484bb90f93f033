/**
 * Tracks which entry VMs are in the platform's list of VMs.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Time for which a VM must be missing from the list before it counts as removed, in milliseconds. */
const REMOVED_AFTER_MS = 30_000

/** Tracks the entry VMs in the list of VMs. The list lags behind, so a missing VM counts as removed only after a delay. */
export class VmPresence {
  private readonly _timers: Timers
  private readonly _missingSinceMs = new Map<string, number>()
  private _listed: ReadonlySet<string> = new Set()
  private _hasList = false

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  /** Sets the entry VMs in the current list. */
  update (names: Iterable<string>): void {
    const nowMs = this._timers.now()
    const listed = new Set(names)
    this._hasList = true
    for (const vm of this._listed) if (!listed.has(vm)) this._missingSinceMs.set(vm, nowMs)
    for (const vm of listed) this._missingSinceMs.delete(vm)
    this._listed = listed
  }

  isListed (vm: string): boolean {
    return this._listed.has(vm)
  }

  /** True when the VM has been missing from the list for long enough. For a VM that was never listed, this counts from the first call. */
  isRemoved (vm: string): boolean {
    if (!this._hasList || this._listed.has(vm)) return false
    const nowMs = this._timers.now()
    if (!this._missingSinceMs.has(vm)) this._missingSinceMs.set(vm, nowMs)
    return nowMs - this._missingSinceMs.get(vm)! >= REMOVED_AFTER_MS
  }
}
