import t from 'tap'
import { capsSpec, COUNTED } from './capsSpec.js'
import { walk } from './walk.js'

t.test('a team stays within its cap when everything counts', async t => {
  const { states, transitions, violation, trace } = walk(capsSpec(COUNTED))
  t.comment(`${states} states, ${transitions} transitions, 2 terms, 2 workers, a cap that is lowered and raised`)
  t.equal(violation, undefined, trace?.join(' ') ?? 'no violation')
})

for (const kind of Object.keys(COUNTED)) {
  t.test(`a team gets above its cap when these do not count: ${kind}`, async t => {
    const { states, violation, trace } = walk(capsSpec({ ...COUNTED, [kind]: false }))
    t.comment(`${states} states, trace ${trace?.join(' ')}`)
    t.equal(violation, 'withinCap')
  })
}
