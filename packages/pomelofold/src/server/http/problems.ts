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

/** Sends a problem document, with the outcome in a header and with `Retry-After` in whole seconds when it says when to come back. */
export function sendProblem (c: Context, body: Problem): Response {
  const headers: Record<string, string> = { 'content-type': PROBLEM_CONTENT_TYPE }
  if (body.outcome !== undefined) headers[HEADERS.outcome] = body.outcome
  if (body.retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(body.retryAfterMs / 1000)))
  return c.body(JSON.stringify(body), body.status as ContentfulStatusCode, headers)
}

/** Sends the faults of an input that a schema has refused. Nothing of it has been run. */
export function sendSchemaFaults (c: Context, err: z.ZodError, input: unknown): Response {
  const faults = fieldFaults(err, input)
  const detail = faults.map(fault => `${fault.path}: ${fault.message}`).join('; ')
  return sendProblem(c, problem('invalid', detail, { faults, outcome: OUTCOMES.notRun }))
}

/** Sends the refusal of one field that is well formed but names what does not exist, or is out of bounds. */
export function sendFault (c: Context, kind: ProblemKind, fault: FieldFault): Response {
  return sendProblem(c, problem(kind, `${fault.path}: ${fault.message}`, { faults: [fault], outcome: OUTCOMES.notRun }))
}

/** Reads a JSON body. Undefined, with the problem to send, when it is not JSON. */
export async function readJson (c: Context): Promise<{ json: unknown } | { refusal: Response }> {
  const text = await c.req.text()
  try {
    return { json: JSON.parse(text) }
  } catch (err) {
    return { refusal: sendFault(c, 'invalid', { path: '(root)', message: `the body is not JSON: ${(err as Error).message}` }) }
  }
}

/** The fault of naming a team that the manifest does not. */
export function unknownTeamFault (path: string, value: string, { teams }: Manifest): FieldFault {
  const known = teams.map(team => team.name).join(', ') || '(none)'
  return { path, value, message: `the manifest in force names no team ${value}; it names: ${known}` }
}
