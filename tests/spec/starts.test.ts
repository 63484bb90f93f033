import t from 'tap'
import { START_RULES, startsSpec, type StartRules } from './startsSpec.js'
import { walk } from './walk.js'

const ENFORCING = { enforcesEpochs: true }
const NOT_ENFORCING = { enforcesEpochs: false }
const INVARIANTS = ['onePlacePerTask', 'neverOverCapacity', 'atMostOnce']

/** For each rule, the kind of upstream for which the rule is needed. */
const UPSTREAM_BY_RULE: Record<keyof StartRules, { enforcesEpochs: boolean }> = {
  checkBeforeSend: NOT_ENFORCING,
  decisionBoundToEpoch: ENFORCING,
  epochFencing: ENFORCING,
  earlierSendsAwaited: NOT_ENFORCING,
  listBeforePlacing: ENFORCING,
  unknownCountsAsRunning: ENFORCING
}

for (const upstream of [ENFORCING, NOT_ENFORCING]) {
  t.test(`${INVARIANTS.join(', ')} hold with all rules, ${JSON.stringify(upstream)}`, async t => {
    const { states, transitions, violation, trace } = walk(startsSpec(START_RULES, upstream))
    t.comment(`${states} states, ${transitions} transitions, 2 processes, 2 workers, 3 epochs, 3 starts`)
    t.equal(violation, undefined, trace?.join(' ') ?? 'no violation')
  })
}

for (const [rule, upstream] of Object.entries(UPSTREAM_BY_RULE)) {
  for (const invariant of INVARIANTS) {
    t.test(`${invariant} is violated without ${rule}`, async t => {
      const spec = startsSpec({ ...START_RULES, [rule]: false }, upstream)
      const { states, violation, trace } = walk({ ...spec, violated: { [invariant]: spec.violated[invariant] } })
      t.comment(`${states} states, trace ${trace?.join(' ')}`)
      t.equal(violation, invariant)
    })
  }
}
