/** Tests of the answers to documents with very many faults, which must stay short. */

import t from 'tap'
import { z } from 'zod'
import { jobSpecSchema } from 'pomelofold/protocol/jobs'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { fieldFaults, type Problem } from 'pomelofold/protocol/problem'
import { MAX_BODY_BYTES, startRouteServer } from './routeServer.js'

const MAX_FAULTS = 10
const MAX_ISSUES = 2_000
const MAX_ANSWER_BYTES = 32_768

/** Text of `count` copies of `item` as a JSON list. */
function list (count: number, item: string): string {
  return `[${Array(count).fill(item).join()}]`
}

const UNKNOWN_FIELDS = `{${Array.from({ length: 80_000 }, (_, i) => `"k${i}":0`).join()}}`
const TEAMS = `[${Array.from({ length: 500 }, (_, i) => `{"name":"${`${i}`.padStart(60, 't')}","quota":{"cpus":1,"memoryMb":1,"accelerators":0}}`).join()}]`
const LONG_RUNNING = `[${Array.from({ length: 2_000 }, (_, i) => `{"name":"l${i}","team":"none","replicas":1,"size":{"cpus":1,"memoryMb":1,"accelerators":0}}`).join()}]`
const FAULTY: Array<[string, string, string, string]> = [
  ['a job of very many groups without fields', 'POST', '/v1/jobs', `{"name":"a","tasks":${list(300_000, '{}')}}`],
  ['a job of a hundred groups with very many faults', 'POST', '/v1/jobs', `{"name":"a","tasks":${list(100, '{"size":{"cpus":"x","a":1},"b":1}')}}`],
  ['a job of very many unknown fields', 'POST', '/v1/jobs', UNKNOWN_FIELDS],
  ['a manifest of very many empty items', 'PUT', '/v1/manifest', `{"manifest":{"services":${list(300_000, '{}')}}}`],
  ['a manifest of very many empty objectives', 'PUT', '/v1/manifest', `{"manifest":{"services":[{"objectives":${list(300_000, '{}')}}]}}`],
  ['a manifest of many services of unknown teams', 'PUT', '/v1/manifest', `{"baseRevision":0,"manifest":{"format":1,"teams":${TEAMS},"longRunning":${LONG_RUNNING}}}`]
]
for (const [name, method, path, body] of FAULTY) {
  t.test(`${name} has a short answer`, async t => {
    const { url } = await startRouteServer(t)
    t.ok(body.length <= MAX_BODY_BYTES)
    const res = await fetch(url + path, { method, body })
    const answer = await res.text()
    const { faults = [] } = JSON.parse(answer) as Problem
    t.equal(res.status, 400)
    t.ok(faults.length > 0 && faults.length <= MAX_FAULTS, `${faults.length} faults`)
    t.ok(answer.length <= MAX_ANSWER_BYTES, `${answer.length} bytes`)
  })
}

t.test('the items of a list that is too long are not validated', async t => {
  const items = Array.from({ length: 100_000 }, () => ({}))
  const documents = [
    jobSpecSchema.safeParse({ tasks: items }),
    ...['services', 'longRunning', 'teams'].map(field => manifestSchema.safeParse({ [field]: items })),
    manifestSchema.safeParse({ services: [{ objectives: items }] })
  ]
  for (const { error } of documents) t.ok(error!.issues.length <= MAX_ISSUES, `${error!.issues.length} issues`)
})

t.test('the path of a fault is short, whatever the keys of the document', async t => {
  const input = { ['k'.repeat(100_000)]: 'x' }
  const [{ path }] = fieldFaults(z.record(z.string(), z.number()).safeParse(input).error!, input)
  t.ok(path.length <= 1_100, `${path.length} characters`)
})
