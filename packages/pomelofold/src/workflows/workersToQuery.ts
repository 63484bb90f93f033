/**
 * Selects the workers for a query to the eligibility service.
 *
 * Load pattern: a cell of many more workers than one call may contain, a third of them slow, and urgent steps that
 * wait for the answer. The duration of a call grows with its number of workers, so a call contains the fastest
 * workers, and not many more than the step needs: as many as its queue's steps needed so far, once that is known.
 *
 * @module
 */

import type { WorkerSession } from './workerSession.js'

/** Number of workers for each waiting task: some of them are not eligible, and one worker may run several tasks. */
const WORKERS_PER_TASK = 4
/** Minimum number of workers, so that one call is enough for steps of few tasks. */
const MIN_WORKERS = 32

/** Expected number of eligible slots for each waiting task, once the share of eligible workers is known. */
const SLOTS_PER_TASK = 1.5
/** Maximum probability that a query finds no eligible worker, once their share is known. */
const MAX_MISS_PROBABILITY = 0.01
/** Smallest share of eligible workers by which queries are sized: a low one may be chance. */
const MIN_ELIGIBLE_SHARE = 0.1

/** Options of {@link workersToQuery}. */
export interface WorkersToQueryOptions {
  /** Workers with room whose eligibility for the step is unknown or whose ticket has expired. */
  workers: WorkerSession[]
  /** Number of waiting tasks. */
  tasks: number
  /** Number of the tasks that fit on a worker; 1 by default. */
  slots?: (worker: WorkerSession) => number
  /** Share of the workers that are expected to be eligible; undefined when it is not known. */
  eligibleShare?: number
  /** Run time on a worker relative to the fastest kind of worker; 1 for the fastest. */
  slowness: (worker: WorkerSession) => number
  /** Maximum number of workers in a call. */
  maxWorkers: number
}

/** Workers for the next call, fastest first, then those with the most free CPU. */
export function workersToQuery (
  { workers, tasks, slots = () => 1, slowness, eligibleShare, maxWorkers }: WorkersToQueryOptions
): WorkerSession[] {
  const ranked = workers.map(worker => ({
    worker, slowness: slowness(worker), freeCpuMillis: worker.entry.capacity.cpuMillis - worker.used.cpuMillis
  }))
  ranked.sort((a, b) => a.slowness - b.slowness || b.freeCpuMillis - a.freeCpuMillis)
  const selected = ranked.slice(0, Math.min(maxWorkers, Math.max(MIN_WORKERS, tasks * WORKERS_PER_TASK))).map(({ worker }) => worker)
  if (eligibleShare === undefined) return selected
  const share = Math.min(1 - MAX_MISS_PROBABILITY, Math.max(MIN_ELIGIBLE_SHARE, eligibleShare))
  const minWorkers = Math.ceil(Math.log(MAX_MISS_PROBABILITY) / Math.log(1 - share))
  let expectedSlots = 0
  const enough = selected.findIndex((worker, index) => {
    expectedSlots += share * slots(worker)
    return index + 1 >= minWorkers && expectedSlots >= tasks * SLOTS_PER_TASK
  })
  return enough < 0 ? selected : selected.slice(0, enough + 1)
}
