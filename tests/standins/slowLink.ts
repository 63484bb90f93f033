/**
 * Passes the calls of a client under test through a link of limited bandwidth.
 *
 * @module
 */

import Result from 'true-myth/result'
import { delay, type Timers } from 'pomelofold/seams/timers'
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
