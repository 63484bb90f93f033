/**
 * Which upstreams and duties this process decides for. Held by claims in the platform's service;
 * see `docs/design/authority.md`.
 *
 * @module
 */

/** Names of claims. Every claim belongs to one failure domain and is held by one of its entry VMs. */
export const CLAIM_NAMES = {
  /** Placement of tasks on all workers of the failure domain. */
  placer: (failureDomain: string): string => `${failureDomain}/placer`,
  /** Sending of requests to the service instance. */
  instance: (failureDomain: string, instance: string): string => `${failureDomain}/instance/${instance}`
} as const

/** A listener that can be removed. */
export interface Subscription {
  cancel (): void
}

/** Answers who decides for what. Queries only; claims are taken and given up by the claim keeper. */
export interface Authority {
  /**
   * Epoch under which this process holds `claim` now and will for at least `forMs` milliseconds more.
   * Undefined when it does not. Ask right before each send, and send only what was decided under the same
   * epoch: a process that lost the claim and has it again may hold decisions that another holder has overtaken.
   */
  epochOf (claim: string, forMs?: number): number | undefined
  /** Names of the claims that this process holds now. */
  heldClaims (): string[]
  /** VM that holds `claim` by the last known claim map, this one included. */
  holderOf (claim: string): string | undefined
  /** Calls `fn` after the set of held claims or the claim map has changed. */
  onChange (fn: () => void): Subscription
}
