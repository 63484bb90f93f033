/** Tests of the log of events that callers cause, which must not grow with their number. */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { LimitedEventLog } from 'pomelofold/edge/limitedEventLog'

t.test('events beyond the limit of a period are counted, each name for itself', async t => {
  const timers = new ManualTimers()
  const lines: string[] = []
  const log = new LimitedEventLog({ timers, log: { event: (_level, name, fields) => lines.push(`${name} ${JSON.stringify(fields)}`) }, maxEvents: 2 })
  for (let i = 0; i < 1_000; i++) log.event('info', 'many', { i })
  log.event('info', 'one')
  t.same(lines.splice(0), ['many {"i":0}', 'many {"i":1}', 'one undefined'])
  await timers.advance(1_000)
  t.same(lines.splice(0), ['events.omitted {"name":"many","omitted":998,"periodMs":1000}'])
  log.event('info', 'many', { i: 1_000 })
  t.same(lines.splice(0), ['many {"i":1000}'])
  await timers.advance(60_000)
  t.same(lines, [])
})
