/**
 * The work of a placer under one epoch of its claim.
 *
 * @module
 */

import Result from 'true-myth/result'
import type { Timers, TimerSubscription } from '../../seams/timers.js'
import type { PlatformClient } from '../../seams/platformClient.js'
import type { RandomSource } from '../../seams/randomSource.js'
import type { UpstreamClient } from '../../seams/upstreamClient.js'
import type { Manifest } from '../../protocol/manifest.js'
import { VM_STATES, type Capacity, type VmRecord } from '../../protocol/vms.js'
import type { WorkerReport } from '../../protocol/worker.js'
import { CallError, CallTimeoutError, EFFECTS, errorText } from '../../utils/errors.js'
import type { EventLog } from '../../utils/eventLog.js'
import type { CommitResult } from '../../commits/groupCommitter.js'
import { ManualPromise } from '../../utils/manualPromise.js'
import type { Placement } from '../placementTypes.js'
import { CrashTrials } from './crashTrials.js'
import { FailureTracker } from './failureTracker.js'
import { Job, planOf } from './job.js'
import { JobLifecycle } from './jobLifecycle.js'
import { JobQueue } from './jobQueue.js'
import type { JobRecord } from './jobRecord.js'
import type { JobSettings } from './jobSettings.js'
import { JobStore } from './jobStore.js'
import { LongRunningServices } from './longRunningServices.js'
import { OveruseHandler } from './overuseHandler.js'
import { Preemption } from './preemption.js'
import { WorkerEventHandler } from './workerEventHandler.js'
import { Scheduler } from './scheduler.js'
import { Takeover } from './takeover.js'
import { TaskLedger } from './taskLedger.js'
import { DomainQuotas } from './domainQuotas.js'
import { UsageEstimator } from './usageEstimator.js'
import { WorkerLink } from './workerLink.js'

/** Time between two deletions of old jobs. */
const CLEANUP_INTERVAL_MS = 600_000
/** New jobs are refused while at least this many writes are queued. */
const MAX_QUEUED_WRITES = 5_000
const TOO_MANY_WRITES = new CallError('too many writes are queued', { step: 'placerSession.create', peer: 'platform', effect: EFFECTS.none })

/** Time between two polls of a worker whose tasks use more than its capacity. */
const OVERUSE_RECHECK_MS = 5_000
/** Counted for a worker until its capacity is known. */
const NO_CAPACITY: Capacity = { cpus: 0, memoryMb: 0, accelerators: 0 }

/** Options of a {@link PlacerSession}. */
export interface PlacerSessionOptions {
  timers: Timers
  random: RandomSource
  platform: PlatformClient
  upstream: UpstreamClient
  placement: Placement
  log: EventLog
  failureDomain: string
  failureDomains: readonly string[]
  vm: string
  cfg: JobSettings
  epoch: number
  /** Returns the epoch to send under; undefined while this process may not send. */
  sendEpoch: () => number | undefined
  /** Called when another placer has taken over, even if this process still appears to hold the claim. */
  onSuperseded: () => void
}

/** Runs the jobs of a failure domain from the moment the placer claim is acquired until it is lost. */
export class PlacerSession {
  readonly epoch: number
  readonly ledger: TaskLedger
  readonly queue = new JobQueue()
  /** Links by name of the worker's VM. */
  readonly links = new Map<string, WorkerLink>()
  private readonly _options: PlacerSessionOptions
  private readonly _store: JobStore
  private readonly _failures: FailureTracker
  private readonly _crashTrials: CrashTrials
  private readonly _usageEstimator = new UsageEstimator()
  private readonly _domainQuotas: DomainQuotas
  private readonly _lifecycle: JobLifecycle
  private readonly _workerEventHandler: WorkerEventHandler
  private readonly _scheduler: Scheduler
  private readonly _takeover: Takeover
  private readonly _preemption: Preemption
  private readonly _overuseHandler: OveruseHandler
  private readonly _services: LongRunningServices
  private readonly _cleanupTimer: TimerSubscription
  private readonly _pendingCreates = new Map<string, Promise<CommitResult>>()
  private _loaded = false
  private _closed = false

