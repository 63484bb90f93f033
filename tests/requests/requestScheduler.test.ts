import t from 'tap'
import { CLAIMS } from 'pomelofold/seams/authority'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import type { ServiceAnswer, ServiceRequest } from 'pomelofold/protocol/requests'
import { INSTANCE_MODES, MemoryInstances, RUN_MS_HEADER } from '../../utils/benchInstances.js'
import { instanceRecord, MemoryCell, SERVICE, type MemoryCellOptions } from '../../utils/benchCell.js'

let number = 0

function request (options: Partial<ServiceRequest> & { runMs?: number } = {}): ServiceRequest {
  const { runMs = 50, ...rest } = options
  const requestId = `r${++number}`
  return {
    requestId,
    service: SERVICE,
    class: 'normal',
    deadlineMs: 1_000,
    atMostOnce: false,
    headers: { [RUN_MS_HEADER]: String(runMs) },
    body: Buffer.from(requestId),
    ...rest
  }
}

function setup (names: string[] = ['i1'], options: Partial<MemoryCellOptions> & { slots?: number } = {}) {
  const { slots = 2, ...rest } = options
  const timers = new ManualTimers()
  const upstream = new MemoryInstances({ timers })
  const records = names.map(name => instanceRecord(name, { slots }))
  for (const record of records) upstream.add({ address: record.address, slots })
  const cell = new MemoryCell({ timers, upstream, random: new SeededRandom(7), records, entries: { fd1: ['e1'] }, ...rest })
  const { scheduler, authority } = cell.entry('e1')
  const answers: ServiceAnswer[] = []
  const send = (options?: Parameters<typeof request>[0]) => {
    const req = request(options)
    scheduler.submit(req).then(answer => answers.push(answer))
    return req
  }
  return { timers, upstream, records, cell, scheduler, authority, answers, send }
}

/** Lets the first requests through, so that the instances are past their slow start. */
async function warmUp ({ timers, send, answers }: ReturnType<typeof setup>): Promise<void> {
  for (let i = 0; i < 20; i++) {
    send({ runMs: 5 })
    await timers.advance(20)
  }
  answers.length = 0
}

t.test('a request gets the whole answer of its instance', async t => {
  const { timers, answers, send } = setup()
  await timers.advance(10)
  const req = send()
  await timers.advance(100)
  t.match(answers, [{ outcome: 'ran', status: 200 }])
  t.equal(Buffer.from(answers[0].body).toString(), req.requestId)
})

t.test('a request to a service that is not declared is answered not-run', async t => {
  const { timers, answers, send } = setup()
  send({ service: 'other' })
  await timers.advance(0)
  t.match(answers, [{ outcome: 'not-run', status: 404 }])
})

t.test('nothing is sent before the instance has told what runs there', async t => {
  const { timers, upstream, answers, send } = setup()
  const instance = upstream.instances.get('i1')!
  instance.running = 2
  await timers.advance(10)
  send({ deadlineMs: 5_000 })
  await timers.advance(1_000)
  t.equal(answers.length, 0)
  t.equal(instance.peak, 0)
  instance.running = 0
  await timers.advance(3_000)
  t.match(answers, [{ outcome: 'ran' }])
})

t.test('a claim that has lapsed without notice stops sending', async t => {
  const { timers, authority, upstream, answers, send } = setup()
  await timers.advance(10)
  authority.lapse(CLAIMS.instance('fd1', 'i1'))
  send({ deadlineMs: 500 })
  await timers.advance(1_000)
  t.match(answers, [{ outcome: 'not-run', status: 503 }])
  t.equal(upstream.runs.size, 0)
})

t.test('a request that cannot start before its deadline is refused at once with a time to come back', async t => {
  const context = setup()
  const { timers, answers, send } = context
  await timers.advance(10)
  await warmUp(context)
  for (let i = 0; i < 60; i++) send({ runMs: 5, deadlineMs: 60 })
  await timers.advance(0)
  const refused = answers.length
  t.ok(refused > 20 && refused < 50, `${refused} of 60 were refused`)
  t.match(answers, new Array(refused).fill({ outcome: 'not-run', status: 503, retryAfterMs: Number }))
  await timers.advance(100)
  t.equal(answers.filter(answer => answer.outcome === 'ran').length, 60 - refused)
})

t.test('a request whose answer is lost is unknown and its slot stays counted until the instance shows it free', async t => {
  const context = setup(['i1'], { slots: 1 })
  const { timers, upstream, answers, send } = context
  await timers.advance(10)
  await warmUp(context)
  const instance = upstream.instances.get('i1')!
  instance.mode = INSTANCE_MODES.silent
  send({ runMs: 3_000, deadlineMs: 200 })
  await timers.advance(250)
  t.match(answers, [{ outcome: 'unknown', status: 504 }])
  instance.mode = INSTANCE_MODES.answers
  send({ deadlineMs: 20_000 })
  await timers.advance(2_000)
  t.equal(answers.length, 1)
  await timers.advance(5_000)
  t.match(answers[1], { outcome: 'ran' })
  t.equal(instance.peak, 1)
})

t.test('a request refused by one instance runs on another', async t => {
  const { timers, upstream, answers, send } = setup(['i1', 'i2'])
  await timers.advance(10)
  upstream.instances.get('i1')!.mode = INSTANCE_MODES.refuses
  for (let i = 0; i < 2; i++) send({ atMostOnce: true })
  await timers.advance(500)
  t.match(answers, [{ outcome: 'ran' }, { outcome: 'ran' }])
})
