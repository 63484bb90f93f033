/**
 * Stores workflows and cancellations, and reads states from the store.
 *
 * @module
 */

import { cancellationKey, progressKey, workflowKey } from './keys.js'
import { JOB_STATES } from '../protocol/jobs.js'
import { endedSchema, progressSchema, workflowSchema, type Workflow, type WorkflowState } from '../protocol/workflows.js'
import type { Guard, PlatformClient } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'
import { EFFECTS } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import { decodeJson } from '../utils/storedJson.js'

/** Longest wait for one call, in milliseconds. */
const CALL_TIMEOUT_MS = 450
/** Time in which a write whose outcome is not known is tried again, in milliseconds: a peer is asked after that. */
const RETRY_BUDGET_MS = 500
const RETRY_MS = 60

/** What became of a write. */
export const STORE_OUTCOMES = {
  stored: 'stored',
  /** Nothing was stored and nothing will be. */
  notStored: 'notStored',
  /** It may be stored, now or later. */
  unknown: 'unknown'
} as const

/** One of {@link STORE_OUTCOMES}. */
export type StoreOutcome = typeof STORE_OUTCOMES[keyof typeof STORE_OUTCOMES]

/** Access to the stored workflows. Every write may be repeated without harm. */
export class WorkflowStore {
  private readonly _platform: PlatformClient
  private readonly _timers: Timers
  private readonly _log: EventLog

  constructor ({ platform, timers, log }: { platform: PlatformClient, timers: Timers, log: EventLog }) {
    this._platform = platform
    this._timers = timers
    this._log = log
  }

  /** Stores a workflow unless one with its id is stored. The revision is that of the write; undefined when it was there before. */
  async submit (workflow: Workflow): Promise<{ outcome: StoreOutcome, revision?: number }> {
    // A workflow that has ended has no key of its own any more, but its progress.
    const guards = [workflowKey(workflow.id), progressKey(workflow.id)].map(key => ({ key, modRevision: 0 }))
    return this._createUnlessStored({ key: workflowKey(workflow.id), value: JSON.stringify(workflow), guards, jobId: workflow.id })
  }

  /** Stores a cancellation. */
  async cancel (id: string): Promise<{ outcome: StoreOutcome }> {
    const key = cancellationKey(id)
    return this._createUnlessStored({ key, value: String(this._timers.wallClock()), guards: [{ key, modRevision: 0 }], jobId: id })
  }

  /** State in the store, read linearizably. Null when no such workflow is stored; undefined when the store did not answer. */
  async readState (id: string): Promise<{ state: WorkflowState, queue: string } | null | undefined> {
    const [stored, progress, cancelled] = await Promise.all([workflowKey(id), progressKey(id), cancellationKey(id)]
      .map(key => this._platform.get(key, { timeoutMs: CALL_TIMEOUT_MS })))
    if (stored.isErr || progress.isErr || cancelled.isErr) {
      const failed = [stored, progress, cancelled].find(result => result.isErr)!
      this._log.event('warn', 'workflow.read.failed', { jobId: id, detail: failed.isErr ? failed.error.message : undefined })
      return undefined
    }
    if (!stored.value) return this._readEndedState(id)
    const workflow = decodeJson(workflowSchema, stored.value.value)
    const recorded = decodeJson(progressSchema, progress.value?.value ?? '{}')
    if (workflow.isErr || recorded.isErr) {
      const detail = workflow.isErr ? workflow.error : recorded.isErr ? recorded.error : undefined
      this._log.event('error', 'workflow.unreadable', { jobId: id, revision: stored.value.modRevision, detail })
      return undefined
    }
    const { queue } = workflow.value
    const { state, done } = recorded.value
    if (state) return { state, queue }
    if (cancelled.value) return { state: JOB_STATES.cancelled, queue }
    return { state: Object.keys(done).length ? JOB_STATES.running : JOB_STATES.accepted, queue }
  }

  /** State of a workflow without a key of its own. Its progress is read after that key, which the record of a final state deletes. */
  private async _readEndedState (id: string): Promise<{ state: WorkflowState, queue: string } | null | undefined> {
    const read = await this._platform.get(progressKey(id), { timeoutMs: CALL_TIMEOUT_MS })
    if (read.isErr) {
      this._log.event('warn', 'workflow.read.failed', { jobId: id, detail: read.error.message })
      return undefined
    }
    if (!read.value) return null
    const ended = decodeJson(endedSchema, read.value.value)
    if (ended.isOk) return ended.value
    this._log.event('error', 'workflow.unreadable', { jobId: id, revision: read.value.modRevision, detail: ended.error })
    return undefined
  }

  /** Creates a key if the guards hold, again and again until the outcome is certain or the time is over. */
  private async _createUnlessStored (
    { key, value, guards, jobId }: { key: string, value: string, guards: Guard[], jobId: string }
  ): Promise<{ outcome: StoreOutcome, revision?: number }> {
    const endMs = this._timers.now() + RETRY_BUDGET_MS
    let maybeStored = false
    for (;;) {
      const result = await this._platform.txn(guards, [{ op: 'put', key, value }], { timeoutMs: CALL_TIMEOUT_MS })
      if (result.isOk) return { outcome: STORE_OUTCOMES.stored, revision: result.value.applied ? result.value.revision : undefined }
      this._log.event('warn', 'workflow.write.failed', { jobId, key, effect: result.error.effect, detail: result.error.message })
      maybeStored ||= result.error.effect !== EFFECTS.none
      // A write that is certain not to have happened is left to a daemon with a better path to the store.
      if (!maybeStored) return { outcome: STORE_OUTCOMES.notStored }
      if (this._timers.now() + RETRY_MS >= endMs) return { outcome: STORE_OUTCOMES.unknown }
      await delay(this._timers, RETRY_MS)
    }
  }
}
