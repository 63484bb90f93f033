/**
 * Reads from a service instance how many requests run there, where this process cannot count them itself.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { UpstreamClient } from '../seams/upstreamClient.js'
import type { ServiceInstance } from './serviceInstance.js'

/** Longest time from sending a request until the instance includes it in its status. */
const MAX_TRANSIT_MS = 100
const STATUS_TIMEOUT_MS = 1_000
/** Interval between status reads while they free slots. It doubles after each read that frees none, up to the maximum. */
const INITIAL_INTERVAL_MS = 100
const MAX_INTERVAL_MS = 2_000

/** Options of an {@link OccupancyReader}. */
export interface OccupancyReaderOptions {
  instance: ServiceInstance
  timers: Timers
  upstream: UpstreamClient
  /** Called when the number of free slots may have changed. */
  onChange: () => void
}

/**
 * Polls the status of one instance while its count is pending or it has unconfirmed slots. The instance reports only a
 * total; the requests that this process itself has in flight are subtracted from it.
 */
export class OccupancyReader {
  private readonly _instance: ServiceInstance
  private readonly _timers: Timers
  private readonly _upstream: UpstreamClient
  private readonly _onChange: () => void
  private _polling = false
  private _endPause: (() => void) | undefined

  constructor ({ instance, timers, upstream, onChange }: OccupancyReaderOptions) {
    this._instance = instance
    this._timers = timers
    this._upstream = upstream
    this._onChange = onChange
  }

  /** Starts polling if the instance needs it and polling has not started yet. */
  startIfNeeded (): void {
    if (this._polling || !this._isReadNeeded()) return
    this._polling = true
    this._readUntilKnown().finally(() => { this._polling = false })
  }

  /** To be called when the last request in flight has ended. Reads at once if the instance is quiescing. */
  onInstanceDrained (): void {
    if (this._instance.quiescing) this._endPause?.()
  }

  private _isReadNeeded (): boolean {
    return this._instance.epoch !== undefined && (this._instance.countPending || this._instance.unconfirmedSlots > 0)
  }

  private async _readUntilKnown (): Promise<void> {
    let intervalMs = INITIAL_INTERVAL_MS
    while (this._isReadNeeded()) {
      const unconfirmedBefore = this._instance.unconfirmedSlots
      const ok = await this._read()
      const progressed = ok && this._instance.unconfirmedSlots < unconfirmedBefore
      intervalMs = progressed ? INITIAL_INTERVAL_MS : Math.min(MAX_INTERVAL_MS, intervalMs * 2)
      this._onChange()
      if (this._isReadNeeded()) await this._pause(intervalMs)
    }
    this._instance.quiescing = false
    this._onChange()
  }

  private async _read (): Promise<boolean> {
    const instance = this._instance
    const epoch = instance.epoch
    const sentByMs = this._timers.now() - MAX_TRANSIT_MS
    const status = await this._upstream.instanceStatus(instance.address, STATUS_TIMEOUT_MS)
    instance.quiescing = false
    if (status.isErr || instance.epoch !== epoch) return false
    const { running } = status.value
    // A request sent after `sentByMs` may not be in the total yet. Subtracting only older ones never frees a slot too early.
    const ownCounted = instance.inFlightSentBy(sentByMs)
    if (instance.countPending) {
      instance.setRunningCount(running - ownCounted, sentByMs)
      return true
    }
    instance.limitUnconfirmed(running - ownCounted, sentByMs)
    // The newer requests may hide that slots are free: send nothing until the next read, which follows at once when they have ended.
    instance.quiescing = running - instance.inFlight < instance.unconfirmedSlots && instance.inFlight > ownCounted
    return true
  }

  private async _pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = this._timers.after(ms, resolve)
      this._endPause = () => {
        timer.cancel()
        resolve()
      }
    })
    this._endPause = undefined
  }
}
