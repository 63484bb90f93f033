/**
 * HTTP routes for callers to submit, query and cancel jobs.
 *
 * @module
 */

import { Hono, type Context } from 'hono'
import { match } from 'ts-pattern'
import { jobSpecSchema } from '../../protocol/jobs.js'
import type { Manifest } from '../../protocol/manifest.js'
import type { JobAnswer } from '../../protocol/peerMessages.js'
import { problem } from '../../protocol/problem.js'
import { HEADERS, OUTCOMES } from '../../protocol/requests.js'
import type { JobService } from '../jobService.js'
import { receiveJson, sendFault, sendSchemaFaults, sendProblem, unknownTeamFault } from './problems.js'

/** Longest idempotency key accepted, in characters. */
const MAX_IDEMPOTENCY_KEY_CHARS = 256

/** Options of {@link jobRoutes}. */
export interface JobRoutesOptions {
  jobs: JobService
  manifest: () => Manifest
  /** Largest body accepted, in bytes. */
  maxBodyBytes: number
}

/** Creates the routes for jobs, relative to `/v1`. */
export function jobRoutes ({ jobs, manifest, maxBodyBytes }: JobRoutesOptions): Hono {
  const app = new Hono()

  app.post('/jobs', async c => {
    const key = c.req.header(HEADERS.idempotencyKey)
    if (key !== undefined && (key.length === 0 || key.length > MAX_IDEMPOTENCY_KEY_CHARS)) return sendFault(c, 'invalid', { path: HEADERS.idempotencyKey, message: `must have 1 to ${MAX_IDEMPOTENCY_KEY_CHARS} characters` })
    const body = await receiveJson(c, { maxBodyBytes })
    if (body.isErr) return body.error
    const spec = jobSpecSchema.safeParse(body.value)
    if (!spec.success) return sendSchemaFaults(c, spec.error, body.value)
    const teams = manifest().teams.map(team => team.name)
    if (!teams.includes(spec.data.team)) return sendFault(c, 'invalid', unknownTeamFault('team', spec.data.team, manifest()))
    return sendJobAnswer(c, await jobs.submit(spec.data, key), 202)
  })

  app.get('/jobs', async c => c.json(await jobs.list()))
  app.get('/jobs/:id', async c => sendJobAnswer(c, await jobs.get(c.req.param('id')), 200))
  app.get('/jobs/:id/history', async c => {
    const explained = await jobs.explain(c.req.param('id'))
    return explained ? c.json(explained) : sendProblem(c, problem('notFound', `no reachable entry daemon manages the job ${c.req.param('id')}`, { outcome: OUTCOMES.unknown }))
  })
  app.delete('/jobs/:id', async c => sendJobAnswer(c, await jobs.cancel(c.req.param('id')), 200))

  return app
}

function sendJobAnswer (c: Context, answer: JobAnswer, status: 200 | 202): Response {
  return match(answer)
    .with({ kind: 'job' }, ({ job }) => c.json(job, status))
    .with({ kind: 'notFound' }, () => sendProblem(c, problem('notFound', `there is no job ${c.req.param('id') ?? ''}`, { outcome: OUTCOMES.unknown })))
    .with({ kind: 'conflict' }, ({ detail }) => sendProblem(c, problem('conflict', detail, { outcome: OUTCOMES.notRun, step: HEADERS.idempotencyKey })))
    .with({ kind: 'cannotRun' }, ({ detail }) => sendProblem(c, problem('cannotRun', detail, { outcome: OUTCOMES.notRun })))
    .with({ kind: 'unavailable' }, ({ detail, retryAfterMs, mayHaveEffect }) =>
      sendProblem(c, problem('unavailable', detail, { outcome: mayHaveEffect ? OUTCOMES.unknown : OUTCOMES.notRun, retryAfterMs })))
    .exhaustive()
}
