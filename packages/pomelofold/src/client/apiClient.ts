/**
 * Client of the HTTP interface of an entry daemon, for the command line and for programs of callers and operators.
 *
 * @module
 */

import { request, type Dispatcher } from 'undici'
import Result from 'true-myth/result'
import { CallError, CallTimeoutError, EFFECTS, errorText, type Effect } from '../utils/errors.js'
import { buildCellStatus, type CellFigures, type CellStatus, type DaemonStatus } from './cellStatus.js'
import type { JobSpec, JobView } from '../protocol/jobs.js'
import type { Manifest, VersionedManifest } from '../protocol/manifest.js'
import type { Problem } from '../protocol/problem.js'
import { HEADERS, OUTCOMES, type Outcome, type RequestClass, type RequestRecord } from '../protocol/requests.js'

/** An error answer of an entry daemon, with its problem document. */
export class ApiError extends CallError {
  override readonly name = 'ApiError'
  readonly problem: Problem

  constructor (step: string, peer: string, problem: Problem) {
    super(`${problem.title}: ${problem.detail}`, { step, peer, effect: effectOf(problem), hint: hintOf(problem) })
    this.problem = problem
  }
}

function effectOf ({ outcome }: Problem): Effect {
  return outcome === OUTCOMES.notRun ? EFFECTS.none : EFFECTS.unknown
}

function hintOf ({ retryAfterMs }: Problem): string | undefined {
  return retryAfterMs === undefined ? undefined : `try again in ${Math.ceil(retryAfterMs / 1000)} s`
}

/** Options of an {@link ApiClient}. */
export interface ApiClientOptions {
  /** Base URL of the entry daemon, such as `http://127.0.0.1:8080`. */
  server: string
  /** Bearer token. */
  token?: string
  /** Timeout of a call, in milliseconds. */
  timeoutMs?: number
}

/** Options of {@link ApiClient.sendRequest}. */
export interface SendRequestOptions {
  class?: RequestClass
  deadlineMs?: number
  idempotencyKey?: string
  atMostOnce?: boolean
  team?: string
  contentType?: string
}

/** A service's answer to a caller. */
export interface CallerAnswer {
  status: number
  requestId: string
  outcome: Outcome
  headers: Record<string, string>
  body: Buffer
}

/** History of a job and its runs, from the entry daemon that manages the job. */
export interface JobExplanationView {
  jobId: string
  state: string
  waitingFor?: string
  events: Array<{ atMs: number, text: string }>
  /** Number of events that were dropped from the middle of the history. */
  dropped: number
  runs: Array<{ index: number, worker: string, state: string }>
}

type HttpBody = Uint8Array | string | undefined

interface HttpAnswer {
  status: number
  headers: Record<string, string>
  body: Buffer
}

/** Calls one entry daemon. Failures are returned as results; no method throws. */
export class ApiClient {
  private readonly _options: Required<Omit<ApiClientOptions, 'token'>> & Pick<ApiClientOptions, 'token'>

  constructor ({ timeoutMs = 30_000, ...options }: ApiClientOptions) {
    this._options = { timeoutMs, ...options }
  }

  manifest (): Promise<Result<VersionedManifest, CallError>> {
    return this._callJson('GET', '/v1/manifest')
  }

  /** Commits a manifest that replaces the one with `baseRevision`. Fails if another revision is in force. */
  submitManifest (manifest: Manifest, baseRevision: number): Promise<Result<{ revision: number }, CallError>> {
    return this._callJson('PUT', '/v1/manifest', { baseRevision, manifest })
  }

  /** State of the entry daemon, and the state of its peers from its point of view. */
  status (): Promise<Result<DaemonStatus, CallError>> {
    return this._callJson('GET', '/v1/status')
  }

  /** State of the whole cell from the entry daemon's point of view. */
  async cellStatus (): Promise<Result<CellStatus, CallError>> {
    const status = await this.status()
    if (status.isErr) return Result.err(status.error)
    return (await this.figures()).map(figures => buildCellStatus(status.value, figures))
  }

  /** Makes the entry daemon report not ready and hand over its claims. */
  drain (): Promise<Result<{ leaving: boolean }, CallError>> {
    return this._callJson('POST', '/v1/drain')
  }

  submitJob (spec: JobSpec, idempotencyKey?: string): Promise<Result<JobView, CallError>> {
    return this._callJson('POST', '/v1/jobs', spec, idempotencyKey === undefined ? {} : { [HEADERS.idempotencyKey]: idempotencyKey })
  }

