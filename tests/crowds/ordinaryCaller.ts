/**
 * An ordinary caller of a daemon: it submits a job and reads its state.
 *
 * @module
 */

import { randomBytes } from 'node:crypto'
import { request } from 'node:http'
import { setTimeout } from 'node:timers/promises'

/** Time after which a call without an answer is taken to hang, in milliseconds. */
const HANG_MS = 30_000
const MAX_ATTEMPTS = 10
const RETRY_PAUSE_MS = 500
const RETRIED_STATUSES = new Set([429, 503, 504])
const ID_BYTES = 8
const HANGS = 'no answer'

/** Status of an answer, or what happened in place of one. */
export type CallOutcome = number | string

/** Address of a daemon. */
export interface DaemonAddress { host: string, port: number }

/** Body of an ordinary job. */
export const JOB_BODY = JSON.stringify({ spec: 'quick', steps: [{ task_count: 1, cpu: 100, mem_mb: 10 }] })

export function newJobId (): string {
  return randomBytes(ID_BYTES).toString('hex')
}

/** Options of {@link submitAndQuery}. */
export interface CallOptions {
  /** Number of times that a call is sent at most. */
  maxAttempts?: number
}

/** Outcomes of an ordinary caller's calls, and how many it has sent. */
export interface CallOutcomes { submitted: CallOutcome, queried: CallOutcome, calls: number }

/**
 * Submits a job and reads its state. A call is sent again, as callers do, while it is refused with 429 or 503 or its
 * connection breaks. One that is not answered, or whose connection is refused since no process listens, is not.
 */
export async function submitAndQuery (address: DaemonAddress, { maxAttempts = MAX_ATTEMPTS }: CallOptions = {}): Promise<CallOutcomes> {
  let calls = 0
  const callUntilServed = async (call: Call): Promise<CallOutcome> => {
    for (let attempt = 1; ; attempt++) {
      calls++
      const outcome = await send(address, call)
      if (attempt >= maxAttempts || !isRetried(outcome)) return outcome
      await setTimeout(RETRY_PAUSE_MS)
    }
  }
  const path = `/quick/${newJobId()}`
  const submitted = await callUntilServed({ method: 'POST', path, body: JOB_BODY })
  const queried = await callUntilServed({ method: 'GET', path })
  return { submitted, queried, calls }
}

interface Call { method: string, path: string, body?: string }

function isRetried (outcome: CallOutcome): boolean {
  return typeof outcome === 'number' ? RETRIED_STATUSES.has(outcome) : outcome !== HANGS && outcome !== 'ECONNREFUSED'
}

/** Sends a call on a connection of its own. */
function send (address: DaemonAddress, { method, path, body }: Call): Promise<CallOutcome> {
  return new Promise(resolve => {
    const headers = { host: 'cell', ...(body && { 'content-length': Buffer.byteLength(body) }) }
    const req = request({ ...address, method, path, headers, agent: false, signal: AbortSignal.timeout(HANG_MS) }, res => {
      res.resume()
      res.once('end', () => resolve(res.statusCode!))
      res.once('error', err => resolve(describeFailure(err)))
    })
    req.once('error', err => resolve(describeFailure(err)))
    req.end(body)
  })
}

function describeFailure (err: NodeJS.ErrnoException): string {
  return err.name === 'AbortError' || err.name === 'TimeoutError' ? HANGS : err.code ?? err.message
}
