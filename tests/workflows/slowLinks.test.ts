/**
 * Tests with a small daemon VM, whose link needs longer for what is sent together than one call may take. Work that is
 * started anew after each time limit never completes, however often it is tried.
 */

import t from 'tap'
import { WorkflowCell } from './workflowCell.js'
import { LINK_RATES, limitWriteBandwidth } from '../standins/slowLink.js'

t.test('a workflow of the most steps is stored over a slow link', async t => {
  const cell = new WorkflowCell({ daemons: 1 })
  const { platform } = await cell.waitUntilReady()
  limitWriteBandwidth(platform, cell.timers, LINK_RATES.slowest)
  const steps = Array.from({ length: 200 }, (_, step) => ({ after: Array.from({ length: step }, (_, earlier) => earlier) }))
  t.equal(await cell.submit(cell.workflow(steps, { payload: 'x'.repeat(4_000) })), 'stored')
})
