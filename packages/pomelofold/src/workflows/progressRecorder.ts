/**
 * Records what has become of workflows in the platform's store, many in one transaction.
 *
 * Load pattern: a store that is slow, or loses answers, while many short workflows end. A write that waits for
 * its answer must not hold up the others: when one takes long, changes of other workflows go through the next
 * committer. A workflow is in one write at a time, and each committer makes late copies of its writes void.
 *
 * A workflow with a final state is deleted in the transaction that records the state: a new scheduler reads
 * only what is open, also over a slow link.
 *
 * @module
 */

import { cancellationKey, progressKey, workflowKey } from './keys.js'
import { isFinal, type WorkflowRuntime } from './workflowRuntime.js'
import { COMMIT_REFUSALS, CommitRefusedError, type GroupCommitter } from '../commits/groupCommit.js'
import type { Change } from '../seams/platformClient.js'
import { delay, type TimerSubscription, type Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'

/** Most changes of one transaction: the store takes 32 entries, of which the committer uses three. */
const MAX_CHANGES_PER_WRITE = 29
/** Time after which a write counts as slow, in milliseconds: ten times that of a store at rest. */
const SLOW_WRITE_MS = 60
/** Pause after a write that the store has refused for now, in milliseconds. */
const RETRY_MS = 80

interface Waiter {
  /** Versions that must be recorded. */
  versions: Map<WorkflowRuntime, number>
  resolve: () => void
}

/** Options of a {@link ProgressRecorder}. */
export interface ProgressRecorderOptions {
  /** Used in this order: the next when those before are in a slow write. */
  committers: GroupCommitter[]
  timers: Timers
  log: EventLog
  /** Called when a workflow's final state has been recorded. */
  onFinal: (workflow: WorkflowRuntime) => void
  /** Called when another scheduler has taken over. */
  onFenced: () => void
}

/** Writes the progress of changed workflows. */
export class ProgressRecorder {
  private readonly _options: ProgressRecorderOptions
  /** Changed workflows with the number of their last change. */
  private readonly _dirty = new Map<WorkflowRuntime, number>()
  private _waiters: Waiter[] = []
  private _version = 0
  /** Committers that write. The timer ends when the write counts as slow. */
  private readonly _busy = new Map<GroupCommitter, TimerSubscription | undefined>()
  private readonly _inFlight = new Set<WorkflowRuntime>()
  private _closed = false

  constructor (options: ProgressRecorderOptions) {
    this._options = options
  }

  /** Notes that a workflow has changed. */
  changed (workflow: WorkflowRuntime): void {
    this._dirty.delete(workflow)
    this._dirty.set(workflow, ++this._version)
    this._next()
  }

  /** Resolves when the changes of these workflows so far are recorded. Never, when another scheduler takes over before. */
  recorded (workflows: Iterable<WorkflowRuntime>): Promise<void> {
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

  /** Starts the next committer when every busy one is in a slow write. */
  private _next (): void {
    if (this._closed || [...this._busy.values()].some(timer => timer !== undefined)) return
    const free = this._options.committers.find(committer => !this._busy.has(committer))
    if (free) this._run(free)
  }

  private async _run (committer: GroupCommitter): Promise<void> {
    const { timers } = this._options
    const slowAfter = (): TimerSubscription => timers.after(SLOW_WRITE_MS, () => {
      this._busy.set(committer, undefined)
      this._next()
    })
    this._busy.set(committer, slowAfter())
    // The changes of one turn of the event loop go together.
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

  /** The workflows that changed first, as many as fit into one transaction. */
  private _nextBatch (): Array<[WorkflowRuntime, number]> {
    const batch: Array<[WorkflowRuntime, number]> = []
    let entries = 0
    for (const [workflow, version] of this._dirty) {
      if (this._inFlight.has(workflow)) continue
      entries += changesOf(workflow).length
      if (entries > MAX_CHANGES_PER_WRITE) break
      batch.push([workflow, version])
    }
    return batch
  }

  private async _write (committer: GroupCommitter, batch: Array<[WorkflowRuntime, number]>): Promise<void> {
    const { timers, log, onFenced } = this._options
    const endings = new Map(batch.map(([workflow]) => [workflow, workflow.pendingFinalState]))
    const changes = batch.flatMap(([workflow]) => changesOf(workflow))
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
    for (const [workflow, version] of batch) {
      if (this._dirty.get(workflow) === version) this._dirty.delete(workflow)
      this._settle(workflow, version, endings.get(workflow), { revision: result.value, tookMs: timers.now() - startedMs })
    }
    this._waiters = this._waiters.filter(waiter => {
      for (const [workflow, version] of batch) {
        if ((waiter.versions.get(workflow) ?? Number.POSITIVE_INFINITY) <= version) waiter.versions.delete(workflow)
      }
      if (waiter.versions.size === 0) waiter.resolve()
      return waiter.versions.size > 0
    })
  }

  /** Tells the final state that has just been recorded. */
  private _settle (workflow: WorkflowRuntime, version: number, ending: WorkflowRuntime['pendingFinalState'], { revision, tookMs }: { revision: number, tookMs: number }): void {
    if (ending === undefined || isFinal(workflow.state)) return
    workflow.state = ending
    this._options.log.event('info', 'workflow.ended', { jobId: workflow.record.id, state: ending, revision, version, recordMs: Math.round(tookMs) })
    this._options.onFinal(workflow)
  }
}

/** What the store has to change so that it holds the workflow's progress. */
function changesOf (workflow: WorkflowRuntime): Change[] {
  const { id } = workflow.record
  const put: Change = { op: 'put', key: progressKey(id), value: JSON.stringify(workflow.progress()) }
  if (!workflow.nextRecordIsFinal) return [put]
  const keys = workflow.cancelled ? [workflowKey(id), cancellationKey(id)] : [workflowKey(id)]
  return [put, ...keys.map(key => ({ op: 'delete' as const, key }))]
}
