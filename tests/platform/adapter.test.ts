/**
 * Tests of the adapter for the platform: settings, submitted jobs and the interface for callers. Input that is damaged
 * must be refused without an exception, which would end the daemon.
 */

import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import fc from 'fast-check'
import t from 'tap'
import Result from 'true-myth/result'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { CredentialChecker } from 'pomelofold/teams/credentialChecker'
import type { CredentialBounds } from 'pomelofold/teams/credentials'
import type { CellConfig } from 'pomelofold/seams/workflowUpstreams'
import type { StateAnswer, WorkflowService } from 'pomelofold/workflows/workflowService'
import { frontApp, type FrontOptions } from 'pomelofold-on-platform/front'
import { parseJob } from 'pomelofold-on-platform/jobBody'
import { parseSettings } from 'pomelofold-on-platform/settings'
import { REPO } from '../cli/runCli.js'
import { nearlyValid } from '../http/mutations.js'

/** The platform's wire names that differ from all names of this project. */
const WIRE_NAMES = [
  'acked_through', 'ended_runs', 'fence_token', 'est_runtime_ms', 'may_miss', 'max_per_server', 'wait_ms', 'clock_ms',
  'task_count', 'heartbeat_ms', 'op/config', 'servers/', 'tenant', 'api_keys', 'no_auth', 'revoke_ms'
]

const SETTINGS = `node_name=front-a-1
ip=10.1.0.13
zone=a
listen_addrs.front=10.1.0.13:8161
listen_addrs.ready=10.1.0.13:8167
port_range=7720,7735
limits.cpu_share=0.675
advice=10.200.1.9:8169
heartbeat_ms=1500
bounds.hold_max_ms=6000
bounds.status_s=120
bounds.grace_s=6
platform.address=10.200.1.7:8169
something.new=1
`

const CONFIG: CellConfig = {
  version: 1,
  queues: new Map(),
  routes: [{ queue: 'short', host: 'h', prefix: '/q/' }, { queue: 'long', host: 'h', prefix: '/q/deep/' }],
  maxBodyBytes: 1_000
}

const STRICT_BOUNDS: CredentialBounds = { strict: true, withdrawalMs: 5_000, applyMs: 3_000 }

const ID = '5c0e7a21d94b36f8'
const BODY = JSON.stringify({ spec: 'text', steps: [{ task_count: 2, cpu: 500 }] })

/** Creates an app for callers on top of the given methods of the service. */
function app (service: Partial<WorkflowService>, options: Partial<FrontOptions> = {}): ReturnType<typeof frontApp> {
  return frontApp({
    service: { admit: async () => ({ outcome: 'accepted' }), ...service } as WorkflowService,
    config: () => CONFIG,
    timers: new SystemTimers(),
    log: SILENT_LOG,
    shuttingDown: () => false,
    onAnswer: () => {},
    onRefusal: () => {},
    credentials: new CredentialChecker({
      configuration: { config: CONFIG, proofAgeMs: Infinity, renewFromStore: () => undefined }, bounds: STRICT_BOUNDS
    }),
    ...options
  })
}

async function send (target: ReturnType<typeof frontApp>, method: string, path: string, body?: string): Promise<Response> {
  return target.request(`http://h${path}`, { method, body, headers: { host: 'h' } })
}

t.test('wire names of the platform are used only in platform/', async t => {
  const files = readdirSync(join(REPO, 'packages'), { recursive: true, encoding: 'utf8' }).filter(file => /^[^/]+\/src\/.*\.ts$/.test(file))
  t.ok(files.length > 100)
  for (const file of files) {
    const text = readFileSync(join(REPO, 'packages', file), 'utf8')
    for (const name of WIRE_NAMES) if (new RegExp(`(?<![a-z_])${name}`).test(text)) t.fail(`${file} contains ${name}`)
  }
})

t.test('settings are read, and unknown fields are ignored', async t => {
  const settings = parseSettings(SETTINGS)
  t.ok(settings.isOk)
  if (settings.isOk) {
    t.match(
      settings.value,
      { vm: 'front-a-1', peerAddress: '10.1.0.13:7720', metricsAddress: '10.1.0.13:7735', retentionMs: 120_000, capacityCores: 0.675, heartbeatMs: 1_500 }
    )
  }
})

