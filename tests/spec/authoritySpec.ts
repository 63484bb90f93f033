/**
 * Specification of authority over one claim: member keys, claim map, leases, promises, restarts.
 *
 * Time is abstracted to the order of events: whatever a process counts on its own clock from before it asked
 * ends before the other side's. A pause, a cut or an outage of the platform is a stretch without steps of a
 * process or of its calls, so every interleaving of them is walked. Revisions of the map serve as epochs.
 *
 * @module
 */

import type { Spec, Step } from './walk.js'

/** Rules of the protocol. A variant of the specification lacks one. */
export const AUTHORITY_RULES = {
  /** The holder counts its lease from before the renewal was sent. */
  leaseCountedFromBeforeRenewal: true,
  /** The holder counts a promise from before it asked. */
  promiseCountedFromBeforeAsking: true,
  /** All other claimants must have promised. */
  promiseByAllClaimants: true,
  /** A promise counts only if it arrives while the right to act has not lapsed. */
  promiseOnlyWhileValid: true,
  /** A promise of an earlier incarnation counts no longer once the new one is known to have entered. */
  promiseBoundToIncarnation: true,
  /** A claimant takes over only if the holder needs its promise, and no earlier incarnation's is outstanding. */
  takeoverByKnownClaimant: true,
  /** A restarted claimant unknown to the holder waits until promises of earlier incarnations have ended. */
  restartOutlivesPromises: true,
  /** A claimant does not take over while its own promise is outstanding. */
  promiseKept: true,
  /** The write that takes over is refused while the holder's member key exists. */
  takeoverWaitsForExpiry: true,
  /** The map is changed by compare-and-swap. */
  compareAndSwap: true,
  /** The right to act under a new lease begins with the holder's own write of the map. */
  rightBeginsWithOwnWrite: true,
  /** The holder stops using a claim before it writes the hand-over. */
  handOverStopsFirst: true,
  /** The holder stops counting on promises before it releases them. */
  releaseAfterDropping: true,
  /** A release that arrives after a later request is ignored. */
  releaseInSequence: true,
  /** A claimant becomes one by a write of the map, so that its takeovers are fenced. */
  takeoverByClaimantOnly: true
}

/** Which rules hold. */
export type AuthorityRules = typeof AUTHORITY_RULES

/** Limits of the walk. */
export interface AuthorityBounds {
  vms: number
  /** VMs that are claimants at the start; the first holds the claim. */
  claimants: number
  /** Revision of the map beyond which nothing is written. */
  mapRevisions: number
  restarts: number
  writesInFlight: number
  handOvers: boolean
  promises: boolean
}

interface ClaimantEntry { incarnation: number, enteredRevision: number, firstEnteredRevision: number }

interface ClaimMap { revision: number, holder: number, holderIncarnation: number, claimants: Array<ClaimantEntry | null> }

/** A promise held, or the answer that carries one. */
interface HeldPromise { enteredRevision: number, fromEarlierIncarnation: boolean }

interface Process {
  incarnation: number
  /** Lease believed to last. */
  lease: boolean
  /** Right to act under the lease established. */
  confirmed: boolean
  /** Released the claim by a write against this revision. */
  releasedRevision: number
  earlierPromisesEnded: boolean
  map: ClaimMap
  /** Incarnations whose member keys were seen. */
  keys: number[]
  /** VMs whose present incarnation was seen to know that this process entered. */
  known: boolean[]
  held: Array<HeldPromise | null>
  answers: Array<HeldPromise | null>
  promisedTo: boolean[]
  /** Releases on the way to each VM. */
  releases: boolean[]
}

interface Write {
  kind: 'enter' | 'touch' | 'take' | 'handOver'
  by: number
  incarnation: number
  revision: number
  to: number
}

