/**
 * Limits of servers by the size of their machine.
 *
 * @module
 */

import type { HttpServerOptions } from './httpServer.js'

/** Share of the process's memory that may be held for callers. The rest is for the program, its state and uncollected garbage. */
const HELD_MEMORY_SHARE = 1 / 8

/** Limits of a process on its machine. */
export interface MachineLimits {
  memoryBytes: number
}

/** Limits of a server. */
export type CallerLimits = Required<Pick<HttpServerOptions, 'maxHeldBytes'>>

/** Limits of the server for callers. */
export function callerLimits ({ memoryBytes }: MachineLimits): CallerLimits {
  return { maxHeldBytes: Math.floor(memoryBytes * HELD_MEMORY_SHARE) }
}
