/**
 * Tests of the measured work of a term.
 */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import type { EventFields } from 'pomelofold/utils/eventLog'
import { WorkMeter } from 'pomelofold/workflows/workMeter'

t.test('each kind of work is counted, and a line every 10 s says what was done since the last one', async t => {
  const timers = new ManualTimers()
  const lines: EventFields[] = []
  const meter = new WorkMeter({ timers, log: { event: (_level, _name, fields = {}) => { lines.push(fields) } } })
  meter.measure('report', () => {})
  for (let tick = 0; tick <= 250; tick++) {
    meter.measure('pass', () => {})
    meter.noteTick(100)
    await timers.advance(tick === 50 ? 400 : 100)
  }
  t.equal(lines.length, 2)
  t.equal(lines[0].reportCount, 1)
  t.equal(lines[1].reportCount, 0)
  t.equal(Number(lines[0].passCount) + Number(lines[1].passCount) <= 251, true)
  t.equal(lines[0].timerLatestMs, 300, 'a timer was 300 ms late')
  t.equal(lines[1].timerLatestMs, 0)
  t.equal(meter.figures.passCount, 251)
})

t.test('a failing piece of work fails as before', async t => {
  const meter = new WorkMeter({ timers: new ManualTimers(), log: { event () {} } })
  t.throws(() => meter.measure('pass', () => { throw new Error('no room') }), { message: 'no room' })
})
