/**
 * Specification of authority over one claim: member keys, claim map, leases, promises and restarts. It checks that at
 * most one process has the right to act.
 *
 * Time is abstracted to the order of events: a period that a process counts on its own clock from before its request
 * ends before the same period at the other side. A pause, a network partition or an outage of the platform is a period
 * in which a process or its calls take no steps, so the walk covers every interleaving of them. Revisions of the map
 * serve as epochs. Processes are identified by the index of their VM, usually `p`, and `q` for another one.
 *
 * @module
 */

import type { Spec, Step } from './walk.js'

/** Rules of the protocol. Tests switch off one rule at a time to show that it is needed. */
export const AUTHORITY_RULES = {
  /** The holder counts its lease from before it sends the renewal. */
  leaseCountedFromBeforeRenewal: true,
  /** The holder counts the period of a promise from before it asks for the promise. */
  promiseCountedFromBeforeAsking: true,
  /** All other claimants must have given a promise. */
  promiseByAllClaimants: true,
  /** A promise counts only if it arrives before the holder's right to act has lapsed. */
  promiseOnlyWhileValid: true,
  /** A promise of an earlier incarnation no longer counts once the holder has read that the new incarnation has entered the map. */
  promiseBoundToIncarnation: true,
  /** A claimant takes over only if the holder needs its promise, and no promise of its earlier incarnations is outstanding. */
  takeoverByKnownClaimant: true,
  /** A restarted claimant whose entry the holder has not read waits until the promises of its earlier incarnations have ended. */
  restartOutlivesPromises: true,
  /** A claimant does not take over while its own promise is outstanding. */
  promiseKept: true,
  /** The platform refuses the write that takes over while the holder's member key exists. */
  takeoverWaitsForExpiry: true,
  /** Writes of the map use compare-and-swap. */
  compareAndSwap: true,
  /** The right to act under a new lease begins with the holder's own write of the map. */
  rightBeginsWithOwnWrite: true,
  /** The holder stops using the claim before it writes the hand-over. */
  handOverStopsFirst: true,
  /** The holder stops relying on promises before it releases them. */
  releaseAfterDropping: true,
  /** A release that arrives after a later request is ignored. */
  releaseInSequence: true,
  /** Only a process that has entered the map as a claimant takes over, so that compare-and-swap fences its takeovers. */
  takeoverByClaimantOnly: true
}

/** Rules that are in force. */
export type AuthorityRules = typeof AUTHORITY_RULES

/** Limits of the state space. */
export interface AuthorityBounds {
  vms: number
  /** Number of VMs that are claimants in the initial state; the first one holds the claim. */
  claimants: number
  /** Highest revision of the map; no write is sent once it is reached. */
  mapRevisions: number
  restarts: number
  writesInFlight: number
  handOvers: boolean
  promises: boolean
}

/** Entry of a claimant in the claim map: revisions at which this incarnation entered and at which the VM became a claimant. */
interface ClaimantEntry { incarnation: number, enteredRevision: number, firstEnteredRevision: number }

/** The claim map; `holder` is the index of a VM, or -1 for none. */
interface ClaimMap { revision: number, holder: number, holderIncarnation: number, claimants: Array<ClaimantEntry | null> }

/** A promise that the holder has received, or the answer in flight that carries it. */
interface HeldPromise { enteredRevision: number, fromEarlierIncarnation: boolean }

/** The process on a VM, with what it has read and what it has in flight. */
interface Process {
  incarnation: number
  /** The process considers its lease valid. */
  lease: boolean
  /** The right to act under this lease is established. */
  confirmed: boolean
  /** Revision of the map against which the process wrote a hand-over of the claim; 0 for none. */
  releasedRevision: number
  /** The promises of earlier incarnations have ended. */
  earlierPromisesEnded: boolean
  /** The claim map as the process has last read it. */
  map: ClaimMap
  /** Incarnation of each VM whose member key the process has read; 0 for none. */
  keys: number[]
  /** VMs whose member key showed that their current incarnation has read the entry of this process. */
  known: boolean[]
  /** Promises of each VM that the process relies on. */
  held: Array<HeldPromise | null>
  /** Answers with promises that are in flight from each VM. */
  answers: Array<HeldPromise | null>
  /** VMs to which the process has given a promise that is still outstanding. */
  promisedTo: boolean[]
  /** Releases of promises that are in flight to each VM. */
  releases: boolean[]
}

/** A write of the claim map that is in flight. */
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
  /** Incarnation of each VM whose member key exists; 0 for none. */
  keys: number[]
  /** Revision of the map that each member key shows its process has read. */
  shownRevision: number[]
  processes: Process[]
  writes: Write[]
  restarts: number
}

type Next = Array<{ step: Step, next: AuthorityState }>

/** Creates the specification under the given rules and limits. */
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

