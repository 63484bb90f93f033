/**
 * Runs whose start may have been, or may be, carried out by the next life of their worker.
 *
 * Load pattern: workers that crash and come back under their id while starts are on their way to them. The
 * next life has seen no order, and obeys a start that was meant for the former one; it may answer it, too. The
 * task is not started elsewhere before the next life has listed the run or has been told to refuse its start.
 *
 * @module
 */

import type { RunHost } from './runHost.js'
import { RUN_STATES, type Run } from './workflowRuntime.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Time for which the next life is waited for, in milliseconds: the longest that a worker carries out an order late. */
const MAX_ORDER_DELAY_MS = 12_000

/** Options of {@link LateStartTracker}. */
export interface LateStartTrackerOptions {
  timers: Timers
  log: EventLog
  /** Called when no next life has been found in time. */
  onLost: (run: Run, reason: string) => void
}

/** Keeps such runs until the next life of their worker answers. */
export class LateStartTracker {
  private readonly _options: LateStartTrackerOptions
  /** By the id of the worker. */
  private readonly _heldRuns = new Map<string, Map<Run, TimerSubscription>>()

  constructor (options: LateStartTrackerOptions) {
    this._options = options
  }

  close (): void {
    for (const runs of this._heldRuns.values()) for (const timer of runs.values()) timer.cancel()
    this._heldRuns.clear()
  }

  /** Keeps a run when its start may still be carried out. Returns whether it is kept. */
  hold (run: Run): boolean {
    const { state, startUnanswered, startConfirmedMs, session } = run
    // A start that was answered before this life was heard of last was carried out by this life.
    const startConfirmed = state !== RUN_STATES.starting && !startUnanswered &&
      startConfirmedMs !== undefined && startConfirmedMs < session.lastReportAskedMs
    if (startConfirmed) return false
    const { timers, log, onLost } = this._options
    const { id } = session.entry
    const runs = this._heldRuns.get(id) ?? new Map<Run, TimerSubscription>()
    this._heldRuns.set(id, runs)
    run.state = RUN_STATES.stopping
    runs.set(run, timers.after(MAX_ORDER_DELAY_MS, () => {
      runs.delete(run)
      onLost(run, 'its worker has no next life')
    }))
    log.event('warn', 'run.held', { task: run.name, attempt: run.attempt, worker: id, reason: 'its start may have reached the next life of its worker' })
    return true
  }

  /** Gives the runs that are kept for a worker to its next life. */
  takeHeldRuns (session: RunHost): Run[] {
    const runs = this._heldRuns.get(session.entry.id)
    if (!runs || [...runs.keys()].some(run => run.session === session)) return []
    this._heldRuns.delete(session.entry.id)
    for (const timer of runs.values()) timer.cancel()
    return [...runs.keys()]
  }
}