  constructor (options: PlacerSessionOptions) {
    const { timers, random, placement, log, failureDomain, failureDomains, cfg, epoch } = options
    this._options = options
    this.epoch = epoch
    this.ledger = new TaskLedger({ timers, placement, runPrefix: `${epoch}-${random.hex(2)}` })
    this._store = new JobStore(options)
    this._failures = new FailureTracker({ cfg })
    this._domainQuotas = new DomainQuotas({ placement, ledger: this.ledger, domains: failureDomains.length })
    this._crashTrials = new CrashTrials({ timers, log, onTrialChange: worker => this._onTrialChange(worker) })
    const { ledger, queue, links, _store: store, _usageEstimator: usage, _failures: failures, _crashTrials: crashTrials } = this
    const schedulePass = (atMs?: number): void => this._scheduler.schedulePass(atMs)
    const onProbation = (name: string): void => this._onProbation(name)
    this._lifecycle = new JobLifecycle({ timers, cfg, log, ledger, queue, store, failures, links, crashTrials, schedulePass, onProbation })
    const { _lifecycle: lifecycle } = this
    this._workerEventHandler = new WorkerEventHandler({
      timers,
      cfg,
      ledger,
      lifecycle,
      usage,
      onAvailability: link => this._onAvailability(link),
      onReportApplied: (link, report, sentAtMs) => this._onReportApplied(link, report, sentAtMs)
    })
    this._scheduler = new Scheduler({
      timers,
      passDelayMs: cfg.passDelayMs,
      placement,
      ledger,
      queue,
      lifecycle,
      store,
      crashTrials,
      usage,
      links,
      quotaUsageOf: team => this._domainQuotas.quotaUsageOf(team),
      onNoRoom: (job, size) => this._preemption.makeRoom(job, size)
    })
    this._preemption = new Preemption({ timers, cfg, placement, ledger, lifecycle, links })
    this._overuseHandler = new OveruseHandler({ ledger, usage, preemption: this._preemption })
    this._services = new LongRunningServices({ timers, ledger, lifecycle, queue, failureDomain, failureDomains })
    ledger.onRunRemoved = run => {
      this._preemption.onRunRemoved(run)
      crashTrials.noteEnd(run)
      if (run.job) lifecycle.endIfComplete(run.job)
      schedulePass()
    }
    this._takeover = new Takeover({ timers, cfg, ledger, lifecycle, queue, links, schedulePass })
    this._cleanupTimer = timers.every(CLEANUP_INTERVAL_MS, () => { this._deleteExpiredJobs() })
  }

  /** True once all jobs are loaded, until the session is closed. */
  get ready (): boolean {
    return this._loaded && !this._closed
  }

  /** Takes the fence against earlier placers, loads the jobs, and starts calls to the workers. */
  async open (workers: () => VmRecord[], manifest: () => Manifest): Promise<void> {
    const jobs = await this._store.open()
    if (this._closed) return
    if (jobs.isErr) return this._options.log.event('warn', 'jobs.openFailed', { step: jobs.error.step, peer: jobs.error.peer, error: errorText(jobs.error) })
    for (const job of jobs.value) this.ledger.jobs.set(job.jobId, job)
    this._takeover.hold(jobs.value.filter(job => !job.ended))
    this._loaded = true
    this.setManifest(manifest())
    this.setWorkers(workers())
    this._options.log.event('info', 'jobs.opened', { step: 'placerSession.open', epoch: this.epoch, jobs: jobs.value.length, workers: this.links.size })
  }

  /** Sets the platform's list of VMs. Called after every reading, even without a change: the takeover counts the readings. */
  setWorkers (vms: VmRecord[]): void {
    if (!this.ready) return
    const { failureDomain } = this._options
    const own = vms.filter(vm => vm.kind === 'worker' && vm.failureDomain === failureDomain)
    const names = new Set(own.map(vm => vm.name))
    for (const [name, link] of [...this.links]) {
      if (!names.has(name)) this._removeWorker(name, link)
    }
    for (const vm of own) this._setWorker(vm)
    this._takeover.onVmListRead()
    this._updateNeverFitReasons()
  }

