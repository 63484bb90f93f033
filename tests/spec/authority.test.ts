import t from 'tap'
import { authoritySpec, AUTHORITY_RULES, type AuthorityBounds, type AuthorityRules } from './authoritySpec.js'
import { replayTrace, walk } from './walk.js'

/** Two claimants and one change of the map. */
const TWO_CLAIMANTS: AuthorityBounds = {
  vms: 2, claimants: 2, mapRevisions: 3, restarts: 0, writesInFlight: 1, handOvers: false, promises: true
}
const TWO_CHANGES: AuthorityBounds = { ...TWO_CLAIMANTS, mapRevisions: 4 }
const ONE_RESTART: AuthorityBounds = { ...TWO_CLAIMANTS, restarts: 1 }
const ONE_RESTART_TWO_CHANGES: AuthorityBounds = { ...ONE_RESTART, mapRevisions: 4 }
const HOLDER_AND_NEWCOMER: AuthorityBounds = { ...TWO_CLAIMANTS, claimants: 1 }
const HAND_OVERS: AuthorityBounds = { ...TWO_CHANGES, handOvers: true, promises: false }
const THREE_CLAIMANTS: AuthorityBounds = { ...TWO_CLAIMANTS, vms: 3, claimants: 3, mapRevisions: 5, writesInFlight: 2 }

/** The holder relies on a promise of a claimant that has restarted since and entered the map again. */
const PROMISER_REENTERED_TRACE = ['promise(1,0)', 'promiseArrives(0,1)', 'restart(1)', 'open(1)', 'read(1)', 'sendEnter(1)', 'enter(1,0)', 'read(0)', 'show(0)']

/** For each rule, bounds of a state space in which the invariant is violated without the rule. */
const BOUNDS_BY_RULE: Record<keyof AuthorityRules, { bounds: AuthorityBounds, from?: string[] }> = {
  leaseCountedFromBeforeRenewal: { bounds: TWO_CLAIMANTS },
  promiseCountedFromBeforeAsking: { bounds: TWO_CLAIMANTS },
  promiseByAllClaimants: { bounds: THREE_CLAIMANTS },
  promiseOnlyWhileValid: { bounds: TWO_CLAIMANTS },
  promiseBoundToIncarnation: { bounds: ONE_RESTART_TWO_CHANGES, from: PROMISER_REENTERED_TRACE },
  takeoverByKnownClaimant: { bounds: HOLDER_AND_NEWCOMER },
  restartOutlivesPromises: { bounds: ONE_RESTART_TWO_CHANGES },
  promiseKept: { bounds: TWO_CLAIMANTS },
  takeoverWaitsForExpiry: { bounds: TWO_CLAIMANTS },
  compareAndSwap: { bounds: THREE_CLAIMANTS },
  rightBeginsWithOwnWrite: { bounds: TWO_CLAIMANTS },
  handOverStopsFirst: { bounds: HAND_OVERS },
  releaseAfterDropping: { bounds: TWO_CLAIMANTS },
  releaseInSequence: { bounds: TWO_CLAIMANTS },
  takeoverByClaimantOnly: { bounds: HOLDER_AND_NEWCOMER }
}

/** Bounds of state spaces in which the invariant must hold with all rules. `from` leads to the state at which the walk starts. */
const BOUNDS_WITH_ALL_RULES: Record<string, { bounds: AuthorityBounds, from?: string[] }> = {
  'two claimants': { bounds: TWO_CLAIMANTS },
  'two claimants, one restart': { bounds: ONE_RESTART },
  'a holder and a newcomer': { bounds: HOLDER_AND_NEWCOMER },
  'hand-overs': { bounds: HAND_OVERS },
  'a promiser that restarted and entered again': { bounds: ONE_RESTART_TWO_CHANGES, from: PROMISER_REENTERED_TRACE }
}

for (const [name, { bounds, from = [] }] of Object.entries(BOUNDS_WITH_ALL_RULES)) {
  t.test(`oneAuthority holds with all rules: ${name}`, async t => {
    const spec = authoritySpec(AUTHORITY_RULES, bounds)
    const result = walk({ ...spec, initial: replayTrace(spec, from) })
    t.comment(`${result.states} states, ${result.transitions} transitions, bounds ${JSON.stringify(bounds)}`)
    t.equal(result.violation, undefined, result.trace?.join(' ') ?? 'no violation')
  })
}

for (const [rule, { bounds, from = [] }] of Object.entries(BOUNDS_BY_RULE)) {
  t.test(`oneAuthority is violated without ${rule}`, async t => {
    const spec = authoritySpec({ ...AUTHORITY_RULES, [rule]: false }, bounds)
    const { states, violation, trace } = walk({ ...spec, initial: replayTrace(spec, from) })
    t.comment(`${states} states, trace ${[...from, ...trace ?? []].join(' ')}`)
    t.equal(violation, 'oneAuthority')
  })
}
