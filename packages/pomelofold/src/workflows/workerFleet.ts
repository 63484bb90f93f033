/**
 * The workers that a scheduler uses. Workers are found in the directory, written to the roster in the store
 * before the scheduler calls them for the first time, and removed when no run can be left on them.
 *
 * @module
 */

import { z } from 'zod'
import { DepartureDetector } from './departureDetector.js'
import { FencingTokens } from './fencingTokens.js'
import { incarnationOf } from './incarnations.js'
import type { LeaseEndRecorder } from './leaseEndRecorder.js'
import type { UnconfirmedStarts } from './leaseEndView.js'
import { LongPollPolicy } from './longPollPolicy.js'
import { InheritedWorkers, type AwaitedWorkers } from './inheritedWorkers.js'
import { LEADER_KEY, ROSTER_KEY } from './keys.js'
import { WORKER_CLOCK_RATE, WorkerSession, type WorkerSessionListener } from './workerSession.js'
import { resourcesSchema, type Resources } from '../protocol/workflows.js'
import type { PlatformClient } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'
import type { WorkerClient, WorkerDirectory, WorkerEntry } from '../seams/workflowUpstreams.js'
import type { TeamUsage } from '../teams/teamUsage.js'
import type { EventLog } from '../utils/eventLog.js'
import { decodeJson } from '../utils/storedJson.js'

/** Time between two readings of the directory, in milliseconds: a quarter of the deadline for sending no more tasks to a leaving worker. */
const DIRECTORY_PERIOD_MS = 450
/** Timeout of a call to the directory or the store, in milliseconds. */
const CALL_TIMEOUT_MS = 900
/**
 * Time after a failed reading in which the directory may omit workers that are present, in milliseconds: two
 * seconds, and time for a reading.
 */
const DIRECTORY_RECOVERY_MS = 3_000
/** Minimum time between two writes of the roster that only remove workers, in milliseconds. */
const ROSTER_CLEANUP_PERIOD_MS = 1_000
/** Consecutive readings of the directory without a worker after which it counts as unlisted. */
const MISSING_READINGS = 2

const RESOURCE_NAMES = ['cpuMillis', 'memoryMb', 'accelerators'] as const

const rosterSchema = z.array(z.object({
  id: z.string(),
  bornMs: z.number(),
  service: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  draining: z.boolean(),
  capacity: resourcesSchema,
  labels: z.array(z.string()),
  /** The worker may have a lease of the maximum length, from calls to an earlier incarnation. */
  mayHaveForeignLease: z.boolean().optional(),
  /** The worker has come back under its id. */
  returned: z.boolean().optional()
}))

/** Options of a {@link WorkerFleet}. */
export interface WorkerFleetOptions {
  epoch: number
  platform: PlatformClient
  directory: WorkerDirectory
  client: WorkerClient
  timers: Timers
  log: EventLog
  listener: WorkerSessionListener
  /** Length of the workers' leases, in milliseconds. Must be the same in all schedulers. */
  leaseMs: number
  /** Maximum length of the workers' leases, in milliseconds. */
  maxLeaseMs: number
  /** Time until which the earlier scheduler may start tasks, in milliseconds of the monotonic clock. */
  predecessorActiveUntilMs: number
  /** Time for which the earlier scheduler may extend leases beyond that, in milliseconds. */
  predecessorExtensionMs: number
  /** Ends of the leases of lost workers, over changes of scheduler. */
  leaseEnds: LeaseEndRecorder
  /** Usage of the teams, to which the runs on the workers count. */
  teamUsage: TeamUsage
  /** Called after each reading of the directory. */
  onChange: () => void
  /** Called when the store shows that another scheduler has taken over. */
  onFenced: () => void
}

