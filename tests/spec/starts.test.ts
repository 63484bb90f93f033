import t from 'tap'
import { START_RULES, startsSpec, type StartRules } from './startsSpec.js'
import { walk } from './walk.js'

const FENCED = { honoursEpochs: true }
const UNFENCED = { honoursEpochs: false }
const INVARIANTS = ['onePlacePerTask', 'neverOverCapacity', 'atMostOnce']

/** For each rule, the kind of upstream at which it is needed. */
const NEEDED: Record<keyof StartRules, { honoursEpochs: boolean }> = {
  checkBeforeSend: UNFENCED,
  decisionBoundToEpoch: FENCED,
  epochFencing: FENCED,
  sendsWaitedOut: UNFENCED,
  listBeforePlacing: FENCED,
  unknownCountsAsRunning: FENCED
}

for (const upstream of [FENCED, UNFENCED]) {
  t.test(`${INVARIANTS.join(', ')} hold with all rules, ${JSON.stringify(upstream)}`, async t => {
    const { states, transitions, violation, trace } = walk(startsSpec(START_RULES, upstream))
    t.comment(`${states} states, ${transitions} transitions, 2 processes, 2 workers, 3 epochs, 3 starts`)
    t.equal(violation, undefined, trace?.join(' ') ?? 'no violation')
  })
}

for (const [rule, upstream] of Object.entries(NEEDED)) {
  for (const invariant of INVARIANTS) {
    t.test(`${invariant} is violated without ${rule}`, async t => {
      const spec = startsSpec({ ...START_RULES, [rule]: false }, upstream)
      const { states, violation, trace } = walk({ ...spec, violated: { [invariant]: spec.violated[invariant] } })
      t.comment(`${states} states, trace ${trace?.join(' ')}`)
      t.equal(violation, invariant)
    })
  }
}
