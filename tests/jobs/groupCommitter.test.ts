/**
 * Tests of the group commit against lost answers, late copies of writes, and guards that fail. A commit must be applied
 * exactly once or not at all, and one caller must not affect the commits of others in the same transaction.
 */

import t from 'tap'
import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { MemoryPlatformClient } from '@pomelofold/standins/memoryPlatformClient'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { CommitRefusedError, GroupCommitter, type CommitResult } from 'pomelofold/commits/groupCommitter'
import type { Change, Guard } from 'pomelofold/seams/platformClient'
import { LINK_RATES, limitWriteBandwidth } from '../standins/slowLink.js'

function setUp ({ fence }: { fence?: () => Guard | undefined } = {}) {
  const timers = new ManualTimers()
  const store = new KeyValueStore({ timers })
  const platform = new MemoryPlatformClient({ store, timers })
  const committer = new GroupCommitter({ timers, platform, random: new SeededRandom(1), writer: 'entry-0/jobs', minIntervalMs: 250, fence })
  return { timers, store, platform, committer }
}

const put = (key: string, value = key): Change => ({ op: 'put', key, value })
const outcomeOf = (result: CommitResult): string => result.isOk ? 'ok' : result.error instanceof CommitRefusedError ? result.error.reason : result.error.effect

t.test('changes of many callers share writes of at most 100 changes, spaced by the interval', async t => {
  const { timers, store, committer } = setUp()
  const commits = Array.from({ length: 250 }, (_, i) => committer.commit([put(`key-${i}`)]))
  await timers.advance(499)
  t.equal(store.counts.writes, 2)
  await timers.advance(100)
  t.equal(store.counts.writes, 3)
  t.ok((await Promise.all(commits)).every(result => result.isOk))
  t.equal(store.range('key-').values.length, 250)
})

t.test('a failed guard of one caller does not fail the changes of others', async t => {
  const { timers, store, committer } = setUp()
  store.txn([], [put('taken', 'before')])
  const commits = ['one', 'taken', 'two', 'three'].map(key => committer.commit([put(key)], { guards: [{ key, modRevision: 0 }] }))
  await timers.advance(3_000)
  t.same((await Promise.all(commits)).map(outcomeOf), ['ok', 'guard', 'ok', 'ok'])
  t.equal(store.get('taken')?.value, 'before')
})

t.test('a write whose answer was lost is settled by reading back and applied once', async t => {
  const { timers, store, platform, committer } = setUp()
  platform.faults.loseAnswers = true
  const commit = committer.commit([put('one')], { guards: [{ key: 'one', modRevision: 0 }] })
  await timers.advance(1_500)
  platform.faults.loseAnswers = false
  await timers.advance(5_000)
  t.equal(outcomeOf(await commit), 'ok')
  t.equal(store.get('one')?.value, 'one')
})

t.test('copies of a write that arrive after it was settled have no effect', async t => {
  const { timers, store, platform, committer } = setUp()
  const opened = committer.commit([put('zero')])
  await timers.advance(300)
  t.equal(outcomeOf(await opened), 'ok')
  platform.faults.delayMs = 4_000
  const first = committer.commit([put('one', 'first')])
  await timers.advance(3_000)
  platform.faults.delayMs = 1
  const second = first.then(() => committer.commit([put('one', 'second')]))
  await timers.advance(20_000)
  t.same([outcomeOf(await first), outcomeOf(await second)], ['ok', 'ok'])
  t.equal(store.get('one')?.value, 'second')
})

t.test('a writer whose fence has changed writes nothing', async t => {
  const { timers, store, committer } = setUp({ fence: () => ({ key: 'fence', modRevision: 1 }) })
  store.txn([], [put('fence')])
  const accepted = committer.commit([put('one')])
  await timers.advance(1_000)
  store.txn([], [put('fence')])
  const refused = committer.commit([put('two')])
  await timers.advance(1_000)
  t.same([outcomeOf(await accepted), outcomeOf(await refused)], ['ok', 'fence'])
  t.equal(store.get('two'), undefined)
})

t.test('a caller gets an answer by its deadline, which rules out an effect only when the write was not sent', async t => {
  const { timers, platform, committer } = setUp()
  platform.faults.unreachable = true
  const sent = committer.commit([put('one')], { timeoutMs: 400 })
  await timers.advance(1)
  const queued = committer.commit([put('two')], { timeoutMs: 400 })
  await timers.advance(500)
  t.same([outcomeOf(await sent), outcomeOf(await queued)], ['unknown', 'none'])
})

// Guards against a batch that is repeated for ever, before all later ones: 29 records of 1,000 checkpoints have this size.
t.test('a transaction that takes longer than the time limit of one call on a slow link is committed', async t => {
  const { timers, store, platform, committer } = setUp()
  limitWriteBandwidth(platform, timers, LINK_RATES.slow)
  const commits = Array.from({ length: 29 }, (_, i) => committer.commit([put(`key-${i}`, 'x'.repeat(29_000))]))
  commits.push(committer.commit([put('key-0', 'later')]))
  await timers.advance(60_000)
  t.equal(store.range('key-').values.length, 29)
  t.equal(store.get('key-0')?.value, 'later')
  committer.close()
})
