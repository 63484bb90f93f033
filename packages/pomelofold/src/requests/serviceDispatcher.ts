/**
 * Sends the waiting requests of one service to the instances whose claims this process holds.
 *
 * @module
 */

import Result from 'true-myth/result'
import type { Authority } from '../seams/authority.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers, TimerSubscription } from '../seams/timers.js'
import type { InstanceAnswer, InstanceRequest, UpstreamClient } from '../seams/upstreamClient.js'
import { OUTCOMES, type RequestClass, type ServiceAnswer, type ServiceLoad } from '../protocol/requests.js'
import type { VmRecord } from '../protocol/vms.js'
import { CallError, EFFECTS, errorText } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import { notRun, unknownOutcome } from './answers.js'
import { InstancePool } from './instancePool.js'
import type { QueuedRequest, ServiceSpec } from './queuedRequest.js'
import type { RequestFigures } from './requestFigures.js'
import { CLASS_ORDER, RequestQueue } from './requestQueue.js'
import { RetryBudget } from './retryBudget.js'
import type { Attempt, ServiceInstance } from './serviceInstance.js'
import { ServiceTime } from './serviceTime.js'
import { WaitEstimator, type CapacityView } from './waitEstimator.js'

/** Method and path of requests to service instances. */
const INSTANCE_METHOD = 'POST'
const INSTANCE_PATH = '/'
/** Least status of an answer that counts as a failure of its instance. */
const SERVER_ERROR_STATUS = 500

/** Share of the time that a request may wait which is kept for its run time to spread. */
const SPREAD_SHARE = 0.5

/** Options of a {@link ServiceDispatcher}. */
export interface ServiceDispatcherOptions {
  spec: ServiceSpec
  failureDomain: string
  maxQueued: number
  urgentReserve: number
  timers: Timers
  random: RandomSource
  authority: Authority
  upstream: UpstreamClient
  log: EventLog
  figures: RequestFigures
}

/** Queue and instances of one service. */
export class ServiceDispatcher {
  private _spec: ServiceSpec
  private readonly _options: ServiceDispatcherOptions
  private readonly _timers: Timers
  private readonly _queue = new RequestQueue()
  private readonly _pool: InstancePool
  private readonly _budget = new RetryBudget()
  private readonly _serviceTime = new ServiceTime()
  private readonly _estimator: WaitEstimator
  private _wake: TimerSubscription | undefined
  private _wakeAtMs = Infinity
  private _dispatching = false

  constructor (options: ServiceDispatcherOptions) {
    this._options = options
    this._spec = options.spec
    this._timers = options.timers
    this._pool = new InstancePool({ ...options, onChange: () => this.dispatch() })
    this._estimator = new WaitEstimator({ queue: this._queue, urgentReserve: options.urgentReserve })
  }

  setSpec (spec: ServiceSpec): void {
    this._spec = spec
  }

  /** Sets the service's instances of the failure domain. */
  setInstances (records: VmRecord[]): void {
    this._pool.setInstances(records)
    this.dispatch()
  }

  /** Compares the held claims with those under which instances are used. */
  refreshClaims (): void {
    this._pool.refreshClaims()
    this.dispatch()
  }

  /** Takes a request, or answers it at once when it cannot start in time. */
  accept (entry: QueuedRequest): void {
    const nowMs = this._timers.now()
    this._budget.earn()
    this._estimator.arrived(entry.class, nowMs)
    entry.startByMs = this._startBy(entry)
    this._capacity(nowMs)
    const waitMs = this._estimator.waitMs(entry, nowMs)
    if (nowMs + waitMs > entry.startByMs) return this._refuse(entry, waitMs, this._waitDetail(waitMs))
    if (!this._makeRoom(entry.class)) return this._refuse(entry, waitMs, 'the queue is full')
    this._queue.push(entry)
    this.dispatch()
  }

  /** Answers all waiting requests. */
  refuseWaiting (detail: string): void {
    for (const entry of this._queue.clear()) this._giveUp(entry, detail)
  }

  /** Whether this process holds the claim of an instance that takes requests. */
  serves (): boolean {
    return this._pool.serves()
  }

  load (): ServiceLoad {
    const nowMs = this._timers.now()
    const { free, perMs } = this._capacity(nowMs)
    const deadlineMs = this._spec.defaultDeadlineMs
    const expectedWaitMs: Record<string, number> = {}
    for (const cls of CLASS_ORDER) {
      expectedWaitMs[cls] = this._estimator.waitMs({ class: cls, team: '', startByMs: nowMs + deadlineMs }, nowMs)
    }
    return { expectedWaitMs, freeSlots: free, startsPerMs: perMs }
  }

