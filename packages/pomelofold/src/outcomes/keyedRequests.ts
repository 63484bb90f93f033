/**
 * Requests with an idempotency key: the work of each key is sent to an upstream at most once, even when the same key
 * arrives through several entry VMs.
 *
 * Before the work is sent, a record of the key is created in the platform's service. Creation fails if a record exists,
 * so the decision does not depend on claims, clocks or peers. While the platform is unreachable, keyed requests are
 * refused with outcome `not-run`. See `docs/design/outcomes.md`.
 *
 * @module
 */

import { z } from 'zod'
import Result from 'true-myth/result'
import { match } from 'ts-pattern'
import type { CallError } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import { OUTCOMES, serviceAnswerSchema, type Outcome, type ServiceAnswer } from '../protocol/requests.js'
import type { Change, Guard, PlatformClient, StoredValue } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'

/** Prefix of the keys under which the records are stored in the platform's service. */
export const KEYED_PREFIX = 'pomelofold/keyed/'

/** Largest answer stored in a record. For larger ones only the outcome is stored. */
const MAX_STORED_ANSWER_BYTES = 16_384

/** Number of refused requests that this process remembers, to report to other processes that they did not run. */
const MAX_REFUSED_IDS = 20_000

/** Delay between attempts to store an outcome while the platform is unreachable. */
const SAVE_RETRY_MS = 2_000

/** Retry delay for callers whose request was refused because its key could not be recorded. */
const PLATFORM_RETRY_AFTER_MS = 2_000

/**
 * Platform leases used one after another in a retention period. Each serves the records created in its part of the
 * period and lasts for the whole period plus that part, so that every record is kept for the retention period.
 */
const LEASES_PER_RETENTION = 4

/** Stored record of a key: the digest of the request's content, the process that created the record, and the outcome. */
const keyRecordSchema = z.object({
  digest: z.string(),
  requestId: z.string(),
  vm: z.string(),
  incarnation: z.string(),
  outcome: z.enum([OUTCOMES.running, OUTCOMES.ran, OUTCOMES.unknown]),
  answer: z.object({ status: z.number(), headers: z.record(z.string(), z.string()), bodyBase64: z.string() }).optional()
})
type KeyRecord = z.infer<typeof keyRecordSchema>

/** What to do with a keyed request. */
export type KeyedDecision =
  /** Send it. Then call {@link KeyedRequests.finish}. */
  | { decision: 'run' }
  /** It ran under this request id. The answer is absent when it was too large to store. */
  | { decision: 'ran', requestId: string, answer?: ServiceAnswer }
  /** It is running under this request id. */
  | { decision: 'running', requestId: string }
  /** It may have run, so it is not sent again. */
  | { decision: 'unknown', requestId: string }
  /** The key was used for a request with other content. */
  | { decision: 'conflict', requestId: string }
  /** The key could not be recorded; the request did not run. */
  | { decision: 'refused', detail: string, retryAfterMs: number }

/** Commits changes to the platform, in a batch with other writes. `applied` is false when a guard did not match, so nothing was changed. */
export interface Committer {
  commit (changes: Change[], guards?: Guard[]): Promise<Result<{ applied: boolean }, CallError>>
}

/** Queries the outcome from the process that created the record of a key. Undefined when that process is unreachable. */
export type QueryKeyOwner = (vm: string, key: string, requestId: string) =>
Promise<{ outcome: Outcome, answer?: ServiceAnswer } | undefined>

/** Options of {@link KeyedRequests}. */
export interface KeyedRequestsOptions {
  timers: Timers
  platform: PlatformClient
  committer: Committer
  log: EventLog
  vm: string
  incarnation: string
  queryKeyOwner: QueryKeyOwner
  /** Time for which a key is kept, in milliseconds. */
  retentionMs?: number
}

/** A key whose request this process handles. */
interface LocalKeyState {
  requestId: string
  digest: string
  outcome: Outcome
  answer?: ServiceAnswer
}

/** Decides which keyed requests may be sent, and stores their outcomes. */
export class KeyedRequests {
  private readonly _options: Required<KeyedRequestsOptions>
  /** Keys whose requests are in flight in this process, or whose outcomes are not stored yet. */
  private readonly _localKeys = new Map<string, LocalKeyState>()
  /** Ids of refused requests, oldest first. */
  private readonly _refusedIds = new Set<string>()
  /** The platform lease for new records, and until when it is used for them. */
  private _lease: { id: string, untilMs: number } | undefined

  constructor ({ retentionMs = 3_600_000, ...options }: KeyedRequestsOptions) {
    this._options = { retentionMs, ...options }
  }

