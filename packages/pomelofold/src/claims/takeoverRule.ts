/**
 * Decides whether a claimant may take over from a holder whose member key is absent.
 *
 * @module
 */

import type { Claimant } from './claimMap.js'
import { maxDurationMs } from './clockDrift.js'

/** What the claimant knows of itself and of the holder. */
export interface TakeoverFacts {
  self: Claimant
  holder: Claimant
  /** True when the platform's list of VMs no longer has the holder's VM. */
  vmRemoved: boolean
  /** True while a promise of this process to the holder is outstanding. */
  isPromiseOutstanding: boolean
  /** Largest epoch that the holder has shown to know. */
  publishedByHolder: number
  /** Time since this process started, in milliseconds. */
  uptimeMs: number
  outagePromiseMs: number
}

/**
 * The holder may be living on promises of all claimants that it knows. A claimant may take over only if
 * its own promise is among those that the holder needs, and none is outstanding, also none of an earlier
 * incarnation of its VM.
 */
export function mayTakeOver (facts: TakeoverFacts): boolean {
  if (facts.vmRemoved) return true
  if (facts.isPromiseOutstanding) return false
  return holderNeedsThisPromise(facts) || haveEarlierPromisesEnded(facts)
}

/** The holder needs the promise of exactly this incarnation. */
function holderNeedsThisPromise ({ self, holder, publishedByHolder }: TakeoverFacts): boolean {
  return self.entered < holder.entered || self.entered <= publishedByHolder
}

/** The holder needs the promise of this VM, and every promise of earlier incarnations has ended. */
function haveEarlierPromisesEnded ({ self, holder, uptimeMs, outagePromiseMs }: TakeoverFacts): boolean {
  return self.since < holder.entered && uptimeMs > maxDurationMs(outagePromiseMs)
}
