/**
 * Tests of the platform's client over HTTP against a stand-in of the platform. A client that reports a wrong effect of a
 * failed write makes its callers repeat a write that was made, or drop one that was not.
 */

import t from 'tap'
import { HttpPlatformClient } from 'pomelofold/edge/httpPlatformClient'
import type { WatchEvent } from 'pomelofold/seams/platformClient'
import { CallTimeoutError } from 'pomelofold/utils/errors'
import { LONG_TIMEOUT_MS, startPlatform, timers, waitUntil } from '../standins/harness.js'

const SHORT_MS = 200

t.test('a value is written by compare-and-swap and read back with its revisions', async t => {
  const { client } = await startPlatform(t)
  const put = (modRevision: number, value: string) => client.txn([{ key: 'a/ü', modRevision }], [{ op: 'put', key: 'a/ü', value }])
  t.match(await put(0, 'älter'), { value: { applied: true, revision: 1 } })
  t.match(await put(0, 'lost race'), { value: { applied: false, revision: 1 } })
  t.match(await put(1, 'neu'), { value: { applied: true, revision: 2 } })
  t.match(await client.get('a/ü'), { value: { key: 'a/ü', value: 'neu', createRevision: 1, modRevision: 2 } })
  t.match(await client.get('a/'), { isOk: true, value: undefined })
})

t.test('a range holds the keys with the prefix in order', async t => {
  const { client } = await startPlatform(t)
  await client.txn([], ['b/2', 'b/1', 'c', 'a'].map(key => ({ op: 'put', key, value: key })))
  const range = await client.range('b/')
  t.same(range.isOk && range.value.values.map(value => value.key), ['b/1', 'b/2'])
  const all = await client.range('')
  t.equal(all.isOk && all.value.values.length, 4)
  await client.txn([], [{ op: 'delete', key: 'b/1' }])
  t.match(await client.range('b/'), { value: { values: [{ key: 'b/2' }], revision: 2 } })
})

t.test('a lease is rounded up to whole seconds, and its keys are deleted when it ends', async t => {
  const { client } = await startPlatform(t)
  const grant = await client.grantLease(1_100)
  if (grant.isErr) throw grant.error
  const { leaseId, ttlMs } = grant.value
  t.equal(ttlMs, 2_000)
  await client.txn([], [{ op: 'put', key: 'claim', value: 'vm-1', leaseId }])
  t.match(await client.keepAlive(leaseId), { value: { ttlMs: 2_000 } })
  t.ok((await client.revokeLease(leaseId)).isOk)
  t.match(await client.get('claim'), { isOk: true, value: undefined })
  t.match(await client.keepAlive(leaseId), { value: { ttlMs: 0 } })
  t.match(await client.txn([], [{ op: 'put', key: 'claim', value: 'x', leaseId }]), { error: { effect: 'none', message: /not known/ } })
})

t.test('a watch reports past and new events, including deletions, and ends once', async t => {
  const { client, control } = await startPlatform(t)
  await client.txn([], [{ op: 'put', key: 'cfg/1', value: 'old' }])
  await client.txn([], [{ op: 'put', key: 'cfg/1', value: 'new' }])
  const events: WatchEvent[] = []
  const ends: string[] = []
  client.watch('cfg/', 2, { onEvents: batch => events.push(...batch), onEnd: reason => ends.push(reason) })
  await waitUntil(() => events.length === 1)
  await client.txn([], [{ op: 'delete', key: 'cfg/1' }, { op: 'put', key: 'other', value: '' }])
  await waitUntil(() => events.length === 2)
  t.match(events, [{ key: 'cfg/1', value: { value: 'new', modRevision: 2 }, revision: 2 }, { key: 'cfg/1', value: undefined, revision: 3 }])
  t.match(await control.counts(), { writes: 3, watches: 1, openWatches: 1 })
  await control.setFaults({ outage: 'reset' })
  await waitUntil(() => ends.length > 0)
  t.equal(ends.length, 1)
})

t.test('a closed watch reports no further events', async t => {
  const { client, standin } = await startPlatform(t)
  const watch = client.watch('', 1, { onEvents: () => t.fail('event'), onEnd: () => t.fail('end') })
  await waitUntil(() => standin.counts().openWatches === 1)
  watch.close()
  await waitUntil(() => standin.counts().openWatches === 0)
  await client.txn([], [{ op: 'put', key: 'a', value: '' }])
})

