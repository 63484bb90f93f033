/**
 * In-process client of upstream VMs. Each entry daemon under test has its own, with faults for each link.
 *
 * @module
 */

import Result from 'true-myth/result'
import type { TaskStart, TaskStartAnswer, WorkerReport } from 'pomelofold/protocol/worker'
import { delay, type Timers } from 'pomelofold/seams/timers'
import {
  StaleEpochError, type InstanceAnswer, type InstanceRequest, type TaskCommand, type UpstreamClient
} from 'pomelofold/seams/upstreamClient'
import { CallError, CallTimeoutError, EFFECTS, errorText, type CallErrorOptions } from 'pomelofold/utils/errors'
import { ManualPromise } from 'pomelofold/utils/manualPromise'
import type { InstanceModel } from './instanceModel.js'
import type { StaleEpochRefusal, WorkerModel } from './workerModel.js'

/** Models by address, shared by all clients of one cell. Connections to an address without a model are refused. */
export interface UpstreamModels {
  instances: Map<string, InstanceModel>
  workers: Map<string, WorkerModel>
}

/** Injected faults of one client's link to one address. They may be changed at any time. */
export interface UpstreamLinkFaults {
  /** Messages are lost in both directions; each call times out. */
  unreachable: boolean
  /** Calls arrive, but their answers are lost. */
  loseAnswers: boolean
  /** One-way delay, in milliseconds. A call that times out on its way still arrives. */
  delayMs: number
}

interface UpstreamCall<M, T> {
  step: string
  address: string
  model: M | undefined
  timeoutMs: number
  invoke: (model: M) => Promise<Result<T, CallError>>
}

/** Options of a {@link MemoryUpstreamClient}. */
export interface MemoryUpstreamClientOptions {
  timers: Timers
  models: UpstreamModels
  /** One-way delay of each link, in milliseconds. */
  delayMs?: number
}

/** One entry daemon's client of the models of upstream VMs. */
export class MemoryUpstreamClient implements UpstreamClient {
  private readonly _timers: Timers
  private readonly _models: UpstreamModels
  private readonly _delayMs: number
  private readonly _links = new Map<string, UpstreamLinkFaults>()
  private _closed = false

  constructor ({ timers, models, delayMs = 0.5 }: MemoryUpstreamClientOptions) {
    this._timers = timers
    this._models = models
    this._delayMs = delayMs
  }

  /** Returns the faults of the link to `address`; changes take effect at once. */
  link (address: string): UpstreamLinkFaults {
    const known = this._links.get(address)
    if (known) return known
    const link: UpstreamLinkFaults = { unreachable: false, loseAnswers: false, delayMs: this._delayMs }
    this._links.set(address, link)
    return link
  }

  request (address: string, req: InstanceRequest, timeoutMs: number): Promise<Result<InstanceAnswer, CallError>> {
    const step = 'upstream.request'
    return this._call({
      step,
      address,
      timeoutMs,
      model: this._models.instances.get(address),
      invoke: async instance => {
        const reply = await instance.handle(req)
        return reply.kind === 'answer' ? Result.ok(reply.answer) : connectionReset(step, address)
      }
    })
  }

  instanceStatus (address: string, timeoutMs: number): Promise<Result<{ running: number, slots: number }, CallError>> {
    const model = this._models.instances.get(address)
    return this._call({ step: 'upstream.instanceStatus', address, timeoutMs, model, invoke: async instance => Result.ok(instance.status()) })
  }

  startTasks (address: string, epoch: number, starts: TaskStart[], timeoutMs: number): Promise<Result<TaskStartAnswer[], CallError>> {
    return this._callWorker('upstream.startTasks', address, timeoutMs, worker => worker.start(epoch, starts))
  }

  renew (address: string, epoch: number, leaseMs: number, acknowledged: string[], timeoutMs: number, since?: string):
  Promise<Result<WorkerReport, CallError>> {
    return this._callWorker('upstream.renew', address, timeoutMs, worker => worker.renew(epoch, leaseMs, acknowledged, since))
  }

  async command (address: string, epoch: number, taskId: string, command: TaskCommand, timeoutMs: number):
  Promise<Result<void, CallError>> {
    const result = await this._callWorker(`upstream.${command}`, address, timeoutMs, worker => worker.command(epoch, taskId, command))
    return result.map(() => undefined)
  }

  async close (): Promise<void> {
    this._closed = true
  }

  private _callWorker<T> (
    step: string, address: string, timeoutMs: number, operation: (worker: WorkerModel) => Result<T, StaleEpochRefusal>
  ): Promise<Result<T, CallError>> {
    return this._call({
      step,
      address,
      timeoutMs,
      model: this._models.workers.get(address),
      invoke: async worker => {
        await worker.waitWhileHanging()
        const result = operation(worker)
        if (worker.faults.dropAnswers) return connectionReset(step, address)
        return result.mapErr(({ epoch }) => new StaleEpochError(epoch, { step, peer: address, effect: EFFECTS.unknown }))
      }
    })
  }

  private async _call<M, T> (call: UpstreamCall<M, T>): Promise<Result<T, CallError>> {
    const { step, address, model, timeoutMs } = call
    const details: CallErrorOptions = { step, peer: address, effect: EFFECTS.none }
    if (this._closed) return Result.err(new CallError('the client is closed', details))
    if (model === undefined) return Result.err(new CallError('connection refused', details))
    const settled = new ManualPromise<Result<T, CallError>>()
    const deadline = this._timers.after(timeoutMs, () => {
      settled.resolve(Result.err(new CallTimeoutError(timeoutMs, { ...details, effect: EFFECTS.unknown })))
    })
    this._exchange(call, model).then(
      result => { if (result) settled.resolve(result) },
      err => settled.resolve(Result.err(new CallError(errorText(err), { ...details, effect: EFFECTS.unknown }))))
    const result = await settled.promise
    deadline.cancel()
    return result
  }

  /** Delivers a call and its answer. Undefined when either is lost. */
  private async _exchange<M, T> ({ address, invoke }: UpstreamCall<M, T>, model: M): Promise<Result<T, CallError> | undefined> {
    const link = this.link(address)
    if (link.unreachable) return
    await delay(this._timers, link.delayMs)
    if (link.unreachable) return
    const result = await invoke(model)
    if (link.unreachable || link.loseAnswers) return
    await delay(this._timers, link.delayMs)
    return link.unreachable ? undefined : result
  }
}

function connectionReset<T> (step: string, peer: string): Result<T, CallError> {
  return Result.err(new CallError('the connection was reset', { step, peer, effect: EFFECTS.unknown }))
}
