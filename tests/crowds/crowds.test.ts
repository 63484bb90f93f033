/**
 * Crowds of callers that do not behave, against one process of the deployed program with lowered limits. The process must
 * live and stay within its limits, and an ordinary caller must be served while the connections of the crowd are open.
 */

import { on, once } from 'node:events'
import { mkdtempSync } from 'node:fs'
import { connect, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout } from 'node:timers/promises'
import t, { type Test } from 'tap'
import { buildProgram, SoakCell, type ProcessLimits, type SoakDaemon } from '../soak/soakCell.js'
import { Crowd, type CrowdOptions } from './crowd.js'
import { JOB_BODY, newJobId, submitAndQuery } from './ordinaryCaller.js'
import { ProcessWatch } from './processWatch.js'

/** Limits of the process. */
const LIMITS: ProcessLimits = { heapMb: 90, memoryMb: 200, maxFds: 2_000 }
/** Limits of the process when its descriptors are what a crowd uses up. */
const FEW_FDS: ProcessLimits = { ...LIMITS, maxFds: 500 }
/** Descriptors that are reserved for files. */
const FILE_FDS = 200
/** Default limit of a body, in bytes. */
const MAX_BODY_BYTES = 262_144
const LARGE_CHUNK_BYTES = 32_768
/** Chunks of a caller with a slow link, and pause after each, in milliseconds. */
const SMALL_CHUNK_BYTES = 100
const SMALL_CHUNK_PAUSE_MS = 1
/** Times that the caller that waits for the cell's start sends a call. */
const START_ATTEMPTS = 60
const LISTENING_EVENT = 'event=daemon.listening'
const SERVED = { submitted: 200, queried: 200 }
const JOB_PATH = `/quick/${'0'.repeat(16)}`
const LAST_CHUNK = '0\r\n\r\n'
/** Addresses at which the platform calls. */
const PLATFORM_ADDRESSES = [
  { name: 'readiness', to: 'ready', path: '/api/readiness' },
  { name: 'metrics', to: 'metrics', path: '/metrics' }
] as const

const dir = mkdtempSync(join(tmpdir(), 'pomelofold-crowds-'))
let cells = 0
buildProgram()

/** A chunk of a body. */
function chunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

function postHead ({ path = JOB_PATH, framing = 'transfer-encoding: chunked' } = {}): string {
  return `POST ${path} HTTP/1.1\r\nhost: cell\r\n${framing}\r\n\r\n`
}

/** Starts a cell of one daemon, which serves when this returns. */
async function startCell (t: Test, limits: ProcessLimits): Promise<{ cell: SoakCell, daemon: SoakDaemon }> {
  const index = cells++
  const cell = new SoakCell({
    dir: join(dir, String(index)), networkPrefix: `127.${130 + index}.${process.pid % 250}`, seed: 1, deadlyJobs: false, teams: false, limits
  })
  t.teardown(() => cell.close())
  await cell.start({ daemons: 1, workers: 2 })
  const [daemon] = cell.daemons
  await untilListening(daemon)
  t.match(await submitAndQuery(cell.address(daemon), { maxAttempts: START_ATTEMPTS }), SERVED, 'the cell serves before the crowd comes')
  return { cell, daemon }
}

/** Waits until a daemon that has just been started listens, or has ended. */
async function untilListening ({ process }: SoakDaemon): Promise<void> {
  let log = ''
  for await (const bytes of on(process!.stdout!, 'data', { close: ['end'] })) {
    log += bytes
    if (log.includes(LISTENING_EVENT)) return
  }
}

/** A crowd, and the daemon to which it is sent. */
interface CrowdCase extends Omit<CrowdOptions, 'host' | 'port'> {
  /** Address of the daemon to which the crowd connects. */
  to?: 'front' | 'ready' | 'metrics'
  limits?: ProcessLimits
  /** Number of times that the ordinary caller sends a call at most. */
  maxAttempts?: number
}

