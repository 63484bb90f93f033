/**
 * Passes the calls of a client under test through a link of limited bandwidth.
 *
 * @module
 */

import Result from 'true-myth/result'
import { delay, type Timers } from 'pomelofold/seams/timers'
import type { LeasedWorkerClient } from '@pomelofold/standins/leasedWorker'
import type { MemoryPlatformClient } from '@pomelofold/standins/memoryPlatformClient'
import { CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'

/** Bandwidth of links that exist, in bytes per millisecond: 7 Mbit/s, and 2 Mbit/s in small variants. */
export const LINK_RATES = { slow: 875, slowest: 250 } as const

/** Time limit of a call that states none, in milliseconds, as in the store's client. */
const DEFAULT_TIMEOUT_MS = 1_000

/** Limits the bandwidth of a client's writes. The store carries out a write only when its whole body has arrived. */
export function limitWriteBandwidth (platform: MemoryPlatformClient, timers: Timers, bytesPerMs: number): void {
  const txn = platform.txn.bind(platform)
  platform.txn = async (guards, changes, { timeoutMs = DEFAULT_TIMEOUT_MS } = {}) => {
    const values = changes.map(change => change.op === 'put' ? Buffer.from(change.value).toString('base64') : '')
    const transferMs = values.join('').length / bytesPerMs
    await delay(timers, Math.min(transferMs, timeoutMs))
    if (transferMs < timeoutMs) return txn(guards, changes, { timeoutMs })
    return Result.err(new CallTimeoutError(timeoutMs, { step: 'store.txn', peer: 'store', effect: EFFECTS.unknown }))
  }
}

/**
 * Sends the starts of a client through one link, one after the other. One whose time is over before its turn comes is not sent,
 * which is the best that any order of sending achieves.
 */
export function limitStartBandwidth (client: LeasedWorkerClient, timers: Timers, bytesPerMs: number): void {
  const start = client.start.bind(client)
  let freeMs = 0
  client.start = async (worker, order, timeoutMs) => {
    const lostAtMs = timers.now() + timeoutMs
    const transferMs = JSON.stringify(order).length / bytesPerMs
    while (freeMs > timers.now() && timers.now() < lostAtMs) await delay(timers, Math.min(freeMs, lostAtMs) - timers.now())
    if (timers.now() < lostAtMs) {
      freeMs = timers.now() + transferMs
      await delay(timers, transferMs)
      return start(worker, order, timeoutMs)
    }
    return Result.err(new CallTimeoutError(timeoutMs, { step: 'worker.start', peer: worker.address, effect: EFFECTS.unknown }))
  }
}
