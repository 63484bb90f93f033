/**
 * Model of a service instance: it runs requests in a fixed number of slots, with random service times and injected faults.
 *
 * @module
 */

import { createHash } from 'node:crypto'
import { HEADERS } from 'pomelofold/protocol/requests'
import type { RandomSource } from 'pomelofold/seams/randomSource'
import { delay, type Timers } from 'pomelofold/seams/timers'
import type { InstanceAnswer, InstanceRequest } from 'pomelofold/seams/upstreamClient'
import { countOccurrences, type InstanceRecord, type RequestRun } from './runRecords.js'

/** Injected faults of an instance. They may be changed at any time. */
export interface InstanceFaults {
  /** Every request runs and gets status 500. */
  fail: boolean
  /** Requests do not complete and keep their slots until this is switched off. */
  hang: boolean
  /** Factor by which service times are multiplied. */
  slowness: number
  /** The connection is reset after the request has run. */
  reset: boolean
  /** Delay between the end of the work and the response, in milliseconds. */
  lateMs: number
}

/** Options of an {@link InstanceModel}. */
export interface InstanceModelOptions {
  timers: Timers
  random: RandomSource
  vm?: string
  /** Number of requests that run at the same time. */
  slots?: number
  /** Number of requests accepted at the same time; the connections of further ones are reset and they do not run. */
  connections?: number
  /** Speed relative to a standard VM. */
  speed?: number
  /** Mean service time at speed 1, in milliseconds. */
  expectedMs?: number
  /** Standard deviation of the natural logarithm of service times. 0 makes all service times equal. */
  spread?: number
}

/** What the caller receives: a response, or a connection reset. */
export type InstanceReply = { kind: 'answer', answer: InstanceAnswer } | { kind: 'reset' }

/** Body of an instance's response. */
export interface InstanceAnswerBody {
  vm: string
  requestId: string
  /** SHA-256 of the request's body, hexadecimal. */
  digest: string
}

/** Interval at which a hanging request checks whether the fault is still on, in milliseconds. */
const HANG_POLL_MS = 10

/** In-memory service instance. Requests that find no free slot wait in order of arrival. */
export class InstanceModel {
  readonly faults: InstanceFaults = { fail: false, hang: false, slowness: 1, reset: false, lateMs: 0 }
  private readonly _timers: Timers
  private readonly _random: RandomSource
  private readonly _options: Required<Omit<InstanceModelOptions, 'timers' | 'random'>>
  private readonly _slotWaiters: Array<() => void> = []
  private readonly _runs: RequestRun[] = []
  private _running = 0
  private _crashed = false
  private _accepted = 0
  private _peakRunning = 0
  private _peakAccepted = 0

  constructor ({ timers, random, vm = 'instance', slots = 8, connections = 64, speed = 1, expectedMs = 20, spread = 0.3 }: InstanceModelOptions) {
    this._timers = timers
    this._random = random
    this._options = { vm, slots, connections, speed, expectedMs, spread }
  }

  /** Runs a request as soon as a slot is free, and resolves with the response. */
  async handle (req: InstanceRequest): Promise<InstanceReply> {
    if (this._accepted >= this._options.connections) return { kind: 'reset' }
    this._accepted++
    this._peakAccepted = Math.max(this._peakAccepted, this._accepted)
    const arrivedMs = this._timers.wallClock()
    await this._acquireSlot()
    const answer = await this._runRequest(req, arrivedMs)
    this._releaseSlot()
    if (this.faults.lateMs > 0) await delay(this._timers, this.faults.lateMs)
    this._accepted--
    return this.faults.reset || this._crashed ? { kind: 'reset' } : { kind: 'answer', answer }
  }

  /** Simulates the crash of the VM: running requests end now, and all callers get a connection reset. */
  crash (): void {
    this._crashed = true
    for (const run of this._runs) run.endMs ??= this._timers.wallClock()
  }

  /** Returns the number of running requests and of slots. */
  status (): { running: number, slots: number } {
    return { running: this._running, slots: this._options.slots }
  }

  /** Returns the record of all requests that have started. */
  record (): InstanceRecord {
    return {
      vm: this._options.vm,
      slots: this._options.slots,
      peakRunning: this._peakRunning,
      peakAccepted: this._peakAccepted,
      timesRun: countOccurrences(this._runs.map(run => run.requestId)),
      runs: this._runs
    }
  }

  private async _acquireSlot (): Promise<void> {
    if (this._running >= this._options.slots) return new Promise(resolve => { this._slotWaiters.push(resolve) })
    this._running++
  }

  /** Passes the slot to the request that has waited longest, or frees it when none waits. */
  private _releaseSlot (): void {
    const next = this._slotWaiters.shift()
    if (next) return next()
    this._running--
  }

  private async _runRequest ({ headers, body }: InstanceRequest, arrivedMs: number): Promise<InstanceAnswer> {
    const requestId = headers[HEADERS.requestId] ?? ''
    const digest = createHash('sha256').update(body).digest('hex')
    const run: RequestRun = { requestId, digest, arrivedMs, startMs: this._timers.wallClock() }
    this._runs.push(run)
    this._peakRunning = Math.max(this._peakRunning, this._running)
    await delay(this._timers, this._randomServiceMs())
    while (this.faults.hang) await delay(this._timers, HANG_POLL_MS)
    run.endMs = this._timers.wallClock()
    run.status = this.faults.fail ? 500 : 200
    const answer: InstanceAnswerBody = { vm: this._options.vm, requestId, digest }
    return {
      status: run.status,
      headers: { 'content-type': 'application/json', [HEADERS.requestId]: requestId },
      body: Buffer.from(JSON.stringify(answer))
    }
  }

  /** Draws a log-normal service time with mean `expectedMs`, by the Box-Muller transform, and applies speed and slowness. */
  private _randomServiceMs (): number {
    const { expectedMs, speed, spread } = this._options
    const normal = Math.sqrt(-2 * Math.log(1 - this._random.next())) * Math.cos(2 * Math.PI * this._random.next())
    return expectedMs * Math.exp(spread * normal - spread * spread / 2) * this.faults.slowness / speed
  }
}
