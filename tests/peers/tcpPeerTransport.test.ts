/**
 * Guards calls between entry daemons over TCP: answers reach the right call, errors state whether the call may have had an
 * effect, and invalid input ends at most its own connection.
 *
 * @module
 */

import { connect, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { PeerListener } from 'pomelofold/edge/peerListener'
import { TcpPeerTransport } from 'pomelofold/edge/tcpPeerTransport'
import { encodeFrame, FrameDecoder } from 'pomelofold/protocol/framing'
import { PEER_PROTOCOL_VERSION } from 'pomelofold/protocol/peerMessages'
import type { PeerHandlers } from 'pomelofold/seams/peerTransport'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { createServer } from 'node:net'

const TIMEOUT_MS = 10_000
const MEMBERS = new Map([['entry-a', { failureDomain: 'a' }], ['entry-b', { failureDomain: 'b' }]])

/** Creates a listener of entry-a and a transport of entry-b that calls it. */
async function createPair (t: Test, handlers: PeerHandlers) {
  const timers = new SystemTimers()
  const self = { vm: 'entry-a', failureDomain: 'a', incarnation: '1' }
  const listener = new PeerListener({ self, handlers, members: MEMBERS, timers, log: SILENT_LOG, createServer })
  await listener.listen('127.0.0.1', 0)
  const transport = new TcpPeerTransport({
    self: { vm: 'entry-b', failureDomain: 'b', incarnation: '2' },
    address: '127.0.0.1:0',
    members: new Map([['entry-a', { failureDomain: 'a', address: `127.0.0.1:${listener.port}` }]]),
    timers,
    log: SILENT_LOG
  })
  t.teardown(async () => { await transport.close(); await listener.close() })
  return { listener, transport }
}

/** Sends raw bytes and returns the frames that come back until the connection ends. */
async function exchange (port: number, bytes: Buffer): Promise<unknown[]> {
  const socket: Socket = connect(port, '127.0.0.1')
  socket.write(bytes)
  const decoder = new FrameDecoder()
  const frames: unknown[] = []
  for await (const chunk of socket) frames.push(...decoder.push(chunk as Buffer))
  return frames
}

t.test('a call is answered, and its handler gets the identity of the sender from the connection', async t => {
  const { transport } = await createPair(t, { keyedOutcome: async ({ requestId }, from) => ({ outcome: requestId === from.vm ? 'ran' : 'unknown' }) })
  const answer = await transport.call('entry-a', 'keyedOutcome', { key: 'k', requestId: 'entry-b' }, TIMEOUT_MS)
  t.same(answer.unwrapOr(undefined), { outcome: 'ran' })
})

t.test('answers that arrive out of order reach the calls that they belong to', async t => {
  const waiting: Array<() => void> = []
  const { transport } = await createPair(t, {
    keyedOutcome: async ({ requestId }) => {
      if (requestId === 'first') await new Promise<void>(resolve => waiting.push(resolve))
      else waiting.forEach(release => release())
      return { outcome: requestId === 'first' ? 'ran' : 'running' }
    }
  })
  const [first, second] = await Promise.all(['first', 'second'].map(requestId => transport.call('entry-a', 'keyedOutcome', { key: 'k', requestId }, TIMEOUT_MS)))
  t.same([first.unwrapOr(undefined)?.outcome, second.unwrapOr(undefined)?.outcome], ['ran', 'running'])
})

t.test('a call to a peer that does not listen has no effect', async t => {
  const { listener, transport } = await createPair(t, {})
  await listener.close()
  const answer = await transport.call('entry-a', 'fetchManifest', {}, TIMEOUT_MS)
  t.equal(answer.isErr && answer.error.effect, 'none')
})

t.test('a call whose connection ends before the answer may have had an effect', async t => {
  const { listener, transport } = await createPair(t, { fetchManifest: () => { listener.close(); return new Promise(() => {}) } })
  const answer = await transport.call('entry-a', 'fetchManifest', {}, TIMEOUT_MS)
  t.equal(answer.isErr && answer.error.effect, 'unknown')
})

t.test('invalid parameters are refused without effect and without closing the connection', async t => {
  const { transport } = await createPair(t, { keyedOutcome: async () => ({ outcome: 'ran' }) })
  const bad = await transport.call('entry-a', 'keyedOutcome', { key: 1 } as never, TIMEOUT_MS)
  t.equal(bad.isErr && bad.error.effect, 'none')
  t.ok((await transport.call('entry-a', 'keyedOutcome', { key: 'k', requestId: 'r' }, TIMEOUT_MS)).isOk)
})

t.test('a peer with another protocol version is refused with that reason and disconnected', async t => {
  const { listener } = await createPair(t, {})
  const hello = { type: 'hello', protocol: PEER_PROTOCOL_VERSION + 1, vm: 'entry-b', failureDomain: 'b', incarnation: '1' }
  const [frame] = await exchange(listener.port, encodeFrame(hello)) as Array<{ type: string, reason: string }>
  t.equal(frame.type, 'refused')
  t.match(frame.reason, /version/)
})

t.test('a VM that is not in the settings is refused and disconnected', async t => {
  const { listener } = await createPair(t, {})
  const hello = { type: 'hello', protocol: PEER_PROTOCOL_VERSION, vm: 'stranger', failureDomain: 'b', incarnation: '1' }
  const [frame] = await exchange(listener.port, encodeFrame(hello)) as Array<{ type: string }>
  t.equal(frame.type, 'refused')
})

t.test('an oversized or truncated frame closes its own connection and no other', async t => {
  const { listener, transport } = await createPair(t, { keyedOutcome: async () => ({ outcome: 'ran' }) })
  t.same(await exchange(listener.port, Buffer.from([255, 255, 255, 255, 1])), [])
  const socket = connect(listener.port, '127.0.0.1')
  await new Promise(resolve => socket.once('connect', resolve))
  socket.end(Buffer.from([0, 0, 0, 90, 1, 2]))
  t.ok((await transport.call('entry-a', 'keyedOutcome', { key: 'k', requestId: 'r' }, TIMEOUT_MS)).isOk)
})
