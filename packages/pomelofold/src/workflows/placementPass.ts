/**
 * The workers that one placement pass can use, and the room on them that blocked steps claim.
 *
 * Load pattern: gangs and large tasks wait for room that small tasks would take as soon as it becomes free, and
 * many steps wait for the same room while each query of the eligibility service takes most of a second. A pass
 * handles steps in order. Room that a step claims is not used by the steps after it: neither for their queries, nor for
 * their tasks, unless these are likely to end before the claimant can start.
 *
 * @module
 */

import { remainingRunMs } from './drainMoves.js'
import { unusedRoom, reservedRoom } from './stepPlacer.js'
import type { StepRuntime, WorkflowRuntime } from './workflowRuntime.js'
import type { WorkerSession } from './workerSession.js'
import { addResources, NO_RESOURCES, type Resources } from '../protocol/workflows.js'
import { NO_TEAM, TeamUsage } from '../teams/teamUsage.js'

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
}

/** State of one placement pass. */
export class PlacementPass {
  readonly nowMs: number
  /** Room that steps of each team have claimed. */
  readonly claimedByTeam = new TeamUsage()
  private readonly _estimateMs: PlacementPassOptions['estimateMs']
  private readonly _trialOn: PlacementPassOptions['trialOn']
  private readonly _usable = new Set<WorkerSession>()
  private readonly _byService = new Map<string, WorkerSession[]>()
  private readonly _claims = new Map<WorkerSession, Claim[]>()
  private readonly _expectedEnds = new Map<WorkerSession, ExpectedEnd[]>()

  constructor ({ workers, isUsable, nowMs, estimateMs, trialOn }: PlacementPassOptions) {
    this.nowMs = nowMs
    this._estimateMs = estimateMs
    this._trialOn = trialOn
    for (const worker of workers) {
      if (!isUsable(worker)) continue
      this._usable.add(worker)
      const others = this._byService.get(worker.entry.service)
      if (others) others.push(worker)
      else this._byService.set(worker.entry.service, [worker])
    }
  }

  /** Workers of the service on which tasks of the step may start now. */
  workersFor (step: StepRuntime, service: string): WorkerSession[] {
    return (this._byService.get(service) ?? []).filter(worker => hasRequiredLabel(worker, step) && this._mayShare(worker, step))
  }

  /** True when the worker is one of `workersFor`. */
  isUsable (worker: WorkerSession, step: StepRuntime, service: string): boolean {
    return this._usable.has(worker) && worker.entry.service === service && hasRequiredLabel(worker, step) && this._mayShare(worker, step)
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
    let room = unusedRoom(worker)
    for (const { size, endsMs } of this.expectedEnds(worker)) {
      if (endsMs > atMs) break
      room = addResources(room, size)
    }
    for (const claim of this._claims.get(worker) ?? []) if (claim.order < order) room = addResources(room, claim.room, -1)
    return room
  }

  /** Expected ends of the runs on a worker that end by themselves, in order of time. */
  expectedEnds (worker: WorkerSession): ExpectedEnd[] {
    let ends = this._expectedEnds.get(worker)
    if (!ends) {
      ends = [...worker.runs.values()].filter(run => !run.task?.step.spec.longRunning)
        .map(run => ({ size: run.size ?? NO_RESOURCES, endsMs: this.nowMs + Math.max(0, remainingRunMs(run, this.nowMs)) }))
        .sort((a, b) => a.endsMs - b.endsMs)
      this._expectedEnds.set(worker, ends)
    }
    return ends
  }
}

function hasRequiredLabel ({ entry }: WorkerSession, { spec }: StepRuntime): boolean {
  return spec.requiredLabel === '' || entry.labels.includes(spec.requiredLabel)
}