  /** Expected time until a request would be sent, in milliseconds. */
  expectedWaitMs (cls: RequestClass, team: string, deadlineMs: number): number {
    const nowMs = this._timers.now()
    this._capacity(nowMs)
    return this._estimator.waitMs({ class: cls, team, startByMs: nowMs + deadlineMs - this._expectedMs() }, nowMs)
  }

  /** Number of instances whose claims this process holds. */
  heldInstances (): number {
    return this._pool.held()
  }

  /** Sends what can be sent and answers what cannot start any more. */
  dispatch (): void {
    if (this._dispatching) return
    this._dispatching = true
    try {
      const nowMs = this._timers.now()
      this._answerExpired(nowMs)
      this._sendWaiting(nowMs)
      this._armWake(nowMs)
    } finally {
      this._dispatching = false
    }
  }

  private _sendWaiting (nowMs: number): void {
    const aside: QueuedRequest[] = []
    if (this._queue.size === 0) return
    const expectedMs = this._expectedMs()
    let { free } = this._capacity(nowMs)
    const reserve = this._estimator.reserve(nowMs)
    for (; free > 0; free--) {
      const entry = free > reserve ? this._queue.take() : this._queue.takeUrgent()
      if (!entry) break
      const instance = this._pool.pick(nowMs, expectedMs)
      if (!instance) {
        aside.push(entry)
        break
      }
      const target = entry.failedAt?.has(instance.name) ? this._pool.pick(nowMs, expectedMs, entry.failedAt) : instance
      if (target) this._send(entry, target, nowMs)
      else aside.push(entry)
    }
    for (const entry of aside) this._queue.push(entry)
  }

  private _send (entry: QueuedRequest, instance: ServiceInstance, nowMs: number): void {
    const attempt = instance.begin(nowMs)
    entry.attempts++
    if (entry.attempts === 1) this._options.figures.started(entry, nowMs - entry.arrivedMs)
    const { headers, body } = entry.req
    const timeoutMs = Math.max(1, entry.deadlineAtMs - nowMs)
    const waitedMs = nowMs - entry.arrivedMs
    this._request(instance.address, { method: INSTANCE_METHOD, path: INSTANCE_PATH, headers, body }, timeoutMs).then(result => {
      if (result.isOk) this._answered(entry, instance, attempt, result.value, waitedMs)
      else this._failed(entry, instance, attempt, result.error, waitedMs)
      this._pool.slotChanged(instance)
      this.dispatch()
    })
  }

  /** Sends a request. A client that throws may have sent it. */
  private async _request (address: string, req: InstanceRequest, timeoutMs: number): Promise<Result<InstanceAnswer, CallError>> {
    try {
      return await this._options.upstream.request(address, req, timeoutMs)
    } catch (err) {
      return Result.err(new CallError(errorText(err), { step: 'instance.request', peer: address, effect: EFFECTS.unknown, cause: err }))
    }
  }

  private _answered (entry: QueuedRequest, instance: ServiceInstance, attempt: Attempt, answer: InstanceAnswer, waitedMs: number): void {
    const nowMs = this._timers.now()
    const elapsedMs = nowMs - attempt.sentAtMs
    instance.end(attempt, false)
    if (answer.status >= SERVER_ERROR_STATUS) {
      instance.health.failed(nowMs, this._pool.mayPause(nowMs))
    } else {
      instance.health.succeeded()
      instance.serviceTime.add(elapsedMs)
      this._serviceTime.add(elapsedMs)
    }
    this._finish(entry, { outcome: OUTCOMES.ran, ...answer, waitedMs })
  }

  private _failed (entry: QueuedRequest, instance: ServiceInstance, attempt: Attempt, err: CallError, waitedMs: number): void {
    const nowMs = this._timers.now()
    const mayRun = err.effect !== EFFECTS.none
    instance.end(attempt, mayRun)
    if (mayRun) {
      entry.mayHaveRun = true
      instance.health.failed(nowMs, this._pool.mayPause(nowMs))
      this._learnAtLeast(instance, nowMs - attempt.sentAtMs)
    } else {
      instance.health.pause(nowMs)
    }
    const { requestId } = entry.req
    this._options.log.event('warn', 'request.failed', { requestId, step: err.step, peer: err.peer, effect: err.effect, attempt: entry.attempts })
    if (this._retry(entry, instance, nowMs)) return
    const details = { step: err.step, peer: err.peer, detail: err.message, requestId, waitedMs }
    if (entry.mayHaveRun) this._finish(entry, unknownOutcome(details))
    else this._finish(entry, notRun({ ...details, retryAfterMs: this._retryAfterMs(entry, 0) }, 'unavailable'))
  }

