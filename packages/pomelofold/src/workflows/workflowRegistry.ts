/**
 * The scheduler's copy of the cell's workflows. It is read from the store at the beginning of a term, then updated
 * by a watch of the store and by messages from other daemons.
 *
 * @module
 */

import { cancellationKey, cancelledWorkflowIdOf, INTAKE_PREFIX, PROGRESS_PREFIX, progressKey, workflowIdOf, workflowKey } from './keys.js'
import { PrefixView } from './prefixView.js'
import { isFinal, WorkflowRuntime, type Task } from './workflowRuntime.js'
import type { GroupCommitter } from '../commits/groupCommitter.js'
import { addResources, endedWorkflowSchema, NO_RESOURCES, parseTaskName, workflowProgressSchema, workflowSchema, type EndedWorkflow, type Resources, type Workflow, type WorkflowStatus } from '../protocol/workflows.js'
import type { PlatformClient, StoredValue } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'
import { decodeJson } from '../utils/storedJson.js'

/** Timeout of a page of the recorded progress, in milliseconds; doubled with each try up to the maximum. */
const LOAD_TIMEOUT_MS = 2_000
/** Longest timeout of a page, in milliseconds: time for a megabyte on a link of 2 Mbit/s. */
const LOAD_TIMEOUT_MAX_MS = 8_000
const LOAD_RETRY_MS = 100
/** The watch may deliver late, since peers also send each new workflow at once. It covers messages that were lost. */
const INTAKE_WATCH_OPTIONS = { lossDetectionMs: 1_500, minIntervalMs: 400 }
/** Most ended workflows that one call of `deleteExpired` deletes. */
const MAX_EXPIRED_AT_ONCE = 4

/** Options of a {@link WorkflowRegistry}. */
export interface WorkflowRegistryOptions {
  epoch: number
  platform: PlatformClient
  committer: GroupCommitter
  timers: Timers
  log: EventLog
  /** Time for which the state of an ended workflow is kept for callers, in milliseconds. */
  retentionMs: number
  /** Called when a workflow was added. */
  onAdded: (workflow: WorkflowRuntime) => void
  /** Called for the first cancellation of a workflow that has not ended. */
  onCancelled: (workflow: WorkflowRuntime) => void
  /** Called while loading, for a workflow whose tasks are all done and whose final state is not recorded. */
  onComplete: (workflow: WorkflowRuntime) => void
  /** Called once when everything stored before this term has been read. */
  onLoaded: () => void
}

/** Notice of another daemon that it has stored a workflow. */
interface StoredNotice {
  record: Workflow
  /** Revision of the store at which the workflow was stored. */
  revision: number
}

/** Holds the workflows of the cell for the scheduler. */
export class WorkflowRegistry {
  /** Workflows that have not ended, in the order in which they were added. */
  readonly open = new Set<WorkflowRuntime>()
  private readonly _options: WorkflowRegistryOptions
  private readonly _workflows = new Map<string, WorkflowRuntime>()
  /** Outcomes of the workflows whose final state is recorded, in the order of their ends. */
  private readonly _ended = new Map<string, EndedWorkflow>()
  private readonly _intake: PrefixView
  /** Notices of stored workflows that arrived before the store was read. */
  private _earlyNotices: StoredNotice[] = []
  private _loaded = false
  private _closed = false

  constructor (options: WorkflowRegistryOptions) {
    this._options = options
    const { platform, timers, log } = options
    const onChange = (keys: string[]): void => { if (this._loaded) this._applyIntakeChanges(keys) }
    this._intake = new PrefixView({
      prefix: INTAKE_PREFIX, platform, timers, log, onChange, watch: INTAKE_WATCH_OPTIONS, maxListTimeoutMs: LOAD_TIMEOUT_MAX_MS
    })
  }

  start (): void {
    this._intake.start()
    this._load()
  }

  close (): void {
    this._closed = true
    this._intake.close()
  }

  /** True once everything that was stored before this term has been read. */
  get loaded (): boolean {
    return this._loaded
  }

  /** Number of workflows, ended ones included. */
  get size (): number {
    return this._workflows.size + this._ended.size
  }

  /** Workflows whose final state is not recorded. */
  all (): IterableIterator<WorkflowRuntime> {
    return this._workflows.values()
  }

