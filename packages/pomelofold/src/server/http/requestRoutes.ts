/**
 * HTTP routes for callers to send requests to services and to query what happened to them.
 *
 * @module
 */

import { Hono, type Context } from 'hono'
import type { ContentfulStatusCode } from 'hono/utils/http-status'
import { z } from 'zod'
import { problem, type FieldFault, type ProblemKind } from '../../protocol/problem.js'
import { HEADERS, OUTCOMES, requestClassSchema, type ServiceAnswer } from '../../protocol/requests.js'
import type { Manifest } from '../../protocol/manifest.js'
import type { RandomSource } from '../../seams/randomSource.js'
import type { IncomingRequest, RequestService } from '../requestService.js'
import { receiveBody, sendFault, sendSchemaFaults, sendProblem, unknownTeamFault } from './problems.js'

/** Longest deadline that a caller may set, in milliseconds. */
const MAX_DEADLINE_MS = 300_000

/** Headers that callers set on a request to a service. */
export const callerHeadersSchema = z.object({
  [HEADERS.idempotencyKey]: z.string().min(1).max(256).optional(),
  [HEADERS.class]: requestClassSchema.default('normal'),
  [HEADERS.deadlineMs]: z.string().regex(/^\d+$/, 'must be a whole number of milliseconds').transform(Number).pipe(z.number().min(1).max(MAX_DEADLINE_MS)).optional(),
  [HEADERS.atMostOnce]: z.enum(['true', 'false']).default('false'),
  [HEADERS.team]: z.string().min(1).max(63).optional()
})

/** Headers of the caller that are forwarded to the upstream. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'traceparent', 'tracestate']

/** Options of {@link requestRoutes}. */
export interface RequestRoutesOptions {
  requests: RequestService
  manifest: () => Manifest
  random: RandomSource
  vm: string
  /** Largest body accepted, in bytes. */
  maxBodyBytes: number
}

/** Creates the routes for requests to services, relative to `/v1`. */
export function requestRoutes ({ requests, manifest, random, vm, maxBodyBytes }: RequestRoutesOptions): Hono {
  const app = new Hono()

  app.post('/services/:service/requests', async c => {
    const service = manifest().services.find(({ name }) => name === c.req.param('service'))
    if (!service) return sendFault(c, 'notFound', unknownServiceFault(c.req.param('service'), manifest()))
    const headers = callerHeadersSchema.safeParse(c.req.header())
    if (!headers.success) return sendSchemaFaults(c, headers.error, c.req.header())
    const team = headers.data[HEADERS.team]
    if (team !== undefined && !manifest().teams.some(({ name }) => name === team)) return sendFault(c, 'invalid', unknownTeamFault(HEADERS.team, team, manifest()))

    const limit = Math.min(maxBodyBytes, service.maxBodyBytes)
    const body = await receiveBody(c, { maxBodyBytes: limit, tooLargeMessage: `${service.name} accepts a body of at most ${limit} bytes` })
    if (body.isErr) return body.error

    const requestId = `${vm}.${random.hex(10)}`
    const incoming: IncomingRequest = {
      requestId,
      service: service.name,
      class: headers.data[HEADERS.class],
      team,
      deadlineMs: headers.data[HEADERS.deadlineMs] ?? service.defaultDeadlineMs,
      atMostOnce: headers.data[HEADERS.atMostOnce] === 'true',
      idempotencyKey: headers.data[HEADERS.idempotencyKey],
      headers: forwardedHeaders(c, requestId),
      body: body.value
    }
    return sendAnswer(c, requestId, await requests.handle(incoming))
  })

  app.get('/requests/:id', async c => {
    const record = await requests.explain(c.req.param('id'))
    return record ? c.json(record) : sendProblem(c, problem('notFound', `no reachable entry daemon has a record of request ${c.req.param('id')}; its outcome is unknown`, { outcome: OUTCOMES.unknown }))
  })

  return app
}

function forwardedHeaders (c: Context, requestId: string): Record<string, string> {
  const forwarded = FORWARDED_HEADERS.flatMap(name => {
    const value = c.req.header(name)
    return value === undefined ? [] : [[name, value]]
  })
  return Object.fromEntries([...forwarded, [HEADERS.requestId, requestId]])
}

/** Sends the complete answer of the upstream, or a problem document when there is none. */
function sendAnswer (c: Context, requestId: string, answer: ServiceAnswer): Response {
  c.header(HEADERS.requestId, requestId)
  c.header(HEADERS.outcome, answer.outcome)
  if (answer.waitedMs !== undefined) c.header(HEADERS.waitedMs, answer.waitedMs.toFixed(1))
  if (answer.outcome === OUTCOMES.ran && answer.detail === undefined) {
    return c.body(answer.body as Uint8Array<ArrayBuffer>, answer.status as ContentfulStatusCode, answer.headers)
  }
  const { outcome, step, peer, retryAfterMs } = answer
  const body = problem(PROBLEM_KIND_BY_STATUS[answer.status] ?? 'unavailable', answer.detail ?? 'the request was not answered', { outcome, step, peer, requestId, retryAfterMs })
  return sendProblem(c, { ...body, status: answer.status })
}

/** Kind of the problem document by the status of an answer. Answers with other statuses are sent as `unavailable`. */
const PROBLEM_KIND_BY_STATUS: Record<number, ProblemKind> = {
  404: 'notFound',
  409: 'conflict',
  503: 'overloaded',
  504: 'upstreamLost'
}

function unknownServiceFault (value: string, { services }: Manifest): FieldFault {
  const knownServices = services.map(service => service.name).join(', ') || '(none)'
  return { path: 'service', value, message: `the manifest in force names no service ${value}; it names: ${knownServices}` }
}
