import t from 'tap'
import { settledDomain, type ClaimDomain } from './claimDomain.js'

/** Calls a second that the platform grants to the whole cell. */
const CALLS_PER_SECOND_BUDGET = { writes: 200, reads: 500 }
const FAILURE_DOMAINS = 11
const VMS_PER_DOMAIN = 9

async function largeDomain (): Promise<ClaimDomain> {
  const domain = await settledDomain(Object.fromEntries(Array.from({ length: VMS_PER_DOMAIN }, (_, i) => [`e${i}`, 1])), 27)
  await domain.advance(10_000)
  return domain
}

/** Calls a second of the whole cell while `action` runs in every failure domain at once. */
async function callsPerSecond (domain: ClaimDomain, seconds: number, action = (): void => {}): Promise<{ writes: number, reads: number }> {
  const { counts } = domain.store
  const before = { ...counts }
  action()
  await domain.advance(seconds * 1_000)
  const rate = (count: number): number => count * FAILURE_DOMAINS / seconds
  const reads = rate(counts.reads + counts.watches - before.reads - before.watches)
  return { writes: rate(counts.writes - before.writes), reads }
}

t.test('99 entry VMs in steady state write once per VM and renewal, and read nothing', async t => {
  const domain = await largeDomain()
  const { writes, reads } = await callsPerSecond(domain, 60)
  t.comment(`${writes} writes/s, ${reads} reads/s`)
  t.ok(writes <= FAILURE_DOMAINS * VMS_PER_DOMAIN / 2)
  t.equal(reads, 0)
})

t.test('980 restarts a day stay far within the budget', async t => {
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

t.test('99 entry VMs that regain the platform at once stay within the budget of ten seconds', async t => {
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
