import t from 'tap'
import { FORMER_CALL_RULES, formerCallsSpec, type FormerCallBounds, type FormerCallRules } from './formerCallsSpec.js'
import { walk } from './walk.js'

const BOUNDS: FormerCallBounds = { leaders: 3, incarnations: 3 }
/** Bounds that are enough to show that a rule is needed. */
const TWO_INCARNATIONS: FormerCallBounds = { leaders: 3, incarnations: 2 }
const ONE_LEADER: FormerCallBounds = { leaders: 1, incarnations: 3 }

t.test('a task runs once with all rules, though the next incarnation carries calls to the former one out', async t => {
  const { states, transitions, violation, trace } = walk(formerCallsSpec(FORMER_CALL_RULES, BOUNDS))
  t.comment(`${states} states, ${transitions} transitions, ${BOUNDS.incarnations} incarnations, ${BOUNDS.leaders} leaders, 2 calls`)
  t.equal(violation, undefined, trace?.join(' ') ?? 'no violation')
})

for (const rule of Object.keys(FORMER_CALL_RULES) as Array<keyof FormerCallRules>) {
  t.test(`a task runs twice without ${rule}`, async t => {
    const bounds = rule === 'formerExtensionsKept' ? ONE_LEADER : TWO_INCARNATIONS
    const { states, violation, trace } = walk(formerCallsSpec({ ...FORMER_CALL_RULES, [rule]: false }, bounds))
    t.comment(`${states} states, ${trace?.length} steps, trace ${trace?.join(' ')}`)
    t.equal(violation, 'oneRun')
  })
}
