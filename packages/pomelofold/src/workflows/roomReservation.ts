/**
 * Selects the workers on which a blocked step waits for room.
 *
 * Load pattern: a gang, or a task that needs most of a worker, while small tasks take each piece of room as soon as it
 * becomes free. The step waits for the workers that are expected to have room for it first.
 *
 * @module
 */

import type { OrderedStep, PlacementPass } from './placementPass.js'
import { groupByRack, StepRoom } from './stepPlacer.js'
import type { StepRuntime } from './workflowRuntime.js'
import type { WorkerSession } from './workerSession.js'
import type { Resources } from '../protocol/workflows.js'
import { NO_TEAM } from '../teams/teamUsage.js'

/** Share of a worker's capacity from which a task counts as large. */
const LARGE_TASK_SHARE = 0.5
/** Maximum number of steps that reserve room in one pass: limits the room that stands idle and the time of a pass. */
const MAX_RESERVING_STEPS = 8
/** Maximum number of them of one team, so that the gangs of one team do not keep those of others from reserving room. */
const MAX_RESERVING_STEPS_OF_TEAM = 2

/** Smallest capacity among the workers of a list, by resource. A pass uses the same list for many steps. */
const smallestCapacities = new WeakMap<WorkerSession[], Resources>()

/** Room that a step waits for on a worker. */
export interface Reservation {
  worker: WorkerSession
  tasks: number
  /** Time at which the room is expected to be free, in milliseconds of the monotonic clock. */
  freeAtMs: number
}

/** Counts the steps that reserve room in one pass. */
export class ReservingSteps {
  private readonly _byTeam: boolean
  private readonly _countOf = new Map<string, number>()
  private _count = 0

  /** `byTeam` tells whether the configuration names teams. */
  constructor ({ byTeam }: { byTeam: boolean }) {
    this._byTeam = byTeam
  }

  /** True when the step may reserve room, too. */
  mayAdd (step: StepRuntime): boolean {
    if (this._count === MAX_RESERVING_STEPS) return false
    return !this._byTeam || this._of(step) < MAX_RESERVING_STEPS_OF_TEAM
  }

  add (step: StepRuntime): void {
    this._count++
    this._countOf.set(teamOf(step), this._of(step) + 1)
  }

  private _of (step: StepRuntime): number {
    return this._countOf.get(teamOf(step)) ?? 0
  }
}

/** Options of {@link planReservations}. */
export interface PlanReservationsOptions {
  ordered: OrderedStep
  /** Number of tasks that wait. */
  tasks: number
  /** Workers on which the tasks may run. */
  workers: WorkerSession[]
  pass: PlacementPass
}

/** True for steps that small tasks can keep from starting for ever. */
export function needsReservation ({ spec }: StepRuntime, workers: WorkerSession[]): boolean {
  if (spec.gang) return true
  const { size } = spec
  const smallest = smallestCapacity(workers)
  return size.cpuMillis > LARGE_TASK_SHARE * smallest.cpuMillis || size.memoryMb > LARGE_TASK_SHARE * smallest.memoryMb ||
    (size.accelerators > 0 && size.accelerators > LARGE_TASK_SHARE * smallest.accelerators)
}

function smallestCapacity (workers: WorkerSession[]): Resources {
  let smallest = smallestCapacities.get(workers)
  if (!smallest) {
    smallest = { cpuMillis: Number.POSITIVE_INFINITY, memoryMb: Number.POSITIVE_INFINITY, accelerators: Number.POSITIVE_INFINITY }
    for (const { entry: { capacity } } of workers) {
      smallest.cpuMillis = Math.min(smallest.cpuMillis, capacity.cpuMillis)
      smallest.memoryMb = Math.min(smallest.memoryMb, capacity.memoryMb)
      smallest.accelerators = Math.min(smallest.accelerators, capacity.accelerators)
    }
    smallestCapacities.set(workers, smallest)
  }
  return smallest
}

/** Workers to wait for, those expected to have room first. None for a gang that does not fit even when all runs have ended. */
export function planReservations (options: PlanReservationsOptions): Reservation[] {
  const { workers, ordered: { step } } = options
  if (!step.spec.gang || !step.spec.sameRack) return reserveAmong(workers, options)
  const plans = groupByRack(workers).map(rack => reserveAmong(rack, options)).filter(plan => plan.length > 0)
  const lastFreeMs = (plan: Reservation[]): number => Math.max(...plan.map(({ freeAtMs }) => freeAtMs))
  return plans.sort((a, b) => lastFreeMs(a) - lastFreeMs(b))[0] ?? reserveAmong(workers, options)
}

function reserveAmong (workers: WorkerSession[], options: PlanReservationsOptions): Reservation[] {
  const found = workers.map(worker => firstRoom(worker, options)).filter(reservation => reservation !== undefined)
  const plan: Reservation[] = []
  let missing = options.tasks
  for (const reservation of found.sort((a, b) => a.freeAtMs - b.freeAtMs)) {
    if (missing === 0) break
    const tasks = Math.min(missing, reservation.tasks)
    plan.push({ ...reservation, tasks })
    missing -= tasks
  }
  return missing > 0 && options.ordered.step.spec.gang ? [] : plan
}

/** The time at which the worker is expected to have room for a task of the step, and the number of tasks that fit then. */
function firstRoom (worker: WorkerSession, { ordered, tasks, pass }: PlanReservationsOptions): Reservation | undefined {
  const room = pass.expectedRoom(ordered, worker, Number.NEGATIVE_INFINITY)
  const stepRoom = new StepRoom(ordered.step, () => room)
  let slots = stepRoom.slots(worker, tasks)
  if (slots > 0) return { worker, tasks: slots, freeAtMs: pass.nowMs }
  for (const { size, endsMs } of pass.expectedEnds(worker)) {
    room.cpuMillis += size.cpuMillis
    room.memoryMb += size.memoryMb
    room.accelerators += size.accelerators
    slots = stepRoom.slots(worker, tasks)
    if (slots > 0) return { worker, tasks: slots, freeAtMs: endsMs }
  }
}

function teamOf ({ workflow }: StepRuntime): string {
  return workflow.record.team ?? NO_TEAM
}
