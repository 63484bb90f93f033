/**
 * Queues the requests of one service and sends them to the instances whose claims this process holds.
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
import { CallError, CallTimeoutError, EFFECTS, errorText } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import { notRunAnswer, unknownOutcomeAnswer } from './failureAnswers.js'
import { InstancePool } from './instancePool.js'
import type { QueuedRequest, ServiceSpec } from './queuedRequest.js'
import type { RequestFigures } from './requestFigures.js'
import { CLASSES_BY_URGENCY, RequestQueue } from './requestQueue.js'
import { RetryBudget } from './retryBudget.js'
import type { Attempt, ServiceInstance } from './serviceInstance.js'
import { ServiceTimeEstimator } from './serviceTimeEstimator.js'
import { WaitEstimator, type ServiceCapacity } from './waitEstimator.js'

// Requests to service instances use one method and path.
const INSTANCE_METHOD = 'POST'
const INSTANCE_PATH = '/'
/** An answer with this status or a higher one counts as a failure of its instance. */
const SERVER_ERROR_STATUS = 500

/** Number of instances that may break a request off before it is answered in place of a retry: it may have crashed them. */
const MAX_BROKEN_ATTEMPTS = 2
/** Largest share of the time between expected run time and deadline that is set aside for slower answers. */
const MAX_SPREAD_SHARE = 0.5

/** Options of a {@link ServiceDispatcher}. */
export interface ServiceDispatcherOptions {
  spec: ServiceSpec
  failureDomain: string
  maxQueued: number
  maxUrgentReserveShare: number
  timers: Timers
  random: RandomSource
  authority: Authority
  upstream: UpstreamClient
  log: EventLog
  figures: RequestFigures
}

/** Admits a request only if it is expected to start in time, sends it when a slot is free, and retries where that is safe. */
export class ServiceDispatcher {
  private _spec: ServiceSpec
  private readonly _options: ServiceDispatcherOptions
  private readonly _timers: Timers
  private readonly _queue = new RequestQueue()
  private readonly _pool: InstancePool
  private readonly _retryBudget = new RetryBudget()
  private readonly _serviceTime = new ServiceTimeEstimator()
  private readonly _estimator: WaitEstimator
  /** Calls {@link dispatch} when time alone changes what can be done. */
  private _dispatchTimer: TimerSubscription | undefined
  private _dispatchAtMs = Infinity
  private _dispatching = false

  constructor (options: ServiceDispatcherOptions) {
    this._options = options
    this._spec = options.spec
    this._timers = options.timers
    this._pool = new InstancePool({ ...options, onChange: () => this.dispatch() })
    this._estimator = new WaitEstimator({ queue: this._queue, maxUrgentReserveShare: options.maxUrgentReserveShare })
  }

  setSpec (spec: ServiceSpec): void {
    this._spec = spec
  }

  /** Sets the instances of the service in the failure domain. */
  setInstances (records: VmRecord[]): void {
    this._pool.setInstances(records)
    this.dispatch()
  }

  /** To be called when the held claims may have changed. */
  refreshClaims (): void {
    this._pool.refreshClaims()
    this.dispatch()
  }

  /** Queues a request, or refuses it at once when it is not expected to start in time or the queue is full. */
  accept (entry: QueuedRequest): void {
    const nowMs = this._timers.now()
    this._retryBudget.earn()
    this._estimator.countArrival(entry.class, nowMs)
    entry.latestStartMs = this._latestStartMs(entry)
    this._updateCapacity(nowMs)
    const waitMs = this._estimator.waitMs(entry, nowMs)
    if (nowMs + waitMs > entry.latestStartMs) return this._refuse(entry, waitMs, this._waitDetail(waitMs))
    if (!this._makeRoom(entry.class)) return this._refuse(entry, waitMs, 'the queue is full')
    this._queue.push(entry)
    this.dispatch()
  }

