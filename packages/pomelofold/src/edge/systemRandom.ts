/**
 * Random numbers from the operating system.
 *
 * @module
 */

import { randomBytes, randomInt } from 'node:crypto'
import type { RandomSource } from '../seams/randomSource.js'

/** Bits of a random fraction: the widest range that `randomInt` accepts. */
const FRACTION_BITS = 48

/** {@link RandomSource} that uses the operating system's generator. */
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
