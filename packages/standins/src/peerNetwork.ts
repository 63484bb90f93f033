/**
 * In-memory network between entry daemons that run in one process.
 *
 * @module
 */

import Result from 'true-myth/result'
import { peerMethodSchemas, type PeerMethod, type PeerMethods } from 'pomelofold/protocol/peerMessages'
import type { PeerHandlers, PeerIdentity, PeerTransport } from 'pomelofold/seams/peerTransport'
import type { Timers } from 'pomelofold/seams/timers'
import { CallError, CallTimeoutError, EFFECTS, errorText } from 'pomelofold/utils/errors'

/** A process that serves calls. */
interface Endpoint {
  identity: PeerIdentity
  handlers: PeerHandlers
  /** Timers of the process. Calls are delivered through them, so that they wait while the process is frozen. */
  timers: Timers
  /** True when the process has ended, so that connections to it are refused. */
  isDown: () => boolean
}

/** Options of a {@link PeerNetwork}. */
export interface PeerNetworkOptions {
  /** Timers of the network; they run on while a process is frozen. */
  timers: Timers
  /** One-way delay between two failure domains, in milliseconds. */
  delayMs: (from: string, to: string) => number
  /** True while messages from one failure domain to the other are lost. */
  isPartitioned: (from: string, to: string) => boolean
  /** True while a device between two failure domains refuses connections. */
  isRefused?: (from: string, to: string) => boolean
}

/** Delivers calls between processes. Parameters and results are copied and validated, as on a real connection. */
export class PeerNetwork {
  private readonly _options: PeerNetworkOptions
  private readonly _endpoints = new Map<string, Endpoint>()

  constructor (options: PeerNetworkOptions) {
    this._options = options
  }

  /** Creates the transport of one process. While `isDown` returns true, connections to the process are refused. */
  transport (identity: PeerIdentity, timers: Timers, isDown: () => boolean): PeerTransport {
    return {
      call: (vm, method, params, timeoutMs) => this._call(identity, timers, vm, method, params, timeoutMs),
      listen: async handlers => { this._endpoints.set(identity.vm, { identity, handlers, timers, isDown }) },
      close: async () => { this._endpoints.delete(identity.vm) }
    }
  }

  private _call<M extends PeerMethod> (
    from: PeerIdentity, timers: Timers, vm: string, method: M, params: PeerMethods[M]['params'], timeoutMs: number
  ): Promise<Result<PeerMethods[M]['result'], CallError>> {
    const target = this._endpoints.get(vm)
    const details = { step: `peer.${method}`, peer: vm, effect: EFFECTS.unknown }
    const refused = target && this._options.isRefused?.(from.failureDomain, target.identity.failureDomain)
    if (!target || target.isDown() || refused) return Promise.resolve(Result.err(new CallError('connect ECONNREFUSED', { ...details, effect: EFFECTS.none })))
    return new Promise(resolve => {
      timers.after(timeoutMs, () => resolve(Result.err(new CallTimeoutError(timeoutMs, details))))
      const message = structuredClone(params)
      this._deliver(from, target.identity, target.timers, async () => {
        const result = await this._handleCall(target, method, message, from)
        this._deliver(target.identity, from, timers, () => { resolve(result.mapErr(text => new CallError(text, details))) })
      })
    })
  }

  /** Runs `fn` at the receiver after the one-way delay, unless the domains are partitioned when the message is sent or when it arrives. */
  private _deliver (from: PeerIdentity, to: PeerIdentity, receiverTimers: Timers, fn: () => void): void {
    const { timers, delayMs, isPartitioned } = this._options
    const [fromDomain, toDomain] = [from.failureDomain, to.failureDomain]
    if (isPartitioned(fromDomain, toDomain)) return
    timers.after(delayMs(fromDomain, toDomain), () => {
      if (!isPartitioned(fromDomain, toDomain)) receiverTimers.after(0, fn)
    })
  }

  private async _handleCall<M extends PeerMethod> ({ handlers }: Endpoint, method: M, message: unknown, from: PeerIdentity):
  Promise<Result<PeerMethods[M]['result'], string>> {
    const handler = handlers[method]
    if (!handler) return Result.err('method is not supported')
    try {
      const params = peerMethodSchemas[method].params.parse(message) as PeerMethods[M]['params']
      const result = await handler(params, from)
      return Result.ok(peerMethodSchemas[method].result.parse(structuredClone(result)) as PeerMethods[M]['result'])
    } catch (err) {
      return Result.err(errorText(err))
    }
  }
}
