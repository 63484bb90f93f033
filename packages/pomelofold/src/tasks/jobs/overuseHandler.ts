/**
 * Acts on workers whose tasks use more than they declared.
 *
 * @module
 */

import { RUN_STATES, type TaskRun } from './job.js'
import { CLASS_ORDER } from './jobQueue.js'
import type { Preemption } from './preemption.js'
import type { TaskLedger } from './taskLedger.js'
import type { UsageEstimator } from './usageEstimator.js'
import type { WorkerLink } from './workerLink.js'
import type { Capacity } from '../../protocol/vms.js'
import type { WorkerReport, WorkerTask } from '../../protocol/worker.js'

/** A run with what it uses. */
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

/** Learns from usage, and relieves a worker that is beyond its room, the least urgent class first: throttle, checkpoint, stop. */
export class OveruseHandler {
  private readonly _ledger: TaskLedger
  private readonly _usage: UsageEstimator
  private readonly _preemption: Preemption

  constructor ({ ledger, usage, preemption }: OveruseHandlerOptions) {
    this._ledger = ledger
    this._usage = usage
    this._preemption = preemption
  }

  /** Takes in the usage of a report. Polls again soon while the worker is beyond its room. */
  onReport (link: WorkerLink, { tasks, capacity }: WorkerReport, nextLookMs: number): void {
    for (const task of tasks) this._recordUsage(task)
    const uses = [...this._ledger.runsAt(link.vm.name)].map(run => ({ run, usage: run.usage })).filter(hasUsage)
    const over: Capacity = { cpus: -capacity.cpus, memoryMb: -capacity.memoryMb, accelerators: 0 }
    for (const { usage } of uses) addScaled(over, usage, 1)
    if (over.cpus <= 0 && over.memoryMb <= 0) return
    const leastUrgentFirst = uses.sort((a, b) => classRank(b.run) - classRank(a.run) || excess(b) - excess(a))
    if (!this._throttle(link, leastUrgentFirst)) this._evictUntilFits(leastUrgentFirst, over)
    link.pollAt(nextLookMs)
  }

  /** Counts a task with what it uses when that is more than planned. */
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

  /** Throttles what exceeds its declaration in the least urgent class that has such. False when none is left. */
  private _throttle (link: WorkerLink, uses: RunUsage[]): boolean {
    const candidates = uses.filter(use => !use.run.throttled && excess(use) > 0)
    const chosen = candidates.filter(({ run }) => classRank(run) === classRank(candidates[0].run))
    for (const { run } of chosen) {
      run.throttled = true
      link.command(run.taskId, 'throttle')
    }
    return chosen.length > 0
  }

  /** Checkpoints and stops tasks until the rest fits. */
  private _evictUntilFits (uses: RunUsage[], over: Capacity): void {
    for (const { run, usage } of uses) {
      if (over.cpus <= 0 && over.memoryMb <= 0) return
      if (run.job?.plan.atMostOnce) continue
      this._preemption.evict(run, 'relieve an overfull worker')
      addScaled(over, usage, -1)
    }
  }
}

function hasUsage (use: { run: TaskRun, usage?: Capacity }): use is RunUsage {
  return use.usage !== undefined && use.run.state !== RUN_STATES.stopping
}

function classRank (run: TaskRun): number {
  return run.job ? CLASS_ORDER.indexOf(run.job.plan.class) : 0
}

/** Usage beyond what was declared, as a share. */
function excess ({ run, usage }: RunUsage): number {
  const declared = run.job?.groupOf(run.index).size
  return declared ? Math.max(usage.cpus / declared.cpus, usage.memoryMb / declared.memoryMb) - 1 : 0
}

function addScaled (sum: Capacity, size: Capacity, sign: number): void {
  sum.cpus += sign * size.cpus
  sum.memoryMb += sign * size.memoryMb
}
