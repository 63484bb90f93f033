/**
 * Tests of the clients of the platform's store, workers and services with damaged answers and stored values. Each must be
 * decoded or refused, without an exception, which would end the daemon.
 */

import fc from 'fast-check'
import t from 'tap'
import Result from 'true-myth/result'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import type { HttpAnswer, HttpCaller } from 'pomelofold/edge/httpCaller'
import type { PlatformClient } from 'pomelofold/seams/platformClient'
import type { WorkerEntry } from 'pomelofold/seams/workflowUpstreams'
import { endedWorkflowSchema, workflowProgressSchema, workflowSchema } from 'pomelofold/protocol/workflows'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { decodeJson } from 'pomelofold/utils/storedJson'
import { HttpEligibilityClient } from 'pomelofold-on-platform/httpEligibilityClient'
import { ConfigurationWatcher } from 'pomelofold-on-platform/configurationWatcher'
import { StoreWorkerDirectory } from 'pomelofold-on-platform/storeWorkerDirectory'
import { StoreClient } from 'pomelofold-on-platform/storeClient'
import { HttpWorkerClient } from 'pomelofold-on-platform/httpWorkerClient'
import { nearlyValid } from '../http/mutations.js'
import { STEP } from '../workflows/workflowCell.js'

const RUNS_PER_TEST = 10_000
const BORN_MS = 1_790_000_000_000
const WORKER: WorkerEntry = {
  id: 'w',
  bornMs: BORN_MS,
  service: 's',
  address: 'w:1',
  failureDomain: 'a',
  draining: false,
  capacity: { cpuMillis: 1, memoryMb: 1, accelerators: 0 },
  labels: []
}
const ITEM = { key: 'k', value: 'dGV4dA==', revision: 3, created: 2, lease: 0 }
const ENTRY = {
  service: 's',
  address: '10.1.0.1:80',
  zone: 'a',
  version: '1',
  slots: 8,
  state: 'ready',
  sequence: 1,
  born: BORN_MS,
  capacity: { cpu: 1, mem_mb: 1 },
  labels: ['a', 'r1']
}
const CONFIG = {
  version: 2,
  services: [],
  limits: {},
  routes: [{ name: 'r', host: 'h', prefix: '/q/', service: 's', priority: 1, advice: { decide_ms: 1, each_ms: 1, valid_ms: 1 } }]
}

/** Generates answers with various statuses, and with bodies that are valid, damaged or not JSON. */
function answers (valid: unknown): fc.Arbitrary<HttpAnswer> {
  const body = fc.oneof(nearlyValid(valid).map(value => JSON.stringify(value) ?? ''), fc.string(), fc.constant(JSON.stringify(valid)))
  const status = fc.constantFrom(200, 200, 200, 400, 404, 409, 410, 412, 421, 429, 500, 503)
  return fc.tuple(status, body).map(([status, text]) => ({ status, headers: {}, body: Buffer.from(text) }))
}

/** Creates a caller whose calls all return the same answer. */
function caller (answer: HttpAnswer): HttpCaller {
  return { call: async () => Result.ok(answer) } as unknown as HttpCaller
}

/** Calls with generated answers. Counts the results, and fails if a call throws. */
async function countOutcomes (
  valid: unknown, seed: number, call: (caller: HttpCaller) => Promise<Result<unknown, unknown>>
): Promise<{ ok: number, err: number }> {
  const counts = { ok: 0, err: 0 }
  await fc.assert(fc.asyncProperty(answers(valid), async answer => {
    counts[(await call(caller(answer))).isOk ? 'ok' : 'err']++
  }), { seed, numRuns: RUNS_PER_TEST })
  return counts
}

const timers = new ManualTimers()
const STORE_CALLS: Record<string, { valid: unknown, call: (store: StoreClient) => Promise<Result<unknown, unknown>> }> = {
  get: { valid: { ...ITEM, as_of: 4 }, call: store => store.get('k') },
  txn: { valid: { revision: 5 }, call: store => store.txn([], []) },
  grantLease: { valid: { lease: 1, ttl_ms: 2_500 }, call: store => store.grantLease(2_500) },
  keepAlive: { valid: { ttl_ms: 2_500 }, call: store => store.keepAlive('1') },
  range: { valid: { items: [ITEM], has_more: false, as_of: 4 }, call: store => store.range('k') }
}

for (const [name, { valid, call }] of Object.entries(STORE_CALLS)) {
  t.test(`10,000 damaged answers of the store to ${name} result in a value or an error`, async t => {
    const { ok, err } = await countOutcomes(valid, 11, caller => call(new StoreClient({ caller, address: 's:1', timers })))
    t.ok(ok > 0 && err > 0)
  })
}

t.test('10,000 damaged reports of a worker result in a report or an error', async t => {
  const valid = { clock_ms: 1, born: BORN_MS, running: [['t', 1, '', 10, 5]], ended_runs: [[1, 't', 1, 'done', '']] }
  const extension = { epoch: 1, acknowledged: 0 }
  const { ok, err } = await countOutcomes(valid, 12, caller => new HttpWorkerClient({ caller }).extendLease(WORKER, extension, 1))
  t.ok(ok > 0 && err > 0)
})

