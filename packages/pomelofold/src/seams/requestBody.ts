/**
 * Interface through which an HTTP app reads the body of a request, so that a request can be refused before its body is read.
 *
 * @module
 */

import type { Context } from 'hono'
import Result from 'true-myth/result'

/** Why a body cannot be read. */
export const BODY_ERRORS = {
  /** The body is larger than the limit. The rest of it is not read. */
  tooLarge: 'too-large',
  /** The server holds as much for its callers as it may. */
  noRoom: 'no-room',
  /** The caller has closed the connection. */
  aborted: 'aborted'
} as const

/** One of {@link BODY_ERRORS}. */
export type BodyError = typeof BODY_ERRORS[keyof typeof BODY_ERRORS]

/** Environment of a request that was received by a server of this library. */
export interface RequestEnvironment {
  /** Reads the body, which later reads of the request then return. */
  readBody?: (maxBytes: number) => Promise<Result<Uint8Array, BodyError>>
}

/** Reads the body of a request. No more than `maxBytes` of it are held. */
export async function readBody (ctx: Context, maxBytes: number): Promise<Result<Uint8Array, BodyError>> {
  const { readBody } = (ctx.env ?? {}) as RequestEnvironment
  if (readBody) return readBody(maxBytes)
  const body = new Uint8Array(await ctx.req.arrayBuffer())
  return body.length > maxBytes ? Result.err(BODY_ERRORS.tooLarge) : Result.ok(body)
}