/** Sends a crowd to a new daemon, and checks the daemon and an ordinary call while the crowd's connections are open. */
async function checkCrowd (t: Test, { to = 'front', limits = LIMITS, maxAttempts, ...sent }: CrowdCase): Promise<void> {
  const { cell, daemon } = await startCell(t, limits)
  const { pid } = daemon.process!
  const watch = new ProcessWatch({ pid: pid! })
  t.teardown(() => watch.close())
  const crowd = await Crowd.send({ ...cell.address(daemon, to), ...sent })
  t.teardown(() => crowd.close())
  await watch.untilIdle()
  const ordinary = await submitAndQuery(cell.address(daemon), { maxAttempts })
  watch.sample()
  const { peakMb, peakFds, peakSockets } = watch
  t.comment(JSON.stringify({ ...crowd.report, ...ordinary, peakMb, peakFds, peakSockets, exits: cell.violations }))
  t.same(cell.violations, [], 'the process lives')
  t.equal(daemon.process?.pid, pid)
  t.ok(peakMb <= limits.memoryMb, `${peakMb} MB resident, of ${limits.memoryMb}`)
  t.ok(peakFds <= limits.maxFds, `${peakFds} descriptors, of ${limits.maxFds}`)
  t.ok(peakSockets <= limits.maxFds - FILE_FDS, `${peakSockets} sockets, of ${limits.maxFds - FILE_FDS}`)
  t.match(ordinary, SERVED, 'an ordinary caller is served')
}

const announced = { head: postHead({ framing: 'content-length: 50000000' }), unit: 'x'.repeat(LARGE_CHUNK_BYTES), times: 250 }
const chunked = { head: postHead(), unit: chunk('x'.repeat(LARGE_CHUNK_BYTES)), times: 250 }
const oneByteChunks = { head: postHead(), unit: chunk('x'), times: 250_000 }

// Guards against bodies that are held whole, each inside the limit, without a limit of their sum.
t.test('chunked bodies that stop short of their end', t =>
  checkCrowd(t, { connections: 1_000, ...chunked, times: MAX_BODY_BYTES / LARGE_CHUNK_BYTES, end: LAST_CHUNK, endEvery: 10 }))

// Guards against the memory that each chunk of a body takes, however small.
t.test('chunked bodies in chunks of one byte', t => checkCrowd(t, { connections: 5, ...oneByteChunks }))

// Guards against reading a body whose announced length is over the limit.
t.test('bodies far over the limit by their content-length', t => checkCrowd(t, { connections: 50, ...announced }))

// Guards against reading a chunked body to its end before its size is compared with the limit.
t.test('chunked bodies far over the limit', t => checkCrowd(t, { connections: 50, ...chunked, end: LAST_CHUNK, endEvery: 10 }))

// Guards against serving requests of a connection whose answers are not taken.
t.test('GETs sent ahead with their answers unread', t =>
  checkCrowd(t, { connections: 50, unit: `GET ${JOB_PATH} HTTP/1.1\r\nhost: cell\r\n\r\n`, times: 20_000 }))

// Guards against holding requests with bodies that wait for earlier answers.
t.test('POSTs sent ahead with their answers unread', t =>
  checkCrowd(t, { connections: 300, unit: `${postHead({ framing: `content-length: ${JOB_BODY.length}` })}${JOB_BODY}`, times: 2_000 }))

// Guards against holding refusals that are ready at once, and which nobody takes.
t.test('POSTs to no queue sent ahead with their answers unread', t =>
  checkCrowd(t, { connections: 600, unit: `${postHead({ path: '/none', framing: 'content-length: 2' })}{}`, times: 2_000 }))

// Guards against requests that are answered before the app sees them, with no limit of the answers held.
t.test('requests without a Host header sent ahead with their answers unread', t =>
  checkCrowd(t, { connections: 100, unit: 'GET / HTTP/1.1\r\n\r\n', times: 50_000 }))

// Guards against a process whose descriptors are all taken by callers that send no request.
t.test('half headers on more connections than there are descriptors', t =>
  checkCrowd(t, { limits: FEW_FDS, maxAttempts: 1, connections: 600, head: `GET ${JOB_PATH} HTTP/1.1\r\nhost: ce` }))

