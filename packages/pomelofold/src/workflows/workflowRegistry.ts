/**
 * The workflows that a scheduler knows: read from the store at the beginning of its term, then kept by a
 * watch and by word of other daemons.
 *
 * @module
 */

import { cancellationKey, cancelledWorkflowIdOf, INTAKE_PREFIX, PROGRESS_PREFIX, progressKey, workflowIdOf } from './keys.js'
import { PrefixView } from './prefixView.js'
import { isFinal, WorkflowRuntime, type Task } from './workflowRuntime.js'
import type { GroupCommitter } from '../commits/groupCommit.js'
import { endedSchema, parseTaskName, progressSchema, workflowSchema, type EndedWorkflow, type Workflow, type WorkflowState } from '../protocol/workflows.js'
import type { PlatformClient, StoredValue } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'
import { decodeJson } from '../utils/storedJson.js'

/** Longest wait for a page of the recorded progress, in milliseconds; doubled with each try up to the maximum. */
const LOAD_TIMEOUT_MS = 2_000
/** A page of a megabyte on a link of 2 Mbit/s, in milliseconds. */
const LOAD_TIMEOUT_MAX_MS = 8_000
const LOAD_RETRY_MS = 100
/** Peers tell of each workflow at once; the watch covers what they could not tell. */
const INTAKE_WATCH_OPTIONS = { silenceMs: 1_500, minIntervalMs: 400 }
/** Most ended workflows deleted at once. */
const MAX_EXPIRED_AT_ONCE = 4

/** Options of a {@link WorkflowRegistry}. */
export interface WorkflowRegistryOptions {
  epoch: number
  platform: PlatformClient
  committer: GroupCommitter
  timers: Timers
  log: EventLog
  /** Time for which the state of an ended workflow is told, in milliseconds. */
  retentionMs: number
  /** A workflow was learned. */
  onAdded: (workflow: WorkflowRuntime) => void
  /** A cancellation of a workflow was learned for the first time. */
  onCancelled: (workflow: WorkflowRuntime) => void
  /** All tasks of a workflow are done, and its record does not say so. */
  onComplete: (workflow: WorkflowRuntime) => void
  onLoaded: () => void
}

/** Knows the workflows of the cell. */
export class WorkflowRegistry {
  /** Workflows that are not over, in the order in which they were learned. */
  readonly open = new Set<WorkflowRuntime>()
  private readonly _options: WorkflowRegistryOptions
  private readonly _workflows = new Map<string, WorkflowRuntime>()
  /** Workflows whose final state is recorded, in the order of their ends. */
  private readonly _ended = new Map<string, EndedWorkflow>()
  private readonly _intake: PrefixView
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

  /** True once everything that was stored before this term is known. */
  get loaded (): boolean {
    return this._loaded
  }

  get size (): number {
    return this._workflows.size + this._ended.size
  }

  all (): IterableIterator<WorkflowRuntime> {
    return this._workflows.values()
  }

  /** State and queue of a workflow. */
  stateOf (id: string): { state: WorkflowState, queue: string } | undefined {
    const workflow = this._workflows.get(id)
    if (workflow) return { state: workflow.state, queue: workflow.record.queue }
    const ended = this._ended.get(id)
    return ended && { state: ended.state, queue: ended.queue }
  }

  /** The task of that name; undefined when no workflow here has it. */
  findTask (taskName: string): Task | undefined {
    const name = parseTaskName(taskName)
    return name && this._workflows.get(name.workflowId)?.task(name.occurrence, name.step, name.index)
  }

  /** Takes in a workflow that has been stored at `revision`, unless it is known. */
  add (record: Workflow, revision: number): void {
    if (this._workflows.has(record.id) || this._ended.has(record.id)) return
    const { timers, log, onAdded } = this._options
    const workflow = new WorkflowRuntime({ record, revision, learnedMs: timers.now() })
    this._workflows.set(record.id, workflow)
    this.open.add(workflow)
    const tasks = record.steps.reduce((sum, step) => sum + step.tasks, 0)
    const ageMs = Math.round(timers.wallClock() - record.submittedAtMs)
    log.event('info', 'workflow.learned', {
      jobId: record.id, queue: record.queue, revision, steps: record.steps.length, tasks, traits: traitsOf(record), ageMs
    })
    onAdded(workflow)
  }

