/** Tests of the log of refused callers, which must not grow with their number. */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { RefusalCounter } from 'pomelofold/edge/refusalCounter'
import type { EventFields } from 'pomelofold/utils/eventLog'

t.test('the first refusal of a cause is logged at once, and further ones as a number after each period', async t => {
  const timers = new ManualTimers()
  const lines: Array<EventFields | undefined> = []
  const refusals = new RefusalCounter({ timers, address: 'a:1', log: { event: (_level, _name, fields) => { lines.push(fields) } } })
  for (let i = 0; i < 1_000; i++) refusals.count('no-room')
  refusals.count('unparsable')
  t.match(lines.splice(0), [{ cause: 'no-room', count: 1, total: 1 }, { cause: 'unparsable', count: 1, total: 1 }])
  await timers.advance(10_000)
  t.match(lines.splice(0), [{ cause: 'no-room', count: 999, total: 1_000 }])
  await timers.advance(60_000)
  t.same(lines, [])
  refusals.count('no-room')
  t.match(lines, [{ cause: 'no-room', count: 1, total: 1_001 }])
  t.same([...refusals.totals], [['no-room', 1_001], ['unparsable', 1]])
})
