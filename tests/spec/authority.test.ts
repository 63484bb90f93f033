import t from 'tap'
import { authoritySpec, RULES, type Bounds, type Rules } from './authoritySpec.js'
import { follow, walk } from './walk.js'

/** Two claimants and one change of the map. */
const TWO: Bounds = { vms: 2, claimants: 2, mapRevisions: 3, restarts: 0, writesInFlight: 1, handOvers: false, promises: true }
const TWO_CHANGES: Bounds = { ...TWO, mapRevisions: 4 }
const RESTART: Bounds = { ...TWO, restarts: 1 }
const RESTART_TWO_CHANGES: Bounds = { ...RESTART, mapRevisions: 4 }
const NEWCOMER: Bounds = { ...TWO, claimants: 1 }
const HAND_OVER: Bounds = { ...TWO_CHANGES, handOvers: true, promises: false }
const THREE: Bounds = { ...TWO, vms: 3, claimants: 3, mapRevisions: 5, writesInFlight: 2 }

/** The holder counts on a promise of a claimant that has restarted since and entered the map again. */
const PROMISER_REENTERED = ['promise(1,0)', 'promiseArrives(0,1)', 'restart(1)', 'open(1)', 'read(1)', 'sendEnter(1)', 'enter(1,0)', 'read(0)', 'show(0)']

/** For each rule, bounds within which the walk finds what goes wrong without it. */
const NEEDED: Record<keyof Rules, { bounds: Bounds, from?: string[] }> = {
  leaseCountedFromBeforeRenewal: { bounds: TWO },
  promiseCountedFromBeforeAsking: { bounds: TWO },
  promiseByAllClaimants: { bounds: THREE },
  promiseOnlyWhileValid: { bounds: TWO },
  promiseBoundToIncarnation: { bounds: RESTART_TWO_CHANGES, from: PROMISER_REENTERED },
  takeoverByKnownClaimant: { bounds: NEWCOMER },
  restartOutlivesPromises: { bounds: RESTART_TWO_CHANGES },
  promiseKept: { bounds: TWO },
  takeoverWaitsForExpiry: { bounds: TWO },
  compareAndSwap: { bounds: THREE },
  rightBeginsWithOwnWrite: { bounds: TWO },
  handOverStopsFirst: { bounds: HAND_OVER },
  releaseAfterDropping: { bounds: TWO },
  releaseInSequence: { bounds: TWO },
  takeoverByClaimantOnly: { bounds: NEWCOMER }
}

const SAFE: Record<string, { bounds: Bounds, from?: string[] }> = {
  'two claimants': { bounds: TWO },
  'two claimants, one restart': { bounds: RESTART },
  'a holder and a newcomer': { bounds: NEWCOMER },
  'hand-overs': { bounds: HAND_OVER },
  'a promiser that restarted and entered again': { bounds: RESTART_TWO_CHANGES, from: PROMISER_REENTERED }
}

for (const [name, { bounds, from = [] }] of Object.entries(SAFE)) {
  t.test(`oneAuthority holds with all rules: ${name}`, async t => {
    const spec = authoritySpec(RULES, bounds)
    const result = walk({ ...spec, initial: follow(spec, from) })
    t.comment(`${result.states} states, ${result.transitions} transitions, bounds ${JSON.stringify(bounds)}`)
    t.equal(result.violation, undefined, result.trace?.join(' ') ?? 'no violation')
  })
}

for (const [rule, { bounds, from = [] }] of Object.entries(NEEDED)) {
  t.test(`oneAuthority is violated without ${rule}`, async t => {
    const spec = authoritySpec({ ...RULES, [rule]: false }, bounds)
    const { states, violation, trace } = walk({ ...spec, initial: follow(spec, from) })
    t.comment(`${states} states, trace ${[...from, ...trace ?? []].join(' ')}`)
    t.equal(violation, 'oneAuthority')
  })
}
