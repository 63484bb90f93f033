/** Tests of the routes below `/v1` with callers that stop short of the end of their bodies: a body is held only where a route wants it. */

import { connect, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import type { HttpServer } from 'pomelofold/edge/httpServer'
import { MAX_BODY_BYTES, startRouteServer } from './routeServer.js'

const CROWD = 20
const ANNOUNCED_BYTES = 900_000
const SENT_BYTES = 800_000
/** What the server may hold for the crowd. */
const MAX_HELD_BYTES = 1_000_000

/** Sends a body that stops short of its end. */
function sendPart (t: Test, { port }: HttpServer, head: string): { socket: Socket, received: () => string } {
  const socket = connect(port, '127.0.0.1')
  t.teardown(() => socket.destroy())
  let text = ''
  socket.on('data', bytes => { text += bytes })
  socket.on('error', () => {})
  socket.write(`${head}\r\nhost: h\r\ncontent-length: ${ANNOUNCED_BYTES}\r\n\r\n`)
  socket.write(Buffer.alloc(SENT_BYTES))
  return { socket, received: () => text }
}

const UNWANTED: Array<[string, string, number]> = [
  ['an unknown route', 'POST /v1/none HTTP/1.1', 404],
  ['an unknown method', 'PATCH /v1/jobs HTTP/1.1', 404],
  ['a job that is cancelled', 'DELETE /v1/jobs/a.1 HTTP/1.1', 404],
  ['a drain', 'POST /v1/drain HTTP/1.1', 202],
  ['an unknown service', 'POST /v1/services/none/requests HTTP/1.1', 404],
  ['an unknown class', 'POST /v1/services/readings/requests HTTP/1.1\r\npomelofold-class: none', 400],
  ['an invalid key of a job', `POST /v1/jobs HTTP/1.1\r\nidempotency-key: ${'k'.repeat(257)}`, 400],
  ['a service that accepts less', 'POST /v1/services/short/requests HTTP/1.1', 413]
]
for (const [name, head, status] of UNWANTED) {
  t.test(`bodies for ${name} are not held`, async t => {
    const { server, url } = await startRouteServer(t)
    const crowd = Array.from({ length: CROWD }, () => sendPart(t, server, head))
    const isAnswered = (): boolean => crowd.every(({ socket, received }) => socket.destroyed || /\r\n\r\n/.test(received()))
    let peakBytes = 0
    while (!isAnswered() && peakBytes < CROWD * SENT_BYTES) {
      await new Promise(resolve => setTimeout(resolve, 2))
      peakBytes = Math.max(peakBytes, server.figures().heldBytes)
    }
    t.ok(peakBytes <= MAX_HELD_BYTES, `${peakBytes} bytes held`)
    t.match(crowd[0].received(), new RegExp(`^HTTP/1\\.1 ${status} `))
    t.equal((await fetch(`${url}/v1/status`)).status, 200)
  })
}

t.test('a body within the limit is read by the route that wants it, and one above the service\'s limit is refused', async t => {
  const { url } = await startRouteServer(t)
  const send = (service: string, bytes: number) => fetch(`${url}/v1/services/${service}/requests`, { method: 'POST', body: 'x'.repeat(bytes) })
  t.equal(await (await send('readings', MAX_BODY_BYTES)).text(), `${MAX_BODY_BYTES} bytes`)
  t.equal(await (await send('short', 10)).text(), '10 bytes')
  t.match(await (await send('short', 11)).json(), { status: 413, outcome: 'not-run', faults: [{ path: '(root)' }] })
})
