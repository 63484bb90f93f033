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
const LISTS_NEEDED = 3

/** Options of a {@link Takeover}. */
export interface TakeoverOptions {
  timers: Timers
  cfg: JobSettings
  ledger: TaskLedger
  lifecycle: JobLifecycle
  queue: JobQueue
  links: ReadonlyMap<string, WorkerLink>
  wake: () => void
}

/** Jobs found in the platform's service when the claim was taken. */
export class Takeover {
  private readonly _ledger: TaskLedger
  private readonly _lifecycle: JobLifecycle
  private readonly _queue: JobQueue
  private readonly _links: ReadonlyMap<string, WorkerLink>
  private readonly _wake: () => void
  private readonly _deadline: TimerSubscription
  private _held: Job[] = []
  private _released = false
  private _listsRead = 0
  private _leasesEnded = false

  constructor ({ timers, cfg, ledger, lifecycle, queue, links, wake }: TakeoverOptions) {
    this._ledger = ledger
    this._lifecycle = lifecycle
    this._queue = queue
    this._links = links
    this._wake = wake
    this._deadline = timers.after(cfg.leaseMs + cfg.sendBoundMs, () => {
      this._leasesEnded = true
      this.check()
    })
  }

  /** Queues jobs that an earlier placer may have known, as soon as their missing tasks may be placed. */
  admit (jobs: Job[]): void {
    for (const job of jobs) {
      job.held = true
      this._held.push(job)
    }
    if (this._released) this._releaseAll()
  }

  /** The list of VMs has been read. */
  listRead (): void {
    this._listsRead++
    this.check()
  }

  /** Releases the jobs once every worker's list is known or its leases have ended. */
  check (): void {
    if (this._released) return
    if (this._listsRead < LISTS_NEEDED && !this._leasesEnded) return this._explain('the list of workers is read again')
    const silent = [...this._links.values()].filter(link => !link.resolved).map(link => link.vm.name)
    if (silent.length > 0) return this._explain(`no answer yet from ${silent.slice(0, 3).join(', ')}${silent.length > 3 ? ` and ${silent.length - 3} more` : ''}`)
    this._released = true
    this._releaseAll()
  }

  close (): void {
    this._deadline.cancel()
  }

  private _releaseAll (): void {
    for (const job of this._held.splice(0)) this._release(job)
    this._wake()
  }

  private _explain (reason: string): void {
    for (const job of this._held) {
      if (job.waiting.size > 0) job.waitingFor = `takeover: a task may still run at an earlier worker; ${reason}`
    }
  }

  private _release (job: Job): void {
    job.held = false
    job.waitingFor = undefined
    if (job.ended) return
    for (const index of [...job.intents.keys()]) {
      if (job.waiting.has(index)) this._lifecycle.outcomeUnknown(job, index)
    }
    this._lifecycle.endIfComplete(job)
    if (job.ended) return
    const partial = job.isGang && job.waiting.size > 0 && job.runs.size + job.finished.size > 0
    if (partial && !job.plan.atMostOnce) return this._lifecycle.regroup(job, 'not all of its tasks were found')
    if (job.waiting.size > 0) this._queue.add(job)
  }
}
