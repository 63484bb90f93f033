/**
 * The workers that a scheduler uses: found in the directory, noted in the store before their first order,
 * and given up when nothing can run there any more.
 *
 * @module
 */

import { z } from 'zod'
import { AnswerWatch } from './answerWatch.js'
import { CONFIRMED_OUTAGE_MS } from './cellSession.js'
import { LEADER_KEY, ROSTER_KEY } from './keys.js'
import { lifeOf, WORKER_CLOCK_RATE, WorkerSession, type WorkerSessionListener } from './workerSession.js'
import { roomSchema } from '../protocol/workflows.js'
import type { PlatformClient } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'
import type { WorkerClient, WorkerDirectory, WorkerEntry } from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'
import { decodeJson } from '../utils/storedJson.js'

/** Time between two readings of the directory, in milliseconds: a quarter of the time in which leaving workers must get no new task. */
const LIST_PERIOD_MS = 450
/** Longest wait for the directory, in milliseconds. */
const LIST_TIMEOUT_MS = 900
/** Time after a failed reading in which entries may be missing that come back, in milliseconds: two seconds, and a reading. */
const LISTS_SETTLE_MS = 3_000
/** Readings of the directory that lack a worker before it counts as gone. */
const MISSING_READINGS = 2
/**
 * Time for which a scheduler goes on extending leases after its authority has ended, in milliseconds: with the
 * lease itself, longer than most cuts, so that a cut ends no task.
 */
export const EXTENSION_AFTER_LOSS_MS = 3_000

