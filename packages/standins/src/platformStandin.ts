/**
 * HTTP stand-in for the platform: the etcd gateway, the list of VMs, which lags behind changes, and `/control`.
 *
 * @module
 */

import type { Context } from 'hono'
import { etag } from 'hono/etag'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { VmRecord } from 'pomelofold/protocol/vms'
import { vmRecordSchema } from 'pomelofold/protocol/vms'
import { delay, type Timers, type TimerSubscription } from 'pomelofold/seams/timers'
import { errorText } from 'pomelofold/utils/errors'
import { GATEWAY_CALLS, openWatch } from './etcdGateway.js'
import { KeyValueStore } from './keyValueStore.js'
import {
  OUTAGES, platformFaultsSchema, platformSettingsSchema, vmChangeSchema,
  type PlatformCounts, type PlatformSettings, type PlatformStandinFaults
} from './platformSettings.js'
import { resetConnection, StandinServer, type Standin, type StandinEnv } from './standinServer.js'

/** A call with a single response. */
interface PlatformCall {
  isWrite: boolean
  handle: () => object
}

/** gRPC status codes and the HTTP statuses that the gateway maps them to. */
const GATEWAY_ERRORS = {
  invalid: { code: 3, status: 400 },
  notFound: { code: 5, status: 404 },
  unavailable: { code: 14, status: 503 }
} as const

/** Serves a {@link KeyValueStore} and a list of VMs over HTTP, with injected faults. */
export class PlatformStandin implements Standin {
  readonly store: KeyValueStore
  readonly faults: PlatformStandinFaults = { outage: OUTAGES.none, delayMs: 0, loseAnswers: false }
  private readonly _timers: Timers
  private readonly _vmLagMs: number
  private readonly _server = new StandinServer()
  private readonly _openWatches = new Set<Context<StandinEnv>>()
  private readonly _vms: Map<string, VmRecord>
  private readonly _listUpdateTimers = new Set<TimerSubscription>()
  /** VMs that the list shows; changes of `_vms` appear here after the lag. */
  private _listedVms: VmRecord[]
  private _vmListCalls = 0

  constructor ({ timers, settings }: { timers: Timers, settings: PlatformSettings }) {
    const { vms, vmLagMs } = platformSettingsSchema.parse(settings)
    this._timers = timers
    this._vmLagMs = vmLagMs
    this._vms = new Map(vms.map(vm => [vm.name, vm]))
    this._listedVms = vms
    this.store = new KeyValueStore({ timers })
    this._serveCalls()
    this._serveControl()
  }

  listen (address: string): Promise<string> {
    return this._server.listen(address)
  }

  close (): Promise<void> {
    this.store.close()
    for (const timer of this._listUpdateTimers) timer.cancel()
    return this._server.close()
  }

  /** Returns the numbers of calls since the start. */
  counts (): PlatformCounts {
    return { ...this.store.counts, vmLists: this._vmListCalls, openWatches: this._openWatches.size, wallClockMs: this._timers.wallClock() }
  }

  /** Adds or replaces a VM. The list shows the change after the lag. */
  setVm (vm: VmRecord): void {
    this._vms.set(vm.name, vm)
    this._scheduleListUpdate()
  }

  /** Removes a VM. The list shows the change after the lag. */
  removeVm (name: string): void {
    this._vms.delete(name)
    this._scheduleListUpdate()
  }

  private _scheduleListUpdate (): void {
    const vms = [...this._vms.values()]
    const listUpdateTimer = this._timers.after(this._vmLagMs, () => {
      this._listUpdateTimers.delete(listUpdateTimer)
      this._listedVms = vms
    })
    this._listUpdateTimers.add(listUpdateTimer)
  }

  private _serveCalls (): void {
    const { app } = this._server
    for (const [path, { isWrite, handle }] of Object.entries(GATEWAY_CALLS)) {
      app.post(path, async c => {
        const body: unknown = await c.req.json()
        return this._answer(c, { isWrite, handle: () => handle(this.store, body) })
      })
    }
    app.get('/vms', etag(), c => this._answer(c, { isWrite: false, handle: () => this._listVms(c.req.query('failureDomain')) }))
    app.post('/v3/watch', async c => {
      const body: unknown = await c.req.json()
      return await this._applyOutage(c) ?? this._serveWatch(c, body)
    })
  }

  private _serveControl (): void {
    const { app } = this._server
    this._server.serveFaults(this.faults, platformFaultsSchema, () => {
      if (this.faults.outage !== OUTAGES.none) this._endWatches()
    })
    app.get('/control/counts', c => c.json(this.counts()))
    app.get('/control/vms', c => c.json({ vms: [...this._vms.values()] }))
    app.put('/control/vms', async c => {
      this.setVm(vmRecordSchema.parse(await c.req.json()))
      return c.json({})
    })
    app.post('/control/vms/:name', async c => {
      const vm = this._vms.get(c.req.param('name'))
      if (!vm) return c.json({ error: `there is no VM named ${c.req.param('name')}` }, 404)
      const { state } = vmChangeSchema.parse(await c.req.json())
      if (state === 'gone') this.removeVm(vm.name)
      else this.setVm({ ...vm, state })
      return c.json({})
    })
  }

  private _listVms (failureDomain: string | undefined): object {
    this._vmListCalls++
    return { vms: this._listedVms.filter(vm => failureDomain === undefined || vm.failureDomain === failureDomain) }
  }

  private async _answer (c: Context<StandinEnv>, { isWrite, handle }: PlatformCall): Promise<Response> {
    const refusal = await this._applyOutage(c)
    if (refusal) return refusal
    try {
      const answer = handle()
      return isWrite && this.faults.loseAnswers ? resetConnection(c) : c.json(answer)
    } catch (err) {
      const message = errorText(err)
      // The store's only error whose text starts with `lease ` is the one for an unknown lease.
      return errorResponse(c, message.startsWith('lease ') ? 'notFound' : 'invalid', message)
    }
  }

  /** Delays the call, and returns the response of the current outage; undefined when there is no outage. */
  private async _applyOutage (c: Context<StandinEnv>): Promise<Response | undefined> {
    if (this.faults.delayMs > 0) await delay(this._timers, this.faults.delayMs)
    const answers = {
      none: () => undefined,
      reset: () => resetConnection(c),
      silent: () => RESPONSE_ALREADY_SENT,
      unavailable: () => errorResponse(c, 'unavailable', 'the platform is unavailable')
    }
    return answers[this.faults.outage]()
  }

  private _serveWatch (c: Context<StandinEnv>, body: unknown): Response {
    const { outgoing } = c.env
    outgoing.writeHead(200, { 'content-type': 'application/json' })
    this._openWatches.add(c)
    const watch = openWatch(this.store, body, line => outgoing.write(`${JSON.stringify(line)}\n`))
    outgoing.on('close', () => {
      this._openWatches.delete(c)
      watch.close()
    })
    return RESPONSE_ALREADY_SENT
  }

  private _endWatches (): void {
    for (const c of this._openWatches) resetConnection(c)
  }
}

function errorResponse (c: Context<StandinEnv>, kind: keyof typeof GATEWAY_ERRORS, message: string): Response {
  const { code, status } = GATEWAY_ERRORS[kind]
  return c.json({ error: message, code, message }, status)
}