  /** Answers all waiting requests with the given reason. */
  refuseWaiting (detail: string): void {
    for (const entry of this._queue.takeAll()) this._answerWaiting(entry, detail)
  }

  /** Whether this process holds the claim on an instance that takes new requests. */
  serves (): boolean {
    return this._pool.hasUsableInstance()
  }

  /** Load for peers: the waiting time that a new request of each class with the default deadline would have. */
  load (): ServiceLoad {
    const nowMs = this._timers.now()
    const { freeSlots, startsPerMs } = this._updateCapacity(nowMs)
    const deadlineMs = this._spec.defaultDeadlineMs
    const expectedWaitMs: Record<string, number> = {}
    for (const cls of CLASSES_BY_URGENCY) {
      expectedWaitMs[cls] = this._estimator.waitMs({ class: cls, team: '', latestStartMs: nowMs + deadlineMs }, nowMs)
    }
    return { expectedWaitMs, freeSlots, startsPerMs }
  }

  /** Expected time until a new request would be sent, in milliseconds. */
  expectedWaitMs (cls: RequestClass, team: string, deadlineMs: number): number {
    const nowMs = this._timers.now()
    this._updateCapacity(nowMs)
    return this._estimator.waitMs({ class: cls, team, latestStartMs: nowMs + deadlineMs - this._expectedMs() }, nowMs)
  }

  /** Number of instances whose claims this process holds. */
  heldInstances (): number {
    return this._pool.heldInstances()
  }

  /** Answers the requests that can no longer start in time and sends as many of the others as there are free slots. */
  dispatch (): void {
    if (this._dispatching) return
    this._dispatching = true
    try {
      const nowMs = this._timers.now()
      this._answerExpired(nowMs)
      this._sendWaiting(nowMs)
      this._armDispatchTimer(nowMs)
    } finally {
      this._dispatching = false
    }
  }

  /** Sends waiting requests to free slots. The last ones are reserved for urgent requests. */
  private _sendWaiting (nowMs: number): void {
    const skipped: QueuedRequest[] = []
    if (this._queue.size === 0) return
    const expectedMs = this._expectedMs()
    let { freeSlots } = this._updateCapacity(nowMs)
    const reservedSlots = this._estimator.reservedSlots(nowMs)
    for (; freeSlots > 0; freeSlots--) {
      const entry = freeSlots > reservedSlots ? this._queue.take() : this._queue.takeUrgent()
      if (!entry) break
      const instance = this._pool.pick(nowMs, expectedMs)
      if (!instance) {
        skipped.push(entry)
        break
      }
      const target = entry.failedInstances?.has(instance.name) ? this._pool.pick(nowMs, expectedMs, entry.failedInstances) : instance
      if (target) this._send(entry, target, nowMs)
      else skipped.push(entry)
    }
    for (const entry of skipped) this._queue.push(entry)
  }

  private _send (entry: QueuedRequest, instance: ServiceInstance, nowMs: number): void {
    const attempt = instance.beginAttempt(nowMs)
    entry.attempts++
    if (entry.attempts === 1) this._options.figures.countFirstSend(entry, nowMs - entry.arrivedMs)
    const { headers, body } = entry.req
    const timeoutMs = Math.max(1, entry.deadlineAtMs - nowMs)
    const waitedMs = nowMs - entry.arrivedMs
    this._request(instance.address, { method: INSTANCE_METHOD, path: INSTANCE_PATH, headers, body }, timeoutMs).then(result => {
      if (result.isOk) this._onAnswer(entry, instance, attempt, result.value, waitedMs)
      else this._onFailure(entry, instance, attempt, result.error, waitedMs)
      this._pool.onRequestEnded(instance)
      this.dispatch()
    })
  }

  /** Sends a request. If the client throws, the request may have been sent. */
  private async _request (address: string, req: InstanceRequest, timeoutMs: number): Promise<Result<InstanceAnswer, CallError>> {
    try {
      return await this._options.upstream.request(address, req, timeoutMs)
    } catch (err) {
      return Result.err(new CallError(errorText(err), { step: 'instance.request', peer: address, effect: EFFECTS.unknown, cause: err }))
    }
  }

