/**
 * Which entry VMs the platform's list of VMs has.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'

/** Time for which a VM must be missing from the list before it counts as gone, in milliseconds. */
const REMOVED_AFTER_MS = 30_000

/** Follows the list of VMs, which lags. */
export class VmPresence {
  private readonly _timers: Timers
  private readonly _missingSinceMs = new Map<string, number>()
  private _listed: ReadonlySet<string> = new Set()
  private _hasList = false

  constructor ({ timers }: { timers: Timers }) {
    this._timers = timers
  }

  /** Takes in the list's entry VMs. */
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

  /** True when the list has lacked the VM for long enough, counted from the first question when it was never listed. */
  isRemoved (vm: string): boolean {
    if (!this._hasList || this._listed.has(vm)) return false
    const nowMs = this._timers.now()
    if (!this._missingSinceMs.has(vm)) this._missingSinceMs.set(vm, nowMs)
    return nowMs - this._missingSinceMs.get(vm)! >= REMOVED_AFTER_MS
  }
}
