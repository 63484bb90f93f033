/**
 * Interface of random sources: seeded in tests and benchmarks, the system's generator in daemons.
 *
 * @module
 */

/** Source of random numbers and identifiers. */
export interface RandomSource {
  /** Returns a number that is uniformly distributed in [0, 1). */
  next (): number
  /** Returns an integer that is uniformly distributed in [0, bound). */
  int (bound: number): number
  /** Returns `bytes` random bytes as lower-case hexadecimal digits. */
  hex (bytes: number): string
}
