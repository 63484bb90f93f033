/**
 * The workers that an earlier scheduler may have used. A task that it may have started waits until none of them can run it unnoticed.
 *
 * Load pattern: a scheduler is replaced while its starts are in transit and workers crash and restart under the same id. The next
 * incarnation has received no epoch yet and carries out such a start, so it must answer the new scheduler, too.
 *
 * @module
 */

import { incarnationOf, workerIdOf } from './incarnations.js'
import type { UnconfirmedStarts } from './leaseEndView.js'
import { MAX_ORDER_DELAY_MS } from './runOrderSender.js'
import { WORKER_CLOCK_RATE, type WorkerSession } from './workerSession.js'
import { addResources, NO_RESOURCES, type Resources } from '../protocol/workflows.js'
import type { Timers } from '../seams/timers.js'
import type { WorkerEntry } from '../seams/workflowUpstreams.js'

/** Maximum number of workers that are named in a line of the log. */
const MAX_NAMES_IN_LINE = 5

/** The workers for which tasks wait, for the log. */
export interface AwaitedWorkers {
  /** Number of them, with those that are not listed yet. */
  workers: number
  /** Incarnations of some of them. */
  names: string
  /** Time until the last of them can run nothing that an earlier scheduler has started, in milliseconds. */
  untilMs: number
}

/** A worker to which starts are on their way by the record of an earlier scheduler. */
interface RecordedWorker {
  /** Incarnations to which they were sent. */
  incarnations: ReadonlySet<string>
  /** Time until which a later incarnation may begin one of them, in milliseconds of the monotonic clock. */
  startsEndMs: number
  /** Time until every run has ended that one of them begins at a later incarnation, in milliseconds of the monotonic clock. */
  runsEndMs: number
}

/** Options of {@link InheritedWorkers}. */
export interface InheritedWorkersOptions {
  timers: Timers
  /** Sessions by the incarnation of their worker. */
  sessions: ReadonlyMap<string, WorkerSession>
  /** Time until which the earlier scheduler may start tasks, in milliseconds of the monotonic clock. */
  predecessorActiveUntilMs: number
  /** Maximum length of a worker's lease, in milliseconds: a start that the next incarnation of its worker carries out may get it. */
  maxLeaseMs: number
}

/** Tells when every worker that an earlier scheduler may have used has answered this one or can run nothing any more. */
export class InheritedWorkers {
  private readonly _options: InheritedWorkersOptions
  private readonly _ids = new Set<string>()
  private readonly _incarnations = new Set<string>()
  /** Incarnations to which starts are on their way by the record of an earlier scheduler, by id. */
  private readonly _recorded = new Map<string, RecordedWorker>()
  /** Incarnations that started under the id of an inherited worker. */
  private readonly _successors = new Set<string>()
  /** Incarnations that started under the id of a recorded worker. The earlier scheduler may have used them. */
  private readonly _recordedSuccessors = new Set<string>()
  /** Ids whose next incarnation has answered and is not listed yet. */
  private readonly _unlistedIds = new Set<string>()
  private _complete = false
  /** Time by which each run has ended that a late order of the earlier scheduler has started at a successor. */
  private _lateRunsEndMs: number

  constructor (options: InheritedWorkersOptions) {
    this._options = options
    this._lateRunsEndMs = this._lateRunsEnd(options.predecessorActiveUntilMs)
  }

  /** Adds a worker to which starts are on their way by the record of an earlier scheduler. Called before all others. */
  addRecorded (incarnation: string, { endMs, runsEndMs }: UnconfirmedStarts): void {
    const id = workerIdOf(incarnation)
    const known = this._recorded.get(id)
    this._recorded.set(id, {
      incarnations: new Set([...known?.incarnations ?? [], incarnation]),
      startsEndMs: Math.max(endMs, known?.startsEndMs ?? 0),
      runsEndMs: Math.max(runsEndMs, known?.runsEndMs ?? 0)
    })
  }

  /** Adds a worker of the stored roster. */
  addStored (entry: WorkerEntry): void {
    this._addSession(entry)
    this._incarnations.add(incarnationOf(entry))
  }

  /** Adds a worker that the directory lists. The earlier scheduler may have used those of the first reading. */
  addListed (entry: WorkerEntry): void {
    this._addSession(entry)
    if (!this._complete) this._incarnations.add(incarnationOf(entry))
  }

  /** Called when the session of a worker has ended. */
  noteEnded ({ restarted, entry: { id, bornMs } }: WorkerSession): void {
    if (!restarted || !this._ids.has(id)) return
    const successorListed = [...this._options.sessions.values()].some(({ entry }) => entry.id === id && entry.bornMs > bornMs)
    if (!successorListed) this._unlistedIds.add(id)
  }

  /** True for an incarnation that the earlier scheduler has used, or that was listed before this one began. */
  isInherited (incarnation: string): boolean {
    return this._incarnations.has(incarnation) && !this.isSuccessor(incarnation)
  }

  /** True for an incarnation that started under the id of such a worker: late starts of an earlier scheduler may run there. */
  isSuccessor (incarnation: string): boolean {
    return this._successors.has(incarnation) || this._recordedSuccessors.has(incarnation)
  }

  /** True while a later incarnation of such a worker may run a late start and has not answered, whether it is listed or not. */
  mayRunLateStart ({ incarnation, synced, entry: { id } }: WorkerSession): boolean {
    return this.isSuccessor(incarnation) && !synced && this._options.timers.now() < this.lateStartsAt(id).runsEndMs
  }

