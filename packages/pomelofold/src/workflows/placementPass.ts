/**
 * The workers that one placement pass can use, and the room on them that blocked steps claim.
 *
 * Load pattern: gangs and large tasks wait for room that small tasks would take as soon as it becomes free, and
 * many steps wait for the same room while each query of the eligibility service takes most of a second. A pass
 * handles steps in order. Room that a step claims is not used by the steps after it: neither for their queries, nor for
 * their tasks, unless these are likely to end before the claimant can start.
 *
 * While hundreds of steps wait in a full cell, few workers have room for any of them. The pass keeps the workers that have room
 * for a size, and those of each service and label, so that a step that is larger is compared with these alone.
 *
 * @module
 */

import { remainingRunMs } from './drainMoves.js'
import { fitsInto, unusedRoom, reservedRoom } from './stepPlacer.js'
import type { StepRuntime, WorkflowRuntime } from './workflowRuntime.js'
import type { WorkerSession } from './workerSession.js'
import { addResources, NO_RESOURCES, type Resources } from '../protocol/workflows.js'
import { NO_TEAM, TeamUsage } from '../teams/teamUsage.js'

/** Number of workers with room from which a step is placed without a look at whether it may use one of them. */
const MAX_CHECKED_WORKERS = 16

interface Claim {
  /** Position of the claimant in the pass. */
  order: number
  room: Resources
  /** Time until which the claimant cannot use the room, in milliseconds of the monotonic clock. */
  idleUntilMs: number
}

/** Expected end of a run, in milliseconds of the monotonic clock. */
export interface ExpectedEnd {
  size: Resources
  endsMs: number
}

/** A step and its position in the pass. */
export interface OrderedStep {
  step: StepRuntime
  order: number
}

/** Options of a {@link PlacementPass}. */
export interface PlacementPassOptions {
  workers: Iterable<WorkerSession>
  /** True when tasks may start on the worker now. */
  isUsable: (worker: WorkerSession) => boolean
  nowMs: number
  /** Estimated run time of a task of the step on the worker, in milliseconds. */
  estimateMs: (step: StepRuntime, worker: WorkerSession) => number
  /** Workflow whose task is on trial on the worker: only its tasks may start there. */
  trialOn: (worker: WorkerSession) => WorkflowRuntime | undefined
  /** True while tasks are on trial on any worker. */
  hasTrials: () => boolean
}

/** State of one placement pass. */
export class PlacementPass {
  readonly nowMs: number
  /** Room that steps of each team have claimed. */
  readonly claimedByTeam = new TeamUsage()
  private readonly _estimateMs: PlacementPassOptions['estimateMs']
  private readonly _trialOn: PlacementPassOptions['trialOn']
  private readonly _hasTrials: PlacementPassOptions['hasTrials']
  private readonly _usable = new Set<WorkerSession>()
  private readonly _byService = new Map<string, WorkerSession[]>()
  /** Workers by service and required label, without regard to trials. */
  private readonly _byLabel = new Map<string, Map<string, WorkerSession[]>>()
  /** Workers by service with room for a task of some size when first asked for. Room does not grow in the course of a pass. */
  private readonly _withRoom = new Map<string, Array<{ size: Resources, workers: WorkerSession[] }>>()
  private readonly _claims = new Map<WorkerSession, Claim[]>()
  private readonly _expectedEnds = new Map<WorkerSession, ExpectedEnd[]>()

  constructor ({ workers, isUsable, nowMs, estimateMs, trialOn, hasTrials }: PlacementPassOptions) {
    this.nowMs = nowMs
    this._estimateMs = estimateMs
    this._trialOn = trialOn
    this._hasTrials = hasTrials
    for (const worker of workers) {
      if (!isUsable(worker)) continue
      this._usable.add(worker)
      const others = this._byService.get(worker.entry.service)
      if (others) others.push(worker)
      else this._byService.set(worker.entry.service, [worker])
    }
  }

  /** Workers of the service on which tasks of the step may start now. Callers share the list and must not change it. */
  workersFor (step: StepRuntime, service: string): WorkerSession[] {
    const workers = this._labelled(step, service)
    return this._hasTrials() ? workers.filter(worker => this._mayShare(worker, step)) : workers
  }

  private _labelled (step: StepRuntime, service: string): WorkerSession[] {
    const all = this._byService.get(service) ?? []
    const label = step.spec.requiredLabel
    if (label === '') return all
    const byLabel = this._byLabel.get(service) ?? new Map<string, WorkerSession[]>()
    this._byLabel.set(service, byLabel)
    let workers = byLabel.get(label)
    if (!workers) byLabel.set(label, workers = all.filter(worker => hasRequiredLabel(worker, step)))
    return workers
  }

