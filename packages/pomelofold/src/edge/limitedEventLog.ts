/**
 * Log for events that callers cause, which must not become a load when there are many.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { EventFields, EventLog, LogLevel } from '../utils/eventLog.js'

/** Options of a {@link LimitedEventLog}. */
export interface LimitedEventLogOptions {
  timers: Timers
  log: EventLog
  /** Maximum number of events of one name in a period. */
  maxEvents?: number
  periodMs?: number
}

/** Passes on the first events of each name in a period. The number of further ones is logged as `events.omitted` at its end. */
export class LimitedEventLog implements EventLog {
  private readonly _options: Required<LimitedEventLogOptions>
  /** Number of events in the current period, by name. */
  private readonly _counts = new Map<string, number>()

  constructor ({ maxEvents = 100, periodMs = 1_000, ...options }: LimitedEventLogOptions) {
    this._options = { maxEvents, periodMs, ...options }
  }

  event (level: LogLevel, name: string, fields?: EventFields): void {
    const { timers, log, maxEvents, periodMs } = this._options
    const count = (this._counts.get(name) ?? 0) + 1
    this._counts.set(name, count)
    if (count === 1) timers.after(periodMs, () => this._endPeriod(name))
    if (count <= maxEvents) log.event(level, name, fields)
  }

  private _endPeriod (name: string): void {
    const { log, maxEvents, periodMs } = this._options
    const omitted = this._counts.get(name)! - maxEvents
    this._counts.delete(name)
    if (omitted > 0) log.event('warn', 'events.omitted', { name, omitted, periodMs })
  }
}
