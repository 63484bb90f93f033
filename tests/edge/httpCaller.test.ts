/** Tests of the deadlines of calls whose answers arrive in parts, with real sockets and a manual clock. */

import { once } from 'node:events'
import { createServer, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import t, { type Test } from 'tap'
import type Result from 'true-myth/result'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { HttpCaller, type HttpAnswer, type HttpCall } from 'pomelofold/edge/httpCaller'
import type { CallError } from 'pomelofold/utils/errors'

const TIMEOUT_MS = 1_000
const BODY_BYTES = 200_000
const PART = Buffer.alloc(20_000, 'a')

/** A call whose answer a test sends in parts. */
interface OpenCall {
  timers: ManualTimers
  result: Promise<Result<HttpAnswer, CallError>>
  /** Sends a part of the answer's body, and resolves when the client has received it. */
  sendPart: (part?: Buffer) => Promise<void>
}

/** Turns of the event loop in which written bytes pass between the sockets of this process. */
async function settleSockets (): Promise<void> {
  for (let turn = 0; turn < 50; turn++) await new Promise(resolve => setImmediate(resolve))
}

async function openCall (t: Test, options: Partial<HttpCall> = {}): Promise<OpenCall> {
  const timers = new ManualTimers()
  const caller = new HttpCaller({ timers })
  const server = createServer().listen(0, '127.0.0.1')
  t.teardown(async () => {
    server.closeAllConnections()
    server.close()
    await caller.close()
  })
  await once(server, 'listening')
  const requested = once(server, 'request')
  const result = caller.call(`127.0.0.1:${(server.address() as AddressInfo).port}`, {
    step: 'read', method: 'GET', path: '/', timeoutMs: TIMEOUT_MS, mutates: false, ...options
  })
  const [, res] = await requested as [unknown, ServerResponse]
  res.writeHead(200, { 'content-length': BODY_BYTES }).flushHeaders()
  await settleSockets()
  const sendPart = async (part: Buffer = PART): Promise<void> => {
    res.write(part)
    await settleSockets()
  }
  return { timers, result, sendPart }
}

t.test('a read whose answer takes longer than its timeout is completed while parts of it arrive', async t => {
  const { timers, result, sendPart } = await openCall(t, { maxTransferMs: 20 * TIMEOUT_MS })
  for (let sent = 0; sent < BODY_BYTES; sent += PART.length) {
    await timers.advance(0.9 * TIMEOUT_MS)
    await sendPart()
  }
  const answer = await result
  t.equal(answer.isOk && answer.value.body.length, BODY_BYTES)
})

t.test('a read fails after its timeout without progress, and says how much had arrived', async t => {
  const { timers, result, sendPart } = await openCall(t, { maxTransferMs: 20 * TIMEOUT_MS })
  for (let part = 0; part < 4; part++) {
    await timers.advance(0.9 * TIMEOUT_MS)
    await sendPart()
  }
  await timers.advance(TIMEOUT_MS)
  t.match(await result, { error: { name: 'CallTimeoutError', message: /80000 of 200000 bytes within 4600 ms/, effect: 'none' } })
})

t.test('a read whose answer takes too long ends at the longest time for a transfer', async t => {
  const { timers, result, sendPart } = await openCall(t, { maxTransferMs: 3 * TIMEOUT_MS })
  for (let part = 0; part < 3; part++) {
    await timers.advance(0.9 * TIMEOUT_MS)
    await sendPart()
  }
  await timers.advance(0.3 * TIMEOUT_MS)
  t.match(await result, { error: { message: /60000 of 200000 bytes within 3000 ms/ } })
})

// Guards against a connection on which too little arrives, and which no other call replaces.
t.test('a read whose answer trickles in ends at its timeout', async t => {
  const { timers, result, sendPart } = await openCall(t, { maxTransferMs: 20 * TIMEOUT_MS })
  for (let part = 0; part < 10; part++) {
    await sendPart(PART.subarray(0, 100))
    await timers.advance(0.1 * TIMEOUT_MS)
  }
  t.match(await result, { error: { message: /1000 of 200000 bytes within 1000 ms/ } })
})

t.test('a call without a time for its transfer ends at its timeout, although parts of the answer arrive', async t => {
  const { timers, result, sendPart } = await openCall(t, { mutates: true })
  await timers.advance(0.9 * TIMEOUT_MS)
  await sendPart()
  await timers.advance(0.1 * TIMEOUT_MS)
  t.match(await result, { error: { message: /20000 of 200000 bytes within 1000 ms/, effect: 'unknown' } })
})