/** Keeps a session for each worker of the cell. */
export class WorkerFleet {
  /** Sessions by the incarnation of their worker. */
  readonly sessions = new Map<string, WorkerSession>()
  private readonly _options: WorkerFleetOptions
  /** Time by which everything that an earlier scheduler started has ended, unless its worker answers. */
  private _inheritedRunsEndMs: number
  /** Consecutive readings of the directory without the worker, by incarnation. */
  private readonly _missingReadings = new Map<string, number>()
  private readonly _departures: DepartureDetector
  private readonly _longPollPolicy: LongPollPolicy
  private _rosterRevision: number | undefined
  private readonly _fencingTokens: FencingTokens
  /** Worker incarnations in the stored roster. */
  private _roster = new Set<string>()
  /** Those of them that may have a lease from calls to an earlier incarnation, by the stored roster. */
  private _foreignLeases = new Set<string>()
  /** Ids under which workers have come back, by the stored roster and in this term. */
  private readonly _returnedIds = new Set<string>()
  private _rosterCleanedMs = Number.NEGATIVE_INFINITY
  private readonly _inheritedWorkers: InheritedWorkers
  private _closed = false
  private _directoryFailing = false

  constructor (options: WorkerFleetOptions) {
    this._options = options
    this._departures = new DepartureDetector({
      entryExpiryMs: options.directory.entryExpiryMs,
      recoveryMs: DIRECTORY_RECOVERY_MS,
      isStaying: incarnation => {
        const session = this.sessions.get(incarnation)
        return session !== undefined && session.reachable && !session.entry.draining
      }
    })
    this._longPollPolicy = new LongPollPolicy({ timers: options.timers })
    this._fencingTokens = new FencingTokens({ epoch: options.epoch })
    const { timers, maxLeaseMs, predecessorActiveUntilMs } = options
    this._inheritedWorkers = new InheritedWorkers({ timers, sessions: this.sessions, predecessorActiveUntilMs, maxLeaseMs })
    this._inheritedRunsEndMs = this._extendedRunsEnd(predecessorActiveUntilMs)
  }

  start (): void {
    this._pollDirectory()
  }

  close (): void {
    this._closed = true
    for (const session of this.sessions.values()) session.close()
  }

  /** Notes the revision of a write that was guarded by the leader key. */
  noteGuardedWrite (revision: number): void {
    this._fencingTokens.noteRevision(revision)
  }

  /** Notes that the earlier scheduler has stopped sending: the runs that it started end with the leases that it has given. */
  notePredecessorEnded (): void {
    const nowMs = this._options.timers.now()
    this._noteInheritedRunsEnd(nowMs + this._options.leaseMs / WORKER_CLOCK_RATE)
    this._inheritedWorkers.notePredecessorActiveUntil(nowMs)
  }

  /** Notes that the earlier scheduler starts no tasks after `untilMs`. It may extend leases for `predecessorExtensionMs` more. */
  notePredecessorActiveUntil (untilMs: number): void {
    this._noteInheritedRunsEnd(this._extendedRunsEnd(untilMs))
    this._inheritedWorkers.notePredecessorActiveUntil(untilMs)
  }

  private _extendedRunsEnd (activeUntilMs: number): number {
    const { predecessorExtensionMs, leaseMs } = this._options
    return activeUntilMs + (predecessorExtensionMs + leaseMs) / WORKER_CLOCK_RATE
  }

  private _noteInheritedRunsEnd (endMs: number): void {
    this._inheritedRunsEndMs = Math.min(this._inheritedRunsEndMs, endMs)
    for (const session of this.sessions.values()) {
      session.inheritedRunsEndMs = Math.min(session.inheritedRunsEndMs, this._inheritedRunsEndAt(session))
    }
  }

  /** Time by which runs that an earlier scheduler started on the worker have ended, in milliseconds of the monotonic clock. */
  private _inheritedRunsEndAt ({ mayHaveForeignLease }: { mayHaveForeignLease: boolean }): number {
    const { leaseMs, maxLeaseMs } = this._options
    return this._inheritedRunsEndMs + (mayHaveForeignLease ? (maxLeaseMs - leaseMs) / WORKER_CLOCK_RATE : 0)
  }

  /** True when every worker that an earlier scheduler may have used has answered, or can run nothing that it has started. */
  get inheritedWorkersSettled (): boolean {
    return this._inheritedWorkers.settled
  }

  /** Capacity of the workers for which `inheritedWorkersSettled` waits; undefined while it is not known which they are. */
  get unsettledCapacity (): Resources | undefined {
    return this._inheritedWorkers.unsettledCapacity
  }

  /** The workers for which `inheritedWorkersSettled` waits, for the log; undefined for none. */
  get awaitedWorkers (): AwaitedWorkers | undefined {
    return this._inheritedWorkers.awaited
  }

