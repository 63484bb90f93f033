/**
 * Randomness. Seeded in tests and benchmarks, drawn from the system in daemons.
 *
 * @module
 */

/** Source of random numbers and identifiers. */
export interface RandomSource {
  /** Uniform in [0, 1). */
  next (): number
  /** Uniform integer in [0, bound). */
  int (bound: number): number
  /** A lower-case hexadecimal string of `bytes` random bytes. */
  hex (bytes: number): string
}