  setManifest (manifest: Manifest): void {
    if (!this.ready) return
    this._domainQuotas.setTeams(manifest.teams)
    this._options.placement.setPolicies({ batch: manifest.placement.batch, gang: manifest.placement.gang })
    this._takeover.hold(this._services.apply(manifest.longRunning))
    this.ledger.capacityVersion++
    this._scheduler.schedulePass()
  }

  /**
   * Commits an accepted job and queues it. Call only for a job id that is not in the ledger.
   * A commit that succeeds after the caller's deadline still queues the job.
   */
  async create (record: JobRecord): Promise<CommitResult> {
    if (this._store.backlog >= MAX_QUEUED_WRITES) return Result.err(TOO_MANY_WRITES)
    const pending = this._pendingCreates.get(record.jobId) ?? this._commitNewJob(record)
    return await this._withCommitDeadline(pending)
  }

  /** Lists workers that get no new tasks because they failed tasks of several job families. */
  listWorkersOnProbation (): string[] {
    return this._failures.listWorkersOnProbation(this._options.timers.now())
  }

  /** Cancels a job in memory at once. Resolves after the commit. */
  async cancel (job: Job): Promise<CommitResult> {
    if (!job.ended) {
      if (job.isGang) this._options.placement.releaseReservation(job.jobId)
      this._lifecycle.end(job, 'cancelled')
    }
    return await this._withCommitDeadline(this._store.cancel(job))
  }

  /** Returns whether the job's tasks could run if all known workers were empty. */
  canEverFit (job: Job): ReturnType<Placement['canEverFit']> {
    return this._options.placement.canEverFit(job.declaredRequests(), { gang: job.isGang, within: job.plan.within })
  }

  close (): void {
    this._closed = true
    this._cleanupTimer.cancel()
    this._scheduler.close()
    this._takeover.close()
    this._store.close()
    for (const link of this.links.values()) link.close()
    for (const run of [...this.ledger.runs.values()]) this._options.placement.release(run.taskId)
    for (const name of this.links.keys()) this._options.placement.removeWorker(name)
  }

  private _commitNewJob (record: JobRecord): Promise<CommitResult> {
    const created = this._store.create(record).then(result => {
      this._pendingCreates.delete(record.jobId)
      if (result.isOk && !this._closed) this._addJob(record)
      return result
    })
    this._pendingCreates.set(record.jobId, created)
    return created
  }

  private _withCommitDeadline (commit: Promise<CommitResult>): Promise<CommitResult> {
    const { timers, cfg: { commitTimeoutMs } } = this._options
    const settled = new ManualPromise<CommitResult>()
    const err = new CallTimeoutError(commitTimeoutMs, { step: 'placerSession.commit', peer: 'platform', effect: EFFECTS.unknown, hint: 'repeating the same call is safe' })
    const timeout = timers.after(commitTimeoutMs, () => settled.resolve(Result.err(err)))
    commit.then(result => {
      timeout.cancel()
      settled.resolve(result)
    })
    return settled.promise
  }

  private _addJob (record: JobRecord): void {
    const job = new Job({ plan: planOf(record), record })
    job.history.add(record.acceptedAtMs, 'accepted')
    this.ledger.jobs.set(job.jobId, job)
    this.queue.add(job)
    this._scheduler.schedulePass()
  }

  private _setWorker (vm: VmRecord): void {
    const { timers, random, upstream, cfg, sendEpoch } = this._options
    const link = this.links.get(vm.name)
    if (link && link.vm.address === vm.address) {
      // A report is newer than the list unless the list has changed since its last reading.
      const resized = vm.capacity !== undefined && !isSameCapacity(link.listedCapacity, vm.capacity)
      const changed = resized || link.vm.state !== vm.state || link.vm.rack !== vm.rack
      link.vm = { ...vm, capacity: resized ? vm.capacity : link.vm.capacity ?? vm.capacity }
      link.listedCapacity = vm.capacity
      if (changed) this._updatePlacement(link)
      return
    }
    if (link) this._removeWorker(vm.name, link)
    const created = new WorkerLink({ vm, timers, random, upstream, cfg, sendEpoch, events: this._workerEventHandler })
    this.links.set(vm.name, created)
    this._updatePlacement(created)
  }

