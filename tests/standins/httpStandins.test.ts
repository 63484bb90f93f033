import t from 'tap'
import { HEADERS } from 'pomelofold/protocol/requests'
import { CallTimeoutError } from 'pomelofold/utils/errors'
import { LONG_TIMEOUT_MS, startInstance, startWorker, timers, waitUntil, upstreamClient } from './harness.js'

const SHORT_TIMEOUT_MS = 200
const TASK = { taskId: 'street/7', size: { cpus: 1, memoryMb: 10, accelerators: 0 }, leaseMs: LONG_TIMEOUT_MS, runMs: 0, payload: '' }

function readingRequest (id: string) {
  return { method: 'POST', path: '/', headers: { [HEADERS.requestId]: id }, body: Buffer.from(`reading ${id}`) }
}

t.test('concurrent requests each get the answer to their own body, and no more run than there are slots', async t => {
  const { address, control } = await startInstance(t, { expectedMs: 2 })
  const client = upstreamClient(t)
  const ids = Array.from({ length: 300 }, (_, index) => `r${index}`)
  const answers = await Promise.all(ids.map(id => client.request(address, readingRequest(id), LONG_TIMEOUT_MS)))
  const record = await control.instanceRecord()
  const digests = new Map(record.runs.map(run => [run.requestId, run.digest]))
  for (const [index, answer] of answers.entries()) {
    const body = answer.isOk && JSON.parse(Buffer.from(answer.value.body).toString())
    t.match(body, { requestId: ids[index], digest: digests.get(ids[index]) })
  }
  t.ok(Object.values(record.timesRun).every(times => times === 1))
  t.equal(record.peakRunning, 8)
  t.ok(record.peakAccepted <= 64)
  t.match(await client.instanceStatus(address, LONG_TIMEOUT_MS), { value: { running: 0, slots: 8 } })
})

t.test('a connection reset after a request has run leaves the effect unknown, and the request ran once', async t => {
  const { address, control } = await startInstance(t)
  await control.setFaults({ reset: true })
  t.match(await upstreamClient(t).request(address, readingRequest('a'), LONG_TIMEOUT_MS), { error: { effect: 'unknown' } })
  t.match(await control.instanceRecord(), { timesRun: { a: 1 }, runs: [{ status: 200 }] })
})

/** Factors of the timeouts of the batches that follow when a busy machine answers none of the first one in time. */
const TIMEOUT_FACTORS = [1, 4, 16]

t.test('with connection resets and short timeouts, requests reported as without effect never ran, and none ran twice', async t => {
  const { standin, address } = await startInstance(t, { expectedMs: 4, slots: 2 })
  const client = upstreamClient(t, { connections: 4 })
  const outcomes: Record<string, number> = {}
  for (const factor of TIMEOUT_FACTORS) {
    const ids = Array.from({ length: 400 }, (_, index) => `r${factor}-${index}`)
    const resets = timers.every(20, () => { standin.model.faults.reset = !standin.model.faults.reset })
    // Timeouts from 20 ms to 1.2 s at first: some requests time out before they are sent, some while they run, and some are answered.
    const timeoutMs = (index: number): number => factor * (20 + 3 * (index * 7 % ids.length))
    const answers = await Promise.all(ids.map((id, index) => client.request(address, readingRequest(id), timeoutMs(index))))
    resets.cancel()
    standin.model.faults.reset = false
    t.match(await client.request(address, readingRequest(`last-${factor}`), factor * LONG_TIMEOUT_MS), { isOk: true })
    await waitUntil(() => standin.model.status().running === 0)
    const { timesRun } = standin.model.record()
    for (const [index, answer] of answers.entries()) {
      const times = timesRun[ids[index]] ?? 0
      if (times > 1) t.fail(`${ids[index]} ran ${times} times`)
      if (answer.isErr && answer.error.effect === 'none' && times > 0) t.fail(`${ids[index]} ran, but was reported as without effect`)
      if (answer.isOk && times !== 1) t.fail(`${ids[index]} was answered, but did not run`)
      const outcome = answer.isOk ? 'answered' : answer.error.effect
      outcomes[outcome] = (outcomes[outcome] ?? 0) + 1
    }
    if (outcomes.none > 0 && outcomes.unknown > 0 && outcomes.answered > 0) break
  }
  t.ok(outcomes.none > 0 && outcomes.unknown > 0 && outcomes.answered > 0, JSON.stringify(outcomes))
})

t.test('an instance with the fault fail answers with status 500', async t => {
  const { address, control } = await startInstance(t)
  await control.setFaults({ fail: true })
  t.match(await upstreamClient(t).request(address, readingRequest('a'), LONG_TIMEOUT_MS), { value: { status: 500 } })
})

t.test('a hanging instance keeps its slots until the fault is switched off', async t => {
  const { standin, address, control } = await startInstance(t)
  await control.setFaults({ hang: true })
  const client = upstreamClient(t)
  const result = await client.request(address, readingRequest('a'), SHORT_TIMEOUT_MS)
  t.ok(result.isErr && result.error instanceof CallTimeoutError && result.error.effect === 'unknown')
  t.match(await client.instanceStatus(address, LONG_TIMEOUT_MS), { value: { running: 1 } })
  await control.setFaults({ hang: false })
  await waitUntil(() => standin.model.status().running === 0)
})

t.test('an unknown fault is refused', async t => {
  const { control } = await startInstance(t)
  await t.rejects(control.setFaults({ explode: true }), /explode/)
})

t.test('a worker starts, lists and records tasks, and carries out commands', async t => {
  const { address, control } = await startWorker(t)
  const client = upstreamClient(t)
  t.match(await client.startTasks(address, 2, [TASK], LONG_TIMEOUT_MS), { value: [{ taskId: 'street/7', started: true }] })
  t.ok((await client.command(address, 2, 'street/7', 'stop', LONG_TIMEOUT_MS)).isOk)
  t.match(await client.renew(address, 2, LONG_TIMEOUT_MS, [], LONG_TIMEOUT_MS), { value: { epoch: 2, tasks: [{ state: 'stopped' }] } })
  t.match(await client.renew(address, 1, LONG_TIMEOUT_MS, [], LONG_TIMEOUT_MS), { error: { epoch: 2 } })
  const record = await control.workerRecord()
  t.match(record, { timesRun: { 'street/7': 1 }, runs: [{ end: 'stopped', epoch: 2 }], peakDeclared: TASK.size })
})

t.test('a worker with the fault dropAnswers carries out calls without answering', async t => {
  const { address, control } = await startWorker(t)
  await control.setFaults({ dropAnswers: true })
  t.match(await upstreamClient(t).startTasks(address, 1, [TASK], LONG_TIMEOUT_MS), { error: { effect: 'unknown' } })
  t.match(await control.workerRecord(), { timesRun: { 'street/7': 1 } })
})
