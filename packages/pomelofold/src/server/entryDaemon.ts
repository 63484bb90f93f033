/**
 * Creates and connects the components of an entry daemon, from the HTTP interface to the upstreams.
 *
 * @module
 */

import type { Hono } from 'hono'
import { ClaimKeeper } from '../claims/claimKeeper.js'
import { ManifestKeeper } from '../config/manifestKeeper.js'
import { KeyedRequests } from '../outcomes/keyedRequests.js'
import { RequestHistory } from '../outcomes/requestHistory.js'
import { PeerTable } from '../peers/peerTable.js'
import type { VersionedManifest } from '../protocol/manifest.js'
import { VM_KINDS, type VmRecord } from '../protocol/vms.js'
import { BurnCounter } from '../reports/burnCounter.js'
import { RequestRouter } from '../requests/requestRouter.js'
import { RequestScheduler } from '../requests/requestScheduler.js'
import { CLAIM_NAMES } from '../seams/authority.js'
import type { PeerHandlers } from '../seams/peerTransport.js'
import { delay } from '../seams/timers.js'
import type { DaemonSettings } from '../settings/daemonSettings.js'
import { JobManager } from '../tasks/jobs/jobManager.js'
import { WorkerPlacement } from '../tasks/placement/workerPlacement.js'
import type { DaemonDependencies } from './daemonDependencies.js'
import { createHttpApp } from './http/httpApp.js'
import { jobRoutes } from './http/jobRoutes.js'
import { operatorRoutes } from './http/operatorRoutes.js'
import { requestRoutes } from './http/requestRoutes.js'
import { JobService } from './jobService.js'
import { createKeyCommitter } from './keyCommitter.js'
import { Metrics } from './metrics.js'
import { PeerQueries } from './peerQueries.js'
import { RequestService } from './requestService.js'
import { VmListPoller } from './vmListPoller.js'

/** Maximum time for handing over the claims during shutdown, in milliseconds. */
const HAND_OVER_TIMEOUT_MS = 2_000

/** Period of checking during shutdown whether all requests in flight have been answered, in milliseconds. */
const SHUTDOWN_CHECK_MS = 50

/**
 * Owns the components of an entry daemon and their lifecycle. After construction, call {@link start}, serve {@link app} over
 * HTTP, and end with {@link shutdown}.
 */
export class EntryDaemon {
  /** The HTTP interface. */
  readonly app: Hono
  /** Requests to services, for programs that use the library without HTTP. */
  readonly requests: RequestService
  readonly jobs: JobService
  readonly manifest: ManifestKeeper
  private readonly _settings: DaemonSettings
  private readonly _dependencies: DaemonDependencies
  private readonly _claims: ClaimKeeper
  private readonly _peers: PeerTable
  private readonly _peerQueries: PeerQueries
  private readonly _vmListPoller: VmListPoller
  private readonly _scheduler: RequestScheduler
  private readonly _router: RequestRouter
  private readonly _requestHistory: RequestHistory
  private readonly _keyedRequests: KeyedRequests
  private readonly _jobManager: JobManager
  private readonly _metrics: Metrics
  private readonly _burnCounter: BurnCounter
  private _leaving = false
  private _started = false