  /** Records an answer, whatever its status, and passes it on as the final one. */
  private _onAnswer (entry: QueuedRequest, instance: ServiceInstance, attempt: Attempt, answer: InstanceAnswer, waitedMs: number): void {
    const nowMs = this._timers.now()
    const elapsedMs = nowMs - attempt.sentAtMs
    instance.endAttempt(attempt, false)
    if (answer.status >= SERVER_ERROR_STATUS) {
      instance.health.recordFailure(nowMs, this._pool.mayPause(nowMs))
    } else {
      instance.health.recordSuccess()
      instance.serviceTime.add(elapsedMs)
      this._serviceTime.add(elapsedMs)
    }
    this._finish(entry, { outcome: OUTCOMES.ran, ...answer, waitedMs })
  }

  /** Retries a request whose attempt failed, or answers it. */
  private _onFailure (entry: QueuedRequest, instance: ServiceInstance, attempt: Attempt, err: CallError, waitedMs: number): void {
    const nowMs = this._timers.now()
    const mayStillRun = err.effect !== EFFECTS.none
    instance.endAttempt(attempt, mayStillRun)
    if (mayStillRun) {
      entry.mayHaveRun = true
      if (!(err instanceof CallTimeoutError)) entry.brokenAttempts++
      instance.health.recordFailure(nowMs, this._pool.mayPause(nowMs))
      this._addLowerBound(instance, nowMs - attempt.sentAtMs)
    } else {
      instance.health.pause(nowMs)
    }
    const { requestId } = entry.req
    const { attempts, brokenAttempts } = entry
    this._options.log.event(
      'warn', 'request.failed', { requestId, step: err.step, peer: err.peer, effect: err.effect, attempt: attempts, brokenAttempts }
    )
    if (this._retry(entry, instance, nowMs)) return
    const detail = brokenAttempts < MAX_BROKEN_ATTEMPTS
      ? err.message
      : `${brokenAttempts} instances broke the connection off while they ran the request; last: ${err.message}`
    const details = { step: err.step, peer: err.peer, detail, requestId, waitedMs }
    if (entry.mayHaveRun) this._finish(entry, unknownOutcomeAnswer(details))
    else this._finish(entry, notRunAnswer({ ...details, retryAfterMs: this._retryAfterMs(entry, 0) }, 'unavailable'))
  }

  /** Adds a request that was not answered to the service times: its run time is at least the time waited for it. */
  private _addLowerBound (instance: ServiceInstance, elapsedMs: number): void {
    const expectedMs = this._expectedMs()
    instance.serviceTime.addLowerBound(elapsedMs, expectedMs)
    this._serviceTime.addLowerBound(elapsedMs, expectedMs)
  }

  /** Returns the request to the queue if it may be sent again and another instance can run it in time. Else returns false. */
  private _retry (entry: QueuedRequest, instance: ServiceInstance, nowMs: number): boolean {
    if (entry.mayHaveRun && (entry.req.atMostOnce || !this._spec.idempotent)) return false
    if (entry.brokenAttempts >= MAX_BROKEN_ATTEMPTS) return false
    entry.failedInstances = (entry.failedInstances ?? new Set()).add(instance.name)
    entry.latestStartMs = this._latestStartMs(entry)
    if (entry.latestStartMs < nowMs || !this._pool.hasUsableInstance(entry.failedInstances)) return false
    if (!this._retryBudget.spend()) return false
    this._options.figures.countRetry()
    this._queue.push(entry)
    return true
  }

  /** Answers the waiting requests whose latest start has passed. */
  private _answerExpired (nowMs: number): void {
    if (this._queue.nextExpiryMs() >= nowMs) return
    for (let entry = this._queue.takeExpired(nowMs); entry; entry = this._queue.takeExpired(nowMs)) {
      this._answerWaiting(entry, 'no slot became free in time to complete the request before its deadline')
    }
  }

