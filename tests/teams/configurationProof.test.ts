/**
 * Tests of the proof that a configuration is the newest, under a manual clock: VMs that are cut off from the store, suspended or
 * paused, and answers that come late.
 */

import fc from 'fast-check'
import t from 'tap'
import Result from 'true-myth/result'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { PeerNetwork } from '@pomelofold/standins/peerNetwork'
import { ProcessTimers } from '@pomelofold/standins/processTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { readClocks } from 'pomelofold/seams/clockReading'
import { peerMethodSchemas } from 'pomelofold/protocol/peerMessages'
import type { PeerTransport } from 'pomelofold/seams/peerTransport'
import { compressText } from 'pomelofold/utils/compressedText'
import { SILENT_LOG, type EventFields } from 'pomelofold/utils/eventLog'
import { ActiveConfiguration, type ConfigurationVersion } from 'pomelofold/workflows/activeConfiguration'
import { ConfigurationPeers } from 'pomelofold/workflows/configurationPeers'
import { WorkflowCell } from '../workflows/workflowCell.js'

const RENEW_AFTER_MS = 2_500
const WITHDRAWAL_MS = 5_000
const POLL_MS = 850

/** Timers of a VM whose monotonic clock stops while it is suspended. */
class VmTimers extends ProcessTimers {
  private _suspendedMs = 0

  override now (): number {
    return super.now() - this._suspendedMs
  }

  suspend (forMs: number, clock: ManualTimers): void {
    this.freeze()
    clock.after(forMs, () => { this._suspendedMs += forMs; this.thaw() })
  }
}

/** Version of which only the number matters. */
function versionOf (version: number): ConfigurationVersion {
  const teams = { byName: new Map(), nameByKeyHash: new Map() }
  return { config: { version, queues: new Map(), routes: [], teams, maxBodyBytes: 0 }, encode: () => String(version) }
}

interface Vm {
  timers: VmTimers
  active: ActiveConfiguration
  /** True while the store does not answer this VM. */
  cut: boolean
  events: Array<{ name: string, fields: EventFields }>
}

/** VMs that poll one store, whose newest version tests set. */
class Cell {
  readonly clock = new ManualTimers()
  readonly vms: Vm[] = []
  version = 1
  /** Time from sending a poll until its answer, and the part of it before the store reads, in milliseconds. */
  poll = { answerMs: 10, readMs: 5 }
  textCalls = 0
  readonly cutFromPeers = new Set<string>()
  private readonly _network = new PeerNetwork({
    timers: this.clock,
    delayMs: () => 1,
    isPartitioned: (from, to) => this.cutFromPeers.has(from) || this.cutFromPeers.has(to)
  })

  constructor (count: number, { seed = 1 } = {}) {
    const random = new SeededRandom(seed)
    for (let index = 0; index < count; index++) this._addVm(`vm${index}`, count, random)
  }

  private _addVm (name: string, count: number, random: SeededRandom): void {
    const timers = new VmTimers({ timers: this.clock })
    const events: Vm['events'] = []
    const log = { event: (_level: string, name: string, fields: EventFields = {}) => { events.push({ name, fields }) } }
    const active = new ActiveConfiguration({
      timers,
      log,
      decode: text => { this.textCalls++; return Result.ok(versionOf(Number(text))) },
      readStore: () => undefined,
      renewAfterMs: RENEW_AFTER_MS,
      lostAfterMs: WITHDRAWAL_MS
    })
    const vm: Vm = { timers, active, cut: false, events }
    this.vms.push(vm)
    const transport = this._network.transport({ vm: name, failureDomain: name, incarnation: '1' }, timers, () => false)
    const peers = (): string[] => Array.from({ length: count }, (_, index) => `vm${index}`).filter(other => other !== name)
    const asking = new ConfigurationPeers({ configuration: active, peers, transport, timers, random, log })
    transport.listen(asking.handlers)
    asking.start()
    this._poll(vm)
    timers.every(POLL_MS, () => this._poll(vm))
  }

  private _poll ({ timers, active, cut }: Vm): void {
    if (cut) return
    const sent = readClocks(timers)
    this.clock.after(this.poll.readMs, () => {
      const read = versionOf(this.version)
      timers.after(this.poll.answerMs - this.poll.readMs, () => active.note(read, sent, { source: 'store' }))
    })
  }
}

