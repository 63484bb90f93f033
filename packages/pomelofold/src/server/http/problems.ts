/**
 * Error answers of the HTTP interface.
 *
 * @module
 */

import type { Context } from 'hono'
import type { ContentfulStatusCode } from 'hono/utils/http-status'
import type { z } from 'zod'
import type { Manifest } from '../../protocol/manifest.js'
import { HEADERS, OUTCOMES } from '../../protocol/requests.js'
import { fieldFaults, PROBLEM_CONTENT_TYPE, problem, type FieldFault, type Problem, type ProblemKind } from '../../protocol/problem.js'

/** Sends a problem document, with its outcome in a header and its retry delay in `Retry-After`, rounded up to whole seconds. */
export function sendProblem (c: Context, body: Problem): Response {
  const headers: Record<string, string> = { 'content-type': PROBLEM_CONTENT_TYPE }
  if (body.outcome !== undefined) headers[HEADERS.outcome] = body.outcome
  if (body.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(body.retryAfterMs / 1000)))
  return c.body(JSON.stringify(body), body.status as ContentfulStatusCode, headers)
}

/** Answers that an input does not match its schema. The outcome is `not-run`. */
export function sendSchemaFaults (c: Context, err: z.ZodError, input: unknown): Response {
  const faults = fieldFaults(err, input)
  const detail = faults.map(fault => `${fault.path}: ${fault.message}`).join('; ')
  return sendProblem(c, problem('invalid', detail, { faults, outcome: OUTCOMES.notRun }))
}

/** Answers that one value is refused, for example because it is out of bounds or names an unknown team. The outcome is `not-run`. */
export function sendFault (c: Context, kind: ProblemKind, fault: FieldFault): Response {
  return sendProblem(c, problem(kind, `${fault.path}: ${fault.message}`, { faults: [fault], outcome: OUTCOMES.notRun }))
}

/** Reads a JSON body. Returns the error answer to send as `refusal` when the body is not JSON. */
export async function readJson (c: Context): Promise<{ json: unknown } | { refusal: Response }> {
  const text = await c.req.text()
  try {
    return { json: JSON.parse(text) }
  } catch (err) {
    return { refusal: sendFault(c, 'invalid', { path: '(root)', message: `the body is not JSON: ${(err as Error).message}` }) }
  }
}

/** Fault of a field whose value is not a team of the manifest. */
export function unknownTeamFault (path: string, value: string, { teams }: Manifest): FieldFault {
  const knownTeams = teams.map(team => team.name).join(', ') || '(none)'
  return { path, value, message: `the manifest in force names no team ${value}; it names: ${knownTeams}` }
}