for (const { name, to, path } of PLATFORM_ADDRESSES) {
  // Guards against bodies that are held by an address that takes none.
  t.test(`chunked bodies far over the limit at the ${name} address`, t =>
    checkCrowd(t, { to, connections: 50, ...chunked, head: postHead({ path }) }))

  // Guards against the memory that each chunk of a body takes at an address that takes no bodies.
  t.test(`chunked bodies in chunks of one byte at the ${name} address`, t =>
    checkCrowd(t, { to, connections: 5, ...oneByteChunks, head: postHead({ path }) }))

  // Guards against serving requests of a connection whose answers are not taken.
  t.test(`GETs sent ahead at the ${name} address with their answers unread`, t =>
    checkCrowd(t, { to, connections: 200, unit: `GET ${path} HTTP/1.1\r\nhost: cell\r\n\r\n`, times: 20_000 }))

  // Guards against an address beside the callers' one that takes all descriptors of the process.
  t.test(`half headers at the ${name} address on more connections than there are descriptors`, t =>
    checkCrowd(t, { to, limits: FEW_FDS, maxAttempts: 1, connections: 600, head: `GET ${path} HTTP/1.1\r\nhost: ce` }))
}

/** A submission of a job of `steps` steps with 10,000 tasks each, which no worker may run. */
function manyTasks (steps: number): string {
  const step = { task_count: 10_000, cpu: 100, mem_mb: 10, required_label: 'none' }
  const body = JSON.stringify({ spec: 'many', steps: Array.from({ length: steps }, () => step) })
  return `${postHead({ path: `/quick/${newJobId()}`, framing: `content-length: ${body.length}` })}${body}`
}

// Guards against one job inside the limit of its body whose tasks take all memory of each process that schedules.
t.test('a job of 500,000 tasks', t => checkCrowd(t, { connections: 1, head: manyTasks(50) }))

// Guards against jobs that only together have more tasks than a process can hold.
t.test('jobs that together have 600,000 tasks', t =>
  checkCrowd(t, { connections: 1, head: Array.from({ length: 15 }, () => manyTasks(4)).join('') }))

/** Reads the statuses of the next `count` answers on a connection, or of fewer if it ends. */
async function readStatuses (socket: Socket, count: number): Promise<string[]> {
  let text = ''
  let statuses: string[] = []
  for await (const bytes of socket) {
    text += bytes
    statuses = [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status)
    if (statuses.length >= count) break
  }
  return statuses
}

// Guards against a limit that an ordinary caller with a slow link meets.
t.test('a body near the limit in small chunks over a slow link is served', async t => {
  const { cell, daemon } = await startCell(t, LIMITS)
  const { host, port } = cell.address(daemon)
  const step = { task_count: 1, cpu: 100, mem_mb: 10, required_label: 'a'.padEnd(1_100) }
  const body = JSON.stringify({ spec: 'x'.repeat(4_000), steps: Array.from({ length: 200 }, () => step) })
  t.ok(body.length > 230_000 && body.length < MAX_BODY_BYTES)
  const socket = connect(port, host)
  t.teardown(() => { socket.destroy() })
  await once(socket, 'connect')
  socket.write(postHead({ path: `/quick/${newJobId()}` }))
  for (let at = 0; at < body.length; at += SMALL_CHUNK_BYTES) {
    await new Promise(resolve => { socket.write(chunk(body.slice(at, at + SMALL_CHUNK_BYTES)), resolve) })
    await setTimeout(SMALL_CHUNK_PAUSE_MS)
  }
  socket.write(LAST_CHUNK)
  t.same(await readStatuses(socket, 1), ['200'])
  t.same(cell.violations, [])
})

// Guards against a limit of requests sent ahead that refuses an ordinary caller, or answers it out of order.
t.test('a few requests sent ahead by an ordinary caller are answered in order', async t => {
  const { cell, daemon } = await startCell(t, LIMITS)
  const { host, port } = cell.address(daemon)
  const socket = connect(port, host)
  t.teardown(() => { socket.destroy() })
  await once(socket, 'connect')
  socket.write([
    `GET /quick/${newJobId()} HTTP/1.1\r\nhost: cell\r\n\r\n`,
    `${postHead({ path: `/quick/${newJobId()}`, framing: `content-length: ${JOB_BODY.length}` })}${JOB_BODY}`,
    'GET /no-such-queue/ HTTP/1.1\r\nhost: cell\r\n\r\n'
  ].join(''))
  t.same(await readStatuses(socket, 3), ['410', '200', '404'])
})
