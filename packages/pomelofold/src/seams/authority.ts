/**
 * Interface for reading which claims this process holds. A claim is the right to send requests to one service instance, or
 * to place tasks on the workers of a failure domain. Claims are stored in the platform's key-value service, and one entry VM
 * holds each claim at a time; see `docs/design/authority.md`.
 *
 * @module
 */

/** Names of claims. Every claim belongs to one failure domain and is held by an entry VM of that domain. */
export const CLAIM_NAMES = {
  /** The right to place tasks on the workers of the failure domain. */
  placer: (failureDomain: string): string => `${failureDomain}/placer`,
  /** The right to send requests to the service instance. */
  instance: (failureDomain: string, instance: string): string => `${failureDomain}/instance/${instance}`
} as const

/** A listener that can be removed. */
export interface Subscription {
  cancel (): void
}

/** Read access to the claims. The claim keeper acquires and releases them. */
export interface Authority {
  /**
   * Returns the epoch under which this process holds `claim`, if it will hold it for at least `forMs` more milliseconds;
   * otherwise undefined. Call it right before each send, and send only what was decided under the same epoch:
   * when a process loses the claim and acquires it again, another holder may have acted in between, so that decisions
   * of the earlier epoch are obsolete.
   */
  epochOf (claim: string, forMs?: number): number | undefined
  /** Returns the names of the claims that this process holds. */
  heldClaims (): string[]
  /** Returns the VM that holds `claim` according to the last known claim map. It can be this VM. */
  holderOf (claim: string): string | undefined
  /** Calls `fn` after each change of the held claims or of the claim map. */
  onChange (fn: () => void): Subscription
}