t.test('the limits of the machine are read, with the descriptors for files taken off', async t => {
  const settings = parseSettings(`${SETTINGS}limits.memory_mb=200\nlimits.max_fds=500\n`)
  t.ok(settings.isOk)
  if (settings.isOk) t.same(settings.value.machine, { memoryBytes: 200_000_000, maxSockets: 300 })
  const withDefaults = parseSettings(SETTINGS)
  if (withDefaults.isOk) t.same(withDefaults.value.machine, { memoryBytes: 350_000_000, maxSockets: 3_900 })
})

t.test('the error about settings names the field', async t => {
  const settings = parseSettings(SETTINGS.replace('port_range=7720,7735', 'port_range=7720'))
  t.ok(settings.isErr)
  if (settings.isErr) t.match(settings.error, /port_range/)
})

t.test('fields that a job omits get empty values', async t => {
  const job = parseJob(BODY, { id: ID, queue: 'short', submittedAtMs: 1 })
  t.ok(job.isOk)
  if (job.isOk) {
    t.match(
      job.value.steps[0],
      { tasks: 2, size: { cpuMillis: 500, memoryMb: 0, accelerators: 0 }, after: [], gang: false, dataRack: '' }
    )
  }
})

t.test('a job is refused if it has no valid steps, a step that depends on a later one, or a spec that is too long', async t => {
  for (const steps of [[{ task_count: 1, after: [0] }], [], [{ task_count: 0 }], [{ task_count: 1.5 }], 'steps']) {
    t.ok(parseJob(JSON.stringify({ steps }), { id: ID, queue: 'short', submittedAtMs: 1 }).isErr, JSON.stringify(steps))
  }
  t.ok(parseJob(
    JSON.stringify({ spec: 'ü'.repeat(2_001), steps: [{ task_count: 1 }] }), { id: ID, queue: 'short', submittedAtMs: 1 }
  ).isErr)
})

t.test('the route of the host with the longest matching prefix determines the queue', async t => {
  const queues: string[] = []
  const target = app({ submit: async workflow => { queues.push(workflow.queue); return 'stored' } })
  t.equal((await send(target, 'POST', `/q/${ID}`, BODY)).status, 200)
  t.equal((await send(target, 'POST', `/q/deep/${ID}`, BODY)).status, 200)
  t.equal((await send(target, 'POST', `/other/${ID}`, BODY)).status, 404)
  t.equal((await target.request(`http://x/q/${ID}`, { method: 'POST', body: BODY, headers: { host: 'x' } })).status, 404)
  t.same(queues, ['short', 'long'])
})

t.test('a job that its team cannot be served is refused before it is stored, with its own retry delay', async t => {
  const target = app({
    admit: async () => ({ outcome: 'backlog', detail: 'too many wait', retryAfterMs: 2_100 }), submit: async () => { throw new Error('was stored') }
  })
  const res = await send(target, 'POST', `/q/${ID}`, BODY)
  t.equal(res.status, 429)
  t.equal(res.headers.get('retry-after'), '3')
  t.match(await res.json(), { error: /has not run/ })
})

t.test('a job that was not stored is refused with a retry delay, and an unknown outcome is reported as unknown', async t => {
  const retryAfterS = (deadlineMs: number | undefined): number => deadlineMs === undefined ? 2 : deadlineMs / 1_000
  const target = app({ submit: async () => 'notStored', retryAfterS })
  const refused = await send(target, 'POST', `/q/${ID}`, BODY)
  t.equal(refused.status, 503)
  t.equal(refused.headers.get('retry-after'), '2')
  const headers = { host: 'h', 'x-pomelofold-deadline-ms': '7000' }
  const withDeadline = await target.request(`http://h/q/${ID}`, { method: 'POST', body: BODY, headers })
  t.equal(withDeadline.headers.get('retry-after'), '7')
  t.equal((await send(app({ submit: async () => 'unknown' }), 'POST', `/q/${ID}`, BODY)).status, 504)
  t.equal((await send(app({ retryAfterS }, { config: () => undefined }), 'POST', `/q/${ID}`, BODY)).status, 503)
})

