/**
 * Guards the HTTP interface of a running daemon against invalid input: each call has to be refused with a problem document that
 * names the fault, must have no effect, and must not disturb other calls.
 */

import { connect } from 'node:net'
import t, { type Test } from 'tap'
import type { Problem } from 'pomelofold/protocol/problem'
import { MANIFEST, readExample, startOneEntryCell } from './oneEntryCell.js'

const { cell, url } = await startOneEntryCell(t)
const job = readExample('rebuild.job.json') as { tasks: object[] }
const [group] = job.tasks
const size = { cpus: 1, memoryMb: 1 }

interface Expected {
  status: number
  path?: string
  outcome?: string
}

/** Sends a call and checks that it is refused with a problem document that contains the path of the field and the outcome. */
async function assertRefused (t: Test, method: string, path: string, { body, headers }: { body?: string, headers?: Record<string, string> }, { status, path: field, outcome = 'not-run' }: Expected) {
  const res = await fetch(url + path, { method, body, headers })
  const problem = await res.json() as Problem
  t.equal(res.status, status)
  t.equal(res.headers.get('content-type'), 'application/problem+json')
  t.match(problem, { type: /^urn:pomelofold:problem:/, title: String, status, detail: String, outcome })
  t.equal(res.headers.get('pomelofold-outcome'), outcome)
  if (field !== undefined) t.ok(problem.faults?.some(fault => fault.path === field), `a fault names ${field}: ${JSON.stringify(problem.faults)}`)
}

const BAD_JOBS: Array<[string, unknown, string]> = [
  ['a negative size', { ...job, tasks: [{ ...group, size: { ...size, cpus: -1 } }] }, 'tasks.0.size.cpus'],
  ['a size that is not a number', { ...job, tasks: [{ ...group, size: { ...size, memoryMb: '1' } }] }, 'tasks.0.size.memoryMb'],
  ['too many tasks in one group', { ...job, tasks: [{ ...group, count: 10_001 }] }, 'tasks.0.count'],
  ['too many tasks in total', { ...job, tasks: [{ ...group, count: 6_000 }, { ...group, count: 6_000 }] }, 'tasks'],
  ['no tasks', { ...job, tasks: [] }, 'tasks'],
  ['an unknown class', { ...job, class: 'soon' }, 'class'],
  ['an unknown kind', { ...job, kind: 'service' }, 'kind'],
  ['an unknown team', { ...job, team: 'nobody' }, 'team'],
  ['an unknown field', { ...job, color: 'red' }, '(root)'],
  ['a list in place of an object', [], '(root)']
]
for (const [name, spec, path] of BAD_JOBS) {
  t.test(`a job with ${name} is refused with the path of the field`, t => assertRefused(t, 'POST', '/v1/jobs', { body: JSON.stringify(spec) }, { status: 400, path }))
}

const BAD_HEADERS: Array<[string, Record<string, string>, string]> = [
  ['an unknown class', { 'pomelofold-class': 'soon' }, 'pomelofold-class'],
  ['a deadline that is not a number', { 'pomelofold-deadline-ms': 'soon' }, 'pomelofold-deadline-ms'],
  ['a negative deadline', { 'pomelofold-deadline-ms': '-1' }, 'pomelofold-deadline-ms'],
  ['a deadline of zero', { 'pomelofold-deadline-ms': '0' }, 'pomelofold-deadline-ms'],
  ['a deadline above the limit', { 'pomelofold-deadline-ms': '9'.repeat(400) }, 'pomelofold-deadline-ms'],
  ['an at-most-once that is neither true nor false', { 'pomelofold-at-most-once': 'yes' }, 'pomelofold-at-most-once'],
  ['an unknown team', { 'pomelofold-team': 'nobody' }, 'pomelofold-team'],
  ['a key that is too long', { 'idempotency-key': 'k'.repeat(257) }, 'idempotency-key'],
  ['an empty key', { 'idempotency-key': '' }, 'idempotency-key']
]
for (const [name, headers, path] of BAD_HEADERS) {
  t.test(`a request with ${name} is refused with the name of the header`, t => assertRefused(t, 'POST', '/v1/services/readings/requests', { body: 'x', headers }, { status: 400, path }))
}

