/**
 * Limits of servers by the size of their machine.
 *
 * @module
 */

import type { HttpServerOptions } from './httpServer.js'

/** Share of the process's memory that may be held for callers. The rest is for the program, its state and uncollected garbage. */
const HELD_MEMORY_SHARE = 1 / 8

/** Share of the sockets that callers may take. The rest is for the store, workers and peers. */
const CALLER_SOCKET_SHARE = 1 / 2

/** A job is held as text, decoded, as it is stored, and as the call to the store. */
const JOB_BODY_COST = 8

/** Limits of a process on its machine. */
export interface MachineLimits {
  memoryBytes: number
  /** Number of sockets that may be open at once. */
  maxSockets: number
}

/** Limits of a server. */
export type CallerLimits = Required<Pick<HttpServerOptions, 'maxConnections' | 'maxHeldBytes' | 'bodyCost'>>

/** Limits of the server for callers. */
export function callerLimits ({ memoryBytes, maxSockets }: MachineLimits): CallerLimits {
  return {
    maxConnections: Math.max(1, Math.floor(maxSockets * CALLER_SOCKET_SHARE)),
    maxHeldBytes: Math.floor(memoryBytes * HELD_MEMORY_SHARE),
    bodyCost: JOB_BODY_COST
  }
}

/** Limits of a server for health checks and metrics, which few callers use. */
export const OPERATOR_LIMITS: CallerLimits = { maxConnections: 32, maxHeldBytes: 1_000_000, bodyCost: 1 }
