/**
 * Which workers the eligibility service is asked about.
 *
 * Load pattern: a cell of many more workers than one call may name, a third of them slow, and urgent steps that
 * wait for the answer. The service takes time for each worker named, so a call names the quickest workers, and
 * not many more than the step needs.
 *
 * @module
 */

import type { WorkerSession } from './workerSession.js'

/** Workers named for each task that waits: a part of them is not eligible, and one may take several tasks. */
const WORKERS_PER_TASK = 4
/** Least number of workers named, so that steps of few tasks are not asked about twice. */
const MIN_WORKERS = 32

/** Options of {@link workersToAsk}. */
export interface WorkersToAskOptions {
  /** Workers with room of which it is not known whether they may run the step, or whose ticket has ended. */
  workers: WorkerSession[]
  /** Number of tasks that wait. */
  tasks: number
  /** Time that a worker takes for work of this step, relative to the quickest. */
  slowness: (worker: WorkerSession) => number
  /** Most workers of a call. */
  maxWorkers: number
}

/** The workers to name in the next call, best first. */
export function workersToAsk ({ workers, tasks, slowness, maxWorkers }: WorkersToAskOptions): WorkerSession[] {
  const freeCpuMillis = (worker: WorkerSession): number => worker.entry.capacity.cpuMillis - worker.used.cpuMillis
  const ranked = [...workers].sort((a, b) => slowness(a) - slowness(b) || freeCpuMillis(b) - freeCpuMillis(a))
  return ranked.slice(0, Math.min(maxWorkers, Math.max(MIN_WORKERS, tasks * WORKERS_PER_TASK)))
}