  constructor (settings: DaemonSettings, dependencies: DaemonDependencies) {
    const { timers, random, platform, upstream, transport, log, incarnation } = dependencies
    const { vm, failureDomain } = settings
    const others = settings.peers.filter(peer => peer.vm !== vm)
    this._settings = settings
    this._dependencies = dependencies
    this._peers = new PeerTable({
      timers,
      transport,
      log,
      peers: others,
      failureDomain,
      heartbeatMs: settings.heartbeatMs,
      ownHeartbeat: () => ({ revision: this.manifest.current().revision, loads: this._scheduler.loads(), leaving: this._leaving }),
      onHeartbeat: (peer, { revision, loads }) => this._onPeerHeartbeat(peer, revision, loads)
    })
    this._peerQueries = new PeerQueries({ transport, peers: this._peers, failureDomain })
    this._claims = new ClaimKeeper({
      timers,
      random,
      platform,
      log,
      vm,
      incarnation,
      failureDomain,
      members: settings.peers,
      cfg: { ...settings.claims, timeoutMs: settings.platform.timeoutMs },
      callPeerPromise: (peer, params, timeoutMs) => transport.call(peer, 'promise', params, timeoutMs)
    })
    this.manifest = new ManifestKeeper({
      timers,
      random,
      platform,
      log,
      peers: others.map(peer => peer.vm),
      fetchFromPeer: peer => this._peerQueries.fetchManifest(peer),
      shouldWatch: () => this._claims.epochOf(CLAIM_NAMES.placer(failureDomain)) !== undefined
    })
    this._scheduler = new RequestScheduler({ failureDomain, timers, random, authority: this._claims, upstream, log })
    this._router = new RequestRouter({ vm, failureDomain, scheduler: this._scheduler, transport, timers, random, log })
    this._router.setPeers(settings.peers)
    this._requestHistory = new RequestHistory({ timers, vm })
    const committer = createKeyCommitter({ dependencies, vm, entryVms: settings.peers.length })
    this._keyedRequests = new KeyedRequests({
      timers, platform, log, vm, incarnation, committer, queryKeyOwner: this._peerQueries.keyedOutcome
    })
    this._burnCounter = new BurnCounter({ timers })
    this.requests = new RequestService({
      router: { route: req => this._router.submit(req) },
      keyedRequests: this._keyedRequests,
      history: this._requestHistory,
      log,
      onAnswer: (req, answer) => this._burnCounter.countAnswer(req, answer),
      queryPeers: requestId => this._peerQueries.explainRequest(requestId)
    })
    this._jobManager = new JobManager({
      timers,
      random,
      authority: this._claims,
      platform,
      upstream,
      placement: new WorkerPlacement({ timers }),
      log,
      failureDomain,
      failureDomains: [...new Set(settings.peers.map(peer => peer.failureDomain))],
      vm,
      cfg: settings.tasks
    })
    this.jobs = new JobService({
      vm, failureDomain, members: settings.peers, authority: this._claims, transport, platform, random, localJobs: this._jobManager
    })
    this._vmListPoller = new VmListPoller({
      timers,
      platform,
      log,
      failureDomain,
      periodMs: settings.platform.vmListPeriodMs,
      onList: vms => this._onVmList(vms),
      relays: () => this._peerQueries.relays(),
      listThroughRelay: peer => this._peerQueries.listVms(peer)
    })
    this.manifest.onChange(current => this._onManifest(current))
    this._metrics = new Metrics({
      vm,
      requests: () => this._scheduler.figures(),
      claims: () => this._claims.figures(),
      manifestRevision: () => this.manifest.current().revision
    })
    this.app = this._buildApp()
  }

  /** Listens for peers and starts all components. Resolves after the first reads of the manifest and of the list of VMs. */
  async start (): Promise<void> {
    const { transport, log } = this._dependencies
    const { vm, failureDomain } = this._settings
    await transport.listen(this._handlers())
    this._claims.start()
    this._peers.start()
    await this.manifest.start()
    await this._vmListPoller.start()
    this._jobManager.start()
    this._started = true
    log.event('info', 'daemon.started', { vm, failureDomain, incarnation: this._dependencies.incarnation })
  }

  /**
   * Refuses new requests, answers `not-run` to those that have not been sent, and waits at most `shutdownMs` for those in
   * flight. Then hands over the claims and closes all components.
   */
  async shutdown (): Promise<void> {
    const { timers, transport, upstream, log } = this._dependencies
    log.event('info', 'daemon.leaving', { inFlight: this.requests.inFlight })
    const endMs = timers.now() + this._settings.shutdownMs
    this._leaving = true
    await Promise.race([this._scheduler.drain(), delay(timers, this._settings.shutdownMs)])
    while (this.requests.inFlight > 0 && timers.now() < endMs) await delay(timers, SHUTDOWN_CHECK_MS)
    await Promise.race([this._claims.handOverAll(), delay(timers, HAND_OVER_TIMEOUT_MS)])
    await this._jobManager.stop()
    this._peers.stop()
    this._vmListPoller.stop()
    this.manifest.stop()
    await this._claims.stop()
    await transport.close()
    await upstream.close()
    log.event('info', 'daemon.stopped', { inFlight: this.requests.inFlight })
  }

  /** True while this process holds the claim. */
  holds (claim: string): boolean {
    return this._claims.epochOf(claim) !== undefined
  }

