/**
 * Tests of the HTTP server with callers that do not behave. What it holds for them is bounded, and the requests of others are
 * answered.
 */

import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { Hono, type Context } from 'hono'
import t, { type Test } from 'tap'
import { HttpServer, type HttpServerOptions } from 'pomelofold/edge/httpServer'
import { readBody } from 'pomelofold/seams/requestBody'
import { ManualPromise } from 'pomelofold/utils/manualPromise'

const MAX_BODY_BYTES = 1_000
/** More than the buffers of both sockets take. */
const LARGE_ANSWER_BYTES = 32_000_000
const CHUNKED_HEAD = 'POST /bodies HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
const GET = 'GET /plain HTTP/1.1\r\nhost: h\r\n\r\n'
const SLOW_GET = 'GET /slow HTTP/1.1\r\nhost: h\r\n\r\n'

/** Server with a route that reads its body, one that does not, and one whose answers wait until they are released. */
async function startServer (t: Test, options: Partial<HttpServerOptions> = {}) {
  const server = new HttpServer({ address: '127.0.0.1:0', ...options })
  t.teardown(() => server.close({ timeoutMs: 0 }))
  const released = new ManualPromise()
  const running = { now: 0, most: 0, total: 0 }
  const app = new Hono()
  const answerBody = async (ctx: Context): Promise<Response> => {
    const body = await readBody(ctx, MAX_BODY_BYTES)
    return body.isErr ? ctx.text(body.error, body.error === 'too-large' ? 413 : 503) : ctx.text(`${body.value.length} bytes`)
  }
  app.post('/bodies', answerBody)
  // A route that checks the caller's key before it reads the body.
  app.post('/checked', async ctx => {
    running.total++
    await released.promise
    return answerBody(ctx)
  })
  app.all('/large-later', async ctx => {
    running.total++
    await released.promise
    return ctx.text('x'.repeat(LARGE_ANSWER_BYTES))
  })
  app.all('/plain', ctx => ctx.text('answer'))
  app.all('/large', ctx => ctx.text('x'.repeat(LARGE_ANSWER_BYTES)))
  app.all('/slow', async (ctx: Context) => {
    running.most = Math.max(running.most, ++running.now)
    running.total++
    await released.promise
    running.now--
    return ctx.text('slow')
  })
  await server.listen(app)
  return { server, running, release: () => released.resolve() }
}

/** A connection that collects what it receives. */
function open (t: Test, { port }: HttpServer): { socket: Socket, received: () => string, until: (pattern: RegExp) => Promise<string> } {
  const socket = connect(port, '127.0.0.1')
  t.teardown(() => socket.destroy())
  let text = ''
  socket.on('data', bytes => { text += bytes })
  socket.on('error', () => {})
  const untilReceived = async (pattern: RegExp): Promise<string> => {
    await until(() => pattern.test(text) || socket.destroyed)
    if (!pattern.test(text)) throw new Error(`closed after ${JSON.stringify(text)}`)
    return text
  }
  return { socket, received: () => text, until: untilReceived }
}

/** Waits until a condition holds. */
async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 2))
}

t.test('a body within the limit is read, in one piece or in chunks of one byte', async t => {
  const { server } = await startServer(t)
  const { socket, until } = open(t, server)
  socket.write(`POST /bodies HTTP/1.1\r\nhost: h\r\ncontent-length: ${MAX_BODY_BYTES}\r\n\r\n${'x'.repeat(MAX_BODY_BYTES)}`)
  await until(/1000 bytes$/)
  socket.write(`${CHUNKED_HEAD}${'1\r\nx\r\n'.repeat(MAX_BODY_BYTES - 1)}0\r\n\r\n`)
  await until(/999 bytes$/)
})

