/**
 * Tests of the fencing tokens of workers, and of refusals by a later incarnation of a worker that has seen a higher one.
 *
 * @module
 */

import t from 'tap'
import Result from 'true-myth/result'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { START_REFUSALS, type OrderAnswer, type WorkerEntry } from 'pomelofold/seams/workflowUpstreams'
import { TeamUsage } from 'pomelofold/teams/teamUsage'
import type { CallError } from 'pomelofold/utils/errors'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { FencingTokens } from 'pomelofold/workflows/fencingTokens'
import { RunOrderSender } from 'pomelofold/workflows/runOrderSender'
import { WorkerSession } from 'pomelofold/workflows/workerSession'
import { RUN_STATES, type Run } from 'pomelofold/workflows/workflowRuntime'
import { WorkflowCell } from './workflowCell.js'

const EPOCH = 50
const ENTRY: WorkerEntry = {
  id: 'w',
  bornMs: 7,
  service: 'leafline',
  address: 'w',
  failureDomain: 'a',
  draining: false,
  capacity: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 0 },
  labels: []
}

// Guards against orders to one incarnation of a worker that a later one may carry out, since it accepts their token.
t.test('a later incarnation of a worker has a higher token than the earlier ones, and entries of other writers change nothing', t => {
  const tokens = new FencingTokens({ epoch: EPOCH })
  const fence = tokens.fenceOf(ENTRY)
  t.equal(fence.token, EPOCH)
  tokens.noteRevision(61)
  t.equal(tokens.fenceOf({ ...ENTRY, bornMs: 0 }).token, EPOCH, 'an entry without a start date')
  t.equal(tokens.fenceOf(ENTRY).token, EPOCH, 'the same incarnation')
  t.equal(tokens.fenceOf({ ...ENTRY, id: 'other' }).token, 61, 'another worker')
  t.equal(tokens.fenceOf({ ...ENTRY, bornMs: 8 }).token, 61, 'the next incarnation')
  t.equal(fence.token, 61, 'the session of the earlier one uses it, too')
  tokens.noteRevision(60)
  t.equal(tokens.fenceOf({ ...ENTRY, bornMs: 9 }).token, 61, 'revisions do not go back')
  tokens.noteRevision(70)
  t.equal(fence.token, 61, 'a write alone does not raise it: orders may be on their way')
  fence.raise()
  t.equal(fence.token, 70, 'the worker was lost')
  t.end()
})

/** Sends an order that is refused for a stale epoch after `meanwhile`. Returns the tokens sent and whether the term has ended. */
async function sendRefusedOrder (
  order: 'start' | 'stop' | 'pace', meanwhile: (tokens: FencingTokens, session: WorkerSession) => void
): Promise<{ sent: number[], ended: boolean }> {
  const timers = new ManualTimers()
  const tokens = new FencingTokens({ epoch: EPOCH })
  const session = new WorkerSession({
    entry: ENTRY,
    timers,
    leaseMs: 6_000,
    fence: tokens.fenceOf(ENTRY),
    leaseEnds: { mayExtend: () => true },
    longPollPolicy: { noteUnanswered: () => {} },
    teamUsage: new TeamUsage()
  } as unknown as ConstructorParameters<typeof WorkerSession>[0])
  session.noteClock(1_000)
  session.reachable = true
  const sent: number[] = []
  const answer = async (_entry: WorkerEntry, { epoch }: { epoch: number }): Promise<Result<OrderAnswer, CallError>> => {
    sent.push(epoch)
    if (sent.length > 1) return Result.ok({})
    meanwhile(tokens, session)
    return Result.ok({ refusal: START_REFUSALS.staleEpoch })
  }
  let ended = false
  const sender = new RunOrderSender({
    client: { start: answer, stop: answer, pace: answer, extendLease: () => { throw new Error('not used') } },
    timers,
    log: SILENT_LOG,
    leadershipRemainingMs: () => 1_000,
    onRefused: () => {},
    onUnanswered: () => {},
    onStarted: () => {},
    onStaleEpoch: () => { ended = true }
  })
  const state = order === 'start' ? RUN_STATES.starting : RUN_STATES.running
  const run = { name: 'task', attempt: 1, session, state, size: ENTRY.capacity } as unknown as Run
  session.addRun(run)
  const orders = {
    start: () => sender.start(run, { payload: 'text', checkpoint: '' }),
    stop: () => sender.stop(run, 'test'),
    pace: () => sender.pace(run, 50)
  }
  await Promise.all([orders[order](), timers.advance(2_000)])
  return { sent, ended }
}

// Guards against a scheduler that gives up its term since a later incarnation refuses what it had sent to an earlier one.
t.test('a refusal of an order with a token that the scheduler has raised since does not end its term', async t => {
  const raise = (tokens: FencingTokens): void => {
    tokens.noteRevision(61)
    tokens.fenceOf({ ...ENTRY, bornMs: 8 })
  }
  for (const order of ['start', 'stop', 'pace'] as const) {
    t.same(await sendRefusedOrder(order, () => {}), { sent: [EPOCH], ended: true }, `${order}: another scheduler has used the worker`)
    const retried = order === 'pace' ? [EPOCH] : [EPOCH, 61]
    t.same(await sendRefusedOrder(order, raise), { sent: retried, ended: false }, `${order}: the token was raised`)
    t.same(
      await sendRefusedOrder(order, (_tokens, session) => session.close()), { sent: [EPOCH], ended: false }, `${order}: the session has ended`
    )
  }
})

// Guards against a term that ends since another writer has listed a worker with another start date.
t.test('entries of other writers under the id of a worker do not end the term', async t => {
  for (const bornMs of [0, 5]) {
    const cell = new WorkflowCell({ workers: 2 })
    await cell.waitUntilReady()
    const { length } = cell.events
    cell.otherEntries.push({ ...cell.workers[0].entry, bornMs })
    await cell.timers.advance(2_000)
    const during = cell.workflow([{ tasks: 4 }])
    await cell.submit(during)
    cell.otherEntries.length = 0
    await cell.waitForState(during.id, 'done')
    await cell.timers.advance(3_000)
    const after = cell.workflow([{ tasks: 16 }])
    await cell.submit(after)
    await cell.waitForState(after.id, 'done')
    t.same(cell.events.slice(length).filter(({ name }) => name === 'term.deposed'), [], `start date ${bornMs}`)
    t.same(cell.violations(), [], `start date ${bornMs}`)
  }
})
