/**
 * Selects the tasks to start and their workers.
 *
 * Load pattern: more tasks are waiting than the workers have room for, from urgent and overnight queues. Steps
 * are placed in the order of their queue's priority, then of their submission. The eligibility service is queried
 * before a start, so that the start does not wait for its answer.
 *
 * @module
 */

import { CONFIRMED_OUTAGE_MS } from './cellSession.js'
import { workersToQuery } from './workersToQuery.js'
import { MAX_WORKERS_PER_CALL, type EligibilityCache } from './eligibilityCache.js'
import type { WorkerSpeedEstimator } from './workerSpeedEstimator.js'
import { reservedRoom, placeStep } from './stepPlacer.js'
import { findStragglers } from './stragglers.js'
import type { WorkerFleet } from './workerFleet.js'
import type { WorkerSession } from './workerSession.js'
import type { WorkerSuspensions } from './workerSuspensions.js'
import type { WorkflowRegistry } from './workflowRegistry.js'
import type { StepRuntime, Task, WorkflowRuntime } from './workflowRuntime.js'
import { formatStepName } from '../protocol/workflows.js'
import type { Timers } from '../seams/timers.js'
import type { CellConfig, QueueConfig } from '../seams/workflowUpstreams.js'

/** Size of the range of attempt numbers of a term. Each term has its own range, so that no two schedulers use the same number. */
const ATTEMPTS_PER_TERM = 1_000
/** Share of each worker's CPU that is reserved for urgent tasks, 0 to 1. */
const URGENT_CPU_SHARE = 0
/** Priority of urgent queues; larger numbers are less urgent. */
const URGENT_PRIORITY = 0

/** Options of a {@link Dispatcher}. */
export interface DispatcherOptions {
  epoch: number
  /** Number of the term; increases with each election. */
  term: number
  timers: Timers
  config: () => CellConfig | undefined
  registry: WorkflowRegistry
  fleet: WorkerFleet
  eligibility: EligibilityCache
  speedEstimator: WorkerSpeedEstimator
  suspensions: WorkerSuspensions
  /** Starts a task at a worker. */
  start: (task: Task, worker: WorkerSession, attempt: number, ticket: string | undefined) => void
}

/** Places the waiting tasks of all open workflows. */
export class Dispatcher {
  private readonly _options: DispatcherOptions
  private readonly _lastKnownQueues = new Map<string, QueueConfig>()
  /**
   * Time until which the earlier scheduler may start tasks at workers that have not received this epoch, in
   * milliseconds of the monotonic clock.
   */
  private _predecessorActiveUntilMs: number

  constructor (options: DispatcherOptions) {
    this._options = options
    this._predecessorActiveUntilMs = options.timers.now() + CONFIRMED_OUTAGE_MS
  }

  /** Called when the earlier scheduler has stopped sending orders to workers. */
  notePredecessorEnded (): void {
    this._predecessorActiveUntilMs = this._options.timers.now()
  }

  /** Configuration of the workflow's queue. When the current configuration lacks the queue, the last one that contained it. */
  queueOf ({ record }: WorkflowRuntime): QueueConfig | undefined {
    const queue = this._options.config()?.queues.get(record.queue)
    if (queue) this._lastKnownQueues.set(queue.name, queue)
    return queue ?? this._lastKnownQueues.get(record.queue)
  }

  /** Starts all tasks that can start now. */
  dispatch (): void {
    const { timers, fleet, registry, epoch } = this._options
    const wallClockMs = timers.wallClock()
    const nowMs = timers.now()
    const inheritanceSettled = fleet.inheritedWorkersSettled
    // The earlier scheduler may still start tasks of any workflow, new ones included, at workers that have not received this epoch.
    const predecessorStopped = inheritanceSettled || nowMs >= this._predecessorActiveUntilMs
    const steps: Array<{ step: StepRuntime, queue: QueueConfig }> = []
    for (const workflow of registry.open) {
      if (workflow.isOver) continue
      // Tasks that the earlier scheduler may have started at an unreachable worker wait, unless the step allows copies.
      const mayStartTasks = predecessorStopped && (inheritanceSettled || workflow.revision >= epoch)
      const queue = this.queueOf(workflow)
      if (!queue) continue
      for (const step of workflow.openSteps(wallClockMs)) {
        if (!mayStartTasks && !step.spec.speculative) continue
        step.readyMs ??= nowMs
        steps.push({ step, queue })
      }
    }
    steps.sort((a, b) => a.queue.priority - b.queue.priority || a.step.workflow.record.submittedAtMs - b.step.workflow.record.submittedAtMs)
    for (const { step, queue } of steps) this._dispatchStep(step, queue, nowMs)
  }

