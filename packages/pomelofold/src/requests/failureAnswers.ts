/**
 * Final answers to requests that got no answer from an upstream.
 *
 * @module
 */

import { OUTCOMES, type ServiceAnswer } from '../protocol/requests.js'
import { PROBLEM_CONTENT_TYPE, problem, type ProblemKind } from '../protocol/problem.js'

/** Where and why a request failed, and when the caller may retry. */
export interface FailureDetails {
  step: string
  detail: string
  peer?: string
  requestId?: string
  retryAfterMs?: number
  waitedMs?: number
}

const encoder = new TextEncoder()

function failureAnswer (outcome: 'not-run' | 'unknown', kind: ProblemKind, details: FailureDetails): ServiceAnswer {
  const { step, detail, peer, requestId, retryAfterMs, waitedMs } = details
  const body = problem(kind, detail, { outcome, step, peer, requestId, retryAfterMs })
  return {
    outcome,
    status: body.status,
    headers: { 'content-type': PROBLEM_CONTENT_TYPE },
    body: encoder.encode(JSON.stringify(body)),
    step,
    peer,
    detail,
    retryAfterMs,
    waitedMs
  }
}

/** Answers a request that no upstream has received and that will not be sent any more. */
export function notRunAnswer (details: FailureDetails, kind: ProblemKind = 'overloaded'): ServiceAnswer {
  return failureAnswer(OUTCOMES.notRun, kind, details)
}

/** Answers a request that an upstream may have run, although no answer arrived. */
export function unknownOutcomeAnswer (details: FailureDetails): ServiceAnswer {
  return failureAnswer(OUTCOMES.unknown, 'upstreamLost', details)
}