  /** Times until which later incarnations with the id may begin starts of earlier schedulers, and run them. */
  lateStartsAt (id: string): Pick<UnconfirmedStarts, 'endMs' | 'runsEndMs'> {
    const recorded = this._recorded.get(id)
    const inheritedRunsEndMs = this._ids.has(id) ? this._lateRunsEndMs : Number.NEGATIVE_INFINITY
    return {
      endMs: Math.max(inheritedRunsEndMs - this._longestLeaseMs, recorded?.startsEndMs ?? Number.NEGATIVE_INFINITY),
      runsEndMs: Math.max(inheritedRunsEndMs, recorded?.runsEndMs ?? Number.NEGATIVE_INFINITY)
    }
  }

  /** Called when the roster and the directory have been read. */
  noteComplete (): void {
    this._complete = true
  }

  /** Called when the earlier scheduler is known to start no tasks after `untilMs`. */
  notePredecessorActiveUntil (untilMs: number): void {
    this._lateRunsEndMs = Math.min(this._lateRunsEndMs, this._lateRunsEnd(untilMs))
  }

  /** True when each of these workers has answered, or nothing that an earlier scheduler has started can run there any more. */
  get settled (): boolean {
    return this._complete && this._awaitedUnlisted === 0 && this._unsettledSessions().next().done === true
  }

  /** Capacity of the workers for which `settled` waits: `NO_RESOURCES` once it is true, and undefined while they are not known. */
  get unsettledCapacity (): Resources | undefined {
    if (!this._complete) return
    if (this.settled) return NO_RESOURCES
    let capacity: Resources = NO_RESOURCES
    for (const { entry } of this._unsettled) capacity = addResources(capacity, entry.capacity)
    return addResources(capacity, this._largestCapacity(), this._awaitedUnlisted)
  }

  /** The workers for which `settled` waits; undefined once it is true, and while they are not known. */
  get awaited (): AwaitedWorkers | undefined {
    if (!this._complete || this.settled) return
    const nowMs = this._options.timers.now()
    const sessions = [...this._unsettled]
    const ends = sessions.map(({ incarnation, entry: { id }, restarted, lapsesAtMs }) =>
      restarted || this.isSuccessor(incarnation) ? this.lateStartsAt(id).runsEndMs : lapsesAtMs)
    if (this._awaitedUnlisted) ends.push(this._lateRunsEndMs)
    const names = sessions.slice(0, MAX_NAMES_IN_LINE).map(({ incarnation }) => incarnation).join(',')
    return { workers: ends.length, names, untilMs: Math.round(Math.max(...ends) - nowMs) }
  }

  /** Number of incarnations that are not listed yet and may run late starts. */
  private get _awaitedUnlisted (): number {
    return this._lateRunsEnded ? 0 : this._unlistedIds.size
  }

  private get _lateRunsEnded (): boolean {
    return this._options.timers.now() >= this._lateRunsEndMs
  }

  /** Sessions with workers that may run what an earlier scheduler has started, and have not listed it. */
  private get _unsettled (): Set<WorkerSession> {
    return new Set(this._unsettledSessions())
  }

  /** As `_unsettled`; a session may come twice. */
  private * _unsettledSessions (): Generator<WorkerSession> {
    const lateRunsEnded = this._lateRunsEnded
    const nowMs = this._options.timers.now()
    for (const incarnation of this._incarnations) {
      const session = this._options.sessions.get(incarnation)
      if (!session) continue
      const mayRun = !session.synced && !session.lapsed && nowMs < session.lapsesAtMs
      if (mayRun || (session.restarted && !lateRunsEnded)) yield session
    }
    for (const incarnation of lateRunsEnded ? [] : this._successors) {
      const session = this._options.sessions.get(incarnation)
      if (session && (!session.synced || session.restarted)) yield session
    }
    for (const incarnation of this._recordedSuccessors) {
      const session = this._options.sessions.get(incarnation)
      if (!session || (session.synced && !session.restarted)) continue
      if (nowMs < this._recorded.get(session.entry.id)!.runsEndMs) yield session
    }
  }

  /** Largest capacity of any worker, by resource. */
  private _largestCapacity (): Resources {
    const largest = { ...NO_RESOURCES }
    for (const { entry: { capacity } } of this._options.sessions.values()) {
      largest.cpuMillis = Math.max(largest.cpuMillis, capacity.cpuMillis)
      largest.memoryMb = Math.max(largest.memoryMb, capacity.memoryMb)
      largest.accelerators = Math.max(largest.accelerators, capacity.accelerators)
    }
    return largest
  }

  private _addSession (entry: WorkerEntry): void {
    this._unlistedIds.delete(entry.id)
    if (this._ids.has(entry.id)) this._successors.add(incarnationOf(entry))
    else if (!this._complete) this._ids.add(entry.id)
    const recorded = this._recorded.get(entry.id)
    if (recorded && !recorded.incarnations.has(incarnationOf(entry))) this._recordedSuccessors.add(incarnationOf(entry))
  }

  /** Longest time for which a run goes on that a late start has begun, in milliseconds. */
  private get _longestLeaseMs (): number {
    return this._options.maxLeaseMs / WORKER_CLOCK_RATE
  }

  private _lateRunsEnd (activeUntilMs: number): number {
    return activeUntilMs + MAX_ORDER_DELAY_MS + this._longestLeaseMs
  }
}
