/**
 * Guards the rate of calls that entry VMs make to the platform: the whole cell has to stay within the platform's budget in
 * steady state, at restarts, and when all entry VMs reconnect at once after an outage.
 *
 * @module
 */

import t from 'tap'
import { settledDomain, type ClaimDomain } from './claimDomain.js'

/** Calls per second that the platform allows to the whole cell. */
const CALLS_PER_SECOND_BUDGET = { writes: 200, reads: 500 }
const FAILURE_DOMAINS = 11
const VMS_PER_DOMAIN = 9

/** One failure domain of a large cell. The other domains are assumed to make the same calls. */
async function largeDomain (): Promise<ClaimDomain> {
  const domain = await settledDomain(Object.fromEntries(Array.from({ length: VMS_PER_DOMAIN }, (_, i) => [`e${i}`, 1])), 27)
  await domain.advance(10_000)
  return domain
}

/** Calls per second of the whole cell when `action` is run in every failure domain at once. */
async function callsPerSecond (domain: ClaimDomain, seconds: number, action = (): void => {}): Promise<{ writes: number, reads: number }> {
  const { counts } = domain.store
  const before = { ...counts }
  action()
  await domain.advance(seconds * 1_000)
  const rate = (count: number): number => count * FAILURE_DOMAINS / seconds
  const reads = rate(counts.reads + counts.watches - before.reads - before.watches)
  return { writes: rate(counts.writes - before.writes), reads }
}

t.test('99 entry VMs in steady state send one write per VM and renewal, and no reads', async t => {
  const domain = await largeDomain()
  const { writes, reads } = await callsPerSecond(domain, 60)
  t.comment(`${writes} writes/s, ${reads} reads/s`)
  t.ok(writes <= FAILURE_DOMAINS * VMS_PER_DOMAIN / 2)
  t.equal(reads, 0)
})

t.test('one restart takes fewer than 50 writes and 50 reads, which keeps 980 restarts a day far within the budget', async t => {
  const domain = await largeDomain()
  const steady = await callsPerSecond(domain, 60)
  const restarted = await callsPerSecond(domain, 60, () => domain.start('e3'))
  const callsPerRestart = {
    writes: (restarted.writes - steady.writes) * 60 / FAILURE_DOMAINS,
    reads: (restarted.reads - steady.reads) * 60 / FAILURE_DOMAINS
  }
  t.comment(`${JSON.stringify(callsPerRestart)} calls for one restart`)
  t.ok(callsPerRestart.writes < 50)
  t.ok(callsPerRestart.reads < 50)
  t.same(domain.conflicts, [])
})

t.test('99 entry VMs that reconnect to the platform at once stay within the budget of ten seconds', async t => {
  const domain = await largeDomain()
  domain.disconnect()
  await domain.advance(60_000)
  domain.reconnect()
  const seconds: Array<{ writes: number, reads: number }> = []
  for (let second = 0; second < 10; second++) seconds.push(await callsPerSecond(domain, 1))
  t.comment(JSON.stringify(seconds))
  const sum = (kind: 'writes' | 'reads'): number => seconds.reduce((total, calls) => total + calls[kind], 0)
  t.ok(sum('writes') <= 10 * CALLS_PER_SECOND_BUDGET.writes)
  t.ok(sum('reads') <= 10 * CALLS_PER_SECOND_BUDGET.reads)
  t.equal(domain.allHeld(), true)
  t.same(domain.conflicts, [])
})
