/**
 * Starts HTTP stand-ins and clients of one test on free ports of the loopback interface.
 *
 * @module
 */

import type { Test } from 'tap'
import { HttpPlatformClient } from 'pomelofold/edge/httpPlatformClient'
import { HttpUpstreamClient } from 'pomelofold/edge/httpUpstreamClient'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { InstanceStandin, type InstanceSettings } from '@pomelofold/standins/instanceStandin'
import { PlatformStandin } from '@pomelofold/standins/platformStandin'
import type { PlatformSettings } from '@pomelofold/standins/platformSettings'
import type { Standin } from '@pomelofold/standins/standinServer'
import { WorkerStandin, type WorkerSettings } from '@pomelofold/standins/workerStandin'

export const timers = new SystemTimers()

/** Deadline of calls that are expected to be answered, in milliseconds. */
export const LONG_MS = 30_000

async function start<S extends Standin> (t: Test, standin: S): Promise<{ standin: S, address: string }> {
  t.teardown(() => standin.close())
  return { standin, address: await standin.listen('127.0.0.1:0') }
}

/** Starts a service instance. */
export function startInstance (t: Test, settings: Partial<InstanceSettings> = {}): Promise<{ standin: InstanceStandin, address: string }> {
  return start(t, new InstanceStandin({ timers, settings: { vm: 'instance-1', ...settings } }))
}

/** Starts a worker. */
export function startWorker (t: Test, settings: Partial<WorkerSettings> = {}): Promise<{ standin: WorkerStandin, address: string }> {
  return start(t, new WorkerStandin({ timers, settings: { vm: 'worker-1', ...settings } }))
}

/** Starts the platform and a client of it. */
export async function startPlatform (t: Test, settings: PlatformSettings = {}):
Promise<{ standin: PlatformStandin, address: string, client: HttpPlatformClient }> {
  const { standin, address } = await start(t, new PlatformStandin({ timers, settings }))
  const client = new HttpPlatformClient({ timers, address, timeoutMs: LONG_MS })
  t.teardown(() => client.close())
  return { standin, address, client }
}

/** A client of upstreams. */
export function upstreamClient (t: Test): HttpUpstreamClient {
  const client = new HttpUpstreamClient({ timers })
  t.teardown(() => client.close())
  return client
}

/** Changes faults through the control interface. */
export async function setFaults (address: string, faults: object): Promise<void> {
  const res = await fetch(`http://${address}/control/faults`, { method: 'POST', body: JSON.stringify(faults) })
  if (!res.ok) throw new Error(await res.text())
}

/** Reads a document of the control interface. */
export async function readControl (address: string, name: string): Promise<unknown> {
  return (await fetch(`http://${address}/control/${name}`)).json()
}

/** Waits for a condition. The test's own timeout ends a wait in vain. */
export async function until (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => { timers.after(5, () => resolve(undefined)) })
}
