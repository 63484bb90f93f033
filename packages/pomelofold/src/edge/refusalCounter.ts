/**
 * Counts refused callers, and logs them without a line for each.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Period of the lines about a cause that goes on, in milliseconds. */
const LOG_PERIOD_MS = 10_000

/** Why a server has refused a request or closed a connection. */
export const CALLER_REFUSALS = {
  /** The body of a request is larger than the limit. */
  bodyTooLarge: 'body-too-large',
  /** There was no room for a request or its body. */
  noRoom: 'no-room',
  /** A connection was closed to make room for others. */
  closedForMemory: 'closed-for-memory',
  /** A connection was closed, or a new one refused, at the maximum number of connections. */
  closedForConnections: 'closed-for-connections',
  /** A request has no `host` header, or an unknown `expect` header. */
  invalidHeader: 'invalid-header',
  /** The input is not HTTP, its header is too large, or it did not come in time. */
  unparsable: 'unparsable'
} as const

/** One of {@link CALLER_REFUSALS}. */
export type CallerRefusal = typeof CALLER_REFUSALS[keyof typeof CALLER_REFUSALS]

/** Options of a {@link RefusalCounter}. */
export interface RefusalCounterOptions {
  timers: Timers
  log: EventLog
  /** Name of the logged event. */
  event?: string
  /** Address of the server, for the log. */
  address: string
}

/** Logs the first refusal of each cause at once, and the number of further ones after each period. */
export class RefusalCounter<Cause extends string = CallerRefusal> {
  private readonly _options: Required<RefusalCounterOptions>
  private readonly _totals = new Map<Cause, number>()
  private readonly _loggedTotals = new Map<Cause, number>()
  /** Causes in whose current period a line has been written. */
  private readonly _active = new Set<Cause>()

  constructor ({ event = 'http.refused', ...options }: RefusalCounterOptions) {
    this._options = { event, ...options }
  }

  /** Number of refusals by cause. */
  get totals (): ReadonlyMap<Cause, number> {
    return this._totals
  }

  /** Counts a refusal. */
  count (cause: Cause): void {
    this._totals.set(cause, (this._totals.get(cause) ?? 0) + 1)
    if (!this._active.has(cause)) this._logNew(cause)
  }

  private _logNew (cause: Cause): void {
    const { timers, log, event, address } = this._options
    const total = this._totals.get(cause)!
    const count = total - (this._loggedTotals.get(cause) ?? 0)
    if (count === 0) {
      this._active.delete(cause)
      return
    }
    log.event('warn', event, { address, cause, count, total })
    this._active.add(cause)
    this._loggedTotals.set(cause, total)
    timers.after(LOG_PERIOD_MS, () => this._logNew(cause))
  }
}
