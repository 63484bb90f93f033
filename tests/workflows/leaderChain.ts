/**
 * Cells with long-running tasks whose leader is replaced, once or several times.
 *
 * @module
 */

import { z } from 'zod'
import Result from 'true-myth/result'
import type { LeasedWorker } from '@pomelofold/standins/leasedWorker'
import type { WorkflowStep } from 'pomelofold/protocol/workflows'
import { CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'
import { delay } from 'pomelofold/seams/timers'
import { incarnationOf } from 'pomelofold/workflows/incarnations'
import { LEADER_KEY } from 'pomelofold/workflows/keys'
import { WorkflowCell, type TestDaemon, type WorkflowCellOptions } from './workflowCell.js'

/** Ends of the leases of lost workers in the store. */
const LEASE_ENDS_KEY = 'pomelofold/cell/lease-ends'

const leaseEndsSchema = z.array(z.object({ worker: z.string(), loss: z.string(), endsInMs: z.number() }))

/** Time in which a task is started again once the lease of its former worker has ended, in milliseconds. */
export const RESTART_MS = 3_000

/** A cell in which a long-running step has been started, and the worker of its first task. */
export interface ServiceCell {
  cell: WorkflowCell
  /** Tasks of the step, in order. */
  tasks: string[]
  worker: LeasedWorker
  /** Lag of the watches of all daemons. It may be made longer at any time. */
  lag: { lagMs: number }
  /** What `observeLeaseEnds` has found. */
  leaseEndViolations: string[]
}

/** Options of {@link cellWithService}. */
export interface ServiceCellOptions extends WorkflowCellOptions {
  step?: Partial<WorkflowStep>
  /** Called before the clock is advanced for the first time. */
  prepare?: (cell: WorkflowCell) => void
}

/** Starts a cell with a long-running step of one task, or of the given form, and waits until it runs. */
export async function cellWithService (
  { step = {}, prepare = () => {}, ...options }: ServiceCellOptions = {}
): Promise<ServiceCell> {
  const cell = new WorkflowCell({ daemons: 5, runMs: () => 600_000, ...options })
  const lag = { lagMs: 0 }
  for (const daemon of cell.daemons) delayWatches(daemon, lag)
  const leaseEndViolations = observeLeaseEnds(cell)
  prepare(cell)
  const leader = await cell.waitUntilReady()
  await cell.timers.advance(3_000)
  const workflow = cell.workflow([{ tasks: 1, longRunning: true, ...step }])
  await cell.submit(workflow, leader)
  const tasks = Array.from({ length: step.tasks ?? 1 }, (_, index) => `${workflow.id}.0.0.${index}`)
  await cell.timers.advanceUntil(() => tasks.every(task => cell.runsOf(task).length > 0))
  await cell.timers.advance(2_000)
  return { cell, tasks, worker: workerOf(cell, tasks[0]), lag, leaseEndViolations }
}

/** Options of {@link cellWithStartInTransit}. */
export interface StartInTransitOptions {
  /** Time from the start until it is carried out, in milliseconds. */
  orderDelayMs: number
  /** Times from the restart of the worker until the directory lists it, and until it answers, in milliseconds. */
  listedAfterMs?: number
  reachableAfterMs?: number
  /** The worker refuses connections as it restarts. */
  refusesConnections?: boolean
  daemons?: number
}

/** Starts a cell with a long-running task whose start is on its way to a worker that has just restarted under its id. */
export async function cellWithStartInTransit (
  { orderDelayMs, refusesConnections = false, daemons = 5, ...back }: StartInTransitOptions
): Promise<{ cell: WorkflowCell, task: string }> {
  const cell = new WorkflowCell({ daemons, runMs: () => 600_000 })
  await cell.waitUntilReady()
  const [worker, , other] = cell.workers
  other.faults.draining = true
  await cell.timers.advance(10_000)
  worker.faults.orderDelayMs = orderDelayMs
  const workflow = cell.workflow([{ tasks: 1, longRunning: true, requiredLabel: 'r0' }])
  await cell.submit(workflow, cell.leader!)
  await cell.timers.advance(100)
  worker.faults.refusesConnections = refusesConnections
  cell.restartWorker(worker.entry.id, back)
  other.faults.draining = false
  return { cell, task: `${workflow.id}.0.0.0` }
}

/**
 * Starts a cell of one worker, which is told to start a long-running task 11.5 s late, and later to extend its lease 11 s late. No stop
 * comes late: it would end the run.
 */
export async function cellWithLateExtension ({ idsReturn = false } = {}): Promise<{ cell: WorkflowCell, task: string }> {
  const cell = new WorkflowCell({ daemons: 5, workers: 1, maxLeaseMs: 10_000, runMs: () => 600_000 })
  await cell.waitUntilReady()
  if (idsReturn) cell.restartWorker('w0')
  await cell.timers.advance(20_000)
  const [{ faults }] = cell.workers
  faults.orderDelayMs = 11_500
  const workflow = cell.workflow([{ tasks: 1, longRunning: true }])
  await cell.submit(workflow, cell.leader!)
  await cell.timers.advanceUntil(() => cell.events.filter(({ name }) => name === 'start.unanswered').length === 3)
  faults.orderDelayMs = 0
  faults.breaksOrders = true
  await cell.timers.advance(3_500)
  faults.extensionDelayMs = 11_000
  const { client } = cell.leader!
  const extendLease = client.extendLease.bind(client)
  let extended = false
  client.extendLease = (...args) => { extended = true; return extendLease(...args) }
  await cell.timers.advanceUntil(() => extended)
  return { cell, task: `${workflow.id}.0.0.0` }
}

/** The worker of the last run of a task. */
export function workerOf (cell: WorkflowCell, task: string): LeasedWorker {
  const id = cell.runsOf(task).at(-1)!.worker
  return cell.workers.find(worker => worker.entry.id === id)!
}

/** Crashes a worker that never comes back. It refuses connections, or its VM is silent. */
export function crashForGood (worker: LeasedWorker, { silent = false } = {}): void {
  worker.faults.refusesConnections = !silent
  worker.crash()
}

/** The running daemons that do not lead. */
export function followersOf (cell: WorkflowCell): TestDaemon[] {
  return cell.daemons.filter(({ daemon, process }) => process.isRunning() && !daemon.figures().leading)
}

/** Ways in which a leader goes. */
export const LEADER_ENDS = {
  /** Nobody calls it until its lease has ended. */
  silent: 'silent',
  /** A follower finds that its process refuses connections. */
  refused: 'refused',
  handedOver: 'handedOver'
} as const

/** Ends the leader and advances the clock until another daemon leads. */
export async function replaceLeader (cell: WorkflowCell, how: keyof typeof LEADER_ENDS = 'silent'): Promise<TestDaemon> {
  const former = cell.leader!
  if (how === LEADER_ENDS.handedOver) former.daemon.handOver().then(() => former.daemon.close()).then(() => former.process.kill())
  else former.process.kill()
  if (how === LEADER_ENDS.refused) followersOf(cell)[0].daemon.service.state('0'.repeat(16))
  await cell.timers.advanceUntil(() => cell.leader !== undefined && cell.leader !== former, { limitMs: 10_000 })
  return cell.leader!
}

/** Ends a chain of leaders, each `lastMs` after its election. With `newVms`, each one is followed by a VM that has just joined. */
export async function replaceLeaders (
  cell: WorkflowCell,
  { how, count, lastMs, newVms = false }: { how: keyof typeof LEADER_ENDS, count: number, lastMs: number, newVms?: boolean }
): Promise<void> {
  for (let index = 0; index < count; index++) {
    const joinMs = newVms ? 400 : 0
    if (index > 0) await cell.timers.advance(lastMs - joinMs)
    if (newVms) cell.startDaemon(`joined-${index}`, { size: 2 + index })
    await cell.timers.advance(joinMs)
    await replaceLeader(cell, how)
  }
}

/** Advances the clock until a task has more than `runs` runs. Returns the time of the next start, in milliseconds. */
export async function timeOfRestart (cell: WorkflowCell, task: string, { runs = 1, limitMs = 60_000 } = {}): Promise<number> {
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > runs, { limitMs })
  return cell.runsOf(task)[runs].startMs
}

