/**
 * The seams of an entry daemon: real ones in a process, fakes in tests.
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

/** Everything that an entry daemon reaches the outside by, besides its HTTP server. */
export interface DaemonDependencies {
  timers: Timers
  random: RandomSource
  platform: PlatformClient
  upstream: UpstreamClient
  transport: PeerTransport
  log: EventLog
  /** Reads what the process has used. */
  usage: () => ProcessUsage
  /** Distinguishes the processes that have run on this VM. */
  incarnation: string
}
