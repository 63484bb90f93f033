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
export const RULES = {
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
export type Rules = typeof RULES

/** Limits of the walk. */
export interface Bounds {
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

interface Entry { inc: number, entered: number, since: number }

interface ClaimMap { rev: number, holder: number, holderInc: number, claimants: Array<Entry | null> }

/** A promise held, or the answer that carries one. */
interface Promised { entered: number, old: boolean }

interface Process {
  inc: number
  /** Lease believed to last. */
  lease: boolean
  /** Right to act under the lease established. */
  confirmed: boolean
  /** Released the claim by a write against this revision. */
  released: number
  aged: boolean
  map: ClaimMap
  /** Incarnations whose member keys were seen. */
  keys: number[]
  /** VMs whose present incarnation was seen to know that this process entered. */
  known: boolean[]
  held: Array<Promised | null>
  answers: Array<Promised | null>
  given: boolean[]
  /** Releases on the way to each VM. */
  releases: boolean[]
}

interface Write {
  kind: 'enter' | 'touch' | 'take' | 'handOver'
  by: number
  inc: number
  rev: number
  to: number
}

/** State of the specification. */
export interface AuthorityState {
  map: ClaimMap
  /** Incarnation whose member key exists, 0 for none. */
  keys: number[]
  /** Revision of the map that the member key shows. */
  shown: number[]
  procs: Process[]
  writes: Write[]
  restarts: number
}

type Next = Array<{ step: Step, next: AuthorityState }>

/** Builds the specification. */
export function authoritySpec (rules: Rules, bounds: Bounds): Spec<AuthorityState> {
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
      oneAuthority: state => vms.filter(p => mayAct(state.procs[p], p, rules)).length > 1
    }
  }
}

function initialState ({ vms, claimants, handOvers }: Bounds): AuthorityState {
  const entries = [...Array(vms).keys()].map(p => p < claimants ? { inc: 1, entered: claimants - p, since: claimants - p } : null)
  const map = { rev: claimants, holder: 0, holderInc: 1, claimants: entries }
  const none = Array(vms).fill(null)
  const keys = entries.map(entry => entry ? 1 : 0)
  const proc = (entry: Entry | null, p: number): Process => ({
    inc: 1,
    lease: entry !== null,
    confirmed: entry !== null,
    released: 0,
    aged: false,
    map: entry ? map : emptyMap(vms),
    keys: keys.map((key, q) => entry !== null && (q === 0 || (handOvers && p === 0)) ? key : 0),
    known: keys.map((key, q) => entry !== null && key !== 0 && q !== p),
    held: none,
    answers: none,
    given: none.map(() => false),
    releases: none.map(() => false)
  })
  return { map, keys, shown: keys.map(key => key * claimants), procs: entries.map(proc), writes: [], restarts: 0 }
}

function emptyMap (vms: number): ClaimMap {
  return { rev: 0, holder: -1, holderInc: 0, claimants: Array(vms).fill(null) }
}

/** True when the process would start work under the claim now. */
function mayAct (proc: Process, p: number, rules: Rules): boolean {
  const { map, inc, released } = proc
  return map.holder === p && map.holderInc === inc && released === 0 && isValid(proc, p, rules)
}

function isValid (proc: Process, p: number, rules: Rules): boolean {
  return (proc.lease && proc.confirmed) || isPromised(proc, p, rules)
}

function isPromised ({ map, inc, held }: Process, p: number, rules: Rules): boolean {
  if (map.claimants[p]?.inc !== inc) return false
  const others = map.claimants.flatMap((entry, q) => entry && q !== p ? [{ entry, promise: held[q] }] : [])
  const bound = rules.promiseBoundToIncarnation
  const counts = others.map(({ entry, promise }) => promise !== null && (!bound || promise.entered === entry.entered))
  return rules.promiseByAllClaimants ? counts.every(Boolean) : counts.some(Boolean)
}

/** Leases of VMs that neither hold the claim nor believe so are left alone: their lapse changes nothing for others. */
function leaseSteps (state: AuthorityState, p: number, rules: Rules): Next {
  const proc = state.procs[p]
  const next: Next = []
  const matters = state.map.holder === p || proc.map.holder === p
  if (proc.lease && matters) next.push(step('lapse', [p], withProc(state, p, { lease: false })))
  if (!proc.lease && state.keys[p] === proc.inc) next.push(step('renew', [p], withProc(state, p, { lease: true })))
  if (state.keys[p] !== 0 && matters && (!rules.leaseCountedFromBeforeRenewal || !proc.lease || state.keys[p] !== proc.inc)) {
    next.push(step('expire', [p], { ...state, keys: set(state.keys, p, 0), shown: set(state.shown, p, 0) }))
  }
  if (state.keys[p] !== proc.inc) {
    const opened = { ...state, keys: set(state.keys, p, proc.inc), shown: set(state.shown, p, proc.map.rev) }
    next.push(step('open', [p], withProc(opened, p, { lease: true, confirmed: false })))
  }
  if (state.keys[p] === proc.inc && proc.lease && state.shown[p] < latestEntry(proc, p)) {
    next.push(step('show', [p], { ...state, shown: set(state.shown, p, proc.map.rev) }))
  }
  return next
}

