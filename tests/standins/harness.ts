/**
 * Starts HTTP stand-ins on free ports of the loopback interface, and clients of them, for the duration of one test.
 *
 * @module
 */

import type { Test } from 'tap'
import type { HttpCallerOptions } from 'pomelofold/edge/httpCaller'
import { HttpPlatformClient } from 'pomelofold/edge/httpPlatformClient'
import { HttpUpstreamClient } from 'pomelofold/edge/httpUpstreamClient'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { ControlClient } from '@pomelofold/standins/controlClient'
import { InstanceStandin, type InstanceSettings } from '@pomelofold/standins/instanceStandin'
import { PlatformStandin } from '@pomelofold/standins/platformStandin'
import type { PlatformSettings } from '@pomelofold/standins/platformSettings'
import type { Standin } from '@pomelofold/standins/standinServer'
import { WorkerStandin, type WorkerSettings } from '@pomelofold/standins/workerStandin'

export const timers = new SystemTimers()

/** Timeout of calls that are expected to be answered, in milliseconds. */
export const LONG_TIMEOUT_MS = 30_000

/** A stand-in that accepts connections, and its control client. */
interface StartedStandin<S> {
  standin: S
  address: string
  control: ControlClient
}

async function startStandin<S extends Standin> (t: Test, standin: S): Promise<StartedStandin<S>> {
  t.teardown(() => standin.close())
  const address = await standin.listen('127.0.0.1:0')
  return { standin, address, control: new ControlClient(address) }
}

/** Starts the stand-in for a service instance. */
export function startInstance (t: Test, settings: Partial<InstanceSettings> = {}): Promise<StartedStandin<InstanceStandin>> {
  return startStandin(t, new InstanceStandin({ timers, settings: { vm: 'instance-1', ...settings } }))
}

/** Starts the stand-in for a worker. */
export function startWorker (t: Test, settings: Partial<WorkerSettings> = {}): Promise<StartedStandin<WorkerStandin>> {
  return startStandin(t, new WorkerStandin({ timers, settings: { vm: 'worker-1', ...settings } }))
}

/** Starts the stand-in for the platform, and a client of it. */
export async function startPlatform (t: Test, settings: PlatformSettings = {}) {
  const started = await startStandin(t, new PlatformStandin({ timers, settings }))
  const client = new HttpPlatformClient({ timers, address: started.address, timeoutMs: LONG_TIMEOUT_MS })
  t.teardown(() => client.close())
  return { ...started, client }
}

/** Creates a client of upstream VMs. */
export function upstreamClient (t: Test, options: Partial<HttpCallerOptions> = {}): HttpUpstreamClient {
  const client = new HttpUpstreamClient({ timers, ...options })
  t.teardown(() => client.close())
  return client
}

/** Waits until a condition holds, without a limit: if it never holds, the test's timeout fails the test. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => { timers.after(5, () => resolve(undefined)) })
}
