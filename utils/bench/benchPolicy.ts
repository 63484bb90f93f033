/**
 * Runs the requests of a benchmark through the real scheduler and router.
 *
 * @module
 */

import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { OUTCOMES } from 'pomelofold/protocol/requests'
import { BenchResult } from './benchResult.js'
import { instanceRecord, MemoryCell, SERVICE, type MemoryCellOptions, type MemoryEntry } from './benchCell.js'
import { MemoryInstances, RUN_MS_HEADER } from './benchInstances.js'
import { domainOf, END_MS, MEAN_RUN_MS, NEAR_DELAY_MS, SLOTS, speedOf, type BenchRequest, type EntryLoss, type RunPlan } from './benchWorkload.js'

/** Header that carries a request's number. */
const NUMBER_HEADER = 'number'
/** Period of heartbeats between entry VMs, in milliseconds. */
const HEARTBEAT_MS = 1_000
/** Time after the last arrival in which the remaining requests are answered, in milliseconds. */
const LAST_ANSWERS_MS = 12_000

/** Implementations that a run passes to the cell. */
type Seams = Pick<MemoryCellOptions, 'timers' | 'upstream' | 'random'>

/** How the claims on a failure domain's instances are distributed over its entry VMs. */
export const CLAIM_LAYOUTS = {
  /** In turn, instance by instance. */
  spread: 'spread',
  /** All to the first entry VM. */
  single: 'single'
} as const

/** One of {@link CLAIM_LAYOUTS}. */
export type ClaimLayout = typeof CLAIM_LAYOUTS[keyof typeof CLAIM_LAYOUTS]

/** Runs the requests of `plan` under the policy of this repository. */
export async function runPolicy (plan: RunPlan, layout: ClaimLayout = CLAIM_LAYOUTS.spread): Promise<BenchResult> {
  const { scenario, requests, seed } = plan
  const result = new BenchResult()
  const timers = new ManualTimers()
  const started = new Set<number>()
  const upstream = new MemoryInstances({
    timers,
    delayMs: NEAR_DELAY_MS,
    onRun ({ headers }) {
      const number = Number(headers[NUMBER_HEADER])
      if (!started.has(number)) result.started(requests[number], timers.now())
      started.add(number)
    }
  })
  const cell = makeCell(plan, layout, { timers, upstream, random: new SeededRandom(seed) })
  for (const { atMs, instance, mode } of scenario.faults ?? []) {
    timers.after(atMs, () => { upstream.instances.get(`i${instance}`)!.mode = mode })
  }
  const lost = new Set<string>()
  if (scenario.entryLoss) loseEntry(cell, scenario.entryLoss, lost, timers)
  timers.every(HEARTBEAT_MS, () => cell.exchangeLoads(lost))
  const scheduleArrival = (index: number): void => {
    const req = requests[index]
    if (!req) return
    timers.after(req.atMs - timers.now(), () => {
      scheduleArrival(index + 1)
      submit(cell, req, result, timers, lost)
    })
  }
  scheduleArrival(0)
  await timers.advance(END_MS + LAST_ANSWERS_MS)
  return result
}

/** Removes an entry VM, and grants its claims to the others of its failure domain after the takeover time. */
function loseEntry (cell: MemoryCell, { atMs, entry, takeoverMs }: EntryLoss, lost: Set<string>, timers: ManualTimers): void {
  const { vm, failureDomain, authority } = cell.entries[entry]
  const successors = cell.entries.filter(other => other.failureDomain === failureDomain && other.vm !== vm)
  timers.after(atMs, () => {
    lost.add(vm)
    cell.faults.refusing.add(vm)
    cell.faults.silent.add(vm)
    const claims = authority.heldClaims()
    for (const claim of claims) authority.lapse(claim)
    const takenByOne = claims.length > 1 && successors.every(heir => heir.authority.heldClaims().length === 0)
    timers.after(takeoverMs, () =>
      claims.forEach((claim, i) => successors[takenByOne ? 0 : i % successors.length].authority.grant(claim, 2)))
  })
}

function submit (cell: MemoryCell, req: BenchRequest, result: BenchResult, timers: ManualTimers, lost: Set<string>): void {
  result.offered(req)
  const { router, vm } = liveEntry(cell, req.entry, lost)
  router.submit({
    requestId: String(req.number),
    service: SERVICE,
    class: req.class,
    deadlineMs: req.deadlineMs,
    atMostOnce: false,
    headers: { [RUN_MS_HEADER]: String(req.runMs), [NUMBER_HEADER]: String(req.number) },
    body: new Uint8Array(0)
  }).then(({ outcome, status }) => {
    if (outcome === OUTCOMES.ran && status === 200 && !lost.has(vm)) result.answered(req, timers.now())
  })
}

/** Returns the entry VM to which the platform's load balancer sends a request: the next one that is not lost. */
function liveEntry (cell: MemoryCell, index: number, lost: Set<string>): MemoryEntry {
  const entry = cell.entries[index % cell.entries.length]
  return lost.has(entry.vm) ? liveEntry(cell, index + 1, lost) : entry
}

function makeCell ({ deployment, scenario }: RunPlan, layout: ClaimLayout, seams: Seams): MemoryCell {
  const entries: Record<string, string[]> = {}
  for (let domain = 0; domain < deployment.failureDomains; domain++) {
    entries[`fd${domain}`] = Array.from({ length: deployment.entriesPerDomain }, (_, i) => `e${domain}-${i}`)
  }
  const records = Array.from({ length: deployment.instances }, (_, i) => {
    seams.upstream.add({ address: `i${i}`, slots: SLOTS, speed: speedOf(i) })
    return instanceRecord(`i${i}`, { failureDomain: `fd${domainOf(i, deployment)}`, slots: SLOTS })
  })
  return new MemoryCell({
    ...seams,
    records,
    entries,
    holder: (_, index, vms) => layout === CLAIM_LAYOUTS.single ? vms[0] : vms[index % vms.length],
    service: { expectedMs: scenario.expectedMs ?? MEAN_RUN_MS },
    nearDelayMs: NEAR_DELAY_MS,
    farDelayMs: deployment.farDelayMs
  })
}
