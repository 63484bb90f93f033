/**
 * Tests of the admission of submissions: floods of one team, backlogs that drain, and workflows that never fit.
 */

import t from 'tap'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import type { TeamConfig } from 'pomelofold/seams/workflowUpstreams'
import { admit, expectedWaitMs, usefulWaitMs, type Admission, type AdmitOptions } from 'pomelofold/teams/admission'
import type { TeamBacklog } from 'pomelofold/protocol/teams'
import { JOB_STATES } from 'pomelofold/protocol/jobs'
import { TeamBacklogs, type BacklogWorkflow } from 'pomelofold/teams/teamBacklogs'
import { NO_RESOURCES, type Workflow, type WorkflowState, type WorkflowStep } from 'pomelofold/protocol/workflows'
import { WorkflowCell } from '../workflows/workflowCell.js'

const cell = new WorkflowCell({ daemons: 0 })
const TEAM: TeamConfig = { name: 'surveys', weight: 5, cap: { cpuMillis: 20_000, memoryMb: 0, accelerators: 0 } }
const FLOODED: TeamBacklog = { beyondBudget: true, waiting: 60, startsPerS: 6, oldestWaitMs: 7_000 }

type DecideOptions = Partial<AdmitOptions> & { ageMs?: number, step?: Partial<WorkflowStep> }

function decide (backlog: TeamBacklog | undefined, { ageMs = 100, step = {}, ...extra }: DecideOptions = {}): Admission {
  const known = backlog && { backlog, ageMs }
  return admit({ workflow: cell.workflow([step]), team: TEAM, known, usefulForMs: 5_000, random: new SeededRandom(1), ...extra })
}

t.test('a submission beyond the share of its team is refused when the backlog is longer than it can wait', async t => {
  t.equal(expectedWaitMs(FLOODED), 10_000)
  t.equal(decide(FLOODED).outcome, 'backlog')
  t.equal(decide(FLOODED, { usefulForMs: 12_000 }).outcome, 'accepted', 'it can be served, although late')
  t.equal(decide({ ...FLOODED, startsPerS: 0, oldestWaitMs: 4_000 }).outcome, 'accepted', 'nothing shows yet that it would wait too long')
  t.equal(decide({ ...FLOODED, startsPerS: 0, oldestWaitMs: 6_000 }).outcome, 'backlog', 'nothing drains')
})

t.test('a submission within the share of its team is accepted, whatever the backlog', async t => {
  t.equal(decide({ ...FLOODED, beyondBudget: false }).outcome, 'accepted')
})

t.test('without a recent backlog of the leader, submissions are accepted', async t => {
  t.equal(decide(undefined).outcome, 'accepted')
  t.equal(decide(FLOODED, { ageMs: 5_000 }).outcome, 'accepted')
})

t.test('refused callers of one moment are told to return at different times, none before there is a chance', async t => {
  const random = new SeededRandom(7)
  const delays = Array.from({ length: 200 }, () => decide(FLOODED, { random })).map(admission => 'retryAfterMs' in admission ? admission.retryAfterMs : 0)
  t.ok(Math.min(...delays) >= 1_000 && Math.max(...delays) <= 5_000)
  for (const fromMs of [2_500, 3_000, 3_500, 4_000, 4_500]) {
    const share = delays.filter(ms => ms >= fromMs && ms < fromMs + 500).length / delays.length
    t.ok(share > 0.1 && share < 0.3, `${share} of them return from ${fromMs} ms on`)
  }
})

t.test('a gang that is larger than the cap of its team is refused, and its caller is told why', async t => {
  const size = { cpuMillis: 5_000, memoryMb: 100_000, accelerators: 0 }
  t.equal(decide(undefined, { step: { size, tasks: 10 } }).outcome, 'accepted', 'its tasks run one after the other; memory has no limit')
  t.match(decide(undefined, { step: { size, tasks: 6, gang: true } }), { outcome: 'neverFits', detail: /step 0 needs 6 tasks of 5000 cpuMillis/ })
  t.equal(decide(undefined, { step: { size, tasks: 4, gang: true } }).outcome, 'accepted')
  t.equal(decide(undefined, { step: { size: { ...size, cpuMillis: 20_001 }, tasks: 1 } }).outcome, 'accepted', 'a single task runs alone')
})

