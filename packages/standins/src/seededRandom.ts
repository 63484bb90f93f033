/**
 * Pseudo-random numbers from a seed, for repeatable tests.
 *
 * @module
 */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import type { RandomSource } from 'pomelofold/seams/randomSource'

/** Random source that returns the same sequence for the same seed. */
export class SeededRandom implements RandomSource {
  private readonly _generator

  constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  next (): number {
    return uniformFloat64(this._generator)
  }

  int (bound: number): number {
    return uniformInt(this._generator, 0, bound - 1)
  }

  hex (bytes: number): string {
    return Array.from({ length: bytes }, () => this.int(256).toString(16).padStart(2, '0')).join('')
  }
}
