/**
 * Decides in which order the ready steps of a placement pass are placed; see docs/design/teams-shares.md.
 *
 * Load pattern: more tasks wait than there is room for. Steps of more urgent queues come first, then those submitted first. With
 * teams, one of which may submit many times its usual: steps within their team's budget of submissions come first, then those of
 * more urgent queues, then those of the team that is the furthest below its share.
 *
 * @module
 */

import type { ReadyStep } from './readyStep.js'
import { compareRanks, STEP_ORDERS, type RankContext } from './stepRanks.js'
import { TASK_STATES, type StepRuntime } from './workflowRuntime.js'
import type { TeamsConfig } from '../seams/workflowUpstreams.js'
import type { TeamShares } from '../teams/teamShares.js'
import { NO_TEAM, type TeamUsage } from '../teams/teamUsage.js'

/** Wait for which a step counts as one step of priority more urgent, in milliseconds. Applies with teams, within their budgets. */
const PRIORITY_AGEING_MS = 30_000

/** Options of a {@link StepOrder}. */
export interface StepOrderOptions {
  shares: TeamShares
  /** The teams of the active configuration; undefined when it names none. */
  teams: () => TeamsConfig | undefined
  /** How steps of one priority, and of one team, are ranked. */
  ranking?: keyof typeof STEP_ORDERS
  wallClock?: () => number
  /** Run time over estimate of a queue's tasks, as observed. */
  runTimeFactor?: (queue: string) => number
}

/** The part of a placement pass that the order reads. */
export interface OrderedPass {
  nowMs: number
  /** Room that steps of each team have claimed in the pass so far. */
  claimedByTeam: TeamUsage
}

/** Steps that differ only in their team and their order within it. */
interface Level {
  beyondBudget: boolean
  priority: number
  byTeam: Map<string, ReadyStep[]>
}

/** Order of the steps in a pass. */
export class StepOrder {
  private readonly _options: StepOrderOptions

  constructor (options: StepOrderOptions) {
    this._options = options
  }

  /** Returns the steps one after the other. The caller places each one before it asks for the next. */
  * inOrder (steps: ReadyStep[], pass: OrderedPass): Generator<ReadyStep> {
    const { teams, wallClock = () => 0, runTimeFactor = () => 1, ranking = 'slack' } = this._options
    const context: RankContext = { nowMs: pass.nowMs, wallClockMs: wallClock(), runTimeFactor }
    const ranked = steps
      .map(ready => ({ ready, rank: STEP_ORDERS[ranking](ready, context) }))
      .sort((a, b) => compareRanks(a.rank, b.rank))
      .map(({ ready }) => ready)
    if (!teams()) yield * ranked.sort((a, b) => a.queue.priority - b.queue.priority)
    else for (const { byTeam } of levelsOf(ranked, pass.nowMs)) yield * this._inOrderOfShare(byTeam, pass)
  }

  /** Next is always a step of the team with the lowest share, to which the steps before have added what they have started. */
  private * _inOrderOfShare (byTeam: Map<string, ReadyStep[]>, { claimedByTeam }: OrderedPass): Generator<ReadyStep> {
    const { shares } = this._options
    const shareOf = (team: string): number => shares.weightedShare(team, claimedByTeam.of(team))
    const queues = [...byTeam].map(([team, steps]) => ({ team, steps: inTeamOrder(steps), next: 0, share: shareOf(team) }))
    while (queues.length > 0) {
      let lowest = 0
      for (let index = 1; index < queues.length; index++) if (queues[index].share < queues[lowest].share) lowest = index
      const queue = queues[lowest]
      yield queue.steps[queue.next++]
      if (queue.next === queue.steps.length) queues.splice(lowest, 1)
      else queue.share = shareOf(queue.team)
    }
  }
}

/** The steps by budget and priority, first come first. */
function levelsOf (steps: ReadyStep[], nowMs: number): Level[] {
  const levels = new Map<number, Level>()
  const highestPriority = steps.reduce((highest, { queue }) => Math.max(highest, queue.priority), 0)
  for (const ready of steps) {
    const { step, beyondBudget = false } = ready
    const priority = beyondBudget ? ready.queue.priority : agedPriority(ready, nowMs)
    const key = beyondBudget ? priority + highestPriority + 1 : priority
    let level = levels.get(key)
    if (!level) levels.set(key, level = { beyondBudget, priority, byTeam: new Map() })
    const team = step.workflow.record.team ?? NO_TEAM
    const others = level.byTeam.get(team)
    if (others) others.push(ready)
    else level.byTeam.set(team, [ready])
  }
  return [...levels.values()].sort((a, b) => Number(a.beyondBudget) - Number(b.beyondBudget) || a.priority - b.priority)
}

/** Priority of the step's queue, raised by its wait: work of urgent queues that fills the cell does not hold it back for ever. */
function agedPriority ({ step, queue }: ReadyStep, nowMs: number): number {
  if (queue.priority === 0) return 0
  const waiting = step.tasks.find(({ state }) => state === TASK_STATES.waiting)
  const waitedMs = waiting ? step.waitOf(waiting, nowMs) : 0
  return Math.max(0, queue.priority - Math.floor(waitedMs / PRIORITY_AGEING_MS))
}

/** Restarts of long-running tasks first, then the others as they were. */
function inTeamOrder (steps: ReadyStep[]): ReadyStep[] {
  return [...steps.filter(({ step }) => isRestart(step)), ...steps.filter(({ step }) => !isRestart(step))]
}

/** True when a long-running task of the step has run before and waits to run again. */
function isRestart ({ spec, tasks }: StepRuntime): boolean {
  return spec.longRunning && tasks.some(({ state, attempt }) => state === TASK_STATES.waiting && attempt > 0)
}