/** State of the specification. */
export interface AuthorityState {
  map: ClaimMap
  /** Incarnation whose member key exists, 0 for none. */
  keys: number[]
  /** Revision of the map that the member key shows. */
  shownRevision: number[]
  processes: Process[]
  writes: Write[]
  restarts: number
}

type Next = Array<{ step: Step, next: AuthorityState }>

/** Builds the specification. */
export function authoritySpec (rules: AuthorityRules, bounds: AuthorityBounds): Spec<AuthorityState> {
  const vms = [...Array(bounds.vms).keys()]
  return {
    initial: initialState(bounds),
    steps: state => [
      ...vms.flatMap(p => [
        ...leaseSteps(state, p, rules), ...viewSteps(state, p, rules, bounds), ...writeSteps(state, p, rules, bounds),
        ...(bounds.promises ? promiseSteps(state, p, rules) : []), ...restartSteps(state, p, bounds)
      ]),
      ...applySteps(state, rules)
    ],
    violated: {
      oneAuthority: state => vms.filter(p => mayAct(state.processes[p], p, rules)).length > 1
    }
  }
}

function initialState ({ vms, claimants, handOvers }: AuthorityBounds): AuthorityState {
  const entries = [...Array(vms).keys()].map(p =>
    p < claimants ? { incarnation: 1, enteredRevision: claimants - p, firstEnteredRevision: claimants - p } : null)
  const map = { revision: claimants, holder: 0, holderIncarnation: 1, claimants: entries }
  const none = Array(vms).fill(null)
  const keys = entries.map(entry => entry ? 1 : 0)
  const proc = (entry: ClaimantEntry | null, p: number): Process => ({
    incarnation: 1,
    lease: entry !== null,
    confirmed: entry !== null,
    releasedRevision: 0,
    earlierPromisesEnded: false,
    map: entry ? map : emptyMap(vms),
    keys: keys.map((key, q) => entry !== null && (q === 0 || (handOvers && p === 0)) ? key : 0),
    known: keys.map((key, q) => entry !== null && key !== 0 && q !== p),
    held: none,
    answers: none,
    promisedTo: none.map(() => false),
    releases: none.map(() => false)
  })
  return { map, keys, shownRevision: keys.map(key => key * claimants), processes: entries.map(proc), writes: [], restarts: 0 }
}

function emptyMap (vms: number): ClaimMap {
  return { revision: 0, holder: -1, holderIncarnation: 0, claimants: Array(vms).fill(null) }
}

/** True when the process would start work under the claim now. */
function mayAct (proc: Process, p: number, rules: AuthorityRules): boolean {
  const { map, incarnation, releasedRevision } = proc
  return map.holder === p && map.holderIncarnation === incarnation && releasedRevision === 0 && hasRightToAct(proc, p, rules)
}

function hasRightToAct (proc: Process, p: number, rules: AuthorityRules): boolean {
  return (proc.lease && proc.confirmed) || hasRequiredPromises(proc, p, rules)
}

function hasRequiredPromises ({ map, incarnation, held }: Process, p: number, rules: AuthorityRules): boolean {
  if (map.claimants[p]?.incarnation !== incarnation) return false
  const others = map.claimants.flatMap((entry, q) => entry && q !== p ? [{ entry, promise: held[q] }] : [])
  const bound = rules.promiseBoundToIncarnation
  const counts = others.map(({ entry, promise }) => promise !== null && (!bound || promise.enteredRevision === entry.enteredRevision))
  return rules.promiseByAllClaimants ? counts.every(Boolean) : counts.some(Boolean)
}

