/**
 * Guards the basic behaviour of claims: distribution by size, takeover, hand-over, restart, and operation through an outage
 * of the platform, always with at most one holder for each claim.
 *
 * @module
 */

import t from 'tap'
import { ClaimDomain, settledDomain } from './claimDomain.js'

const THREE_VMS = { a: 1, b: 1, c: 1 }

t.test('claims are distributed in proportion to size', async t => {
  const domain = new ClaimDomain({ sizes: { a: 2, b: 1, c: 1 }, instances: 7 })
  domain.startAll()
  await domain.waitUntil(() => domain.allHeld())
  await domain.advance(5_000)
  t.same(['a', 'b', 'c'].map(vm => domain.held(vm).length), [4, 2, 2])
  t.same(domain.conflicts, [])
})

t.test('claims of a killed holder are taken over after its lease has expired, and not before', async t => {
  const domain = await settledDomain(THREE_VMS)
  domain.kill('a')
  await domain.advance(3_000)
  t.equal(domain.allHeld(), false)
  await domain.waitUntil(() => domain.allHeld(), 5_000)
  t.same(domain.conflicts, [])
})

t.test('a process that was frozen for longer than its lease holds no claims when it resumes', async t => {
  const domain = await settledDomain(THREE_VMS)
  const [claim] = domain.held('a')
  const epoch = domain.get('a').keeper.epochOf(claim)!
  domain.freeze('a')
  await domain.waitUntil(() => domain.allHeld(), 10_000)
  domain.thaw('a')
  t.equal(domain.get('a').keeper.epochOf(claim), undefined)
  const holder = domain.get('b').keeper.holderOf(claim)!
  t.ok(domain.get(holder).keeper.epochOf(claim)! > epoch)
  await domain.advance(10_000)
  t.equal(domain.allHeld(), true)
  t.same(domain.conflicts, [])
})

t.test('claims of a VM that alone is cut off from the platform pass to the others', async t => {
  const domain = await settledDomain(THREE_VMS)
  domain.disconnect(['a'])
  await domain.advance(10_000)
  t.same(domain.held('a'), [])
  t.equal(domain.allHeld(), true)
  domain.reconnect()
  await domain.waitUntil(() => domain.held('a').length > 0)
  t.same(domain.conflicts, [])
})

t.test('during an outage of the platform all processes keep their claims and none is taken over', async t => {
  const domain = await settledDomain(THREE_VMS)
  const before = ['a', 'b', 'c'].map(vm => domain.held(vm))
  domain.disconnect()
  for (let minute = 0; minute < 20; minute++) {
    await domain.advance(60_000)
    t.equal(domain.allHeld(), true)
  }
  domain.reconnect()
  await domain.advance(20_000)
  t.same(['a', 'b', 'c'].map(vm => domain.held(vm)), before)
  t.same(domain.conflicts, [])
})

t.test('a restarted process gets its claims back at once, with new epochs', async t => {
  const domain = await settledDomain(THREE_VMS)
  const before = domain.held('a')
  const epoch = domain.get('a').keeper.epochOf(before[0])!
  domain.start('a')
  await domain.waitUntil(() => domain.allHeld(), 1_000)
  t.same(domain.held('a'), before)
  t.ok(domain.get('a').keeper.epochOf(before[0])! > epoch)
  t.same(domain.conflicts, [])
})

t.test('a VM that shuts down hands over its claims without waiting for its lease to expire', async t => {
  const domain = await settledDomain(THREE_VMS)
  const { keeper } = domain.get('a')
  const handedOver = keeper.handOverAll()
  t.same(domain.held('a'), [])
  await domain.advance(500)
  t.equal(await handedOver, true)
  t.equal(domain.allHeld(), true)
  await Promise.all([keeper.stop(), domain.advance(100)])
  t.same(domain.conflicts, [])
})

t.test('listeners are called when claims lapse and when they are held again, and not in between', async t => {
  const domain = await settledDomain(THREE_VMS)
  const { keeper } = domain.get('a')
  const heldCounts: number[] = []
  keeper.onChange(() => heldCounts.push(keeper.heldClaims().length))
  await domain.advance(10_000)
  t.same(heldCounts, [])
  domain.disconnect(['a'])
  await domain.advance(10_000)
  t.same(heldCounts, [0])
  domain.reconnect()
  await domain.waitUntil(() => domain.held('a').length > 0)
  t.not(heldCounts.at(-1), 0)
})

t.test('an unwanted claim is removed by its holder, and a new one is assigned', async t => {
  const domain = new ClaimDomain({ sizes: THREE_VMS })
  domain.startAll()
  await domain.waitUntil(() => domain.allHeld())
  const wanted = [...domain.wanted.slice(0, -1), 'fd1/instance/new']
  for (const { keeper } of domain.daemons.values()) keeper.setWantedClaims(wanted)
  await domain.advance(20_000)
  const held = ['a', 'b', 'c'].flatMap(vm => domain.held(vm))
  t.same(held.sort(), wanted.sort())
})

t.test('a process that is stopped while it opens its lease leaves no member key behind', async t => {
  const domain = new ClaimDomain({ sizes: { a: 1 } })
  const { keeper } = domain.start('a')
  await domain.advance(2)
  t.equal(domain.store.counts.writes, 1)
  await Promise.all([keeper.stop(), domain.advance(1_000)])
  t.same(domain.store.range('pomelofold/claims/').values, [])
})
