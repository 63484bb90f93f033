/** Tests of callers' keys at the platform's boundary: decoding, hashing, the answers to callers, and the proof from the store. */

import t from 'tap'
import Result from 'true-myth/result'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import type { HttpCaller } from 'pomelofold/edge/httpCaller'
import { readClocks, type ClockReading } from 'pomelofold/seams/clockReading'
import type { PlatformClient, StoredValue, WatchHandlers } from 'pomelofold/seams/platformClient'
import type { CellConfig } from 'pomelofold/seams/workflowUpstreams'
import { CredentialChecker } from 'pomelofold/teams/credentialChecker'
import { hashKey, type CredentialBounds } from 'pomelofold/teams/credentials'
import { formatEvent, SILENT_LOG } from 'pomelofold/utils/eventLog'
import type { WorkflowService } from 'pomelofold/workflows/workflowService'
import { ConfigurationWatcher } from 'pomelofold-on-platform/configurationWatcher'
import { decodeConfiguration, decodeShared } from 'pomelofold-on-platform/configurationText'
import { frontApp } from 'pomelofold-on-platform/front'
import { parseSettings } from 'pomelofold-on-platform/settings'
import { StoreClient } from 'pomelofold-on-platform/storeClient'

const BOUNDS: CredentialBounds = { strict: true, withdrawalMs: 5_000, applyMs: 3_000 }
const ID = '5c0e7a21d94b36f8'
const BODY = JSON.stringify({ spec: 'text', steps: [{ task_count: 2, cpu: 500 }] })
const KEY = 'gkcuyj8pjbvk9m68k7b2'
const ROUTE = { host: 'h', service: 's', priority: 1 }

function storedText (version: number, keys: string[]): string {
  return JSON.stringify({
    version,
    routes: [{ ...ROUTE, name: 'closed', prefix: '/q/', no_auth: false }, { ...ROUTE, name: 'open', prefix: '/open/', no_auth: true }],
    services: [],
    limits: {},
    tenants: [{ name: 'kaje80', api_keys: keys, priority: 1, weight: 17, cap: { cpu: 2_520_236, mem_mb: 3_596_512, gpu: 0 } }]
  })
}

function decoded (text: string): CellConfig {
  const version = decodeConfiguration(text)
  if (version.isErr) throw new Error(version.error)
  return version.value.config
}

/** An app for callers with a configuration whose proof a test may change, and a record of what it stored, refused and logged. */
function setUp (service: Partial<WorkflowService> = {}): {
  send: (method: string, path: string, options?: { key?: string, body?: string | ReadableStream }) => Promise<Response>
  configuration: { config: CellConfig, proofAgeMs: number }
  stored: Array<string | undefined>
  refusals: string[]
  lines: string[]
} {
  const stored: Array<string | undefined> = []
  const refusals: string[] = []
  const lines: string[] = []
  const configuration = { config: decoded(storedText(1, [KEY])), proofAgeMs: 0, renewFromStore: () => undefined }
  const app = frontApp({
    service: {
      admit: async () => ({ outcome: 'accepted' }),
      submit: async workflow => { stored.push(workflow.team); return 'stored' },
      state: async () => ({ state: 'running' }),
      cancel: async () => { stored.push('cancelled'); return 'cancelled' },
      waiting: async () => 12,
      retryAfterS: () => 2,
      ...service
    } as WorkflowService,
    config: () => configuration.config,
    credentials: new CredentialChecker({ configuration, bounds: BOUNDS }),
    timers: new ManualTimers(),
    log: { event: (_level, name, fields) => { lines.push(formatEvent(name, fields)) } },
    shuttingDown: () => false,
    onAnswer: () => {},
    onRefusal: cause => { refusals.push(cause) }
  })
  const send: ReturnType<typeof setUp>['send'] = async (method, path, { key, body } = {}) => {
    const headers = { host: 'h', ...(key && { authorization: `Bearer ${key}` }) }
    const init = { method, headers, body: body ?? (method === 'POST' ? BODY : undefined), duplex: 'half' }
    return app.request(`http://h${path}`, init as RequestInit)
  }
  return { send, configuration, stored, refusals, lines }
}

t.test('the body of a job is not read when its key is missing or not known', async t => {
  const { send, stored } = setUp()
  for (const key of [undefined, 'unknown-key']) {
    const body = new ReadableStream({ pull: () => { t.fail('was read') } }, { highWaterMark: 0 })
    t.equal((await send('POST', `/q/${ID}`, { key, body })).status, 401)
  }
  t.same(stored, [])
})

const REQUESTS = [['POST', ID], ['GET', ID], ['GET', ''], ['DELETE', ID]]