t.test('a VM that is cut off from the store takes the proof from its peers, and the text only when it is newer', async t => {
  const cell = new Cell(5)
  await cell.clock.advance(1_000)
  const [vm] = cell.vms
  vm.cut = true
  await cell.clock.advance(20_000)
  t.ok(vm.active.proofAgeMs < RENEW_AFTER_MS + 1_000, `proof of ${vm.active.proofAgeMs} ms`)
  t.equal(cell.textCalls, 0)
  cell.version = 2
  await cell.clock.advance(RENEW_AFTER_MS + 1_500)
  t.equal(vm.active.config!.version, 2)
  t.equal(cell.textCalls, 1)
  t.notOk(vm.events.some(({ name }) => name === 'configuration.proof.lost'))
})

/** A daemon with version 1 and an old proof, and one peer that answers each call for its text with `text`. */
function askPeer (
  text: { text: string | null, compressed?: Uint8Array }
): { clock: ManualTimers, active: ActiveConfiguration, events: string[] } {
  const clock = new ManualTimers()
  const events: string[] = []
  const log = { event: (_level: string, name: string) => { events.push(name) } }
  const active = new ActiveConfiguration({
    timers: clock,
    log,
    decode: decoded => Result.ok(versionOf(Number(decoded))),
    readStore: () => undefined,
    renewAfterMs: RENEW_AFTER_MS,
    lostAfterMs: WITHDRAWAL_MS
  })
  active.note(versionOf(1), readClocks(clock), { source: 'store' })
  const transport = { call: async () => Result.ok({ version: 2, ageMs: 0, ...text }) } as unknown as PeerTransport
  new ConfigurationPeers({ configuration: active, peers: () => ['b'], transport, timers: clock, random: new SeededRandom(1), log }).start()
  return { clock, active, events }
}

t.test('a text is read in both forms, and one that is damaged leaves the last version active', async t => {
  for (const text of [{ text: '2' }, { text: null, compressed: compressText('2') }]) {
    const { clock, active } = askPeer(text)
    await clock.advance(RENEW_AFTER_MS + 1_000)
    t.equal(active.config!.version, 2)
    t.ok(active.proofAgeMs < RENEW_AFTER_MS)
  }
  const { clock, active, events } = askPeer({ text: null, compressed: new Uint8Array([255, 1, 2]) })
  await clock.advance(RENEW_AFTER_MS + 1_000)
  t.equal(active.config!.version, 1)
  t.ok(events.includes('configuration.unreadable'))
})

t.test('a peer that does not ask for a compressed text gets a plain one', async t => {
  const { active } = askPeer({ text: null })
  const options = { configuration: active, peers: () => [], transport: {} as PeerTransport, timers: new ManualTimers(), log: SILENT_LOG }
  const { handlers } = new ConfigurationPeers({ ...options, random: new SeededRandom(1) })
  const params = peerMethodSchemas.configurationText.params.parse({})
  t.match(await handlers.configurationText!(params, { vm: 'b', failureDomain: 'b', incarnation: '1' }), { text: '1', compressed: undefined })
})

t.test('a cell that is cut off as a whole keeps its proof no longer than the bound, and says when it is lost and regained', async t => {
  const cell = new Cell(4)
  await cell.clock.advance(1_000)
  for (const vm of cell.vms) vm.cut = true
  await cell.clock.advance(WITHDRAWAL_MS)
  for (const { active } of cell.vms) t.ok(active.proofAgeMs > WITHDRAWAL_MS - POLL_MS)
  await cell.clock.advance(POLL_MS + 600)
  for (const { active, events } of cell.vms) {
    t.ok(active.proofAgeMs > WITHDRAWAL_MS)
    t.ok(events.some(({ name }) => name === 'configuration.proof.lost'))
  }
  for (const vm of cell.vms) vm.cut = false
  await cell.clock.advance(2_000)
  for (const { active, events } of cell.vms) {
    t.ok(active.proofAgeMs < RENEW_AFTER_MS)
    t.ok(events.some(({ name }) => name === 'configuration.proof.regained'))
  }
})

t.test('a suspended VM has no proof until it has asked again', async t => {
  const cell = new Cell(1)
  await cell.clock.advance(1_000)
  const [vm] = cell.vms
  vm.timers.suspend(4_000, cell.clock)
  await cell.clock.advance(4_000)
  t.equal(vm.active.proofAgeMs, Infinity)
  await cell.clock.advance(POLL_MS + 100)
  t.ok(vm.active.proofAgeMs < RENEW_AFTER_MS)
})

