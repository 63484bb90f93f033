/**
 * A service instance as this process sees it: what it runs, how fast it is, how well it does.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'
import { VM_STATES, type VmRecord } from '../protocol/vms.js'
import { InstanceHealth } from './instanceHealth.js'
import { ServiceTimeEstimator } from './serviceTimeEstimator.js'

/** Slots of an instance whose record gives none. */
const DEFAULT_SLOTS = 1
/** By how much the load of an instance counts against it, as a share of its service time. */
const LOAD_WEIGHT = 0.25

/** A request sent to an instance whose answer is awaited. */
export interface Attempt {
  readonly sentAtMs: number
}

/** State of one service instance. */
export class ServiceInstance {
  readonly name: string
  readonly address: string
  readonly health: InstanceHealth
  readonly serviceTime = new ServiceTimeEstimator()
  /** Requests that may run at once. */
  slots: number
  /** True when it gets nothing new. */
  leaving = false
  /** Epoch under which the claim is held. Undefined while it is not. */
  epoch: number | undefined
  /** Epoch under which the claim was held last. */
  lastEpoch: number | undefined
  /** True while requests may run there that this process knows nothing of. */
  countPending = true
  /** True while no new request is sent so that the unknown ones can be counted. */
  quiescing = false
  private readonly _inFlight = new Set<Attempt>()
  /** Times at which the requests were sent that may still run though nobody waits for their answer. */
  private _unconfirmedSentAtMs: number[] = []

  constructor ({ record, random }: { record: VmRecord, random: RandomSource }) {
    this.name = record.name
    this.address = record.address
    this.slots = slotsOf(record)
    this.health = new InstanceHealth({ slots: this.slots, random })
  }

  /** Takes over what the platform's list says of the instance. */
  setRecord (record: VmRecord): void {
    this.leaving = record.state === VM_STATES.leaving
    const slots = slotsOf(record)
    if (slots === this.slots) return
    this.slots = slots
    this.health.setSlots(slots)
  }

  /** Requests whose answer is awaited. */
  get inFlight (): number {
    return this._inFlight.size
  }

  /** Slots that count as occupied by requests whose answer nobody awaits. */
  get unconfirmedSlots (): number {
    return this._unconfirmedSentAtMs.length
  }

  /** True when nothing runs there as far as is known. */
  get idle (): boolean {
    return this._inFlight.size === 0 && this._unconfirmedSentAtMs.length === 0
  }

  /** True when the instance may get new requests as far as its state goes. */
  usable (): boolean {
    return this.epoch !== undefined && !this.leaving && !this.countPending
  }

  /** Requests that may be sent now. */
  freeSlots (nowMs: number): number {
    if (!this.usable() || this.quiescing) return 0
    const openSlots = this.slots - this._inFlight.size - this._unconfirmedSentAtMs.length
    return Math.max(0, Math.min(openSlots, this.health.maxInFlight(nowMs) - this._inFlight.size))
  }

  /** Expected requests per millisecond when fully used. */
  capacityPerMs (nowMs: number, expectedMs: number): number {
    if (!this.usable()) return 0
    const usableSlots = Math.min(this.slots - this._unconfirmedSentAtMs.length, this.health.expectedMaxInFlight(nowMs))
    return Math.max(0, usableSlots) / this.serviceTime.expectedMs(expectedMs)
  }

  /** Expected time until a request sent now is answered well. Lower is better. */
  costMs (expectedMs: number): number {
    const usedShare = (this._inFlight.size + this._unconfirmedSentAtMs.length) / this.slots
    const success = 1 - this.health.failureShare()
    return this.serviceTime.expectedMs(expectedMs) * (1 + LOAD_WEIGHT * usedShare) / (success * success)
  }

  beginAttempt (nowMs: number): Attempt {
    const attempt = { sentAtMs: nowMs }
    this._inFlight.add(attempt)
    return attempt
  }

  /** The attempt has ended. With `mayRun`, its slot stays counted until the instance's status shows it free. */
  endAttempt (attempt: Attempt, mayStillRun: boolean): void {
    this._inFlight.delete(attempt)
    if (mayStillRun) this._unconfirmedSentAtMs.push(attempt.sentAtMs)
  }

  /** Requests in flight that were sent by `atMs`. */
  inFlightSentBy (atMs: number): number {
    let count = 0
    for (const attempt of this._inFlight) if (attempt.sentAtMs <= atMs) count++
    return count
  }

  /** Takes over the number of requests found running after the claim was taken. Requests sent after `sentByMs` count besides. */
  setRunningCount (running: number, sentByMs: number): void {
    const newer = this._unconfirmedSentAtMs.filter(sentAtMs => sentAtMs > sentByMs)
    this._unconfirmedSentAtMs = [...new Array<number>(Math.max(0, running)).fill(-Infinity), ...newer]
    this.countPending = false
  }

  /** Lowers the number of unknown requests that were sent by `sentByMs` to at most `bound`. */
  limitUnconfirmed (bound: number, sentByMs: number): void {
    const older = this._unconfirmedSentAtMs.filter(sentAtMs => sentAtMs <= sentByMs)
    const newer = this._unconfirmedSentAtMs.filter(sentAtMs => sentAtMs > sentByMs)
    this._unconfirmedSentAtMs = [...older.slice(0, Math.max(0, bound)), ...newer]
  }
}

function slotsOf ({ slots, connections }: VmRecord): number {
  return Math.min(slots ?? DEFAULT_SLOTS, connections ?? Infinity)
}
