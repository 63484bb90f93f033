/**
 * Holds runs whose start may be carried out by the next incarnation of their worker.
 *
 * Load pattern: workers that crash and restart under the same id while starts are in transit. The next incarnation
 * has received no order yet, so it carries out and may even answer a start that was sent to the previous one. The
 * task is not started elsewhere until the next incarnation has listed the run or has received a stop for it, after
 * which it refuses the start.
 *
 * @module
 */

import type { RunHost } from './runHost.js'
import { RUN_STATES, type Run } from './workflowRuntime.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Maximum time to wait for the next incarnation, in milliseconds: the longest delay with which a worker carries out an order. */
const MAX_ORDER_DELAY_MS = 12_000

/** Options of {@link LateStartTracker}. */
export interface LateStartTrackerOptions {
  timers: Timers
  log: EventLog
  /** Called when the next incarnation has not reported within MAX_ORDER_DELAY_MS. */
  onLost: (run: Run, reason: string) => void
}

/** Holds such runs until the next incarnation of their worker reports, for at most MAX_ORDER_DELAY_MS. */
export class LateStartTracker {
  private readonly _options: LateStartTrackerOptions
  /** Held runs with their timeouts, by worker id. */
  private readonly _heldRuns = new Map<string, Map<Run, TimerSubscription>>()

  constructor (options: LateStartTrackerOptions) {
    this._options = options
  }

  close (): void {
    for (const runs of this._heldRuns.values()) for (const timer of runs.values()) timer.cancel()
    this._heldRuns.clear()
  }

  /** Holds a run if its start may still be carried out. Returns true if the run is held. */
  hold (run: Run): boolean {
    const { state, unansweredMs, startConfirmedMs, session } = run
    // The run's own incarnation has carried out the start if the start was confirmed before its last report was requested.
    const startConfirmed = state !== RUN_STATES.starting && unansweredMs === undefined &&
      startConfirmedMs !== undefined && startConfirmedMs < session.lastReportRequestSentMs
    if (startConfirmed) return false
    const { timers, log, onLost } = this._options
    const { id } = session.entry
    const runs = this._heldRuns.get(id) ?? new Map<Run, TimerSubscription>()
    this._heldRuns.set(id, runs)
    run.state = RUN_STATES.stopping
    runs.set(run, timers.after(MAX_ORDER_DELAY_MS, () => {
      runs.delete(run)
      onLost(run, 'no next incarnation of its worker reported')
    }))
    log.event('warn', 'run.held', { task: run.name, attempt: run.attempt, worker: id, reason: 'its start may have reached the next incarnation of its worker' })
    return true
  }

  /** Removes and returns the runs that are held for the worker. Returns none to the incarnation that they were started on. */
  takeHeldRuns (session: RunHost): Run[] {
    const runs = this._heldRuns.get(session.entry.id)
    if (!runs || [...runs.keys()].some(run => run.session === session)) return []
    this._heldRuns.delete(session.entry.id)
    for (const timer of runs.values()) timer.cancel()
    return [...runs.keys()]
  }
}