  /** State of a workflow; undefined when it is not in the registry. */
  stateOf (id: string): WorkflowStatus | undefined {
    const workflow = this._workflows.get(id)
    if (workflow) return { state: workflow.state, queue: workflow.record.queue }
    const ended = this._ended.get(id)
    return ended && { state: ended.state, queue: ended.queue, reason: ended.reason }
  }

  /** The task of that name; undefined when no workflow of the registry has it. */
  findTask (taskName: string): Task | undefined {
    const name = parseTaskName(taskName)
    return name && this._workflows.get(name.workflowId)?.task(name.occurrence, name.step, name.index)
  }

  /** Sum of what workflows of earlier terms had left running when they ended, by team. */
  leftRunning (): Map<string, Resources> {
    const sums = new Map<string, Resources>()
    for (const { leftRunning } of this._ended.values()) {
      if (leftRunning) sums.set(leftRunning.team, addResources(sums.get(leftRunning.team) ?? NO_RESOURCES, leftRunning.size))
    }
    return sums
  }

  /**
   * Applies a notice, which may arrive ahead of the watch, or so late that the workflow has ended. Revisions tell: the view of the
   * store contains every workflow that was stored up to its revision, unless the final state is recorded.
   */
  noteStored (record: Workflow, revision: number): void {
    if (!this._loaded) {
      this._earlyNotices.push({ record, revision })
      return
    }
    if (this._has(record.id)) return
    if (revision <= this._intake.revision && !this._intake.get(workflowKey(record.id))) {
      this._options.log.event('info', 'workflow.notice.late', { jobId: record.id, revision, viewRevision: this._intake.revision })
      return
    }
    this._add(record, revision)
  }

  private _has (id: string): boolean {
    return this._workflows.has(id) || this._ended.has(id)
  }

  private _add (record: Workflow, revision: number): void {
    const { timers, log, onAdded } = this._options
    const workflow = new WorkflowRuntime({ record, revision, addedMs: timers.now() })
    this._workflows.set(record.id, workflow)
    this.open.add(workflow)
    const tasks = record.steps.reduce((sum, step) => sum + step.tasks, 0)
    const ageMs = Math.round(timers.wallClock() - record.submittedAtMs)
    log.event('info', 'workflow.learned', {
      jobId: record.id, queue: record.queue, revision, steps: record.steps.length, tasks, traits: traitsOf(record), ageMs
    })
    onAdded(workflow)
  }

  /** Replaces a workflow whose final state is recorded by its outcome. */
  archive ({ record, state, endedAtMs, reason }: WorkflowRuntime): void {
    const { timers } = this._options
    this._remove(record.id)
    this._ended.set(record.id, { state, endedAtMs: endedAtMs ?? timers.wallClock(), queue: record.queue, reason })
  }

  /** Marks a workflow whose cancellation has been stored. */
  noteCancellation (id: string): void {
    const workflow = this._workflows.get(id)
    if (!workflow || workflow.cancelled) return
    workflow.cancelled = true
    if (!isFinal(workflow.state)) this._options.onCancelled(workflow)
  }

  /** Reads workflows, cancellations and progress. All that earlier terms recorded was in the store when this term's epoch was written. */
  private async _load (): Promise<void> {
    const { platform, timers, log, epoch, onLoaded } = this._options
    const startedMs = timers.now()
    const progress = new Map<string, StoredValue>()
    for (let timeoutMs = LOAD_TIMEOUT_MS; ; timeoutMs = Math.min(2 * timeoutMs, LOAD_TIMEOUT_MAX_MS)) {
      const read = await platform.range(PROGRESS_PREFIX, { timeoutMs })
      if (this._closed) return
      if (read.isOk) {
        for (const value of read.value.values) progress.set(value.key.slice(PROGRESS_PREFIX.length), value)
        break
      }
      log.event('warn', 'term.load.failed', { epoch, timeoutMs, detail: read.error.message })
      await delay(timers, LOAD_RETRY_MS)
    }
    while (!this._intake.loaded) {
      await delay(timers, LOAD_RETRY_MS / 10)
      if (this._closed) return
    }
    for (const [id, recorded] of progress) this._restoreEnded(id, recorded)
    const keys = [...this._intake.values()].map(value => value.key)
    this._addWorkflows(keys)
    for (const [id, recorded] of progress) this._restoreOpen(id, recorded)
    // Cancellations come last: they set the final state, and progress restored after them would overwrite it.
    this._applyCancellations(keys)
    this._loaded = true
    for (const { record, revision } of this._earlyNotices.splice(0)) this.noteStored(record, revision)
    log.event(
      'info', 'term.loaded',
      { epoch, records: progress.size, workflows: this.size, open: this.open.size, tookMs: Math.round(timers.now() - startedMs) }
    )
    onLoaded()
  }

