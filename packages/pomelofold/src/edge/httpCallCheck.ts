/**
 * Checks HTTP calls before they are passed to a connection pool.
 *
 * @module
 */

import { METHODS, validateHeaderName, validateHeaderValue } from 'node:http'
import { errorText } from '../utils/errors.js'

/** The parts of a call that can be malformed. */
export interface CallParts {
  method: string
  path: string
  headers?: Record<string, string>
}

/** Headers that the pool sets itself, and headers that apply to a single connection. */
const CONNECTION_HEADERS = new Set([
  'connection', 'content-length', 'expect', 'host', 'keep-alive', 'transfer-encoding', 'upgrade'
])

const PATH_PATTERN = /^\/[\u0021-\u00ff]*$/

/**
 * Describes what is malformed in a call. Returns undefined when the call is well-formed.
 * Malformed calls must not reach undici's Pool: it never reuses a connection to which it has assigned one.
 */
export function describeMalformedCall ({ method, path, headers = {} }: CallParts): string | undefined {
  if (!METHODS.includes(method) || method === 'CONNECT') return `the method ${JSON.stringify(method)} cannot be sent`
  if (!PATH_PATTERN.test(path)) return `the path ${JSON.stringify(path)} is not valid`
  for (const [name, value] of Object.entries(headers)) {
    if (CONNECTION_HEADERS.has(name.toLowerCase())) return `the header ${name} must not be set by the caller`
    try {
      validateHeaderName(name)
      validateHeaderValue(name, value)
    } catch (err) {
      return errorText(err)
    }
  }
}
