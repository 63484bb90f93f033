/**
 * Tests of the event log, the random source and the timers that use the operating system.
 */

import t from 'tap'
import { EventLogger } from 'pomelofold/edge/eventLogger'
import { SystemRandom } from 'pomelofold/edge/systemRandom'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { delay } from 'pomelofold/seams/timers'

t.test('an event is one line with time, level, VM, name and fields', async t => {
  const lines: string[] = []
  const log = new EventLogger({ vm: 'entry-1', write: line => lines.push(line) })
  log.event('warn', 'claimLost', { peer: '10.0.0.1:80', detail: 'lapsed\nlate', step: undefined })
  t.equal(lines.length, 1)
  t.match(lines[0], /^time=\d{4}-\d\d-\d\dT[\d:.]+Z level=warn vm=entry-1 event=claimLost peer=10.0.0.1:80 detail="lapsed\\nlate"$/)
})

t.test('events below the level are omitted, and each logger has its own level', async t => {
  const lines: string[] = []
  const write = (line: string) => lines.push(line.replace(/^time=\S+ /, ''))
  const info = new EventLogger({ vm: 'a', write })
  const silent = new EventLogger({ vm: 'a', level: 'silent', write })
  for (const log of [info, silent]) {
    log.event('debug', 'one')
    log.event('info', 'two')
    log.event('error', 'three')
  }
  t.same(lines, ['level=info vm=a event=two', 'level=error vm=a event=three'])
})

t.test('random numbers are within their bounds', async t => {
  const random = new SystemRandom()
  for (let i = 0; i < 1_000; i++) {
    const [fraction, integer] = [random.next(), random.int(3)]
    if (fraction < 0 || fraction >= 1 || ![0, 1, 2].includes(integer)) t.fail(`${fraction} ${integer}`)
  }
  t.match(random.hex(8), /^[0-9a-f]{16}$/)
})

t.test('timers fire once or repeatedly until they are cancelled, and the clock advances', async t => {
  const timers = new SystemTimers()
  const startMs = timers.now()
  timers.after(1, () => t.fail('cancelled')).cancel()
  await new Promise<void>(resolve => {
    let calls = 0
    const every = timers.every(1, () => {
      if (++calls < 3) return
      every.cancel()
      resolve()
    })
  })
  await delay(timers, 1)
  t.ok(timers.now() > startMs)
  t.ok(Math.abs(timers.wallClock() - new Date().getTime()) < 60_000)
})