function latestEntry ({ map }: Process, p: number): number {
  return Math.max(0, ...map.claimants.map((entry, q) => q === p ? 0 : entry?.entered ?? 0))
}

/** Reading the map and the member keys, at one revision. */
function viewSteps (state: AuthorityState, p: number, rules: Rules, bounds: Bounds): Next {
  const proc = state.procs[p]
  const own = state.map.claimants[p]
  const known = proc.known.map((before, q) => {
    const { inc } = state.map.claimants[q] ?? { inc: 0 }
    const kept = before && inc === proc.map.claimants[q]?.inc && own?.entered === proc.map.claimants[p]?.entered
    return q !== p && own?.inc === proc.inc && inc !== 0 && (kept || (state.keys[q] === inc && state.shown[q] >= own.entered))
  })
  const keys = state.keys.map((key, q) => q === state.map.holder || (bounds.handOvers && state.map.holder === p) ? key : 0)
  const confirmed = proc.confirmed || (!rules.rightBeginsWithOwnWrite && proc.lease && own?.inc === proc.inc)
  const released = state.map.rev > proc.released ? 0 : proc.released
  const read = withProc(state, p, { map: state.map, keys, known, confirmed, released })
  return same(read.procs[p], proc) ? [] : [step('read', [p], read)]
}

function writeSteps (state: AuthorityState, p: number, rules: Rules, bounds: Bounds): Next {
  const proc = state.procs[p]
  const { map } = proc
  if (state.writes.length >= bounds.writesInFlight || state.map.rev >= bounds.mapRevisions) return []
  if (map.rev !== state.map.rev && rules.compareAndSwap) return []
  const send = (kind: Write['kind'], to: number, change: Partial<Process> = {}): AuthorityState => {
    const write = { kind, by: p, inc: proc.inc, rev: map.rev, to }
    return withProc({ ...state, writes: [...state.writes, write] }, p, change)
  }
  const own = map.claimants[p]
  const next: Next = []
  if (proc.lease && own?.inc !== proc.inc) next.push(step('sendEnter', [p], send('enter', p)))
  if (proc.lease && own?.inc === proc.inc && !proc.confirmed) next.push(step('sendTouch', [p], send('touch', p)))
  if (canTake(state, p, rules)) next.push(step('sendTake', [p], send('take', map.holder)))
  if (bounds.handOvers && mayAct(proc, p, rules)) {
    for (const [q, entry] of map.claimants.entries()) {
      if (q === p || !entry || proc.keys[q] !== entry.inc) continue
      next.push(step('sendHandOver', [p, q], send('handOver', q, rules.handOverStopsFirst ? { released: map.rev } : {})))
    }
  }
  return next
}

function canTake (state: AuthorityState, p: number, rules: Rules): boolean {
  const { map, keys, given, known, aged, inc, lease, confirmed } = state.procs[p]
  const own = map.claimants[p]
  const holder = map.claimants[map.holder]
  if (map.holder === p || !holder || !lease) return false
  if (rules.takeoverByClaimantOnly && (own?.inc !== inc || !confirmed)) return false
  if (rules.takeoverWaitsForExpiry && keys[map.holder] !== 0) return false
  if (rules.promiseKept && given[map.holder]) return false
  if (!own) return true
  const outlived = own.since < holder.entered && (aged || !rules.restartOutlivesPromises)
  return !rules.takeoverByKnownClaimant || own.entered < holder.entered || known[map.holder] || outlived
}

/** A write takes effect, and its answer arrives or is lost; or it fails or is lost. */
function applySteps (state: AuthorityState, rules: Rules): Next {
  return state.writes.flatMap((write, index) => {
    const rest = { ...state, writes: state.writes.filter((_, i) => i !== index) }
    const { by, to, kind } = write
    const args = [by, index]
    const passes = (!rules.compareAndSwap || write.rev === state.map.rev) &&
      (kind !== 'take' || !rules.takeoverWaitsForExpiry || state.keys[to] === 0)
    if (!passes) return [step('fail', args, rest)]
    const applied = { ...rest, map: change(state.map, write) }
    const proc = state.procs[by]
    const next = [step(`${kind}Unanswered`, args, applied)]
    if (proc.inc !== write.inc) return next
    const confirmed = proc.confirmed || (state.keys[by] === proc.inc && proc.lease)
    const released = applied.map.rev > proc.released ? 0 : proc.released
    return [...next, step(kind, args, withProc(applied, by, { map: applied.map, confirmed, released }))]
  })
}