t.test('a watch from a revision that is no longer kept ends with that reason', async t => {
  const { client, standin } = await startPlatform(t)
  for (let i = 0; i <= 20_000; i++) standin.store.txn([], [{ op: 'put', key: 'a', value: String(i) }])
  const ends: string[] = []
  client.watch('a', 1, { onEvents: () => t.fail('event'), onEnd: reason => ends.push(reason) })
  await waitUntil(() => ends.length === 1)
  t.match(ends[0], /no longer kept/)
})

t.test('a write whose answer is lost is an error with unknown effect, and has taken effect', async t => {
  const { client, address, control } = await startPlatform(t)
  await control.setFaults({ loseAnswers: true })
  t.match(await client.txn([], [{ op: 'put', key: 'a', value: '1' }]), { error: { effect: 'unknown', step: 'platform.txn', peer: address } })
  t.match(await client.get('a'), { value: { value: '1' } })
  t.match(await control.counts(), { writes: 1 })
})

t.test('in an outage without answers, calls end at their deadline, and only the effect of writes is unknown', async t => {
  const { client, control } = await startPlatform(t)
  await control.setFaults({ outage: 'silent' })
  const write = await client.txn([], [], { timeoutMs: SHORT_MS })
  t.ok(write.isErr && write.error instanceof CallTimeoutError && write.error.effect === 'unknown')
  const read = await client.get('a', { timeoutMs: SHORT_MS })
  t.ok(read.isErr && read.error instanceof CallTimeoutError && read.error.effect === 'none')
})

t.test('an answer that the service is unavailable leaves the effect of a write unknown', async t => {
  const { client, control } = await startPlatform(t)
  await control.setFaults({ outage: 'unavailable' })
  t.match(await client.grantLease(1_000), { error: { effect: 'unknown', message: /code 14/ } })
})

t.test('a value of more than one megabyte is refused without effect', async t => {
  const { client } = await startPlatform(t)
  t.match(await client.txn([], [{ op: 'put', key: 'a', value: 'x'.repeat(1_000_001) }]), { error: { effect: 'none', message: /over 1000000 bytes/ } })
  t.match(await client.txn([], [{ op: 'put', key: 'a', value: 'x'.repeat(1_000_000) }]), { value: { applied: true } })
  const read = await client.get('a')
  t.equal(read.isOk && read.value?.value.length, 1_000_000)
})

t.test('a call to a platform that cannot be reached has no effect, and a watch ends', async t => {
  const { standin, address } = await startPlatform(t)
  await standin.close()
  const client = new HttpPlatformClient({ timers, address })
  t.teardown(() => client.close())
  t.match(await client.txn([], []), { error: { effect: 'none' } })
  const ends: string[] = []
  client.watch('a', 1, { onEvents: () => {}, onEnd: reason => ends.push(reason) })
  await waitUntil(() => ends.length === 1)
  t.match(ends[0], /ECONNREFUSED/)
})

const VM = { name: 'worker-1', kind: 'worker', state: 'live', failureDomain: 'a', rack: 'r1', address: '127.0.0.1:9' } as const

t.test('the list of VMs does not show a change before the delay of the list has passed', async t => {
  const { client, control } = await startPlatform(t, { vms: [VM], vmLagMs: LONG_TIMEOUT_MS })
  await control.setVmState(VM.name, 'leaving')
  t.match(await control.vms(), [{ state: 'leaving' }])
  t.match(await client.listVms(), { value: [{ name: 'worker-1', state: 'live' }] })
  t.match(await control.counts(), { vmLists: 1 })
})

t.test('the list of VMs shows leaving VMs, and omits VMs that are gone, after the delay of the list', async t => {
  const { client, control } = await startPlatform(t, { vms: [VM], vmLagMs: 1 })
  const listed = async () => (await client.listVms()).unwrapOr([])[0]?.state
  await control.setVmState(VM.name, 'leaving')
  while (await listed() !== 'leaving');
  await control.setVmState(VM.name, 'gone')
  while (await listed() !== undefined);
  t.same(await control.vms(), [])
})
