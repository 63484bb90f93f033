/**
 * Number of slots to keep free for urgent requests.
 *
 * @module
 */

/** Target for the share of urgent requests that find no free slot. */
const MAX_BLOCKED_SHARE = 0.01
/** Default for the largest share of the slots that is kept free. */
export const DEFAULT_MAX_URGENT_RESERVE_SHARE = 0.05

/** Inputs of {@link urgentReserveSlots}. */
export interface ReserveInput {
  /** Rate at which urgent requests arrive. */
  urgentPerMs: number
  /** Rate at which slots become free. */
  freedPerMs: number
  slots: number
  /** Largest share of the slots that is kept free. */
  maxShare: number
}

/**
 * Smallest number of slots with which the share of urgent requests that find no free slot stays at the target, within
 * the maximum. The number of free reserved slots is modelled as a birth-death chain: urgent requests occupy them at
 * `urgentPerMs` and slots that become free refill them at `freedPerMs`.
 */
export function urgentReserveSlots ({ urgentPerMs, freedPerMs, slots, maxShare }: ReserveInput): number {
  const maxReserve = Math.floor(slots * maxShare)
  const ratio = urgentPerMs / freedPerMs
  if (!(ratio > MAX_BLOCKED_SHARE)) return 0
  let weight = 1
  let sum = 1
  for (let reservedSlots = 0; reservedSlots < maxReserve; reservedSlots++) {
    if (weight / sum <= MAX_BLOCKED_SHARE) return reservedSlots
    weight *= ratio
    sum += weight
  }
  return maxReserve
}
