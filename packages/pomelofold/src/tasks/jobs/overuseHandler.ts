/**
 * Handles workers whose tasks use more than the worker's capacity.
 *
 * @module
 */

import { RUN_STATES, type TaskRun } from './job.js'
import { JOB_CLASSES_BY_URGENCY } from './jobQueue.js'
import type { Preemption } from './preemption.js'
import type { TaskLedger } from './taskLedger.js'
import type { UsageEstimator } from './usageEstimator.js'
import type { WorkerLink } from './workerLink.js'
import type { Capacity } from '../../protocol/vms.js'
import type { WorkerReport, WorkerTask } from '../../protocol/worker.js'

/** A run with its reported usage. */
interface RunUsage {
  run: TaskRun
  usage: Capacity
}

/** Options of an {@link OveruseHandler}. */
export interface OveruseHandlerOptions {
  ledger: TaskLedger
  usage: UsageEstimator
  preemption: Preemption
}

/**
 * Records reported usage. When the tasks of a worker use more than its capacity, throttles tasks that exceed their
 * declared size, and when none is left, checkpoints and stops tasks. The least urgent class comes first.
 */
export class OveruseHandler {
  private readonly _ledger: TaskLedger
  private readonly _usage: UsageEstimator
  private readonly _preemption: Preemption

  constructor ({ ledger, usage, preemption }: OveruseHandlerOptions) {
    this._ledger = ledger
    this._usage = usage
    this._preemption = preemption
  }

  /** Records the usage in a report. Polls the worker again at `recheckMs` while its tasks use more than its capacity. */
  onReport (link: WorkerLink, { tasks, capacity }: WorkerReport, recheckMs: number): void {
    for (const task of tasks) this._recordUsage(task)
    const uses = [...this._ledger.runsAt(link.vm.name)].map(run => ({ run, usage: run.usage })).filter(hasUsage)
    const aboveCapacity: Capacity = { cpus: -capacity.cpus, memoryMb: -capacity.memoryMb, accelerators: 0 }
    for (const { usage } of uses) addScaled(aboveCapacity, usage, 1)
    if (aboveCapacity.cpus <= 0 && aboveCapacity.memoryMb <= 0) return
    const leastUrgentFirst = uses.sort((a, b) => classRank(b.run) - classRank(a.run) || excess(b) - excess(a))
    if (!this._throttle(link, leastUrgentFirst)) this._evictUntilFits(leastUrgentFirst, aboveCapacity)
    link.pollAt(recheckMs)
  }

  /** Records the usage of a task, and raises the size it counts with when it uses more than planned. */
  private _recordUsage ({ taskId, usage }: WorkerTask): void {
    const run = this._ledger.runs.get(taskId)
    if (!run?.job || !usage) return
    run.usage = usage
    const declared = run.job.groupOf(run.index).size
    if (!run.throttled) this._usage.observe(run.job.plan.family, declared, usage)
    const { cpus, memoryMb, accelerators } = run.size
    const size = { cpus: Math.max(cpus, usage.cpus), memoryMb: Math.max(memoryMb, usage.memoryMb), accelerators }
    if (size.cpus > cpus || size.memoryMb > memoryMb) this._ledger.resize(run, size)
  }

  /** Throttles the tasks above their declared size in the least urgent class that has any. Returns false when there are none. */
  private _throttle (link: WorkerLink, uses: RunUsage[]): boolean {
    const candidates = uses.filter(use => !use.run.throttled && excess(use) > 0)
    const chosen = candidates.filter(({ run }) => classRank(run) === classRank(candidates[0].run))
    for (const { run } of chosen) {
      run.throttled = true
      link.command(run.taskId, 'throttle')
    }
    return chosen.length > 0
  }

  /** Checkpoints and stops tasks until the remaining ones fit. */
  private _evictUntilFits (uses: RunUsage[], aboveCapacity: Capacity): void {
    for (const { run, usage } of uses) {
      if (aboveCapacity.cpus <= 0 && aboveCapacity.memoryMb <= 0) return
      if (run.job?.plan.atMostOnce) continue
      this._preemption.evict(run, 'tasks at the worker use more than its capacity')
      addScaled(aboveCapacity, usage, -1)
    }
  }
}

function hasUsage (use: { run: TaskRun, usage?: Capacity }): use is RunUsage {
  return use.usage !== undefined && use.run.state !== RUN_STATES.stopping
}

function classRank (run: TaskRun): number {
  return run.job ? JOB_CLASSES_BY_URGENCY.indexOf(run.job.plan.class) : 0
}

/** Usage above the declared size, as a share of that size; the larger one of cores and memory. */
function excess ({ run, usage }: RunUsage): number {
  const declared = run.job?.groupOf(run.index).size
  return declared ? Math.max(usage.cpus / declared.cpus, usage.memoryMb / declared.memoryMb) - 1 : 0
}

function addScaled (sum: Capacity, size: Capacity, sign: number): void {
  sum.cpus += sign * size.cpus
  sum.memoryMb += sign * size.memoryMb
}
