/**
 * Guards the schemas and the HTTP interface against random documents that are nearly valid: they must not make the daemon fail,
 * and each refusal has to name its faults.
 */

import fc from 'fast-check'
import t from 'tap'
import type { z } from 'zod'
import { jobSpecSchema } from 'pomelofold/protocol/jobs'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { fieldFaults } from 'pomelofold/protocol/problem'
import { HEADERS } from 'pomelofold/protocol/requests'
import { callerHeadersSchema } from 'pomelofold/server/http/requestRoutes'
import { daemonSettingsSchema } from 'pomelofold/settings/daemonSettings'
import { nearlyValid } from './mutations.js'
import { MANIFEST, readExample, startOneEntryCell } from './oneEntryCell.js'

const SCHEMA_RUNS = 10_000
const HTTP_RUNS = 300
const JOB = readExample('rebuild.job.json')
const SETTINGS = readExample('daemons/entry-a1.json')
const HEADER_VALUES = { ...Object.fromEntries(Object.values(HEADERS).map(name => [name, '1'])), [HEADERS.class]: 'urgent', [HEADERS.atMostOnce]: 'true' }

/** Checks that a document is accepted, or refused with at least one fault, each with a path and a message. */
function assertAcceptedOrExplained (schema: z.ZodType, document: unknown): void {
  const parsed = schema.safeParse(document)
  if (parsed.success) return
  const faults = fieldFaults(parsed.error, document)
  const clear = faults.length > 0 && faults.every(({ path, message }) => path.length > 0 && message.length > 0)
  if (!clear) throw new Error(`unclear faults: ${JSON.stringify(faults)}`)
}

const SCHEMAS: Array<[string, z.ZodType, unknown, number]> = [
  ['manifests', manifestSchema, MANIFEST, 1],
  ['jobs', jobSpecSchema, JOB, 2],
  ['settings', daemonSettingsSchema, SETTINGS, 3],
  ['request headers', callerHeadersSchema, HEADER_VALUES, 4]
]
for (const [name, schema, valid, seed] of SCHEMAS) {
  t.test(`random ${name} are accepted or refused with clear faults`, async () => {
    assertAcceptedOrExplained(schema, valid)
    fc.assert(fc.property(nearlyValid(valid), document => assertAcceptedOrExplained(schema, document)), { seed, numRuns: SCHEMA_RUNS })
  })
}

t.test('random input over HTTP never makes the daemon fail, and each refusal is a problem document', async t => {
  const { cell, url } = await startOneEntryCell(t)
  let acceptedJobs = 0

  const send = async (method: string, path: string, body: string, headers: Record<string, string> = {}) => {
    const res = await fetch(url + path, { method, body, headers })
    const answer = await res.text()
    if (res.status < 300) return res.status
    const problem = JSON.parse(answer)
    const clear = res.headers.get('content-type') === 'application/problem+json' && problem.outcome !== undefined && problem.detail.length > 0
    if (!clear || (res.status >= 500 && res.status !== 503)) throw new Error(`${method} ${path} answered ${res.status}: ${answer}`)
    return res.status
  }
  const options = { seed: 5, numRuns: HTTP_RUNS }
  const headerArb = fc.dictionary(fc.constantFrom(...Object.values(HEADERS)), fc.stringMatching(/^[!-~]{0,20}$/))

  await fc.assert(fc.asyncProperty(nearlyValid(JOB), async spec => {
    if (await send('POST', '/v1/jobs', JSON.stringify(spec)) === 202) acceptedJobs++
  }), options)
  await fc.assert(fc.asyncProperty(fc.string(), async text => { await send('POST', '/v1/jobs', text) }), options)
  await fc.assert(fc.asyncProperty(headerArb, async headers => { await send('POST', '/v1/services/readings/requests', 'x', headers) }), options)
  await fc.assert(fc.asyncProperty(fc.webPath(), async path => { await send('POST', `/v1${path}`, 'x') }), options)

  const { jobs } = (await cell.client().jobs()).unwrapOr({ jobs: [], unreachable: [] })
  t.equal(jobs.length, acceptedJobs)

  await fc.assert(fc.asyncProperty(nearlyValid(MANIFEST), async manifest => {
    const revision = (await cell.client().manifest()).map(current => current.revision).unwrapOr(0)
    await send('PUT', '/v1/manifest', JSON.stringify({ baseRevision: revision, manifest }))
  }), options)
  t.notMatch(cell.logOf('entry-a1'), /event=http.failed/)
  t.equal((await fetch(`${url}/healthz`)).status, 200)
})