  /** Applies earlier ends of recorded leases, which another daemon has counted from an earlier time. */
  noteLeaseEnds (): void {
    for (const session of this.sessions.values()) {
      const endMs = this._options.leaseEnds.endOf(session.incarnation)
      if (endMs !== undefined) session.inheritedRunsEndMs = Math.min(session.inheritedRunsEndMs, endMs)
    }
  }

  /** Notes that a later incarnation of a worker is known, which may carry out starts that were sent to this one. */
  noteRestarted ({ incarnation, entry: { id } }: WorkerSession, { tasks, endMs, runsEndMs }: UnconfirmedStarts): void {
    const inherited = this._inheritedWorkers.lateStartsAt(id)
    this._options.leaseEnds.noteRestarted(incarnation, {
      tasks, endMs: Math.max(endMs, inherited.endMs), runsEndMs: Math.max(runsEndMs, inherited.runsEndMs)
    })
  }

  /** Closes and removes the session of a worker incarnation that has ended. */
  remove (session: WorkerSession): void {
    session.close()
    this.sessions.delete(session.incarnation)
  }

  private async _pollDirectory (): Promise<void> {
    const { timers } = this._options
    while (!this._closed && !await this._options.leaseEnds.load()) await delay(timers, DIRECTORY_PERIOD_MS / 3)
    for (const { worker, starts, nextAnswered } of this._options.leaseEnds.withStarts) {
      if (!nextAnswered) this._inheritedWorkers.addRecorded(worker, starts)
    }
    while (!this._closed && !await this._readRoster()) await delay(timers, DIRECTORY_PERIOD_MS / 3)
    while (!this._closed) {
      const done = await this._readDirectory()
      await delay(timers, done ? DIRECTORY_PERIOD_MS : DIRECTORY_PERIOD_MS / 3)
    }
  }

  private async _readRoster (): Promise<boolean> {
    const { platform, log } = this._options
    const read = await platform.get(ROSTER_KEY, { timeoutMs: CALL_TIMEOUT_MS })
    if (this._closed) return false
    if (read.isErr) {
      log.event('warn', 'roster.read.failed', { detail: read.error.message })
      return false
    }
    this._rosterRevision = read.value?.modRevision ?? 0
    const roster = decodeJson(rosterSchema, read.value?.value ?? '[]')
    if (roster.isErr) {
      log.event('error', 'roster.unreadable', { revision: this._rosterRevision, detail: roster.error })
      return false
    }
    for (const { mayHaveForeignLease, returned, ...entry } of roster.value) {
      this._roster.add(incarnationOf(entry))
      if (returned) this._returnedIds.add(entry.id)
      if (mayHaveForeignLease) this._foreignLeases.add(incarnationOf(entry))
      this._inheritedWorkers.addStored(entry)
      this._openSession(entry, { listed: false })
    }
    return true
  }

  private async _readDirectory (): Promise<boolean> {
    const { directory, log, timers } = this._options
    const requestedMs = timers.now()
    const list = await directory.list(CALL_TIMEOUT_MS)
    if (this._closed) return false
    if (list.isErr) {
      this._departures.noteFailure(timers.now())
      if (!this._directoryFailing) log.event('warn', 'dependency.lost', { dependency: 'directory', detail: list.error.message })
      this._directoryFailing = true
      return false
    }
    if (this._directoryFailing) log.event('info', 'dependency.regained', { dependency: 'directory', workers: list.value.workers.length })
    this._directoryFailing = false
    this._departures.noteReading({ reading: list.value, requestedMs, answeredMs: timers.now() })
    const newEntries = list.value.workers.filter(entry => !this._roster.has(incarnationOf(entry)))
    if (newEntries.length && !await this._writeRoster(newEntries)) return false
    if (this._closed) return false
    this._applyDirectory(list.value.workers)
    this._inheritedWorkers.noteComplete()
    this._options.onChange()
    await this._cleanRoster()
    return true
  }

  /** Removes from the roster what a new scheduler would wait for in vain: workers and leases that have ended. */
  private async _cleanRoster (): Promise<void> {
    const { timers } = this._options
    const outdated = [...this._roster].some(incarnation => !this.sessions.has(incarnation)) ||
      [...this._foreignLeases].some(incarnation => !this.sessions.get(incarnation)?.mayHaveForeignLease)
    if (!outdated || timers.now() - this._rosterCleanedMs < ROSTER_CLEANUP_PERIOD_MS) return
    this._rosterCleanedMs = timers.now()
    await this._writeRoster([])
  }

