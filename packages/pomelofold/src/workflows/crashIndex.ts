/**
 * Tasks by the incarnation of a worker whose crash counts against them. An incarnation that answers again has not crashed.
 *
 * @module
 */

import type { Task } from './workflowRuntime.js'

/** A crash that counts against tasks. */
export interface IndexedCrash {
  readonly tasks: Set<Task>
  /** Time at which the crash was noticed, in milliseconds of the monotonic clock; an earlier scheduler's is before all times. */
  noticedMs: number
}

/** Finds the tasks that a crash counts against. */
export class CrashIndex {
  private readonly _crashes = new Map<string, IndexedCrash>()

  /** Adds a task that the crash of this incarnation counts against. */
  add (incarnation: string, task: Task, noticedMs = Number.NEGATIVE_INFINITY): void {
    const crash = this._crashes.get(incarnation) ?? { tasks: new Set<Task>(), noticedMs }
    this._crashes.set(incarnation, crash)
    crash.tasks.add(task)
    crash.noticedMs = Math.max(crash.noticedMs, noticedMs)
  }

  get (incarnation: string): IndexedCrash | undefined {
    return this._crashes.get(incarnation)
  }

  delete (incarnation: string): void {
    this._crashes.delete(incarnation)
  }

  /** Drops crashes that count against no task any more. */
  prune (): void {
    for (const [incarnation, { tasks }] of this._crashes) {
      for (const task of tasks) {
        if (task.step.workflow.isOver || !task.crashes.some(({ worker }) => worker === incarnation)) tasks.delete(task)
      }
      if (tasks.size === 0) this._crashes.delete(incarnation)
    }
  }
}