for (const [method, id] of REQUESTS) {
  t.test(`${method} ${id ? 'of a job' : 'of a queue'} needs a key that the configuration has, unless the queue is open`, async t => {
    const { send, configuration, stored, refusals, lines } = setUp()
    t.equal((await send(method, `/q/${id}`)).status, 401)
    const unknown = await send(method, `/q/${id}`, { key: 'unknown-key' })
    t.equal(unknown.status, 401)
    t.match(await unknown.json(), { error: 'the key is not known' })
    t.equal((await send(method, `/q/${id}`, { key: KEY })).status, 200)
    t.equal((await send(method, `/open/${id}`)).status, 200)
    configuration.proofAgeMs = 5_001
    const late = await send(method, `/q/${id}`, { key: KEY })
    t.equal(late.status, 503)
    t.equal(late.headers.get('retry-after'), '2')
    t.same(refusals, ['missing-key', 'unknown-key', 'not-provable'])
    if (method === 'POST') t.same(stored, ['kaje80', undefined])
    if (method === 'DELETE') t.same(stored, ['cancelled', 'cancelled'])
    const refused = lines.filter(line => line.startsWith('event=request.refused'))
    t.match(refused[1], `keyHash=${hashKey('unknown-key').slice(0, 8)} proofAgeMs=0 cause=unknown-key`)
    t.notOk(lines.some(line => line.includes(KEY) || line.includes('unknown-key ') || line.includes(hashKey(KEY))), 'no key and no whole hash')
  })
}

t.test('a submission that was paused while its body was read is refused, and nothing is stored', async t => {
  const { send, configuration, stored } = setUp()
  const body = new ReadableStream({
    pull: controller => {
      configuration.proofAgeMs = 60_000
      controller.enqueue(new TextEncoder().encode(BODY))
      controller.close()
    }
  }, { highWaterMark: 0 })
  t.equal((await send('POST', `/q/${ID}`, { key: KEY, body })).status, 503)
  t.same(stored, [])
})

t.test('a submission that was paused while its admission was decided is refused, and nothing is stored', async t => {
  const { send, configuration, stored } = setUp({ admit: async () => { configuration.proofAgeMs = 60_000; return { outcome: 'accepted' } } })
  t.equal((await send('POST', `/q/${ID}`, { key: KEY })).status, 503)
  t.same(stored, [])
})

t.test('a state that comes after a pause, or after the withdrawal of the key, is not told', async t => {
  const paused = setUp({ state: async () => { paused.configuration.proofAgeMs = 60_000; return { state: 'running' } } })
  t.equal((await paused.send('GET', `/q/${ID}`, { key: KEY })).status, 503)
  const withdrawn = setUp({ state: async () => { withdrawn.configuration.config = decoded(storedText(2, [])); return { state: 'running' } } })
  t.equal((await withdrawn.send('GET', `/q/${ID}`, { key: KEY })).status, 401)
})

t.test('teams are decoded with hashes of their keys, also from the text for peers, which contains no key', async t => {
  const version = decodeConfiguration(storedText(7, [KEY, 'second']))
  if (version.isErr) throw new Error(version.error)
  const { teams, routes } = version.value.config
  t.same([...teams!.byName.values()], [{ name: 'kaje80', weight: 17, cap: { cpuMillis: 2_520_236, memoryMb: 3_596_512, accelerators: 0 } }])
  t.same([...teams!.nameByKeyHash], [[hashKey(KEY), 'kaje80'], [hashKey('second'), 'kaje80']])
  t.same(routes.map(route => route.open), [false, true])
  const text = version.value.encode()
  t.notOk(text.includes(KEY))
  const shared = decodeShared(text)
  t.ok(shared.isOk)
  if (shared.isOk) t.same(shared.value.config, version.value.config)
  t.equal(decoded('{"version":1,"routes":[]}').teams, undefined)
})

t.test('bounds for keys are read from the settings, and are absent without them', async t => {
  const text = 'node_name=n\nip=1\nzone=a\nlisten_addrs.front=f\nlisten_addrs.ready=r\nport_range=1,2\nplatform.address=p\n' +
    'bounds.hold_max_ms=1\nbounds.status_s=1\nbounds.grace_s=1\n'
  const none = parseSettings(text)
  const some = parseSettings(`${text}bounds.revoke_ms=5000\nbounds.revoke_strict=true\nbounds.config_apply_ms=3000\n`)
  if (none.isErr || some.isErr) throw new Error('not parsed')
  t.same(none.value.credentialBounds, { strict: false, withdrawalMs: Infinity, applyMs: Infinity })
  t.same(some.value.credentialBounds, BOUNDS)
})

