/**
 * Measures on which kinds of work a term spends its processor time, for the metrics and one line in the log every 10 s.
 *
 * Load pattern: bursts in which the scheduler has more work than its processor allows. Each kind of work is counted with its
 * time; timers that fire late show how long other work had to wait.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Kinds of work that are measured. */
export const WORK_KINDS = {
  /** Placement passes. */
  pass: 'pass',
  /** Reports of workers. */
  report: 'report',
  /** Progress of workflows that is prepared for a write. */
  record: 'record'
} as const

/** One of {@link WORK_KINDS}. */
export type WorkKind = typeof WORK_KINDS[keyof typeof WORK_KINDS]

/** Time between two lines in the log, in milliseconds. */
const LOG_PERIOD_MS = 10_000

interface Work {
  count: number
  totalMs: number
  /** Longest single piece since the last line, in milliseconds. */
  longestMs: number
}

/** Counts work by kind. */
export class WorkMeter {
  private readonly _options: { timers: Timers, log: EventLog }
  private readonly _work = Object.fromEntries(
    Object.values(WORK_KINDS).map(kind => [kind, { count: 0, totalMs: 0, longestMs: 0 }])
  ) as Record<WorkKind, Work>

  private _lastTickMs: number | undefined
  private _lateMs = 0
  private _latestTickMs = 0
  private _lineMs: number
  /** Counts and times at the last line. */
  private _atLine: Record<string, number> = {}

  constructor (options: { timers: Timers, log: EventLog }) {
    this._options = options
    this._lineMs = options.timers.now()
  }

  /** Does a piece of work, which must be synchronous, and measures it. */
  measure<T> (kind: WorkKind, work: () => T): T {
    const { timers } = this._options
    const startedMs = timers.now()
    const result = work()
    const tookMs = timers.now() - startedMs
    const sum = this._work[kind]
    sum.count++
    sum.totalMs += tookMs
    sum.longestMs = Math.max(sum.longestMs, tookMs)
    return result
  }

  /** Called by a timer with a period of `periodMs`. Notes how late it is, and writes a line when one is due. */
  noteTick (periodMs: number): void {
    const nowMs = this._options.timers.now()
    if (this._lastTickMs !== undefined) {
      const lateMs = Math.max(0, nowMs - this._lastTickMs - periodMs)
      this._lateMs += lateMs
      this._latestTickMs = Math.max(this._latestTickMs, lateMs)
    }
    this._lastTickMs = nowMs
    if (nowMs - this._lineMs >= LOG_PERIOD_MS) this._writeLine(nowMs)
  }

  /** Counts since the start of the term, and times in milliseconds. */
  get figures (): Record<string, number> {
    const figures: Record<string, number> = { timersLateMs: Math.round(this._lateMs) }
    for (const [kind, { count, totalMs }] of Object.entries(this._work)) {
      figures[`${kind}Count`] = count
      figures[`${kind}Ms`] = Math.round(totalMs)
    }
    return figures
  }

  private _writeLine (nowMs: number): void {
    const { figures } = this
    const since = Object.entries(figures).map(([name, value]) => [name, value - (this._atLine[name] ?? 0)])
    const longest = Object.entries(this._work).map(([kind, { longestMs }]) => [`${kind}LongestMs`, Math.round(longestMs)])
    this._options.log.event('info', 'term.work', {
      periodMs: Math.round(nowMs - this._lineMs),
      ...Object.fromEntries([...since, ...longest]),
      timerLatestMs: Math.round(this._latestTickMs)
    })
    this._lineMs = nowMs
    this._atLine = figures
    this._latestTickMs = 0
    for (const work of Object.values(this._work)) work.longestMs = 0
  }
}
