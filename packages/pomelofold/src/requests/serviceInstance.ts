/**
 * State that this process keeps of one service instance: its claim, occupied slots, service time and health.
 *
 * @module
 */

import type { RandomSource } from '../seams/randomSource.js'
import { VM_STATES, type VmRecord } from '../protocol/vms.js'
import { InstanceHealth } from './instanceHealth.js'
import { ServiceTimeEstimator } from './serviceTimeEstimator.js'

/** Number of slots of an instance whose record does not state it. */
const DEFAULT_SLOTS = 1
/** Increase in the cost of a fully occupied instance, as a share of its service time. Prefers the less occupied of equally fast ones. */
const LOAD_WEIGHT = 0.25

/** One send of a request to an instance, while its answer is awaited. */
export interface Attempt {
  readonly sentAtMs: number
}

/** Counts the occupied slots of an instance so that it never gets more requests than it can run. */
export class ServiceInstance {
  readonly name: string
  readonly address: string
  readonly health: InstanceHealth
  readonly serviceTime = new ServiceTimeEstimator()
  /** Number of requests that may run at the same time. */
  slots: number
  /** True when the instance gets no new requests. */
  leaving = false
  /** Epoch under which this process holds the claim. Undefined while it does not. */
  epoch: number | undefined
  /** Epoch under which this process last held the claim. */
  lastEpoch: number | undefined
  /** True until the requests of earlier claim holders have been counted. The instance is not used before. */
  countPending = true
  /** True while no new request is sent so that the unconfirmed slots can be counted. */
  quiescing = false
  private readonly _inFlight = new Set<Attempt>()
  /** Send times of the requests that may still run although no answer is awaited. Those of earlier claim holders have -Infinity. */
  private _unconfirmedSentAtMs: number[] = []

  constructor ({ record, random }: { record: VmRecord, random: RandomSource }) {
    this.name = record.name
    this.address = record.address
    this.slots = slotsOf(record)
    this.health = new InstanceHealth({ slots: this.slots, random })
  }

  /** Updates the state and the slots from the platform's VM list. */
  setRecord (record: VmRecord): void {
    this.leaving = record.state === VM_STATES.leaving
    const slots = slotsOf(record)
    if (slots === this.slots) return
    this.slots = slots
    this.health.setSlots(slots)
  }

  /** Number of requests whose answer is awaited. */
  get inFlight (): number {
    return this._inFlight.size
  }

  /** Slots counted as occupied by requests without an awaited answer, until the status of the instance shows them free. */
  get unconfirmedSlots (): number {
    return this._unconfirmedSentAtMs.length
  }

  /** True when no slot is counted as occupied. */
  get idle (): boolean {
    return this._inFlight.size === 0 && this._unconfirmedSentAtMs.length === 0
  }

  /** True when claim and state permit new requests, whether or not a slot is free. */
  usable (): boolean {
    return this.epoch !== undefined && !this.leaving && !this.countPending
  }

  /** Number of requests that may be sent now. */
  freeSlots (nowMs: number): number {
    if (!this.usable() || this.quiescing) return 0
    const openSlots = this.slots - this._inFlight.size - this._unconfirmedSentAtMs.length
    return Math.max(0, Math.min(openSlots, this.health.maxInFlight(nowMs) - this._inFlight.size))
  }

  /** Expected number of completed requests per millisecond when all usable slots are occupied. */
  capacityPerMs (nowMs: number, expectedMs: number): number {
    if (!this.usable()) return 0
    const usableSlots = Math.min(this.slots - this._unconfirmedSentAtMs.length, this.health.expectedMaxInFlight(nowMs))
    return Math.max(0, usableSlots) / this.serviceTime.expectedMs(expectedMs)
  }

  /**
   * Estimated time until a request sent now is answered successfully: the expected service time, increased by the present
   * load and by the share of recent failures. The pool picks the instance with the lowest cost.
   */
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

  /** Ends an attempt. With `mayStillRun`, its slot stays occupied until the status of the instance shows it free. */
  endAttempt (attempt: Attempt, mayStillRun: boolean): void {
    this._inFlight.delete(attempt)
    if (mayStillRun) this._unconfirmedSentAtMs.push(attempt.sentAtMs)
  }

  /** Number of requests in flight that were sent at `atMs` or before. */
  inFlightSentBy (atMs: number): number {
    let count = 0
    for (const attempt of this._inFlight) if (attempt.sentAtMs <= atMs) count++
    return count
  }

  /** Sets the number of requests that run for earlier claim holders. Those sent after `sentByMs` may not be included and stay counted. */
  setRunningCount (running: number, sentByMs: number): void {
    const newer = this._unconfirmedSentAtMs.filter(sentAtMs => sentAtMs > sentByMs)
    this._unconfirmedSentAtMs = [...new Array<number>(Math.max(0, running)).fill(-Infinity), ...newer]
    this.countPending = false
  }

  /** Lowers the number of unconfirmed slots of requests sent at `sentByMs` or before to at most `bound`. */
  limitUnconfirmed (bound: number, sentByMs: number): void {
    const older = this._unconfirmedSentAtMs.filter(sentAtMs => sentAtMs <= sentByMs)
    const newer = this._unconfirmedSentAtMs.filter(sentAtMs => sentAtMs > sentByMs)
    this._unconfirmedSentAtMs = [...older.slice(0, Math.max(0, bound)), ...newer]
  }
}

/** Slots of the instance, limited by the number of connections that it accepts. */
function slotsOf ({ slots, connections }: VmRecord): number {
  return Math.min(slots ?? DEFAULT_SLOTS, connections ?? Infinity)
}
