/**
 * JSON files that are validated with a schema.
 *
 * @module
 */

import { readFileSync } from 'node:fs'
import Result from 'true-myth/result'
import type { z } from 'zod'
import { errorText } from './errors.js'

/** A file cannot be read, or is not valid. Each of `faults` states a field's path, what is allowed, and the value found. */
export class FileError extends Error {
  override readonly name = 'FileError'
  readonly faults: string[]

  constructor (file: string, faults: string[]) {
    super(`${file}:\n${faults.map(fault => `  ${fault}`).join('\n')}`)
    this.faults = faults
  }
}

/** Reads a JSON file and validates it. The error lists all faults. */
export function readJsonFile<S extends z.ZodType> (file: string, schema: S): Result<z.output<S>, FileError> {
  let input: unknown
  try {
    input = JSON.parse(readFileSync(file, 'utf8'))
  } catch (err) {
    return Result.err(new FileError(file, [errorText(err)]))
  }
  const parsed = schema.safeParse(input)
  if (parsed.success) return Result.ok(parsed.data)
  return Result.err(new FileError(file, parsed.error.issues.map(issue => describeFault(issue, input))))
}

/** Describes one fault: the path, what is wrong, and the value found. */
function describeFault (issue: z.core.$ZodIssue, input: unknown): string {
  const path = issue.path.map(String).join('.') || '(root)'
  const value = issue.path.reduce<unknown>((parent, step) => (parent as Record<PropertyKey, unknown> | undefined)?.[step], input)
  const shown = value === undefined || typeof value === 'object' ? '' : ` (found ${JSON.stringify(value)})`
  return `${path}: ${issue.message}${shown}`
}
