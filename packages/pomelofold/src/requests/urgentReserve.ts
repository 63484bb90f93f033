/**
 * Slots kept free for urgent requests.
 *
 * @module
 */

/** Share of urgent requests that may find no free slot. */
const MAX_BLOCKED_SHARE = 0.01
/** Largest share of the slots that is kept free, where the scheduler's options give none. */
export const DEFAULT_MAX_URGENT_RESERVE_SHARE = 0.05

/** What the reserve is worked out from. */
export interface ReserveInput {
  urgentPerMs: number
  freedPerMs: number
  slots: number
  /** Largest share of the slots that is kept free. */
  maxShare: number
}

/**
 * Number of slots to keep free. Urgent requests take them at `urgentPerMs`, and slots that become
 * free refill them at `freedPerMs`; the free ones form a birth-death chain.
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
