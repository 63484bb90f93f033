/**
 * Checks a call before it is given to a connection pool.
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

/** Headers that the pool writes itself, and those that belong to one connection. */
const CONNECTION_HEADERS = new Set([
  'connection', 'content-length', 'expect', 'host', 'keep-alive', 'transfer-encoding', 'upgrade'
])

const PATH_PATTERN = /^\/[\u0021-\u00ff]*$/

/**
 * Says what makes a call malformed; undefined when nothing does.
 * undici's Pool never uses a connection again to which it has given a malformed call.
 */
export function describeMalformedCall ({ method, path, headers = {} }: CallParts): string | undefined {
  if (!METHODS.includes(method) || method === 'CONNECT') return `the method ${JSON.stringify(method)} cannot be sent`
  if (!PATH_PATTERN.test(path)) return `the path ${JSON.stringify(path)} is not valid`
  for (const [name, value] of Object.entries(headers)) {
    if (CONNECTION_HEADERS.has(name.toLowerCase())) return `the header ${name} belongs to the connection`
    try {
      validateHeaderName(name)
      validateHeaderValue(name, value)
    } catch (err) {
      return errorText(err)
    }
  }
}
