/**
 * Tests of the budget of submissions: which workflows are beyond it, also after a change of leader and of clocks.
 *
 * @module
 */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { SubmissionBudget, type BudgetedWorkflow } from 'pomelofold/teams/submissionBudget'
import { teamsOf } from './sharesCell.js'

const TEAMS = teamsOf({ name: 'a', weight: 2 }, { name: 'b', weight: 2 })

interface TestWorkflow extends BudgetedWorkflow {
  isOver: boolean
}

/** A budget under a manual clock, with the names of its log events. */
function newBudget (timers = new ManualTimers()): { timers: ManualTimers, budget: SubmissionBudget, events: string[] } {
  const events: string[] = []
  const log = { event: (_level: string, name: string) => { events.push(name) } }
  return { timers, events, budget: new SubmissionBudget({ timers, log, teams: () => TEAMS }) }
}

let workflows = 0

function workflow (timers: ManualTimers, { team = 'a', atMs = timers.now() } = {}): TestWorkflow {
  const id = (workflows++).toString(16).padStart(16, '0')
  return { record: { id, team, submittedAtMs: timers.wallClock() - timers.now() + atMs }, isOver: false }
}

t.test('a team may submit the workflows of five seconds at once; further ones are beyond its budget', async t => {
  const { timers, budget, events } = newBudget()
  const flood = Array.from({ length: 30 }, () => workflow(timers))
  const other = workflow(timers, { team: 'b' })
  budget.update([...flood, other])
  t.equal(flood.filter(each => budget.isBeyond(each)).length, 20)
  t.notOk(budget.isBeyond(other), 'another team is not concerned')
  t.equal(budget.beyondCount('a'), 20)
  t.same(events, ['team.budget.exceeded'], 'one line for the flood')
})

t.test('a team that submits at its weight is never beyond its budget', async t => {
  const { timers, budget, events } = newBudget()
  const open: TestWorkflow[] = []
  for (let count = 0; count < 200; count++) {
    open.push(workflow(timers))
    budget.update(open)
    await timers.advance(500)
  }
  t.notOk(open.some(each => budget.isBeyond(each)))
  t.same(events, [])
})

t.test('tokens that a team does not use are given to its workflows beyond the budget, the earliest first', async t => {
  const { timers, budget, events } = newBudget()
  const flood = Array.from({ length: 22 }, () => workflow(timers))
  budget.update(flood)
  flood[10].isOver = true
  await timers.advance(4_900)
  budget.update(flood)
  t.equal(budget.beyondCount('a'), 11)
  await timers.advance(100)
  const usual = [workflow(timers), workflow(timers)]
  budget.update([...flood, ...usual])
  t.same(flood.map(each => budget.isBeyond(each)).slice(11), [...Array(8).fill(false), true, true, true])
  t.notOk(usual.some(each => budget.isBeyond(each)), 'new ones come first')
  await timers.advance(5_000)
  budget.update(flood)
  t.equal(budget.beyondCount('a'), 0)
  t.same(events, ['team.budget.exceeded', 'team.budget.kept'])
})

t.test('a new leader that learns of the open workflows in another order comes to the same classes', async t => {
  const { timers, budget } = newBudget()
  const random = new SeededRandom(1)
  const open: TestWorkflow[] = []
  for (let count = 0; count < 100; count++) {
    open.push(workflow(timers))
    budget.update(open)
    await timers.advance(random.int(400))
  }
  const { budget: next } = newBudget(timers)
  next.update([...open].sort(() => random.next() - 0.5))
  t.ok(open.some(each => budget.isBeyond(each)), 'some are beyond the budget')
  t.same(open.map(each => next.isBeyond(each)), open.map(each => budget.isBeyond(each)))
})

t.test('the clock of a daemon that is an hour ahead does not use up the budget of the hour', async t => {
  const { timers, budget } = newBudget()
  const ahead = workflow(timers, { atMs: 3_600_000 })
  budget.update([ahead])
  await timers.advance(10_000)
  const later = Array.from({ length: 10 }, () => workflow(timers))
  budget.update([ahead, ...later])
  t.notOk(later.some(each => budget.isBeyond(each)))
})

t.test('workflows of no team, and of teams that the configuration does not name, have no budget', async t => {
  const { timers, budget } = newBudget()
  const open = Array.from({ length: 100 }, () => workflow(timers, { team: 'removed' }))
  budget.update(open)
  t.notOk(open.some(each => budget.isBeyond(each)))
})