  /** Applies changed keys of the intake, workflows before cancellations. */
  private _applyIntakeChanges (keys: string[]): void {
    this._addWorkflows(keys)
    this._applyCancellations(keys)
  }

  private _addWorkflows (keys: string[]): void {
    const { log } = this._options
    for (const key of keys) {
      const id = workflowIdOf(key)
      const stored = this._intake.get(key)
      if (id === undefined) continue
      if (!stored) {
        this._remove(id)
        continue
      }
      if (this._has(id)) continue
      const workflow = decodeJson(workflowSchema, stored.value)
      if (workflow.isOk) this._add(workflow.value, stored.modRevision)
      else log.event('error', 'workflow.unreadable', { jobId: id, revision: stored.modRevision, detail: workflow.error })
    }
  }

  private _applyCancellations (keys: string[]): void {
    for (const key of keys) {
      const id = cancelledWorkflowIdOf(key)
      if (id !== undefined && this._intake.get(key)) this.noteCancellation(id)
    }
  }

  private _restoreEnded (id: string, { value }: StoredValue): void {
    const ended = decodeJson(endedWorkflowSchema, value)
    if (ended.isErr || !isFinal(ended.value.state)) return
    this._ended.set(id, ended.value)
  }

  /** Restores the progress of a workflow that has not ended. */
  private _restoreOpen (id: string, { value, modRevision }: StoredValue): void {
    if (this._ended.has(id)) return
    const workflow = this._workflows.get(id)
    const progress = decodeJson(workflowProgressSchema, value)
    if (!workflow || progress.isErr) {
      // The workflow is not scheduled: without its progress, tasks that are done would run again.
      if (workflow) this.open.delete(workflow)
      const detail = progress.isErr ? progress.error : 'progress without a workflow'
      return this._options.log.event('error', 'progress.unreadable', { jobId: id, revision: modRevision, detail })
    }
    workflow.restore(progress.value)
    if (workflow.complete) this._options.onComplete(workflow)
  }

  private _remove (id: string): void {
    const workflow = this._workflows.get(id)
    if (!workflow) return
    this._workflows.delete(id)
    this.open.delete(workflow)
  }

  /** Deletes workflows that ended longer ago than `retentionMs`, a few in each call. */
  deleteExpired (): void {
    const { timers, committer, retentionMs, log } = this._options
    const beforeMs = timers.wallClock() - retentionMs
    let deletesLeft = MAX_EXPIRED_AT_ONCE
    for (const [id, { endedAtMs }] of this._ended) {
      if (endedAtMs > beforeMs) continue
      if (deletesLeft-- === 0) return
      // A cancellation that raced with the end may have been stored after the final state, so its key is deleted, too.
      const keys = [cancellationKey(id), progressKey(id)]
      committer.commit(keys.map(key => ({ op: 'delete' as const, key })), { timeoutMs: LOAD_TIMEOUT_MS }).then(result => {
        if (result.isOk) this._ended.delete(id)
        else log.event('warn', 'workflow.expire.failed', { jobId: id, detail: result.error.message })
      })
    }
  }
}

/** Names of the optional features that a workflow uses, for the log. */
function traitsOf ({ steps, repeat }: Workflow): string {
  const traits = new Set<string>(repeat ? ['repeat'] : [])
  for (const step of steps) {
    for (const [name, value] of Object.entries(step)) {
      if (!PLAIN_FIELDS.has(name) && value) traits.add(name)
    }
  }
  return [...traits].join(',')
}

/** Step fields that are not optional features. */
const PLAIN_FIELDS = new Set(['tasks', 'size', 'estimateMs', 'after', 'image'])