  /** Keeps only the outcome of a workflow whose final state is recorded. */
  archive ({ record, state, endedAtMs }: WorkflowRuntime): void {
    const { timers } = this._options
    this._remove(record.id)
    this._ended.set(record.id, { state, endedAtMs: endedAtMs ?? timers.wallClock(), queue: record.queue })
  }

  /** Notes a cancellation that has been stored. */
  noteCancellation (id: string): void {
    const workflow = this._workflows.get(id)
    if (!workflow || workflow.cancelled) return
    workflow.cancelled = true
    if (!isFinal(workflow.state)) this._options.onCancelled(workflow)
  }

  /** Reads intake and progress, which were complete when this term's epoch was written. */
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
    // A cancellation decides on the final state, which progress that is restored later would undo.
    this._applyCancellations(keys)
    this._loaded = true
    log.event(
      'info', 'term.loaded',
      { epoch, records: progress.size, workflows: this.size, open: this.open.size, tookMs: Math.round(timers.now() - startedMs) }
    )
    onLoaded()
  }

  /** Takes in changed keys of the intake, workflows before cancellations. */
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
      if (this._workflows.has(id)) continue
      const workflow = decodeJson(workflowSchema, stored.value)
      if (workflow.isOk) this.add(workflow.value, stored.modRevision)
      else log.event('error', 'workflow.unreadable', { jobId: id, revision: stored.modRevision, detail: workflow.error })
    }
  }

  private _applyCancellations (keys: string[]): void {
    for (const key of keys) {
      const id = cancelledWorkflowIdOf(key)
      if (id !== undefined && this._intake.get(key)) this.noteCancellation(id)
    }
  }

  /** Takes in the outcome of a workflow that has ended. Peers may have told of it before the store was read. */
  private _restoreEnded (id: string, { value }: StoredValue): void {
    const ended = decodeJson(endedSchema, value)
    if (ended.isErr || !isFinal(ended.value.state)) return
    this._remove(id)
    this._ended.set(id, ended.value)
  }

  /** Takes in the progress of a workflow that has not ended. */
  private _restoreOpen (id: string, { value, modRevision }: StoredValue): void {
    if (this._ended.has(id)) return
    const workflow = this._workflows.get(id)
    const progress = decodeJson(progressSchema, value)
    if (!workflow || progress.isErr) {
      // Without its progress, tasks that are done would run again.
      if (workflow) this.open.delete(workflow)
      const detail = progress.isErr ? progress.error : 'no workflow has this progress'
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

  /** Deletes workflows that ended longer ago than their state has to be told. */
  deleteExpired (): void {
    const { timers, committer, retentionMs, log } = this._options
    const beforeMs = timers.wallClock() - retentionMs
    let left = MAX_EXPIRED_AT_ONCE
    for (const [id, { endedAtMs }] of this._ended) {
      if (endedAtMs > beforeMs) continue
      if (left-- === 0) return
      // A cancellation that raced with the end may have been stored after it.
      const keys = [cancellationKey(id), progressKey(id)]
      committer.commit(keys.map(key => ({ op: 'delete' as const, key })), { timeoutMs: LOAD_TIMEOUT_MS }).then(result => {
        if (result.isOk) this._ended.delete(id)
        else log.event('warn', 'workflow.expire.failed', { jobId: id, detail: result.error.message })
      })
    }
  }
}

/** What sets a workflow's steps apart from plain batch work, for the log. */
function traitsOf ({ steps, repeat }: Workflow): string {
  const traits = new Set<string>(repeat ? ['repeat'] : [])
  for (const step of steps) {
    for (const [name, value] of Object.entries(step)) {
      if (!PLAIN_FIELDS.has(name) && value) traits.add(name)
    }
  }
  return [...traits].join(',')
}

/** Fields that every step has. */
const PLAIN_FIELDS = new Set(['tasks', 'size', 'estimateMs', 'after', 'image'])
