/**
 * Bounds the memory that the tasks of open workflows take in the process that schedules them.
 *
 * @module
 */

import type { WorkflowRuntime } from './workflowRuntime.js'
import type { EventLog } from '../utils/eventLog.js'

/** Memory of one task, in bytes, and the share of the heap that tasks may take. */
const TASK_BYTES = 512
const HEAP_SHARE = 1 / 4

/** Default for the number of tasks that may be loaded. */
const DEFAULT_MAX_TASKS = 100_000

/** Workflows of at most this many tasks are always loaded, so that a few large ones do not delay them. */
const SMALL_WORKFLOW_TASKS = 200

/** Number of tasks for which a process with a heap of this size has room. */
export function maxTasksOf (heapBytes: number): number {
  return Math.floor(heapBytes * HEAP_SHARE / TASK_BYTES)
}

/** Options of a {@link TaskBudget}. */
export interface TaskBudgetOptions {
  log: EventLog
  /** Number of tasks that may be loaded, except those of small workflows. */
  maxTasks?: number
}

/** Decides which occurrences of workflows are loaded with all their tasks. The others wait, in the order in which they came. */
export class TaskBudget {
  private readonly _log: EventLog
  private readonly _maxTasks: number
  private _loadedTasks = 0
  /** True when a large workflow waits in this pass: no large one that came later is loaded before it. */
  private _exhausted = false
  private readonly _deferred = new WeakSet<WorkflowRuntime>()

  constructor ({ log, maxTasks = DEFAULT_MAX_TASKS }: TaskBudgetOptions) {
    this._log = log
    this._maxTasks = maxTasks
  }

  /** Begins a placement pass over the open workflows. */
  startPass (open: Iterable<WorkflowRuntime>): void {
    this._loadedTasks = 0
    this._exhausted = false
    for (const workflow of open) this._loadedTasks += workflow.occurrences.size * workflow.tasksPerOccurrence
  }

  /** True when a further occurrence of the workflow may be loaded. A workflow that is larger than the budget is loaded alone. */
  mayLoad (workflow: WorkflowRuntime): boolean {
    const { tasksPerOccurrence: tasks } = workflow
    const isSmall = tasks <= SMALL_WORKFLOW_TASKS
    const fits = !this._exhausted && (this._loadedTasks === 0 || this._loadedTasks + tasks <= this._maxTasks)
    if (!isSmall && !fits) {
      this._exhausted = true
      this._noteDeferred(workflow)
      return false
    }
    this._loadedTasks += tasks
    return true
  }

  private _noteDeferred (workflow: WorkflowRuntime): void {
    if (this._deferred.has(workflow)) return
    this._deferred.add(workflow)
    this._log.event('info', 'workflow.deferred', {
      jobId: workflow.record.id, tasks: workflow.tasksPerOccurrence, loadedTasks: this._loadedTasks, maxTasks: this._maxTasks
    })
  }
}
