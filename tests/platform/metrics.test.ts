/** Tests of the metrics that tell causes of an incident apart. */

import t from 'tap'
import Result from 'true-myth/result'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import type { HttpAnswer, HttpCall } from 'pomelofold/edge/httpCaller'
import { CallError, CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'
import { reportFailures, type Caller } from 'pomelofold-on-platform/jsonCaller'
import { PlatformMetrics } from 'pomelofold-on-platform/platformMetrics'
import { StoreClient } from 'pomelofold-on-platform/storeClient'
import { readPage } from '../docs/pages.js'

const DETAILS = { step: 's', peer: 's:1', effect: EFFECTS.none }
const PARTIAL_ERROR = new CallTimeoutError(1_000, { ...DETAILS, partial: { receivedBytes: 393_140, totalBytes: 1_193_324 } })
const NO_ANSWER_ERROR = new CallTimeoutError(1_000, DETAILS)
const BROKEN_ERROR = new CallError('read ECONNRESET', DETAILS)
const FIGURES = { leading: false, epoch: 0, connected: true, viewAgeMs: 0, members: 1 }

function answer (status: number, body: object): Result<HttpAnswer, CallError> {
  return Result.ok({ status, headers: {}, body: Buffer.from(JSON.stringify(body)) })
}

function metricsText (metrics: PlatformMetrics, extra: Record<string, number> = {}): Promise<string> {
  return metrics.text(FIGURES, extra)
}

function failureLines (text: string): string[] {
  return text.split('\n').filter(line => line.startsWith('pomelofold_store_failures_total{')).sort()
}

/** Creates a client of the store whose calls get the given answers, and whose failures are counted. */
function countedStore (metrics: PlatformMetrics, answerTo: (call: HttpCall) => Result<HttpAnswer, CallError>): StoreClient {
  const caller: Caller = { call: async (_address, call) => answerTo(call) }
  return new StoreClient({
    caller: reportFailures(caller, (step, failure) => metrics.observeStoreFailure(step, failure)), address: 's:1', timers: new ManualTimers()
  })
}

t.test('reads that received a part of their answer are counted apart from those without an answer, while renewals of the lease work', async t => {
  const metrics = new PlatformMetrics()
  const store = countedStore(metrics, call => {
    if (call.step === 'store.keepAlive') return answer(200, { ttl_ms: 2_500 })
    return Result.err(call.step === 'store.get' ? NO_ANSWER_ERROR : PARTIAL_ERROR)
  })
  for (let i = 0; i < 3; i++) t.ok((await store.range('k')).isErr)
  t.ok((await store.get('k')).isErr)
  t.ok((await store.keepAlive('1')).isOk)
  await new Promise<string>(resolve => store.watch('k', 1, { onEvents: () => {}, onEnd: resolve }))
  t.same(failureLines(await metricsText(metrics)), [
    'pomelofold_store_failures_total{step="store.get",failure="no-answer"} 1',
    'pomelofold_store_failures_total{step="store.range",failure="partial-answer"} 3',
    'pomelofold_store_failures_total{step="store.watch",failure="partial-answer"} 1'
  ])
})

t.test('refusals by the store and broken connections are counted apart, and answers such as "no such key" are no failures', async t => {
  const metrics = new PlatformMetrics()
  const answers: Record<string, Result<HttpAnswer, CallError>> = {
    'store.range': answer(429, {}),
    'store.grantLease': answer(503, {}),
    'store.keepAlive': Result.err(BROKEN_ERROR),
    'store.get': answer(404, {}),
    'store.txn': answer(412, {})
  }
  const store = countedStore(metrics, call => answers[call.step])
  await store.range('k')
  await store.grantLease(2_500)
  await store.keepAlive('1')
  await store.get('k')
  await store.txn([], [])
  t.same(failureLines(await metricsText(metrics)), [
    'pomelofold_store_failures_total{step="store.grantLease",failure="refused"} 1',
    'pomelofold_store_failures_total{step="store.keepAlive",failure="broken"} 1',
    'pomelofold_store_failures_total{step="store.range",failure="refused"} 1'
  ])
})

t.test('a proof that does not exist is exported as an infinite age', async t => {
  t.match(await metricsText(new PlatformMetrics(), { configProofAgeMs: Infinity }), 'pomelofold_figure{name="configProofAgeMs"} +Inf')
})

t.test('the times for which long-running tasks were down are counted in a histogram', async t => {
  const metrics = new PlatformMetrics()
  metrics.observeLongRunningRestart(2_400)
  metrics.observeLongRunningRestart(11_000)
  const text = await metricsText(metrics)
  t.match(text, 'pomelofold_long_running_down_ms_bucket{le="2000"} 0')
  t.match(text, 'pomelofold_long_running_down_ms_bucket{le="3000"} 1')
  t.match(text, 'pomelofold_long_running_down_ms_count 2')
})

t.test('the pages for operators name only metrics that the program has', async t => {
  const names = new Set([...(await metricsText(new PlatformMetrics())).matchAll(/^# TYPE (\S+)/gm)].map(([, name]) => name))
  const documented = [readPage('docs/OPERATIONS.md'), readPage('docs/operators/monitoring.md').split('## On the platform')[1]]
    .flatMap(text => [...text.matchAll(/`(pomelofold_[a-z_]+)/g)].map(([, name]) => name))
  t.ok(documented.includes('pomelofold_store_failures_total'))
  t.same(documented.filter(name => !names.has(name)), [])
})
