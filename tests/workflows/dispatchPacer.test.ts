/**
 * Tests of the time between placement passes.
 */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { DispatchPacer } from 'pomelofold/workflows/dispatchPacer'

/** Plays a burst with an event in each millisecond. Returns the share of the time that passes take, and the longest wait for one. */
async function playBurst (passMs: number): Promise<{ share: number, longestWaitMs: number }> {
  const timers = new ManualTimers()
  const pacer = new DispatchPacer({ timers })
  const startMs = timers.now()
  let busyMs = 0
  let longestWaitMs = 0
  while (timers.now() - startMs < 2_000) {
    const waitMs = Math.max(1, pacer.delayMs)
    longestWaitMs = Math.max(longestWaitMs, waitMs)
    await timers.advance(waitMs + passMs)
    pacer.notePass(passMs)
    busyMs += passMs
  }
  return { share: busyMs / (timers.now() - startMs), longestWaitMs }
}

t.test('in a burst, passes of ten milliseconds take at most 30 % of the time', async t => {
  const { share } = await playBurst(10)
  t.ok(share <= 0.3, `${share}`)
})

t.test('in a burst, an event waits at most 40 ms for the next pass, however long passes take', async t => {
  const { longestWaitMs } = await playBurst(80)
  t.ok(longestWaitMs <= 40, `${longestWaitMs} ms`)
})

t.test('short passes follow each other as closely as before', async t => {
  const { longestWaitMs } = await playBurst(1)
  t.ok(longestWaitMs <= 8, `${longestWaitMs} ms`)
})

t.test('in a calm cell, an event leads to a pass at once', async t => {
  const timers = new ManualTimers()
  const pacer = new DispatchPacer({ timers })
  for (let pass = 0; pass < 20; pass++) pacer.notePass(10)
  await timers.advance(100)
  t.equal(pacer.delayMs, 1)
})
