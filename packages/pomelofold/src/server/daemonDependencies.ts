/**
 * Injected dependencies of an entry daemon: the system's own in a process, fakes in tests.
 *
 * @module
 */

import type { EventLog } from '../utils/eventLog.js'
import type { ProcessUsage } from '../reports/controlReport.js'
import type { PeerTransport } from '../seams/peerTransport.js'
import type { PlatformClient } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers } from '../seams/timers.js'
import type { UpstreamClient } from '../seams/upstreamClient.js'

/** Clock, randomness, network clients and log of an entry daemon. Its HTTP server is not included. */
export interface DaemonDependencies {
  timers: Timers
  random: RandomSource
  platform: PlatformClient
  upstream: UpstreamClient
  transport: PeerTransport
  log: EventLog
  /** Returns the processor time and memory that the process has used. */
  usage: () => ProcessUsage
  /** Identifies this process among all processes that have run on this VM. */
  incarnation: string
}
