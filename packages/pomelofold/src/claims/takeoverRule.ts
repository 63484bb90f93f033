/**
 * Decides whether a claimant may take over the claims of a holder whose member key is absent.
 *
 * @module
 */

import type { Claimant } from './claimMap.js'
import { maxDurationMs } from './clockDrift.js'

/** Facts about the claimant (`self`) and the holder on which the decision is based. */
export interface TakeoverFacts {
  self: Claimant
  holder: Claimant
  /** True when the holder's VM was removed from the platform's list of VMs. */
  vmRemoved: boolean
  /** True while a promise of this process to the holder is in force. */
  isPromiseOutstanding: boolean
  /** Largest epoch that the holder has published in its member key. */
  publishedByHolder: number
  /** Time since this process started, in milliseconds. */
  uptimeMs: number
  outagePromiseMs: number
}

/**
 * Without a lease, a holder may still use its claims if it has promises of all claimants in the claim map that it has
 * read. A claimant may take over only if the holder needs its promise, and if no promise to the holder is in force, neither
 * its own nor one of an earlier incarnation of its VM. A holder whose VM was removed no longer runs, so nothing else is
 * checked.
 */
export function mayTakeOver (facts: TakeoverFacts): boolean {
  if (facts.vmRemoved) return true
  if (facts.isPromiseOutstanding) return false
  return holderNeedsThisPromise(facts) || haveEarlierPromisesEnded(facts)
}

/** True when the claim map that the holder has read contains this incarnation, so that the holder needs its promise. */
function holderNeedsThisPromise ({ self, holder, publishedByHolder }: TakeoverFacts): boolean {
  return self.entered < holder.entered || self.entered <= publishedByHolder
}

/** True when the holder needs the promise of this VM, and all promises of earlier incarnations of the VM have ended. */
function haveEarlierPromisesEnded ({ self, holder, uptimeMs, outagePromiseMs }: TakeoverFacts): boolean {
  return self.since < holder.entered && uptimeMs > maxDurationMs(outagePromiseMs)
}
