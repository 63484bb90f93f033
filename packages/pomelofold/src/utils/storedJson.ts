/**
 * Decodes JSON texts that another process has written.
 *
 * @module
 */

import Result from 'true-myth/result'
import { z } from 'zod'
import { errorText } from './errors.js'

/** Parses a JSON text and validates it with a schema. The error describes the fault. */
export function decodeJson<T> (schema: z.ZodType<T>, text: string): Result<T, string> {
  try {
    const checked = schema.safeParse(JSON.parse(text))
    return checked.success ? Result.ok(checked.data) : Result.err(z.prettifyError(checked.error))
  } catch (err) {
    return Result.err(`not JSON: ${errorText(err)}`)
  }
}
