/**
 * Checks the run records of workers for violations of the rule that each task runs once.
 *
 * @module
 */

import type { LeasedWorker, RunRecord } from '@pomelofold/standins/leasedWorker'

/** Two runs of one task that may not both be. */
export interface RunViolation {
  text: string
  runs: [earlier: RunRecord, later: RunRecord]
}

/** Returns descriptions of the violations that {@link findRunViolations} finds. */
export function runViolations (records: RunRecord[], workers: LeasedWorker[]): string[] {
  return findRunViolations(records, workers).map(({ text }) => text)
}

/**
 * Finds overlapping runs of one task, and starts after a successful run whose end was acknowledged, before or after
 * that start. A start is allowed if the lease of the earlier run's worker ended between the end and its
 * acknowledgement, since the end does not count as recorded then.
 */
export function findRunViolations (records: RunRecord[], workers: LeasedWorker[]): RunViolation[] {
  const byTask = new Map<string, RunRecord[]>()
  for (const record of records) byTask.set(record.task, [...(byTask.get(record.task) ?? []), record])
  const found: RunViolation[] = []
  for (const [task, runs] of byTask) {
    for (const [index, run] of runs.entries()) {
      for (const later of runs.slice(index + 1)) {
        const names = `${run.worker}#${run.attempt} and ${later.worker}#${later.attempt}`
        if (later.startMs < run.endMs) found.push({ text: `${task} ran twice: ${names}`, runs: [run, later] })
        else if (run.how === 'done' && run.acknowledgedMs !== undefined && !lapsedBefore(run.acknowledgedMs, run, workers)) {
          found.push({ text: `${task} started again after it was done: ${names}`, runs: [run, later] })
        }
      }
    }
  }
  return found
}

function lapsedBefore (acknowledgedMs: number, run: RunRecord, workers: LeasedWorker[]): boolean {
  const incarnations = workers.filter(({ entry }) => entry.id === run.worker)
  return incarnations.some(incarnation => incarnation.leaseLapsesMs.some(lapsedMs => lapsedMs >= run.endMs && lapsedMs <= acknowledgedMs))
}