const FAILED_ID = '5c0e7a21d94b36f9'
const STATES: Record<string, StateAnswer> = { [ID]: { state: 'accepted' }, [FAILED_ID]: { state: 'failed', reason: 'a task crashed its workers' } }

t.test('states, cancellations and queue depths are reported in the form of the platform', async t => {
  const target = app({
    state: async id => STATES[id] ?? 'unknownWorkflow',
    cancel: async id => id === ID ? 'cancelled' : 'unknownWorkflow',
    waiting: async () => 12
  })
  t.same(await (await send(target, 'GET', `/q/${ID}`)).json(), { state: 'queued' })
  t.same(await (await send(target, 'GET', `/q/${FAILED_ID}`)).json(), { state: 'failed', reason: 'a task crashed its workers' })
  t.equal((await send(target, 'GET', '/q/0000000000000000')).status, 410)
  t.equal((await send(target, 'DELETE', `/q/${ID}`)).status, 200)
  t.equal((await send(target, 'DELETE', '/q/0000000000000000')).status, 410)
  t.same(await (await send(target, 'GET', '/q/')).json(), { waiting: 12 })
})

t.test('bodies that are too large or damaged are refused, and nothing is stored', async t => {
  let stored = 0
  const target = app({ submit: async () => { stored++; return 'stored' } })
  t.equal((await send(target, 'POST', `/q/${ID}`, `{"spec":"${'x'.repeat(1_000)}"}`)).status, 413)
  t.equal((await send(target, 'POST', `/q/${ID}`, '{')).status, 400)
  t.equal((await send(target, 'POST', '/q/short-id', BODY)).status, 400)
  t.equal(stored, 0)
})

t.test('the body of a request is not read when its route, method or id is not valid', async t => {
  const target = app({})
  const env = { readBody: async () => t.fail('was read') }
  for (const [method, path, status] of [['POST', `/other/${ID}`, 404], ['PUT', `/q/${ID}`, 405], ['POST', '/q/short-id', 400]] as const) {
    const res = await target.request(`http://h${path}`, { method, body: BODY, headers: { host: 'h' } }, env)
    t.equal(res.status, status)
  }
})

t.test('a job whose body there is no room for is refused with a retry delay, and is not stored', async t => {
  const target = app({ submit: async () => { throw new Error('was stored') }, retryAfterS: () => 2 })
  const env = { readBody: async () => Result.err('no-room') }
  const res = await target.request(`http://h/q/${ID}`, { method: 'POST', body: BODY, headers: { host: 'h' } }, env)
  t.equal(res.status, 503)
  t.equal(res.headers.get('retry-after'), '2')
})

t.test('a job with thousands of faults is refused with a short answer', async t => {
  const bodies = [
    { steps: Array(80_000).fill({}) },
    { steps: [{ task_count: 1, after: Array(80_000).fill(-1) }] },
    { steps: Array(200).fill({ cpu: -1, mem_mb: -1, gpu: -1, after: Array(200).fill('0'), image: 1, spec: 1 }) }
  ]
  for (const body of bodies) {
    const job = parseJob(JSON.stringify(body), { id: ID, queue: 'short', submittedAtMs: 1 })
    t.ok(job.isErr)
    if (job.isErr) t.ok(job.error.length < 2_000, `${job.error.length} characters`)
  }
})

t.test('10,000 damaged jobs are decoded or refused without an exception', async t => {
  const counts = { read: 0, refused: 0 }
  fc.assert(fc.property(nearlyValid(JSON.parse(BODY)), body => {
    const job = parseJob(JSON.stringify(body), { id: ID, queue: 'short', submittedAtMs: 1 })
    counts[job.isOk ? 'read' : 'refused']++
  }), { seed: 7, numRuns: 10_000 })
  t.ok(counts.read > 0 && counts.refused > 0)
})

t.test('10,000 damaged settings files are decoded or refused without an exception', async t => {
  const damage = fc.tuple(fc.nat(SETTINGS.length), fc.nat(20), fc.string({ maxLength: 10 }))
  fc.assert(fc.property(damage, ([at, length, text]) => {
    parseSettings(SETTINGS.slice(0, at) + text + SETTINGS.slice(at + length))
  }), { seed: 8, numRuns: 10_000 })
  t.pass()
})
