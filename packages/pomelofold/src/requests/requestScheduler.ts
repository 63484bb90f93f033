/**
 * Admits requests, and runs them on the service instances whose claims this process holds.
 *
 * @module
 */

import type { Authority, Subscription } from '../seams/authority.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers } from '../seams/timers.js'
import type { UpstreamClient } from '../seams/upstreamClient.js'
import type { Manifest } from '../protocol/manifest.js'
import { OUTCOMES, type ServiceAnswer, type ServiceLoad, type ServiceRequest } from '../protocol/requests.js'
import { VM_KINDS, type VmRecord } from '../protocol/vms.js'
import { SILENT_LOG, type EventLog } from '../utils/eventLog.js'
import { ManualPromise } from '../utils/manualPromise.js'
import { notRunAnswer, type FailureDetails } from './failureAnswers.js'
import { NO_TEAM, type QueuedRequest, type ServiceSpec } from './queuedRequest.js'
import { RequestFigures, type SchedulerFigures } from './requestFigures.js'
import { ServiceDispatcher } from './serviceDispatcher.js'
import { TeamLimits } from './teamLimits.js'
import { DEFAULT_MAX_URGENT_RESERVE_SHARE } from './urgentReserve.js'
import type { ProblemKind } from '../protocol/problem.js'

/** Default for the number of requests of one service that may wait. */
const DEFAULT_MAX_QUEUED = 10_000
/** Retry delay for callers while the process shuts down. */
const SHUTDOWN_RETRY_AFTER_MS = 100
/** Retry delay for callers whose team has reached its limit. */
const TEAM_LIMIT_RETRY_AFTER_MS = 1_000

/** Options of a {@link RequestScheduler}. */
export interface RequestSchedulerOptions {
  failureDomain: string
  timers: Timers
  random: RandomSource
  authority: Authority
  upstream: UpstreamClient
  log?: EventLog
  /** Largest number of requests of one service that may wait. */
  maxQueued?: number
  /** Largest share of the slots that is kept free for urgent requests. */
  maxUrgentReserveShare?: number
}

/** Admits each request within the limit of its team, passes it to the dispatcher of its service, and answers it exactly once. */
export class RequestScheduler {
  private readonly _options: Required<RequestSchedulerOptions>
  private readonly _dispatchers = new Map<string, ServiceDispatcher>()
  private readonly _teamLimits = new TeamLimits()
  private readonly _figures = new RequestFigures()
  private readonly _claimSubscription: Subscription
  private _serviceSpecs = new Map<string, ServiceSpec>()
  private _teamSpecs: Manifest['teams'] = []
  private _teamNames = new Set<string>()
  private _instanceRecords: VmRecord[] = []
  /** Admitted requests without a final answer. */
  private _openRequests = 0
  /** Set once draining has begun; resolves when no request is open. */
  private _drained: ManualPromise | undefined

  constructor ({
    log = SILENT_LOG,
    maxQueued = DEFAULT_MAX_QUEUED,
    maxUrgentReserveShare = DEFAULT_MAX_URGENT_RESERVE_SHARE,
    ...options
  }: RequestSchedulerOptions) {
    this._options = { ...options, log, maxQueued, maxUrgentReserveShare }
    this._claimSubscription = options.authority.onChange(() => this._refreshClaims())
  }

  /** Sets the services of the manifest in force. New requests to an undeclared service are refused; those already waiting still run. */
  setServices (services: Manifest['services']): void {
    this._serviceSpecs = new Map(services.map(spec => [spec.name, spec]))
    this._figures.setObjectives(services)
    for (const spec of services) {
      const dispatcher = this._dispatchers.get(spec.name)
      if (dispatcher) dispatcher.setSpec(spec)
      else this._addDispatcher(spec)
    }
  }

  /** Sets the teams of the manifest in force. */
  setTeams (teams: Manifest['teams']): void {
    this._teamSpecs = teams
    this._teamNames = new Set(teams.map(team => team.name))
    this._updateTeamLimits()
  }

  /** Sets the service instances, live and leaving. Those of other failure domains are ignored. */
  setInstances (records: VmRecord[]): void {
    const { failureDomain } = this._options
    this._instanceRecords = records.filter(record => record.kind === VM_KINDS.instance && record.failureDomain === failureDomain)
    for (const [service, dispatcher] of this._dispatchers) {
      dispatcher.setInstances(this._instanceRecords.filter(record => record.service === service))
    }
    this._updateTeamLimits()
  }