const rosterSchema = z.array(z.object({
  id: z.string(),
  bornMs: z.number(),
  service: z.string(),
  address: z.string(),
  failureDomain: z.string(),
  draining: z.boolean(),
  capacity: roomSchema,
  labels: z.array(z.string())
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
  /** Length of the workers' leases, in milliseconds; the same for every scheduler. */
  leaseMs: number
  /** Called when workers were found, are leaving or are gone. */
  onChange: () => void
  onFenced: () => void
}

/** The workers of the cell. */
export class WorkerFleet {
  readonly sessions = new Map<string, WorkerSession>()
  private readonly _options: WorkerFleetOptions
  private _inheritedUntilMs: number
  private readonly _missing = new Map<string, number>()
  private readonly _answers: AnswerWatch
  private _rosterRevision: number | undefined
  private _roster = new Set<string>()
  /** Lives that an earlier scheduler may have used; undefined until the roster and the directory have been read. */
  private _inherited: Set<string> | undefined
  private _closed = false
  private _listFailing = false
  private _listFailedMs = Number.NEGATIVE_INFINITY

  constructor (options: WorkerFleetOptions) {
    this._options = options
    this._answers = new AnswerWatch({ timers: options.timers })
    this._inheritedUntilMs = options.timers.now() + (CONFIRMED_OUTAGE_MS + EXTENSION_AFTER_LOSS_MS + options.leaseMs) / WORKER_CLOCK_RATE
  }

  start (): void {
    this._listForever()
  }

  close (): void {
    this._closed = true
    for (const session of this.sessions.values()) session.close()
  }

  /** Notes that the earlier scheduler sends nothing any more: what it started ends with the leases that it has given. */
  predecessorEnded (): void {
    const endMs = this._options.timers.now() + this._options.leaseMs / WORKER_CLOCK_RATE
    this._inheritedUntilMs = Math.min(this._inheritedUntilMs, endMs)
    for (const session of this.sessions.values()) session.inheritedUntilMs = this._inheritedUntilMs
  }

  /** True when every worker that an earlier scheduler may have used has answered, or its runs have ended. */
  get inheritanceSettled (): boolean {
    if (!this._inherited) return false
    for (const life of this._inherited) {
      const session = this.sessions.get(life)
      if (session && !session.synced && !session.lapsed) return false
    }
    return true
  }

  /** Removes a session whose worker is gone for good. */
  drop (session: WorkerSession): void {
    session.close()
    this.sessions.delete(session.incarnation)
  }

  private async _listForever (): Promise<void> {
    const { timers } = this._options
    while (!this._closed && !await this._readRoster()) await delay(timers, LIST_PERIOD_MS / 3)
    while (!this._closed) {
      const done = await this._list()
      await delay(timers, done ? LIST_PERIOD_MS : LIST_PERIOD_MS / 3)
    }
  }

  private async _readRoster (): Promise<boolean> {
    const { platform, log } = this._options
    const read = await platform.get(ROSTER_KEY, { timeoutMs: LIST_TIMEOUT_MS })
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
    for (const entry of roster.value) {
      this._roster.add(lifeOf(entry))
      this._open(entry, { listed: false })
    }
    return true
  }

  private async _list (): Promise<boolean> {
    const { directory, log } = this._options
    const list = await directory.list(LIST_TIMEOUT_MS)
    if (this._closed) return false
    if (list.isErr) {
      this._listFailedMs = this._options.timers.now()
      if (!this._listFailing) log.event('warn', 'dependency.lost', { dependency: 'directory', detail: list.error.message })
      this._listFailing = true
      return false
    }
    if (this._listFailing) log.event('info', 'dependency.regained', { dependency: 'directory', workers: list.value.length })
    this._listFailing = false
    const fresh = list.value.filter(entry => !this._roster.has(lifeOf(entry)))
    if (fresh.length && !await this._note(fresh)) return false
    if (this._closed) return false
    this._refresh(list.value)
    this._inherited ??= new Set(this.sessions.keys())
    this._options.onChange()
    return true
  }

  /** Writes new workers to the roster before they get any order. */
  private async _note (fresh: WorkerEntry[]): Promise<boolean> {
    const { platform, epoch, log, onFenced } = this._options
    const kept = [...this.sessions.values()].map(session => session.entry)
    const known = new Set(kept.map(lifeOf))
    const entries = [...kept, ...fresh.filter(entry => !known.has(lifeOf(entry)))]
    const value = JSON.stringify(entries.map(({ leavesInMs, ...entry }) => entry))
    const guards = [{ key: LEADER_KEY, modRevision: epoch }, { key: ROSTER_KEY, modRevision: this._rosterRevision! }]
    const result = await platform.txn(guards, [{ op: 'put', key: ROSTER_KEY, value }], { timeoutMs: LIST_TIMEOUT_MS })
    if (this._closed) return false
    if (result.isOk && result.value.applied) {
      this._rosterRevision = result.value.revision
      this._roster = new Set(entries.map(lifeOf))
      return true
    }
    log.event('warn', 'roster.write.failed', { detail: result.isErr ? result.error.message : 'a guard does not hold', epoch })
    const read = await platform.get(ROSTER_KEY, { timeoutMs: LIST_TIMEOUT_MS })
    if (read.isOk) {
      // Either the write took effect although its answer was lost, or another scheduler has written.
      if (result.isOk && (read.value?.modRevision ?? 0) === this._rosterRevision) onFenced()
      this._rosterRevision = read.value?.modRevision ?? 0
    }
    return false
  }

  private _refresh (entries: WorkerEntry[]): void {
    const { log } = this._options
    const present = new Map(entries.map(entry => [lifeOf(entry), entry]))
    for (const [life, entry] of present) {
      this._missing.delete(life)
      const session = this.sessions.get(life)
      if (!session) {
        this._open(entry, { listed: true })
        continue
      }
      if (entry.draining && !session.entry.draining) log.event('info', 'worker.draining', { worker: life, leavesInMs: entry.leavesInMs, runs: session.runs.size })
      session.entry = entry
      session.listed = true
      if (entry.leavesInMs !== undefined) session.leavesAtMs = Math.min(session.leavesAtMs, this._options.timers.now() + entry.leavesInMs)
    }
    const newestAt = new Map(entries.map(entry => [entry.address, entry]))
    for (const [life, session] of this.sessions) {
      if (present.has(life)) continue
      const successor = newestAt.get(session.entry.address)
      if (successor && successor.bornMs > session.entry.bornMs) {
        session.restarted = successor.id === session.entry.id
        this._end(session, 'another life is at its address')
      } else this._noteMissing(session)
    }
  }

  private _noteMissing (session: WorkerSession): void {
    const readings = (this._missing.get(session.incarnation) ?? 0) + 1
    this._missing.set(session.incarnation, readings)
    if (readings >= MISSING_READINGS && session.listed) {
      session.listed = false
      this._options.log.event('info', 'worker.unlisted', { worker: session.incarnation, reachable: session.reachable, runs: session.runs.size })
    }
    // Whatever runs at a worker ends when it leaves, and it is listed until then, but for outages of the directory.
    const nowMs = this._options.timers.now()
    const listsHold = nowMs - this._listFailedMs > LISTS_SETTLE_MS
    const left = session.entry.draining && !session.reachable && session.leavesAtMs <= nowMs && listsHold
    if (!session.listed && left) this._end(session, 'it has left')
    else if (!session.listed && session.lapsed && session.runs.size === 0) this._end(session, 'unlisted and lapsed')
  }

  private _end (session: WorkerSession, reason: string): void {
    this._options.listener.onLapse(session, reason)
    session.lapsed = true
    this.drop(session)
    this._missing.delete(session.incarnation)
  }

  private _open (entry: WorkerEntry, { listed }: { listed: boolean }): void {
    const { epoch, client, timers, log, listener, leaseMs } = this._options
    const session = new WorkerSession({
      entry, epoch, client, timers, log, listener, leaseMs, answers: this._answers, inheritedUntilMs: this._inheritedUntilMs
    })
    session.listed = listed
    this.sessions.set(session.incarnation, session)
    session.start()
  }
}