  /** Decides what to do with a request that carries `key`. `digest` identifies its content. */
  async begin (key: string, digest: string, requestId: string): Promise<KeyedDecision> {
    const localKey = this._localKeys.get(key)
    if (localKey && localKey.outcome !== OUTCOMES.notRun) return this._decideLocally(localKey, digest)
    this._localKeys.set(key, { requestId, digest, outcome: OUTCOMES.running })
    const decision = await this._decide(key, digest, requestId)
    if (decision.decision !== 'run') this._localKeys.delete(key)
    if (decision.decision === 'refused') this._rememberRefused(requestId)
    return decision
  }

  /**
   * Stores the outcome of a request for which {@link begin} decided `run`. Returns at once; the write is done in the
   * background and retried until it succeeds.
   */
  finish (key: string, answer: ServiceAnswer): void {
    const localKey = this._localKeys.get(key)
    if (!localKey) return
    this._localKeys.set(key, { ...localKey, outcome: answer.outcome, answer })
    if (answer.outcome === OUTCOMES.notRun) this._rememberRefused(localKey.requestId)
    this._saveOutcome(key, localKey, answer)
  }

  /** Outcome of a request that this process handled under `key`. `unknown` when it has no information. */
  outcomeOf (key: string, requestId: string): { outcome: Outcome, answer?: ServiceAnswer } {
    if (this._refusedIds.has(requestId)) return { outcome: OUTCOMES.notRun }
    const localKey = this._localKeys.get(key)
    if (localKey?.requestId !== requestId) return { outcome: OUTCOMES.unknown }
    return { outcome: localKey.outcome, answer: localKey.answer }
  }

  private async _decide (key: string, digest: string, requestId: string): Promise<KeyedDecision> {
    const created = await this._putRecord(key, 0, { digest, requestId })
    if (created !== 'exists') return created
    const read = await this._options.platform.get(KEYED_PREFIX + key)
    if (read.isErr) return this._refusal(read.error)
    if (!read.value) return this._refusal('the record of the key expired before it was read')
    return this._decideByRecord(key, digest, requestId, read.value)
  }

  /** Decides by an existing record. A running request is looked up at the process that created the record. */
  private async _decideByRecord (key: string, digest: string, requestId: string, stored: StoredValue): Promise<KeyedDecision> {
    const record = keyRecordSchema.parse(JSON.parse(stored.value))
    if (record.digest !== digest) return { decision: 'conflict', requestId: record.requestId }
    if (record.outcome !== OUTCOMES.running) return decisionOf(record.outcome, record.requestId, storedAnswer(record))
    const reported = await this._queryKeyOwner(record, key)
    const outcome = reported?.outcome ?? OUTCOMES.unknown
    if (outcome === OUTCOMES.unknown) return this._decideByLaterRecord(key, digest, requestId, stored, record)
    if (outcome !== OUTCOMES.notRun) return decisionOf(outcome, record.requestId, reported?.answer)
    const replaced = await this._putRecord(key, stored.modRevision, { digest, requestId })
    return replaced === 'exists' ? this._refusal('the key is being used through another entry VM') : replaced
  }

  /** Decides when the process that created the record does not know the outcome: it forgets a request once its outcome is stored. */
  private async _decideByLaterRecord (key: string, digest: string, requestId: string, earlier: StoredValue, record: KeyRecord):
  Promise<KeyedDecision> {
    const read = await this._options.platform.get(KEYED_PREFIX + key)
    if (read.isErr || read.value?.modRevision === earlier.modRevision) return decisionOf(OUTCOMES.unknown, record.requestId, undefined)
    return read.value ? this._decideByRecord(key, digest, requestId, read.value) : this._decide(key, digest, requestId)
  }

  private async _queryKeyOwner ({ vm, incarnation, requestId }: KeyRecord, key: string):
  Promise<{ outcome: Outcome, answer?: ServiceAnswer } | undefined> {
    const isOwn = vm === this._options.vm && incarnation === this._options.incarnation
    return isOwn ? this.outcomeOf(key, requestId) : await this._options.queryKeyOwner(vm, key, requestId)
  }

  /** Creates the record, or replaces the one of revision `modRevision` after its owner reported that the request did not run. */
  private async _putRecord (key: string, modRevision: number, { digest, requestId }: Pick<KeyRecord, 'digest' | 'requestId'>):
  Promise<KeyedDecision | 'exists'> {
    const { vm, incarnation, committer } = this._options
    const leaseId = await this._leaseId()
    if (leaseId.isErr) return this._refusal(leaseId.error)
    const record: KeyRecord = { digest, requestId, vm, incarnation, outcome: OUTCOMES.running }
    const put: Change = { op: 'put', key: KEYED_PREFIX + key, value: JSON.stringify(record), leaseId: leaseId.value }
    const committed = await committer.commit([put], [{ key: put.key, modRevision }])
    if (committed.isErr) return this._refusal(committed.error)
    return committed.value.applied ? { decision: 'run' } : 'exists'
  }

