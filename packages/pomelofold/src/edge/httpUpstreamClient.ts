/**
 * Client of upstream VMs over HTTP.
 *
 * Service instances serve requests at `/requests` followed by the request's path, and `GET /status`.
 * For workers, see `protocol/worker.ts`.
 *
 * @module
 */

import Result from 'true-myth/result'
import { z } from 'zod'
import { HttpCaller, type HttpAnswer, type HttpCall, type HttpCallerOptions } from './httpCaller.js'
import { taskStartAnswerSchema, workerReportSchema, type TaskStart, type TaskStartAnswer, type WorkerReport } from '../protocol/worker.js'
import { StaleEpochError, type InstanceAnswer, type InstanceRequest, type TaskCommand, type UpstreamClient } from '../seams/upstreamClient.js'
import { CallError, EFFECTS, errorText } from '../utils/errors.js'

/** Headers that apply to a single connection (RFC 9110, section 7.6.1), and headers that the sender sets itself. */
const HOP_BY_HOP_HEADERS = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'host', 'content-length', 'expect'
])

/** Maximum size of a worker's list of tasks, in bytes. */
const MAX_REPORT_BYTES = 16_000_000

const instanceStatusSchema = z.object({ running: z.number().int().nonnegative(), slots: z.number().int().nonnegative() })
const staleEpochSchema = z.object({ epoch: z.number().int() })

/** Removes hop-by-hop headers and the headers that the `connection` header names. Converts the names to lower case. */
export function endToEndHeaders (headers: Record<string, string>): Record<string, string> {
  const entries = Object.entries(headers).map(([name, value]): [string, string] => [name.toLowerCase(), value])
  const connection = entries.find(([name]) => name === 'connection')?.[1] ?? ''
  const connectionNames = new Set(connection.toLowerCase().split(',').map(name => name.trim()))
  return Object.fromEntries(entries.filter(([name]) => !HOP_BY_HOP_HEADERS.has(name) && !connectionNames.has(name)))
}

/** {@link UpstreamClient} over HTTP. It does not retry calls, so that nothing is sent twice. */
export class HttpUpstreamClient implements UpstreamClient {
  private readonly _caller: HttpCaller

  constructor (options: HttpCallerOptions) {
    this._caller = new HttpCaller(options)
  }

  async request (address: string, req: InstanceRequest, timeoutMs: number): Promise<Result<InstanceAnswer, CallError>> {
    const { method, path, headers, body } = req
    const result = await this._caller.call(address, {
      step: 'upstream.request',
      method,
      path: requestPath(path),
      headers: endToEndHeaders(headers),
      body: body.length ? body : undefined,
      timeoutMs
    })
    return result.map(answer => ({ ...answer, headers: endToEndHeaders(answer.headers) }))
  }

  instanceStatus (address: string, timeoutMs: number): Promise<Result<{ running: number, slots: number }, CallError>> {
    const call = { step: 'upstream.instanceStatus', method: 'GET', path: '/status', timeoutMs, mutates: false }
    return this._callJson(address, call, instanceStatusSchema)
  }

  async startTasks (address: string, epoch: number, starts: TaskStart[], timeoutMs: number):
  Promise<Result<TaskStartAnswer[], CallError>> {
    const call = jsonPost('upstream.startTasks', '/v1/starts', { epoch, starts }, timeoutMs)
    const result = await this._callJson(address, call, z.array(taskStartAnswerSchema))
    return result.andThen(answers => {
      const inOrder = answers.length === starts.length && answers.every((answer, index) => answer.taskId === starts[index].taskId)
      if (inOrder) return Result.ok(answers)
      return Result.err(new CallError('the answers do not match the starts in number and order', { step: call.step, peer: address, effect: EFFECTS.unknown }))
    })
  }

  renew (address: string, epoch: number, leaseMs: number, acknowledged: string[], timeoutMs: number, since?: string):
  Promise<Result<WorkerReport, CallError>> {
    const call = jsonPost('upstream.renew', '/v1/renewals', { epoch, leaseMs, acknowledged, since }, timeoutMs)
    return this._callJson(address, { ...call, maxAnswerBytes: MAX_REPORT_BYTES }, workerReportSchema)
  }

  async command (address: string, epoch: number, taskId: string, command: TaskCommand, timeoutMs: number):
  Promise<Result<void, CallError>> {
    const path = `/v1/tasks/${encodeURIComponent(taskId)}/${command}`
    const result = await this._callJson(address, jsonPost(`upstream.${command}`, path, { epoch }, timeoutMs), z.unknown())
    return result.map(() => undefined)
  }

  close (): Promise<void> {
    return this._caller.close()
  }

  private async _callJson<T> (address: string, call: HttpCall, schema: z.ZodType<T>): Promise<Result<T, CallError>> {
    const result = await this._caller.call(address, call)
    return result.andThen(answer => parseAnswer(address, call, schema, answer))
  }
}

function requestPath (path: string): string {
  if (path === '/') return '/requests'
  return path.startsWith('/') ? `/requests${path}` : `/requests/${path}`
}

function jsonPost (step: string, path: string, body: unknown, timeoutMs: number): HttpCall {
  return { step, method: 'POST', path, headers: { 'content-type': 'application/json' }, body: JSON.stringify(body), timeoutMs }
}

function parseAnswer<T> (peer: string, call: HttpCall, schema: z.ZodType<T>, answer: HttpAnswer): Result<T, CallError> {
  const { step, mutates = true } = call
  const details = { step, peer, effect: mutates ? EFFECTS.unknown : EFFECTS.none }
  try {
    const json: unknown = JSON.parse(Buffer.from(answer.body).toString('utf8') || 'null')
    if (answer.status === 409) return Result.err(new StaleEpochError(staleEpochSchema.parse(json).epoch, details))
    if (answer.status >= 300) return Result.err(new CallError(`answered with status ${answer.status}`, details))
    return Result.ok(schema.parse(json))
  } catch (err) {
    const text = err instanceof z.ZodError ? z.prettifyError(err) : errorText(err)
    return Result.err(new CallError(`status ${answer.status} with an invalid answer: ${text}`, { ...details, cause: err }))
  }
}