  /** Runs a request on an instance whose claim this process holds, or answers that it has not run. The promise never rejects. */
  submit (req: ServiceRequest): Promise<ServiceAnswer> {
    const finalAnswer = new ManualPromise<ServiceAnswer>()
    const entry = this._createEntry(req, finalAnswer)
    const dispatcher = this._serviceSpecs.has(req.service) ? this._dispatchers.get(req.service) : undefined
    if (!dispatcher) {
      const detail = `service ${req.service} is not declared in the manifest`
      finalAnswer.resolve(notRunAnswer({ step: 'request.admit', peer: req.service, detail, requestId: req.requestId }, 'notFound'))
    } else if (this._drained) {
      const detail = 'the entry VM is shutting down'
      this._refuse(entry, finalAnswer, { step: 'request.admit', peer: req.service, detail, retryAfterMs: SHUTDOWN_RETRY_AFTER_MS }, 'unavailable')
    } else if (!this._teamLimits.tryAdmit(entry.team)) {
      const detail = `team ${entry.team} has reached its request limit`
      this._refuse(entry, finalAnswer, { step: 'request.admit', peer: req.service, detail, retryAfterMs: TEAM_LIMIT_RETRY_AFTER_MS })
    } else {
      this._openRequests++
      dispatcher.accept(entry)
    }
    return finalAnswer.promise
  }

  /** Whether this process can send requests to an instance of `service`. */
  serves (service: string): boolean {
    return !this._drained && this._serviceSpecs.has(service) && (this._dispatchers.get(service)?.serves() ?? false)
  }

  /** Expected time until this process would send the request to an instance. Infinite when it cannot. */
  expectedWaitMs (req: ServiceRequest): number {
    if (!this.serves(req.service)) return Infinity
    return this._dispatchers.get(req.service)?.expectedWaitMs(req.class, this._teamOf(req), req.deadlineMs) ?? Infinity
  }

  /** The declaration of `service` in the manifest, if there is one. */
  serviceSpec (service: string): ServiceSpec | undefined {
    return this._serviceSpecs.get(service)
  }

  /** Load of one service, for peers. Undefined when this process has no usable instance of it. */
  load (service: string): ServiceLoad | undefined {
    return this.serves(service) ? this._dispatchers.get(service)?.load() : undefined
  }

  /** Loads of all services with a usable instance, for peers. */
  loads (): Record<string, ServiceLoad> {
    const loads: Record<string, ServiceLoad> = {}
    for (const service of this._dispatchers.keys()) {
      const load = this.load(service)
      if (load) loads[service] = load
    }
    return loads
  }

  /** Counts and waiting times since the start of the process. */
  figures (): SchedulerFigures {
    return this._figures.snapshot()
  }

  /** Refuses new and waiting requests, and resolves once all requests in flight have been answered. */
  async drain (): Promise<void> {
    this._drained ??= new ManualPromise()
    for (const dispatcher of this._dispatchers.values()) dispatcher.refuseWaiting('the entry VM is shutting down')
    if (this._openRequests === 0) this._drained.resolve()
    await this._drained.promise
    this._claimSubscription.cancel()
  }

  private _createEntry (req: ServiceRequest, finalAnswer: ManualPromise<ServiceAnswer>): QueuedRequest {
    const nowMs = this._options.timers.now()
    const team = this._teamOf(req)
    const answer = (value: ServiceAnswer): void => {
      this._teamLimits.release(team)
      this._openRequests--
      finalAnswer.resolve(value)
      if (this._openRequests === 0) this._drained?.resolve()
    }
    const deadlineAtMs = nowMs + req.deadlineMs
    return {
      req,
      class: req.class,
      team,
      arrivedMs: nowMs,
      deadlineAtMs,
      latestStartMs: deadlineAtMs,
      attempts: 0,
      mayHaveRun: false,
      failedInstances: undefined,
      brokenAttempts: 0,
      answer
    }
  }

  /** The team of the request if it is declared. All other requests count as one team, so that invented names give no extra share. */
  private _teamOf ({ team }: ServiceRequest): string {
    return team !== undefined && this._teamNames.has(team) ? team : NO_TEAM
  }

  private _refuse (entry: QueuedRequest, finalAnswer: ManualPromise<ServiceAnswer>, details: FailureDetails, kind?: ProblemKind): void {
    this._figures.countAnswer(entry, OUTCOMES.notRun)
    finalAnswer.resolve(notRunAnswer({ ...details, requestId: entry.req.requestId }, kind))
  }

  private _addDispatcher (spec: ServiceSpec): void {
    const dispatcher = new ServiceDispatcher({ ...this._options, spec, figures: this._figures })
    this._dispatchers.set(spec.name, dispatcher)
    dispatcher.setInstances(this._instanceRecords.filter(record => record.service === spec.name))
  }

  private _refreshClaims (): void {
    for (const dispatcher of this._dispatchers.values()) dispatcher.refreshClaims()
    this._updateTeamLimits()
  }

  /** The limits apply to the failure domain as a whole. This process enforces them in proportion to the instances whose claims it holds. */
  private _updateTeamLimits (): void {
    let heldInstances = 0
    for (const dispatcher of this._dispatchers.values()) heldInstances += dispatcher.heldInstances()
    this._teamLimits.setLimits(this._teamSpecs, this._instanceRecords.length === 0 ? 1 : heldInstances / this._instanceRecords.length)
  }
}
