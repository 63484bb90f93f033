/**
 * Sends requests to the service instances whose claims this process holds.
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

/** Requests of one service that may wait at once. */
const DEFAULT_MAX_QUEUED = 10_000
/** Pause asked of callers while the process shuts down, in milliseconds. */
const SHUTDOWN_RETRY_AFTER_MS = 100
/** Pause asked of callers whose team is over its limit, in milliseconds. */
const TEAM_LIMIT_RETRY_AFTER_MS = 1_000

/** Options of a {@link RequestScheduler}. */
export interface RequestSchedulerOptions {
  failureDomain: string
  timers: Timers
  random: RandomSource
  authority: Authority
  upstream: UpstreamClient
  log?: EventLog
  /** Requests of one service that may wait at once. */
  maxQueued?: number
  /** Largest share of the slots that is kept free for urgent requests. */
  maxUrgentReserveShare?: number
}

/** Queues requests by service and class, and answers each exactly once. */
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
  private _openRequests = 0
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

  /** Sets the services of the manifest in force. Requests to a service that is no longer declared are refused; those waiting go on. */
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

  /** Sets the failure domain's service instances, live and leaving. */
  setInstances (records: VmRecord[]): void {
    const { failureDomain } = this._options
    this._instanceRecords = records.filter(record => record.kind === VM_KINDS.instance && record.failureDomain === failureDomain)
    for (const [service, dispatcher] of this._dispatchers) {
      dispatcher.setInstances(this._instanceRecords.filter(record => record.service === service))
    }
    this._updateTeamLimits()
  }

  /** Runs a request on an instance of this process, or answers that it has not run. Never rejects. */
  submit (req: ServiceRequest): Promise<ServiceAnswer> {
    const done = new ManualPromise<ServiceAnswer>()
    const entry = this._createEntry(req, done)
    const dispatcher = this._serviceSpecs.has(req.service) ? this._dispatchers.get(req.service) : undefined
    if (!dispatcher) {
      const detail = `no service ${req.service} is declared`
      done.resolve(notRunAnswer({ step: 'request.admit', peer: req.service, detail, requestId: req.requestId }, 'notFound'))
    } else if (this._drained) {
      const detail = 'the entry VM is shutting down'
      this._refuse(entry, done, { step: 'request.admit', peer: req.service, detail, retryAfterMs: SHUTDOWN_RETRY_AFTER_MS }, 'unavailable')
    } else if (!this._teamLimits.tryAdmit(entry.team)) {
      const detail = `team ${entry.team} has reached its limit of requests`
      this._refuse(entry, done, { step: 'request.admit', peer: req.service, detail, retryAfterMs: TEAM_LIMIT_RETRY_AFTER_MS })
    } else {
      this._openRequests++
      dispatcher.accept(entry)
    }
    return done.promise
  }

  /** Whether an instance of `service` takes requests from this process. */
  serves (service: string): boolean {
    return !this._drained && this._serviceSpecs.has(service) && (this._dispatchers.get(service)?.serves() ?? false)
  }

  /** Expected time until a request would be sent by this process. Infinite when it cannot be. */
  expectedWaitMs (req: ServiceRequest): number {
    if (!this.serves(req.service)) return Infinity
    return this._dispatchers.get(req.service)?.expectedWaitMs(req.class, this._teamOf(req), req.deadlineMs) ?? Infinity
  }

  /** The declaration of `service`, when there is one. */
  serviceSpec (service: string): ServiceSpec | undefined {
    return this._serviceSpecs.get(service)
  }

  /** Load of one service, as told to peers. Undefined when this process holds no instance of it. */
  load (service: string): ServiceLoad | undefined {
    return this.serves(service) ? this._dispatchers.get(service)?.load() : undefined
  }

  /** Loads of all services, as told to peers. */
  loads (): Record<string, ServiceLoad> {
    const loads: Record<string, ServiceLoad> = {}
    for (const service of this._dispatchers.keys()) {
      const load = this.load(service)
      if (load) loads[service] = load
    }
    return loads
  }

  /** Counts and waiting times since the start. */
  figures (): SchedulerFigures {
    return this._figures.snapshot()
  }

  /** Refuses what has not started, and resolves once everything in flight has been answered. */
  async drain (): Promise<void> {
    this._drained ??= new ManualPromise()
    for (const dispatcher of this._dispatchers.values()) dispatcher.refuseWaiting('the entry VM is shutting down')
    if (this._openRequests === 0) this._drained.resolve()
    await this._drained.promise
    this._claimSubscription.cancel()
  }

  private _createEntry (req: ServiceRequest, done: ManualPromise<ServiceAnswer>): QueuedRequest {
    const nowMs = this._options.timers.now()
    const team = this._teamOf(req)
    const answer = (final: ServiceAnswer): void => {
      this._teamLimits.release(team)
      this._openRequests--
      done.resolve(final)
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
      answer
    }
  }

  /** The request's team when the manifest declares it. Others share one place, so that made-up names gain nothing. */
  private _teamOf ({ team }: ServiceRequest): string {
    return team !== undefined && this._teamNames.has(team) ? team : NO_TEAM
  }

  private _refuse (entry: QueuedRequest, done: ManualPromise<ServiceAnswer>, details: FailureDetails, kind?: ProblemKind): void {
    this._figures.countAnswer(entry, OUTCOMES.notRun)
    done.resolve(notRunAnswer({ ...details, requestId: entry.req.requestId }, kind))
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

  /** Limits hold for the failure domain; this process enforces the part that its instances make up. */
  private _updateTeamLimits (): void {
    let held = 0
    for (const dispatcher of this._dispatchers.values()) held += dispatcher.heldInstances()
    this._teamLimits.setLimits(this._teamSpecs, this._instanceRecords.length === 0 ? 1 : held / this._instanceRecords.length)
  }
}
