/**
 * Turns of placement: offers waiting tasks to workers in the order of the queue.
 *
 * @module
 */

import type { Timers } from '../../seams/timers.js'
import type { Capacity } from '../../protocol/vms.js'
import { PLACEMENT_REFUSALS, type PlacementRefusal, type Placement } from '../placementTypes.js'
import { RUN_STATES, type Job, type TaskRun } from './job.js'
import type { JobLifecycle } from './jobLifecycle.js'
import { ATTEMPTS, type Attempt, type JobQueue } from './jobQueue.js'
import type { JobStore } from './jobStore.js'
import type { TaskLedger } from './taskLedger.js'
import type { UsageLearner } from './usageLearner.js'
import type { WorkerLink } from './workerLink.js'

/** Tasks placed of one job before another team has its turn. */
const TASKS_PER_ATTEMPT = 16
const PLACEMENTS_PER_TURN = 500
const MISSES_PER_TURN = 300
const STOPS_PER_TURN = 500
/** Sizes remembered in a turn for which there is no room. */
const MAX_REMEMBERED_MISSES = 32

/** Options of a {@link Scheduler}. */
export interface SchedulerOptions {
  timers: Timers
  turnMs: number
  placement: Placement
  ledger: TaskLedger
  queue: JobQueue
  lifecycle: JobLifecycle
  store: JobStore
  usage: UsageLearner
  links: ReadonlyMap<string, WorkerLink>
  /** What a team holds of its quota. */
  shareOf: (team: string) => number
  /** A task has found no room; may make some by stopping less urgent ones. */
  onNoRoom: (job: Job, size: Capacity) => void
}

interface Miss {
  kind: string
  team: string
  size: Capacity
  miss: PlacementRefusal
}

/** Places tasks, in bounded turns. */
export class Scheduler {
  private readonly _timers: Timers
  private readonly _turnMs: number
  private readonly _placement: Placement
  private readonly _ledger: TaskLedger
  private readonly _queue: JobQueue
  private readonly _lifecycle: JobLifecycle
  private readonly _store: JobStore
  private readonly _usage: UsageLearner
  private readonly _links: ReadonlyMap<string, WorkerLink>
  private readonly _shareOf: (team: string) => number
  private readonly _onNoRoom: (job: Job, size: Capacity) => void
  private _nextTurnMs = Number.POSITIVE_INFINITY
  private _closed = false
  private _placed = 0
  private _missed = 0
  private _misses: Miss[] = []

  constructor ({ timers, turnMs, placement, ledger, queue, lifecycle, store, usage, links, shareOf, onNoRoom }: SchedulerOptions) {
    this._timers = timers
    this._turnMs = turnMs
    this._placement = placement
    this._ledger = ledger
    this._queue = queue
    this._lifecycle = lifecycle
    this._store = store
    this._usage = usage
    this._links = links
    this._shareOf = shareOf
    this._onNoRoom = onNoRoom
  }

  /** Asks for a turn at monotonic time `atMs`, or soon. */
  wake (atMs = 0): void {
    const dueMs = Math.max(atMs, this._timers.now() + this._turnMs)
    if (this._closed || dueMs >= this._nextTurnMs) return
    this._nextTurnMs = dueMs
    this._timers.after(dueMs - this._timers.now(), () => {
      if (this._closed || this._nextTurnMs !== dueMs) return
      this._nextTurnMs = Number.POSITIVE_INFINITY
      this.turn()
    })
  }

  close (): void {
    this._closed = true
  }

  /** One turn of bounded work. */
  turn (): void {
    this._placed = 0
    this._missed = 0
    this._misses = []
    const stopsLeft = this._lifecycle.stopEnded(STOPS_PER_TURN)
    let placementsLeft = false
    this._queue.walk(this._shareOf, job => {
      const outcome = this._attempt(job)
      placementsLeft = outcome === ATTEMPTS.stop
      return outcome
    })
    if (stopsLeft || placementsLeft) this.wake()
  }