  /** Makes room for a request of class `cls`, by evicting a less urgent one if the queue is full. False when there is none to evict. */
  private _makeRoom (cls: RequestClass): boolean {
    if (this._queue.size < this._options.maxQueued) return true
    const evicted = this._queue.evictBelow(cls)
    if (evicted) this._answerWaiting(evicted, `evicted from the full queue by a request of class ${cls}`)
    return evicted !== undefined
  }

  /** Answers a request that leaves the queue without being sent again. Its outcome is unknown if an earlier attempt may have run. */
  private _answerWaiting (entry: QueuedRequest, detail: string): void {
    const { requestId, service } = entry.req
    const details = { step: 'request.queue', peer: service, detail, requestId, waitedMs: this._timers.now() - entry.arrivedMs }
    if (entry.mayHaveRun) return this._finish(entry, unknownOutcomeAnswer(details))
    this._finish(entry, notRunAnswer({ ...details, retryAfterMs: this._retryAfterMs(entry, 0) }))
  }

  /** Reason for refusing a request that would wait for `waitMs`. */
  private _waitDetail (waitMs: number): string {
    if (!this.serves()) return 'this entry VM has no usable instance of the service'
    return `the expected wait of ${Math.ceil(waitMs)} ms is too long for the deadline`
  }

  /** Answers a request that is not admitted to the queue. */
  private _refuse (entry: QueuedRequest, waitMs: number, detail: string): void {
    const { requestId, service } = entry.req
    this._finish(entry, notRunAnswer({ step: 'request.admit', peer: service, detail, requestId, retryAfterMs: this._retryAfterMs(entry, waitMs) }))
  }

  private _finish (entry: QueuedRequest, answer: ServiceAnswer): void {
    this._options.figures.countAnswer(entry, answer.outcome)
    entry.answer(answer)
  }

  /** Time after which a request with the same deadline is expected to start in time. */
  private _retryAfterMs (entry: QueuedRequest, waitMs: number): number {
    const nowMs = this._timers.now()
    this._updateCapacity(nowMs)
    const wait = waitMs || this._estimator.waitMs(entry, nowMs)
    return this._estimator.retryAfterMs(wait - (entry.deadlineAtMs - entry.arrivedMs - this._expectedMs()), this._options.random)
  }

  /** Latest start that leaves time for the expected run time and, as far as the deadline permits, for slower answers. */
  private _latestStartMs ({ deadlineAtMs, arrivedMs }: QueuedRequest): number {
    const expectedMs = this._expectedMs()
    const slackMs = Math.max(0, deadlineAtMs - arrivedMs - expectedMs)
    return deadlineAtMs - expectedMs - Math.min(this._serviceTime.spreadMs(), slackMs * MAX_SPREAD_SHARE)
  }

  private _expectedMs (): number {
    return this._serviceTime.expectedMs(this._spec.expectedMs)
  }

  /** Reads the capacity of the instances and passes it to the estimator, which must be done before each estimate. */
  private _updateCapacity (nowMs: number): ServiceCapacity {
    const capacity = this._pool.capacity(nowMs, this._expectedMs())
    this._estimator.setCapacity(capacity)
    return capacity
  }

  /** Sets the timer for the next expiry of a waiting request or the end of an instance's pause, whichever is earlier. */
  private _armDispatchTimer (nowMs: number): void {
    if (this._queue.size === 0) return
    const atMs = Math.min(this._queue.nextExpiryMs(), this._pool.nextResumeMs(nowMs))
    if (atMs >= this._dispatchAtMs) return
    this._dispatchTimer?.cancel()
    this._dispatchAtMs = atMs
    this._dispatchTimer = this._timers.after(Math.max(1, Math.ceil(atMs - nowMs + 1)), () => {
      this._dispatchAtMs = Infinity
      this.dispatch()
    })
  }
}
