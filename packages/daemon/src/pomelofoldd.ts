#!/usr/bin/env node
/**
 * Process of the entry daemon: reads the settings, starts the library's daemon and HTTP server, and shuts down on signals.
 *
 * @module
 */

import { Command } from 'commander'
import { EventLogger } from 'pomelofold/edge/eventLogger'
import { HttpPlatformClient } from 'pomelofold/edge/httpPlatformClient'
import { HttpServer } from 'pomelofold/edge/httpServer'
import { HttpUpstreamClient } from 'pomelofold/edge/httpUpstreamClient'
import { SystemRandom } from 'pomelofold/edge/systemRandom'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { TcpPeerTransport } from 'pomelofold/edge/tcpPeerTransport'
import type { ProcessUsage } from 'pomelofold/reports/controlReport'
import { EntryDaemon } from 'pomelofold/server/entryDaemon'
import { daemonSettingsSchema, type DaemonSettings } from 'pomelofold/settings/daemonSettings'
import { errorText } from 'pomelofold/utils/errors'
import { readJsonFile } from 'pomelofold/utils/jsonFile'

/** Exit codes of `pomelofoldd`. */
const EXIT_CODES = { ok: 0, failed: 1, invalidSettings: 2 } as const

/** `process.cpuUsage()` reports microseconds. */
const MICROS_PER_MS = 1_000

/** Time beyond `shutdownMs` in which answers are sent before open connections are closed, in milliseconds. */
const HTTP_CLOSE_MARGIN_MS = 2_000

/** Random bytes in the id of an incarnation. */
const INCARNATION_BYTES = 8

/** Returns the processor time and memory that this process has used. */
function processUsage (): ProcessUsage {
  const { user, system } = process.cpuUsage()
  return { cpuMs: (user + system) / MICROS_PER_MS, residentBytes: process.memoryUsage.rss(), upMs: process.uptime() * 1_000 }
}

async function runDaemon (settings: DaemonSettings): Promise<void> {
  const { vm, failureDomain, peers } = settings
  const timers = new SystemTimers()
  const random = new SystemRandom()
  const log = new EventLogger({ vm, level: settings.log.level })
  const incarnation = random.hex(INCARNATION_BYTES)
  const platform = new HttpPlatformClient({ address: settings.platform.address, timers, timeoutMs: settings.platform.timeoutMs })
  const upstream = new HttpUpstreamClient({ timers })
  const self = { vm, failureDomain, incarnation }
  const address = peers.find(peer => peer.vm === vm)!.address
  const transport = new TcpPeerTransport({ self, address, members: new Map(peers.map(peer => [peer.vm, peer])), timers, log })
  const daemon = new EntryDaemon(settings, { timers, random, platform, upstream, transport, log, incarnation, usage: processUsage })
  const http = new HttpServer({ ...settings.http, timers, log })

  await daemon.start()
  await http.listen(daemon.app)
  log.event('info', 'http.listening', { address: settings.http.address })

  const stop = async (signal: string): Promise<void> => {
    log.event('info', 'daemon.signal', { signal })
    const closed = http.close({ timeoutMs: settings.shutdownMs + HTTP_CLOSE_MARGIN_MS })
    await daemon.shutdown()
    await closed
    process.exit(EXIT_CODES.ok)
  }
  for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => { stop(signal) })
}

await new Command('pomelofoldd')
  .description('Entry daemon of a pomelofold cell.')
  .version('0.1.0')
  .requiredOption('--settings <file>', 'settings, JSON; see docs/SETTINGS.md')
  .action(async ({ settings: file }: { settings: string }) => {
    const settings = readJsonFile(file, daemonSettingsSchema)
    if (settings.isErr) {
      console.error(`pomelofoldd: ${settings.error.message}`)
      process.exit(EXIT_CODES.invalidSettings)
    }
    try {
      await runDaemon(settings.value)
    } catch (err) {
      console.error(`pomelofoldd: ${errorText(err)}`)
      process.exit(EXIT_CODES.failed)
    }
  })
  .parseAsync()
