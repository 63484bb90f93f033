/**
 * Tests of the HTTP server with ordinary callers, some of which leave before their answer.
 *
 * @module
 */

import type { Server } from 'node:http'
import { connect, type Socket } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { Hono, type Context } from 'hono'
import t, { type Test } from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { HttpServer, type HttpServerOptions } from 'pomelofold/edge/httpServer'
import { readBody } from 'pomelofold/seams/requestBody'
import { ManualPromise } from 'pomelofold/utils/manualPromise'

const MAX_BODY_BYTES = 250_000

/** Time for which the server discards input after its last answer, in milliseconds. */
const DISCARD_MS = 500

/** Ends a test whose condition never holds, in milliseconds of real time. */
const HANG_LIMIT_MS = 60_000

/** What a caller of 1 Mbit/s sends in 10 ms. */
const SEGMENT_BYTES = 1_250
const SEGMENT_MS = 10

/** Input that the server parses at once. */
const PIECE_BYTES = 256

const GET = 'GET /plain HTTP/1.1\r\nhost: h\r\n\r\n'
const LARGE_GET = 'GET /large HTTP/1.1\r\nhost: h\r\n\r\n'
const SLOW_GET = 'GET /slow HTTP/1.1\r\nhost: h\r\n\r\n'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

async function startServer (t: Test, options: Partial<HttpServerOptions> = {}) {
  t.setTimeout(HANG_LIMIT_MS)
  const timers = new ManualTimers()
  const server = new HttpServer({ address: '127.0.0.1:0', timers, ...options })
  t.teardown(async () => {
    const closed = server.close({ timeoutMs: 0 })
    await timers.advance(DISCARD_MS)
    await closed
  })
  const released = new ManualPromise()
  const checked = new ManualPromise()
  const running = { now: 0, total: 0, checking: 0 }
  const bodies: Array<WeakRef<ArrayBufferLike>> = []
  const serverSockets: Socket[] = []
  const app = new Hono()
  const answerBody = async (ctx: Context): Promise<Response> => {
    const body = await readBody(ctx, MAX_BODY_BYTES)
    if (body.isOk) bodies.push(new WeakRef(body.value.buffer))
    return body.isErr ? ctx.text(body.error, body.error === 'too-large' ? 413 : 503) : ctx.text(`${body.value.length} bytes`)
  }
  app.all('/bodies', answerBody)
  // A route that checks the caller's key before it reads the body.
  app.all('/checked', async ctx => {
    running.checking++
    await checked.promise
    return answerBody(ctx)
  })
  app.all('/refused', ctx => ctx.text('no such queue', 404))
  app.all('/plain', ctx => ctx.text('answer'))
  app.all('/large', ctx => ctx.body(new ArrayBuffer(200_000)))
  app.all('/slow', async (ctx: Context) => {
    running.now++
    running.total++
    await released.promise
    running.now--
    return ctx.text('slow')
  })
  await server.listen(app)
  const nodeServer = (server as unknown as { _server: Server })._server
  nodeServer.on('connection', socket => serverSockets.push(socket))
  // Node.js measures the time of idle connections itself.
  nodeServer.keepAliveTimeout = 0
  return { server, timers, running, bodies, serverSockets, release: () => released.resolve(), check: () => checked.resolve() }
}

interface Caller {
  socket: Socket
  received: () => string
  error: () => string | undefined
  until: (pattern: RegExp) => Promise<string>
}

function open (t: Test, { port }: HttpServer, options: { allowHalfOpen?: boolean } = {}): Caller {
  const socket = connect({ port, host: '127.0.0.1', ...options })
  t.teardown(() => socket.destroy())
  let text = ''
  let code: string | undefined
  socket.on('data', bytes => { text += bytes })
  socket.on('error', (err: NodeJS.ErrnoException) => { code = err.code })
  const untilReceived = async (pattern: RegExp): Promise<string> => {
    await until(() => pattern.test(text) || socket.destroyed)
    if (!pattern.test(text)) throw new Error(`closed (${code}) after ${JSON.stringify(text)}`)
    return text
  }
  return { socket, received: () => text, error: () => code, until: untilReceived }
}

