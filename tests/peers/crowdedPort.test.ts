/**
 * Tests of the port of the peers with others that do not behave. What is held for connections without a hello frame is bounded,
 * and peers are served.
 */

import { connect, createServer, type Socket } from 'node:net'
import t, { type Test } from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { PeerConnection } from 'pomelofold/edge/peerConnection'
import { PeerListener } from 'pomelofold/edge/peerListener'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { encodeFrame, MAX_FRAME_BYTES } from 'pomelofold/protocol/framing'
import { PEER_PROTOCOL_VERSION } from 'pomelofold/protocol/peerMessages'

const HOST = '127.0.0.1'
const TIMEOUT_MS = 10_000
const HELLO_TIMEOUT_MS = 5_000
const CROWD = 300
/** What is sent of a frame that is announced with the largest size. */
const SENT_BYTES = 200_000
/** What is sent of a frame that is announced with the size of a hello frame. */
const SHORT_FRAME_BYTES = 100
/** Bounds of what remains open, or is held, for a crowd. */
const MAX_OPEN = 100
const MAX_OPEN_PER_MEMBER = 20
const MAX_HELD_BYTES = 1_000_000
const MAX_LINES = 110
/** Bound of the answer to a hello frame. */
const MAX_HELLO_ANSWER_BYTES = 100
/** Wrong values of a call, of one byte each. */
const FAULTS = 100_000

const MEMBERS = new Map([['entry-a', { failureDomain: 'a' }], ['entry-b', { failureDomain: 'b' }]])
const HELLO = encodeFrame({ type: 'hello', protocol: PEER_PROTOCOL_VERSION, vm: 'entry-b', failureDomain: 'b', incarnation: '1' })
const STRANGER = encodeFrame({ type: 'hello', protocol: PEER_PROTOCOL_VERSION, vm: 'stranger', failureDomain: 'b', incarnation: '1' })

/** A listener of entry-a on a clock of its own, with the sockets that it has accepted and the lines that it has logged. */
async function startListener (t: Test) {
  const accepted: Socket[] = []
  const lines: string[] = []
  const timers = new ManualTimers()
  const listener = new PeerListener({
    self: { vm: 'entry-a', failureDomain: 'a', incarnation: '1' },
    handlers: { keyedOutcome: async () => ({ outcome: 'ran' }), askEligibility: async () => ({ answer: null }) },
    members: MEMBERS,
    timers,
    log: { event: (_level, name, fields) => { lines.push(`${name} ${JSON.stringify(fields)}`) } },
    createServer: onConnection => createServer(socket => {
      accepted.push(socket)
      onConnection(socket)
    })
  })
  await listener.listen(HOST, 0)
  t.teardown(() => listener.close())
  return { listener, timers, accepted, lines, open: () => accepted.filter(socket => !socket.destroyed) }
}

/** Opens connections one after the other that send `bytes`. */
async function sendCrowd (t: Test, { port }: PeerListener, bytes: Buffer, connections = CROWD): Promise<Socket[]> {
  const sockets: Socket[] = []
  t.teardown(() => { for (const socket of sockets) socket.destroy() })
  for (let i = 0; i < connections; i++) {
    const socket = connect(port, HOST)
    socket.on('error', () => {})
    sockets.push(socket)
    await new Promise(resolve => socket.once('connect', resolve))
    socket.write(bytes)
    socket.resume()
  }
  return sockets
}

/** Waits until all connections of a crowd have been accepted, and each has been read as far as it was sent or has been closed. */
async function untilSettled (accepted: Socket[], sentBytes: number, connections = CROWD): Promise<void> {
  while (accepted.length < connections || accepted.some(socket => !socket.destroyed && socket.bytesRead < sentBytes)) {
    await new Promise(resolve => setTimeout(resolve, 2))
  }
}

/** Opens a connection of entry-b. */
function connectPeer (t: Test, { port }: PeerListener): PeerConnection {
  const self = { vm: 'entry-b', failureDomain: 'b', incarnation: '2' }
  const peer = new PeerConnection({ peer: 'entry-a', self, timers: new SystemTimers(), connect: () => connect(port, HOST) })
  t.teardown(() => peer.close())
  return peer
}

async function checkServed (t: Test, peer: PeerConnection): Promise<void> {
  const answer = await peer.call('keyedOutcome', { key: 'k', requestId: 'r' }, TIMEOUT_MS)
  t.same(answer.unwrapOr(undefined), { outcome: 'ran' })
}

/** Frame that stops short of its end. */
function partOfFrame ({ announcedBytes, sentBytes }: { announcedBytes: number, sentBytes: number }): Buffer {
  const bytes = Buffer.alloc(sentBytes)
  bytes.writeUInt32BE(announcedBytes)
  return bytes
}

t.test('little is held of large frames before the hello, and peers are served beside them', async t => {
  const { listener, accepted, lines, open } = await startListener(t)
  await sendCrowd(t, listener, partOfFrame({ announcedBytes: MAX_FRAME_BYTES, sentBytes: SENT_BYTES }))
  await untilSettled(accepted, SENT_BYTES)
  const heldBytes = open().reduce((sum, { bytesRead }) => sum + bytesRead, 0)
  t.ok(heldBytes <= MAX_HELD_BYTES, `${heldBytes} bytes held`)
  t.match(lines.join('\n'), /"cause":"invalid-hello"/)
  await checkServed(t, connectPeer(t, listener))
})

