/**
 * Accepts requests to services: checks the idempotency key, routes the request, and records its history and final answer.
 *
 * @module
 */

import { createHash } from 'node:crypto'
import { match } from 'ts-pattern'
import type { EventLog } from '../utils/eventLog.js'
import { OUTCOMES, type RequestRecord, type ServiceAnswer, type ServiceRequest } from '../protocol/requests.js'
import type { KeyedDecision, KeyedRequests } from '../outcomes/keyedRequests.js'
import type { RequestHistory } from '../outcomes/requestHistory.js'

/** Retry delay for callers that repeat an idempotency key whose request is still running, in milliseconds. */
const RUNNING_RETRY_AFTER_MS = 1_000

/** Sends a request to an upstream and resolves with the final answer. */
export interface ServiceRouter {
  route (req: ServiceRequest): Promise<ServiceAnswer>
}

/** Options of a {@link RequestService}. */
export interface RequestServiceOptions {
  router: ServiceRouter
  keyedRequests: KeyedRequests
  history: RequestHistory
  log: EventLog
  /** Called with the final answer of each request, but not with answers that are repeated for an idempotency key. */
  onAnswer?: (req: ServiceRequest, answer: ServiceAnswer) => void
  /** Returns the records that other entry daemons have of a request. */
  queryPeers: (requestId: string) => Promise<RequestRecord[]>
}

/** A request with its idempotency key, if it has one. */
export interface IncomingRequest extends ServiceRequest {
  idempotencyKey?: string
}

/** Handles requests to services, and explains requests from their recorded history. */
export class RequestService {
  private readonly _options: RequestServiceOptions
  private readonly _inFlight = new Set<string>()

  constructor (options: RequestServiceOptions) {
    this._options = options
  }

  /** Number of requests that have been accepted and not yet answered. */
  get inFlight (): number {
    return this._inFlight.size
  }

  /** Handles one request and resolves with its final answer. */
  async handle ({ idempotencyKey, ...req }: IncomingRequest): Promise<ServiceAnswer> {
    const { history, log } = this._options
    this._inFlight.add(req.requestId)
    history.recordStep(req.requestId, 'accepted', { detail: `service ${req.service}, class ${req.class}` })
    const answer = idempotencyKey === undefined ? await this._route(req) : await this._handleKeyed(req, idempotencyKey)
    history.finish(req.requestId, answer)
    this._inFlight.delete(req.requestId)
    log.event('info', 'request.answered', {
      requestId: req.requestId,
      service: req.service,
      class: req.class,
      outcome: answer.outcome,
      status: answer.status,
      step: answer.step,
      peer: answer.peer,
      waitedMs: answer.waitedMs === undefined ? undefined : Math.round(answer.waitedMs)
    })
    return answer
  }

  /** Record of a request from this or any reachable entry daemon. A record that says that the request ran is preferred. */
  async explain (requestId: string): Promise<RequestRecord | undefined> {
    const ownRecord = this._options.history.get(requestId)
    if (ownRecord && ownRecord.outcome !== OUTCOMES.unknown) return ownRecord
    const peerRecords = await this._options.queryPeers(requestId)
    const records = ownRecord ? [ownRecord, ...peerRecords] : peerRecords
    return records.find(record => record.outcome === OUTCOMES.ran) ?? records[0]
  }

  private async _handleKeyed (req: ServiceRequest, idempotencyKey: string): Promise<ServiceAnswer> {
    const { keyedRequests, history } = this._options
    const key = createHash('sha256').update(JSON.stringify([req.service, req.team ?? '', idempotencyKey])).digest('hex')
    const decision = await keyedRequests.begin(key, contentDigestOf(req), req.requestId)
    history.recordStep(req.requestId, 'keyed', { detail: decision.decision })
    if (decision.decision !== 'run') return this._answerWithoutRun(req, decision)
    const answer = await this._route({ ...req, atMostOnce: true })
    keyedRequests.finish(key, answer)
    return answer
  }

  private async _route (req: ServiceRequest): Promise<ServiceAnswer> {
    const answer = await this._options.router.route(req)
    this._options.onAnswer?.(req, answer)
    return answer
  }

  private _answerWithoutRun (req: ServiceRequest, decision: Exclude<KeyedDecision, { decision: 'run' }>): ServiceAnswer {
    const answer = answerOfDecision(decision)
    if (decision.decision === 'refused') this._options.onAnswer?.(req, answer)
    return answer
  }
}

function contentDigestOf ({ service, body }: ServiceRequest): string {
  return createHash('sha256').update(service).update('\n').update(body).digest('hex')
}

/** Answer to a request that is not sent to an upstream because of its idempotency key. */
function answerOfDecision (decision: Exclude<KeyedDecision, { decision: 'run' }>): ServiceAnswer {
  const empty = { headers: {}, body: new Uint8Array(), step: 'idempotency-key' }
  return match(decision)
    .returnType<ServiceAnswer>()
    .with({ decision: 'ran' }, ({ requestId, answer }) => answer ?? {
      ...empty, outcome: OUTCOMES.ran, status: 409, detail: `request ${requestId} with this key has run, but its answer was too large to store`
    })
    .with({ decision: 'running' }, ({ requestId }) => ({
      ...empty, outcome: OUTCOMES.unknown, status: 409, detail: `request ${requestId} with this key is running`, retryAfterMs: RUNNING_RETRY_AFTER_MS
    }))
    .with({ decision: 'unknown' }, ({ requestId }) => ({
      ...empty, outcome: OUTCOMES.unknown, status: 409, detail: `request ${requestId} with this key may have run, so it is not sent again`
    }))
    .with({ decision: 'conflict' }, ({ requestId }) => ({
      ...empty, outcome: OUTCOMES.notRun, status: 409, detail: `request ${requestId} used this key with another body; use a new key`
    }))
    .with({ decision: 'refused' }, ({ detail, retryAfterMs }) => ({
      ...empty, outcome: OUTCOMES.notRun, status: 503, detail, retryAfterMs
    }))
    .exhaustive()
}
