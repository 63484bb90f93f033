/**
 * Tests of the upstream client over HTTP. A call that fails with the effect `none` is sent again to another upstream, so
 * the work would run twice if the first upstream could still receive it.
 */

import { once } from 'node:events'
import net, { type AddressInfo, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import t, { type Test } from 'tap'
import { endToEndHeaders, HttpUpstreamClient } from 'pomelofold/edge/httpUpstreamClient'
import type { HttpCallerOptions } from 'pomelofold/edge/httpCaller'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { StaleEpochError, type InstanceRequest } from 'pomelofold/seams/upstreamClient'
import { CallTimeoutError } from 'pomelofold/utils/errors'

const LONG_MS = 30_000
const SHORT_MS = 100
const REQUEST = { method: 'POST', path: '/', headers: {}, body: Buffer.from('pot 7') }
const OK_ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine'

function makeClient (t: Test, options: Partial<HttpCallerOptions> = {}): HttpUpstreamClient {
  const client = new HttpUpstreamClient({ timers: new SystemTimers(), ...options })
  t.teardown(() => client.close())
  return client
}

/** Starts a TCP server that passes the text of each request to `onRequest`. Returns its address. */
async function listen (t: Test, onRequest: (socket: Socket, text: string) => void): Promise<string> {
  const sockets = new Set<Socket>()
  const server = net.createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', data => onRequest(socket, data.toString()))
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    server.close()
    for (const socket of sockets) socket.destroy()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

t.test('a refused connection has no effect', async t => {
  const server = net.createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  server.close()
  await once(server, 'close')
  const result = await makeClient(t).request(address, REQUEST, LONG_MS)
  t.match(result, { error: { effect: 'none', step: 'upstream.request', peer: address } })
})

/**
 * Starts a server that accepts no further connections: its thread is blocked, and its queue of connections is full.
 * `received` unblocks it and returns all texts that it has received.
 */
async function listenWithoutAccepting (t: Test): Promise<{ address: string, received: () => Promise<string[]> }> {
  const worker = new Worker(`
    const { parentPort } = require('node:worker_threads')
    const net = require('node:net')
    const received = []
    const gate = new Int32Array(new SharedArrayBuffer(4))
    const server = net.createServer(socket => { socket.on('error', () => {}); socket.on('data', data => received.push(String(data))) })
    server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
      parentPort.on('message', () => parentPort.postMessage(received))
      parentPort.postMessage({ port: server.address().port, gate })
      Atomics.wait(gate, 0, 0)
    })`, { eval: true })
  t.teardown(() => worker.terminate())
  const [{ port, gate }] = await once(worker, 'message')
  const fillers = Array.from({ length: 8 }, () => net.connect(port, '127.0.0.1').on('error', () => {}))
  t.teardown(() => fillers.forEach(socket => socket.destroy()))
  await once(fillers[0], 'connect')
  const received = async (): Promise<string[]> => {
    fillers.forEach(socket => socket.destroy())
    Atomics.store(gate, 0, 1)
    Atomics.notify(gate, 0)
    const marker = net.connect(port, '127.0.0.1')
    marker.end('marker')
    await once(marker, 'close')
    worker.postMessage('report')
    return (await once(worker, 'message'))[0]
  }
  return { address: `127.0.0.1:${port}`, received }
}

for (const [name, options, timeoutMs, message] of [
  ['a connect timeout has no effect, and nothing is sent later', { connectTimeoutMs: SHORT_MS }, LONG_MS, /Connect Timeout/],
  ['a deadline that ends while connecting has no effect, and nothing is sent later', { connectTimeoutMs: LONG_MS }, SHORT_MS, /no answer within/]
] as const) {
  t.test(name, async t => {
    const { address, received } = await listenWithoutAccepting(t)
    const result = await makeClient(t, options).request(address, REQUEST, timeoutMs)
    t.match(result, { error: { effect: 'none', message } })
    t.same(await received(), ['marker'])
  })
}

t.test('a call that waits for a free connection until its deadline has no effect', async t => {
  const texts: string[] = []
  const first: Socket[] = []
  const address = await listen(t, (socket, text) => { texts.push(text); first.push(socket) })
  const client = makeClient(t, { connections: 1 })
  const running = client.request(address, REQUEST, LONG_MS)
  const waiting = await client.request(address, { ...REQUEST, path: '/second' }, SHORT_MS)
  t.match(waiting, { error: { effect: 'none' } })
  t.ok(waiting.isErr && waiting.error instanceof CallTimeoutError)
  first[0].write(OK_ANSWER)
  t.match(await running, { value: { status: 200 } })
  const third = client.request(address, { ...REQUEST, path: '/third' }, LONG_MS)
  while (first.length < 2) await new Promise(setImmediate)
  first[1].write(OK_ANSWER)
  await third
  t.same(texts.map(text => text.split('\r\n')[0]), ['POST /requests HTTP/1.1', 'POST /requests/third HTTP/1.1'])
})

t.test('a process that was paused past the deadline while connecting sends nothing', async t => {
  let pauseMs = 0
  class PausedTimers extends SystemTimers {
    override now (): number { return super.now() + pauseMs }
  }
  let requests = 0
  const address = await listen(t, socket => { requests++; socket.write(OK_ANSWER) })
  const client = makeClient(t, { timers: new PausedTimers(), connections: 1 })
  const paused = client.request(address, REQUEST, LONG_MS)
  pauseMs = LONG_MS
  t.match(await paused, { error: { effect: 'none', message: /no answer within/ } })
  t.match(await client.request(address, REQUEST, LONG_MS), { value: { status: 200 } })
  t.equal(requests, 1)
})

for (const [name, act, message] of [
  ['a connection reset after the request was sent leaves the effect unknown', (socket: Socket) => socket.resetAndDestroy(), /ECONNRESET/],
  ['a connection closed without an answer leaves the effect unknown', (socket: Socket) => socket.end(), /closed/],
  ['a truncated answer is an error with unknown effect', (socket: Socket) => socket.end(OK_ANSWER.slice(0, -2)), /closed/],
  ['a truncated chunked answer is an error with unknown effect',
    (socket: Socket) => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n'), /closed/],
  ['an answer without its length is an error, since a truncated answer could not be detected',
    (socket: Socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nfine'), /length/],
  ['an answer over the limit is an error with unknown effect',
    (socket: Socket) => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n${'x'.repeat(2_000)}`), /over 1000 bytes/],
  ['bytes that are not HTTP leave the effect unknown', (socket: Socket) => socket.write('nonsense\r\n\r\n'), /upstream/]
] as const) {
  t.test(name, async t => {
    let requests = 0
    const address = await listen(t, socket => { requests++; act(socket) })
    const result = await makeClient(t, { maxAnswerBytes: 1_000 }).request(address, { ...REQUEST, method: 'GET', body: Buffer.alloc(0) }, LONG_MS)
    t.match(result, { error: { effect: 'unknown', message } })
    t.equal(requests, 1, 'not sent again')
  })
}

t.test('a call without an answer ends at its deadline with unknown effect, and its late answer is discarded', async t => {
  const sockets: Socket[] = []
  const address = await listen(t, socket => { sockets.push(socket) })
  const client = makeClient(t, { connections: 1 })
  const result = await client.request(address, REQUEST, SHORT_MS)
  t.ok(result.isErr && result.error instanceof CallTimeoutError && result.error.effect === 'unknown')
  const next = client.request(address, REQUEST, LONG_MS)
  while (sockets.length < 2) await new Promise(setImmediate)
  sockets[0].write(OK_ANSWER.replace('fine', 'late'))
  sockets[1].write(OK_ANSWER)
  const answer = await next
  t.equal(answer.isOk && Buffer.from(answer.value.body).toString(), 'fine')
})

t.test('a malformed call has no effect and does not block its connection for the calls after it', async t => {
  const address = await listen(t, socket => socket.write(OK_ANSWER))
  const client = makeClient(t, { connections: 1 })
  const malformed: Array<Partial<InstanceRequest>> = [{ path: '/a b' }, { path: '/\n' }, { method: 'NO SUCH' }, { method: 'CONNECT' }, { headers: { a: 'x\ny' } }, { headers: { a: '€' } }, { headers: { 'a b': '' } }]
  for (const part of malformed) {
    t.match(await client.request(address, { ...REQUEST, ...part }, LONG_MS), { error: { effect: 'none' } })
    t.match(await client.request(address, REQUEST, LONG_MS), { value: { status: 200 } })
  }
})

t.test('an address that is not host:port is an error without effect', async t => {
  for (const address of ['', 'nowhere', '127.0.0.1:1/x', '127.0.0.1:99999']) {
    t.match(await makeClient(t).request(address, REQUEST, LONG_MS), { error: { effect: 'none', message: /address/ } })
  }
})

t.test('an informational answer is not returned as the final answer', async t => {
  const address = await listen(t, socket => socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${OK_ANSWER}`))
  t.match(await makeClient(t).request(address, REQUEST, LONG_MS), { value: { status: 200 } })
})

t.test('idle connections are closed after the idle timeout', async t => {
  const ended = new Set<Socket>()
  const address = await listen(t, socket => {
    socket.on('close', () => ended.add(socket))
    socket.write(OK_ANSWER.replace('Content', 'Keep-Alive: timeout=600\r\nContent'))
  })
  t.match(await makeClient(t, { idleTimeoutMs: SHORT_MS }).request(address, REQUEST, LONG_MS), { value: { status: 200 } })
  while (ended.size === 0) await new Promise(setImmediate)
})

t.test('headers that apply to a single connection are not passed on', async t => {
  const headers = { Connection: 'close, X-Hop', 'X-Hop': '1', 'Keep-Alive': 'timeout=5', Upgrade: 'h2c', 'Content-Length': '5', Expect: 'x', 'X-Pot': '7' }
  t.same(endToEndHeaders(headers), { 'x-pot': '7' })
})

t.test('a refusal by a worker that has received a newer epoch is reported as such, with the epoch', async t => {
  const address = await listen(t, socket => socket.write('HTTP/1.1 409 Conflict\r\nContent-Length: 11\r\n\r\n{"epoch":9}'))
  const result = await makeClient(t).startTasks(address, 3, [], LONG_MS)
  t.ok(result.isErr && result.error instanceof StaleEpochError && result.error.epoch === 9)
})

t.test('a closed client sends nothing', async t => {
  const client = makeClient(t)
  await client.close()
  t.match(await client.request('127.0.0.1:9', REQUEST, LONG_MS), { error: { effect: 'none' } })
})