function change (map: ClaimMap, { kind, by, inc, to }: Write): ClaimMap {
  const rev = map.rev + 1
  const changed = { ...map, rev }
  if (kind === 'enter') {
    const entry = { inc, entered: rev, since: map.claimants[by]?.since ?? rev }
    return { ...changed, claimants: set(map.claimants, by, entry), holderInc: map.holder === by ? inc : map.holderInc }
  }
  if (kind === 'take') return { ...changed, holder: by, holderInc: inc, claimants: set(map.claimants, to, null) }
  if (kind === 'handOver') return { ...changed, holder: to, holderInc: map.claimants[to]?.inc ?? 0 }
  return changed
}

/** Promises to `p`. Asking and granting is one step, also after a lapse, since a request may be late; the answer arrives in another. */
function promiseSteps (state: AuthorityState, p: number, rules: Rules): Next {
  const proc = state.procs[p]
  const next: Next = []
  const holds = proc.map.holder === p && proc.map.holderInc === proc.inc
  for (const q of proc.held.keys()) {
    if (q === p) continue
    const entry = proc.map.claimants[q]
    const promiser = state.procs[q]
    if (holds && entry && !proc.answers[q]) {
      const answers = set(proc.answers, q, { entered: entry.entered, old: false })
      const releases = rules.releaseInSequence ? set(proc.releases, q, false) : proc.releases
      const asked = withProc(state, p, { answers, releases })
      next.push(step('promise', [q, p], withProc(asked, q, { given: set(promiser.given, p, true) })))
    }
    const answer = proc.answers[q]
    if (answer) {
      const held = isValid(proc, p, rules) || !rules.promiseOnlyWhileValid ? set(proc.held, q, answer) : proc.held.map(() => null)
      next.push(step('promiseArrives', [p, q], withProc(state, p, { held, answers: set(proc.answers, q, null) })))
    }
    if (proc.held[q]) next.push(step('heldEnds', [p, q], withProc(state, p, { held: set(proc.held, q, null) })))
    if (promiser.given[p] && (!rules.promiseCountedFromBeforeAsking || !proc.held[q])) {
      const expired = rules.promiseCountedFromBeforeAsking ? withProc(state, p, { answers: set(proc.answers, q, null) }) : state
      next.push(step('givenEnds', [q, p], withProc(expired, q, { given: set(promiser.given, p, false) })))
    }
    if (proc.releases[q]) {
      const released = withProc(state, p, { releases: set(proc.releases, q, false) })
      next.push(step('releaseArrives', [q, p], withProc(released, q, { given: set(promiser.given, p, false) })))
    }
  }
  if (proc.lease && proc.confirmed && proc.held.some(Boolean)) {
    const none = proc.held.map(() => null)
    const dropped = rules.releaseAfterDropping ? { held: none, answers: none } : {}
    next.push(step('release', [p], withProc(state, p, { ...dropped, releases: proc.held.map((promise, q) => promise !== null || proc.releases[q]) })))
  }
  return next
}

function restartSteps (state: AuthorityState, p: number, bounds: Bounds): Next {
  const proc = state.procs[p]
  const next: Next = []
  if (state.restarts < bounds.restarts) next.push(step('restart', [p], restart(state, p)))
  const outstanding = state.procs.some(({ held, answers }) => held[p]?.old || answers[p]?.old)
  if (proc.inc > 1 && !proc.aged && !outstanding) next.push(step('age', [p], withProc(state, p, { aged: true })))
  return next
}

function restart (state: AuthorityState, p: number): AuthorityState {
  const vms = state.procs.length
  const none = Array(vms).fill(null)
  const no = none.map(() => false)
  const flags = { lease: false, confirmed: false, released: 0, aged: false }
  const peers = { keys: none.map(() => 0), known: no, held: none, answers: none, given: no, releases: no }
  const fresh = { inc: state.procs[p].inc + 1, ...flags, map: emptyMap(vms), ...peers }
  const procs = state.procs.map((proc, q) => {
    if (q === p) return fresh
    const old = (promise: Promised | null): Promised | null => promise && { ...promise, old: true }
    const held = set(proc.held, p, old(proc.held[p]))
    const answers = set(proc.answers, p, old(proc.answers[p]))
    return { ...proc, given: set(proc.given, p, false), held, answers }
  })
  return { ...state, procs, restarts: state.restarts + 1 }
}

function step (type: string, args: number[], next: AuthorityState): { step: Step, next: AuthorityState } {
  return { step: { type, args }, next }
}

function withProc (state: AuthorityState, p: number, change: Partial<Process>): AuthorityState {
  return { ...state, procs: set(state.procs, p, { ...state.procs[p], ...change }) }
}

function set<T> (items: T[], index: number, item: T): T[] {
  return items.map((old, i) => i === index ? item : old)
}

function same (a: object, b: object): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}
