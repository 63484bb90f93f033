/**
 * Checks the run records of workers for violations of the rule that each task runs once.
 *
 * @module
 */

import type { LeasedWorker, RunRecord } from '@pomelofold/standins/leasedWorker'

/**
 * Returns descriptions of overlapping runs of one task, and of starts after a successful run whose end was
 * acknowledged, before or after that start. A start is allowed if the lease of the earlier run's worker ended between
 * the two runs, since the scheduler could not know of the success.
 */
export function runViolations (records: RunRecord[], workers: LeasedWorker[]): string[] {
  const byTask = new Map<string, RunRecord[]>()
  for (const record of records) byTask.set(record.task, [...(byTask.get(record.task) ?? []), record])
  const found: string[] = []
  for (const [task, runs] of byTask) {
    for (const [index, run] of runs.entries()) {
      for (const later of runs.slice(index + 1)) {
        const names = `${run.worker}#${run.attempt} and ${later.worker}#${later.attempt}`
        if (later.startMs < run.endMs) found.push(`${task} ran twice: ${names}`)
        else if (run.how === 'done' && run.acknowledgedMs !== undefined && !lapsedBetween(run, later, workers)) {
          found.push(`${task} started again after it was done: ${names}`)
        }
      }
    }
  }
  return found
}

function lapsedBetween (run: RunRecord, later: RunRecord, workers: LeasedWorker[]): boolean {
  const incarnations = workers.filter(({ entry }) => entry.id === run.worker)
  return incarnations.some(incarnation => incarnation.leaseLapsesMs.some(lapsedMs => lapsedMs >= run.endMs && lapsedMs <= later.startMs))
}
