/**
 * Finds out from a service instance which of its slots are free again.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { UpstreamClient } from '../seams/upstreamClient.js'
import type { ServiceInstance } from './serviceInstance.js'

/** Longest time that a sent request is under way before the instance counts it, in milliseconds. */
const MAX_TRANSIT_MS = 100
/** Deadline of one reading, in milliseconds. */
const STATUS_TIMEOUT_MS = 1_000
/** First pause between two readings, in milliseconds. */
const INITIAL_INTERVAL_MS = 100
/** Longest pause between two readings, in milliseconds. */
const MAX_INTERVAL_MS = 2_000

/** Options of an {@link OccupancyReader}. */
export interface OccupancyReaderOptions {
  instance: ServiceInstance
  timers: Timers
  upstream: UpstreamClient
  /** Called after the number of occupied slots may have changed. */
  onChange: () => void
}

/** Reads the status of one instance for as long as something unknown may run there. */
export class OccupancyReader {
  private readonly _instance: ServiceInstance
  private readonly _timers: Timers
  private readonly _upstream: UpstreamClient
  private readonly _onChange: () => void
  private _looping = false
  private _endPause: (() => void) | undefined

  constructor ({ instance, timers, upstream, onChange }: OccupancyReaderOptions) {
    this._instance = instance
    this._timers = timers
    this._upstream = upstream
    this._onChange = onChange
  }

  /** Starts reading when something is unknown. */
  startIfNeeded (): void {
    if (this._looping || !this._isReadNeeded()) return
    this._looping = true
    this._readUntilKnown().finally(() => { this._looping = false })
  }

  /** Tells that the last request in flight has ended. */
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
    const ownCounted = instance.inFlightSentBy(sentByMs)
    if (instance.countPending) {
      instance.setRunningCount(running - ownCounted, sentByMs)
      return true
    }
    instance.limitUnconfirmed(running - ownCounted, sentByMs)
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
