/**
 * Cells with long-running tasks whose leader is replaced, once or several times.
 *
 * @module
 */

import type { LeasedWorker } from '@pomelofold/standins/leasedWorker'
import type { WorkflowStep } from 'pomelofold/protocol/workflows'
import { WorkflowCell, type TestDaemon, type WorkflowCellOptions } from './workflowCell.js'

/** Time in which a task is started again once the lease of its former worker has ended, in milliseconds. */
export const RESTART_MS = 3_000

/** A cell in which a long-running step has been started, and the worker of its first task. */
export interface ServiceCell {
  cell: WorkflowCell
  /** Tasks of the step, in order. */
  tasks: string[]
  worker: LeasedWorker
}

/** Starts a cell with a long-running step of one task, or of the given form, and waits until it runs. */
export async function cellWithService (
  { step = {}, ...options }: WorkflowCellOptions & { step?: Partial<WorkflowStep> } = {}
): Promise<ServiceCell> {
  const cell = new WorkflowCell({ daemons: 5, runMs: () => 600_000, ...options })
  const leader = await cell.waitUntilReady()
  await cell.timers.advance(3_000)
  const workflow = cell.workflow([{ tasks: 1, longRunning: true, ...step }])
  await cell.submit(workflow, leader)
  const tasks = Array.from({ length: step.tasks ?? 1 }, (_, index) => `${workflow.id}.0.0.${index}`)
  await cell.timers.advanceUntil(() => tasks.every(task => cell.runsOf(task).length > 0))
  await cell.timers.advance(2_000)
  return { cell, tasks, worker: workerOf(cell, tasks[0]) }
}

/** The worker of the last run of a task. */
export function workerOf (cell: WorkflowCell, task: string): LeasedWorker {
  const id = cell.runsOf(task).at(-1)!.worker
  return cell.workers.find(worker => worker.entry.id === id)!
}

/** Crashes a worker that never comes back. It refuses connections, or its VM is silent. */
export function crashForGood (worker: LeasedWorker, { silent = false } = {}): void {
  worker.faults.refusesConnections = !silent
  worker.crash()
}

/** The running daemons that do not lead. */
export function followersOf (cell: WorkflowCell): TestDaemon[] {
  return cell.daemons.filter(({ daemon, process }) => process.isRunning() && !daemon.figures().leading)
}

/** Ways in which a leader goes. */
export const LEADER_ENDS = {
  /** Nobody calls it until its lease has ended. */
  silent: 'silent',
  /** A follower finds that its process refuses connections. */
  refused: 'refused',
  handedOver: 'handedOver'
} as const

/** Ends the leader and advances the clock until another daemon leads. */
export async function replaceLeader (cell: WorkflowCell, how: keyof typeof LEADER_ENDS = 'silent'): Promise<TestDaemon> {
  const former = cell.leader!
  if (how === LEADER_ENDS.handedOver) former.daemon.handOver().then(() => former.daemon.close()).then(() => former.process.kill())
  else former.process.kill()
  if (how === LEADER_ENDS.refused) followersOf(cell)[0].daemon.service.state('0'.repeat(16))
  await cell.timers.advanceUntil(() => cell.leader !== undefined && cell.leader !== former, { limitMs: 10_000 })
  return cell.leader!
}

/** Ends a chain of leaders, each `lastMs` after its election. With `newVms`, each one is followed by a VM that has just joined. */
export async function replaceLeaders (
  cell: WorkflowCell,
  { how, count, lastMs, newVms = false }: { how: keyof typeof LEADER_ENDS, count: number, lastMs: number, newVms?: boolean }
): Promise<void> {
  for (let index = 0; index < count; index++) {
    const joinMs = newVms ? 400 : 0
    if (index > 0) await cell.timers.advance(lastMs - joinMs)
    if (newVms) cell.startDaemon(`joined-${index}`, { size: 2 + index })
    await cell.timers.advance(joinMs)
    await replaceLeader(cell, how)
  }
}

/** Advances the clock until a task has more than `runs` runs. Returns the time of the next start, in milliseconds. */
export async function timeOfRestart (cell: WorkflowCell, task: string, { runs = 1, limitMs = 60_000 } = {}): Promise<number> {
  await cell.timers.advanceUntil(() => cell.runsOf(task).length > runs, { limitMs })
  return cell.runsOf(task)[runs].startMs
}

/** Times of all elections so far, in milliseconds. */
export function electionsMs (cell: WorkflowCell): number[] {
  return cell.events.filter(({ name }) => name === 'leader.elected').map(({ atMs }) => atMs)
}