t.test('the backlog of a team counts what has not started and how fast it drains', async t => {
  const timers = new ManualTimers()
  const record = { id: '1', team: 'flooding', submittedAtMs: 0 }
  const open: Array<BacklogWorkflow & { state: WorkflowState }> = []
  const backlogs = new TeamBacklogs({ timers, open: () => open, isBeyond: () => true, isExhausted: team => team === 'flooding' })
  const firstMs = timers.now()
  for (let index = 0; index < 40; index++) open.push({ record, isOver: false, state: JOB_STATES.accepted, addedMs: firstMs })
  t.same(backlogs.of('flooding'), { beyondBudget: true, waiting: 40, startsPerS: 0, oldestWaitMs: 0 })
  for (let index = 0; index < 20; index++) {
    await timers.advance(500)
    if (index < 10) open[index].state = JOB_STATES.running
    backlogs.of('calm')
    if (index === 9) t.match(backlogs.of('flooding'), { waiting: 30, startsPerS: 2, oldestWaitMs: 5_000 }, 'one start each period')
  }
  t.match(backlogs.of('flooding'), { waiting: 30, startsPerS: 0, oldestWaitMs: 10_000 }, 'it has stopped to drain')
  t.same(backlogs.of('calm'), { beyondBudget: false, waiting: 0, startsPerS: 0, oldestWaitMs: 0 })
})

t.test('questions between two samples cost the same however many workflows wait', async t => {
  const timers = new ManualTimers()
  const record = { id: '1', team: 'flooding', submittedAtMs: 0 }
  let reads = 0
  const workflow = { record, isOver: false, state: JOB_STATES.accepted, get addedMs () { reads++; return 0 } }
  const open = Array.from({ length: 200_000 }, () => Object.create(workflow) as BacklogWorkflow)
  const backlogs = new TeamBacklogs({ timers, open: () => open, isBeyond: () => true, isExhausted: () => true })
  t.match(backlogs.of('flooding'), { waiting: 200_000, oldestWaitMs: timers.now() })
  const readsOfSample = reads
  await timers.advance(100)
  t.match(backlogs.of('flooding'), { waiting: 200_000, oldestWaitMs: timers.now() })
  t.equal(reads, readsOfSample)
})

t.test('a workflow can usefully wait until its late objective less its critical path', async t => {
  const steps = [{ estimateMs: 1_000 }, { estimateMs: 500 }, { estimateMs: 2_000, after: [0] }, { estimateMs: 100, after: [1, 2] }]
  const workflow = cell.workflow(steps)
  t.equal(usefulWaitMs(workflow, { stretch: 2, targetMs: 300 }), 3 * (2 * 3_100 + 300) - 3_100)
})

t.test('a flood is refused by the daemons that the leader has told of it, and what was stored before is not', async t => {
  const flooded = new WorkflowCell({ workers: 1, cpuMillis: 1_000, runMs: () => 2_000 })
  flooded.config.teams = { byName: new Map([['surveys', { ...TEAM, weight: 1, cap: NO_RESOURCES }]]), nameByKeyHash: new Map() }
  const leader = await flooded.waitUntilReady()
  const entry = flooded.daemons.find(daemon => daemon !== leader)!
  const submitted = Array.from({ length: 40 }, () => flooded.workflow([{ tasks: 1, estimateMs: 300 }], { team: 'surveys' }))
  for (const workflow of submitted) await flooded.submit(workflow, entry)
  const admissionOf = (workflow: Workflow): Promise<Admission> => flooded.advanceUntilSettled(entry.daemon.service.admit(workflow))
  const late = flooded.workflow([{ tasks: 1, estimateMs: 300 }], { team: 'surveys' })
  await flooded.timers.advance(4_000)
  await flooded.submit(flooded.workflow([{ tasks: 1, estimateMs: 300 }], { team: 'surveys' }), entry)
  await flooded.timers.advance(600)
  t.equal((await admissionOf(late)).outcome, 'backlog')
  t.equal((await admissionOf(submitted[39])).outcome, 'accepted', 'it was stored by an earlier call')
  t.equal((await admissionOf(flooded.workflow([{}], {}))).outcome, 'accepted', 'its caller has no team')
  await flooded.timers.advance(5_000)
  t.equal((await admissionOf(late)).outcome, 'accepted', 'nothing recent is known')
})
