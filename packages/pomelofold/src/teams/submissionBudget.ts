/**
 * Decides which workflows are beyond their team's number of workflows a second.
 *
 * Load pattern: one team submits many times its usual for some seconds. Each team has tokens for `weight` workflows a second; a
 * token that is taken returns after the window over which the rate is judged. A workflow that finds none is beyond the budget: it
 * comes after the work of all teams within theirs. It gets a token later, in order of submission, when all that its team submitted
 * within the last window has left some unused.
 *
 * The classes follow from the times of submission and the ids, not from when this daemon has learned of the workflows, so that a
 * new leader comes to nearly the same ones.
 *
 * @module
 */

import type { Timers } from '../seams/timers.js'
import type { TeamConfig, TeamsConfig } from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'

/** Time for which a workflow holds its token, in milliseconds: callers' rates are judged over windows of this length. */
const RATE_WINDOW_MS = 5_000

/** The part of a workflow that the budget reads. */
export interface BudgetedWorkflow {
  readonly record: { readonly id: string, readonly team?: string, readonly submittedAtMs: number }
  /** True when no further task of it may start. */
  readonly isOver: boolean
}

/** Options of a {@link SubmissionBudget}. */
export interface SubmissionBudgetOptions {
  timers: Timers
  log: EventLog
  /** The teams of the active configuration; undefined when it names none. */
  teams: () => TeamsConfig | undefined
}

/** Budget of one team. Dates are in milliseconds since the Unix epoch. */
interface TeamBudget {
  /** Dates at which tokens were taken within the last window. */
  taken: number[]
  /** Dates of all submissions within the last window. */
  submitted: number[]
  /** Open workflows beyond the budget, in the order in which they get tokens. */
  beyond: BudgetedWorkflow[]
  /** Time at which a workflow was last beyond the budget, in milliseconds of the monotonic clock; undefined while the team is within. */
  lastBeyondMs: number | undefined
  /** Number of workflows beyond the budget since the team was last within. */
  beyondCount: number
}

/** Classes of all open workflows. */
export class SubmissionBudget {
  private readonly _options: SubmissionBudgetOptions
  private readonly _budgets = new Map<string, TeamBudget>()
  private readonly _classified = new WeakSet<BudgetedWorkflow>()
  private readonly _beyond = new WeakSet<BudgetedWorkflow>()

  constructor (options: SubmissionBudgetOptions) {
    this._options = options
  }

  /** Classifies the workflows that are new, in the order of their submission, and gives unused tokens to earlier ones. */
  update (open: Iterable<BudgetedWorkflow>): void {
    const teams = this._options.teams()
    if (!teams) return
    const added: BudgetedWorkflow[] = []
    for (const workflow of open) if (!this._classified.has(workflow)) added.push(workflow)
    added.sort(({ record: a }, { record: b }) => a.submittedAtMs - b.submittedAtMs || (a.id < b.id ? -1 : 1))
    for (const workflow of added) this._classify(workflow, teams)
    for (const [name, budget] of this._budgets) this._useUnusedTokens(name, budget, teams.byName.get(name))
  }

  /** True when the workflow comes after those of all teams within their budgets. */
  isBeyond (workflow: BudgetedWorkflow): boolean {
    return this._options.teams() !== undefined && this._beyond.has(workflow)
  }

  /** True when a workflow that the team submits now would be beyond its budget. */
  isExhausted (name: string): boolean {
    const team = this._options.teams()?.byName.get(name)
    const budget = this._budgets.get(name)
    if (!team || !budget) return false
    const sinceMs = this._options.timers.wallClock() - RATE_WINDOW_MS
    return budget.taken.filter(takenMs => takenMs > sinceMs).length >= tokensOf(team)
  }

  /** Number of open workflows beyond the team's budget. */
  beyondCount (team: string): number {
    return this._budgets.get(team)?.beyond.filter(workflow => !workflow.isOver).length ?? 0
  }

  private _classify (workflow: BudgetedWorkflow, { byName }: TeamsConfig): void {
    this._classified.add(workflow)
    const { record } = workflow
    const team = record.team === undefined ? undefined : byName.get(record.team)
    if (!team) return
    const { timers } = this._options
    // The clocks of the daemons that accept workflows may differ.
    const atMs = Math.min(record.submittedAtMs, timers.wallClock())
    const budget = this._budgetOf(team.name)
    forgetOld(budget.submitted, atMs)
    forgetOld(budget.taken, atMs)
    budget.submitted.push(atMs)
    if (budget.taken.length < tokensOf(team)) {
      budget.taken.push(atMs)
      return
    }
    this._beyond.add(workflow)
    budget.beyond.push(workflow)
    budget.beyondCount++
    if (budget.lastBeyondMs === undefined) {
      this._options.log.event('info', 'team.budget.exceeded', { team: team.name, weight: team.weight, jobId: record.id })
    }
    budget.lastBeyondMs = timers.now()
  }

  /** Gives tokens that the submissions of the last window have left unused to workflows beyond the budget. */
  private _useUnusedTokens (name: string, budget: TeamBudget, team: TeamConfig | undefined): void {
    if (budget.lastBeyondMs === undefined) return
    const { timers, log } = this._options
    const { beyond, submitted, taken } = budget
    const nowMs = timers.wallClock()
    forgetOld(submitted, nowMs)
    forgetOld(taken, nowMs)
    // Workflows of a team that the configuration no longer names have no budget.
    let unused = team ? tokensOf(team) - Math.max(submitted.length, taken.length) : beyond.length
    while (beyond.length > 0 && (beyond[0].isOver || unused > 0)) {
      const workflow = beyond.shift()!
      if (workflow.isOver) continue
      this._beyond.delete(workflow)
      taken.push(nowMs)
      unused--
    }
    if (beyond.length > 0 || timers.now() - budget.lastBeyondMs < RATE_WINDOW_MS) return
    log.event('info', 'team.budget.kept', { team: name, workflows: budget.beyondCount })
    budget.lastBeyondMs = undefined
    budget.beyondCount = 0
  }

  private _budgetOf (team: string): TeamBudget {
    let budget = this._budgets.get(team)
    if (!budget) {
      budget = { taken: [], submitted: [], beyond: [], lastBeyondMs: undefined, beyondCount: 0 }
      this._budgets.set(team, budget)
    }
    return budget
  }
}

/** Number of tokens of a team. A team of any weight above 0 can submit one workflow at a time. */
function tokensOf ({ weight }: TeamConfig): number {
  return weight > 0 ? Math.max(1, Math.floor(weight * RATE_WINDOW_MS / 1_000)) : 0
}

/** Removes the dates before the window that ends at `atMs`, and all of them when the clock was set back. */
function forgetOld (dates: number[], atMs: number): void {
  if (dates.length > 0 && dates[dates.length - 1] > atMs + RATE_WINDOW_MS) dates.length = 0
  while (dates.length > 0 && dates[0] <= atMs - RATE_WINDOW_MS) dates.shift()
}
