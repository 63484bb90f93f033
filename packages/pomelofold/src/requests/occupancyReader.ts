/**
 * Finds out from a service instance which of its slots are free again.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { UpstreamClient } from '../seams/upstreamClient.js'
import type { ServiceInstance } from './serviceInstance.js'

/** Longest time that a sent request is under way before the instance counts it, in milliseconds. */
const TRANSIT_MS = 100
/** Deadline of one reading, in milliseconds. */
const STATUS_TIMEOUT_MS = 1_000
/** First pause between two readings, in milliseconds. */
const FIRST_PERIOD_MS = 100
/** Longest pause between two readings, in milliseconds. */
const MAX_PERIOD_MS = 2_000

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
  private _running = false
  private _wake: (() => void) | undefined

  constructor ({ instance, timers, upstream, onChange }: OccupancyReaderOptions) {
    this._instance = instance
    this._timers = timers
    this._upstream = upstream
    this._onChange = onChange
  }

  /** Starts reading when something is unknown. */
  start (): void {
    if (this._running || !this._needed()) return
    this._running = true
    this._run().finally(() => { this._running = false })
  }

  /** Tells that the last request in flight has ended. */
  instanceDrained (): void {
    if (this._instance.quiescing) this._wake?.()
  }

  private _needed (): boolean {
    return this._instance.epoch !== undefined && (this._instance.uncounted || this._instance.unknown > 0)
  }

  private async _run (): Promise<void> {
    let periodMs = FIRST_PERIOD_MS
    while (this._needed()) {
      const before = this._instance.unknown
      const ok = await this._read()
      const progress = ok && this._instance.unknown < before
      periodMs = progress ? FIRST_PERIOD_MS : Math.min(MAX_PERIOD_MS, periodMs * 2)
      this._onChange()
      if (this._needed()) await this._pause(periodMs)
    }
    this._instance.quiescing = false
    this._onChange()
  }

  private async _read (): Promise<boolean> {
    const instance = this._instance
    const epoch = instance.epoch
    const sentByMs = this._timers.now() - TRANSIT_MS
    const status = await this._upstream.instanceStatus(instance.address, STATUS_TIMEOUT_MS)
    instance.quiescing = false
    if (status.isErr || instance.epoch !== epoch) return false
    const { running } = status.value
    const ownOlder = instance.inFlightSince(sentByMs)
    if (instance.uncounted) {
      instance.count(running - ownOlder, sentByMs)
      return true
    }
    instance.limitUnknown(running - ownOlder, sentByMs)
    instance.quiescing = running - instance.inFlight < instance.unknown && instance.inFlight > ownOlder
    return true
  }

  private async _pause (ms: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = this._timers.after(ms, resolve)
      this._wake = () => {
        timer.cancel()
        resolve()
      }
    })
    this._wake = undefined
  }
}