  /** Adds workers to the stored roster, so that the next scheduler finds them. False when they are not stored for certain. */
  private async _writeRoster (newEntries: WorkerEntry[]): Promise<boolean> {
    const { platform, epoch, log, leaseMs, maxLeaseMs, onFenced } = this._options
    const kept = [...this.sessions.values()].map(session => session.entry)
    const known = new Set(kept.map(incarnationOf))
    for (const entry of newEntries) if (this._follows(entry)) this._returnedIds.add(entry.id)
    const entries = [...kept, ...newEntries.filter(entry => !known.has(incarnationOf(entry)))]
    const foreignLeases = new Set(entries.filter(entry => maxLeaseMs > leaseMs && this._mayHaveForeignLease(entry)).map(incarnationOf))
    const value = JSON.stringify(entries.map(({ leavesInMs, ...entry }) => ({
      ...entry,
      mayHaveForeignLease: foreignLeases.has(incarnationOf(entry)) || undefined,
      returned: this._returnedIds.has(entry.id) || undefined
    })))
    const guards = [{ key: LEADER_KEY, modRevision: epoch }, { key: ROSTER_KEY, modRevision: this._rosterRevision! }]
    const result = await platform.txn(guards, [{ op: 'put', key: ROSTER_KEY, value }], { timeoutMs: CALL_TIMEOUT_MS })
    if (this._closed) return false
    if (result.isOk && result.value.applied) {
      this._rosterRevision = result.value.revision
      this.noteGuardedWrite(result.value.revision)
      this._roster = new Set(entries.map(incarnationOf))
      this._foreignLeases = foreignLeases
      this._options.leaseEnds.retain(this._roster)
      return true
    }
    log.event('warn', 'roster.write.failed', {
      detail: result.isErr ? result.error.message : 'the leader or the roster has changed in the store', epoch
    })
    const read = await platform.get(ROSTER_KEY, { timeoutMs: CALL_TIMEOUT_MS })
    if (read.isOk) {
      // Either the write took effect and its answer was lost, or another scheduler has written the roster.
      if (result.isOk && (read.value?.modRevision ?? 0) === this._rosterRevision) onFenced()
      this._rosterRevision = read.value?.modRevision ?? 0
    }
    return false
  }

  /** True when an incarnation has come after another one with its id that this scheduler or an earlier one has used. */
  private _follows (entry: WorkerEntry): boolean {
    return this._fencingTokens.hasEarlier(entry) || this._inheritedWorkers.isSuccessor(incarnationOf(entry))
  }

  /** True once a worker has come back under its id, here or under an earlier scheduler while the worker is in the roster. */
  get idsReturn (): boolean {
    return this._returnedIds.size > 0
  }

  /** True when a call to an earlier incarnation of the worker may have given it a lease that lasts. */
  private _mayHaveForeignLease (entry: WorkerEntry): boolean {
    const incarnation = incarnationOf(entry)
    return this.sessions.get(incarnation)?.mayHaveForeignLease ??
      (this._foreignLeases.has(incarnation) || this._follows(entry))
  }

  private _applyDirectory (entries: WorkerEntry[]): void {
    const { log } = this._options
    const present = new Map(entries.map(entry => [incarnationOf(entry), entry]))
    for (const [incarnation, entry] of present) {
      this._missingReadings.delete(incarnation)
      const session = this.sessions.get(incarnation)
      if (!session) {
        this._inheritedWorkers.addListed(entry)
        this._openSession(entry, { listed: true })
        continue
      }
      if (entry.draining && !session.entry.draining) log.event('info', 'worker.draining', { worker: incarnation, leavesInMs: entry.leavesInMs, runs: session.runs.size })
      this._logCapacityChange(session, entry)
      session.entry = entry
      session.listed = true
      if (entry.leavesInMs !== undefined) session.leavesAtMs = Math.min(session.leavesAtMs, this._options.timers.now() + entry.leavesInMs)
    }
    const listedAt = new Map<string, WorkerEntry[]>()
    for (const entry of entries) listedAt.set(entry.address, [...(listedAt.get(entry.address) ?? []), entry])
    for (const [incarnation, session] of this.sessions) {
      if (present.has(incarnation)) continue
      const successors = (listedAt.get(session.entry.address) ?? []).filter(entry => this._hasReplaced(entry, session.entry))
      if (successors.length) {
        session.restarted = successors.some(({ id }) => id === session.entry.id)
        session.replaced = !session.restarted
        session.noteCrash('another incarnation is listed at its address')
        this._endSession(session, 'another incarnation is listed at its address')
      } else this._noteMissing(session)
    }
  }

