/**
 * Benchmark of the scheduler's processor time for one request.
 *
 * @module
 */

import Result from 'true-myth/result'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { serviceSchema } from 'pomelofold/protocol/manifest'
import { RequestScheduler } from 'pomelofold/requests/requestScheduler'
import { CLAIM_NAMES } from 'pomelofold/seams/authority'
import type { InstanceAnswer, UpstreamClient } from 'pomelofold/seams/upstreamClient'
import type { CallError } from 'pomelofold/utils/errors'
import { instanceRecord, ManualAuthority, SERVICE } from './benchCell.js'

const DECISIONS = 100_000
const MICROS_PER_SECOND = 1_000_000

type AnswerResult = Result<InstanceAnswer, CallError>

/** Submits and answers requests without pauses while `waiting` requests stay in the queue. Returns microseconds per request. */
async function measure (instances: number, waiting: number): Promise<number> {
  const authority = new ManualAuthority()
  const timers = new ManualTimers()
  const pending: Array<(answer: AnswerResult) => void> = []
  const upstream = {
    request: () => new Promise<AnswerResult>(resolve => pending.push(resolve)),
    instanceStatus: async () => Result.ok({ running: 0, slots: 8 })
  } as unknown as UpstreamClient
  const scheduler = new RequestScheduler({ failureDomain: 'fd1', timers, random: new SeededRandom(1), authority, upstream, maxQueued: 1_000_000 })
  const records = Array.from({ length: instances }, (_, i) => instanceRecord(`i${i}`))
  for (const record of records) authority.grant(CLAIM_NAMES.instance('fd1', record.name))
  scheduler.setServices([serviceSchema.parse({ name: SERVICE, expectedMs: 1 })])
  scheduler.setInstances(records)
  await timers.advance(10)
  const submit = (i: number): void => {
    const deadlineMs = 600_000 + (i * 7_919) % 5_000
    scheduler.submit({ requestId: String(i), service: SERVICE, class: i % 5 ? 'normal' : 'urgent', deadlineMs, atMostOnce: false, headers: {}, body: new Uint8Array(0) })
  }
  const answer = Result.ok<InstanceAnswer, CallError>({ status: 200, headers: {}, body: new Uint8Array(0) })
  for (let i = 0; i < waiting + instances * 8; i++) submit(i)
  const before = process.cpuUsage()
  for (let i = 0; i < DECISIONS; i++) {
    submit(i)
    pending.shift()?.(answer)
    if (i % 8 === 0) await timers.advance(0.1)
  }
  const { user, system } = process.cpuUsage(before)
  return (user + system) / DECISIONS
}

/** Prints the processor time of one request: admission, queueing, choice of the instance, send and answer. */
export async function measureDecisions (): Promise<void> {
  console.log('\n# Processor time of one request at the scheduler (admission, queue, choice, answer)')
  for (const [instances, waiting] of [[4, 0], [11, 0], [33, 0], [11, 5_000], [200, 5_000]]) {
    const micros = await measure(instances, waiting)
    console.log(`${instances} instances, ${waiting} waiting: ${micros.toFixed(1)} us, ${Math.round(MICROS_PER_SECOND / micros)} a second on one core`)
  }
}
