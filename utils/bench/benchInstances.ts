/**
 * In-memory service instances that implement the upstream client.
 *
 * @module
 */

import Result from 'true-myth/result'
import type { Timers } from 'pomelofold/seams/timers'
import type { InstanceAnswer, InstanceRequest, UpstreamClient } from 'pomelofold/seams/upstreamClient'
import { CallError, CallTimeoutError, EFFECTS } from 'pomelofold/utils/errors'

/** How an instance handles requests. */
export const INSTANCE_MODES = {
  /** Answers after the run time. */
  answers: 'answers',
  /** Refuses connections, so that no request reaches it. */
  refuses: 'refuses',
  /** Runs the request, but the answer is lost. */
  silent: 'silent',
  /** Runs the request, but resets the connection before the answer. */
  resets: 'resets',
  /** Answers at once with status 500. */
  fails: 'fails'
} as const

/** One of {@link INSTANCE_MODES}. */
export type InstanceMode = typeof INSTANCE_MODES[keyof typeof INSTANCE_MODES]

/** Header that carries a request's true run time, in milliseconds at speed 1. */
export const RUN_MS_HEADER = 'run-ms'

/** An in-memory service instance. */
export interface MemoryInstance {
  address: string
  slots: number
  /** Divisor of run times. */
  speed: number
  mode: InstanceMode
  running: number
  /** Highest number of requests that ran at once. */
  peakRunning: number
}

type Settle = (result: Result<InstanceAnswer, CallError>) => void

/** Time until an instance resets a connection, in milliseconds. */
const RESET_AFTER_MS = 2

/** The instances of a cell. */
export class MemoryInstances implements UpstreamClient {
  readonly instances = new Map<string, MemoryInstance>()
  /** Number of requests that reached an instance, by request body. */
  readonly runs = new Map<string, number>()
  private readonly _timers: Timers
  private readonly _delayMs: number
  private readonly _onRun: ((req: InstanceRequest) => void) | undefined

  /** Calls `onRun` for each request that reaches an instance; without it, runs are counted by body. */
  constructor ({ timers, delayMs = 0.2, onRun }: { timers: Timers, delayMs?: number, onRun?: (req: InstanceRequest) => void }) {
    this._timers = timers
    this._delayMs = delayMs
    this._onRun = onRun
  }

  add ({ address, slots = 8, speed = 1 }: { address: string, slots?: number, speed?: number }): MemoryInstance {
    const instance = { address, slots, speed, mode: INSTANCE_MODES.answers, running: 0, peakRunning: 0 }
    this.instances.set(address, instance)
    return instance
  }

  request (address: string, req: InstanceRequest, timeoutMs: number): Promise<Result<InstanceAnswer, CallError>> {
    return new Promise(resolve => this._request(address, req, timeoutMs, resolve))
  }

  async instanceStatus (address: string, timeoutMs: number): Promise<Result<{ running: number, slots: number }, CallError>> {
    const instance = this.instances.get(address)
    const isLost = !instance || instance.mode === INSTANCE_MODES.refuses
    await new Promise<void>(resolve => this._timers.after(this._delayMs, resolve))
    if (isLost) return Result.err(this._error(address, EFFECTS.none))
    const { running, slots } = instance
    await new Promise<void>(resolve => this._timers.after(this._delayMs, resolve))
    return Result.ok({ running, slots })
  }

  async startTasks (): Promise<never> { throw new Error('service instances run no tasks') }
  async renew (): Promise<never> { throw new Error('service instances run no tasks') }
  async command (): Promise<never> { throw new Error('service instances run no tasks') }
  async close (): Promise<void> {}

  private _request (address: string, req: InstanceRequest, timeoutMs: number, resolve: Settle): void {
    const instance = this.instances.get(address)
    if (!instance || instance.mode === INSTANCE_MODES.refuses) {
      this._timers.after(this._delayMs, () => resolve(Result.err(this._error(address, EFFECTS.none))))
      return
    }
    const timeout = this._timers.after(timeoutMs, () => {
      resolve(Result.err(new CallTimeoutError(timeoutMs, { step: 'instance.request', peer: address, effect: EFFECTS.unknown })))
    })
    const settle: Settle = result => {
      timeout.cancel()
      resolve(result)
    }
    this._timers.after(this._delayMs, () => this._run(instance, req, settle))
  }

  private _run (instance: MemoryInstance, req: InstanceRequest, settle: Settle): void {
    const { mode } = instance
    instance.running++
    instance.peakRunning = Math.max(instance.peakRunning, instance.running)
    if (this._onRun) this._onRun(req)
    else this._count(req)
    if (mode === INSTANCE_MODES.resets) {
      this._timers.after(RESET_AFTER_MS, () => settle(Result.err(this._error(instance.address, EFFECTS.unknown))))
    }
    const runMs = mode === INSTANCE_MODES.fails ? 0 : Number(req.headers[RUN_MS_HEADER]) / instance.speed
    this._timers.after(runMs, () => {
      instance.running--
      if (mode !== INSTANCE_MODES.answers && mode !== INSTANCE_MODES.fails) return
      const status = mode === INSTANCE_MODES.fails ? 500 : 200
      this._timers.after(this._delayMs, () => settle(Result.ok({ status, headers: {}, body: req.body })))
    })
  }

  private _count ({ body }: InstanceRequest): void {
    const text = Buffer.from(body).toString()
    this.runs.set(text, (this.runs.get(text) ?? 0) + 1)
  }

  private _error (address: string, effect: 'none' | 'unknown'): CallError {
    const text = effect === EFFECTS.none ? 'connection refused' : 'connection reset'
    return new CallError(text, { step: 'instance.request', peer: address, effect })
  }
}