  jobs (): Promise<Result<{ jobs: JobView[], unreachable: string[] }, CallError>> {
    return this._callJson('GET', '/v1/jobs')
  }

  job (jobId: string): Promise<Result<JobView, CallError>> {
    return this._callJson('GET', `/v1/jobs/${encodeURIComponent(jobId)}`)
  }

  explainJob (jobId: string): Promise<Result<JobExplanationView, CallError>> {
    return this._callJson('GET', `/v1/jobs/${encodeURIComponent(jobId)}/history`)
  }

  cancelJob (jobId: string): Promise<Result<JobView, CallError>> {
    return this._callJson('DELETE', `/v1/jobs/${encodeURIComponent(jobId)}`)
  }

  explainRequest (requestId: string): Promise<Result<RequestRecord, CallError>> {
    return this._callJson('GET', `/v1/requests/${encodeURIComponent(requestId)}`)
  }

  /** Figures of all reachable entry daemons, for reports. */
  figures (): Promise<Result<CellFigures, CallError>> {
    return this._callJson('GET', '/v1/figures')
  }

  /** Sends a request to a service. An error answer is returned as an answer too, with the problem document as its body. */
  async sendRequest (service: string, body: Uint8Array | string, options: SendRequestOptions = {}):
  Promise<Result<CallerAnswer, CallError>> {
    const headers: Record<string, string> = { 'content-type': options.contentType ?? 'application/octet-stream' }
    if (options.class !== undefined) headers[HEADERS.class] = options.class
    if (options.deadlineMs !== undefined) headers[HEADERS.deadlineMs] = String(options.deadlineMs)
    if (options.idempotencyKey !== undefined) headers[HEADERS.idempotencyKey] = options.idempotencyKey
    if (options.atMostOnce) headers[HEADERS.atMostOnce] = 'true'
    if (options.team !== undefined) headers[HEADERS.team] = options.team
    const sent = await this._send('POST', `/v1/services/${encodeURIComponent(service)}/requests`, body, headers)
    return sent.map(({ status, headers, body }) => ({
      status,
      requestId: headers[HEADERS.requestId] ?? '',
      outcome: (headers[HEADERS.outcome] ?? 'unknown') as Outcome,
      headers,
      body
    }))
  }

  private async _callJson<T> (method: Dispatcher.HttpMethod, path: string, body?: unknown, headers: Record<string, string> = {}):
  Promise<Result<T, CallError>> {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const sent = await this._send(method, path, text, { 'content-type': 'application/json', ...headers })
    if (sent.isErr) return Result.err(sent.error)
    const { status, body: answer } = sent.value
    try {
      const parsed = JSON.parse(answer.toString('utf8'))
      return status < 300 ? Result.ok(parsed as T) : Result.err(new ApiError(`${method} ${path}`, this._options.server, parsed as Problem))
    } catch (err) {
      return Result.err(this._callErrorOf(method, path, `answer with status ${status} is not JSON`, err))
    }
  }

  private async _send (method: Dispatcher.HttpMethod, path: string, body: HttpBody, headers: Record<string, string>):
  Promise<Result<HttpAnswer, CallError>> {
    const { server, token, timeoutMs } = this._options
    if (token !== undefined) headers.authorization = `Bearer ${token}`
    try {
      const res = await request(server + path, { method, body, headers, signal: AbortSignal.timeout(timeoutMs) })
      const answer = Buffer.from(await res.body.arrayBuffer())
      return Result.ok({ status: res.statusCode, headers: res.headers as Record<string, string>, body: answer })
    } catch (err) {
      if ((err as Error).name === 'TimeoutError') return Result.err(new CallTimeoutError(timeoutMs, { step: `${method} ${path}`, peer: server, effect: EFFECTS.unknown, hint: 'ask another entry VM' }))
      return Result.err(this._callErrorOf(method, path, errorText(err), err))
    }
  }

  private _callErrorOf (method: string, path: string, message: string, cause: unknown): CallError {
    const refused = (cause as { code?: string }).code === 'ECONNREFUSED'
    return new CallError(message, { step: `${method} ${path}`, peer: this._options.server, effect: refused ? EFFECTS.none : EFFECTS.unknown, hint: 'check --server, or ask another entry VM', cause })
  }
}
