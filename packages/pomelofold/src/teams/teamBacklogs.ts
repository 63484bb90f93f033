/**
 * The leader's account of the workflows that teams have submitted beyond their number and that have not started.
 *
 * Load pattern: a flood of one team. Its backlog is sampled at a fixed period, so that the account costs the same at any rate of
 * submissions, starts and questions.
 *
 * @module
 */

import type { BudgetedWorkflow } from './submissionBudget.js'
import { JOB_STATES } from '../protocol/jobs.js'
import type { TeamBacklog } from '../protocol/teams.js'
import type { WorkflowState } from '../protocol/workflows.js'
import type { Timers } from '../seams/timers.js'

/** Period of the samples, in milliseconds. */
const SAMPLE_PERIOD_MS = 500
/** Number of samples over which the rate of starts is taken: five seconds. */
const RATE_SAMPLES = 10
const MS_PER_S = 1_000

/** The part of a workflow that the account reads. */
export interface BacklogWorkflow extends BudgetedWorkflow {
  readonly state: WorkflowState
  /** Time at which this scheduler received or loaded the workflow, in milliseconds of the monotonic clock. */
  readonly addedMs: number
}

/** Options of {@link TeamBacklogs}. */
export interface TeamBacklogsOptions {
  timers: Timers
  /** Workflows that have not ended. */
  open: () => Iterable<BacklogWorkflow>
  /** True for a workflow that is beyond its team's number. */
  isBeyond: (workflow: BacklogWorkflow) => boolean
  /** True when a workflow that the team submits now would be beyond its number. */
  isExhausted: (team: string) => boolean
}

interface Account {
  waiting: Set<BacklogWorkflow>
  /** Time at which the first of them was added, in milliseconds of the monotonic clock; infinite when none waits. */
  oldestMs: number
  /** Number of workflows that started between the last samples, oldest first. */
  starts: number[]
}

/** Samples the backlog of each team. */
export class TeamBacklogs {
  private readonly _options: TeamBacklogsOptions
  private readonly _accounts = new Map<string, Account>()
  private _sampledMs = Number.NEGATIVE_INFINITY

  constructor (options: TeamBacklogsOptions) {
    this._options = options
  }

  /** Backlog of a team, at most one period old. */
  of (team: string): TeamBacklog {
    const { timers, isExhausted } = this._options
    const nowMs = timers.now()
    if (nowMs - this._sampledMs >= SAMPLE_PERIOD_MS) this._sample(nowMs)
    const account = this._accounts.get(team)
    const starts = account?.starts.reduce((sum, count) => sum + count, 0) ?? 0
    return {
      beyondBudget: isExhausted(team),
      waiting: account?.waiting.size ?? 0,
      startsPerS: starts / RATE_SAMPLES / SAMPLE_PERIOD_MS * MS_PER_S,
      oldestWaitMs: Math.max(0, nowMs - (account?.oldestMs ?? nowMs))
    }
  }

  private _sample (nowMs: number): void {
    const { open, isBeyond } = this._options
    // After a pause without questions, each missed period counts as one without starts but the last.
    const periods = Math.min(RATE_SAMPLES, Math.floor((nowMs - this._sampledMs) / SAMPLE_PERIOD_MS))
    this._sampledMs = nowMs
    const waiting = new Map<string, Set<BacklogWorkflow>>()
    for (const workflow of open()) {
      const { record: { team }, state } = workflow
      if (team === undefined || state !== JOB_STATES.accepted || !isBeyond(workflow)) continue
      const others = waiting.get(team)
      if (others) others.add(workflow)
      else waiting.set(team, new Set([workflow]))
    }
    for (const team of waiting.keys()) {
      if (!this._accounts.has(team)) this._accounts.set(team, { waiting: new Set(), oldestMs: Number.POSITIVE_INFINITY, starts: [] })
    }
    for (const [team, account] of this._accounts) {
      const started = [...account.waiting].filter(({ state }) => state !== JOB_STATES.accepted && state !== JOB_STATES.cancelled).length
      account.starts.push(...new Array<number>(periods - 1).fill(0), started)
      account.starts.splice(0, account.starts.length - RATE_SAMPLES)
      account.waiting = waiting.get(team) ?? new Set()
      account.oldestMs = Number.POSITIVE_INFINITY
      for (const { addedMs } of account.waiting) account.oldestMs = Math.min(account.oldestMs, addedMs)
      if (account.waiting.size === 0 && account.starts.every(count => count === 0)) this._accounts.delete(team)
    }
  }
}
