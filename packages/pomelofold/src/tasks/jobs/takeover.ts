/**
 * Holds back the tasks of earlier placers until it is certain where they run.
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

/** Lists of VMs until one has surely been asked for after the takeover; one reading may deliver two. */
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

/** Jobs found in the platform's service when the claim was taken. */
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

  /** Queues jobs that an earlier placer may have known, as soon as their missing tasks may be placed. */
  hold (jobs: Job[]): void {
    for (const job of jobs) {
      job.heldByTakeover = true
      this._heldJobs.push(job)
    }
    if (this._released) this._releaseAll()
  }

  /** The list of VMs has been read. */
  onVmListRead (): void {
    this._vmListsRead++
    this.releaseIfSafe()
  }

  /** Releases the jobs once every worker's list is known or its leases have ended. */
  releaseIfSafe (): void {
    if (this._released) return
    if (this._vmListsRead < MIN_VM_LISTS && !this._leasesEnded) return this._setWaitingReason('the list of workers is read again')
    const silent = [...this._links.values()].filter(link => !link.tasksKnown).map(link => link.vm.name)
    if (silent.length > 0) return this._setWaitingReason(`no answer yet from ${silent.slice(0, 3).join(', ')}${silent.length > 3 ? ` and ${silent.length - 3} more` : ''}`)
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
      if (job.waiting.size > 0) job.waitingFor = `takeover: a task may still run at an earlier worker; ${reason}`
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
    const partial = job.isGang && job.waiting.size > 0 && job.runs.size + job.finished.size > 0
    if (partial && !job.plan.atMostOnce) return this._lifecycle.restartGang(job, 'not all of its tasks were found')
    if (job.waiting.size > 0) this._queue.add(job)
  }
}