  /**
   * False when no task of the step can start: no usable worker of the service that `mayUse` accepts has room for one, whether
   * claimed or not.
   */
  mayFit (step: StepRuntime, service: string, mayUse: (worker: WorkerSession) => boolean): boolean {
    const size = reservedRoom(step)
    let fitting = 0
    for (const worker of this._workersWithRoom(size, service)) {
      if (!fitsInto(size, unusedRoom(worker))) continue
      if (++fitting === MAX_CHECKED_WORKERS || mayUse(worker)) return true
    }
    return false
  }

  /** Usable workers of the service among which are all that have room for a task of that size. */
  private _workersWithRoom (size: Resources, service: string): WorkerSession[] {
    const known = this._withRoom.get(service) ?? []
    this._withRoom.set(service, known)
    let shortest: WorkerSession[] | undefined
    for (const other of known) {
      if (fitsInto(other.size, size) && other.workers.length < (shortest?.length ?? Number.POSITIVE_INFINITY)) shortest = other.workers
    }
    if (shortest) return shortest
    const workers = (this._byService.get(service) ?? []).filter(worker => fitsInto(size, unusedRoom(worker)))
    known.push({ size, workers })
    return workers
  }

  /** True when the worker is one of `workersFor`. */
  isUsable (worker: WorkerSession, step: StepRuntime, service: string): boolean {
    return this._usable.has(worker) && worker.entry.service === service && hasRequiredLabel(worker, step) &&
      (!this._hasTrials() || this._mayShare(worker, step))
  }

  private _mayShare (worker: WorkerSession, { workflow }: StepRuntime): boolean {
    const onTrial = this._trialOn(worker)
    return onTrial === undefined || onTrial === workflow
  }

  /** Claims room for `tasks` tasks of a step, which cannot start before `idleUntilMs`. */
  claim ({ step, order }: OrderedStep, worker: WorkerSession, { tasks, idleUntilMs }: { tasks: number, idleUntilMs: number }): void {
    const claim = { order, room: addResources(NO_RESOURCES, reservedRoom(step), tasks), idleUntilMs }
    this.claimedByTeam.add(step.workflow.record.team ?? NO_TEAM, claim.room)
    const others = this._claims.get(worker)
    if (others) others.push(claim)
    else this._claims.set(worker, [claim])
  }

  /** Free room on a worker for tasks of the step: without the claims of earlier steps that these tasks would delay. */
  freeRoom ({ step, order }: OrderedStep, worker: WorkerSession): Resources {
    let free = unusedRoom(worker)
    const claims = this._claims.get(worker)
    if (!claims) return free
    const endsMs = step.spec.longRunning ? Number.POSITIVE_INFINITY : this.nowMs + this._estimateMs(step, worker)
    for (const claim of claims) if (claim.order < order && claim.idleUntilMs < endsMs) free = addResources(free, claim.room, -1)
    return free
  }

  /** Room on a worker for tasks of the step at a later time, if runs end as expected: without the claims of earlier steps. */
  expectedRoom ({ order }: OrderedStep, worker: WorkerSession, atMs: number): Resources {
    const room = unusedRoom(worker)
    if (atMs >= this.nowMs) {
      for (const { size, endsMs } of this.expectedEnds(worker)) {
        if (endsMs > atMs) break
        addTo(room, size, 1)
      }
    }
    const claims = this._claims.get(worker)
    if (claims) for (const claim of claims) if (claim.order < order) addTo(room, claim.room, -1)
    return room
  }

  /** Expected ends of the runs on a worker that end by themselves, in order of time. */
  expectedEnds (worker: WorkerSession): ExpectedEnd[] {
    let ends = this._expectedEnds.get(worker)
    if (!ends) {
      ends = []
      for (const run of worker.runs.values()) {
        if (run.task?.step.spec.longRunning) continue
        ends.push({ size: run.size ?? NO_RESOURCES, endsMs: this.nowMs + Math.max(0, remainingRunMs(run, this.nowMs)) })
      }
      ends.sort((a, b) => a.endsMs - b.endsMs)
      this._expectedEnds.set(worker, ends)
    }
    return ends
  }
}

function addTo (room: Resources, size: Resources, sign: 1 | -1): void {
  room.cpuMillis += sign * size.cpuMillis
  room.memoryMb += sign * size.memoryMb
  room.accelerators += sign * size.accelerators
}

function hasRequiredLabel ({ entry }: WorkerSession, { spec }: StepRuntime): boolean {
  return spec.requiredLabel === '' || entry.labels.includes(spec.requiredLabel)
}
