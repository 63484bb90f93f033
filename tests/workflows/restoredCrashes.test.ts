/**
 * Tests of the crashes in the record of a workflow, which the next scheduler reads: none of them counts twice.
 *
 * @module
 */

import t from 'tap'
import type { CrashRecord } from 'pomelofold/protocol/crashes'
import { progressKey } from 'pomelofold/workflows/keys'
import type { LeasedWorker } from '@pomelofold/standins/leasedWorker'
import { WorkflowCell } from './workflowCell.js'

/** Times from a crash until the scheduler ends, in milliseconds. */
const LEADER_ENDS_MS = [20, 100, 400, 2_000]
/** Time for which a crashed worker stays on the list, in milliseconds: longer than it takes to replace two schedulers. */
const LISTED_MS = 40_000

/** Crashes in the record of the job's task. */
function recordedCrashes ({ store }: WorkflowCell, id: string): CrashRecord[] {
  const stored = store.get(progressKey(id))
  return stored ? (JSON.parse(stored.value) as { crashes: Record<string, CrashRecord[]> }).crashes['0.0.0'] ?? [] : []
}

/** Crashes a worker. The directory lists it further on, and it refuses the connections of each scheduler. */
function crashAndStayListed (cell: WorkflowCell, worker: LeasedWorker): void {
  worker.crash()
  Object.assign(worker.faults, { refusesConnections: true, unlisted: false })
  cell.timers.after(LISTED_MS, () => { worker.faults.unlisted = true })
}

async function replaceLeader (cell: WorkflowCell): Promise<void> {
  const { process, vm } = cell.leader!
  process.kill()
  await cell.timers.advanceUntil(() => cell.leader !== undefined)
  cell.startDaemon(vm)
}

// Guards against one crash that counts twice (LOST): in the record of one scheduler, and under another attempt of the next one.
t.test('a crash in the record of a task does not count again under the next scheduler', async t => {
  for (const speculative of [false, true]) {
    for (const endsMs of LEADER_ENDS_MS) {
      const name = `leader ends after ${endsMs} ms, speculative ${speculative}`
      const cell = new WorkflowCell({ workers: 4, runMs: () => 1_500 })
      await cell.waitUntilReady()
      const workflow = cell.workflow([{ tasks: 1, speculative }])
      const { id } = workflow
      await cell.submit(workflow)
      const task = `${id}.0.0.0`
      await cell.timers.advanceUntil(() => cell.workers.some(({ runs }) => runs.has(task)))
      await cell.timers.advance(20)
      crashAndStayListed(cell, cell.workers.find(({ runs }) => runs.has(task))!)
      let most: CrashRecord[] = []
      const observe = (): void => {
        const crashes = recordedCrashes(cell, id)
        if (crashes.length >= most.length) most = crashes
      }
      const timer = cell.timers.every(5, observe)
      await cell.timers.advance(endsMs)
      await replaceLeader(cell)
      await cell.timers.advance(endsMs)
      await replaceLeader(cell)
      await cell.waitForState(id, 'done', { at: cell.leader })
      timer.cancel()
      t.ok(most.length <= 1, `${name}: ${JSON.stringify(most)}`)
      t.equal(cell.events.filter(({ name }) => name === 'task.givenUp').length, 0, name)
      if (endsMs >= 400) t.equal(most.length, 1, `${name}: the crash is recorded`)
    }
  }
})

// Guards against one run that counts as two: adopted by the next scheduler, its attempt lies in the range of the former one.
t.test('the crash of a worker whose run two schedulers have known counts once', async t => {
  for (const endsMs of LEADER_ENDS_MS) {
    const cell = new WorkflowCell({ workers: 4, runMs: () => 20_000 })
    await cell.waitUntilReady()
    const workflow = cell.workflow([{ tasks: 1 }])
    await cell.submit(workflow)
    const task = `${workflow.id}.0.0.0`
    await cell.timers.advanceUntil(() => cell.workers.some(({ runs }) => runs.has(task)))
    await replaceLeader(cell)
    await cell.timers.advance(1_000)
    const crashed = cell.workers.find(({ runs }) => runs.has(task))!
    crashAndStayListed(cell, crashed)
    await cell.timers.advance(endsMs)
    await replaceLeader(cell)
    await cell.timers.advanceUntil(() => cell.runsOf(task).length === 2)
    const crashes = recordedCrashes(cell, workflow.id)
    t.ok(crashes.length <= 1, `leader ends after ${endsMs} ms: ${JSON.stringify(crashes)}`)
    await cell.waitForState(workflow.id, 'done', { at: cell.leader })
  }
})
