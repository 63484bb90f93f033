/**
 * Tests with several entries of the directory at one address. Only one of a worker's next incarnation there may end its session.
 *
 * @module
 */

import t from 'tap'
import { LeasedWorker } from '@pomelofold/standins/leasedWorker'
import { WorkflowCell } from './workflowCell.js'

/** Time in which the entry of a silent worker expires and its lease ends, in milliseconds. */
const SETTLED_MS = 14_000

/** Starts a cell of three workers with two long tasks each. */
async function busyCell (): Promise<WorkflowCell> {
  const cell = new WorkflowCell({ daemons: 1, workers: 3, runMs: () => 60_000 })
  await cell.waitUntilReady()
  await cell.submit(cell.workflow([{ tasks: 6, estimateMs: 60_000 }]))
  await cell.timers.advance(2_500)
  return cell
}

/** Number of runs in progress. */
function activeRuns (cell: WorkflowCell): number {
  return cell.records.filter(run => run.endMs === Number.POSITIVE_INFINITY).length
}

// Guards against two runs of one task when another writer lists the address of a worker that is cut off.
t.test('an entry of another writer at the address of a worker that is cut off does not end its runs', async t => {
  for (const id of ['other', 'w0']) {
    const cell = await busyCell()
    const [worker] = cell.workers
    Object.assign(worker.faults, { unreachable: true, silent: true })
    cell.otherEntries.push({ ...worker.entry, id, service: 'unknown', bornMs: worker.entry.bornMs + 1 })
    await cell.timers.advance(SETTLED_MS)
    t.same(cell.violations(), [], `the entry of ${id}`)
    t.equal(activeRuns(cell), 6, 'all tasks run again')
  }
})

// Guards against overlooking the next worker at an address when a stale or foreign entry names the same address.
t.test('tasks of a worker whose address another one uses start elsewhere before its lease ends', async t => {
  for (const otherBornMs of [undefined, 1, 9]) {
    const cell = await busyCell()
    const [former] = cell.workers
    const { address, capacity } = former.entry
    const next = new LeasedWorker({ id: 'next', timers: cell.timers, records: cell.records, runMs: () => 60_000, capacity })
    Object.assign(next.entry, { address, bornMs: 2 })
    if (otherBornMs !== undefined) cell.otherEntries.push({ ...former.entry, id: 'other', service: 'unknown', bornMs: otherBornMs })
    former.crash()
    cell.workers.push(next)
    await cell.timers.advance(3_500)
    const ended = cell.events.filter(({ name, fields }) => name === 'worker.lapsed' && fields.worker === 'w0@1')
    t.match(ended, [{ fields: { reason: 'another incarnation is listed at its address' } }], `another entry born at ${otherBornMs}`)
    t.equal(activeRuns(cell), 6)
    t.same(cell.violations(), [])
  }
})