t.test('an answer that comes late proves only the time at which its call was sent', async t => {
  const cell = new Cell(1)
  await cell.clock.advance(1_000)
  cell.poll = { answerMs: 4_000, readMs: 5 }
  await cell.clock.advance(12_000)
  t.ok(cell.vms[0].active.proofAgeMs >= 4_000)
})

t.test('an older version that is read late replaces nothing and proves nothing', async t => {
  const cell = new Cell(1)
  await cell.clock.advance(1_000)
  const [{ active, timers }] = cell.vms
  cell.version = 2
  await cell.clock.advance(1_000)
  cell.vms[0].cut = true
  await cell.clock.advance(3_000)
  const ageMs = active.proofAgeMs
  active.note(versionOf(1), readClocks(timers), { source: 'store' })
  t.equal(active.config!.version, 2)
  t.equal(active.proofAgeMs, ageMs)
})

t.test('ages add up over peers: no VM accepts an old version later than the bound, whatever is cut, suspended or paused', async t => {
  const draws = fc.array(fc.record({
    vm: fc.nat(2),
    action: fc.constantFrom('cut', 'cutAll', 'cutAll', 'mend', 'suspend', 'suspend', 'freeze', 'thaw', 'cutFromPeers', 'mendPeers', 'slow', 'fast'),
    thenMs: fc.integer({ min: 50, max: 2_500 })
  }), { minLength: 5, maxLength: 25 })
  let acceptedWithoutStore = 0
  await fc.assert(fc.asyncProperty(draws, fc.nat(15_000), fc.nat(), async (steps, confirmedMs, seed) => {
    const cell = new Cell(3, { seed })
    cell.clock.after(confirmedMs, () => { cell.version = 2 })
    const actions: Record<string, (vm: Vm, name: string) => void> = {
      cut: vm => { vm.cut = true },
      cutAll: () => { for (const vm of cell.vms) vm.cut = true },
      mend: vm => { vm.cut = false },
      suspend: vm => vm.timers.suspend(1_500, cell.clock),
      freeze: vm => vm.timers.freeze(),
      thaw: vm => vm.timers.thaw(),
      cutFromPeers: (_, name) => { cell.cutFromPeers.add(name) },
      mendPeers: (_, name) => { cell.cutFromPeers.delete(name) },
      slow: () => { cell.poll = { answerMs: 2_000, readMs: 100 } },
      fast: () => { cell.poll = { answerMs: 10, readMs: 5 } }
    }
    for (const { vm, action, thenMs } of steps) {
      actions[action](cell.vms[vm], `vm${vm}`)
      for (let passedMs = 0; passedMs < thenMs; passedMs += 50) {
        await cell.clock.advance(50)
        for (const { active, cut } of cell.vms) {
          if (active.proofAgeMs > WITHDRAWAL_MS) continue
          if (cut) acceptedWithoutStore++
          const lateMs = cell.clock.now() - confirmedMs - WITHDRAWAL_MS
          if (active.config!.version === 1 && lateMs > 0) throw new Error(`a withdrawn key is accepted ${lateMs} ms too late`)
        }
      }
    }
  }), { seed: 4, numRuns: 120 })
  t.ok(acceptedWithoutStore > 1_000)
})

t.test('a daemon whose link to the store is cut takes proof and configuration from the other daemons of its cell', async t => {
  const configurations: ActiveConfiguration[] = []
  const cell = new WorkflowCell({
    configuration: (timers, log) => {
      const decode = (text: string): Result<ConfigurationVersion, string> => Result.ok(versionOf(Number(text)))
      const active = new ActiveConfiguration({
        timers, log, decode, readStore: () => undefined, renewAfterMs: RENEW_AFTER_MS, lostAfterMs: WITHDRAWAL_MS
      })
      active.note(versionOf(1), readClocks(timers), { source: 'store' })
      configurations.push(active)
      return active
    }
  })
  await cell.waitUntilReady()
  cell.daemons[2].platform.faults.unreachable = true
  for (let passedMs = 0; passedMs < 10_000; passedMs += POLL_MS) {
    await cell.timers.advance(POLL_MS)
    for (const active of configurations.slice(0, 2)) active.note(versionOf(2), readClocks(cell.timers), { source: 'store' })
  }
  t.equal(configurations[2].config!.version, 2)
  t.ok(configurations[2].proofAgeMs < RENEW_AFTER_MS + 1_000)
})
