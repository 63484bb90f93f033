/**
 * Reports why tasks wait, in the log and in counts for the metrics.
 *
 * @module
 */

import type { StepRuntime } from './workflowRuntime.js'
import type { Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Reasons for which tasks of a step wait, although the step's predecessors are done. */
export const WAIT_CAUSES = {
  /** An earlier scheduler may still run the tasks, or start them. */
  predecessor: 'predecessor',
  /** Earlier runs of members of the gang have not ended. */
  gangEnding: 'gang-ending',
  /** The workflow's team has as much running as its cap allows, or may have. */
  cap: 'cap',
  /** Tasks that are suspected of crashing their workers wait for a worker to be tried on. */
  trial: 'trial',
  /** No worker of the service with the required label can be used. */
  noWorker: 'no-worker',
  /** No usable worker has room for a task. */
  noRoom: 'no-room',
  /** There is room only on workers on which the tasks have failed or stalled, and which they do not use yet. */
  avoided: 'avoided',
  /** There is room for fewer tasks than the gang has, or for fewer tasks of the step than wait. */
  tooLittleRoom: 'too-little-room',
  /** The free room is claimed by steps that come first. */
  roomClaimed: 'room-claimed',
  /** None of the workers with room may run the step. */
  notEligible: 'not-eligible',
  /** A query of the eligibility service is in progress. */
  eligibilityPending: 'eligibility-pending',
  /** No daemon is free for a query of the eligibility service. */
  eligibilityBusy: 'eligibility-busy'
} as const

/** One of {@link WAIT_CAUSES}. */
export type WaitCause = typeof WAIT_CAUSES[keyof typeof WAIT_CAUSES]

/** Time between two lines about the same step, in milliseconds. */
const REPEAT_MS = 5_000
/** Length of the periods for which the number of lines is limited, in milliseconds. */
const PERIOD_MS = 1_000
/** Maximum number of lines in a period. */
const MAX_LINES = 20

/** A step whose tasks wait. */
export interface WaitingStep {
  step: StepRuntime
  queue: string
  /** Wait from which a line is written, in milliseconds. */
  objectiveMs: number
  /** Number of tasks that wait. */
  tasks: number
  /** Longest wait of one of them, in milliseconds. */
  waitedMs: number
  /** Cause and counts of workers; called only for steps that are reported. */
  explain: () => { cause: WaitCause, [count: string]: string | number }
}

/** Writes a line for each step that waits longer than its objective, and counts waiting steps by cause. */
export class WaitReporter {
  private readonly _options: { timers: Timers, log: EventLog }
  private readonly _reportedMs = new WeakMap<StepRuntime, number>()
  private _periodStartMs = Number.NEGATIVE_INFINITY
  private _lines = 0
  private _omitted = 0
  private _counts: Partial<Record<WaitCause, number>> = {}
  private _nextCounts: Partial<Record<WaitCause, number>> = {}

  constructor (options: { timers: Timers, log: EventLog }) {
    this._options = options
  }

  /** Number of reported steps by cause, in the last complete period. */
  get counts (): Partial<Record<WaitCause, number>> {
    return this._counts
  }

  /** True when a step that has waited for at most `waitedMs` may be reported. */
  isDue (step: StepRuntime, { objectiveMs, waitedMs }: Pick<WaitingStep, 'objectiveMs' | 'waitedMs'>): boolean {
    return waitedMs > objectiveMs && this._options.timers.now() - (this._reportedMs.get(step) ?? Number.NEGATIVE_INFINITY) >= REPEAT_MS
  }

  /** Reports the step if it has waited for longer than its objective and was not reported lately. */
  note ({ step, queue, objectiveMs, tasks, waitedMs, explain }: WaitingStep): void {
    const { timers, log } = this._options
    const nowMs = timers.now()
    if (!this.isDue(step, { objectiveMs, waitedMs })) return
    this._startPeriod(nowMs)
    this._reportedMs.set(step, nowMs)
    const { cause, ...counts } = explain()
    this._nextCounts[cause] = (this._nextCounts[cause] ?? 0) + 1
    if (this._lines === MAX_LINES) {
      this._omitted++
      return
    }
    this._lines++
    log.event('info', 'step.waiting', { task: step.name, queue, cause, tasks, waitedMs: Math.round(waitedMs), ...counts })
  }

  private _startPeriod (nowMs: number): void {
    if (nowMs - this._periodStartMs < PERIOD_MS) return
    if (this._omitted) this._options.log.event('info', 'step.waiting.omitted', { lines: this._omitted })
    this._counts = this._nextCounts
    this._nextCounts = {}
    this._periodStartMs = nowMs
    this._lines = 0
    this._omitted = 0
  }
}
