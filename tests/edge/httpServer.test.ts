/**
 * Tests of the shutdown of the HTTP server: a request that a caller has already sent must not be lost when the server
 * closes idle connections, and callers that keep their connections busy must not keep the server from stopping.
 */

import { EventEmitter, once } from 'node:events'
import { connect } from 'node:net'
import { setTimeout } from 'node:timers/promises'
import { Hono } from 'hono'
import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { HttpServer } from 'pomelofold/edge/httpServer'

/** Longer than any test, so that connections are closed only because their requests were answered. */
const CLOSE_TIMEOUT_MS = 60_000
const REQUEST = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n'

t.test('a request in transit on an open connection is answered when the server stops', async t => {
  const server = new HttpServer({ address: '127.0.0.1:0' })
  await server.listen(new Hono().get('/', ctx => ctx.text('whole')))
  const socket = connect(server.port, '127.0.0.1')
  let received = ''
  socket.on('data', bytes => { received += bytes })
  socket.write(REQUEST)
  while (!received.includes('whole')) await once(socket, 'data')
  received = ''
  socket.write(REQUEST)
  const closed = server.close({ timeoutMs: CLOSE_TIMEOUT_MS })
  await closed
  t.match(received, /200 OK[^]*whole$/)
})

t.test('a server that stops accepts no new connections', async t => {
  const server = new HttpServer({ address: '127.0.0.1:0' })
  await server.listen(new Hono().get('/', ctx => ctx.text('whole')))
  const { port } = server
  const closed = server.close({ timeoutMs: CLOSE_TIMEOUT_MS })
  const socket = connect(port, '127.0.0.1')
  const [err] = await once(socket, 'error')
  t.equal(err.code, 'ECONNREFUSED')
  await closed
})

t.test('a server that stops ends connections that are never idle, with an answer that says so', async t => {
  const server = new HttpServer({ address: '127.0.0.1:0' })
  const answerMs = 20
  await server.listen(new Hono().get('/', async ctx => { await setTimeout(answerMs); return ctx.text('whole') }))
  const socket = connect(server.port, '127.0.0.1')
  let answers = ''
  socket.on('data', bytes => {
    answers += bytes
    if (answers.endsWith('whole')) socket.write(REQUEST)
  })
  socket.on('error', () => {})
  socket.write(REQUEST)
  while (!answers.includes('whole')) await once(socket, 'data')
  answers = ''
  await server.close({ timeoutMs: CLOSE_TIMEOUT_MS })
  t.match(answers, /connection: close[^]*whole$/i)
  t.equal(answers.split('whole').length, 2, 'one answer after the server began to stop')
})

t.test('a request that is never answered does not keep the server from stopping', async t => {
  const timers = new ManualTimers()
  const server = new HttpServer({ address: '127.0.0.1:0', timers })
  const received = new EventEmitter()
  await server.listen(new Hono().get('/', () => { received.emit('request'); return new Promise<Response>(() => {}) }))
  const socket = connect(server.port, '127.0.0.1')
  socket.on('error', () => {})
  socket.write(REQUEST)
  await once(received, 'request')
  const closed = server.close({ timeoutMs: CLOSE_TIMEOUT_MS })
  await timers.advance(CLOSE_TIMEOUT_MS - 1)
  t.equal(server.figures().connections, 1)
  await timers.advance(1)
  await closed
  t.ok(socket.destroyed || await once(socket, 'close'))
})
