/**
 * An eligibility service with the times and the answers of the platform's: it handles one call of each daemon at a time.
 *
 * @module
 */

import Result from 'true-myth/result'
import { delay, type Timers } from 'pomelofold/seams/timers'
import type { EligibilityClient, QueueConfig } from 'pomelofold/seams/workflowUpstreams'

/** Times of the service, which are also part of the queue's configuration. */
export type EligibilityTimes = NonNullable<QueueConfig['eligibility']>

/** Options of {@link slowEligibility}. */
export interface SlowEligibilityOptions {
  /** Times of a call about a step. */
  times: (step: string) => EligibilityTimes
  mayRun: (step: string, worker: string) => boolean
  /** Called at the start of each call, with its duration. */
  onCall?: (step: string, workers: string[], ms: number) => void
}

/** Returns the client of one daemon. */
export function slowEligibility ({ times, mayRun, onCall = () => {} }: SlowEligibilityOptions): (timers: Timers) => EligibilityClient {
  return timers => {
    let previous: Promise<unknown> = Promise.resolve()
    return {
      query: (step, workers) => {
        const { baseMs, perWorkerMs, validMs } = times(step)
        const ms = baseMs + perWorkerMs * workers.length
        const answer = previous.then(async () => {
          onCall(step, workers, ms)
          await delay(timers, ms)
          const good = workers.filter(worker => mayRun(step, worker))
          return Result.ok({ tickets: Object.fromEntries(good.map(worker => [worker, `ticket for ${worker}`])), validMs })
        })
        previous = answer
        return answer
      }
    }
  }
}

/** True for a share of all pairs of step and worker, the same ones in every run. */
export function isAmong (share: number, step: string, worker: string): boolean {
  let hash = 0x811c9dc5
  for (const char of `${step}/${worker}`) hash = Math.imul(hash ^ char.charCodeAt(0), 0x01000193) >>> 0
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d) >>> 0
  hash = Math.imul(hash ^ (hash >>> 12), 0x297a2d39) >>> 0
  return ((hash ^ (hash >>> 15)) >>> 0) / 2 ** 32 < share
}
