/**
 * Error answers of the HTTP interface.
 *
 * @module
 */

import type { Context } from 'hono'
import Result from 'true-myth/result'
import type { ContentfulStatusCode } from 'hono/utils/http-status'
import type { z } from 'zod'
import type { Manifest } from '../../protocol/manifest.js'
import { HEADERS, OUTCOMES } from '../../protocol/requests.js'
import { describeFaults, fieldFaults, PROBLEM_CONTENT_TYPE, problem, type FieldFault, type Problem, type ProblemKind } from '../../protocol/problem.js'
import { BODY_ERRORS, readBody, type BodyError } from '../../seams/requestBody.js'

/** Delay after which a caller may repeat a request whose body there was no room for, in milliseconds. */
const RETRY_AFTER_MS = 1_000

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
  return sendProblem(c, problem('invalid', describeFaults(err, input), { faults, outcome: OUTCOMES.notRun }))
}

/** Answers that one value is refused, for example because it is out of bounds or names an unknown team. The outcome is `not-run`. */
export function sendFault (c: Context, kind: ProblemKind, fault: FieldFault): Response {
  return sendProblem(c, problem(kind, `${fault.path}: ${fault.message}`, { faults: [fault], outcome: OUTCOMES.notRun }))
}

/** Options of {@link receiveBody}. */
export interface BodyOptions {
  maxBodyBytes: number
  /** Says that the body is larger than the limit. */
  tooLargeMessage?: string
}

/** Reads a body within the limit. The error is the answer to send when it cannot be read. */
export async function receiveBody (c: Context, { maxBodyBytes, tooLargeMessage }: BodyOptions): Promise<Result<Uint8Array, Response>> {
  const body = await readBody(c, maxBodyBytes)
  return body.mapErr(error => BODY_REFUSALS[error](c, tooLargeMessage ?? `the body is over ${maxBodyBytes} bytes`))
}

/** Reads a JSON body. The error is the answer to send when it cannot be read, or is not JSON. */
export async function receiveJson (c: Context, options: BodyOptions): Promise<Result<unknown, Response>> {
  const body = await receiveBody(c, options)
  if (body.isErr) return Result.err(body.error)
  try {
    return Result.ok(JSON.parse(new TextDecoder().decode(body.value)))
  } catch (err) {
    return Result.err(sendFault(c, 'invalid', { path: '(root)', message: `the body is not JSON: ${(err as Error).message}` }))
  }
}

const BODY_REFUSALS: Record<BodyError, (c: Context, tooLargeMessage: string) => Response> = {
  [BODY_ERRORS.tooLarge]: (c, tooLargeMessage) => sendFault(c, 'tooLarge', { path: '(root)', message: tooLargeMessage }),
  [BODY_ERRORS.noRoom]: c =>
    sendProblem(c, problem('overloaded', 'too many requests are in progress', { outcome: OUTCOMES.notRun, retryAfterMs: RETRY_AFTER_MS })),
  [BODY_ERRORS.aborted]: c => sendFault(c, 'invalid', { path: '(root)', message: 'the body is not complete' })
}

/** Fault of a field whose value is not a team of the manifest. */
export function unknownTeamFault (path: string, value: string, { teams }: Manifest): FieldFault {
  const knownTeams = teams.map(team => team.name).join(', ') || '(none)'
  return { path, value, message: `the manifest in force names no team ${value}; it names: ${knownTeams}` }
}