/** Times of all elections so far, in milliseconds. */
export function electionsMs (cell: WorkflowCell): number[] {
  return cell.events.filter(({ name }) => name === 'leader.elected').map(({ atMs }) => atMs)
}

/** Cuts a worker off from all daemons that run now, except one. */
export function cutFromOthers (cell: WorkflowCell, { entry }: LeasedWorker, kept: TestDaemon): void {
  for (const daemon of cell.daemons) if (daemon !== kept) daemon.client.unreachableWorkers.add(entry.id)
}

/** Has a worker answer no call until the scheduler has called it twice in vain, so that its loss is certain. */
export async function loseWorker (cell: WorkflowCell, worker: LeasedWorker): Promise<void> {
  worker.faults.unreachable = true
  await waitForEvent(cell, 'worker.lost', worker)
  await cell.timers.advance(700)
}

/** Has a lost worker answer again, and advances the clock until it has. */
export async function regainWorker (cell: WorkflowCell, worker: LeasedWorker): Promise<void> {
  worker.faults.unreachable = false
  await waitForEvent(cell, 'worker.reached', worker)
}

/** Advances the clock until a daemon logs a new event with this name about the worker. */
async function waitForEvent (cell: WorkflowCell, name: string, { entry }: LeasedWorker): Promise<void> {
  const seen = cell.events.length
  await cell.timers.advanceUntil(
    () => cell.events.slice(seen).some(event => event.name === name && event.fields.worker === incarnationOf(entry)), { limitMs: 20_000 }
  )
}

