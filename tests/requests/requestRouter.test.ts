/**
 * Guards the choice between the queue of this process and those of peers: when a forward fails, a request that has not run must
 * be tried elsewhere, and one that may have run must not run twice.
 */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { CLAIM_NAMES } from 'pomelofold/seams/authority'
import type { ServiceAnswer, ServiceRequest } from 'pomelofold/protocol/requests'
import { MemoryInstances, RUN_MS_HEADER } from '../../utils/bench/benchInstances.js'
import { instanceRecord, MemoryCell, SERVICE, type MemoryCellOptions } from '../../utils/bench/benchCell.js'

function request (number: number, options: Partial<ServiceRequest> = {}): ServiceRequest {
  const headers = { [RUN_MS_HEADER]: '50' }
  return { requestId: `r${number}`, service: SERVICE, class: 'normal', deadlineMs: 1_000, atMostOnce: false, headers, body: Buffer.from(`r${number}`), ...options }
}

/** Two entry VMs in one failure domain and one in another. By default the second and third hold the claims on the instances. */
function setup (options: Partial<MemoryCellOptions> = {}) {
  const timers = new ManualTimers()
  const upstream = new MemoryInstances({ timers })
  const records = [instanceRecord('i1'), instanceRecord('i2', { failureDomain: 'fd2' })]
  for (const record of records) upstream.add({ address: record.address })
  const entries = { fd1: ['e1', 'e2'], fd2: ['e3'] }
  const holder = (record: { failureDomain: string }): string => record.failureDomain === 'fd1' ? 'e2' : 'e3'
  const cell = new MemoryCell({ timers, upstream, random: new SeededRandom(7), records, entries, holder, ...options })
  const answers: ServiceAnswer[] = []
  let number = 0
  const send = (options: Partial<ServiceRequest> = {}) => {
    cell.entry('e1').router.submit(request(++number, options)).then(answer => answers.push(answer))
  }
  return { timers, upstream, cell, answers, send }
}

t.test('a request is forwarded to a peer in the same failure domain when this process holds no instance', async t => {
  const { timers, cell, answers, send } = setup()
  await timers.advance(10)
  cell.exchangeLoads()
  send()
  await timers.advance(100)
  t.match(answers, [{ outcome: 'ran' }])
  t.match(cell.entry('e2').scheduler.figures().requests, [{ outcome: 'ran', count: 1 }])
})

t.test('a request is forwarded to another failure domain when the wait in its own is much longer', async t => {
  const { timers, cell, answers, send } = setup()
  await timers.advance(10)
  cell.exchangeLoads()
  cell.entry('e1').router.onPeerLoads('e2', { [SERVICE]: { expectedWaitMs: { normal: 400 }, freeSlots: 0 } })
  send()
  await timers.advance(100)
  t.match(answers, [{ outcome: 'ran' }])
  t.match(cell.entry('e3').scheduler.figures().requests, [{ outcome: 'ran', count: 1 }])
})

t.test('a forward that did not reach the peer is retried at another peer', async t => {
  const { timers, cell, answers, send } = setup()
  await timers.advance(10)
  cell.exchangeLoads()
  cell.faults.refusing.add('e2')
  send({ atMostOnce: true })
  await timers.advance(100)
  t.match(answers, [{ outcome: 'ran' }])
})

t.test('no request fails when a peer has lost its claims since its last heartbeat', async t => {
  const { timers, cell, answers, send } = setup()
  await timers.advance(10)
  cell.exchangeLoads()
  cell.entry('e2').authority.revoke(CLAIM_NAMES.instance('fd1', 'i1'))
  for (let i = 0; i < 5; i++) {
    send()
    await timers.advance(100)
  }
  t.match(answers, new Array(5).fill({ outcome: 'ran' }))
  t.match(cell.entry('e2').scheduler.figures().requests, [{ outcome: 'not-run', count: 1 }])
})

t.test('a forwarded request whose answer is lost has outcome unknown and runs once', async t => {
  const { timers, cell, upstream, answers, send } = setup()
  await timers.advance(10)
  cell.exchangeLoads()
  cell.faults.silent.add('e2')
  send()
  await timers.advance(2_000)
  t.match(answers, [{ outcome: 'unknown', peer: 'e2' }])
  t.equal(upstream.runs.get('r1'), 1)
})

t.test('a request is answered not-run when no peer has reported a usable instance', async t => {
  const { timers, answers, send } = setup()
  await timers.advance(10)
  send()
  await timers.advance(10)
  t.match(answers, [{ outcome: 'not-run', status: 503 }])
})

t.test('a burst is spread over the peers although their reported loads predate it', async t => {
  const { timers, cell, answers, send } = setup()
  await timers.advance(10)
  cell.exchangeLoads()
  for (let i = 0; i < 100; i++) send()
  await timers.advance(2_000)
  t.equal(answers.filter(answer => answer.outcome === 'ran').length, 100)
  const counts = ['e2', 'e3'].map(vm => cell.entry(vm).scheduler.figures().requests[0].count)
  t.ok(Math.min(...counts) > 30, counts.join(' and '))
})
