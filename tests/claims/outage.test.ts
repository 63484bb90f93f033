/**
 * Guards against two holders of a claim when processes die, restart, freeze or lose answers around an outage of the platform.
 * A holder without a lease then relies on the promises of the other claimants.
 *
 * @module
 */

import t from 'tap'
import { ClaimDomain, settledDomain } from './claimDomain.js'

const PROMISE_MS = 600_000

const THREE_VMS = { a: 1, b: 1, c: 1 }

t.test('when a VM dies during an outage, the others keep their claims until its last promise ends, and no claim is taken over', async t => {
  const domain = await settledDomain(THREE_VMS)
  const others = domain.held('b').length + domain.held('c').length
  domain.disconnect()
  await domain.advance(60_000)
  domain.kill('a')
  await domain.advance(PROMISE_MS - 20_000)
  t.equal(domain.heldCount(), others)
  await domain.advance(20_000)
  t.equal(domain.heldCount(), 0)
  domain.reconnect()
  await domain.waitUntil(() => domain.allHeld(), 30_000)
  t.same(domain.conflicts, [])
})

t.test('claims of a VM that died during an outage are taken over once the promises to it have ended', async t => {
  const domain = await settledDomain(THREE_VMS)
  domain.disconnect()
  await domain.advance(60_000)
  domain.kill('a')
  await domain.advance(10_000)
  domain.reconnect()
  await domain.advance(PROMISE_MS / 2)
  t.equal(domain.allHeld(), false)
  await domain.waitUntil(() => domain.allHeld(), PROMISE_MS / 2 + 30_000)
  t.same(domain.conflicts, [])
})

t.test('claims of a VM that was removed from the list of VMs are taken over without waiting for promises to end', async t => {
  const domain = await settledDomain(THREE_VMS)
  domain.disconnect()
  await domain.advance(60_000)
  domain.kill('a')
  domain.reconnect()
  for (const vm of ['b', 'c']) domain.get(vm).keeper.setListedVms(['b', 'c'])
  await domain.waitUntil(() => domain.allHeld(), 60_000)
  t.same(domain.conflicts, [])
})

t.test('a process that restarts during an outage holds no claims, gives new promises and gets its claims back afterwards', async t => {
  const domain = await settledDomain(THREE_VMS)
  const before = domain.held('a')
  domain.disconnect()
  await domain.advance(60_000)
  domain.start('a')
  domain.disconnect(['a'])
  await domain.advance(PROMISE_MS / 2)
  t.same(domain.held('a'), [])
  t.equal(domain.heldCount(), domain.wanted.length - before.length)
  domain.reconnect()
  await domain.waitUntil(() => domain.allHeld(), 30_000)
  t.same(domain.held('a'), before)
  t.same(domain.conflicts, [])
})

t.test('with a restarted process, the others keep their claims through an outage that is longer than a promise', async t => {
  const domain = await settledDomain(THREE_VMS)
  const others = domain.held('b').length + domain.held('c').length
  domain.disconnect()
  await domain.advance(60_000)
  domain.start('a')
  domain.disconnect(['a'])
  await domain.advance(2 * PROMISE_MS)
  t.same(domain.held('a'), [])
  t.equal(domain.heldCount(), others)
  domain.reconnect()
  await domain.waitUntil(() => domain.allHeld() && domain.held('a').length > 0, 30_000)
  t.same(domain.conflicts, [])
})

t.test('a restarted process does not take over from a holder that relies on a promise of the earlier incarnation', async t => {
  const domain = await settledDomain({ a: 1, b: 1 })
  domain.disconnect()
  await domain.advance(60_000)
  domain.start('b')
  await domain.advance(PROMISE_MS - 30_000)
  t.not(domain.held('a').length, 0)
  t.same(domain.held('b').filter(name => domain.held('a').includes(name)), [])
  t.same(domain.conflicts, [])
})

t.test('a holder whose lease has lapsed does not use promises that arrive later', async t => {
  const domain = await settledDomain(THREE_VMS)
  domain.disconnect(['a'])
  await domain.waitUntil(() => domain.held('a').length === 0)
  await domain.waitUntil(() => domain.allHeld())
  domain.disconnect()
  await domain.advance(30_000)
  t.same(domain.held('a'), [])
  t.equal(domain.allHeld(), true)
  t.same(domain.conflicts, [])
})

t.test('lost answers of the platform lead to no second holder, and all claims are held when answers arrive again', async t => {
  const domain = await settledDomain(THREE_VMS)
  for (const { platform } of domain.daemons.values()) platform.faults.loseAnswers = true
  domain.kill('a')
  await domain.advance(30_000)
  domain.start('a')
  await domain.advance(30_000)
  for (const { platform } of domain.daemons.values()) platform.faults.loseAnswers = false
  await domain.waitUntil(() => domain.allHeld(), PROMISE_MS + 60_000)
  t.same(domain.conflicts, [])
})

t.test('a write that takes effect after its deadline leads to no second holder', async t => {
  const domain = await settledDomain(THREE_VMS)
  domain.kill('a')
  await domain.advance(5_500)
  domain.get('b').platform.faults.delayMs = 3_000
  await domain.advance(20_000)
  domain.get('b').platform.faults.delayMs = 1
  await domain.waitUntil(() => domain.allHeld(), 30_000)
  t.same(domain.conflicts, [])
})

for (const seed of [1, 2, 3, 4, 5]) {
  t.test(`random faults lead to no second holder, seed ${seed}`, async t => {
    const domain = new ClaimDomain({ sizes: { a: 2, b: 1, c: 1 }, seed })
    domain.startAll()
    await domain.runRandomFaults(seed, 150)
    t.same(domain.conflicts, [])
    domain.startAll()
    await domain.waitUntil(() => domain.allHeld(), 2 * PROMISE_MS)
    t.same(domain.conflicts, [])
  })
}