/** Delays the events of all watches of a daemon. The lag may be made longer at any time. */
export function delayWatches ({ platform, process }: TestDaemon, lag: { lagMs: number }): void {
  const watch = platform.watch.bind(platform)
  platform.watch = (prefix, fromRevision, handlers) => watch(prefix, fromRevision, {
    ...handlers, onEvents: events => { process.after(lag.lagMs, () => handlers.onEvents(events)) }
  })
}

/** What becomes of a write of the ends of leases. */
export interface RecordFaults {
  /** Time until it is carried out, in milliseconds; infinite for never. It has no answer in time when this is longer than its timeout. */
  delayMs: number
  /** It is carried out, and its answer is lost. */
  losesAnswer?: boolean
}

/** Injects faults into a daemon's writes of the ends of leases, except for its election. The returned faults may be changed. */
export function injectRecordFaults ({ platform, process }: TestDaemon, cell: WorkflowCell): { current: RecordFaults | undefined } {
  const faults: { current: RecordFaults | undefined } = { current: undefined }
  const txn = platform.txn.bind(platform)
  platform.txn = async (guards, changes, options) => {
    const isRecord = changes.some(({ key }) => key === LEASE_ENDS_KEY) && !changes.some(({ key }) => key === LEADER_KEY)
    if (!faults.current || !isRecord) return txn(guards, changes, options)
    const { delayMs, losesAnswer } = faults.current
    const timeoutMs = options?.timeoutMs ?? 1_000
    if (delayMs < timeoutMs && !losesAnswer) {
      await delay(process, delayMs)
      return txn(guards, changes, options)
    }
    if (delayMs !== Number.POSITIVE_INFINITY) cell.timers.after(delayMs, () => { cell.store.txn(guards, changes) })
    await delay(process, timeoutMs)
    return Result.err(new CallTimeoutError(timeoutMs, { step: 'platform.txn', peer: 'platform', effect: EFFECTS.unknown }))
  }
  return faults
}

/**
 * Observes the recorded ends of leases as a daemon does that sees each write at once. Returns descriptions of the workers whose lease
 * lasts longer than the end of a loss that is in the store: another scheduler may start their tasks by then.
 */
export function observeLeaseEnds (cell: WorkflowCell): string[] {
  const found = new Set<string>()
  const violations: string[] = []
  const endsMs = new Map<string, number>()
  let recorded: string[] = []
  const check = (): void => {
    for (const { entry, leaseEndMs } of cell.workers) {
      for (const loss of recorded.filter(key => key.startsWith(`${incarnationOf(entry)} `) && !found.has(key))) {
        if (leaseEndMs <= endsMs.get(loss)!) continue
        found.add(loss)
        violations.push(`${loss}: recorded until ${endsMs.get(loss)}, lasts until ${leaseEndMs}`)
      }
    }
  }
  cell.store.watch(LEASE_ENDS_KEY, 1, events => {
    const record = leaseEndsSchema.parse(JSON.parse(events.at(-1)!.value?.value ?? '[]'))
    recorded = record.map(({ worker, loss }) => `${worker} ${loss}`)
    for (const [index, { endsInMs }] of record.entries()) {
      const endMs = cell.timers.now() + endsInMs
      endsMs.set(recorded[index], Math.min(endMs, endsMs.get(recorded[index]) ?? endMs))
    }
    check()
  })
  cell.timers.every(50, check)
  return violations
}
