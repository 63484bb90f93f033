/**
 * A cell of one pool of room, for tests of the order in which steps of teams are placed. Tasks end after their run time.
 *
 * @module
 */

import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { addResources, NO_RESOURCES, workflowSchema, type Resources } from 'pomelofold/protocol/workflows'
import type { QueueConfig, TeamConfig, TeamsConfig } from 'pomelofold/seams/workflowUpstreams'
import { SubmissionBudget } from 'pomelofold/teams/submissionBudget'
import { TeamShares } from 'pomelofold/teams/teamShares'
import { TeamUsage } from 'pomelofold/teams/teamUsage'
import { SILENT_LOG, type EventLog } from 'pomelofold/utils/eventLog'
import type { ReadyStep } from 'pomelofold/workflows/readyStep'
import { StepOrder } from 'pomelofold/workflows/stepOrder'
import type { STEP_ORDERS } from 'pomelofold/workflows/stepRanks'
import { TASK_STATES, WorkflowRuntime } from 'pomelofold/workflows/workflowRuntime'
import { STEP } from '../workflows/workflowCell.js'

/** Time between two passes, in milliseconds. */
export const PASS_MS = 100
/** Size of the smallest tasks, in thousandths of a core. */
const MIN_TASK_CPU_MILLIS = 1_000

/** Objectives of quick work. */
export const QUEUE = { stretch: 1.5, targetMs: 300 } as QueueConfig

/** A workflow of one step. */
export interface Submission {
  team?: string
  tasks: number
  size: Resources
  runMs: number
  estimateMs?: number
  priority?: number
}

/** A submitted workflow and its times, in milliseconds; infinite while they are ahead. */
export interface Outcome extends Submission {
  workflow: WorkflowRuntime
  submittedMs: number
  /** Time at which its last task started. */
  startedMs: number
  endedMs: number
}

/** Teams by name. */
export function teamsOf (...teams: Array<Pick<TeamConfig, 'name' | 'weight'>>): TeamsConfig {
  return { byName: new Map(teams.map(team => [team.name, { ...team, cap: NO_RESOURCES }])), nameByKeyHash: new Map() }
}

/** Size of a task of so many cores, with 2 GB for each. */
export function cores (count: number, memoryMb = 2_000 * count): Resources {
  return { cpuMillis: 1_000 * count, memoryMb, accelerators: 0 }
}

export class SharesCell {
  readonly timers = new ManualTimers()
  readonly usage = new TeamUsage()
  readonly outcomes: Outcome[] = []
  readonly budget: SubmissionBudget
  readonly shares: TeamShares
  /** Called after each pass with the free room and the steps that wait. */
  onPass: (free: Resources, waiting: Outcome[]) => void = () => {}
  teams: TeamsConfig | undefined
  /** Teams of which the last pass has started tasks. */
  startedTeams = new Set<string | undefined>()
  private readonly _order: StepOrder
  private _free: Resources
  private _open = new Map<WorkflowRuntime, Outcome>()

  constructor ({ capacity, teams, log = SILENT_LOG, ranking }: {
    capacity: Resources, teams?: TeamsConfig, log?: EventLog, ranking?: keyof typeof STEP_ORDERS
  }) {
    this._free = capacity
    this.teams = teams
    this.budget = new SubmissionBudget({ timers: this.timers, log, teams: () => this.teams })
    this.shares = new TeamShares({ usage: this.usage, teams: () => this.teams, capacity: () => capacity })
    this._order = new StepOrder({
      shares: this.shares, teams: () => this.teams, ranking, wallClock: () => this.timers.wallClock()
    })
  }

  submit (submission: Submission): Outcome {
    const { team, tasks, size, runMs, estimateMs } = submission
    const id = this.outcomes.length.toString(16).padStart(16, '0')
    const steps = [{ ...STEP, tasks, size, estimateMs: estimateMs ?? runMs }]
    const record = workflowSchema.parse({ id, queue: 'q', team, payload: 'p', submittedAtMs: this.timers.wallClock(), steps })
    const nowMs = this.timers.now()
    const workflow = new WorkflowRuntime({ record, revision: 1, addedMs: nowMs })
    const outcome = { ...submission, workflow, submittedMs: nowMs, startedMs: Number.POSITIVE_INFINITY, endedMs: Number.POSITIVE_INFINITY }
    this.outcomes.push(outcome)
    this._open.set(workflow, outcome)
    return outcome
  }

  /** Runs passes until `endMs`. `arrivals` is called before each. */
  async runUntil (endMs: number, arrivals: (nowMs: number) => void = () => {}): Promise<void> {
    while (this.timers.now() < endMs) {
      arrivals(this.timers.now())
      this.pass()
      await this.timers.advance(PASS_MS)
    }
  }

  /** Starts all tasks for which there is room, in order. */
  pass (): void {
    const nowMs = this.timers.now()
    this.startedTeams.clear()
    this.budget.update(this._open.keys())
    for (const { step } of this._order.inOrder(this._readySteps(nowMs), { nowMs, claimedByTeam: new TeamUsage() })) {
      if (this._free.cpuMillis < MIN_TASK_CPU_MILLIS) break
      const outcome = this._open.get(step.workflow)!
      for (const task of step.tasks) {
        if (task.state !== TASK_STATES.waiting) continue
        if (!fits(outcome.size, this._free)) break
        task.state = TASK_STATES.running
        this._use(outcome, 1)
        this.startedTeams.add(outcome.team)
        this.timers.after(outcome.runMs, () => {
          this._use(outcome, -1)
          step.workflow.markDone(task)
          if (step.done) outcome.endedMs = this.timers.now()
        })
      }
      if (step.tasks.every(({ state }) => state !== TASK_STATES.waiting)) {
        outcome.startedMs = nowMs
        this._open.delete(step.workflow)
      }
    }
    this.onPass(this._free, [...this._open.values()])
  }

  private _readySteps (nowMs: number): ReadyStep[] {
    return [...this._open].map(([workflow, { priority = 0 }]) => {
      const [step] = workflow.steps(0)!
      step.readyMs ??= nowMs
      return { step, queue: { ...QUEUE, priority }, beyondBudget: this.budget.isBeyond(workflow) }
    })
  }

  private _use ({ team, size }: Outcome, sign: 1 | -1): void {
    this._free = addResources(this._free, size, -sign)
    this.usage.add(team ?? '', size, sign)
  }
}

/** True when there is room for a task of that size. */
export function fits (size: Resources, free: Resources): boolean {
  return size.cpuMillis <= free.cpuMillis && size.memoryMb <= free.memoryMb
}
