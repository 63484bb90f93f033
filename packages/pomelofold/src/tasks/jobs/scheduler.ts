/**
 * Scheduling passes: place waiting tasks on workers in the order of the job queue.
 *
 * @module
 */

import type { Timers } from '../../seams/timers.js'
import type { Capacity } from '../../protocol/vms.js'
import { PLACEMENT_REFUSALS, type PlacementRefusal, type Placement } from '../placementTypes.js'
import type { CrashTrials } from './crashTrials.js'
import { RUN_STATES, type Job, type TaskRun } from './job.js'
import type { JobLifecycle } from './jobLifecycle.js'
import { OFFER_OUTCOMES, type OfferOutcome, type JobQueue } from './jobQueue.js'
import type { JobStore } from './jobStore.js'
import type { TaskLedger } from './taskLedger.js'
import type { UsageEstimator } from './usageEstimator.js'
import type { WorkerLink } from './workerLink.js'

/** Most tasks of one job that are placed before the queue compares the teams again. */
const MAX_TASKS_PER_OFFER = 16
/** The limits per pass keep one pass short, since it runs synchronously. */
const MAX_PLACEMENTS_PER_PASS = 500
const MAX_REFUSALS_PER_PASS = 300
const MAX_STOPS_PER_PASS = 500
/** Most failed placements remembered during one pass, so that tasks of the same size or larger are not tried again. */
const MAX_REMEMBERED_REFUSALS = 32

/** Options of a {@link Scheduler}. */
export interface SchedulerOptions {
  timers: Timers
  passDelayMs: number
  placement: Placement
  ledger: TaskLedger
  queue: JobQueue
  lifecycle: JobLifecycle
  store: JobStore
  crashTrials: CrashTrials
  usage: UsageEstimator
  links: ReadonlyMap<string, WorkerLink>
  /** Share of its quota that a team uses. */
  quotaUsageOf: (team: string) => number
  /** Called when there is no room for a task. May make room by preempting less urgent tasks. */
  onNoRoom: (job: Job, size: Capacity) => void
}

/** A task size whose placement was refused in this pass. */
interface RememberedRefusal {
  kind: string
  team: string
  size: Capacity
  refusal: PlacementRefusal
}

/** Runs scheduling passes on request. Each pass stops runs of ended jobs and places waiting tasks, up to fixed limits. */
export class Scheduler {
  private readonly _timers: Timers
  private readonly _passDelayMs: number
  private readonly _placement: Placement
  private readonly _ledger: TaskLedger
  private readonly _queue: JobQueue
  private readonly _lifecycle: JobLifecycle
  private readonly _store: JobStore
  private readonly _crashTrials: CrashTrials
  private readonly _usage: UsageEstimator
  private readonly _links: ReadonlyMap<string, WorkerLink>
  private readonly _quotaUsageOf: (team: string) => number
  private readonly _onNoRoom: (job: Job, size: Capacity) => void
  private _nextPassMs = Number.POSITIVE_INFINITY
  private _closed = false
  private _placedCount = 0
  private _refusalCount = 0
  private _rememberedRefusals: RememberedRefusal[] = []

  constructor ({
    timers, passDelayMs, placement, ledger, queue, lifecycle, store, crashTrials, usage, links, quotaUsageOf, onNoRoom
  }: SchedulerOptions) {
    this._timers = timers
    this._passDelayMs = passDelayMs
    this._placement = placement
    this._ledger = ledger
    this._queue = queue
    this._lifecycle = lifecycle
    this._store = store
    this._crashTrials = crashTrials
    this._usage = usage
    this._links = links
    this._quotaUsageOf = quotaUsageOf
    this._onNoRoom = onNoRoom
  }

  /** Schedules a pass for monotonic time `atMs`, but no earlier than `passDelayMs` from now. Requests before the pass share it. */
  schedulePass (atMs = 0): void {
    const dueMs = Math.max(atMs, this._timers.now() + this._passDelayMs)
    if (this._closed || dueMs >= this._nextPassMs) return
    this._nextPassMs = dueMs
    this._timers.after(dueMs - this._timers.now(), () => {
      if (this._closed || this._nextPassMs !== dueMs) return
      this._nextPassMs = Number.POSITIVE_INFINITY
      this.runPass()
    })
  }

  close (): void {
    this._closed = true
  }

  /** Runs one pass, and schedules another when a limit left work over. */
  runPass (): void {
    this._placedCount = 0
    this._refusalCount = 0
    this._rememberedRefusals = []
    const stopsLeft = this._lifecycle.stopRunsOfEndedJobs(MAX_STOPS_PER_PASS)
    let placementsLeft = false
    this._queue.walk(this._quotaUsageOf, job => {
      const outcome = this._offerJob(job)
      placementsLeft = outcome === OFFER_OUTCOMES.stop
      return outcome
    })
    if (stopsLeft || placementsLeft) this.schedulePass()
  }

  private _offerJob (job: Job): OfferOutcome {
    if (this._placedCount >= MAX_PLACEMENTS_PER_PASS || this._refusalCount >= MAX_REFUSALS_PER_PASS) return OFFER_OUTCOMES.stop
    if (job.waiting.size === 0) {
      this._queue.remove(job)
      return OFFER_OUTCOMES.enough
    }
    if (job.notBeforeMs > this._timers.now()) {
      this.schedulePass(job.notBeforeMs)
      return OFFER_OUTCOMES.enough
    }
    if (job.blockedAtVersion === this._ledger.capacityVersion) return OFFER_OUTCOMES.enough
    return job.isGang ? this._placeGang(job) : this._placeTasks(job)
  }

