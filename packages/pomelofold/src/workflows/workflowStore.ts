/**
 * Stores workflows and cancellations, and reads states from the store.
 *
 * @module
 */

import { cancellationKey, progressKey, workflowKey } from './keys.js'
import { JOB_STATES } from '../protocol/jobs.js'
import { progressSchema, workflowSchema, type Workflow, type WorkflowState } from '../protocol/workflows.js'
import type { PlatformClient } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'
import { EFFECTS, errorText } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'

/** Longest wait for one call, in milliseconds. */
const CALL_TIMEOUT_MS = 450
/** Time in which a write whose outcome is not known is tried again, in milliseconds: a peer is asked after that. */
const SETTLE_MS = 500
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
    const key = workflowKey(workflow.id)
    return this._createOnce(key, JSON.stringify(workflow), workflow.id)
  }

  /** Stores a cancellation. */
  async cancel (id: string): Promise<{ outcome: StoreOutcome }> {
    return this._createOnce(cancellationKey(id), String(this._timers.wallClock()), id)
  }

  /** State in the store, read linearizably. Null when no such workflow is stored; undefined when the store did not answer. */
  async read (id: string): Promise<{ state: WorkflowState, queue: string } | null | undefined> {
    const [stored, progress, cancelled] = await Promise.all([workflowKey(id), progressKey(id), cancellationKey(id)]
      .map(key => this._platform.get(key, { timeoutMs: CALL_TIMEOUT_MS })))
    if (stored.isErr || progress.isErr || cancelled.isErr) {
      const failed = [stored, progress, cancelled].find(result => result.isErr)!
      this._log.event('warn', 'workflow.read.failed', { jobId: id, detail: failed.isErr ? failed.error.message : undefined })
      return undefined
    }
    if (!stored.value) return null
    try {
      const { queue } = workflowSchema.parse(JSON.parse(stored.value.value))
      const { state, done } = progressSchema.parse(progress.value ? JSON.parse(progress.value.value) : {})
      if (state) return { state, queue }
      if (cancelled.value) return { state: JOB_STATES.cancelled, queue }
      return { state: Object.keys(done).length ? JOB_STATES.running : JOB_STATES.accepted, queue }
    } catch (err) {
      this._log.event('error', 'workflow.unreadable', { jobId: id, revision: stored.value.modRevision, detail: errorText(err) })
      return undefined
    }
  }

  /** Creates a key if it is absent, again and again until the outcome is certain or the time is over. */
  private async _createOnce (key: string, value: string, jobId: string): Promise<{ outcome: StoreOutcome, revision?: number }> {
    const endMs = this._timers.now() + SETTLE_MS
    let maybeStored = false
    for (;;) {
      const result = await this._platform.txn([{ key, modRevision: 0 }], [{ op: 'put', key, value }], { timeoutMs: CALL_TIMEOUT_MS })
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