/** Leases of VMs that neither hold the claim nor believe so are left alone: their lapse changes nothing for others. */
function leaseSteps (state: AuthorityState, p: number, rules: AuthorityRules): Next {
  const proc = state.processes[p]
  const next: Next = []
  const matters = state.map.holder === p || proc.map.holder === p
  if (proc.lease && matters) next.push(step('lapse', [p], withProcess(state, p, { lease: false })))
  if (!proc.lease && state.keys[p] === proc.incarnation) next.push(step('renew', [p], withProcess(state, p, { lease: true })))
  if (state.keys[p] !== 0 && matters && (!rules.leaseCountedFromBeforeRenewal || !proc.lease || state.keys[p] !== proc.incarnation)) {
    next.push(step('expire', [p], { ...state, keys: replaceAt(state.keys, p, 0), shownRevision: replaceAt(state.shownRevision, p, 0) }))
  }
  if (state.keys[p] !== proc.incarnation) {
    const opened = {
      ...state,
      keys: replaceAt(state.keys, p, proc.incarnation),
      shownRevision: replaceAt(state.shownRevision, p, proc.map.revision)
    }
    next.push(step('open', [p], withProcess(opened, p, { lease: true, confirmed: false })))
  }
  if (state.keys[p] === proc.incarnation && proc.lease && state.shownRevision[p] < latestEnteredRevision(proc, p)) {
    next.push(step('show', [p], { ...state, shownRevision: replaceAt(state.shownRevision, p, proc.map.revision) }))
  }
  return next
}

function latestEnteredRevision ({ map }: Process, p: number): number {
  return Math.max(0, ...map.claimants.map((entry, q) => q === p ? 0 : entry?.enteredRevision ?? 0))
}

/** Reading the map and the member keys, at one revision. */
function viewSteps (state: AuthorityState, p: number, rules: AuthorityRules, bounds: AuthorityBounds): Next {
  const proc = state.processes[p]
  const own = state.map.claimants[p]
  const known = proc.known.map((before, q) => {
    const { incarnation } = state.map.claimants[q] ?? { incarnation: 0 }
    const kept = before && incarnation === proc.map.claimants[q]?.incarnation &&
      own?.enteredRevision === proc.map.claimants[p]?.enteredRevision
    return q !== p && own?.incarnation === proc.incarnation && incarnation !== 0 &&
      (kept || (state.keys[q] === incarnation && state.shownRevision[q] >= own.enteredRevision))
  })
  const keys = state.keys.map((key, q) => q === state.map.holder || (bounds.handOvers && state.map.holder === p) ? key : 0)
  const confirmed = proc.confirmed || (!rules.rightBeginsWithOwnWrite && proc.lease && own?.incarnation === proc.incarnation)
  const releasedRevision = state.map.revision > proc.releasedRevision ? 0 : proc.releasedRevision
  const read = withProcess(state, p, { map: state.map, keys, known, confirmed, releasedRevision })
  return isEqual(read.processes[p], proc) ? [] : [step('read', [p], read)]
}

function writeSteps (state: AuthorityState, p: number, rules: AuthorityRules, bounds: AuthorityBounds): Next {
  const proc = state.processes[p]
  const { map } = proc
  if (state.writes.length >= bounds.writesInFlight || state.map.revision >= bounds.mapRevisions) return []
  if (map.revision !== state.map.revision && rules.compareAndSwap) return []
  const send = (kind: Write['kind'], to: number, change: Partial<Process> = {}): AuthorityState => {
    const write = { kind, by: p, incarnation: proc.incarnation, revision: map.revision, to }
    return withProcess({ ...state, writes: [...state.writes, write] }, p, change)
  }
  const own = map.claimants[p]
  const next: Next = []
  if (proc.lease && own?.incarnation !== proc.incarnation) next.push(step('sendEnter', [p], send('enter', p)))
  if (proc.lease && own?.incarnation === proc.incarnation && !proc.confirmed) next.push(step('sendTouch', [p], send('touch', p)))
  if (canTakeOver(state, p, rules)) next.push(step('sendTake', [p], send('take', map.holder)))
  if (bounds.handOvers && mayAct(proc, p, rules)) {
    for (const [q, entry] of map.claimants.entries()) {
      if (q === p || !entry || proc.keys[q] !== entry.incarnation) continue
      next.push(step('sendHandOver', [p, q], send('handOver', q, rules.handOverStopsFirst ? { releasedRevision: map.revision } : {})))
    }
  }
  return next
}

