/**
 * A request between its arrival at a scheduler and its final answer.
 *
 * @module
 */

import type { Manifest } from '../protocol/manifest.js'
import type { RequestClass, ServiceAnswer, ServiceRequest } from '../protocol/requests.js'

/** A service as the manifest declares it. */
export type ServiceSpec = Manifest['services'][number]

/** Name under which requests without a declared team are counted. */
export const NO_TEAM = ''

/** A request that waits or runs. */
export interface QueuedRequest {
  readonly req: ServiceRequest
  readonly class: RequestClass
  readonly team: string
  /** Monotonic time of arrival, in milliseconds. */
  readonly arrivedMs: number
  /** Monotonic time at which the caller gives up. */
  readonly deadlineAtMs: number
  /** Latest start that still leaves the expected run time before the deadline. */
  latestStartMs: number
  /** Number of sends so far. */
  attempts: number
  /** True once a byte of the request may have reached an upstream. */
  mayHaveRun: boolean
  /** Instances that failed an attempt of this request. */
  failedInstances: Set<string> | undefined
  /** Gives the final answer. Called once. */
  readonly answer: (answer: ServiceAnswer) => void
}
