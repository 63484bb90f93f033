/**
 * Writes workflows and cancellations to the platform's store, and reads the states of workflows from it.
 *
 * @module
 */

import { cancellationKey, progressKey, workflowKey } from './keys.js'
import { JOB_STATES } from '../protocol/jobs.js'
import { endedWorkflowSchema, workflowProgressSchema, workflowSchema, type Workflow, type WorkflowStatus } from '../protocol/workflows.js'
import type { Guard, PlatformClient } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'
import { EFFECTS } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import { decodeJson } from '../utils/storedJson.js'

/** Timeout of one call to the store, in milliseconds. */
const CALL_TIMEOUT_MS = 450
/** Time for which a write with an unknown outcome is retried, in milliseconds. After that a peer is asked to write. */
const RETRY_BUDGET_MS = 500
/** Pause between two tries of a write, in milliseconds. */
const RETRY_MS = 60

/** Outcomes of a write. */
export const STORE_OUTCOMES = {
  stored: 'stored',
  /** Nothing was stored, and nothing will be stored later. */
  notStored: 'notStored',
  /** The write may have taken effect, or may still take effect. */
  unknown: 'unknown'
} as const

/** One of {@link STORE_OUTCOMES}. */
export type StoreOutcome = typeof STORE_OUTCOMES[keyof typeof STORE_OUTCOMES]

/** Access to the stored workflows. All writes are idempotent. */
export class WorkflowStore {
  private readonly _platform: PlatformClient
  private readonly _timers: Timers
  private readonly _log: EventLog

  constructor ({ platform, timers, log }: { platform: PlatformClient, timers: Timers, log: EventLog }) {
    this._platform = platform
    this._timers = timers
    this._log = log
  }

  /** Stores a workflow unless one with its id is stored. `revision` is that of the write; undefined when it was stored before. */
  async submit (workflow: Workflow): Promise<{ outcome: StoreOutcome, revision?: number }> {
    // The key of a workflow that has ended is deleted, while its progress is kept. Both must be absent.
    const guards = [workflowKey(workflow.id), progressKey(workflow.id)].map(key => ({ key, modRevision: 0 }))
    return this._createUnlessStored({ key: workflowKey(workflow.id), value: JSON.stringify(workflow), guards, jobId: workflow.id })
  }

  /** Stores a cancellation. */
  async cancel (id: string): Promise<{ outcome: StoreOutcome }> {
    const key = cancellationKey(id)
    return this._createUnlessStored({ key, value: String(this._timers.wallClock()), guards: [{ key, modRevision: 0 }], jobId: id })
  }

  /** State of a workflow by linearizable reads. Null when it is not stored; undefined when it could not be read. */
  async readState (id: string): Promise<WorkflowStatus | null | undefined> {
    const [stored, progress, cancelled] = await Promise.all([workflowKey(id), progressKey(id), cancellationKey(id)]
      .map(key => this._platform.get(key, { timeoutMs: CALL_TIMEOUT_MS })))
    if (stored.isErr || progress.isErr || cancelled.isErr) {
      const failed = [stored, progress, cancelled].find(result => result.isErr)!
      this._log.event('warn', 'workflow.read.failed', { jobId: id, detail: failed.isErr ? failed.error.message : undefined })
      return undefined
    }
    if (!stored.value) return this._readEndedState(id)
    const workflow = decodeJson(workflowSchema, stored.value.value)
    const recorded = decodeJson(workflowProgressSchema, progress.value?.value ?? '{}')
    if (workflow.isErr || recorded.isErr) {
      const detail = workflow.isErr ? workflow.error : recorded.isErr ? recorded.error : undefined
      this._log.event('error', 'workflow.unreadable', { jobId: id, revision: stored.value.modRevision, detail })
      return undefined
    }
    const { queue } = workflow.value
    const { state, done, reason } = recorded.value
    if (state) return { state, queue, reason }
    if (cancelled.value) return { state: JOB_STATES.cancelled, queue }
    return { state: Object.keys(done).length ? JOB_STATES.running : JOB_STATES.accepted, queue }
  }

  /**
   * State of a workflow whose key is absent. The progress is read again, after the key: the transaction that
   * records a final state deletes the key, and an earlier read of the progress may have missed it.
   */
  private async _readEndedState (id: string): Promise<WorkflowStatus | null | undefined> {
    const read = await this._platform.get(progressKey(id), { timeoutMs: CALL_TIMEOUT_MS })
    if (read.isErr) {
      this._log.event('warn', 'workflow.read.failed', { jobId: id, detail: read.error.message })
      return undefined
    }
    if (!read.value) return null
    const ended = decodeJson(endedWorkflowSchema, read.value.value)
    if (ended.isOk) return ended.value
    this._log.event('error', 'workflow.unreadable', { jobId: id, revision: read.value.modRevision, detail: ended.error })
    return undefined
  }

  /** Creates a key if the guards hold. Retries until the outcome is certain or `RETRY_BUDGET_MS` is over. */
  private async _createUnlessStored (
    { key, value, guards, jobId }: { key: string, value: string, guards: Guard[], jobId: string }
  ): Promise<{ outcome: StoreOutcome, revision?: number }> {
    const endMs = this._timers.now() + RETRY_BUDGET_MS
    let mayBeStored = false
    for (;;) {
      const result = await this._platform.txn(guards, [{ op: 'put', key, value }], { timeoutMs: CALL_TIMEOUT_MS })
      if (result.isOk) return { outcome: STORE_OUTCOMES.stored, revision: result.value.applied ? result.value.revision : undefined }
      this._log.event('warn', 'workflow.write.failed', { jobId, key, effect: result.error.effect, detail: result.error.message })
      mayBeStored ||= result.error.effect !== EFFECTS.none
      // A write that certainly had no effect is not retried here, but left to a daemon that can reach the store.
      if (!mayBeStored) return { outcome: STORE_OUTCOMES.notStored }
      if (this._timers.now() + RETRY_MS >= endMs) return { outcome: STORE_OUTCOMES.unknown }
      await delay(this._timers, RETRY_MS)
    }
  }
}