  private _handlers (): PeerHandlers {
    return {
      heartbeat: async ({ revision, loads }, from) => {
        this._onPeerHeartbeat(from.vm, revision, loads)
        return { revision: this.manifest.current().revision, loads: this._scheduler.loads(), leaving: this._leaving }
      },
      fetchManifest: async () => this.manifest.current(),
      listVms: async params => ({ vms: (await this._dependencies.platform.listVms(params)).unwrapOr(null) }),
      forwardRequest: this._router.forwardRequest,
      keyedOutcome: async ({ key, requestId }) => this._keyedRequests.outcomeOf(key, requestId),
      promise: async (params, from) => this._claims.onPromiseRequest(params, from),
      submitJob: params => this._jobManager.submitJob(params),
      getJob: params => this._jobManager.getJob(params),
      cancelJob: params => this._jobManager.cancelJob(params),
      listJobs: () => this._jobManager.listJobs(),
      explainJob: async ({ jobId }) => this._explainLocalJob(jobId),
      explainRequest: async ({ requestId }) => this._requestHistory.get(requestId) ?? null,
      figures: async () => this._figures()
    }
  }

  private _buildApp (): Hono {
    const { random, log } = this._dependencies
    const { vm, http: { maxBodyBytes } } = this._settings
    const manifest = () => this.manifest.current().manifest
    return createHttpApp({
      log,
      ready: () => this._readiness(),
      metrics: () => this._metrics.text(),
      routes: [
        requestRoutes({ requests: this.requests, manifest, random, vm, maxBodyBytes }),
        jobRoutes({ jobs: this.jobs, manifest, maxBodyBytes }),
        operatorRoutes({
          manifest: this.manifest,
          status: () => this._status(),
          figures: () => this._allFigures(),
          drain: () => this._drain(),
          maxBodyBytes
        })
      ]
    })
  }

  private _onVmList (vms: VmRecord[]): void {
    const { failureDomain } = this._settings
    const instances = vms.filter(vm => vm.kind === VM_KINDS.instance)
    this._claims.setListedVms(vms.filter(vm => vm.kind === VM_KINDS.entry).map(vm => vm.name))
    this._claims.setWantedClaims([CLAIM_NAMES.placer(failureDomain), ...instances.map(vm => CLAIM_NAMES.instance(failureDomain, vm.name))])
    this._scheduler.setInstances(instances)
    this._jobManager.setWorkers(vms.filter(vm => vm.kind === VM_KINDS.worker))
  }

  private _onManifest ({ manifest }: VersionedManifest): void {
    this._scheduler.setServices(manifest.services)
    this._scheduler.setTeams(manifest.teams)
    this._burnCounter.setManifest(manifest)
    this._jobManager.setManifest(manifest)
  }

  private _onPeerHeartbeat (vm: string, revision: number, loads: Parameters<RequestRouter['onPeerLoads']>[1]): void {
    this.manifest.onPeerRevision(vm, revision)
    this._router.onPeerLoads(vm, loads)
  }

  private _readiness (): { ready: boolean, reason?: string } {
    if (this._leaving) return { ready: false, reason: 'leaving' }
    if (!this._started) return { ready: false, reason: 'starting' }
    return this.manifest.current().revision > 0 ? { ready: true } : { ready: false, reason: 'no manifest is in force' }
  }

  private _status (): Record<string, unknown> {
    const { vm, failureDomain } = this._settings
    const peers = this._peers.all().map(({ loads, ...peer }) => peer)
    return {
      vm,
      failureDomain,
      leaving: this._leaving,
      revision: this.manifest.current().revision,
      claims: { ...this._claims.figures(), names: this._claims.heldClaims() },
      inFlight: this.requests.inFlight,
      peers
    }
  }

  private _figures (): Record<string, unknown> {
    return {
      vm: this._settings.vm,
      failureDomain: this._settings.failureDomain,
      usage: this._dependencies.usage(),
      requests: this._scheduler.figures(),
      claims: this._claims.figures(),
      jobs: this._jobManager.figures(),
      burn: this._burnCounter.figures()
    }
  }

  private _explainLocalJob (jobId: string): Record<string, unknown> | null {
    const explained = this._jobManager.explain(jobId)
    return explained ? { ...explained } : null
  }

  /** Figures of all entry daemons by VM, including this one, and the names of unreachable VMs. */
  private async _allFigures (): Promise<{ figures: Record<string, unknown>, unreachable: string[] }> {
    const { figures, unreachable } = await this._peerQueries.figures()
    return { figures: { [this._settings.vm]: this._figures(), ...figures }, unreachable }
  }

  /** Reports not ready and hands over the claims. Requests that callers still send are served, through peers that hold claims. */
  private _drain (): void {
    if (this._leaving) return
    this._leaving = true
    this._dependencies.log.event('info', 'daemon.draining', { inFlight: this.requests.inFlight })
    this._claims.handOverAll()
  }
}
