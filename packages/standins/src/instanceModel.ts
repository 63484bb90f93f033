/**
 * Model of a service instance: slots, a queue, service times and faults.
 *
 * @module
 */

import { createHash } from 'node:crypto'
import { HEADERS } from 'pomelofold/protocol/requests'
import type { RandomSource } from 'pomelofold/seams/randomSource'
import { delay, type Timers } from 'pomelofold/seams/timers'
import type { InstanceAnswer, InstanceRequest } from 'pomelofold/seams/upstreamClient'
import { countOccurrences, type InstanceRecord, type RequestRun } from './runRecords.js'

/** Faults of an instance. Each may be changed at any moment. */
export interface InstanceFaults {
  /** Every request runs and is answered with status 500. */
  fail: boolean
  /** Requests neither end nor give their slots back until this is switched off. */
  hang: boolean
  /** Factor on service times. */
  slowness: number
  /** The connection is reset after the work ran. */
  reset: boolean
  /** Answers leave this long after the work ended, in milliseconds. */
  lateMs: number
}

/** Options of an {@link InstanceModel}. */
export interface InstanceModelOptions {
  timers: Timers
  random: RandomSource
  vm?: string
  /** Requests run at once. */
  slots?: number
  /** Requests accepted at once; further ones are cut off unrun. */
  connections?: number
  /** Work done in a millisecond, relative to an ordinary VM. */
  speed?: number
  /** Mean service time at speed 1, in milliseconds. */
  expectedMs?: number
  /** Standard deviation of the logarithm of service times. 0 makes them all equal. */
  spread?: number
}

/** What the caller gets: an answer, or a connection cut off. */
export type InstanceReply = { kind: 'answer', answer: InstanceAnswer } | { kind: 'reset' }

/** Body of an instance's answer. */
export interface InstanceAnswerBody {
  vm: string
  requestId: string
  digest: string
}

/** Delay between looks at whether a hanging request may end, in milliseconds. */
const HANG_POLL_MS = 10

/** A service instance. */
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

  /** Runs a request when a slot is free. */
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

  /** The VM is lost: what runs ends now, and nobody is answered. */
  crash (): void {
    this._crashed = true
    for (const run of this._runs) run.endMs ??= this._timers.wallClock()
  }

  /** Requests that run now, and slots. */
  status (): { running: number, slots: number } {
    return { running: this._running, slots: this._options.slots }
  }

  /** What ran so far. */
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

  /** Hands the slot to the request that has waited longest. */
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

  /** Log-normal service time with mean `expectedMs`, by the Box-Muller transform. */
  private _randomServiceMs (): number {
    const { expectedMs, speed, spread } = this._options
    const normal = Math.sqrt(-2 * Math.log(1 - this._random.next())) * Math.cos(2 * Math.PI * this._random.next())
    return expectedMs * Math.exp(spread * normal - spread * spread / 2) * this.faults.slowness / speed
  }
}
