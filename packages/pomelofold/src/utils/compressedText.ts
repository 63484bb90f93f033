/**
 * Compressed texts for messages.
 *
 * @module
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import Result from 'true-myth/result'
import { errorText } from './errors.js'

/** Maximum size of a decompressed text, in bytes: several times that of the largest stored value. */
const MAX_TEXT_BYTES = 16_000_000

/** Compresses a text. */
export function compressText (text: string): Uint8Array<ArrayBuffer> {
  return new Uint8Array(deflateRawSync(text))
}

/** Decompresses a text. The error describes the fault. */
export function decompressText (bytes: Uint8Array): Result<string, string> {
  try {
    return Result.ok(inflateRawSync(bytes, { maxOutputLength: MAX_TEXT_BYTES }).toString('utf8'))
  } catch (err) {
    return Result.err(`the text cannot be decompressed: ${errorText(err)}`)
  }
}