t.test('a body that is too large by its header is refused before it is sent', async t => {
  const { server } = await startServer(t)
  const { socket, until, received } = open(t, server)
  socket.write(`POST /bodies HTTP/1.1\r\nhost: h\r\ncontent-length: ${MAX_BODY_BYTES + 1}\r\n\r\n`)
  await once(socket, 'end')
  t.match(received(), /^HTTP\/1\.1 413 [^]*connection: close[^]*too-large$/i)
  t.equal(server.figures().refusals.get('body-too-large'), 1)
  t.ok(await until(/413/))
})

t.test('a chunked body that is too large is refused although it does not end', async t => {
  const { server } = await startServer(t)
  const { socket, received } = open(t, server)
  socket.write(CHUNKED_HEAD + `${MAX_BODY_BYTES.toString(16)}\r\n${'x'.repeat(MAX_BODY_BYTES)}\r\n`.repeat(2))
  await once(socket, 'end')
  t.match(received(), /^HTTP\/1\.1 413 [^]*connection: close/i)
})

t.test('a request that needs no body is answered before its body has come, and its connection is closed', async t => {
  const { server } = await startServer(t)
  for (const head of ['content-length: 50000000', 'transfer-encoding: chunked']) {
    const { socket, received } = open(t, server)
    socket.write(`POST /plain HTTP/1.1\r\nhost: h\r\n${head}\r\n\r\n`)
    await once(socket, 'end')
    t.match(received(), /^HTTP\/1\.1 200 [^]*connection: close[^]*answer$/i)
  }
})

t.test('the connection of a request without a body is used again, whether its answer comes at once or later', async t => {
  const { server, release } = await startServer(t)
  const { socket, until } = open(t, server)
  release()
  socket.write(GET)
  await until(/answer$/)
  socket.write('POST /slow HTTP/1.1\r\nhost: h\r\n\r\n')
  await until(/slow$/)
  socket.write(GET)
  await until(/slow[^]*answer$/)
})

t.test('the connection of a request with a small body that was not needed is used again', async t => {
  const { server } = await startServer(t)
  const { socket, until } = open(t, server)
  socket.write('POST /plain HTTP/1.1\r\nhost: h\r\ncontent-length: 4\r\n\r\n')
  await until(/answer$/)
  socket.write(`body${GET}`)
  t.match(await until(/answer[^]*answer$/), /^HTTP\/1\.1 200 [^]*HTTP\/1\.1 200 /)
})

t.test('a caller that waits for 100 Continue is told to send a body that is wanted', async t => {
  const { server } = await startServer(t)
  const { socket, until } = open(t, server)
  socket.write('POST /bodies HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 4\r\n\r\n')
  await until(/^HTTP\/1\.1 100 /)
  socket.write('body')
  t.match(await until(/4 bytes$/), /HTTP\/1\.1 200 /)
})

t.test('a caller that waits for 100 Continue is refused without it when its body is not wanted', async t => {
  const { server } = await startServer(t)
  const { socket, received } = open(t, server)
  socket.write('POST /bodies HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\ncontent-length: 2000\r\n\r\n')
  await once(socket, 'end')
  t.match(received(), /^HTTP\/1\.1 413 /)
})

t.test('a request with an unknown expectation or without a host header is refused, and its connection is closed', async t => {
  const { server } = await startServer(t)
  for (const header of ['host: h\r\nexpect: more', 'x-none: h']) {
    const { socket, received } = open(t, server)
    socket.write(`GET /plain HTTP/1.1\r\n${header}\r\n\r\n`.repeat(5_000))
    await once(socket, 'close')
    t.match(received(), /^HTTP\/1\.1 400 [^]*"outcome":"not-run"/)
    t.equal(received().match(/HTTP\/1\.1/g)?.length, 1)
  }
})