t.test('a watch reports the time at which the poll was sent that the store answered', async t => {
  const timers = new ManualTimers()
  const answers = [{ events: [], as_of: 2 }, { events: [{ key: 'k', revision: 3, tombstone: true }], as_of: 3 }]
  const call = async (): Promise<object> => {
    await new Promise<void>(resolve => timers.after(700, resolve))
    const answer = answers.shift()
    return answer ? Result.ok({ status: 200, headers: {}, body: Buffer.from(JSON.stringify(answer)) }) : new Promise(() => {})
  }
  const sent: number[] = []
  const handlers: WatchHandlers = {
    onEvents: (_events, at) => { sent.push(at!.monotonicMs) }, onProgress: at => { sent.push(at!.monotonicMs) }, onEnd: () => {}
  }
  new StoreClient({ caller: { call } as unknown as HttpCaller, address: 's', timers }).watch('k', 2, handlers)
  await timers.advance(1_500)
  t.same(sent, [0, 700])
})

/** A watcher on a store whose answers a test gives. */
function watchConfiguration (timers: ManualTimers, texts: string[]): {
  watcher: ConfigurationWatcher
  /** False while the store does not answer reads beside the watch. */
  reads: { answered: boolean, count: number }
  answer: (text: string | undefined, sent: ClockReading) => void
} {
  const values = (text: string): StoredValue => ({ key: 'op/config', value: text, createRevision: 1, modRevision: texts.indexOf(text) + 1 })
  let handlers: WatchHandlers | undefined
  const reads = { answered: true, count: 0 }
  const platform = {
    range: async () => Result.ok({ values: [values(texts[0])], revision: 1 }),
    get: async () => {
      reads.count++
      return reads.answered ? Result.ok(values(texts[0])) : Result.err(new Error('no answer'))
    },
    watch: (_prefix: string, _from: number, given: WatchHandlers) => { handlers = given; return { close: () => {} } }
  } as unknown as PlatformClient
  const watcher = new ConfigurationWatcher({ platform, timers, log: SILENT_LOG, bounds: BOUNDS })
  watcher.start()
  const answer = (text: string | undefined, sent: ClockReading): void => {
    if (text === undefined) return handlers!.onProgress!(sent)
    const value = values(text)
    handlers!.onEvents([{ key: value.key, value, revision: value.modRevision }], sent)
  }
  return { watcher, reads, answer }
}

t.test('the proof counts from the sending of the confirming call, and a version that cannot be read proves nothing', async t => {
  const timers = new ManualTimers()
  const texts = [storedText(5, [KEY]), storedText(6, []), '{"version":', storedText(4, [KEY])]
  const { watcher, answer } = watchConfiguration(timers, texts)
  await timers.advance(1_000)
  t.equal(watcher.active.proofAgeMs, 1_000)
  const sent = readClocks(timers)
  await timers.advance(800)
  answer(undefined, sent)
  t.equal(watcher.active.proofAgeMs, 800)
  answer(texts[1], sent)
  t.equal(watcher.config!.version, 6)
  await timers.advance(1_000)
  answer(texts[2], readClocks(timers))
  t.equal(watcher.active.proofAgeMs, 1_800, 'a version that cannot be read may withdraw keys')
  answer(texts[3], readClocks(timers))
  t.equal(watcher.active.proofAgeMs, 1_800)
  t.equal(watcher.config!.teams!.nameByKeyHash.size, 0, 'a withdrawn key stays withdrawn')
})

t.test('an old proof is renewed by one read of the store, and after a failed read there is a pause', async t => {
  const timers = new ManualTimers()
  const { watcher: { active }, reads } = watchConfiguration(timers, [storedText(5, [KEY])])
  await timers.advance(10_000)
  t.equal(active.proofAgeMs, 10_000)
  const renewal = active.renewFromStore()
  t.equal(active.renewFromStore(), renewal, 'one read for all that wait')
  await renewal
  t.equal(active.proofAgeMs, 0)
  reads.answered = false
  await active.renewFromStore()
  t.equal(active.renewFromStore(), undefined)
  await timers.advance(1_000)
  t.ok(active.renewFromStore())
  t.equal(reads.count, 3)
})

t.test('a key is compared with the configuration of the moment, also when it named no teams as the request came', async t => {
  const { send, configuration } = setUp()
  const { config } = configuration
  configuration.config = { ...config, teams: undefined }
  const body = new ReadableStream({
    pull: controller => {
      configuration.config = config
      controller.enqueue(new TextEncoder().encode(BODY))
      controller.close()
    }
  }, { highWaterMark: 0 })
  t.equal((await send('POST', `/q/${ID}`, { key: KEY, body })).status, 200)
})
