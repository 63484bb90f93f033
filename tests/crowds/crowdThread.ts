/**
 * Thread that sends what a crowd sends; see `crowd.ts`.
 *
 * @module
 */

import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { setTimeout } from 'node:timers/promises'
import { parentPort, workerData } from 'node:worker_threads'
import type { CrowdOptions, CrowdReport } from './crowd.js'

/** Size of one write, in bytes. */
const WRITE_BYTES = 65_536
/** Time without progress after which a crowd is taken to be stuck, and longest time of sending, in milliseconds. */
const STUCK_MS = 2_000
const MAX_SEND_MS = 30_000
const POLL_PERIOD_MS = 50
const BYTES_PER_MB = 1_000_000

const { host, port, connections, head = '', unit = '', times = 0, end = '', endEvery = 0 } = workerData as CrowdOptions
/** As many units as fit into one write. */
const unitsPerWrite = Math.max(1, Math.floor(WRITE_BYTES / Math.max(1, unit.length)))
const fullWrite = Buffer.from(unit.repeat(Math.min(unitsPerWrite, times)))
const sockets: Socket[] = []
const sending = new Set<Socket>()
let finished = 0

/** Sends all that one connection sends, as fast as the daemon takes it. */
async function send (socket: Socket, index: number): Promise<void> {
  const closed = new AbortController()
  socket.once('close', () => closed.abort())
  const write = async (bytes: Buffer | string): Promise<void> => {
    if (!socket.write(bytes)) await once(socket, 'drain', { signal: closed.signal })
  }
  await once(socket, 'connect', { signal: closed.signal })
  if (head) await write(head)
  for (let left = times; left > 0; left -= unitsPerWrite) {
    await write(left >= unitsPerWrite ? fullWrite : unit.repeat(left))
  }
  if (endEvery && index % endEvery === 0) await write(end)
  while (socket.writableLength > 0) await once(socket, 'drain', { signal: closed.signal })
  finished++
}

function sentBytes (): number {
  return sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength, 0)
}

function report (): CrowdReport {
  return { open: sockets.filter(socket => !socket.destroyed).length, finished, sentMb: Math.round(sentBytes() / BYTES_PER_MB) }
}

for (let index = 0; index < connections; index++) {
  const socket = connect(port, host)
  // The daemon may close a connection at any time.
  socket.on('error', () => {})
  sockets.push(socket)
  sending.add(socket)
  send(socket, index).catch(() => {}).finally(() => sending.delete(socket))
}
const startMs = performance.now()
let progress = { sent: -1, sinceMs: startMs }
while (sending.size > 0 && performance.now() - progress.sinceMs < STUCK_MS && performance.now() - startMs < MAX_SEND_MS) {
  const sent = sentBytes() + sockets.filter(socket => socket.pending).length
  if (sent !== progress.sent) progress = { sent, sinceMs: performance.now() }
  await setTimeout(POLL_PERIOD_MS)
}
parentPort!.postMessage(report())
