/**
 * Records the progress of workflows in the platform's store, many workflows in one transaction.
 *
 * Load pattern: a store that is slow, or loses answers, while many short workflows end. A write that waits for
 * its answer must not delay others: while a write is slow, changes of other workflows go through the next
 * committer. A workflow is in one write at a time, and each committer's guards reject late copies of its writes.
 *
 * The transaction that records a final state also deletes the workflow, so that a new scheduler reads only the
 * workflows that have not ended. This keeps its start short over a slow link.
 *
 * @module
 */

import { cancellationKey, progressKey, workflowKey } from './keys.js'
import { WORK_KINDS, type WorkMeter } from './workMeter.js'
import { isFinal, type WorkflowRuntime } from './workflowRuntime.js'
import { COMMIT_REFUSALS, CommitRefusedError, type GroupCommitter } from '../commits/groupCommitter.js'
import type { Change } from '../seams/platformClient.js'
import { delay, type TimerSubscription, type Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Most changes in one transaction: the store accepts 32 entries, of which the committer uses three. */
const MAX_CHANGES_PER_TRANSACTION = 29
/** Time after which a write counts as slow, in milliseconds: ten times the time of a write without load. */
const SLOW_WRITE_MS = 60
/** Pause after a failed write, in milliseconds. */
const RETRY_MS = 80

/** A caller of `whenRecorded`. */
interface Waiter {
  /** Change numbers that are not recorded yet, by workflow. */
  versions: Map<WorkflowRuntime, number>
  resolve: () => void
}

/** Options of a {@link ProgressRecorder}. */
export interface ProgressRecorderOptions {
  /** Used in this order. A committer is used when the writes of all committers before it are slow. */
  committers: GroupCommitter[]
  timers: Timers
  log: EventLog
  meter: WorkMeter
  /** Called when a workflow's final state has been recorded. */
  onFinal: (workflow: WorkflowRuntime) => void
  /** Called with the revision of each write. */
  onWritten: (revision: number) => void
  /** Called when another scheduler has taken over. */
  onFenced: () => void
}

/** Writes the progress of changed workflows to the store. */
export class ProgressRecorder {
  private readonly _options: ProgressRecorderOptions
  /** Workflows with unrecorded changes, and the number of their last change. */
  private readonly _dirty = new Map<WorkflowRuntime, number>()
  private _waiters: Waiter[] = []
  private _version = 0
  /** Committers with a write in progress. The timer is undefined once the write counts as slow. */
  private readonly _busy = new Map<GroupCommitter, TimerSubscription | undefined>()
  private readonly _inFlight = new Set<WorkflowRuntime>()
  private _closed = false

  constructor (options: ProgressRecorderOptions) {
    this._options = options
  }

  /** Notes that a workflow has changed. */
  noteChanged (workflow: WorkflowRuntime): void {
    this._dirty.delete(workflow)
    this._dirty.set(workflow, ++this._version)
    this._startFreeCommitter()
  }

  /** Resolves when the changes of these workflows so far are recorded. Never resolves when another scheduler takes over before. */
  whenRecorded (workflows: Iterable<WorkflowRuntime>): Promise<void> {
    const versions = new Map<WorkflowRuntime, number>()
    for (const workflow of workflows) {
      const version = this._dirty.get(workflow)
      if (version !== undefined) versions.set(workflow, version)
    }
    if (versions.size === 0) return Promise.resolve()
    return new Promise(resolve => this._waiters.push({ versions, resolve }))
  }

  /** Number of workflows whose last change is not recorded. */
  get pending (): number {
    return this._dirty.size
  }

  close (): void {
    this._closed = true
    for (const timer of this._busy.values()) timer?.cancel()
    for (const committer of this._options.committers) committer.close()
  }

  /** Starts the next free committer unless a busy one has a write that is not slow. */
  private _startFreeCommitter (): void {
    if (this._closed || [...this._busy.values()].some(timer => timer !== undefined)) return
    const free = this._options.committers.find(committer => !this._busy.has(committer))
    if (free) this._writeBatches(free)
  }

  private async _writeBatches (committer: GroupCommitter): Promise<void> {
    const { timers } = this._options
    const slowAfter = (): TimerSubscription => timers.after(SLOW_WRITE_MS, () => {
      this._busy.set(committer, undefined)
      this._startFreeCommitter()
    })
    this._busy.set(committer, slowAfter())
    // Collects all changes of this turn of the event loop in one transaction.
    await Promise.resolve()
    for (let batch = this._nextBatch(); batch.length > 0 && !this._closed; batch = this._nextBatch()) {
      for (const [workflow] of batch) this._inFlight.add(workflow)
      await this._write(committer, batch)
      for (const [workflow] of batch) this._inFlight.delete(workflow)
      this._busy.get(committer)?.cancel()
      if (!this._closed) this._busy.set(committer, slowAfter())
    }
    this._busy.get(committer)?.cancel()
    this._busy.delete(committer)
  }

  /** Workflows with unrecorded changes, oldest change first, as many as fit into one transaction. */
  private _nextBatch (): Array<[WorkflowRuntime, number]> {
    const batch: Array<[WorkflowRuntime, number]> = []
    let entries = 0
    for (const [workflow, version] of this._dirty) {
      if (this._inFlight.has(workflow)) continue
      entries += countChanges(workflow)
      if (entries > MAX_CHANGES_PER_TRANSACTION) break
      batch.push([workflow, version])
    }
    return batch
  }

  private async _write (committer: GroupCommitter, batch: Array<[WorkflowRuntime, number]>): Promise<void> {
    const { timers, log, meter, onWritten, onFenced } = this._options
    const endings = new Map(batch.map(([workflow]) => [workflow, workflow.pendingFinalState]))
    const changes = meter.measure(WORK_KINDS.record, () => batch.flatMap(([workflow]) => changesOf(workflow)))
    const startedMs = timers.now()
    const result = await committer.commit(changes)
    if (this._closed) return
    if (result.isErr) {
      const fenced = result.error instanceof CommitRefusedError && result.error.reason === COMMIT_REFUSALS.fence
      log.event('warn', 'progress.write.failed', { workflows: batch.length, detail: result.error.message, fenced })
      if (fenced) onFenced()
      else await delay(timers, RETRY_MS)
      return
    }
    onWritten(result.value)
    for (const [workflow, version] of batch) {
      if (this._dirty.get(workflow) === version) this._dirty.delete(workflow)
      this._applyFinalState(workflow, version, endings.get(workflow), { revision: result.value, tookMs: timers.now() - startedMs })
    }
    this._waiters = this._waiters.filter(waiter => {
      for (const [workflow, version] of batch) {
        if ((waiter.versions.get(workflow) ?? Number.POSITIVE_INFINITY) <= version) waiter.versions.delete(workflow)
      }
      if (waiter.versions.size === 0) waiter.resolve()
      return waiter.versions.size > 0
    })
  }

  /** Applies and reports a final state that has just been recorded. */
  private _applyFinalState (workflow: WorkflowRuntime, version: number, ending: WorkflowRuntime['pendingFinalState'], { revision, tookMs }: { revision: number, tookMs: number }): void {
    if (ending === undefined || isFinal(workflow.state)) return
    workflow.state = ending
    this._options.log.event('info', 'workflow.ended', { jobId: workflow.record.id, state: ending, revision, version, recordMs: Math.round(tookMs) })
    this._options.onFinal(workflow)
  }
}

function countChanges ({ nextRecordIsFinal, cancelled }: WorkflowRuntime): number {
  if (!nextRecordIsFinal) return 1
  return cancelled ? 3 : 2
}

/** Changes of the store that record the workflow's progress. */
function changesOf (workflow: WorkflowRuntime): Change[] {
  const { id } = workflow.record
  const put: Change = { op: 'put', key: progressKey(id), value: JSON.stringify(workflow.progress()) }
  if (!workflow.nextRecordIsFinal) return [put]
  const keys = workflow.cancelled ? [workflowKey(id), cancellationKey(id)] : [workflowKey(id)]
  return [put, ...keys.map(key => ({ op: 'delete' as const, key }))]
}