  private _attempt (job: Job): Attempt {
    if (this._placed >= PLACEMENTS_PER_TURN || this._missed >= MISSES_PER_TURN) return ATTEMPTS.stop
    if (job.waiting.size === 0) {
      this._queue.remove(job)
      return ATTEMPTS.enough
    }
    if (job.notBeforeMs > this._timers.now()) {
      this.wake(job.notBeforeMs)
      return ATTEMPTS.enough
    }
    if (job.blockedAt === this._ledger.version) return ATTEMPTS.enough
    return job.isGang ? this._placeGang(job) : this._placeSome(job)
  }

  private _placeSome (job: Job): Attempt {
    let left = TASKS_PER_ATTEMPT
    for (const index of job.waiting) {
      if (left-- === 0) return ATTEMPTS.more
      if (!this._placeOne(job, index)) return ATTEMPTS.enough
    }
    return ATTEMPTS.enough
  }

  private _placeOne (job: Job, index: number): boolean {
    const size = this._sizeOf(job, index)
    const known = this._knownMiss(job, size)
    if (known) return this._block(job, known)
    const request = job.request(index, this._ledger.nextTaskId(job, index), size)
    const place = this._placement.place(request)
    if (place.isErr) {
      this._missed++
      this._remember(job, size, place.error)
      this._onNoRoom(job, size)
      return this._block(job, place.error)
    }
    this._dispatch(job, this._ledger.add(job, index, request.taskId, place.value, size))
    return true
  }

  private _placeGang (job: Job): Attempt {
    const requests = [...job.waiting].map(index => job.request(index, this._ledger.nextTaskId(job, index), this._sizeOf(job, index)))
    const indexes = [...job.waiting]
    const places = this._placement.placeGang(requests, job.plan.within)
    if (places.isErr) {
      this._missed++
      this._onNoRoom(job, requests[0].size)
      this._block(job, places.error)
      return ATTEMPTS.enough
    }
    const runs = requests.map(({ taskId, size }, at) => this._ledger.add(job, indexes[at], taskId, places.value.get(taskId)!, size))
    for (const run of runs) this._dispatch(job, run)
    return ATTEMPTS.enough
  }

  /** Sends a run to its worker; at most once, only after the intent is committed. */
  private _dispatch (job: Job, run: TaskRun): void {
    if (this._ledger.runs.get(run.taskId) !== run) return
    this._placed++
    job.waitingFor = undefined
    const link = this._links.get(run.worker)
    if (!link) return this._lifecycle.withdrawn(run)
    if (!job.plan.atMostOnce) return link.start(run)
    run.state = RUN_STATES.intending
    job.intents.set(run.index, run.worker)
    this._store.save(job).then(result => {
      if (result.isErr || run.state !== RUN_STATES.intending || this._ledger.runs.get(run.taskId) !== run) return
      if (!link.answering) return this._lifecycle.withdrawn(run)
      run.state = RUN_STATES.queued
      link.start(run)
    })
  }

  /** The learned size, unless no worker can hold it. */
  private _sizeOf (job: Job, index: number): Capacity {
    const declared = job.groupOf(index).size
    const planned = this._usage.plannedSize(job.plan.family, declared)
    if (planned === declared) return declared
    const fits = this._placement.canEverFit([job.request(index, '', planned)], { gang: false })
    return fits.isOk ? planned : declared
  }

  private _block (job: Job, miss: PlacementRefusal): false {
    job.blockedAt = this._ledger.version
    const text = `${miss.reason}: ${miss.detail}`
    if (job.waitingFor !== text) job.history.add(this._timers.wallClock(), `waits: ${text}`)
    job.waitingFor = text
    return false
  }

  private _remember (job: Job, size: Capacity, miss: PlacementRefusal): void {
    if (miss.reason === PLACEMENT_REFUSALS.reserved || job.avoid.size > 0 || this._misses.length >= MAX_REMEMBERED_MISSES) return
    this._misses.push({ kind: job.plan.kind, team: job.plan.team, size, miss })
  }

  /** A miss of this turn that a task of `size` would share. */
  private _knownMiss ({ plan }: Job, size: Capacity): PlacementRefusal | undefined {
    const known = this._misses.find(({ kind, team, size: missed, miss }) => kind === plan.kind &&
      (team === plan.team || miss.reason === PLACEMENT_REFUSALS.full) &&
      missed.cpus <= size.cpus && missed.memoryMb <= size.memoryMb && missed.accelerators <= size.accelerators)
    return known?.miss
  }
}