  private _dispatchStep (step: StepRuntime, queue: QueueConfig, nowMs: number): void {
    const tasks = [...step.waitingTasks(nowMs), ...findStragglers(step, nowMs)]
    const { spec } = step
    if (tasks.length === 0 || (spec.gang && tasks.length < step.tasks.length)) return
    const { fleet, eligibility, speedEstimator, start } = this._options
    const stepName = stepNameOf(step)
    const usable = [...fleet.sessions.values()].filter(worker => this._isUsable(worker, step, queue, nowMs))
    const workers = queue.eligibility ? usable.filter(worker => eligibility.ticket(stepName, worker.incarnation) !== undefined) : usable
    for (const task of tasks) if (workers.length > 0 && workers.every(worker => task.avoid?.has(worker.incarnation))) task.avoid = undefined
    const urgent = queue.priority === URGENT_PRIORITY
    const assignments = workers.length === 0
      ? []
      : placeStep({
        step, tasks, workers, urgent, slowness: worker => speedEstimator.slowness(worker.entry.labels), urgentCpuShare: URGENT_CPU_SHARE
      })
    const attempt = spec.gang ? this._nextAttempt(Math.max(...step.tasks.map(task => task.attempt))) : undefined
    for (const { task, worker } of assignments) {
      start(task, worker, attempt ?? this._nextAttempt(task.attempt), eligibility.ticket(stepName, worker.incarnation))
    }
    const unplacedCount = tasks.length - assignments.length
    if (queue.eligibility && unplacedCount > 0) this._queryEligibility(stepName, step, queue, { usable, tasks: unplacedCount })
  }

  private _isUsable (worker: WorkerSession, step: StepRuntime, queue: QueueConfig, nowMs: number): boolean {
    const { entry } = worker
    if (entry.service !== queue.service || entry.draining || !worker.listed || !worker.reachable || !worker.synced) return false
    if (worker.closed || worker.suspendedUntilMs > nowMs || this._options.suspensions.isSuspended(worker.incarnation)) return false
    const { requiredLabel } = step.spec
    return requiredLabel === '' || entry.labels.includes(requiredLabel)
  }

  /**
   * Queries the eligibility of workers with room for a step. Candidates are workers without an answer so far,
   * and eligible workers whose ticket has expired.
   */
  private _queryEligibility (
    stepName: string, step: StepRuntime, queue: QueueConfig, { usable, tasks }: { usable: WorkerSession[], tasks: number }
  ): void {
    const { eligibility, speedEstimator } = this._options
    if (eligibility.isQueryPending(stepName)) return
    const room = reservedRoom(step)
    const candidates = usable.filter(worker => {
      const isEligible = eligibility.isEligible(stepName, worker.incarnation)
      if (isEligible === undefined) return step.spec.size.memoryMb <= worker.entry.capacity.memoryMb
      return isEligible && worker.fits(room) && eligibility.ticket(stepName, worker.incarnation) === undefined
    })
    const candidatesWithRoom = candidates.filter(worker => worker.fits(room))
    if (candidatesWithRoom.length === 0) return
    const { baseMs, perWorkerMs } = queue.eligibility!
    const selected = workersToQuery({
      workers: candidatesWithRoom, tasks, slowness: worker => speedEstimator.slowness(worker.entry.labels), maxWorkers: MAX_WORKERS_PER_CALL
    })
    const workers = selected.map(worker => ({ id: worker.entry.id, incarnation: worker.incarnation }))
    eligibility.queryWorkers({ step: stepName, workers, priority: queue.priority, expectedMs: baseMs + perWorkerMs * workers.length })
  }

  /** Next attempt number after `attempt` that lies in this term's range or above. */
  private _nextAttempt (attempt: number): number {
    return Math.max(attempt, (this._options.term - 1) * ATTEMPTS_PER_TERM) + 1
  }
}

/** Name of a step in calls to the eligibility service. */
export function stepNameOf ({ workflow, occurrence, index }: StepRuntime): string {
  return formatStepName(workflow.record.id, occurrence, index)
}
