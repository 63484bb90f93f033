/**
 * Combines the HTTP routes of an entry daemon with its body limit, health checks, metrics and error answers.
 *
 * @module
 */

import { Hono, type Context } from 'hono'
import { bodyLimit } from 'hono/body-limit'
import type { EventLog } from '../../utils/eventLog.js'
import { errorText } from '../../utils/errors.js'
import { problem } from '../../protocol/problem.js'
import { OUTCOMES } from '../../protocol/requests.js'
import { sendFault, sendProblem } from './problems.js'

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
  app.use('/v1/*', bodyLimit({
    maxSize: maxBodyBytes,
    onError: c => refuseOversizedBody(c, maxBodyBytes)
  }))
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

/** Refuses a body without reading the rest of it. `connection: close` tells the caller that the connection cannot be reused. */
function refuseOversizedBody (c: Context, maxBodyBytes: number): Response {
  c.header('connection', 'close')
  return sendFault(c, 'tooLarge', { path: '(root)', message: `the body is over ${maxBodyBytes} bytes` })
}
