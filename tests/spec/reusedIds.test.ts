import t from 'tap'
import { REUSED_ID_RULES, reusedIdsSpec, type ReusedIdRules } from './reusedIdsSpec.js'
import { walk } from './walk.js'

t.test('a task runs once with all rules, though a worker comes back under its id', async t => {
  const { states, transitions, violation, trace } = walk(reusedIdsSpec(REUSED_ID_RULES))
  t.comment(`${states} states, ${transitions} transitions, 2 incarnations, 2 leaders, 2 late calls`)
  t.equal(violation, undefined, trace?.join(' ') ?? 'no violation')
})

for (const rule of Object.keys(REUSED_ID_RULES) as Array<keyof ReusedIdRules>) {
  t.test(`a task runs twice without ${rule}`, async t => {
    const { states, violation, trace } = walk(reusedIdsSpec({ ...REUSED_ID_RULES, [rule]: false }))
    t.comment(`${states} states, trace ${trace?.join(' ')}`)
    t.equal(violation, 'oneRun')
  })
}
