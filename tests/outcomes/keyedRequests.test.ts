/**
 * Guards against running the work of one idempotency key twice when the key arrives through several entry VMs, a process dies,
 * or the platform is unreachable or its answers are lost.
 */

import t from 'tap'
import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { MemoryPlatformClient } from '@pomelofold/standins/memoryPlatformClient'
import { KeyedRequests, type KeyedDecision } from 'pomelofold/outcomes/keyedRequests'
import type { ServiceAnswer } from 'pomelofold/protocol/requests'
import { delay } from 'pomelofold/seams/timers'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'

const answer = (outcome: ServiceAnswer['outcome']): ServiceAnswer => ({ outcome, status: 200, headers: {}, body: new Uint8Array([1, 2]) })

/** Entry processes that share a platform and query each other after `queries.delayMs`. Those in `dead` do not answer. */
function startProcesses (count: number) {
  const timers = new ManualTimers()
  const store = new KeyValueStore({ timers })
  const dead = new Set<string>()
  const queries = { delayMs: 0 }
  const all = new Map<string, KeyedRequests>()
  const start = (vm: string, incarnation = '1') => {
    const platform = new MemoryPlatformClient({ store, timers })
    const keyed = new KeyedRequests({
      timers,
      platform,
      log: SILENT_LOG,
      vm,
      incarnation,
      committer: {
        commit: async (changes, guards = []) => (await platform.txn(guards, changes)).map(({ applied }) => ({ applied }))
      },
      queryKeyOwner: async (ownerVm, key, requestId) => {
        if (queries.delayMs > 0) await delay(timers, queries.delayMs)
        return dead.has(ownerVm) ? undefined : all.get(ownerVm)!.outcomeOf(key, requestId)
      }
    })
    all.set(vm, keyed)
    return { keyed, platform }
  }
  return { timers, dead, queries, start, members: Array.from({ length: count }, (_, i) => start(`entry-${i}`)) }
}

/** Runs `call` while manual time passes. */
async function advanceDuring<T> (timers: ManualTimers, call: Promise<T>, ms = 5_000): Promise<T> {
  const [value] = await Promise.all([call, timers.advance(ms)])
  return value
}

t.test('of two simultaneous requests with the same key through two entry VMs, exactly one is run', async t => {
  const { timers, members } = startProcesses(2)
  const decisions = await advanceDuring(timers, Promise.all(members.map(({ keyed }, i) => keyed.begin('k', 'd', `r${i}`))))
  t.same(decisions.map(({ decision }) => decision).sort(), ['run', 'running'])
})

t.test('a key whose request ran gets the same answer through another entry VM', async t => {
  const { timers, members } = startProcesses(2)
  await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r0'))
  members[0].keyed.finish('k', answer('ran'))
  await timers.advance(1_000)
  const decision = await advanceDuring(timers, members[1].keyed.begin('k', 'd', 'r1'))
  t.match(decision, { decision: 'ran', requestId: 'r0', answer: { status: 200 } })
})

t.test('a key used with a different body is a conflict', async t => {
  const { timers, members } = startProcesses(2)
  await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r0'))
  t.match(await advanceDuring(timers, members[0].keyed.begin('k', 'other', 'r1')), { decision: 'conflict' })
  t.match(await advanceDuring(timers, members[1].keyed.begin('k', 'other', 'r2')), { decision: 'conflict' })
})

t.test('a key whose process has died has outcome unknown and is never run again', async t => {
  const { timers, members, dead, start } = startProcesses(2)
  await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r0'))
  dead.add('entry-0')
  t.match(await advanceDuring(timers, members[1].keyed.begin('k', 'd', 'r1')), { decision: 'unknown', requestId: 'r0' })
  dead.delete('entry-0')
  const restarted = start('entry-0', '2')
  t.match(await advanceDuring(timers, restarted.keyed.begin('k', 'd', 'r2')), { decision: 'unknown', requestId: 'r0' })
})

t.test('a key whose request did not run can be used again, through the same or another entry VM', async t => {
  const { timers, members } = startProcesses(2)
  await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r0'))
  members[0].keyed.finish('k', answer('not-run'))
  t.match(await advanceDuring(timers, members[1].keyed.begin('k', 'd', 'r1')), { decision: 'run' })
  t.match(await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r2')), { decision: 'running' })
})

t.test('a keyed request is refused while the platform is unreachable, and runs once afterwards', async t => {
  const { timers, members } = startProcesses(2)
  members[0].platform.faults.unreachable = true
  t.match(await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r0')), { decision: 'refused' })
  members[0].platform.faults.unreachable = false
  const decisions: KeyedDecision[] = await advanceDuring(timers, Promise.all(members.map(({ keyed }, i) => keyed.begin('k', 'd', `r${i + 1}`))))
  t.same(decisions.map(({ decision }) => decision).sort(), ['run', 'running'])
})

t.test('a record whose creation was not acknowledged neither blocks the key nor lets it run twice', async t => {
  const { timers, members } = startProcesses(2)
  await advanceDuring(timers, members[0].keyed.begin('warm-up', 'd', 'w'))
  members[0].platform.faults.loseAnswers = true
  t.match(await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r0')), { decision: 'refused' })
  members[0].platform.faults.loseAnswers = false
  t.match(await advanceDuring(timers, members[1].keyed.begin('k', 'd', 'r1')), { decision: 'run' })
  t.match(await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r2')), { decision: 'running' })
})

t.test('an outcome that could not be recorded during a platform outage is recorded afterwards', async t => {
  const { timers, members, dead } = startProcesses(2)
  await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r0'))
  members[0].platform.faults.unreachable = true
  members[0].keyed.finish('k', answer('ran'))
  await timers.advance(60_000)
  members[0].platform.faults.unreachable = false
  await timers.advance(10_000)
  dead.add('entry-0')
  t.match(await advanceDuring(timers, members[1].keyed.begin('k', 'd', 'r1')), { decision: 'ran', requestId: 'r0' })
})

// Guards against an unknown outcome when the owner of a key stores it, and forgets the request, between the reading of the
// record and the query.
t.test('an outcome that is stored between the reading of the record and the query of its owner is found', async t => {
  const ran = { decision: 'ran', requestId: 'r0', answer: { status: 200, body: new Uint8Array([1, 2]) } }
  const cases = [
    { outcome: 'ran', ownerDies: false, expected: ran },
    { outcome: 'ran', ownerDies: true, expected: ran },
    { outcome: 'not-run', ownerDies: true, expected: { decision: 'run' } },
    { outcome: 'unknown', ownerDies: false, expected: { decision: 'unknown', requestId: 'r0' } }
  ] as const
  for (const { outcome, ownerDies, expected } of cases) {
    const { timers, members, dead, queries } = startProcesses(2)
    await advanceDuring(timers, members[0].keyed.begin('k', 'd', 'r0'))
    queries.delayMs = 100
    const second = members[1].keyed.begin('k', 'd', 'r1')
    await timers.advance(50)
    members[0].keyed.finish('k', answer(outcome))
    await timers.advance(20)
    if (ownerDies) dead.add('entry-0')
    t.match(await advanceDuring(timers, second), expected, `${outcome}, its owner ${ownerDies ? 'has died' : 'answers'}`)
  }
})
