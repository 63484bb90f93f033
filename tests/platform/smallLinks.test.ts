/**
 * Tests of a daemon whose link to the store is small, with the real HTTP client and a manual clock.
 *
 * Load pattern: the operator's configuration grows until its transfer takes longer than a call that has no large answer should.
 */

import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import t, { type Test } from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { HttpCaller } from 'pomelofold/edge/httpCaller'
import { encodeFrame, FrameDecoder } from 'pomelofold/protocol/framing'
import { peerMethodSchemas } from 'pomelofold/protocol/peerMessages'
import type { PeerTransport } from 'pomelofold/seams/peerTransport'
import { CredentialChecker } from 'pomelofold/teams/credentialChecker'
import { hashKey } from 'pomelofold/teams/credentials'
import { compressText, decompressText } from 'pomelofold/utils/compressedText'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { ConfigurationPeers } from 'pomelofold/workflows/configurationPeers'
import { decodeConfiguration, decodeShared } from 'pomelofold-on-platform/configurationText'
import { ConfigurationWatcher } from 'pomelofold-on-platform/configurationWatcher'
import { StoreClient } from 'pomelofold-on-platform/storeClient'

/** Share of a link of 10 Mbit/s, and a link of 2 Mbit/s, in bytes per millisecond. */
const SMALL_LINK = 7_000 / 8
const SMALLEST_LINK = 2_000 / 8
/** Rate of a damaged connection, in bytes per millisecond. */
const DAMAGED_RATE = 4
const BOUNDS = { strict: true, withdrawalMs: 5_000, applyMs: 3_000 }
/** Timeout of a daemon's call to a peer for the text of its configuration, in milliseconds. */
const TEXT_TIMEOUT_MS = 2_000
/** Largest value in the store, in characters. */
const MAX_VALUE_CHARS = 1_048_576
const STEP_MS = 25
/** Turns of the event loop after each step, in which requests and answers pass between the sockets of this process. */
const TURNS_PER_STEP = 12

function configText (version: number, routes: number): string {
  const random = new SeededRandom(version)
  return JSON.stringify({
    version,
    routes: Array.from({ length: routes }, () => ({
      name: `r-${random.hex(4)}`,
      host: `h${random.hex(2)}.example`,
      prefix: `/q${random.hex(3)}/`,
      service: 'obrada',
      priority: 2,
      max_attempts: 2,
      stretch: 2.2,
      target_duration_ms: 1_200,
      advice: { decide_ms: 380, each_ms: 5.5, valid_ms: 2_500 },
      no_auth: false
    })),
    limits: {},
    tenants: [{ name: 'team', api_keys: ['key'] }]
  })
}

/** A store with one key, behind a link whose bandwidth its open answers share. */
class LinkedStore {
  readonly clock = new ManualTimers()
  bytesSent = 0
  /** The connection of the next answer is damaged: it delivers next to nothing. */
  damageNextAnswer = false
  private readonly _bytesPerMs: number
  private readonly _answers = new Map<ServerResponse, Buffer>()
  private _item = { key: 'op/config', value: '', revision: 1, created: 1, lease: 0 }
  private readonly _history: Array<typeof this._item> = []
  private _damaged: ServerResponse | undefined
  private readonly _polls = new Set<() => void>()
  private readonly _server = createServer((req, res) => this._serve(req, res))

  constructor (bytesPerMs: number) {
    this._bytesPerMs = bytesPerMs
  }

  put (text: string): void {
    this._item = { ...this._item, value: Buffer.from(text).toString('base64'), revision: this._item.revision + 1 }
    this._history.push(this._item)
    for (const answer of this._polls) answer()
  }

