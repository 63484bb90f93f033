/**
 * How long long-running tasks have been down, for the metrics.
 *
 * @module
 */

import { TASK_STATES, type Task, type WorkflowRuntime } from './workflowRuntime.js'
import type { Timers } from '../seams/timers.js'

/** Options of a {@link LongRunningDowntime}. */
export interface LongRunningDowntimeOptions {
  epoch: number
  timers: Timers
  /** Workflows that have not ended. */
  open: () => Iterable<WorkflowRuntime>
  /** Called with the time for which a long-running task was down, in milliseconds, when it is started. */
  onRestart: (downMs: number) => void
}

/**
 * Measures how long long-running tasks that may have run before have no run that this scheduler knows. The time counts from the
 * end of the last run that it has seen, else from its first placement pass: an earlier end is not known to it.
 */
export class LongRunningDowntime {
  private readonly _options: LongRunningDowntimeOptions

  constructor (options: LongRunningDowntimeOptions) {
    this._options = options
  }

  /** Longest time for which such a task has been down, in milliseconds; 0 for none. */
  get longestMs (): number {
    let longestMs = 0
    for (const workflow of this._options.open()) {
      for (const steps of workflow.occurrences.values()) {
        for (const step of steps) {
          if (!step.spec.longRunning) continue
          for (const task of step.tasks) longestMs = Math.max(longestMs, this._downMs(task) ?? 0)
        }
      }
    }
    return Math.round(longestMs)
  }

  /** Called before a task is started. */
  noteStart (task: Task): void {
    const downMs = this._downMs(task)
    if (downMs !== undefined) this._options.onRestart(downMs)
  }

  /** Time for which the task has been down; undefined when it has a run, has never had one, or is not long-running. */
  private _downMs (task: Task): number | undefined {
    const { step } = task
    if (!step.spec.longRunning || task.run || task.state !== TASK_STATES.waiting) return
    const mayHaveRun = task.waitingSinceMs !== undefined || step.workflow.revision < this._options.epoch
    if (!mayHaveRun || step.readyMs === undefined) return
    return step.waitOf(task, this._options.timers.now())
  }
}
