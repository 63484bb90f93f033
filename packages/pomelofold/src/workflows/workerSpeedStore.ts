/**
 * Keeps the learned speeds of workers in the store, so that a new scheduler starts with them.
 *
 * Load pattern: several leaders within a minute of faults, each of which would place urgent work on slow workers until it
 * has seen enough runs. The speeds are a hint: they are written without a guard, and a failed call is not repeated.
 *
 * @module
 */

import { SPEEDS_KEY } from './keys.js'
import { workerSpeedsSchema, type WorkerSpeedEstimator } from './workerSpeedEstimator.js'
import type { PlatformClient } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'
import { decodeJson } from '../utils/storedJson.js'

/** Shortest time between two writes, in milliseconds. */
const WRITE_PERIOD_MIN_MS = 4_000
/** Time between two writes for each worker, in milliseconds: limits the traffic to some kilobytes a second at any size. */
const WRITE_PERIOD_PER_WORKER_MS = 12
const CALL_TIMEOUT_MS = 900

/** Options of a {@link WorkerSpeedStore}. */
export interface WorkerSpeedStoreOptions {
  platform: PlatformClient
  timers: Timers
  log: EventLog
  estimator: WorkerSpeedEstimator
  /** Incarnations of the workers of the cell. */
  incarnations: () => Set<string>
}

/** Reads the speeds at the start of a term and writes them until it is closed. */
export class WorkerSpeedStore {
  private readonly _options: WorkerSpeedStoreOptions
  private _closed = false

  constructor (options: WorkerSpeedStoreOptions) {
    this._options = options
  }

  start (): void {
    this._keep()
  }

  close (): void {
    this._closed = true
  }

  private async _keep (): Promise<void> {
    const { timers, incarnations } = this._options
    await this._read()
    while (!this._closed) {
      await delay(timers, Math.max(WRITE_PERIOD_MIN_MS, WRITE_PERIOD_PER_WORKER_MS * incarnations().size))
      if (!this._closed) await this._write()
    }
  }

  private async _read (): Promise<void> {
    const { platform, log, estimator } = this._options
    const read = await platform.get(SPEEDS_KEY, { timeoutMs: CALL_TIMEOUT_MS })
    if (read.isErr) return log.event('warn', 'speeds.read.failed', { detail: read.error.message })
    if (!read.value || this._closed) return
    const speeds = decodeJson(workerSpeedsSchema, read.value.value)
    if (speeds.isErr) return log.event('error', 'speeds.unreadable', { revision: read.value.modRevision, detail: speeds.error })
    estimator.restore(speeds.value)
    log.event('info', 'speeds.restored', { revision: read.value.modRevision, workers: Object.keys(speeds.value.workers).length })
  }

  private async _write (): Promise<void> {
    const { platform, log, estimator, incarnations } = this._options
    const speeds = estimator.snapshot(incarnations())
    if (Object.keys(speeds.workers).length === 0) return
    const put = { op: 'put' as const, key: SPEEDS_KEY, value: JSON.stringify(speeds) }
    const written = await platform.txn([], [put], { timeoutMs: CALL_TIMEOUT_MS })
    if (written.isErr && !this._closed) log.event('warn', 'speeds.write.failed', { detail: written.error.message })
  }
}
