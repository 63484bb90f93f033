/**
 * Guards the distribution of manifests: every process uses the newest revision within a bounded time, also when the platform
 * or answers from it are lost, and of two concurrent submissions only one is committed.
 *
 * @module
 */

import t from 'tap'
import Result from 'true-myth/result'
import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { MemoryPlatformClient } from '@pomelofold/standins/memoryPlatformClient'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { ManifestKeeper } from 'pomelofold/config/manifestKeeper'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { CallError } from 'pomelofold/utils/errors'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'

/** Time within which a change must be in force everywhere, in milliseconds. */
const MAX_IN_FORCE_DELAY_MS = 18_000

const manifestOf = (name: string) => manifestSchema.parse({ format: 1, services: [{ name }] })

/** Creates keepers that share a platform and fetch from each other. `watching` lists those that watch the platform. */
function createKeepers (count: number, { watching = [0] } = {}) {
  const timers = new ManualTimers()
  const store = new KeyValueStore({ timers })
  const members = Array.from({ length: count }, (_, i) => {
    const platform = new MemoryPlatformClient({ store, timers })
    const keeper: ManifestKeeper = new ManifestKeeper({
      timers,
      random: new SeededRandom(i + 1),
      platform,
      log: SILENT_LOG,
      peers: Array.from({ length: count }, (_, j) => String(j)).filter(j => j !== String(i)),
      fetchFromPeer: async vm => cut.has(Number(vm)) || cut.has(i)
        ? Result.err(new CallError('peer is cut off', { step: 'peer.fetchManifest', peer: vm, effect: 'none' }))
        : Result.ok(members[Number(vm)].keeper.current()),
      shouldWatch: () => watching.includes(i)
    })
    return { keeper, platform }
  })
  const cut = new Set<number>()
  return { timers, members, cut, store }
}

t.test('an accepted manifest is in force at every process within the bound', async t => {
  const { timers, members } = createKeepers(3)
  await Promise.all([...members.map(({ keeper }) => keeper.start()), timers.advance(1_000)])
  const [submitted] = await Promise.all([members[1].keeper.submit(manifestOf('one'), 0), timers.advance(100)])
  t.same(submitted.unwrapOr(undefined), { kind: 'accepted', revision: 1 })
  await timers.advance(MAX_IN_FORCE_DELAY_MS)
  t.same(members.map(({ keeper }) => keeper.current().revision), [1, 1, 1])
})

t.test('of two concurrent submissions one is accepted, and the other gets a conflict with the revision in force', async t => {
  const { timers, members } = createKeepers(2)
  const [results] = await Promise.all([
    Promise.all([members[0].keeper.submit(manifestOf('one'), 0), members[1].keeper.submit(manifestOf('two'), 0)]),
    timers.advance(1_000)
  ])
  t.same(results.map(result => result.unwrapOr(undefined)?.kind).sort(), ['accepted', 'conflict'])
  t.same(results.map(result => result.unwrapOr(undefined)?.revision), [1, 1])
})

t.test('a commit whose answer was lost is found to be accepted by reading it back', async t => {
  const { timers, members } = createKeepers(1)
  const { keeper, platform } = members[0]
  platform.faults.loseAnswers = true
  timers.after(1_500, () => { platform.faults.loseAnswers = false })
  const [submitted] = await Promise.all([keeper.submit(manifestOf('one'), 0), timers.advance(5_000)])
  t.same(submitted.unwrapOr(undefined), { kind: 'accepted', revision: 1 })
})

t.test('a commit whose answer was lost and that another manifest had preceded is reported as a failure', async t => {
  const { timers, members, store } = createKeepers(1)
  const { keeper, platform } = members[0]
  store.txn([], [{ op: 'put', key: 'pomelofold/config/manifest', value: JSON.stringify({ submission: 'other', manifest: manifestOf('other') }) }])
  platform.faults.loseAnswers = true
  timers.after(1_500, () => { platform.faults.loseAnswers = false })
  const [submitted] = await Promise.all([keeper.submit(manifestOf('one'), 0), timers.advance(10_000)])
  t.equal(submitted.isErr && submitted.error.step, 'manifest.submit')
  t.equal(keeper.current().manifest.services[0].name, 'other')
})

t.test('a process that restarts during an outage gets the newest revision from its peers', async t => {
  const { timers, members } = createKeepers(3)
  await Promise.all([members[0].keeper.start(), members[1].keeper.submit(manifestOf('one'), 0), timers.advance(1_000)])
  for (const { platform } of members) platform.faults.unreachable = true
  await Promise.all([members[2].keeper.start(), timers.advance(5_000)])
  t.equal(members[2].keeper.current().revision, 1)
})

t.test('a process cut off from the platform gets a new revision from a peer, and never returns to an older one', async t => {
  const { timers, members, cut } = createKeepers(2)
  await Promise.all([...members.map(({ keeper }) => keeper.start()), timers.advance(2_000)])
  members[1].platform.faults.unreachable = true
  await Promise.all([members[0].keeper.submit(manifestOf('one'), 0), timers.advance(100)])
  members[1].keeper.onPeerRevision('0', 1)
  await timers.advance(100)
  t.equal(members[1].keeper.current().revision, 1)
  cut.add(0)
  members[1].keeper.onPeerRevision('0', 0)
  await timers.advance(MAX_IN_FORCE_DELAY_MS)
  t.equal(members[1].keeper.current().revision, 1)
})
