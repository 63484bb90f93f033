/**
 * Runs random scripts of requests, failing instances, unreachable peers and moved claims on a cell in memory. Guards against
 * instances that get more requests than they have slots, and against requests that get no answer, two answers or a wrong one.
 */

import t from 'tap'
import fc from 'fast-check'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { CLAIM_NAMES } from 'pomelofold/seams/authority'
import type { ServiceAnswer, ServiceRequest } from 'pomelofold/protocol/requests'
import { INSTANCE_MODES, MemoryInstances, RUN_MS_HEADER, type InstanceMode } from '../../utils/bench/benchInstances.js'
import { instanceRecord, MemoryCell, SERVICE } from '../../utils/bench/benchCell.js'

const SEED = 4_711
const RUNS = 250
const ENTRIES = { fd1: ['e1', 'e2'], fd2: ['e3'] }
const INSTANCES = [['i1', 'fd1', 1], ['i2', 'fd1', 2], ['i3', 'fd2', 3], ['i4', 'fd1', 2]] as const
/** Longest time that a request sent by the former claim holder takes to reach the instance, in milliseconds. */
const TRANSIT_MS = 5

interface Submit {
  kind: 'submit'
  entry: number
  class: ServiceRequest['class']
  team?: string
  runMs: number
  deadlineMs: number
  atMostOnce: boolean
  burst: number
}

type Step =
  | Submit
  | { kind: 'mode', instance: number, mode: InstanceMode }
  | { kind: 'move', instance: number, entry: number }
  | { kind: 'leave', instance: number }
  | { kind: 'peer', entry: number, fault: 'refusing' | 'silent' | 'none' }
  | { kind: 'loads' }

const index = fc.nat({ max: 2 })
const instance = fc.nat({ max: INSTANCES.length - 1 })
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      entry: index,
      class: fc.constantFrom('urgent' as const, 'normal' as const, 'batch' as const),
      team: fc.constantFrom(undefined, 'a', 'b'),
      runMs: fc.integer({ min: 1, max: 400 }),
      deadlineMs: fc.integer({ min: 20, max: 2_000 }),
      atMostOnce: fc.boolean(),
      burst: fc.integer({ min: 1, max: 8 })
    })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('mode' as const), instance, mode: fc.constantFrom(...Object.values(INSTANCE_MODES)) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('move' as const), instance, entry: index }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), instance }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('peer' as const), entry: index, fault: fc.constantFrom('refusing' as const, 'silent' as const, 'none' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('loads' as const) }) }
)
const scriptArbitrary = fc.record({
  idempotent: fc.boolean(),
  steps: fc.array(fc.tuple(fc.integer({ min: 0, max: 150 }), stepArbitrary), { minLength: 5, maxLength: 40 })
})

/** A cell in memory on which the steps of a random script are carried out. */
class ScriptedCell {
  readonly timers = new ManualTimers()
  readonly upstream = new MemoryInstances({ timers: this.timers })
  readonly records = INSTANCES.map(([name, failureDomain, slots]) => instanceRecord(name, { failureDomain, slots }))
  readonly requests = new Map<string, { req: ServiceRequest, answers: ServiceAnswer[] }>()
  readonly cell: MemoryCell
  private _epoch = 1

  constructor (idempotent: boolean) {
    for (const { address, slots } of this.records) this.upstream.add({ address, slots })
    this.cell = new MemoryCell({
      timers: this.timers,
      upstream: this.upstream,
      random: new SeededRandom(SEED),
      records: this.records,
      entries: ENTRIES,
      service: { idempotent },
      teams: [{ name: 'a', quota: { cpus: 1, memoryMb: 1, accelerators: 0 }, requestLimit: 3, borrow: false }],
      maxQueued: 6
    })
  }

  async run (step: Step): Promise<void> {
    if (step.kind === 'submit') for (let i = 0; i < step.burst; i++) this._submit(step)
    else if (step.kind === 'mode') this.upstream.instances.get(INSTANCES[step.instance][0])!.mode = step.mode
    else if (step.kind === 'move') await this._move(step.instance, step.entry)
    else if (step.kind === 'leave') this._leave(step.instance)
    else if (step.kind === 'loads') this.cell.exchangeLoads()
    else this._setFault(this.cell.entries[step.entry].vm, step.fault)
  }

  private _submit ({ entry, runMs, ...options }: Submit): void {
    const requestId = `r${this.requests.size}`
    const { class: cls, team, deadlineMs, atMostOnce } = options
    const headers = { [RUN_MS_HEADER]: String(runMs) }
    const req = { requestId, service: SERVICE, class: cls, team, deadlineMs, atMostOnce, headers, body: Buffer.from(requestId) }
    const answers: ServiceAnswer[] = []
    this.requests.set(requestId, { req, answers })
    this.cell.entries[entry].router.submit(req).then(answer => answers.push(answer))
  }

  /** Moves the claim on an instance to an entry VM of its failure domain, without notice to the former holder. */
  private async _move (instance: number, entry: number): Promise<void> {
    const [name, failureDomain] = INSTANCES[instance]
    const claim = CLAIM_NAMES.instance(failureDomain, name)
    for (const { authority } of this.cell.entries) authority.lapse(claim)
    await this.timers.advance(TRANSIT_MS)
    const candidates = this.cell.entries.filter(other => other.failureDomain === failureDomain)
    candidates[entry % candidates.length].authority.grant(claim, ++this._epoch)
  }

  private _leave (instance: number): void {
    const record = this.records[instance]
    record.state = record.state === 'live' ? 'leaving' : 'live'
    for (const { scheduler } of this.cell.entries) scheduler.setInstances(this.records)
  }

  private _setFault (vm: string, fault: 'refusing' | 'silent' | 'none'): void {
    const { refusing, silent } = this.cell.faults
    refusing.delete(vm)
    silent.delete(vm)
    if (fault === 'refusing') refusing.add(vm)
    if (fault === 'silent') silent.add(vm)
  }
}

t.test('under random arrivals and failures no instance exceeds its slots and every request gets exactly one correct answer', async t => {
  const outcomes = { ran: 0, 'not-run': 0, unknown: 0 }
  await fc.assert(fc.asyncProperty(scriptArbitrary, async ({ idempotent, steps }) => {
    const scripted = new ScriptedCell(idempotent)
    await scripted.timers.advance(5)
    scripted.cell.exchangeLoads()
    for (const [waitMs, step] of steps) {
      await scripted.timers.advance(waitMs)
      await scripted.run(step)
    }
    await scripted.timers.advance(10_000)
    for (const { address, peakRunning: peak, slots } of scripted.upstream.instances.values()) if (peak > slots) throw new Error(`${address} ran ${peak} requests at once, more than its slots`)
    for (const [requestId, { req, answers }] of scripted.requests) {
      const runs = scripted.upstream.runs.get(requestId) ?? 0
      if (answers.length !== 1) throw new Error(`${requestId} has ${answers.length} answers`)
      const [{ outcome, body }] = answers
      outcomes[outcome]++
      if (outcome === 'not-run' && runs > 0) throw new Error(`${requestId} ran although its outcome is not-run`)
      if (outcome === 'ran' && (runs === 0 || Buffer.from(body).toString() !== requestId)) throw new Error(`${requestId} has outcome ran but did not run or got the answer of another request`)
      if (runs > 1 && (req.atMostOnce || !idempotent)) throw new Error(`${requestId} ran ${runs} times`)
    }
  }), { seed: SEED, numRuns: RUNS })
  t.ok(outcomes.ran > 1_000 && outcomes['not-run'] > 100 && outcomes.unknown > 100, JSON.stringify(outcomes))
})
