/**
 * Bounds what the teams may have running that an earlier scheduler has started and no worker has listed to this one.
 *
 * Load pattern: a scheduler is replaced while workers are silent and a team is at its cap. Both bounds are needed: teams with much
 * stored work are held up only for the silent workers' capacity, and teams with little work only for that work.
 *
 * @module
 */

import type { WorkerFleet } from './workerFleet.js'
import type { WorkflowRegistry } from './workflowRegistry.js'
import { TASK_STATES, type StepRuntime, type WorkflowRuntime } from './workflowRuntime.js'
import { addResources, NO_RESOURCES, type Resources } from '../protocol/workflows.js'

/** Size of a team's work that cannot be bounded. */
const UNBOUNDED: Resources = {
  cpuMillis: Number.POSITIVE_INFINITY, memoryMb: Number.POSITIVE_INFINITY, accelerators: Number.POSITIVE_INFINITY
}
/** Largest number of runs that a task of a step that allows copies has at the same time. */
const MAX_COPIES = 2

/** Options of {@link InheritedUsage}. */
export interface InheritedUsageOptions {
  fleet: Pick<WorkerFleet, 'inheritedWorkersSettled' | 'unsettledCapacity'>
  registry: Pick<WorkflowRegistry, 'all' | 'leftRunning'>
  /** Store revision from which on workflows cannot have been started by the earlier scheduler. */
  newFromRevision: () => number
}

/** Computes the bound of each team, at most once in a pass. */
export class InheritedUsage {
  private readonly _options: InheritedUsageOptions
  private _settled: boolean | undefined
  private _workByTeam: Map<string, Resources> | undefined

  constructor (options: InheritedUsageOptions) {
    this._options = options
  }

  /** Called before the steps of a pass are placed. */
  startPass (): void {
    this._settled = undefined
    this._workByTeam = undefined
  }

  /** Most that the team may have running unseen. */
  of (team: string): Resources {
    this._settled ??= this._options.fleet.inheritedWorkersSettled
    if (this._settled) return NO_RESOURCES
    this._workByTeam ??= this._sumWork()
    return this._workByTeam.get(team) ?? NO_RESOURCES
  }

  private _sumWork (): Map<string, Resources> {
    const { fleet, registry, newFromRevision } = this._options
    const work = registry.leftRunning()
    for (const workflow of registry.all()) {
      const { team, repeat } = workflow.record
      if (team === undefined || workflow.revision >= newFromRevision()) continue
      // The clock of the earlier scheduler may have been ahead, so that more occurrences were due.
      work.set(team, addResources(work.get(team) ?? NO_RESOURCES, repeat ? UNBOUNDED : unlistedWork(workflow)))
    }
    // The capacity is not known before the roster and the directory have been read.
    const capacity = fleet.unsettledCapacity
    if (capacity) for (const [team, size] of work) work.set(team, minResources(size, capacity))
    return work
  }
}

/** Sum of the tasks that may run somewhere without being listed. */
function unlistedWork (workflow: WorkflowRuntime): Resources {
  return workflow.steps(0)!.reduce((sum, step) => addResources(sum, step.spec.size, unlistedRuns(step)), NO_RESOURCES as Resources)
}

function unlistedRuns ({ tasks, spec }: StepRuntime): number {
  let count = 0
  for (const { state, run, supersededRuns } of tasks) {
    const most = spec.speculative ? MAX_COPIES : state === TASK_STATES.done ? 0 : 1
    count += Math.max(0, most - (run ? 1 : 0) - supersededRuns.length)
  }
  return count
}

function minResources (a: Resources, b: Resources): Resources {
  return {
    cpuMillis: Math.min(a.cpuMillis, b.cpuMillis),
    memoryMb: Math.min(a.memoryMb, b.memoryMb),
    accelerators: Math.min(a.accelerators, b.accelerators)
  }
}
