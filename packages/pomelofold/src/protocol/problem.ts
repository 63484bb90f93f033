/**
 * Problem documents (RFC 9457) of the HTTP interface.
 *
 * @module
 */

import type { z } from 'zod'
import type { Outcome } from './requests.js'
import { shorten } from '../utils/shorten.js'

/** Content type of problem documents. */
export const PROBLEM_CONTENT_TYPE = 'application/problem+json'

/** An invalid field of a document: its path, what is allowed, and the value found. */
export interface FieldFault {
  path: string
  message: string
  value?: unknown
}

/** Body of an error answer. */
export interface Problem {
  type: string
  title: string
  status: number
  detail: string
  outcome?: Outcome
  step?: string
  peer?: string
  requestId?: string
  /** Recommended delay before the caller retries, in milliseconds. */
  retryAfterMs?: number
  faults?: FieldFault[]
}

/** Kinds of problems. The `type` of a document is `urn:pomelofold:problem:<kind>`. */
export const PROBLEMS = {
  invalid: { status: 400, title: 'The input is not valid' },
  unauthorized: { status: 401, title: 'A valid token is required' },
  forbidden: { status: 403, title: 'The token does not allow this' },
  notFound: { status: 404, title: 'Not found' },
  conflict: { status: 409, title: 'Conflict with the current state' },
  tooLarge: { status: 413, title: 'The input is too large' },
  cannotRun: { status: 422, title: 'No VM can ever run this' },
  overloaded: { status: 503, title: 'Cannot start in time' },
  unavailable: { status: 503, title: 'A needed part cannot be reached' },
  upstreamLost: { status: 504, title: 'The upstream did not answer' }
} as const

/** One of {@link PROBLEMS}. */
export type ProblemKind = keyof typeof PROBLEMS

/** Builds a problem document. */
export function problem (kind: ProblemKind, detail: string, options: Omit<Partial<Problem>, 'type' | 'title' | 'status' | 'detail'> = {}): Problem {
  return { type: `urn:pomelofold:problem:${kind}`, ...PROBLEMS[kind], detail, ...options }
}

/** Maximum length of an invalid value that an answer quotes. */
const MAX_VALUE_CHARS = 100

/** Maximum length of the path of a fault, which may hold keys of the input, and of the message about it. */
const MAX_TEXT_CHARS = 1_000

/** Maximum number of faults that an answer describes. */
const MAX_FAULTS = 10

/** Lists the first invalid fields of `input`, which a schema has rejected with `err`. */
export function fieldFaults (err: z.ZodError, input: unknown): FieldFault[] {
  return err.issues.slice(0, MAX_FAULTS).map(issue => {
    const path = issue.path.length ? shorten(issue.path.map(String).join('.'), MAX_TEXT_CHARS) : '(root)'
    const fault: FieldFault = { path, message: shorten(issue.message, MAX_TEXT_CHARS) }
    const value = issue.path.reduce<unknown>((parent, step) => (parent as Record<PropertyKey, unknown> | undefined)?.[step], input)
    if (value !== undefined && typeof value !== 'object') fault.value = String(value).slice(0, MAX_VALUE_CHARS)
    return fault
  })
}

/** Describes the first invalid fields of `input`, which a schema has rejected with `err`, and tells the number of the others. */
export function describeFaults (err: z.ZodError, input: unknown): string {
  const texts = fieldFaults(err, input).map(({ path, message }) => `${path}: ${message}`)
  const omitted = err.issues.length - texts.length
  return [...texts, ...omitted > 0 ? [`and ${omitted} more faults`] : []].join('; ')
}
