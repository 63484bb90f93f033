/**
 * Tests with a small daemon VM, whose link needs longer for what is sent together than one call may take. Work that is
 * started anew after each time limit never completes, however often it is tried.
 */

import t from 'tap'
import { ROSTER_KEY } from 'pomelofold/workflows/keys'
import { WorkflowCell } from './workflowCell.js'
import { LINK_RATES, limitStartBandwidth, limitWriteBandwidth } from '../standins/slowLink.js'

t.test('a workflow of the most steps is stored over a slow link', async t => {
  const cell = new WorkflowCell({ daemons: 1 })
  const { platform } = await cell.waitUntilReady()
  limitWriteBandwidth(platform, cell.timers, LINK_RATES.slowest)
  const steps = Array.from({ length: 200 }, (_, step) => ({ after: Array.from({ length: step }, (_, earlier) => earlier) }))
  t.equal(await cell.submit(cell.workflow(steps, { payload: 'x'.repeat(4_000) })), 'stored')
})

// Without its entry in the roster a worker is not used, so that nothing starts in the cell.
t.test('a roster of thousands of workers is stored over a slow link', async t => {
  const cell = new WorkflowCell({ daemons: 1 })
  const { platform } = await cell.waitUntilReady()
  limitWriteBandwidth(platform, cell.timers, LINK_RATES.slow)
  const { entry } = cell.workers[0]
  for (let index = 0; index < 3_500; index++) {
    const address = `10.1.${index >> 8}.${index & 0xff}:8150`
    cell.otherEntries.push({ ...entry, id: `minion-${index}`, address, failureDomain: 'zagreb-a', labels: ['kind-3', 'r1-3'], bornMs: 1.7e12 + index })
  }
  await t.resolves(cell.timers.advanceUntil(() => cell.store.get(ROSTER_KEY)!.value.includes('minion-3499'), { limitMs: 10_000 }))
})

// The payloads take 1.7 s, somewhat over half of the time that a gang has to be complete.
t.test('a gang whose payloads together take longer than one start may starts over a slow link', async t => {
  const cell = new WorkflowCell({ daemons: 1, workers: 13, runMs: () => 10_000 })
  const { client } = await cell.waitUntilReady()
  limitStartBandwidth(client, cell.timers, LINK_RATES.slowest)
  const workflow = cell.workflow([{ tasks: 100, gang: true, estimateMs: 10_000 }], { payload: 'x'.repeat(4_000) })
  await cell.submit(workflow)
  const running = (): number => cell.records.filter(({ endMs }) => endMs === Number.POSITIVE_INFINITY).length
  await t.resolves(cell.timers.advanceUntil(() => running() === 100, { limitMs: 8_000, stepMs: 50 }))
})
