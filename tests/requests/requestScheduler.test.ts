/**
 * Guards the scheduler of requests against sends without a valid claim, against exceeding the slots of an instance, against
 * unsafe retries, and against teams or classes that take the shares of others.
 */

import t from 'tap'
import { decodeFromCompressedBase64 } from 'hdr-histogram-js'
import { CLAIM_NAMES } from 'pomelofold/seams/authority'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import type { ServiceAnswer, ServiceRequest } from 'pomelofold/protocol/requests'
import { INSTANCE_MODES, MemoryInstances, RUN_MS_HEADER } from '../../utils/bench/benchInstances.js'
import { instanceRecord, MemoryCell, SERVICE, type MemoryCellOptions } from '../../utils/bench/benchCell.js'

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

/** Runs short requests until the slow start of the instances has ended. */
async function warmUp ({ timers, send, answers }: ReturnType<typeof setup>): Promise<void> {
  for (let i = 0; i < 20; i++) {
    send({ runMs: 5 })
    await timers.advance(20)
  }
  answers.length = 0
}

t.test('a request gets the complete answer of its instance', async t => {
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

t.test('no request is sent before the instance has reported how many requests run there', async t => {
  const { timers, upstream, answers, send } = setup()
  const instance = upstream.instances.get('i1')!
  instance.running = 2
  await timers.advance(10)
  send({ deadlineMs: 5_000 })
  await timers.advance(1_000)
  t.equal(answers.length, 0)
  t.equal(instance.peakRunning, 0)
  instance.running = 0
  await timers.advance(3_000)
  t.match(answers, [{ outcome: 'ran' }])
})

t.test('a status read that began under an earlier epoch is ignored', async t => {
  const { timers, upstream, authority, send } = setup()
  const instance = upstream.instances.get('i1')!
  await timers.advance(0.3)
  instance.running = 2
  authority.grant(CLAIM_NAMES.instance('fd1', 'i1'), 3)
  for (let i = 0; i < 2; i++) send({ deadlineMs: 5_000 })
  await timers.advance(1_000)
  for (let i = 0; i < 2; i++) send({ deadlineMs: 5_000 })
  await timers.advance(1_000)
  t.equal(instance.peakRunning, 0)
})

t.test('no request is sent after the claim has lapsed, even without notice', async t => {
  const { timers, authority, upstream, answers, send } = setup()
  await timers.advance(10)
  authority.lapse(CLAIM_NAMES.instance('fd1', 'i1'))
  send({ deadlineMs: 500 })
  await timers.advance(1_000)
  t.match(answers, [{ outcome: 'not-run', status: 503 }])
  t.equal(upstream.runs.size, 0)
})

t.test('a request that cannot start before its deadline is refused at once with a retry delay', async t => {
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

t.test('a request whose answer is lost has outcome unknown and occupies its slot until the instance reports it free', async t => {
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
  t.equal(instance.peakRunning, 1)
})

t.test('a request that one instance refuses runs on another', async t => {
  const { timers, upstream, answers, send } = setup(['i1', 'i2'])
  await timers.advance(10)
  upstream.instances.get('i1')!.mode = INSTANCE_MODES.refuses
  for (let i = 0; i < 2; i++) send({ atMostOnce: true })
  await timers.advance(500)
  t.match(answers, [{ outcome: 'ran' }, { outcome: 'ran' }])
})

t.test('a request whose connection ends early is sent again only when idempotent and not at-most-once', async t => {
  for (const [idempotent, atMostOnce, outcome] of [[true, false, 'ran'], [true, true, 'unknown'], [false, false, 'unknown']] as const) {
    const { timers, upstream, answers, send } = setup(['i1', 'i2'], { service: { idempotent } })
    await timers.advance(10)
    upstream.instances.get('i1')!.mode = INSTANCE_MODES.resets
    upstream.instances.get('i2')!.speed = 0.9
    send({ atMostOnce })
    await timers.advance(500)
    t.match(answers, [{ outcome }], `idempotent ${idempotent}, at most once ${atMostOnce}`)
  }
})

// Guards against one request that crashes instance after instance.
t.test('a request under which two instances have broken off is not sent to a third', async t => {
  const names = ['i1', 'i2', 'i3', 'i4', 'i5', 'i6']
  const { timers, upstream, scheduler, answers, send } = setup(names, { service: { idempotent: true } })
  await timers.advance(10)
  for (const instance of upstream.instances.values()) instance.mode = INSTANCE_MODES.resets
  send({ deadlineMs: 5_000 })
  await timers.advance(6_000)
  t.match(answers, [{ outcome: 'unknown', detail: /2 instances/ }])
  t.equal(scheduler.figures().retries, 1)
})

t.test('retries stay within the retry budget when every instance refuses connections', async t => {
  const { timers, upstream, scheduler, answers, send } = setup(['i1', 'i2', 'i3', 'i4'])
  await timers.advance(10)
  for (const instance of upstream.instances.values()) instance.mode = INSTANCE_MODES.refuses
  for (let i = 0; i < 500; i++) {
    send({ deadlineMs: 100 })
    await timers.advance(20)
  }
  await timers.advance(1_000)
  t.equal(answers.filter(answer => answer.outcome === 'not-run').length, 500)
  t.ok(scheduler.figures().retries <= 20 + 50, `${scheduler.figures().retries} retries`)
})

t.test('a failing instance gets few requests, and gradually more once it answers again', async t => {
  const { timers, upstream, answers, send } = setup(['i1', 'i2'], { slots: 8 })
  await timers.advance(10)
  const failing = upstream.instances.get('i1')!
  failing.mode = INSTANCE_MODES.fails
  const sendFor = async (seconds: number): Promise<ServiceAnswer[]> => {
    answers.length = 0
    for (let i = 0; i < seconds * 50; i++) {
      send({ runMs: 50 })
      await timers.advance(20)
    }
    return answers
  }
  const failed = (await sendFor(10)).filter(answer => answer.status === 500).length
  t.ok(failed < 20, `${failed} of 500 failed`)
  failing.mode = INSTANCE_MODES.answers
  upstream.instances.get('i2')!.mode = INSTANCE_MODES.refuses
  await sendFor(10)
  t.match(await sendFor(1), new Array(40).fill({ outcome: 'ran', status: 200 }))
})

t.test('requests are still sent when every instance fails', async t => {
  const { timers, upstream, answers, send } = setup(['i1', 'i2', 'i3', 'i4'])
  await timers.advance(10)
  for (const instance of upstream.instances.values()) instance.mode = INSTANCE_MODES.fails
  for (let i = 0; i < 200; i++) {
    send({ deadlineMs: 500 })
    await timers.advance(20)
  }
  const refused = answers.filter(answer => answer.outcome === 'not-run').length
  t.equal(refused, 0, `${refused} of 200 were refused`)
})

t.test('a change of the number of slots in the VM list takes effect', async t => {
  const { timers, upstream, records, scheduler, send } = setup(['i1'], { slots: 4 })
  await timers.advance(10)
  for (let i = 0; i < 10; i++) {
    send({ runMs: 5 })
    await timers.advance(20)
  }
  const instance = upstream.instances.get('i1')!
  for (const [slots, running] of [[1, 1], [6, 6]]) {
    scheduler.setInstances([{ ...records[0], slots }])
    for (let i = 0; i < 10; i++) send({ deadlineMs: 5_000 })
    await timers.advance(10)
    t.equal(instance.running, running)
    await timers.advance(5_000)
  }
})

t.test('a leaving instance gets no new requests and completes those that it runs', async t => {
  const { timers, upstream, records, scheduler, answers, send } = setup(['i1', 'i2'])
  await timers.advance(10)
  send()
  await timers.advance(10)
  const used = upstream.instances.get('i1')!.running === 1 ? 'i1' : 'i2'
  scheduler.setInstances(records.map(record => record.name === used ? { ...record, state: 'leaving' } : record))
  for (let i = 0; i < 4; i++) send({ deadlineMs: 5_000 })
  await timers.advance(10)
  t.ok(upstream.instances.get(used)!.running <= 1)
  await timers.advance(1_000)
  t.match(answers, new Array(5).fill({ outcome: 'ran' }))
})

t.test('urgent requests start first, batch requests still make progress, and a full queue evicts batch requests for urgent ones', async t => {
  const context = setup(['i1'], { slots: 1, maxQueued: 40 })
  const { timers, scheduler, answers, send } = context
  await timers.advance(10)
  await warmUp(context)
  for (let i = 0; i < 41; i++) send({ class: 'batch', runMs: 10, deadlineMs: 60_000 })
  for (let i = 0; i < 10; i++) send({ class: 'urgent', runMs: 10, deadlineMs: 20_000 })
  await timers.advance(0)
  t.match(answers, new Array(10).fill({ outcome: 'not-run', retryAfterMs: Number }))
  await timers.advance(150)
  const ran = (cls: string) => scheduler.figures().requests.find(count => count.class === cls && count.outcome === 'ran')?.count ?? 0
  t.equal(ran('urgent'), 10)
  for (let i = 0; i < 200; i++) {
    send({ class: 'urgent', runMs: 10, deadlineMs: 200 })
    await timers.advance(10)
  }
  t.ok(ran('batch') >= 5, `${ran('batch')} batch requests ran under urgent load`)
})

t.test('draining refuses requests that have not started and waits for the others', async t => {
  const { timers, scheduler, answers, send } = setup()
  await timers.advance(10)
  for (let i = 0; i < 5; i++) send({ runMs: 100, deadlineMs: 5_000 })
  await timers.advance(10)
  let drained = false
  scheduler.drain().then(() => { drained = true })
  send()
  await timers.advance(10)
  t.equal(drained, false)
  t.match(answers, new Array(5).fill({ outcome: 'not-run', retryAfterMs: Number }))
  await timers.advance(200)
  t.equal(drained, true)
  t.match(answers[5], { outcome: 'ran' })
})

const QUOTA = { cpus: 1, memoryMb: 1, accelerators: 0 }

t.test('requests of a team over its limit are refused unless it may borrow the unused part of other limits', async t => {
  const teams = [
    { name: 'a', quota: QUOTA, requestLimit: 2, borrow: false },
    { name: 'b', quota: QUOTA, requestLimit: 2, borrow: true }
  ]
  const { timers, answers, send } = setup(['i1'], { teams })
  await timers.advance(10)
  for (let i = 0; i < 3; i++) send({ team: 'a' })
  await timers.advance(0)
  t.match(answers, [{ outcome: 'not-run', detail: /limit/ }])
  await timers.advance(500)
  for (let i = 0; i < 5; i++) send({ team: 'b' })
  await timers.advance(0)
  t.equal(answers.filter(answer => answer.outcome === 'not-run').length, 2)
})

t.test('a team with many waiting requests does not delay another team', async t => {
  const context = setup(['i1'], { slots: 1, teams: [{ name: 'a', quota: QUOTA, borrow: true }, { name: 'b', quota: QUOTA, borrow: true }] })
  const { timers, scheduler, send } = context
  await timers.advance(10)
  await warmUp(context)
  for (let i = 0; i < 200; i++) send({ team: 'a', runMs: 10, deadlineMs: 5_000 })
  for (let i = 0; i < 10; i++) send({ team: 'b', runMs: 10, deadlineMs: 6_000 })
  await timers.advance(400)
  t.match(scheduler.figures().requests.find(count => count.team === 'b'), { outcome: 'ran', count: 10 })
})

t.test('requests of undeclared teams are counted as one team', async t => {
  const context = setup(['i1'], { slots: 1 })
  const { timers, scheduler, send } = context
  await timers.advance(10)
  await warmUp(context)
  for (let i = 0; i < 100; i++) send({ team: `made-up-${i}`, runMs: 10, deadlineMs: 5_000 })
  await timers.advance(5_000)
  t.same(new Set(scheduler.figures().requests.map(count => count.team)), new Set(['']))
})

t.test('a few requests that hang do not cause later ones to be refused', async t => {
  const context = setup(['i1', 'i2'], { slots: 4 })
  const { timers, upstream, answers, send } = context
  await timers.advance(10)
  await warmUp(context)
  upstream.instances.get('i1')!.mode = INSTANCE_MODES.silent
  upstream.instances.get('i2')!.mode = INSTANCE_MODES.silent
  for (let i = 0; i < 2; i++) send({ deadlineMs: 10_000 })
  await timers.advance(20_000)
  for (const instance of upstream.instances.values()) instance.mode = INSTANCE_MODES.answers
  answers.length = 0
  send({ deadlineMs: 200 })
  await timers.advance(500)
  t.match(answers, [{ outcome: 'ran' }])
})

t.test('slots are kept free for urgent requests while such requests arrive', async t => {
  const context = setup(['i1', 'i2', 'i3', 'i4', 'i5'], { slots: 8 })
  const { timers, scheduler, send, answers } = context
  await timers.advance(10)
  for (let i = 0; i < 400; i++) {
    send({ class: 'urgent', runMs: 50 })
    await timers.advance(10)
  }
  answers.length = 0
  for (let i = 0; i < 60; i++) send({ class: 'normal', runMs: 200, deadlineMs: 5_000 })
  await timers.advance(60)
  t.ok(scheduler.loads()[SERVICE].freeSlots > 0)
  send({ class: 'urgent' })
  await timers.advance(70)
  t.match(answers, [{ outcome: 'ran', waitedMs: 0 }])
})

t.test('figures contain outcomes, waiting times and objectives', async t => {
  const { timers, scheduler, send } = setup(['i1'], { service: { objectives: [{ class: 'normal', waitMs: 20, target: 0.99, windowDays: 28 }] } })
  await timers.advance(10)
  for (let i = 0; i < 3; i++) send()
  await timers.advance(500)
  const { requests, waits, objectives } = scheduler.figures()
  t.match(requests, [{ service: SERVICE, class: 'normal', outcome: 'ran', count: 3 }])
  t.match(waits, [{ service: SERVICE, class: 'normal', count: 3 }])
  t.match(objectives, [{ good: 1, bad: 2 }])
  t.equal(decodeFromCompressedBase64(waits[0].histogram).totalCount, 3)
})
