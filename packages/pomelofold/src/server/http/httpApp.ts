/**
 * Combines the HTTP routes of an entry daemon with its health checks, metrics and error answers.
 *
 * @module
 */

import { Hono } from 'hono'
import type { EventLog } from '../../utils/eventLog.js'
import { errorText } from '../../utils/errors.js'
import { problem } from '../../protocol/problem.js'
import { OUTCOMES } from '../../protocol/requests.js'
import { sendProblem } from './problems.js'

/** Options of {@link createHttpApp}. */
export interface HttpAppOptions {
  routes: Hono[]
  log: EventLog
  /** Whether this daemon accepts requests, and why not. */
  ready: () => { ready: boolean, reason?: string }
  /** Metrics in the text format of Prometheus. */
  metrics: () => Promise<string>
}

/** Creates the HTTP interface of an entry daemon. */
export function createHttpApp ({ routes, log, ready, metrics }: HttpAppOptions): Hono {
  const app = new Hono()
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