t.test('requests that are sent ahead wait for the answers to earlier ones, and are answered in order', async t => {
  const { server, running, release } = await startServer(t)
  const { socket, until: untilReceived } = open(t, server)
  const count = 500
  socket.write('GET /slow HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(count) + GET)
  await until(() => running.total > 0)
  const { heldBytes } = server.figures()
  t.ok(running.most < 20, `${running.most} at once`)
  t.ok(heldBytes < 250_000, `${heldBytes} bytes`)
  release()
  t.equal((await untilReceived(/answer$/)).match(/slow/g)?.length, count)
})

t.test('a crowd of requests sent ahead whose answers are not read keeps no other caller from being answered', async t => {
  const { server } = await startServer(t)
  const crowd = Array.from({ length: 20 }, () => connect(server.port, '127.0.0.1').on('error', () => {}).pause())
  t.teardown(() => { for (const socket of crowd) socket.destroy() })
  for (const socket of crowd) socket.write(GET.repeat(20_000))
  await until(() => server.figures().connections === crowd.length)
  const { socket, until: untilReceived } = open(t, server)
  socket.write(GET)
  t.match(await untilReceived(/answer$/), /200 OK/)
})

t.test('connections that hold bodies without progress are closed for memory, and another caller is served', async t => {
  const { server } = await startServer(t, { maxHeldBytes: 200_000, maxConnections: 20 })
  const stalled = Array.from({ length: 18 }, () => open(t, server))
  for (const { socket } of stalled) socket.write(`${CHUNKED_HEAD}3e0\r\n${'x'.repeat(0x3e0)}`)
  await until(() => (server.figures().refusals.get('closed-for-memory') ?? 0) > 0 || server.figures().connections === 18)
  const { socket, until: untilReceived } = open(t, server)
  socket.write('POST /bodies HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nwhole')
  await untilReceived(/5 bytes$/)
  t.ok(server.figures().heldBytes <= 200_000)
})

t.test('a request for which there is no room beside those in progress is refused as not run', async t => {
  const { server, running, release } = await startServer(t, { maxHeldBytes: 20_000, maxConnections: 10 })
  for (let i = 0; i < 2; i++) open(t, server).socket.write('GET /slow HTTP/1.1\r\nhost: h\r\n\r\n')
  await until(() => running.now === 2)
  const { socket, received } = open(t, server)
  socket.write(GET)
  await once(socket, 'end')
  t.match(received(), /^HTTP\/1\.1 503 [^]*retry-after: 1[^]*"outcome":"not-run"/i)
  release()
  await until(() => server.figures().heldBytes === 0)
  const again = open(t, server)
  again.socket.write(GET)
  await again.until(/answer$/)
})

// Guards against answers that are held, without an account, on connections that take in no more.
t.test('an answer that is not read and for which there is no room is given up, whether or not its connection takes further input', async t => {
  for (const length of [0, 50_000_000]) {
    const { server } = await startServer(t, { maxHeldBytes: 30_000, maxConnections: 10 })
    const { socket } = open(t, server)
    socket.pause()
    socket.write(`POST /large HTTP/1.1\r\nhost: h\r\ncontent-length: ${length}\r\n\r\n`)
    await until(() => server.figures().refusals.get('no-room') === 1 || socket.bytesRead > 0)
    const other = open(t, server)
    other.socket.write(GET)
    await other.until(/answer$/)
    t.equal(server.figures().connections, 1, `content-length: ${length}`)
    t.equal(server.figures().refusals.get('no-room'), 1)
  }
})

// Guards against closing a connection whose request is in progress, for its body.
t.test('a request whose key is checked is refused when there is no room for its body', async t => {
  const { server, running, release } = await startServer(t, { maxHeldBytes: 9_000, maxConnections: 10 })
  const { socket, until: untilReceived } = open(t, server)
  const ended = once(socket, 'end')
  socket.write('POST /checked HTTP/1.1\r\nhost: h\r\ncontent-length: 1000\r\n\r\n')
  await until(() => running.total === 1)
  socket.write('x'.repeat(1_000))
  const other = open(t, server)
  other.socket.write(GET)
  await once(other.socket, 'end')
  t.match(other.received(), /^HTTP\/1\.1 503 /)
  release()
  t.match(await untilReceived(/no-room$/), /^HTTP\/1\.1 503 [^]*connection: close/i)
  await ended
  t.equal(server.figures().refusals.get('no-room'), 2)
})

// Guards against closing a connection whose request is in progress, for what its caller has sent ahead.
t.test('a request in progress is answered whatever its caller has sent ahead, and what does not fit does not run', async t => {
  // The first piece of what is sent ahead does not fit, or the second one, for which the connection has been paused.
  for (const maxHeldBytes of [9_000, 80_000]) {
    const { server, running, release } = await startServer(t, { maxHeldBytes, maxConnections: 10 })
    const { socket, until: untilReceived, received } = open(t, server)
    const ended = once(socket, 'end')
    socket.write(SLOW_GET)
    await until(() => running.now === 1)
    const sent = new Promise(resolve => socket.write(SLOW_GET.repeat(500_000), resolve))
    await until(() => server.figures().refusals.get('no-room') === 1)
    await sent
    t.ok(server.figures().heldBytes <= maxHeldBytes)
    release()
    t.match(await untilReceived(/slow$/), /connection: close/i)
    await ended
    t.equal(received().match(/HTTP\/1\.1/g)?.length, 1)
    t.equal(running.total, 1)
  }
})

// Guards against answers that are held, without an account, after requests that were sent ahead have been given up.
t.test('an answer that is not read is given up when there is no room for it, whatever its caller has sent ahead', async t => {
  const { server, running, release } = await startServer(t, { maxHeldBytes: 30_000, maxConnections: 10 })
  const { socket } = open(t, server)
  socket.pause()
  socket.write('GET /large-later HTTP/1.1\r\nhost: h\r\n\r\n')
  await until(() => running.total === 1)
  socket.write(GET.repeat(2_000))
  await until(() => server.figures().refusals.get('no-room') === 1)
  release()
  const other = open(t, server)
  other.socket.write(GET)
  await other.until(/answer$/)
  t.equal(server.figures().connections, 1)
  t.equal(server.figures().refusals.get('no-room'), 2)
})

t.test('a new connection is accepted in place of one that sends no request', async t => {
  const { server } = await startServer(t, { maxConnections: 5 })
  const silent = Array.from({ length: 5 }, () => open(t, server))
  for (const { socket } of silent) socket.write('GET /plain HTTP/1.1\r\nhost:')
  await until(() => server.figures().connections === 5)
  const { socket, until: untilReceived } = open(t, server)
  socket.write(GET)
  await untilReceived(/answer$/)
  t.equal(server.figures().refusals.get('closed-for-connections'), 1)
  t.equal(server.figures().connections, 5)
})

t.test('input after the last answer is discarded without being parsed', async t => {
  const { server } = await startServer(t)
  const { socket, received } = open(t, server)
  socket.write(`no HTTP\r\n\r\n${GET.repeat(1_000)}`)
  await once(socket, 'end')
  t.equal(received().match(/HTTP\/1\.1 \d+/g)?.join(), 'HTTP/1.1 400')
})

t.test('what cannot be parsed after a request does not take the place of its answer', async t => {
  const { server, running, release } = await startServer(t)
  const { socket, received } = open(t, server)
  socket.write('GET /slow HTTP/1.1\r\nhost: h\r\n\r\nno HTTP\r\n\r\n')
  await until(() => running.now === 1)
  release()
  await once(socket, 'end')
  t.match(received(), /^HTTP\/1\.1 200 [^]*slow$/)
  t.equal(received().match(/HTTP\/1\.1 \d+/g)?.length, 1)
})

t.test('nothing is held for connections that have ended', async t => {
  const { server } = await startServer(t)
  for (const text of [`${CHUNKED_HEAD}5\r\nbo`, GET.repeat(50), 'GET /plain HTTP/1.1\r\nhost:', 'GET /slow HTTP/1.1\r\nhost: h\r\n\r\n']) {
    const { socket } = open(t, server)
    socket.write(text)
    await until(() => server.figures().connections === 1)
    socket.destroy()
    await until(() => server.figures().connections === 0)
    t.equal(server.figures().heldBytes, 0)
  }
})