  private _placeTasks (job: Job): OfferOutcome {
    let tasksLeft = MAX_TASKS_PER_OFFER
    for (const index of job.waiting) {
      if (tasksLeft-- === 0) return OFFER_OUTCOMES.more
      if (!this._placeTask(job, index)) return OFFER_OUTCOMES.enough
    }
    return OFFER_OUTCOMES.enough
  }

  private _placeTask (job: Job, index: number): boolean {
    const size = this._plannedSizeOf(job, index)
    if (this._crashTrials.isSuspect(job, index)) return this._placeOnTrial(job, index, size)
    const knownRefusal = this._findRefusal(job, size)
    if (knownRefusal) return this._markBlocked(job, knownRefusal)
    const request = job.taskRequest(index, this._ledger.nextTaskId(job, index), size)
    const place = this._placement.place(request)
    if (place.isErr) {
      this._refusalCount++
      this._rememberRefusal(job, size, place.error)
      this._onNoRoom(job, size)
      return this._markBlocked(job, place.error)
    }
    this._dispatch(job, this._ledger.add(job, index, request.taskId, place.value, size))
    return true
  }

  /** Places a suspected task, on a worker without other tasks if there is one. */
  private _placeOnTrial (job: Job, index: number, size: Capacity): boolean {
    if (!this._crashTrials.mayStartTrial(this._links.size)) return false
    const request = job.taskRequest(index, this._ledger.nextTaskId(job, index), size)
    const busy = [...this._links.keys()].filter(worker => this._ledger.runsAt(worker).size > 0)
    const apart = this._placement.place({ ...request, avoid: new Set([...job.avoid, ...busy]) })
    const place = apart.isOk ? apart : this._placement.place(request)
    if (place.isErr) return this._markBlocked(job, place.error)
    const run = this._ledger.add(job, index, request.taskId, place.value, size)
    this._crashTrials.noteStart(run)
    this._dispatch(job, run)
    return true
  }

  private _placeGang (job: Job): OfferOutcome {
    const requests = [...job.waiting].map(index =>
      job.taskRequest(index, this._ledger.nextTaskId(job, index), this._plannedSizeOf(job, index)))
    const indexes = [...job.waiting]
    const places = this._placement.placeGang(requests, job.plan.within)
    if (places.isErr) {
      this._refusalCount++
      this._onNoRoom(job, requests[0].size)
      this._markBlocked(job, places.error)
      return OFFER_OUTCOMES.enough
    }
    const runs = requests.map(({ taskId, size }, at) => this._ledger.add(job, indexes[at], taskId, places.value.get(taskId)!, size))
    for (const run of runs) {
      this._crashTrials.noteStart(run)
      this._dispatch(job, run)
    }
    return OFFER_OUTCOMES.enough
  }

  /** Sends a run to its worker. A run of an at-most-once job is sent only after its intent is committed. */
  private _dispatch (job: Job, run: TaskRun): void {
    if (this._ledger.runs.get(run.taskId) !== run) return
    this._placedCount++
    job.waitingFor = undefined
    const link = this._links.get(run.worker)
    if (!link) return this._lifecycle.onWithdrawn(run)
    if (!job.plan.atMostOnce) return link.start(run)
    run.state = RUN_STATES.intending
    job.intents.set(run.index, run.worker)
    this._store.save(job).then(result => {
      if (result.isErr || run.state !== RUN_STATES.intending || this._ledger.runs.get(run.taskId) !== run) return
      if (!link.reachable) return this._lifecycle.onWithdrawn(run)
      run.state = RUN_STATES.queued
      link.start(run)
    })
  }

  /** Size from observed usage, or the declared size when no worker is large enough for the former. */
  private _plannedSizeOf (job: Job, index: number): Capacity {
    const declared = job.groupOf(index).size
    const planned = this._usage.plannedSize(job.plan.family, declared)
    if (planned === declared) return declared
    const fits = this._placement.canEverFit([job.taskRequest(index, '', planned)], { gang: false })
    return fits.isOk ? planned : declared
  }

  private _markBlocked (job: Job, refusal: PlacementRefusal): false {
    job.blockedAtVersion = this._ledger.capacityVersion
    const text = `${refusal.reason}: ${refusal.detail}`
    if (job.waitingFor !== text) job.history.add(this._timers.wallClock(), `waits: ${text}`)
    job.waitingFor = text
    return false
  }

  private _rememberRefusal (job: Job, size: Capacity, refusal: PlacementRefusal): void {
    if (refusal.reason === PLACEMENT_REFUSALS.reserved || job.avoid.size > 0 ||
      this._rememberedRefusals.length >= MAX_REMEMBERED_REFUSALS) return
    this._rememberedRefusals.push({ kind: job.plan.kind, team: job.plan.team, size, refusal })
  }

  /** Returns a failed placement of this pass that rules out a task of `size` as well. */
  private _findRefusal ({ plan }: Job, size: Capacity): PlacementRefusal | undefined {
    const remembered = this._rememberedRefusals.find(({ kind, team, size: refusedSize, refusal }) => kind === plan.kind &&
      (team === plan.team || refusal.reason === PLACEMENT_REFUSALS.full) &&
      refusedSize.cpus <= size.cpus && refusedSize.memoryMb <= size.memoryMb && refusedSize.accelerators <= size.accelerators)
    return remembered?.refusal
  }
}