t.test('10,000 damaged answers of a worker to a start result in an answer or an error', async t => {
  const start = { epoch: 1, task: 't', attempt: 1, payload: '', untilMs: 1 }
  const { ok, err } = await countOutcomes({ clock_ms: 1, reason: 'room' }, 13, caller => new HttpWorkerClient({ caller }).start(WORKER, start, 1))
  t.ok(ok > 0 && err > 0)
})

t.test('10,000 damaged answers of the eligibility service result in tickets or an error', async t => {
  const { ok, err } = await countOutcomes(
    { good: [['w', 'ticket']], valid_ms: 10 }, 14, caller => new HttpEligibilityClient({ caller, address: 'a:1' }).query('s', ['w'], 1)
  )
  t.ok(ok > 0 && err > 0)
})

t.test('10,000 damaged entries of workers are listed or omitted', async t => {
  const counts = { listed: 0, omitted: 0 }
  const entries = fc.oneof(nearlyValid(ENTRY).map(value => JSON.stringify(value) ?? ''), fc.string(), fc.constant(JSON.stringify(ENTRY)))
  await fc.assert(fc.asyncProperty(entries, async value => {
    const values = [{ key: 'servers/w', value, createRevision: 1, modRevision: 1 }]
    const platform = { range: async () => Result.ok({ values, revision: 1 }) } as unknown as PlatformClient
    const reading = (await new StoreWorkerDirectory({ platform, log: SILENT_LOG, heartbeatMs: 1_500 }).list(1)).unwrapOr(undefined)
    counts[reading?.workers.length ? 'listed' : 'omitted']++
    if (!reading?.heartbeats.has('w')) t.fail(`${value} does not count as an entry`)
  }), { seed: 15, numRuns: RUNS_PER_TEST })
  t.ok(counts.listed > 0 && counts.omitted > 0)
})

// Guards against taking an entry for removed that another writer has overwritten, and against a wrong expiry time of entries.
t.test('an entry is read with its heartbeat, and one that cannot be used counts as present', async t => {
  const values = [['w1', JSON.stringify(ENTRY)], ['w2', JSON.stringify({ ...ENTRY, state: 'other' })], ['w3', 'no JSON']]
    .map(([id, value]) => ({ key: `servers/${id}`, value, createRevision: 1, modRevision: 1 }))
  const platform = { range: async () => Result.ok({ values, revision: 1 }) } as unknown as PlatformClient
  const directory = new StoreWorkerDirectory({ platform, log: SILENT_LOG, heartbeatMs: 1_500 })
  const reading = (await directory.list(1)).unwrapOr(undefined)
  t.same(reading?.workers.map(({ id }) => id), ['w1'])
  t.same([...reading!.heartbeats], [['w1', ENTRY.sequence], ['w2', undefined], ['w3', undefined]])
  t.equal(directory.entryExpiryMs, 4_500)
})

t.test('10,000 damaged configurations are applied or ignored, and never replace a newer version with an older one', async t => {
  const counts = { applied: 0, ignored: 0 }
  const configs = fc.oneof(nearlyValid(CONFIG).map(value => JSON.stringify(value) ?? ''), fc.string(), fc.constant(JSON.stringify(CONFIG)))
  await fc.assert(fc.asyncProperty(configs, async value => {
    const stored = [JSON.stringify({ ...CONFIG, version: 1 }), value].map((text, index) => ({
      key: 'op/config', value: text, createRevision: 1, modRevision: index + 1
    }))
    let sendEvents: (events: object[]) => void = () => {}
    const platform = {
      range: async () => Result.ok({ values: [stored[0]], revision: 1 }),
      watch: (_prefix: string, _from: number, handlers: { onEvents: typeof sendEvents }) => {
        sendEvents = handlers.onEvents
        return { close: () => {} }
      }
    } as unknown as PlatformClient
    const keeper = new ConfigurationWatcher({ platform, timers, log: SILENT_LOG })
    keeper.start()
    await new Promise(resolve => setImmediate(resolve))
    sendEvents([{ key: 'op/config', value: stored[1], revision: 2 }])
    const { version } = keeper.config!
    if (version < 1) throw new Error(`version ${version}`)
    counts[version > 1 ? 'applied' : 'ignored']++
  }), { seed: 16, numRuns: RUNS_PER_TEST })
  t.ok(counts.applied > 0 && counts.ignored > 0)
})

const STORED = {
  workflow: {
    schema: workflowSchema,
    valid: {
      id: '5c0e7a21d94b36f8',
      queue: 'q',
      payload: '',
      submittedAtMs: 1,
      steps: [STEP]
    }
  },
  progress: { schema: workflowProgressSchema, valid: { done: { '0.0': '0-3' }, failures: { '0.0.1': [1] }, checkpoints: { '0.0.2': 'c' } } },
  outcome: { schema: endedWorkflowSchema, valid: { state: 'done', endedAtMs: 1, queue: 'q' } }
}

for (const [name, { schema, valid }] of Object.entries(STORED)) {
  t.test(`10,000 damaged records of a ${name} are decoded or refused without an exception`, async t => {
    const counts = { ok: 0, err: 0 }
    const texts = fc.oneof(nearlyValid(valid).map(value => JSON.stringify(value) ?? ''), fc.string(), fc.constant(JSON.stringify(valid)))
    fc.assert(fc.property(texts, text => { counts[decodeJson<unknown>(schema, text).isOk ? 'ok' : 'err']++ }), { seed: 17, numRuns: RUNS_PER_TEST })
    t.ok(counts.ok > 0 && counts.err > 0)
  })
}