  /** Stores the outcome, with retries until it succeeds. */
  private async _saveOutcome (key: string, localKey: LocalKeyState, answer: ServiceAnswer): Promise<void> {
    const { timers, log } = this._options
    for (let attempt = 0; ; attempt++) {
      if (attempt > 0) await delay(timers, SAVE_RETRY_MS)
      const saved = await this._trySaveOutcome(key, localKey, answer)
      if (saved.isOk) break
      log.event('warn', 'keyed.record.failed', { requestId: localKey.requestId, step: saved.error.step, detail: saved.error.message })
    }
    if (this._localKeys.get(key)?.requestId === localKey.requestId) this._localKeys.delete(key)
  }

  /** Stores the outcome if the record still belongs to the request. */
  private async _trySaveOutcome (key: string, { digest, requestId }: LocalKeyState, answer: ServiceAnswer):
  Promise<Result<unknown, CallError>> {
    const { platform, committer, vm, incarnation } = this._options
    const read = await platform.get(KEYED_PREFIX + key)
    if (read.isErr || !read.value) return read
    if (keyRecordSchema.parse(JSON.parse(read.value.value)).requestId !== requestId) return read
    const leaseId = await this._leaseId()
    if (leaseId.isErr) return leaseId
    const change = recordChange(key, { digest, requestId, vm, incarnation }, answer, leaseId.value)
    return committer.commit([change], [{ key: change.key, modRevision: read.value.modRevision }])
  }

  /** Id of the platform lease under which new records expire. One lease serves many records, to save calls. */
  private async _leaseId (): Promise<Result<string, CallError>> {
    const { timers, platform, retentionMs } = this._options
    if (this._lease && timers.now() < this._lease.untilMs) return Result.ok(this._lease.id)
    const usableMs = retentionMs / LEASES_PER_RETENTION
    const untilMs = timers.now() + usableMs
    const granted = await platform.grantLease(retentionMs + usableMs)
    if (granted.isErr) return Result.err(granted.error)
    this._lease = { id: granted.value.leaseId, untilMs }
    return Result.ok(this._lease.id)
  }

  /** Decides by the state of a key that this process handles. */
  private _decideLocally (localKey: LocalKeyState, digest: string): KeyedDecision {
    if (localKey.digest !== digest) return { decision: 'conflict', requestId: localKey.requestId }
    return decisionOf(localKey.outcome, localKey.requestId, localKey.answer)
  }

  private _refusal (cause: CallError | string): KeyedDecision {
    const detail = typeof cause === 'string' ? cause : `the key could not be recorded: ${cause.message}`
    return { decision: 'refused', detail, retryAfterMs: PLATFORM_RETRY_AFTER_MS }
  }

  private _rememberRefused (requestId: string): void {
    this._refusedIds.add(requestId)
    if (this._refusedIds.size <= MAX_REFUSED_IDS) return
    const [oldest] = this._refusedIds
    this._refusedIds.delete(oldest)
  }
}

function decisionOf (outcome: Outcome, requestId: string, answer: ServiceAnswer | undefined): KeyedDecision {
  return match(outcome)
    .returnType<KeyedDecision>()
    .with(OUTCOMES.ran, () => ({ decision: 'ran', requestId, answer }))
    .with(OUTCOMES.running, () => ({ decision: 'running', requestId }))
    .otherwise(() => ({ decision: 'unknown', requestId }))
}

/** The change that stores an outcome. The record of a request that did not run is deleted, so that the key can be used again. */
function recordChange (key: string, record: Omit<KeyRecord, 'outcome' | 'answer'>, answer: ServiceAnswer, leaseId: string): Change {
  if (answer.outcome === OUTCOMES.notRun) return { op: 'delete', key: KEYED_PREFIX + key }
  const toStore = answer.body.length <= MAX_STORED_ANSWER_BYTES
    ? { status: answer.status, headers: answer.headers, bodyBase64: Buffer.from(answer.body).toString('base64') }
    : undefined
  const value: KeyRecord = { ...record, outcome: answer.outcome, answer: answer.outcome === OUTCOMES.ran ? toStore : undefined }
  return { op: 'put', key: KEYED_PREFIX + key, value: JSON.stringify(value), leaseId }
}

/** The answer stored in a record, if there is one. */
function storedAnswer ({ answer }: KeyRecord): ServiceAnswer | undefined {
  if (!answer) return undefined
  const { status, headers, bodyBase64 } = answer
  return serviceAnswerSchema.parse({ outcome: OUTCOMES.ran, status, headers, body: new Uint8Array(Buffer.from(bodyBase64, 'base64')) })
}
