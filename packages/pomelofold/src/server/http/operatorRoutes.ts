/**
 * HTTP routes for operators: manifest, status, figures and drain.
 *
 * @module
 */

import { Hono, type Context } from 'hono'
import { match } from 'ts-pattern'
import { z } from 'zod'
import type { ManifestKeeper } from '../../config/manifestKeeper.js'
import { manifestSchema } from '../../protocol/manifest.js'
import { problem } from '../../protocol/problem.js'
import { OUTCOMES } from '../../protocol/requests.js'
import { EFFECTS, type CallError } from '../../utils/errors.js'
import { receiveJson, sendSchemaFaults, sendProblem } from './problems.js'

/** Retry delay for operators after a submission failed because the platform was unreachable, in milliseconds. */
const PLATFORM_RETRY_AFTER_MS = 2_000

const submissionSchema = z.strictObject({
  /** Revision of the manifest that this one replaces; 0 when there was none. */
  baseRevision: z.number().int().nonnegative(),
  manifest: manifestSchema
})

/** Options of {@link operatorRoutes}. */
export interface OperatorRoutesOptions {
  manifest: ManifestKeeper
  status: () => Record<string, unknown>
  figures: () => Promise<{ figures: Record<string, unknown>, unreachable: string[] }>
  drain: () => void
  /** Largest body accepted, in bytes. */
  maxBodyBytes: number
}

/** Creates the routes for operators, relative to `/v1`. */
export function operatorRoutes ({ manifest, status, figures, drain, maxBodyBytes }: OperatorRoutesOptions): Hono {
  const app = new Hono()

  app.get('/manifest', c => c.json(manifest.current()))

  app.put('/manifest', async c => {
    const body = await receiveJson(c, { maxBodyBytes })
    if (body.isErr) return body.error
    const submission = submissionSchema.safeParse(body.value)
    if (!submission.success) return sendSchemaFaults(c, submission.error, body.value)
    const submitted = await manifest.submit(submission.data.manifest, submission.data.baseRevision)
    if (submitted.isErr) return sendPlatformError(c, submitted.error)
    return match(submitted.value)
      .with({ kind: 'accepted' }, ({ revision }) => c.json({ revision }))
      .with({ kind: 'conflict' }, ({ revision }) => sendProblem(c, problem('conflict',
        `the manifest was made against revision ${submission.data.baseRevision}, but ${revision} is in force; compare with it and submit against ${revision}`,
        { outcome: OUTCOMES.notRun, step: 'baseRevision' })))
      .exhaustive()
  })

  app.get('/status', c => c.json(status()))
  app.get('/figures', async c => c.json(await figures()))
  app.post('/drain', c => {
    drain()
    return c.json({ leaving: true }, 202)
  })

  return app
}

/** Answers that the call to the platform failed. The outcome is `unknown` when the manifest may have been committed. */
function sendPlatformError (c: Context, { message, step, peer, effect }: CallError): Response {
  const outcome = effect === EFFECTS.none ? OUTCOMES.notRun : OUTCOMES.unknown
  return sendProblem(c, problem('unavailable', message, { outcome, step, peer, retryAfterMs: PLATFORM_RETRY_AFTER_MS }))
}
