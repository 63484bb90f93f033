/**
 * Selects the workers for a query to the eligibility service.
 *
 * Load pattern: a cell of many more workers than one call may contain, a third of them slow, and urgent steps that
 * wait for the answer. The duration of a call grows with its number of workers, so a call contains the fastest
 * workers, and not many more than the step needs.
 *
 * @module
 */

import type { WorkerSession } from './workerSession.js'

/** Number of workers for each waiting task: some of them are not eligible, and one worker may run several tasks. */
const WORKERS_PER_TASK = 4
/** Minimum number of workers, so that one call is enough for steps of few tasks. */
const MIN_WORKERS = 32

/** Options of {@link workersToQuery}. */
export interface WorkersToQueryOptions {
  /** Workers with room whose eligibility for the step is unknown or whose ticket has expired. */
  workers: WorkerSession[]
  /** Number of waiting tasks. */
  tasks: number
  /** Run time on a worker relative to the fastest kind of worker; 1 for the fastest. */
  slowness: (worker: WorkerSession) => number
  /** Maximum number of workers in a call. */
  maxWorkers: number
}

/** Workers for the next call, fastest first, then those with the most free CPU. */
export function workersToQuery ({ workers, tasks, slowness, maxWorkers }: WorkersToQueryOptions): WorkerSession[] {
  const ranked = workers.map(worker => ({
    worker, slowness: slowness(worker), freeCpuMillis: worker.entry.capacity.cpuMillis - worker.used.cpuMillis
  }))
  ranked.sort((a, b) => a.slowness - b.slowness || b.freeCpuMillis - a.freeCpuMillis)
  return ranked.slice(0, Math.min(maxWorkers, Math.max(MIN_WORKERS, tasks * WORKERS_PER_TASK))).map(({ worker }) => worker)
}
