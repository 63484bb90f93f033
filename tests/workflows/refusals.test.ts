/**
 * Tests of an outage of the store, for all daemons or for some: refused callers must retry after its end and within their
 * time limits, and daemons without the store must store through peers, or refuse at once when no peer can help.
 */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { retryAfterS } from 'pomelofold/workflows/retryAfter'
import { StoreProxies } from 'pomelofold/workflows/storeProxies'
import { WorkflowCell } from './workflowCell.js'

const PEERS = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map(vm => ({ vm, failureDomain: vm[0] }))
/** Number of retries of a caller. */
const RETRIES = 4

/** Share of callers, arriving evenly over an outage, that retry after its end and within their time limit. */
function shareServed (
  { outageMs, callerWaitMs, retryAfterOf }: { outageMs: number, callerWaitMs: number, retryAfterOf: (ageMs: number) => number }
): number {
  const callers = 200
  let served = 0
  for (let caller = 0; caller < callers; caller++) {
    const firstMs = outageMs * caller / callers
    let atMs = firstMs
    for (let retry = 0; retry < RETRIES && atMs < outageMs; retry++) atMs += retryAfterOf(atMs) * 1_000
    if (atMs >= outageMs && atMs < firstMs + callerWaitMs) served++
  }
  return served / callers
}

t.test('callers with a time limit of 12 seconds retry after the end of an outage of 6 seconds', async t => {
  const random = new SeededRandom(1)
  const load = { outageMs: 6_000, callerWaitMs: 12_000 }
  const constant = shareServed({ ...load, retryAfterOf: () => 1 })
  const growing = shareServed({ ...load, retryAfterOf: outageMs => retryAfterS({ outageMs, callerWaitMs: load.callerWaitMs, random }) })
  t.ok(constant < 0.7, `share with a constant delay of one second: ${constant}`)
  t.equal(growing, 1)
})

t.test('callers with a short time limit get a retry delay that fits into it', async t => {
  const random = new SeededRandom(1)
  const load = { outageMs: 6_000, callerWaitMs: 3_000 }
  const unlimited = shareServed({ ...load, retryAfterOf: outageMs => retryAfterS({ outageMs, callerWaitMs: undefined, random }) })
  const limited = shareServed({ ...load, retryAfterOf: outageMs => retryAfterS({ outageMs, callerWaitMs: load.callerWaitMs, random }) })
  t.ok(limited > unlimited, `${limited} with the time limit, ${unlimited} without`)
})

t.test('callers refused at the same time do not all retry at the same time', async t => {
  const random = new SeededRandom(1)
  const times = Array.from({ length: 100 }, () => retryAfterS({ outageMs: 2_500, callerWaitMs: undefined, random }))
  t.same([...new Set(times)].sort(), [2, 3])
})

t.test('peers of other failure domains are asked first, one per domain in turn', async t => {
  const proxies = new StoreProxies({ timers: new ManualTimers(), failureDomain: 'a' })
  t.same(proxies.choose(PEERS), ['b1', 'c1', 'b2'])
  t.same(proxies.choose(PEERS, 'a2'), ['a2', 'b1', 'c1'])
  proxies.noteSucceeded('c2')
  t.same(proxies.choose(PEERS, 'a2'), ['c2', 'a2', 'b1'])
})

t.test('peers that failed are not asked during their pause', async t => {
  const timers = new ManualTimers()
  const proxies = new StoreProxies({ timers, failureDomain: 'a' })
  for (const { vm } of PEERS) proxies.noteFailed(vm)
  t.same(proxies.choose(PEERS), [])
  await timers.advance(1_000)
  t.equal(proxies.choose(PEERS).length, 3)
})

t.test('while no daemon can reach the store, submissions are refused at once', async t => {
  const cell = new WorkflowCell()
  await cell.waitUntilReady()
  for (const { platform } of cell.daemons) platform.faults.unreachable = true
  await cell.timers.advance(2_000)
  await cell.submit(cell.workflow())
  const startedMs = cell.timers.now()
  t.equal(await cell.submit(cell.workflow()), 'notStored')
  t.equal(cell.timers.now() - startedMs, 0)
  t.ok(cell.daemons[0].daemon.service.retryAfterS(3_000) >= 1)
  for (const { platform } of cell.daemons) platform.faults.unreachable = false
  await cell.timers.advance(2_000)
  t.equal(await cell.submit(cell.workflow()), 'stored')
})

t.test('daemons of a failure domain that is cut off are not ready, even when one of them is the scheduler', async t => {
  const cell = new WorkflowCell({ daemons: 0 })
  for (const vm of ['a1', 'a2', 'b1', 'b2']) cell.startDaemon(vm, { failureDomain: vm[0] })
  const leader = await cell.waitUntilReady()
  const inside = cell.daemons.filter(({ vm }) => vm[0] === leader.vm[0])
  const outside = cell.daemons.filter(({ vm }) => vm[0] !== leader.vm[0])
  cell.cutDomains.add(leader.vm[0])
  for (const { platform } of inside) platform.faults.unreachable = true
  await cell.timers.advance(2_200)
  t.same(inside.map(({ daemon }) => daemon.ready), [false, false])
  t.same(outside.map(({ daemon }) => daemon.ready), [true, true])
  cell.cutDomains.clear()
  for (const { platform } of inside) platform.faults.unreachable = false
  await cell.timers.advance(1_000)
  t.same(inside.map(({ daemon }) => daemon.ready), [true, true])
})

t.test('while no daemon can reach the store, all daemons stay ready', async t => {
  const cell = new WorkflowCell({ daemons: 0 })
  for (const vm of ['a1', 'a2', 'b1', 'b2']) cell.startDaemon(vm, { failureDomain: vm[0] })
  await cell.waitUntilReady()
  for (const { platform } of cell.daemons) platform.faults.unreachable = true
  for (let step = 0; step < 10; step++) {
    await cell.timers.advance(500)
    t.same(cell.daemons.map(({ daemon }) => daemon.ready), [true, true, true, true])
  }
})

t.test('peers that do not answer are not asked to store, and the outcome is that nothing was stored', async t => {
  const cell = new WorkflowCell({ daemons: 0 })
  for (const vm of ['a1', 'a2', 'b1', 'b2']) cell.startDaemon(vm, { failureDomain: vm[0] })
  await cell.waitUntilReady()
  const inside = cell.daemons.filter(({ vm }) => vm[0] === 'a')
  cell.cutDomains.add('a')
  for (const { platform } of inside) platform.faults.unreachable = true
  await cell.timers.advance(1_500)
  for (let index = 0; index < 10; index++) {
    const startedMs = cell.timers.now()
    t.equal(await cell.submit(cell.workflow(), inside[0]), 'notStored')
    t.ok(cell.timers.now() - startedMs <= 10, 'at once')
    await cell.timers.advance(200)
  }
})

t.test('a daemon that cannot reach the store stores workflows through peers that can', async t => {
  const cell = new WorkflowCell({ daemons: 0 })
  for (const vm of ['a1', 'b1', 'b2', 'c1']) cell.startDaemon(vm, { failureDomain: vm[0] })
  await cell.waitUntilReady()
  const [alone] = cell.daemons
  const [, second] = cell.daemons
  for (const { platform } of [alone, second]) platform.faults.unreachable = true
  await cell.timers.advance(1_500)
  for (let index = 0; index < 5; index++) {
    t.equal(await cell.submit(cell.workflow(), alone), 'stored')
    await cell.timers.advance(200)
  }
})