  /** Removes a worker that is no longer on the list of VMs. Its tasks count as lost. */
  private _removeWorker (name: string, link: WorkerLink): void {
    link.close()
    this.links.delete(name)
    this._failures.removeWorker(name)
    for (const run of [...this.ledger.runsAt(name)]) this._lifecycle.onLost(run)
    this._options.placement.removeWorker(name)
    this._takeover.releaseIfSafe()
  }

  /** Updates the worker's data in the placement, including whether it takes new tasks. */
  private _updatePlacement (link: WorkerLink): void {
    const { name, rack, failureDomain, state, capacity = NO_CAPACITY } = link.vm
    const onProbation = this._failures.isOnProbation(name, this._options.timers.now())
    const takesWork = link.reachable && state === VM_STATES.live && !onProbation && !this._crashTrials.isTrialWorker(name)
    this._options.placement.setWorker({ name, rack, failureDomain, capacity, takesWork })
    this.ledger.capacityVersion++
    this._scheduler.schedulePass()
  }

  private _onTrialChange (worker: string): void {
    const link = this.links.get(worker)
    if (link && !this._closed) this._updatePlacement(link)
  }

  private _onAvailability (link: WorkerLink): void {
    this._updatePlacement(link)
    if (!link.reachable) this._takeover.releaseIfSafe()
  }

  private _onReportApplied (link: WorkerLink, report: WorkerReport, sentAtMs: number): void {
    for (const task of report.tasks) {
      const run = this.ledger.runs.get(task.taskId)
      if (run) this._preemption.onListed(run, task, sentAtMs)
    }
    this._overuseHandler.onReport(link, report, sentAtMs + OVERUSE_RECHECK_MS)
    const previous = link.vm.capacity
    const { capacity } = report
    if (!isSameCapacity(previous, capacity)) {
      link.vm = { ...link.vm, capacity }
      this._updatePlacement(link)
    }
    this._takeover.releaseIfSafe()
  }

  private _onProbation (name: string): void {
    const { timers, log } = this._options
    const endMs = this._failures.probationEndMs(name)
    const updatePlacement = (): void => {
      const link = this._closed ? undefined : this.links.get(name)
      if (link) this._updatePlacement(link)
    }
    log.event('warn', 'jobs.probation', { step: 'failureTracker.record', peer: name, forMs: endMs - timers.now() })
    updatePlacement()
    timers.after(endMs - timers.now(), updatePlacement)
  }

  /** Updates the reason of waiting jobs that no worker is large enough for, after the workers have changed. */
  private _updateNeverFitReasons (): void {
    for (const job of this.ledger.jobs.values()) {
      if (job.ended || !job.waitingFor?.startsWith('never') || job.blockedAtVersion === this.ledger.capacityVersion) continue
      const fit = this.canEverFit(job)
      if (fit.isErr) job.waitingFor = `never: ${fit.error.detail}`
    }
  }

  private async _deleteExpiredJobs (): Promise<void> {
    if (!this.ready) return
    const beforeMs = this._options.timers.wallClock() - this._options.cfg.retentionMs
    const expired = [...this.ledger.jobs.values()].filter(({ endedAtMs = Infinity, runs }) => endedAtMs < beforeMs && runs.size === 0)
    const result = await this._store.deleteJobs(expired, beforeMs)
    if (result.isErr) return this._logDeleteFailed(result.error)
    for (const job of expired) this.ledger.jobs.delete(job.jobId)
  }

  private _logDeleteFailed (err: CallError): void {
    this._options.log.event('warn', 'jobs.forgetFailed', { step: err.step, peer: err.peer, error: errorText(err) })
  }
}

function isSameCapacity (a: Capacity | undefined, b: Capacity): boolean {
  return a?.cpus === b.cpus && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators
}
