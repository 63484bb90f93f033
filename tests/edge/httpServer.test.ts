/**
 * Tests of the shutdown of the HTTP server: a request that a caller has already sent must not be lost when the server
 * closes idle connections.
 */

import { once } from 'node:events'
import { connect } from 'node:net'
import { Hono } from 'hono'
import t from 'tap'
import { HttpServer } from 'pomelofold/edge/httpServer'

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
  const closed = server.close()
  await closed
  t.match(received, /200 OK[^]*whole$/)
})

t.test('a server that stops accepts no new connections', async t => {
  const server = new HttpServer({ address: '127.0.0.1:0' })
  await server.listen(new Hono().get('/', ctx => ctx.text('whole')))
  const { port } = server
  const closed = server.close()
  const socket = connect(port, '127.0.0.1')
  const [err] = await once(socket, 'error')
  t.equal(err.code, 'ECONNREFUSED')
  await closed
})