t.test('a request to an unknown service is refused', t =>
  assertRefused(t, 'POST', '/v1/services/none/requests', { body: 'x' }, { status: 404, path: 'service' }))

t.test('a job with a key that is too long is refused', t =>
  assertRefused(t, 'POST', '/v1/jobs', { body: JSON.stringify(job), headers: { 'idempotency-key': 'k'.repeat(257) } }, { status: 400, path: 'idempotency-key' }))

for (const [method, path] of [['POST', '/v1/jobs'], ['PUT', '/v1/manifest']]) {
  t.test(`${method} ${path} refuses a body that is not JSON`, t => assertRefused(t, method, path, { body: '{"name":' }, { status: 400, path: '(root)' }))
  t.test(`${method} ${path} refuses an empty body`, t => assertRefused(t, method, path, {}, { status: 400, path: '(root)' }))
}

for (const [method, path] of [['POST', '/v1/services/readings/requests'], ['POST', '/v1/jobs'], ['PUT', '/v1/manifest']]) {
  t.test(`${method} ${path} refuses a body of 2 MB`, t => assertRefused(t, method, path, { body: 'x'.repeat(2_000_000) }, { status: 413, path: '(root)' }))
}

t.test('a body of 2 MB without a content-length header is refused', async t => {
  for (let i = 0; i < 40; i++) {
    const body = new Blob(['x'.repeat(2_000_000)]).stream()
    const res = await fetch(`${url}/v1/jobs`, { method: 'POST', body, duplex: 'half' } as RequestInit)
    t.equal(res.status, 413)
    t.match(await res.json(), { status: 413, outcome: 'not-run', faults: [{ path: '(root)' }] })
  }
})

t.test('callers receive all answers, those to refused bodies and those to other calls at the same time', async t => {
  for (let i = 0; i < 30; i++) {
    const calls = Array.from({ length: 4 }, (_, n) => n % 2
      ? fetch(`${url}/v1/jobs`, { method: 'POST', body: 'x'.repeat(2_000_000) })
      : fetch(`${url}/v1/services/readings/requests`, { method: 'POST', body: 'x' }))
    t.same((await Promise.all(calls)).map(res => res.status), [200, 413, 200, 413])
  }
})

const BAD_MANIFESTS: Array<[string, unknown, string]> = [
  ['a negative quota', { ...MANIFEST, teams: [{ name: 'a', quota: { cpus: -1, memoryMb: 1, accelerators: 0 } }] }, 'manifest.teams.0.quota.cpus'],
  ['two teams with the same name', { ...MANIFEST, teams: [MANIFEST.teams[0], MANIFEST.teams[0]] }, 'manifest.teams'],
  ['two objectives for one class', { ...MANIFEST, services: [{ ...MANIFEST.services[0], objectives: [MANIFEST.services[0].objectives[0], MANIFEST.services[0].objectives[0]] }] }, 'manifest.services.0.objectives'],
  ['a long-running service of an unknown team', { ...MANIFEST, teams: [] }, 'manifest.longRunning.0.team'],
  ['an unknown policy', { ...MANIFEST, placement: { batch: 'random' } }, 'manifest.placement.batch'],
  ['an unsupported format', { ...MANIFEST, format: 2 }, 'manifest.format']
]
for (const [name, manifest, path] of BAD_MANIFESTS) {
  t.test(`a manifest with ${name} is refused with the path of the field`, t =>
    assertRefused(t, 'PUT', '/v1/manifest', { body: JSON.stringify({ baseRevision: 1, manifest }) }, { status: 400, path }))
}

t.test('a manifest with a stale base revision is a conflict, and the manifest in force is kept', async t => {
  const before = (await cell.client().manifest()).unwrapOr(undefined)
  await assertRefused(t, 'PUT', '/v1/manifest', { body: JSON.stringify({ baseRevision: 0, manifest: { format: 1 } }) }, { status: 409 })
  t.same((await cell.client().manifest()).unwrapOr(undefined), before)
})