function canTakeOver (state: AuthorityState, p: number, rules: AuthorityRules): boolean {
  const { map, keys, promisedTo, known, earlierPromisesEnded, incarnation, lease, confirmed } = state.processes[p]
  const own = map.claimants[p]
  const holder = map.claimants[map.holder]
  if (map.holder === p || !holder || !lease) return false
  if (rules.takeoverByClaimantOnly && (own?.incarnation !== incarnation || !confirmed)) return false
  if (rules.takeoverWaitsForExpiry && keys[map.holder] !== 0) return false
  if (rules.promiseKept && promisedTo[map.holder]) return false
  if (!own) return true
  const outlived = own.firstEnteredRevision < holder.enteredRevision && (earlierPromisesEnded || !rules.restartOutlivesPromises)
  return !rules.takeoverByKnownClaimant || own.enteredRevision < holder.enteredRevision || known[map.holder] || outlived
}

/** A write takes effect, and its answer arrives or is lost; or it fails or is lost. */
function applySteps (state: AuthorityState, rules: AuthorityRules): Next {
  return state.writes.flatMap((write, index) => {
    const rest = { ...state, writes: state.writes.filter((_, i) => i !== index) }
    const { by, to, kind } = write
    const args = [by, index]
    const passes = (!rules.compareAndSwap || write.revision === state.map.revision) &&
      (kind !== 'take' || !rules.takeoverWaitsForExpiry || state.keys[to] === 0)
    if (!passes) return [step('fail', args, rest)]
    const applied = { ...rest, map: applyWrite(state.map, write) }
    const proc = state.processes[by]
    const next = [step(`${kind}Unanswered`, args, applied)]
    if (proc.incarnation !== write.incarnation) return next
    const confirmed = proc.confirmed || (state.keys[by] === proc.incarnation && proc.lease)
    const releasedRevision = applied.map.revision > proc.releasedRevision ? 0 : proc.releasedRevision
    return [...next, step(kind, args, withProcess(applied, by, { map: applied.map, confirmed, releasedRevision }))]
  })
}

function applyWrite (map: ClaimMap, { kind, by, incarnation, to }: Write): ClaimMap {
  const revision = map.revision + 1
  const changed = { ...map, revision }
  if (kind === 'enter') {
    const entry = { incarnation, enteredRevision: revision, firstEnteredRevision: map.claimants[by]?.firstEnteredRevision ?? revision }
    return {
      ...changed,
      claimants: replaceAt(map.claimants, by, entry),
      holderIncarnation: map.holder === by ? incarnation : map.holderIncarnation
    }
  }
  if (kind === 'take') return { ...changed, holder: by, holderIncarnation: incarnation, claimants: replaceAt(map.claimants, to, null) }
  if (kind === 'handOver') return { ...changed, holder: to, holderIncarnation: map.claimants[to]?.incarnation ?? 0 }
  return changed
}