  private _logCapacityChange ({ incarnation, entry: { capacity: before }, used, runs }: WorkerSession, { capacity }: WorkerEntry): void {
    const changed = RESOURCE_NAMES.some(name => before[name] !== capacity[name])
    if (!changed) return
    this._options.log.event('info', 'worker.capacity', {
      worker: incarnation,
      cpuMillis: capacity.cpuMillis,
      memoryMb: capacity.memoryMb,
      accelerators: capacity.accelerators,
      usedCpuMillis: used.cpuMillis,
      usedMemoryMb: used.memoryMb,
      runs: runs.size
    })
  }

  /**
   * True when a listed entry shows that the earlier incarnation at its address has ended. Other writers may list the address, so
   * a worker with another id must have answered there, and one with the same id must belong to the same service.
   */
  private _hasReplaced (entry: WorkerEntry, earlier: WorkerEntry): boolean {
    if (entry.bornMs <= earlier.bornMs) return false
    if (entry.id === earlier.id) return entry.service === earlier.service
    return this.sessions.get(incarnationOf(entry))?.synced === true
  }

  private _noteMissing (session: WorkerSession): void {
    const readings = (this._missingReadings.get(session.incarnation) ?? 0) + 1
    this._missingReadings.set(session.incarnation, readings)
    if (readings >= MISSING_READINGS && session.listed) {
      session.listed = false
      this._options.log.event('info', 'worker.unlisted', {
        worker: session.incarnation,
        reachable: session.reachable,
        runs: session.runs.size,
        draining: session.entry.draining,
        ...this._departures.removalOf(session.incarnation)
      })
    }
    // The runs on a worker end when it leaves. Those of one that is only cut off go on until its lease ends.
    const mayHaveLeft = session.entry.draining && !session.reachable && session.leavesAtMs <= this._options.timers.now()
    const hasLeft = mayHaveLeft && this._departures.removalOf(session.incarnation)?.left
    if (!session.listed && hasLeft) this._endSession(session, 'the worker has left')
    else if (!session.listed && session.lapsed && !this._mayHaveRuns(session)) this._endSession(session, 'not listed, and its lease has lapsed')
  }

  private _mayHaveRuns (session: WorkerSession): boolean {
    return session.runs.size > 0 || this._inheritedWorkers.mayRunLateStart(session)
  }

  private _endSession (session: WorkerSession, reason: string): void {
    this._options.listener.onLapse(session, reason)
    session.lapsed = true
    this._inheritedWorkers.noteEnded(session)
    this.remove(session)
    this._missingReadings.delete(session.incarnation)
    this._departures.forget(session.incarnation)
  }

  private _openSession (entry: WorkerEntry, { listed }: { listed: boolean }): void {
    const { epoch, client, timers, log, listener, leaseMs, maxLeaseMs, leaseEnds, teamUsage } = this._options
    const mayHaveForeignLease = this._mayHaveForeignLease(entry)
    const session = new WorkerSession({
      entry,
      epoch,
      fence: this._fencingTokens.fenceOf(entry),
      client,
      timers,
      log,
      listener,
      leaseMs,
      maxLeaseMs,
      mayHaveForeignLease,
      leaseEnds,
      longPollPolicy: this._longPollPolicy,
      inheritedRunsEndMs: Math.min(
        this._inheritedRunsEndAt({ mayHaveForeignLease }), leaseEnds.endOf(incarnationOf(entry)) ?? Number.POSITIVE_INFINITY
      ),
      teamUsage
    })
    session.listed = listed
    session.inherited = this._inheritedWorkers.isInherited(session.incarnation)
    session.mayRunLateStarts = this._inheritedWorkers.isSuccessor(session.incarnation)
    this.sessions.set(session.incarnation, session)
    session.start()
  }
}