/** Waits until a condition holds. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await nextTurn()
}

/** Sends on a connection, and lets the server read it apart from what is sent later. */
async function send (socket: Socket, text: string): Promise<void> {
  await new Promise(resolve => socket.write(text, resolve))
  for (let i = 0; i < 3; i++) await nextTurn()
}

async function externalBytes (): Promise<number> {
  for (let i = 0; i < 3; i++) {
    collectGarbage()
    await nextTurn()
  }
  return process.memoryUsage().arrayBuffers
}

// Guards against bodies that are held, without an account, as long as their connection is open.
t.test('idle connections do not keep the bodies of their last requests', async t => {
  const { server, bodies } = await startServer(t, { maxHeldBytes: 10_000_000 })
  const body = 'x'.repeat(240_000)
  const before = await externalBytes()
  const callers = Array.from({ length: 100 }, () => open(t, server))
  for (const { socket, until } of callers) {
    socket.write(`POST /bodies HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    await until(/bytes$/)
  }
  await until(() => server.figures().heldBytes === 0)
  t.equal(server.figures().connections, 100)
  const held = await externalBytes() - before
  t.ok(held < 15_000_000, `${held} bytes in buffers, ${server.figures().heldBytes} accounted`)
  t.equal(bodies.length, 100)
  t.equal(bodies.filter(body => body.deref()).length, 0, 'bodies that are still held')
})

// Guards against responses that are never closed, since Node.js closes only the one whose turn it is.
t.test('nothing is held for pipelined requests whose caller has left', async t => {
  const { server, running, release } = await startServer(t)
  const openResponses = (server as unknown as { _openResponses: Set<unknown> })._openResponses
  for (let i = 0; i < 50; i++) {
    const { socket } = open(t, server)
    const { total } = running
    socket.write(SLOW_GET.repeat(6))
    await until(() => running.total > total)
    socket.destroy()
  }
  await until(() => server.figures().connections === 0)
  t.equal(openResponses.size, 0)
  release()
  await until(() => running.now === 0)
  await nextTurn()
  t.equal(openResponses.size, 0)
})

// Guards against requests whose header takes far more memory than they are accounted with.
t.test('the memory that long headers take is accounted', async t => {
  const { server, running, release } = await startServer(t)
  const count = 100
  let names = ''
  for (let i = 0; names.length < 15_000; i++) names += `${i.toString(36)}:\r\n`
  await externalBytes()
  const before = process.memoryUsage().heapUsed
  for (let i = 0; i < count; i++) open(t, server).socket.write(`GET /slow HTTP/1.1\r\nhost: h\r\n${names}\r\n`)
  await until(() => running.now === count)
  await externalBytes()
  const used = process.memoryUsage().heapUsed - before
  const { heldBytes } = server.figures()
  release()
  // The callers of this test are in the same process.
  t.ok(used - count * 20_000 < 2 * heldBytes, `${used} bytes of heap, ${heldBytes} accounted`)
})

// Guards against header lines after a chunked body, which the parser keeps without an account.
t.test('the memory that long trailers take is accounted', async t => {
  const { server, serverSockets } = await startServer(t)
  const count = 100
  let names = ''
  for (let i = 0; names.length < 15_000; i++) names += `${i.toString(36)}:\r\n`
  const text = `POST /bodies HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n${names}`
  await externalBytes()
  const before = process.memoryUsage().heapUsed
  for (let i = 0; i < count; i++) open(t, server).socket.write(text)
  await until(() => serverSockets.length === count && serverSockets.every(({ bytesRead }) => bytesRead === text.length))
  for (let i = 0; i < text.length / PIECE_BYTES; i++) await nextTurn()
  await externalBytes()
  const used = process.memoryUsage().heapUsed - before
  const { heldBytes } = server.figures()
  // The callers of this test are in the same process.
  t.ok(used - count * 20_000 < 2 * heldBytes, `${used} bytes of heap, ${heldBytes} accounted`)
})

// Guards against answers that wait, without an account, for an earlier one of their connection.
t.test('answers that wait for an earlier one are accounted', async t => {
  const { server, running } = await startServer(t, { maxHeldBytes: 1_000_000 })
  const count = 20
  const before = await externalBytes()
  const callers = Array.from({ length: count }, () => open(t, server))
  for (const { socket } of callers) socket.write(`${SLOW_GET}${LARGE_GET.repeat(3)}`)
  await until(() => running.total === count)
  for (let i = 0; i < 50; i++) await nextTurn()
  const held = await externalBytes() - before
  const { heldBytes } = server.figures()
  t.ok(held < 2_000_000, `${held} bytes in buffers, ${heldBytes} accounted, at most 1000000`)
})

// Guards against closing a connection that waits for this server.
t.test('a connection whose request has been sent in full is not closed for a new one while its key is checked', async t => {
  const { server, running, check } = await startServer(t, { maxConnections: 3 })
  const callers = Array.from({ length: 3 }, () => open(t, server))
  for (const { socket } of callers) socket.write('POST /checked HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\n' + 'x'.repeat(1_000))
  await until(() => running.checking === 3)
  const other = open(t, server)
  other.socket.write(GET)
  await until(() => other.socket.destroyed || other.received() !== '')
  check()
  const outcomes = await Promise.all(callers.map(({ until }) => until(/1000 bytes$/).then(() => 'answered', (err: Error) => err.message)))
  t.strictSame(outcomes, ['answered', 'answered', 'answered'])
})

// Guards against a reset that loses the answer of a slow caller.
t.test('a caller of 1 Mbit/s that is refused receives the answer', async t => {
  const { server, timers } = await startServer(t)
  const { socket, error, until: untilReceived } = open(t, server, { allowHalfOpen: true })
  socket.setNoDelay(true)
  await send(socket, 'POST /refused HTTP/1.1\r\nhost: h\r\ncontent-length: 200000\r\n\r\n')
  for (let timeMs = SEGMENT_MS; timeMs < DISCARD_MS; timeMs += SEGMENT_MS) {
    await send(socket, 'x'.repeat(SEGMENT_BYTES))
    await timers.advance(SEGMENT_MS)
  }
  t.match(await untilReceived(/no such queue$/), /^HTTP\/1\.1 404 /)
  await until(() => socket.readableEnded || socket.destroyed)
  while (socket.bytesWritten < 200_000 && !socket.destroyed) await send(socket, 'x'.repeat(SEGMENT_BYTES))
  t.equal(error(), undefined, 'the connection is not reset while the caller sends its request')
  t.equal(server.figures().connections, 1)
  await timers.advance(DISCARD_MS)
  await until(() => server.figures().connections === 0)
})

// Guards against a limit that a slow caller meets.
t.test('a body of 250 KB at 1 Mbit/s in small segments is read', async t => {
  const { server, timers } = await startServer(t)
  const { socket, until } = open(t, server)
  socket.setNoDelay(true)
  await send(socket, 'POST /bodies HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\ntrailer: x\r\n\r\n')
  for (let sent = 0; sent < 240_000; sent += SEGMENT_BYTES) {
    await send(socket, `${SEGMENT_BYTES.toString(16)};name=value\r\n`)
    await send(socket, 'x'.repeat(SEGMENT_BYTES) + '\r\n')
    await timers.advance(SEGMENT_MS)
  }
  socket.write('0\r\nx: y\r\n\r\n')
  t.match(await until(/bytes$/), /240000 bytes$/)
  socket.write(GET)
  await until(/answer$/)
})

// Guards against a handler that waits for ever for a body that does not come.
t.test('a connection whose caller has left while its key was checked is closed', async t => {
  for (const bytes of [4, 1_000, 100_000]) {
    const { server, timers, running, serverSockets, check } = await startServer(t)
    const { socket } = open(t, server)
    socket.end(`POST /checked HTTP/1.1\r\nhost: h\r\ncontent-length: ${bytes}\r\n\r\n${'x'.repeat(bytes)}`)
    await until(() => running.checking === 1)
    await until(() => serverSockets[0].readableEnded || serverSockets[0].isPaused())
    check()
    await until(() => socket.destroyed)
    await timers.advance(DISCARD_MS)
    await until(() => server.figures().connections === 0)
    t.equal(server.figures().heldBytes, 0, `${bytes} bytes`)
  }
})

// Guards against a server that cannot stop because of such a handler.
t.test('a caller that has left while its key was checked does not keep the server from stopping', async t => {
  const { server, timers, running, serverSockets, check } = await startServer(t)
  const { socket } = open(t, server)
  socket.end(`POST /checked HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\n${'x'.repeat(1_000)}`)
  await until(() => running.checking === 1)
  await until(() => serverSockets[0].readableEnded)
  check()
  const closed = server.close({ timeoutMs: 8_000 })
  await until(() => socket.destroyed)
  await timers.advance(DISCARD_MS)
  await closed
  t.ok(timers.now() < 8_000, 'closed before the timeout')
})

// Guards against closing a connection whose request is in progress, for what its caller has sent ahead.
t.test('a request in progress is answered although its caller has sent the next one and there is no room for it', async t => {
  const { server, running, release } = await startServer(t, { maxHeldBytes: 30_000, maxConnections: 10 })
  const callers = Array.from({ length: 3 }, () => open(t, server))
  for (const { socket } of callers) socket.write(SLOW_GET)
  await until(() => running.now === 3)
  for (const { socket } of callers) socket.write(`POST /bodies HTTP/1.1\r\nhost: h\r\ncontent-length: 6000\r\n\r\n${'x'.repeat(6_000)}`)
  await until(() => server.figures().refusals.get('no-room') === 3)
  release()
  const outcomes = await Promise.all(callers.map(({ until }) => until(/slow/).then(() => 'answered', (err: Error) => err.message)))
  t.strictSame(outcomes, ['answered', 'answered', 'answered'])
})

// Guards against a connection that takes in nothing after a request that the app has not seen.
t.test('a request after one with an invalid host header and a body is answered, or its connection closed', async t => {
  const { server } = await startServer(t)
  const { socket, received } = open(t, server)
  socket.write(`POST /plain HTTP/1.1\r\nhost: a b\r\ncontent-length: 1000\r\n\r\n${'x'.repeat(1_000)}${GET}`)
  await until(() => received() !== '')
  await until(() => socket.readableEnded || /answer$/.test(received()))
  t.match(received(), /^HTTP\/1\.1 [45]\d\d /)
})

// Guards against a request that is dropped by the parser, which stops after one that offers an upgrade.
t.test('a request after the body of a refused one that offers an upgrade is answered, or its connection closed', async t => {
  const { server, serverSockets } = await startServer(t)
  const { socket, received, until: untilReceived } = open(t, server)
  const upgrade = 'connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\nhttp2-settings: AAEA\r\n'
  socket.write(`POST /refused HTTP/1.1\r\nhost: h\r\n${upgrade}content-length: 1100\r\n\r\n${'x'.repeat(1_000)}`)
  await untilReceived(/no such queue/)
  await send(socket, `${'x'.repeat(100)}${GET}`)
  await until(() => socket.destroyed || serverSockets[0].bytesRead === socket.bytesWritten)
  if (!socket.destroyed) socket.write('POST /bodies HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n{}')
  await until(() => socket.destroyed || /2 bytes$/.test(received()))
  t.ok(socket.destroyed || /answer/.test(received()), received())
})

// Guards against kinds of requests that the bounded input does not let through.
t.test('requests of ordinary kinds are answered on one connection', async t => {
  const { server, release } = await startServer(t)
  release()
  const { socket, until: untilReceived, received } = open(t, server)
  const kinds = [
    'HEAD /plain HTTP/1.1\r\nhost: h\r\n\r\n',
    'DELETE /slow HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n{}',
    'GET /slow HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\n{}',
    'GET /plain HTTP/1.1\r\nhost: h\r\nconnection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\nhttp2-settings: AAMAAABkAAQAAP__\r\n\r\n',
    `POST /bodies HTTP/1.1\r\nhost: h\r\ncontent-length: 250000\r\n\r\n${'x'.repeat(250_000)}`,
    'POST /bodies HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\nbody',
    'POST /refused HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody',
    '\r\nGET /plain HTTP/1.1\r\nhost: h\r\n\r\n'
  ]
  let answers = 0
  for (const kind of kinds) {
    socket.write(kind)
    answers++
    await until(() => socket.destroyed || (received().match(/HTTP\/1\.1 [2-5]\d\d/g)?.length ?? 0) >= answers)
    t.equal(received().match(/HTTP\/1\.1 [2-5]\d\d/g)?.length, answers, kind.slice(0, 60))
  }
  // Sent ahead; Node.js drops what follows a request to upgrade.
  const ahead = open(t, server)
  const kindsAhead = kinds.filter(kind => !kind.includes('upgrade: h2c'))
  ahead.socket.write(kindsAhead.join(''))
  await until(() => ahead.socket.destroyed || (ahead.received().match(/HTTP\/1\.1 [2-5]\d\d/g)?.length ?? 0) >= kindsAhead.length)
  t.equal(ahead.received().match(/HTTP\/1\.1 [2-5]\d\d/g)?.length, kindsAhead.length, 'sent ahead')
  socket.write('GET /plain HTTP/1.0\r\n\r\n')
  await untilReceived(/answer$/)
})

// Guards against a request that a stopping server neither runs nor refuses.
t.test('a request whose body is still arriving is answered when the server stops, and the next ones are not run', async t => {
  const { server, timers, running } = await startServer(t)
  const heldBytes = (): number => server.figures().heldBytes
  const { socket, received } = open(t, server)
  socket.write('POST /bodies HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\nxxx')
  await until(() => heldBytes() > 0)
  const headOnly = open(t, server)
  const bodyBytes = heldBytes()
  headOnly.socket.write('POST /bodies HTTP/1.1\r\nhost')
  await until(() => heldBytes() > bodyBytes)
  const idle = open(t, server)
  idle.socket.write(GET)
  await idle.until(/answer$/)
  const closed = server.close({ timeoutMs: 20_000 })
  await timers.advance(600)
  await until(() => idle.socket.readableEnded)
  socket.write('x'.repeat(997) + SLOW_GET)
  headOnly.socket.write(': h\r\ncontent-length: 4\r\n\r\nbody')
  await closed
  t.ok(timers.now() < 20_000, 'closed before the timeout')
  t.match(received(), /connection: close[^]*1000 bytes$/i)
  t.match(headOnly.received(), /connection: close[^]*4 bytes$/i)
  t.equal(running.total, 0)
})

// Guards against listeners that are left with each request.
t.test('requests add no listeners to their connection', async t => {
  const { server } = await startServer(t)
  const warnings: string[] = []
  const note = (warning: Error): void => { warnings.push(warning.name) }
  process.on('warning', note)
  const { socket, received } = open(t, server)
  for (let i = 1; i <= 100; i++) {
    socket.write(i % 2 ? GET : 'POST /bodies HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\nbody')
    await until(() => (received().match(/HTTP\/1\.1 200/g)?.length ?? 0) === i)
  }
  process.off('warning', note)
  t.strictSame(warnings, [])
})