/** Promises to `p`. Asking and granting is one step, also after a lapse, since a request may be late; the answer arrives in another. */
function promiseSteps (state: AuthorityState, p: number, rules: AuthorityRules): Next {
  const proc = state.processes[p]
  const next: Next = []
  const holds = proc.map.holder === p && proc.map.holderIncarnation === proc.incarnation
  for (const q of proc.held.keys()) {
    if (q === p) continue
    const entry = proc.map.claimants[q]
    const promiser = state.processes[q]
    if (holds && entry && !proc.answers[q]) {
      const answers = replaceAt(proc.answers, q, { enteredRevision: entry.enteredRevision, fromEarlierIncarnation: false })
      const releases = rules.releaseInSequence ? replaceAt(proc.releases, q, false) : proc.releases
      const asked = withProcess(state, p, { answers, releases })
      next.push(step('promise', [q, p], withProcess(asked, q, { promisedTo: replaceAt(promiser.promisedTo, p, true) })))
    }
    const answer = proc.answers[q]
    if (answer) {
      const held = hasRightToAct(proc, p, rules) || !rules.promiseOnlyWhileValid
        ? replaceAt(proc.held, q, answer)
        : proc.held.map(() => null)
      next.push(step('promiseArrives', [p, q], withProcess(state, p, { held, answers: replaceAt(proc.answers, q, null) })))
    }
    if (proc.held[q]) next.push(step('heldEnds', [p, q], withProcess(state, p, { held: replaceAt(proc.held, q, null) })))
    if (promiser.promisedTo[p] && (!rules.promiseCountedFromBeforeAsking || !proc.held[q])) {
      const expired = rules.promiseCountedFromBeforeAsking ? withProcess(state, p, { answers: replaceAt(proc.answers, q, null) }) : state
      next.push(step('givenEnds', [q, p], withProcess(expired, q, { promisedTo: replaceAt(promiser.promisedTo, p, false) })))
    }
    if (proc.releases[q]) {
      const releaseApplied = withProcess(state, p, { releases: replaceAt(proc.releases, q, false) })
      next.push(step('releaseArrives', [q, p], withProcess(releaseApplied, q, { promisedTo: replaceAt(promiser.promisedTo, p, false) })))
    }
  }
  if (proc.lease && proc.confirmed && proc.held.some(Boolean)) {
    const none = proc.held.map(() => null)
    const dropped = rules.releaseAfterDropping ? { held: none, answers: none } : {}
    next.push(step('release', [p], withProcess(state, p, { ...dropped, releases: proc.held.map((promise, q) => promise !== null || proc.releases[q]) })))
  }
  return next
}

function restartSteps (state: AuthorityState, p: number, bounds: AuthorityBounds): Next {
  const proc = state.processes[p]
  const next: Next = []
  if (state.restarts < bounds.restarts) next.push(step('restart', [p], restart(state, p)))
  const outstanding = state.processes.some(({ held, answers }) => held[p]?.fromEarlierIncarnation || answers[p]?.fromEarlierIncarnation)
  if (proc.incarnation > 1 && !proc.earlierPromisesEnded && !outstanding) next.push(step('age', [p], withProcess(state, p, { earlierPromisesEnded: true })))
  return next
}

function restart (state: AuthorityState, p: number): AuthorityState {
  const vms = state.processes.length
  const none = Array(vms).fill(null)
  const no = none.map(() => false)
  const flags = { lease: false, confirmed: false, releasedRevision: 0, earlierPromisesEnded: false }
  const peers = { keys: none.map(() => 0), known: no, held: none, answers: none, promisedTo: no, releases: no }
  const fresh = { incarnation: state.processes[p].incarnation + 1, ...flags, map: emptyMap(vms), ...peers }
  const processes = state.processes.map((proc, q) => {
    if (q === p) return fresh
    const old = (promise: HeldPromise | null): HeldPromise | null => promise && { ...promise, fromEarlierIncarnation: true }
    const held = replaceAt(proc.held, p, old(proc.held[p]))
    const answers = replaceAt(proc.answers, p, old(proc.answers[p]))
    return { ...proc, promisedTo: replaceAt(proc.promisedTo, p, false), held, answers }
  })
  return { ...state, processes, restarts: state.restarts + 1 }
}

function step (type: string, args: number[], next: AuthorityState): { step: Step, next: AuthorityState } {
  return { step: { type, args }, next }
}

function withProcess (state: AuthorityState, p: number, change: Partial<Process>): AuthorityState {
  return { ...state, processes: replaceAt(state.processes, p, { ...state.processes[p], ...change }) }
}

function replaceAt<T> (items: T[], index: number, item: T): T[] {
  return items.map((old, i) => i === index ? item : old)
}

function isEqual (a: object, b: object): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}
