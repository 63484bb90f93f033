/**
 * Decides about which workers a step queries the eligibility service now.
 *
 * Load pattern: a service whose calls take most of a second, few daemons that can call it, and more waiting steps
 * than there is room for. Tickets expire within seconds, but who may run a step does not change. So a step renews the
 * tickets of eligible workers that have room, or are expected to have some when the answer arrives, and asks about
 * further workers only while those are too few. A step without any room asks about some workers in advance, once, so that
 * it does not start to look for an eligible one when a worker becomes free.
 *
 * @module
 */

import { StepRoom } from './stepPlacer.js'
import type { StepRuntime } from './workflowRuntime.js'
import { workersToQuery } from './workersToQuery.js'
import type { WorkerSession } from './workerSession.js'
import type { Resources } from '../protocol/workflows.js'

/** Number of known eligible workers for each waiting task from which a step asks about no others in advance. */
const KNOWN_WORKERS_PER_TASK = 2
/** Minimum number of known eligible workers from which a step asks about no others in advance. */
const KNOWN_WORKERS_MIN = 8
/** Minimum number of workers in each of several simultaneous calls: more calls would mostly repeat the base time of a call. */
const MIN_WORKERS_PER_CALL = 24

/** Options of {@link planQuery}. */
export interface PlanQueryOptions {
  step: StepRuntime
  /** Number of tasks that wait. */
  tasks: number
  /** Workers on which tasks of the step may start, as far as service and labels decide. */
  workers: WorkerSession[]
  /** Whether the worker may run the step; undefined when the service has not answered for it. */
  isEligible: (worker: WorkerSession) => boolean | undefined
  /** True when a ticket for the worker is valid now. */
  hasTicket: (worker: WorkerSession) => boolean
  /** Room on a worker that tasks of the step may use now. */
  freeRoom: (worker: WorkerSession) => Resources
  /** Room on a worker that tasks of the step may use soon after the answer. */
  expectedRoom: (worker: WorkerSession) => Resources
  /** Run time on a worker relative to the fastest kind of worker; 1 for the fastest. */
  slowness: (worker: WorkerSession) => number
  /** Share of the workers that steps of the queue may use, which determines the size of a query; undefined when it is not known. */
  eligibleShare?: number
  maxWorkers: number
}

/** A planned query. */
export interface PlannedQuery {
  /** Workers to query, the most suitable ones first. */
  workers: WorkerSession[]
  /** True when a task may be able to start after the answer. Other queries are made in advance. */
  startsTasks: boolean
}

/** Plans a query. Without workers when there is nothing to ask. */
export function planQuery (options: PlanQueryOptions): PlannedQuery {
  const { step, isEligible } = options
  const eligible: WorkerSession[] = []
  const unknown: WorkerSession[] = []
  for (const worker of options.workers) {
    const answer = isEligible(worker)
    if (answer === undefined) unknown.push(worker)
    else if (answer) eligible.push(worker)
  }
  const plan = step.spec.gang ? planGangQuery : planTaskQuery
  for (const roomOf of [options.freeRoom, options.expectedRoom]) {
    const workers = plan(options, { room: new StepRoom(step, roomOf), eligible, unknown })
    if (workers.length > 0) return { workers, startsTasks: true }
  }
  return { workers: planAdvanceQuery(options, { eligible, unknown }), startsTasks: false }
}

/** Splits a query into simultaneous calls, at most `maxCalls`. */
export function splitQuery (workers: WorkerSession[], maxCalls: number): WorkerSession[][] {
  const calls = Math.max(1, Math.min(maxCalls, Math.floor(workers.length / MIN_WORKERS_PER_CALL)))
  // Each call gets an equal share of the most suitable workers.
  return Array.from({ length: calls }, (_, call) => workers.filter((_worker, index) => index % calls === call))
}

interface Candidates {
  room: StepRoom
  eligible: WorkerSession[]
  unknown: WorkerSession[]
}

/** Eligible workers with room whose tickets have expired, and others with room while those are too few. */
function planTaskQuery (options: PlanQueryOptions, { room, eligible, unknown }: Candidates): WorkerSession[] {
  const { tasks, hasTicket, slowness, eligibleShare, maxWorkers } = options
  const expired: Array<{ worker: WorkerSession, slots: number, slowness: number, freeCpuMillis: number }> = []
  let missing = tasks
  for (const worker of eligible) {
    const slots = room.slots(worker, tasks)
    if (slots === 0) continue
    if (hasTicket(worker)) missing -= slots
    else expired.push({ worker, slots, slowness: slowness(worker), freeCpuMillis: room.free(worker).cpuMillis })
  }
  const renewed: WorkerSession[] = []
  for (const { worker, slots } of expired.sort((x, y) => x.slowness - y.slowness || y.freeCpuMillis - x.freeCpuMillis)) {
    if (missing <= 0 || renewed.length === maxWorkers) break
    renewed.push(worker)
    missing -= slots
  }
  if (missing <= 0) return renewed
  const withRoom = unknown.filter(worker => room.slots(worker, 1) > 0)
  const asked = workersToQuery({
    workers: withRoom,
    tasks: missing,
    slots: worker => room.slots(worker, missing),
    slowness,
    eligibleShare,
    maxWorkers: maxWorkers - renewed.length
  })
  const workers = [...renewed, ...asked]
  if (workers.length === 0 || asked.length < withRoom.length) return workers
  // The call is made in any case, and its time grows little with further workers.
  const inAdvance = planAdvanceQuery(options, { eligible, unknown: unknown.filter(worker => !asked.includes(worker)) })
  return [...workers, ...inAdvance].slice(0, maxWorkers)
}

/** Workers that together have room for the whole gang. */
function planGangQuery ({ tasks, hasTicket, slowness, maxWorkers }: PlanQueryOptions, { room, eligible }: Candidates): WorkerSession[] {
  const ready: WorkerSession[] = []
  let missing = tasks
  for (const worker of [...eligible].sort((a, b) => slowness(a) - slowness(b))) {
    if (missing <= 0) break
    const slots = room.slots(worker, missing)
    if (slots === 0) continue
    ready.push(worker)
    missing -= slots
  }
  // The members start together, so a ticket that is still valid is renewed with the others.
  return missing > 0 || ready.every(hasTicket) ? [] : ready.slice(0, maxWorkers)
}

/** Workers whose answers are useful later: those that could run tasks of the step without other runs. */
function planAdvanceQuery (
  { step, tasks, slowness, eligibleShare, maxWorkers }: PlanQueryOptions, { eligible, unknown }: Omit<Candidates, 'room'>
): WorkerSession[] {
  const enough = step.spec.gang ? Number.POSITIVE_INFINITY : Math.max(KNOWN_WORKERS_MIN, KNOWN_WORKERS_PER_TASK * tasks)
  if (eligible.length >= enough) return []
  const emptyRoom = new StepRoom(step, worker => worker.entry.capacity)
  const able = unknown.filter(worker => emptyRoom.slots(worker, 1) > 0)
  return workersToQuery({ workers: able, tasks: step.spec.gang ? maxWorkers : 1, slowness, eligibleShare, maxWorkers })
}