  async listen (t: Test): Promise<string> {
    await new Promise<void>(resolve => this._server.listen(0, '127.0.0.1', resolve))
    t.teardown(() => { this._server.closeAllConnections(); this._server.close() })
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`
  }

  /** Advances the clock, the link and the sockets. */
  async advance (ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      await this.clock.advance(STEP_MS)
      this._transfer()
      for (let turn = 0; turn < TURNS_PER_STEP; turn++) await new Promise(resolve => setImmediate(resolve))
    }
  }

  private _serve (req: IncomingMessage, res: ServerResponse): void {
    const { pathname, searchParams } = new URL(req.url!, 'http://store')
    res.on('close', () => this._answers.delete(res))
    const asOf = this._item.revision
    if (pathname === '/api/kv-range') return this._answer(res, { items: [this._item], has_more: false, as_of: asOf })
    if (pathname.startsWith('/api/kv-keep/')) return this._answer(res, { ttl_ms: 2_500 })
    if (pathname === '/api/kv-key') return this._answer(res, { ...this._item, as_of: asOf })
    const after = Number(searchParams.get('after'))
    const answer = (): void => {
      if (!this._polls.delete(answer)) return
      this._answer(res, { events: this._history.filter(item => item.revision > after), as_of: this._item.revision })
    }
    this._polls.add(answer)
    if (this._item.revision > after) answer()
    else this.clock.after(Number(searchParams.get('wait_ms')), answer)
  }

  private _answer (res: ServerResponse, body: object): void {
    const bytes = Buffer.from(JSON.stringify(body))
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': bytes.length })
    this._answers.set(res, bytes)
    if (this.damageNextAnswer) this._damaged = res
    this.damageNextAnswer = false
  }

  private _transfer (): void {
    let budget = this._bytesPerMs * STEP_MS
    for (const [res, bytes] of this._answers) {
      const rate = res === this._damaged ? DAMAGED_RATE : this._bytesPerMs / this._answers.size
      const size = Math.min(bytes.length, Math.ceil(rate * STEP_MS), budget)
      budget -= size
      this.bytesSent += size
      res.write(bytes.subarray(0, size))
      if (size < bytes.length) {
        this._answers.set(res, bytes.subarray(size))
        continue
      }
      res.end()
      this._answers.delete(res)
    }
  }
}

/** The parts of a daemon that keep the configuration, behind a link of that bandwidth; a configuration of one route is active. */
async function startDaemon (
  t: Test, bytesPerMs: number
): Promise<{ store: LinkedStore, platform: StoreClient, watcher: ConfigurationWatcher }> {
  const store = new LinkedStore(bytesPerMs)
  const timers = store.clock
  const address = await store.listen(t)
  const caller = new HttpCaller({ timers, connections: 16, maxAnswerBytes: 8_000_000 })
  const platform = new StoreClient({ caller, address, timers })
  const watcher = new ConfigurationWatcher({ platform, timers, log: SILENT_LOG, bounds: BOUNDS })
  const transport = {} as PeerTransport
  const random = new SeededRandom(1)
  const peers = new ConfigurationPeers({ configuration: watcher.active, peers: () => [], transport, timers, random, log: SILENT_LOG })
  t.teardown(() => { watcher.close(); peers.close(); return caller.close() })
  store.put(configText(1, 1))
  watcher.start()
  peers.start()
  await store.advance(3_000)
  t.equal(watcher.config?.version, 1)
  return { store, platform, watcher }
}

// Guards against a daemon that never reads a large configuration, since each try is given up before its answer is complete.
t.test('a large configuration takes effect in time on a small link, and the proof is not lost', async t => {
  const { store, watcher } = await startDaemon(t, SMALL_LINK)
  store.put(configText(2, 4_000))
  let oldestProofMs = 0
  for (let passedMs = 0; passedMs < BOUNDS.applyMs; passedMs += STEP_MS) {
    await store.advance(STEP_MS)
    oldestProofMs = Math.max(oldestProofMs, watcher.active.proofAgeMs)
  }
  t.equal(watcher.config!.version, 2)
  t.ok(oldestProofMs < BOUNDS.withdrawalMs, `a proof of ${oldestProofMs} ms`)
})

// Guards against tries that share the link with each other, so that none of them is complete.
t.test('a configuration whose transfer takes longer than its time limit is read with one transfer', async t => {
  const { store, watcher } = await startDaemon(t, SMALLEST_LINK)
  const text = configText(2, 4_000)
  const transferMs = Buffer.byteLength(text) * 4 / 3 / SMALLEST_LINK
  t.ok(transferMs > BOUNDS.applyMs)
  store.put(text)
  store.bytesSent = 0
  await store.advance(1.2 * transferMs)
  t.equal(watcher.config!.version, 2)
  t.ok(store.bytesSent < 1.5 * transferMs * SMALLEST_LINK, `${store.bytesSent} bytes were sent`)
  await store.advance(2 * BOUNDS.applyMs)
  t.ok(watcher.active.proofAgeMs < BOUNDS.withdrawalMs, 'the proof is regained')
})

// Guards against a text that a peer cannot send, or a daemon cannot receive, within the timeout of the call.
t.test('the largest configuration comes from a peer on the smallest link within the timeout of the call', async t => {
  const store = new LinkedStore(SMALL_LINK)
  const text = configText(2, Math.floor(0.99 * MAX_VALUE_CHARS / (configText(2, 100).length / 100)))
  t.ok(text.length > 0.9 * MAX_VALUE_CHARS && text.length < MAX_VALUE_CHARS, `${text.length} characters`)
  const decoded = decodeConfiguration(text)
  if (decoded.isErr) throw new Error(decoded.error)
  const { active } = new ConfigurationWatcher({ platform: {} as StoreClient, timers: store.clock, log: SILENT_LOG, bounds: BOUNDS })
  active.note(decoded.value, undefined, { source: 'store' })
  const transport = {} as PeerTransport
  const options = { configuration: active, peers: () => [], transport, timers: store.clock, random: new SeededRandom(1), log: SILENT_LOG }
  const { handlers } = new ConfigurationPeers(options)
  const result = await handlers.configurationText!({ compressed: true }, { vm: 'b', failureDomain: 'b', incarnation: '1' })
  const frame = encodeFrame({ type: 'result', id: 1, result })
  t.ok(frame.length < 0.5 * TEXT_TIMEOUT_MS * SMALLEST_LINK, `a frame of ${frame.length} bytes`)
  const received = peerMethodSchemas.configurationText.result.parse((new FrameDecoder().push(frame)[0] as { result: unknown }).result)
  const version = decompressText(received.compressed!).andThen(decodeShared)
  t.same(version.isOk && version.value.config, decoded.value.config)
})

// Guards against a request that waits for a transfer, and against a second transfer beside the one in progress.
t.test('a request after a pause waits no longer than for a small answer', async t => {
  const { store, watcher } = await startDaemon(t, SMALLEST_LINK)
  store.put(configText(2, 4_000))
  await store.advance(12_000)
  const checker = new CredentialChecker({ configuration: watcher.active, bounds: BOUNDS })
  store.clock.advanceWithoutCallbacks(6_000)
  const startedMs = store.clock.now()
  let tookMs = Number.POSITIVE_INFINITY
  checker.check({ keyHash: hashKey('key'), open: false }).then(() => { tookMs = store.clock.now() - startedMs })
  await store.advance(BOUNDS.applyMs)
  t.ok(tookMs <= BOUNDS.applyMs / 4, `${tookMs} ms`)
})

// Guards against a connection that delivers next to nothing, for which the working ones wait.
t.test('a configuration takes effect in time although the connection of its watch trickles', async t => {
  const { store, watcher } = await startDaemon(t, SMALL_LINK)
  store.damageNextAnswer = true
  store.put(configText(2, 1_400))
  await store.advance(BOUNDS.applyMs)
  t.equal(watcher.config!.version, 2)
})

// Guards against renewals that wait for a free connection while large answers arrive on all of them.
t.test('a lease is renewed while many large records are read', async t => {
  const { store, platform } = await startDaemon(t, SMALL_LINK)
  store.put('x'.repeat(200_000))
  for (let read = 0; read < 24; read++) platform.get('op/config', { timeoutMs: 450 })
  let renewedMs = store.clock.now()
  let longestGapMs = 0
  let renewing = false
  for (let passedMs = 0; passedMs < 6_000; passedMs += STEP_MS) {
    await store.advance(STEP_MS)
    longestGapMs = Math.max(longestGapMs, store.clock.now() - renewedMs)
    if (renewing || passedMs % 500 !== 0) continue
    renewing = true
    platform.keepAlive('1', { timeoutMs: 600 }).then(renewal => {
      renewing = false
      if (renewal.isOk) renewedMs = store.clock.now()
    })
  }
  t.ok(longestGapMs < 2_500, `${longestGapMs} ms`)
})

// Guards against answers of the watch that hold every version of a large configuration.
t.test('versions of a large configuration in quick succession do not lose the proof', async t => {
  const { store, watcher } = await startDaemon(t, SMALL_LINK)
  let oldestProofMs = 0
  for (let passedMs = 0; passedMs < 20_000; passedMs += STEP_MS) {
    if (passedMs % 1_000 === 0 && passedMs < 12_000) store.put(configText(2 + passedMs / 1_000, 4_000))
    await store.advance(STEP_MS)
    oldestProofMs = Math.max(oldestProofMs, watcher.active.proofAgeMs)
  }
  t.ok(oldestProofMs < BOUNDS.withdrawalMs, `a proof of ${oldestProofMs} ms`)
})

// Guards against a text that compression does not make small: hashes of keys.
t.test('the text of a configuration of 40,000 keys comes from a peer within the timeout of the call', async t => {
  const random = new SeededRandom(1)
  const keys = (): string[] => Array.from({ length: 100 }, () => random.hex(8))
  const text = JSON.stringify({ version: 2, routes: [], tenants: Array.from({ length: 400 }, (_, team) => ({ name: `t${team}`, api_keys: keys() })) })
  t.ok(text.length < MAX_VALUE_CHARS)
  const decoded = decodeConfiguration(text)
  if (decoded.isErr) throw new Error(decoded.error)
  const bytes = compressText(decoded.value.encode())
  t.ok(bytes.length < TEXT_TIMEOUT_MS * SMALL_LINK, `${bytes.length} bytes`)
})
