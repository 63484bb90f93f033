/**
 * Tests of the order of ready steps: with teams and without.
 *
 * @module
 */

import t from 'tap'
import type { WorkflowStep } from 'pomelofold/protocol/workflows'
import type { QueueConfig, TeamsConfig } from 'pomelofold/seams/workflowUpstreams'
import { TeamShares } from 'pomelofold/teams/teamShares'
import { TeamUsage } from 'pomelofold/teams/teamUsage'
import type { ReadyStep } from 'pomelofold/workflows/readyStep'
import { ReservingSteps } from 'pomelofold/workflows/roomReservation'
import { StepOrder } from 'pomelofold/workflows/stepOrder'
import { WorkflowRuntime } from 'pomelofold/workflows/workflowRuntime'
import { cores, teamsOf } from './sharesCell.js'
import { WorkflowCell } from '../workflows/workflowCell.js'

const cell = new WorkflowCell({ daemons: 0 })
const TEAMS = teamsOf({ name: 'a', weight: 1 }, { name: 'b', weight: 2 })

interface ReadyOptions {
  team?: string
  priority?: number
  submittedAtMs?: number
  beyondBudget?: boolean
  spec?: Partial<WorkflowStep>
}

function ready ({ team, priority = 0, submittedAtMs = 1, beyondBudget, spec = {} }: ReadyOptions): ReadyStep {
  const record = cell.workflow([spec], { team, submittedAtMs })
  const [step] = new WorkflowRuntime({ record, revision: 1, addedMs: 0 }).steps(0)!
  step.readyMs = 0
  return { step, queue: { priority } as QueueConfig, beyondBudget }
}

interface OrderOptions {
  teams?: TeamsConfig
  nowMs?: number
  /** Called for each step before the next. */
  place?: (step: ReadyStep, usage: TeamUsage, claimed: TeamUsage) => void
}

/** Positions of the steps in the order. */
function ordered (steps: ReadyStep[], { teams, place, nowMs = 0 }: OrderOptions): number[] {
  const usage = new TeamUsage()
  const claimedByTeam = new TeamUsage()
  const shares = new TeamShares({ usage, teams: () => teams, capacity: () => cores(100) })
  const order: number[] = []
  for (const step of new StepOrder({ shares, teams: () => teams }).inOrder([...steps], { nowMs, claimedByTeam })) {
    order.push(steps.indexOf(step))
    place?.(step, usage, claimedByTeam)
  }
  return order
}

t.test('without teams, steps come by priority, then by submission', async t => {
  const steps = [
    ready({ priority: 1, submittedAtMs: 1 }), ready({ submittedAtMs: 3, team: 'a', beyondBudget: true }), ready({ submittedAtMs: 2, team: 'b' })
  ]
  t.same(ordered(steps, { nowMs: 1e6 }), [2, 1, 0])
})

t.test('steps beyond the budget come after all others, also after those of less urgent queues', async t => {
  const steps = [ready({ team: 'a', beyondBudget: true }), ready({ team: 'b', beyondBudget: true, priority: 1 }), ready({ team: 'b', priority: 2 })]
  t.same(ordered(steps, { teams: TEAMS }), [2, 0, 1])
})

t.test('the next step is that of the team with the lowest share at that time', async t => {
  const steps = ['a', 'a', 'a', 'b', 'b', 'b', 'b'].map((team, index) => ready({ team, submittedAtMs: index }))
  const start = ({ step }: ReadyStep, usage: TeamUsage): void => usage.add(step.workflow.record.team!, cores(10))
  t.same(ordered(steps, { teams: TEAMS, place: start }), [0, 3, 4, 1, 5, 6, 2], 'b, of twice the weight, gets twice the room')
})

t.test('room that a step has claimed counts to the share of its team in the same pass', async t => {
  const steps = ['a', 'a', 'b'].map((team, index) => ready({ team, submittedAtMs: index }))
  const claim = ({ step }: ReadyStep, _usage: TeamUsage, claimed: TeamUsage): void => claimed.add(step.workflow.record.team!, cores(10))
  t.same(ordered(steps, { teams: TEAMS, place: claim }), [0, 2, 1])
})

t.test('restarts of long-running tasks come first within their team and queue', async t => {
  const restart = ready({ team: 'a', submittedAtMs: 9, spec: { longRunning: true } })
  restart.step.tasks[0].attempt = 1
  const steps = [ready({ team: 'a' }), ready({ team: 'a', submittedAtMs: 2, spec: { longRunning: true } }), restart]
  t.same(ordered(steps, { teams: TEAMS }), [2, 0, 1])
})

t.test('a step that has waited for long counts as one of a more urgent queue, unless it is beyond the budget', async t => {
  const old = ready({ team: 'a', priority: 1 })
  const beyond = ready({ team: 'a', priority: 1, beyondBudget: true })
  const fresh = ready({ team: 'b', submittedAtMs: 2 })
  fresh.step.readyMs = 30_000
  t.same(ordered([old, beyond, fresh], { teams: TEAMS, nowMs: 29_000 }), [2, 0, 1])
  t.same(ordered([old, beyond, fresh], { teams: TEAMS, nowMs: 31_000 }), [0, 2, 1])
})

t.test('work without a team has a share of weight 1', async t => {
  const steps = [ready({ submittedAtMs: 1 }), ready({ submittedAtMs: 2 }), ready({ team: 'b', submittedAtMs: 3 }), ready({ team: 'b', submittedAtMs: 4 })]
  const start = ({ step }: ReadyStep, usage: TeamUsage): void => usage.add(step.workflow.record.team ?? '', cores(10))
  t.same(ordered(steps, { teams: TEAMS, place: start }), [0, 2, 3, 1])
})

t.test('with teams, two gangs of a team reserve room at once, and eight in all', async t => {
  const gang = (team: string): ReadyStep => ready({ team, spec: { gang: true } })
  const reserving = new ReservingSteps({ byTeam: true })
  const added: string[] = []
  for (const team of ['a', 'a', 'a', 'b', 'c', 'd', 'e', 'f', 'g', 'h']) {
    const { step } = gang(team)
    if (!reserving.mayAdd(step)) continue
    reserving.add(step)
    added.push(team)
  }
  t.same(added, ['a', 'a', 'b', 'c', 'd', 'e', 'f', 'g'])
})