  /** Learns from a request that was not answered: it takes at least as long as was waited for it. */
  private _learnAtLeast (instance: ServiceInstance, elapsedMs: number): void {
    const expectedMs = this._expectedMs()
    instance.serviceTime.addAtLeast(elapsedMs, expectedMs)
    this._serviceTime.addAtLeast(elapsedMs, expectedMs)
  }

  /** Puts the request back into the queue when it may be sent again. */
  private _retry (entry: QueuedRequest, instance: ServiceInstance, nowMs: number): boolean {
    if (entry.mayHaveRun && (entry.req.atMostOnce || !this._spec.idempotent)) return false
    entry.failedAt = (entry.failedAt ?? new Set()).add(instance.name)
    entry.startByMs = this._startBy(entry)
    if (entry.startByMs < nowMs || !this._pool.serves(entry.failedAt)) return false
    if (!this._budget.spend()) return false
    this._options.figures.retried()
    this._queue.push(entry)
    return true
  }

  private _answerExpired (nowMs: number): void {
    if (this._queue.earliestStartBy() >= nowMs) return
    for (let entry = this._queue.takeExpired(nowMs); entry; entry = this._queue.takeExpired(nowMs)) {
      this._giveUp(entry, 'the request could not start before its deadline')
    }
  }

  /** Whether the queue has room for a request of the class, if need be by giving up one of a lower class. */
  private _makeRoom (cls: RequestClass): boolean {
    if (this._queue.size < this._options.maxQueued) return true
    const evicted = this._queue.evictBelow(cls)
    if (evicted) this._giveUp(evicted, `the queue is full and a request of class ${cls} goes first`)
    return evicted !== undefined
  }

  /** Answers a request that leaves the queue without being sent. */
  private _giveUp (entry: QueuedRequest, detail: string): void {
    const { requestId, service } = entry.req
    const details = { step: 'request.queue', peer: service, detail, requestId, waitedMs: this._timers.now() - entry.arrivedMs }
    if (entry.mayHaveRun) return this._finish(entry, unknownOutcome(details))
    this._finish(entry, notRun({ ...details, retryAfterMs: this._retryAfterMs(entry, 0) }))
  }

  private _waitDetail (waitMs: number): string {
    if (!this.serves()) return 'no service instance takes requests here'
    return `the request would wait ${Math.ceil(waitMs)} ms, beyond its deadline`
  }

  private _refuse (entry: QueuedRequest, waitMs: number, detail: string): void {
    const { requestId, service } = entry.req
    this._finish(entry, notRun({ step: 'request.admit', peer: service, detail, requestId, retryAfterMs: this._retryAfterMs(entry, waitMs) }))
  }

  private _finish (entry: QueuedRequest, answer: ServiceAnswer): void {
    this._options.figures.ended(entry, answer.outcome)
    entry.answer(answer)
  }

  /** Time after which a request like this one is expected to start before its deadline. */
  private _retryAfterMs (entry: QueuedRequest, waitMs: number): number {
    const nowMs = this._timers.now()
    this._capacity(nowMs)
    const wait = waitMs || this._estimator.waitMs(entry, nowMs)
    return this._estimator.retryAfterMs(wait - (entry.deadlineAtMs - entry.arrivedMs - this._expectedMs()), this._options.random)
  }

  /** Latest start that leaves the expected run time and, where the deadline has room for it, its spread. */
  private _startBy ({ deadlineAtMs, arrivedMs }: QueuedRequest): number {
    const expectedMs = this._expectedMs()
    const slackMs = Math.max(0, deadlineAtMs - arrivedMs - expectedMs)
    return deadlineAtMs - expectedMs - Math.min(this._serviceTime.spreadMs(), slackMs * SPREAD_SHARE)
  }

  private _expectedMs (): number {
    return this._serviceTime.expectedMs(this._spec.expectedMs)
  }

  private _capacity (nowMs: number): CapacityView {
    const capacity = this._pool.capacity(nowMs, this._expectedMs())
    this._estimator.setCapacity(capacity)
    return capacity
  }

  /** Wakes up when the first waiting request expires or a paused instance may be probed. */
  private _armWake (nowMs: number): void {
    if (this._queue.size === 0) return
    const atMs = Math.min(this._queue.earliestStartBy(), this._pool.nextResumeMs(nowMs))
    if (atMs >= this._wakeAtMs) return
    this._wake?.cancel()
    this._wakeAtMs = atMs
    this._wake = this._timers.after(Math.max(1, Math.ceil(atMs - nowMs + 1)), () => {
      this._wakeAtMs = Infinity
      this.dispatch()
    })
  }
}
