/**
 * Random numbers drawn from the system.
 *
 * @module
 */

import { randomBytes, randomInt } from 'node:crypto'
import type { RandomSource } from '../seams/randomSource.js'

/** Bits of a float's fraction. */
const FRACTION_BITS = 48

/** Random source by the operating system's generator. */
export class SystemRandom implements RandomSource {
  next (): number {
    return randomInt(2 ** FRACTION_BITS - 1) / 2 ** FRACTION_BITS
  }

  int (bound: number): number {
    return randomInt(bound)
  }

  hex (bytes: number): string {
    return randomBytes(bytes).toString('hex')
  }
}