t.test('reusing an idempotency key with another body is a conflict, and that body does not run', async t => {
  const headers = { 'idempotency-key': 'reading-1' }
  const first = await fetch(`${url}/v1/services/readings/requests`, { method: 'POST', body: 'one', headers })
  t.equal(first.headers.get('pomelofold-outcome'), 'ran')
  await assertRefused(t, 'POST', '/v1/services/readings/requests', { body: 'two', headers }, { status: 409 })
})

t.test('reusing an idempotency key with another job is a conflict, and creates no job', async t => {
  const headers = { 'idempotency-key': 'job-1' }
  const first = await fetch(`${url}/v1/jobs`, { method: 'POST', body: JSON.stringify(job), headers })
  t.equal(first.status, 202)
  await assertRefused(t, 'POST', '/v1/jobs', { body: JSON.stringify({ ...job, name: 'other' }), headers }, { status: 409 })
})

t.test('a job that fits on no worker is refused at once', t =>
  assertRefused(t, 'POST', '/v1/jobs', { body: JSON.stringify({ ...job, tasks: [{ ...group, size: { cpus: 1e300, memoryMb: 1e300 } }] }) }, { status: 422 }))

const WRONG_ROUTES = [['PATCH', '/v1/jobs'], ['DELETE', '/v1/manifest'], ['GET', '/v2/jobs'], ['POST', '/metrics'], ['GET', '/v1/services/readings/requests'], ['GET', '/%ZZ']]
for (const [method, path] of WRONG_ROUTES) {
  t.test(`${method} ${path} is not found`, t => assertRefused(t, method, path, {}, { status: 404 }))
}

for (const path of ['/v1/jobs/none', '/v1/jobs/a.none', '/v1/jobs/a.none/history', '/v1/jobs/%ZZ', '/v1/requests/none']) {
  t.test(`GET ${path} is answered with 404 and outcome unknown`, t => assertRefused(t, 'GET', path, {}, { status: 404, outcome: 'unknown' }))
}

/** Sends bytes on a new connection and returns everything that is received until it closes. */
async function sendRaw (bytes: string): Promise<string> {
  const { hostname, port } = new URL(url)
  const socket = connect(Number(port), hostname)
  let answer = ''
  socket.on('data', chunk => { answer += chunk })
  socket.on('error', () => {})
  socket.write(bytes)
  await new Promise(resolve => socket.once('close', resolve))
  return answer
}

t.test('a header above the limit is refused with a problem document', async t => {
  const answer = await sendRaw(`GET /v1/jobs HTTP/1.1\r\nhost: a\r\nx-long: ${'x'.repeat(20_000)}\r\n\r\n`)
  t.match(answer, /^HTTP\/1\.1 431 /)
  t.match(JSON.parse(answer.split('\r\n\r\n')[1]), { status: 431, outcome: 'not-run', faults: [{ path: '(header)' }] })
})

t.test('input that is not HTTP is refused with a problem document', async t => {
  const answer = await sendRaw('pomelo\r\n\r\n')
  t.match(answer, /^HTTP\/1\.1 400 /)
  t.match(JSON.parse(answer.split('\r\n\r\n')[1]), { status: 400, outcome: 'not-run', faults: [{ path: '(header)' }] })
})

t.test('a header of 2 MB closes its connection, and the daemon still answers other calls', async t => {
  await sendRaw(`GET /v1/jobs HTTP/1.1\r\nhost: a\r\nx-long: ${'x'.repeat(2_000_000)}\r\n\r\n`)
  t.equal((await fetch(`${url}/healthz`)).status, 200)
})

t.test('after all refusals only the accepted job is listed, and no call has failed with an internal error', async t => {
  const listed = (await cell.client().jobs()).unwrapOr(undefined)
  t.same(listed?.jobs.map(({ spec }) => spec.name), ['growth-rebuild'])
  t.notMatch(cell.logOf('entry-a1'), /event=http.failed/)
})
