/**
 * A request from its arrival at a scheduler until its final answer.
 *
 * @module
 */

import type { Manifest } from '../protocol/manifest.js'
import type { RequestClass, ServiceAnswer, ServiceRequest } from '../protocol/requests.js'

/** A service as the manifest declares it. */
export type ServiceSpec = Manifest['services'][number]

/** Team name under which requests without a declared team are counted. */
export const NO_TEAM = ''

/** A request that waits in a queue or is in flight, with the state of its attempts. */
export interface QueuedRequest {
  readonly req: ServiceRequest
  readonly class: RequestClass
  readonly team: string
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number
  /** Monotonic time at which the caller stops waiting. */
  readonly deadlineAtMs: number
  /** Latest monotonic time of a send from which an answer is expected before the deadline. */
  latestStartMs: number
  /** Number of times that the request has been sent. */
  attempts: number
  /** True once a byte of the request may have reached an upstream. */
  mayHaveRun: boolean
  /** Names of the instances at which an attempt has failed. A retry goes to another one. */
  failedInstances: Set<string> | undefined
  /** Number of instances that broke the connection off after the request had been sent. */
  brokenAttempts: number
  /** Delivers the final answer. Called exactly once. */
  readonly answer: (answer: ServiceAnswer) => void
}
