import t from 'tap'
import { HEADERS } from 'pomelofold/protocol/requests'
import { CallTimeoutError } from 'pomelofold/utils/errors'
import { instanceRecordSchema, workerRecordSchema } from '@pomelofold/standins/records'
import { LONG_MS, readControl, setFaults, startInstance, startWorker, until, upstreamClient } from './harness.js'

const SHORT_MS = 200
const TASK = { taskId: 'street/7', size: { cpus: 1, memoryMb: 10, accelerators: 0 }, leaseMs: LONG_MS, runMs: 0, payload: '' }

function reading (id: string) {
  return { method: 'POST', path: '/', headers: { [HEADERS.requestId]: id }, body: Buffer.from(`reading ${id}`) }
}

t.test('many requests at once each get the answer to their own body, within the slots', async t => {
  const { address } = await startInstance(t, { expectedMs: 2 })
  const client = upstreamClient(t)
  const ids = Array.from({ length: 300 }, (_, index) => `r${index}`)
  const answers = await Promise.all(ids.map(id => client.request(address, reading(id), LONG_MS)))
  const record = instanceRecordSchema.parse(await readControl(address, 'record'))
  const digests = new Map(record.runs.map(run => [run.requestId, run.digest]))
  for (const [index, answer] of answers.entries()) {
    const body = answer.isOk && JSON.parse(Buffer.from(answer.value.body).toString())
    t.match(body, { requestId: ids[index], digest: digests.get(ids[index]) })
  }
  t.ok(Object.values(record.timesRun).every(times => times === 1))
  t.equal(record.peakRunning, 8)
  t.ok(record.peakAccepted <= 64)
  t.match(await client.instanceStatus(address, LONG_MS), { value: { running: 0, slots: 8 } })
})

t.test('a connection reset after the work ran leaves the effect unknown, and the work ran once', async t => {
  const { address } = await startInstance(t)
  await setFaults(address, { reset: true })
  t.match(await upstreamClient(t).request(address, reading('a'), LONG_MS), { error: { effect: 'unknown' } })
  t.match(await readControl(address, 'record'), { timesRun: { a: 1 }, runs: [{ status: 200 }] })
})

t.test('an instance that fails everything answers 500', async t => {
  const { address } = await startInstance(t)
  await setFaults(address, { fail: true })
  t.match(await upstreamClient(t).request(address, reading('a'), LONG_MS), { value: { status: 500 } })
})

t.test('a hanging instance keeps its slots until it goes on', async t => {
  const { standin, address } = await startInstance(t)
  await setFaults(address, { hang: true })
  const client = upstreamClient(t)
  const result = await client.request(address, reading('a'), SHORT_MS)
  t.ok(result.isErr && result.error instanceof CallTimeoutError && result.error.effect === 'unknown')
  t.match(await client.instanceStatus(address, LONG_MS), { value: { running: 1 } })
  await setFaults(address, { hang: false })
  await until(() => standin.model.status().running === 0)
})

t.test('a fault that does not exist is refused', async t => {
  const { address } = await startInstance(t)
  await t.rejects(setFaults(address, { explode: true }), /explode/)
})

t.test('a worker starts, lists, commands and records tasks', async t => {
  const { address } = await startWorker(t)
  const client = upstreamClient(t)
  t.match(await client.startTasks(address, 2, [TASK], LONG_MS), { value: [{ taskId: 'street/7', started: true }] })
  t.ok((await client.command(address, 2, 'street/7', 'stop', LONG_MS)).isOk)
  t.match(await client.renew(address, 2, LONG_MS, [], LONG_MS), { value: { epoch: 2, tasks: [{ state: 'stopped' }] } })
  t.match(await client.renew(address, 1, LONG_MS, [], LONG_MS), { error: { epoch: 2 } })
  const record = workerRecordSchema.parse(await readControl(address, 'record'))
  t.match(record, { timesRun: { 'street/7': 1 }, runs: [{ end: 'stopped', epoch: 2 }], peakDeclared: TASK.size })
})

t.test('a worker that drops its answers has acted', async t => {
  const { address } = await startWorker(t)
  await setFaults(address, { dropAnswers: true })
  t.match(await upstreamClient(t).startTasks(address, 1, [TASK], LONG_MS), { error: { effect: 'unknown' } })
  t.match(await readControl(address, 'record'), { timesRun: { 'street/7': 1 } })
})
