/**
 * Decides whether a claimant may take over from a holder whose member key is absent.
 *
 * @module
 */

import type { Claimant } from './claimMap.js'
import { surelyEndedMs } from './clockDrift.js'

/** What the claimant knows of itself and of the holder. */
export interface TakeoverFacts {
  self: Claimant
  holder: Claimant
  /** True when the platform's list of VMs no longer has the holder's VM. */
  vmGone: boolean
  /** True while a promise of this process to the holder is outstanding. */
  promised: boolean
  /** Largest epoch that the holder has shown to know. */
  knownByHolder: number
  /** Time since this process started, in milliseconds. */
  ageMs: number
  outagePromiseMs: number
}

/**
 * The holder may be living on promises of all claimants that it knows. A claimant may take over only if
 * its own promise is among those that the holder needs, and none is outstanding, also none of an earlier
 * incarnation of its VM.
 */
export function mayTakeOver (facts: TakeoverFacts): boolean {
  if (facts.vmGone) return true
  if (facts.promised) return false
  return isKnownToHolder(facts) || hasOutlivedPromises(facts)
}

/** The holder needs the promise of exactly this incarnation. */
function isKnownToHolder ({ self, holder, knownByHolder }: TakeoverFacts): boolean {
  return self.entered < holder.entered || self.entered <= knownByHolder
}

/** The holder needs the promise of this VM, and every promise of earlier incarnations has ended. */
function hasOutlivedPromises ({ self, holder, ageMs, outagePromiseMs }: TakeoverFacts): boolean {
  return self.since < holder.entered && ageMs > surelyEndedMs(outagePromiseMs)
}