t.test('few connections without a hello stay open, the newest ones, and no connection of a peer is closed for them', async t => {
  const { listener, accepted, lines, open } = await startListener(t)
  const peer = connectPeer(t, listener)
  await checkServed(t, peer)
  const crowd = await sendCrowd(t, listener, partOfFrame({ announcedBytes: 2 * SHORT_FRAME_BYTES, sentBytes: SHORT_FRAME_BYTES }))
  await untilSettled(accepted, SHORT_FRAME_BYTES, CROWD + 1)
  t.ok(open().length <= MAX_OPEN, `${open().length} open`)
  t.ok(open().some(socket => socket.remotePort === crowd[CROWD - 1].localPort), 'the newest one is open')
  t.match(lines.join('\n'), /"cause":"closed-without-hello"/)
  await checkServed(t, peer)
  t.notOk(peer.ended)
  await checkServed(t, connectPeer(t, listener))
})

t.test('connections without a hello are closed at the end of its time, in few lines', async t => {
  const { listener, timers, accepted, lines, open } = await startListener(t)
  await sendCrowd(t, listener, partOfFrame({ announcedBytes: 2 * SHORT_FRAME_BYTES, sentBytes: SHORT_FRAME_BYTES }))
  await untilSettled(accepted, SHORT_FRAME_BYTES)
  await timers.advance(HELLO_TIMEOUT_MS)
  t.equal(open().length, 0)
  while (lines.length === 0 || accepted.some(socket => !socket.closed)) await new Promise(resolve => setTimeout(resolve, 2))
  await timers.advance(10 * HELLO_TIMEOUT_MS)
  t.match(lines.join('\n'), /"cause":"hello-timeout"/)
  t.ok(lines.length > 0 && lines.length <= MAX_LINES, `${lines.length} lines`)
})

t.test('refused hellos are logged in few lines', async t => {
  const { listener, accepted, lines } = await startListener(t)
  await sendCrowd(t, listener, STRANGER)
  await untilSettled(accepted, STRANGER.length)
  t.match(lines.join('\n'), /"cause":"refused-hello"/)
  t.notMatch(lines.join('\n'), /"cause":"invalid-hello"/)
  t.ok(lines.length > 0 && lines.length <= MAX_LINES, `${lines.length} lines`)
})

t.test('few connections of one member stay open, the newest ones', async t => {
  const { listener, accepted, lines, open } = await startListener(t)
  await sendCrowd(t, listener, HELLO)
  await untilSettled(accepted, HELLO.length)
  await checkServed(t, connectPeer(t, listener))
  t.ok(open().length <= MAX_OPEN_PER_MEMBER, `${open().length} open`)
  t.match(lines.join('\n'), /"cause":"closed-for-member"/)
})

t.test('a cell of dozens of peers that connect at once meets no limit', async t => {
  const { listener, lines } = await startListener(t)
  const peers = Array.from({ length: 8 }, () => connectPeer(t, listener))
  await sendCrowd(t, listener, Buffer.alloc(0), 50)
  await Promise.all(peers.map(peer => checkServed(t, peer)))
  t.notOk(peers.some(peer => peer.ended))
  t.same(lines, [])
})

// Guards against a fault for each wrong value, whose text exceeds a frame: the answer cannot be encoded, and the process ends.
t.test('a call with very many faults is answered', async t => {
  const { listener } = await startListener(t)
  const peer = connectPeer(t, listener)
  const rejections: unknown[] = []
  const onRejection = (err: unknown): void => { rejections.push(err) }
  process.on('unhandledRejection', onRejection)
  t.teardown(() => process.off('unhandledRejection', onRejection))
  const workers = new Array(FAULTS).fill(0) as unknown as string[]
  const call = peer.call('askEligibility', { step: 's', workers, timeoutMs: 1 }, TIMEOUT_MS)
  const ended = new Promise(resolve => process.once('unhandledRejection', resolve))
  const answer = await Promise.race([call, ended])
  t.same(rejections, [], 'the process lives')
  t.match(answer, { isErr: true })
  await checkServed(t, connectPeer(t, listener))
})

// Guards against an answer that repeats what the caller sent, so that it exceeds a frame and the process ends.
t.test('a call of a method with a very long name is answered, or its connection closed', async t => {
  const { listener, accepted } = await startListener(t)
  const rejections: unknown[] = []
  const onRejection = (err: unknown): void => { rejections.push(err) }
  process.on('unhandledRejection', onRejection)
  t.teardown(() => process.off('unhandledRejection', onRejection))
  const call = (method: string): Buffer => encodeFrame({ type: 'call', id: 1, method, params: 0 })
  const frame = call('x'.repeat(MAX_FRAME_BYTES - call('x'.repeat(100_000)).length + 100_000))
  const [socket] = await sendCrowd(t, listener, HELLO, 1)
  while (socket.bytesRead === 0) await new Promise(resolve => setTimeout(resolve, 2))
  socket.write(frame)
  const answered = (): boolean => socket.bytesRead > MAX_HELLO_ANSWER_BYTES
  while (rejections.length === 0 && !accepted[0].destroyed && !answered()) await new Promise(resolve => setTimeout(resolve, 2))
  t.same(rejections, [], 'the process lives')
  await checkServed(t, connectPeer(t, listener))
})