/** Returns whether the process would start work under the claim now. */
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
  const boundToIncarnation = rules.promiseBoundToIncarnation
  const counts = others.map(({ entry, promise }) =>
    promise !== null && (!boundToIncarnation || promise.enteredRevision === entry.enteredRevision))
  return rules.promiseByAllClaimants ? counts.every(Boolean) : counts.some(Boolean)
}

/**
 * Steps of the lease and the member key. Leases lapse only for VMs that hold the claim or consider themselves its holder: the
 * lapse of any other lease changes nothing for the other VMs.
 */
function leaseSteps (state: AuthorityState, p: number, rules: AuthorityRules): Next {
  const proc = state.processes[p]
  const next: Next = []
  const isRelevant = state.map.holder === p || proc.map.holder === p
  if (proc.lease && isRelevant) next.push(step('lapse', [p], withProcess(state, p, { lease: false })))
  if (!proc.lease && state.keys[p] === proc.incarnation) next.push(step('renew', [p], withProcess(state, p, { lease: true })))
  if (state.keys[p] !== 0 && isRelevant && (!rules.leaseCountedFromBeforeRenewal || !proc.lease || state.keys[p] !== proc.incarnation)) {
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

/** The step that reads the map and the member keys at one revision. */
function viewSteps (state: AuthorityState, p: number, rules: AuthorityRules, bounds: AuthorityBounds): Next {
  const proc = state.processes[p]
  const own = state.map.claimants[p]
  const known = proc.known.map((before, q) => {
    const { incarnation } = state.map.claimants[q] ?? { incarnation: 0 }
    const stillKnown = before && incarnation === proc.map.claimants[q]?.incarnation &&
      own?.enteredRevision === proc.map.claimants[p]?.enteredRevision
    return q !== p && own?.incarnation === proc.incarnation && incarnation !== 0 &&
      (stillKnown || (state.keys[q] === incarnation && state.shownRevision[q] >= own.enteredRevision))
  })
  const keys = state.keys.map((key, q) => q === state.map.holder || (bounds.handOvers && state.map.holder === p) ? key : 0)
  const confirmed = proc.confirmed || (!rules.rightBeginsWithOwnWrite && proc.lease && own?.incarnation === proc.incarnation)
  const releasedRevision = state.map.revision > proc.releasedRevision ? 0 : proc.releasedRevision
  const read = withProcess(state, p, { map: state.map, keys, known, confirmed, releasedRevision })
  return isEqual(read.processes[p], proc) ? [] : [step('read', [p], read)]
}

/** Steps that send a write of the map. */
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
  const restartedAfterPromises = own.firstEnteredRevision < holder.enteredRevision &&
    (earlierPromisesEnded || !rules.restartOutlivesPromises)
  return !rules.takeoverByKnownClaimant || own.enteredRevision < holder.enteredRevision || known[map.holder] || restartedAfterPromises
}

/** Steps of writes in flight: a write takes effect and its answer arrives or is lost, or the write fails or is lost. */
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

/**
 * Steps of promises given to `p`. The request and the grant are one step, which is possible after a lapse too, since a request
 * may arrive late. The arrival of the answer is a step of its own.
 */
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

/** Steps that restart a process, and the end of the promises of its earlier incarnations. */
function restartSteps (state: AuthorityState, p: number, bounds: AuthorityBounds): Next {
  const proc = state.processes[p]
  const next: Next = []
  if (state.restarts < bounds.restarts) next.push(step('restart', [p], restart(state, p)))
  const outstanding = state.processes.some(({ held, answers }) => held[p]?.fromEarlierIncarnation || answers[p]?.fromEarlierIncarnation)
  if (proc.incarnation > 1 && !proc.earlierPromisesEnded && !outstanding) next.push(step('endEarlierPromises', [p], withProcess(state, p, { earlierPromisesEnded: true })))
  return next
}

function restart (state: AuthorityState, p: number): AuthorityState {
  const vms = state.processes.length
  const none = Array(vms).fill(null)
  const allFalse = none.map(() => false)
  const flags = { lease: false, confirmed: false, releasedRevision: 0, earlierPromisesEnded: false }
  const peers = { keys: none.map(() => 0), known: allFalse, held: none, answers: none, promisedTo: allFalse, releases: allFalse }
  const fresh = { incarnation: state.processes[p].incarnation + 1, ...flags, map: emptyMap(vms), ...peers }
  const processes = state.processes.map((proc, q) => {
    if (q === p) return fresh
    const markEarlier = (promise: HeldPromise | null): HeldPromise | null => promise && { ...promise, fromEarlierIncarnation: true }
    const held = replaceAt(proc.held, p, markEarlier(proc.held[p]))
    const answers = replaceAt(proc.answers, p, markEarlier(proc.answers[p]))
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
  return items.map((existing, i) => i === index ? item : existing)
}

function isEqual (a: object, b: object): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}
