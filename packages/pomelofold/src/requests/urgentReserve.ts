/**
 * Slots kept free for urgent requests.
 *
 * @module
 */

/** Share of urgent requests that may find no free slot. */
const BLOCKED_SHARE = 0.01
/** Largest share of the slots that is kept free, where the scheduler's options give none. */
export const DEFAULT_URGENT_RESERVE = 0.05

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
export function urgentReserve ({ urgentPerMs, freedPerMs, slots, maxShare }: ReserveInput): number {
  const most = Math.floor(slots * maxShare)
  const ratio = urgentPerMs / freedPerMs
  if (!(ratio > BLOCKED_SHARE)) return 0
  let weight = 1
  let sum = 1
  for (let reserve = 0; reserve < most; reserve++) {
    if (weight / sum <= BLOCKED_SHARE) return reserve
    weight *= ratio
    sum += weight
  }
  return most
}
