/**
 * Combines the HTTP routes of an entry daemon with its body limit, health checks, metrics and error answers.
 *
 * @module
 */

import { Hono, type Context, type Next } from 'hono'
import type { EventLog } from '../../utils/eventLog.js'
import { errorText } from '../../utils/errors.js'
import { problem } from '../../protocol/problem.js'
import { OUTCOMES } from '../../protocol/requests.js'
import { BODY_ERRORS, readBody, type BodyError } from '../../seams/requestBody.js'
import { sendFault, sendProblem } from './problems.js'

/** Delay after which a caller may repeat a request whose body there was no room for, in milliseconds. */
const RETRY_AFTER_MS = 1_000

/** Options of {@link createHttpApp}. */
export interface HttpAppOptions {
  routes: Hono[]
  log: EventLog
  /** Largest body accepted, in bytes. */
  maxBodyBytes: number
  /** Whether this daemon accepts requests, and why not. */
  ready: () => { ready: boolean, reason?: string }
  /** Metrics in the text format of Prometheus. */
  metrics: () => Promise<string>
}

/** Creates the HTTP interface of an entry daemon. */
export function createHttpApp ({ routes, log, maxBodyBytes, ready, metrics }: HttpAppOptions): Hono {
  const app = new Hono()
  app.use('/v1/*', (c, next) => limitBody(c, next, maxBodyBytes))
  for (const route of routes) app.route('/v1', route)
  app.get('/healthz', c => c.text('ok\n'))
  app.get('/readyz', c => {
    const { ready: isReady, reason } = ready()
    return isReady ? c.text('ready\n') : c.text(`${reason}\n`, 503)
  })
  app.get('/metrics', async c => c.text(await metrics(), 200, { 'content-type': 'text/plain; version=0.0.4' }))
  app.notFound(c => sendProblem(c, problem('notFound', `there is no ${c.req.method} ${c.req.path}; see docs/API.md`, { outcome: OUTCOMES.notRun })))
  app.onError((err, c) => {
    log.event('error', 'http.failed', { step: `${c.req.method} ${c.req.path}`, detail: errorText(err) })
    return sendProblem(c, { ...problem('unavailable', 'internal error; see the log of the daemon', { outcome: OUTCOMES.unknown }), status: 500 })
  })
  return app
}

/** Reads the body within the limit. Requests whose body cannot be read go no further. */
async function limitBody (c: Context, next: Next, maxBodyBytes: number): Promise<Response | void> {
  if (BODILESS_METHODS.has(c.req.method)) return next()
  const body = await readBody(c, maxBodyBytes)
  return body.isErr ? BODY_REFUSALS[body.error](c, maxBodyBytes) : next()
}

const BODILESS_METHODS = new Set(['GET', 'HEAD'])

const BODY_REFUSALS: Record<BodyError, (c: Context, maxBodyBytes: number) => Response> = {
  [BODY_ERRORS.tooLarge]: (c, maxBodyBytes) => sendFault(c, 'tooLarge', { path: '(root)', message: `the body is over ${maxBodyBytes} bytes` }),
  [BODY_ERRORS.noRoom]: c => sendProblem(c, problem('overloaded', 'too many requests are in progress', { outcome: OUTCOMES.notRun, retryAfterMs: RETRY_AFTER_MS })),
  [BODY_ERRORS.aborted]: c => sendFault(c, 'invalid', { path: '(root)', message: 'the body is not complete' })
}
