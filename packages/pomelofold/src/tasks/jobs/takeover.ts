/**
 * After a takeover, holds back jobs of earlier placers until it is certain where their tasks run.
 *
 * @module
 */

import type { Timers, TimerSubscription } from '../../seams/timers.js'
import type { Job } from './job.js'
import type { JobLifecycle } from './jobLifecycle.js'
import type { JobQueue } from './jobQueue.js'
import type { JobSettings } from './jobSettings.js'
import type { TaskLedger } from './taskLedger.js'
import type { WorkerLink } from './workerLink.js'

/** Lists of VMs to wait for, so that one of them was certainly requested after the takeover. One reading may deliver two. */
const MIN_VM_LISTS = 3

/** Options of a {@link Takeover}. */
export interface TakeoverOptions {
  timers: Timers
  cfg: JobSettings
  ledger: TaskLedger
  lifecycle: JobLifecycle
  queue: JobQueue
  links: ReadonlyMap<string, WorkerLink>
  schedulePass: () => void
}

/**
 * Holds the jobs that an earlier placer may have placed, so that none of their tasks starts a second time. A task may
 * still run on any worker that has not yet listed its tasks, until the task's lease has expired.
 */
export class Takeover {
  private readonly _ledger: TaskLedger
  private readonly _lifecycle: JobLifecycle
  private readonly _queue: JobQueue
  private readonly _links: ReadonlyMap<string, WorkerLink>
  private readonly _schedulePass: () => void
  private readonly _leasesEndTimer: TimerSubscription
  private _heldJobs: Job[] = []
  private _released = false
  private _vmListsRead = 0
  private _leasesEnded = false

  constructor ({ timers, cfg, ledger, lifecycle, queue, links, schedulePass }: TakeoverOptions) {
    this._ledger = ledger
    this._lifecycle = lifecycle
    this._queue = queue
    this._links = links
    this._schedulePass = schedulePass
    this._leasesEndTimer = timers.after(cfg.leaseMs + cfg.maxDeliveryMs, () => {
      this._leasesEnded = true
      this.releaseIfSafe()
    })
  }

  /** Holds jobs that an earlier placer may have placed. They are queued as soon as their missing tasks may start. */
  hold (jobs: Job[]): void {
    for (const job of jobs) {
      job.heldByTakeover = true
      this._heldJobs.push(job)
    }
    if (this._released) this._releaseAll()
  }

  /** Counts a list of VMs that has been read. */
  onVmListRead (): void {
    this._vmListsRead++
    this.releaseIfSafe()
  }

  /**
   * Releases the jobs once the list of VMs is current, or all leases of the earlier placer have expired, and each worker
   * has listed its tasks or lost their leases.
   */
  releaseIfSafe (): void {
    if (this._released) return
    if (this._vmListsRead < MIN_VM_LISTS && !this._leasesEnded) return this._setWaitingReason('waiting for a current list of workers')
    const unresolved = [...this._links.values()].filter(link => !link.tasksKnown).map(link => link.vm.name)
    if (unresolved.length > 0) return this._setWaitingReason(`no answer yet from ${unresolved.slice(0, 3).join(', ')}${unresolved.length > 3 ? ` and ${unresolved.length - 3} more` : ''}`)
    this._released = true
    this._releaseAll()
  }

  close (): void {
    this._leasesEndTimer.cancel()
  }

  private _releaseAll (): void {
    for (const job of this._heldJobs.splice(0)) this._release(job)
    this._schedulePass()
  }

  private _setWaitingReason (reason: string): void {
    for (const job of this._heldJobs) {
      if (job.waiting.size > 0) job.waitingFor = `takeover: a task started by the earlier placer may still run; ${reason}`
    }
  }

  private _release (job: Job): void {
    job.heldByTakeover = false
    job.waitingFor = undefined
    if (job.ended) return
    for (const index of [...job.intents.keys()]) {
      if (job.waiting.has(index)) this._lifecycle.settleAsUnknown(job, index)
    }
    this._lifecycle.endIfComplete(job)
    if (job.ended) return
    const isPartlyStarted = job.isGang && job.waiting.size > 0 && job.runs.size + job.finished.size > 0
    if (isPartlyStarted && !job.plan.atMostOnce) return this._lifecycle.restartGang(job, 'not all of its tasks were found after the takeover')
    if (job.waiting.size > 0) this._queue.add(job)
  }
}
