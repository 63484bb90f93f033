/**
 * Tests of the bound for the tasks that a scheduler loads at once.
 *
 * @module
 */

import t from 'tap'
import { MAX_TASKS, workflowSchema, type Workflow } from 'pomelofold/protocol/workflows'
import { TaskBudget } from 'pomelofold/workflows/taskBudget'
import { WorkflowRuntime } from 'pomelofold/workflows/workflowRuntime'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { STEP, WorkflowCell } from './workflowCell.js'

let workflows = 0

/** A workflow with steps of these numbers of tasks. */
function workflow (tasks: number[], extra: Partial<Workflow> = {}): WorkflowRuntime {
  const record = {
    id: (++workflows).toString(16).padStart(16, '0'), queue: 'q', payload: '', submittedAtMs: 0, steps: tasks.map(count => ({ ...STEP, tasks: count })), ...extra
  }
  return new WorkflowRuntime({ record, revision: 1, addedMs: 0 })
}

/** Loads what the budget allows in one pass over the workflows. Returns the number of occurrences of each that are loaded. */
function load (budget: TaskBudget, open: WorkflowRuntime[]): number[] {
  budget.startPass(open)
  for (const each of open) each.openSteps(1, () => budget.mayLoad(each))
  return open.map(({ occurrences }) => occurrences.size)
}

// Guards against workflows that only together have more tasks than the process can hold.
t.test('large workflows wait in their order, and small ones do not', t => {
  const budget = new TaskBudget({ log: SILENT_LOG, maxTasks: 1_000 })
  const open = [workflow([300, 300]), workflow([500]), workflow([300]), workflow([200])]
  t.same(load(budget, open), [1, 0, 0, 1])
  t.same(load(budget, open.slice(1)), [1, 1, 1], 'the first one has ended')
  t.end()
})

// Guards against a workflow that never starts since it is larger than the budget.
t.test('a workflow that is larger than the budget is loaded alone', t => {
  const budget = new TaskBudget({ log: SILENT_LOG, maxTasks: 1_000 })
  t.same(load(budget, [workflow([2_000]), workflow([300])]), [1, 0])
  t.end()
})

// Guards against a workflow whose occurrences are all due at once.
t.test('the occurrences of a workflow are loaded as far as there is room', t => {
  const budget = new TaskBudget({ log: SILENT_LOG, maxTasks: 1_000 })
  t.same(load(budget, [workflow([300], { repeat: { times: 100, startAtMs: 0, intervalMs: 0 } })]), [3])
  t.end()
})

// Guards against one workflow whose tasks take all memory of each process that schedules.
t.test('a workflow of too many tasks is refused', t => {
  const { record } = workflow(Array.from({ length: MAX_TASKS / 10_000 }, () => 10_000))
  t.ok(workflowSchema.safeParse(record).success)
  t.notOk(workflowSchema.safeParse({ ...record, steps: [...record.steps, { ...STEP, tasks: 1 }] }).success)
  t.end()
})

// Guards against a large workflow that keeps others waiting although it has ended.
t.test('a deferred workflow runs when an earlier one has ended', async t => {
  const cell = new WorkflowCell({ cpuMillis: 500_000, maxLoadedTasks: 500 })
  await cell.waitUntilReady()
  const [first, second] = [cell.workflow([{ tasks: 400 }]), cell.workflow([{ tasks: 400 }])]
  for (const each of [first, second]) await cell.submit(each, cell.leader!)
  await cell.waitForState(second.id, 'done', { limitMs: 20_000 })
  t.equal(cell.events.filter(({ name }) => name === 'workflow.deferred').length, 1)
  t.same(cell.violations(), [])
  t.equal(cell.records.length, 800)
})
