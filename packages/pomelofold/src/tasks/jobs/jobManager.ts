/**
 * Manages the jobs of one failure domain on the entry VM that holds the placer claim.
 *
 * @module
 */

import Result from 'true-myth/result'
import { CLAIM_NAMES, type Authority, type Subscription } from '../../seams/authority.js'
import type { PlatformClient } from '../../seams/platformClient.js'
import type { RandomSource } from '../../seams/randomSource.js'
import type { Timers } from '../../seams/timers.js'
import type { UpstreamClient } from '../../seams/upstreamClient.js'
import { EMPTY_MANIFEST, type Manifest } from '../../protocol/manifest.js'
import type { JobAnswer, PeerMethods } from '../../protocol/peerMessages.js'
import type { VmRecord } from '../../protocol/vms.js'
import { EFFECTS } from '../../utils/errors.js'
import { SILENT_LOG, type EventLog } from '../../utils/eventLog.js'
import { COMMIT_REFUSALS, CommitRefusedError } from '../../commits/groupCommitter.js'
import type { Placement } from '../placementTypes.js'
import { Job, planOf } from './job.js'
import type { JobEvent } from './jobHistory.js'
import { DEFAULT_JOB_SETTINGS, type JobSettings } from './jobSettings.js'
import { PlacerSession } from './placerSession.js'
import { JOB_ID_PATTERN } from './taskId.js'

const RETRY_AFTER_MS = 1_000

/** Options of a {@link JobManager}. */
export interface JobManagerOptions {
  timers: Timers
  random: RandomSource
  authority: Authority
  platform: PlatformClient
  upstream: UpstreamClient
  placement: Placement
  failureDomain: string
  /** All failure domains of the cell. Quotas and replicas are divided among them. */
  failureDomains?: readonly string[]
  vm: string
  log?: EventLog
  cfg?: Partial<JobSettings>
}

/** State and history of a job, for operators. */
export interface JobExplanation {
  jobId: string
  state: string
  waitingFor?: string
  events: JobEvent[]
  /** Number of events that were dropped between the first and the latest ones. */
  dropped: number
  runs: Array<{ index: number, worker: string, state: string }>
}

/** Most runs listed in one explanation. */
const MAX_EXPLAINED_RUNS = 100

/** Accepts jobs and runs their tasks while this process holds the placer claim; otherwise answers `unavailable`. */
export class JobManager {
  private readonly _options: Required<Omit<JobManagerOptions, 'cfg'>> & { cfg: JobSettings }
  private readonly _claim: string
  private _session: PlacerSession | undefined
  private _subscription: Subscription | undefined
  private _workers: VmRecord[] = []
  private _manifest: Manifest | undefined

  constructor ({ cfg = {}, log = SILENT_LOG, failureDomain, failureDomains = [failureDomain], ...options }: JobManagerOptions) {
    this._options = { ...options, log, failureDomain, failureDomains, cfg: { ...DEFAULT_JOB_SETTINGS, ...cfg } }
    this._claim = CLAIM_NAMES.placer(failureDomain)
  }

  /** Starts a placer session whenever this process holds the placer claim. */
  start (): void {
    this._subscription = this._options.authority.onChange(() => this._followClaim())
    this._followClaim()
  }

  /** Ends the placer session. Tasks keep running on their workers. */
  stop (): void {
    this._subscription?.cancel()
    this._endSession()
  }

  /** Sets the platform's list of VMs. Call after every reading, even without a change: a takeover counts the readings. */
  setWorkers (vms: VmRecord[]): void {
    this._workers = vms
    this._session?.setWorkers(vms)
  }

  /** Sets the manifest in force. No session starts before the first call: without a manifest, running services would be stopped. */
  setManifest (manifest: Manifest): void {
    const isFirst = this._manifest === undefined
    this._manifest = manifest
    if (isFirst && this._subscription) this._followClaim()
    this._session?.setManifest(manifest)
  }

  /** Accepts a job. Resolves after the commit. */
  async submitJob ({ jobId, spec, digest }: PeerMethods['submitJob']['params']): Promise<JobAnswer> {
    const session = this._activeSession()
    if (!session) return this._notPlacerAnswer()
    const existing = session.ledger.jobs.get(jobId)
    if (existing) return this._answerForExisting(existing, digest)
    if (!JOB_ID_PATTERN.test(jobId)) return { kind: 'cannotRun', detail: 'a job id must be 1 to 200 letters, digits, dots, underscores or dashes, starting with a letter or digit' }
    const record = { jobId, spec, digest, acceptedAtMs: this._options.timers.wallClock() }
    const fit = this._checkFit(session, new Job({ plan: planOf(record), record }))
    if (fit.isErr) return { kind: 'cannotRun', detail: fit.error }
    const created = await session.create(record)
    const job = session.ledger.jobs.get(jobId)
    if (job) return this._answerForExisting(job, digest)
    if (created.isOk) return this._notPlacerAnswer()
    const idInUse = created.error instanceof CommitRefusedError && created.error.reason === COMMIT_REFUSALS.guard
    if (idInUse) return { kind: 'conflict', detail: `the job id ${jobId} is already in use` }
    return { kind: 'unavailable', detail: `the job could not be recorded: ${created.error.message}`, retryAfterMs: RETRY_AFTER_MS, mayHaveEffect: created.error.effect === EFFECTS.unknown }
  }

  async getJob ({ jobId }: { jobId: string }): Promise<JobAnswer> {
    const session = this._activeSession()
    if (!session) return this._notPlacerAnswer()
    return this._answerFor(session.ledger.jobs.get(jobId))
  }

  /** Cancels a job. A job that has ended keeps its state. */
  async cancelJob ({ jobId }: { jobId: string }): Promise<JobAnswer> {
    const session = this._activeSession()
    if (!session) return this._notPlacerAnswer()
    const job = session.ledger.jobs.get(jobId)
    if (!job?.record) return { kind: 'notFound' }
    if (job.ended && job.ended !== 'cancelled') return this._answerFor(job)
    const committed = await session.cancel(job)
    if (committed.isOk) return this._answerFor(job)
    return { kind: 'unavailable', detail: `the cancellation could not be recorded: ${committed.error.message}`, retryAfterMs: RETRY_AFTER_MS, mayHaveEffect: committed.error.effect === EFFECTS.unknown }
  }

  async listJobs (): Promise<PeerMethods['listJobs']['result']> {
    const session = this._activeSession()
    const jobs = [...session?.ledger.jobs.values() ?? []]
    const views = jobs.map(job => job.view(this._options.failureDomain)).filter(view => view !== undefined)
    return { jobs: views, active: session !== undefined }
  }

  /** Returns the state and history of a job. Undefined when this process does not place the job. */
  explain (jobId: string): JobExplanation | undefined {
    const job = this._activeSession()?.ledger.jobs.get(jobId)
    if (!job) return undefined
    const runs = [...job.runs.values()].slice(0, MAX_EXPLAINED_RUNS).map(({ index, worker, state }) => ({ index, worker, state }))
    const state = job.ended ?? (job.firstStartAtMs === undefined ? 'accepted' : 'running')
    return { jobId, state, waitingFor: job.ended ? job.reason : job.waitingFor, ...job.history.read(), runs }
  }

  /** Returns counts for reports. */
  figures (): Record<string, unknown> {
    const session = this._activeSession()
    if (!session) return { active: false }
    const { ledger, queue, links, epoch } = session
    const answering = [...links.values()].filter(link => link.reachable).length
    return {
      active: true,
      epoch,
      jobs: ledger.jobs.size,
      waitingJobs: queue.size,
      runs: ledger.runs.size,
      workers: links.size,
      answeringWorkers: answering,
      workersOnProbation: session.listWorkersOnProbation(),
      longRunning: [...ledger.jobs.values()].filter(job => job.isService).map(longRunningFigures),
      placement: this._options.placement.figures()
    }
  }

  private _followClaim (): void {
    const { authority } = this._options
    const epoch = authority.epochOf(this._claim)
    if (epoch === undefined) {
      if (!authority.heldClaims().includes(this._claim)) this._endSession()
      return
    }
    if (this._session?.epoch === epoch || this._manifest === undefined) return
    this._endSession()
    const sendEpoch = (): number | undefined => {
      const current = authority.epochOf(this._claim)
      return current === epoch ? current : undefined
    }
    const session = new PlacerSession({ ...this._options, epoch, sendEpoch, onSuperseded: () => this._onSuperseded(session) })
    this._session = session
    this._session.open(() => this._workers, () => this._manifest ?? EMPTY_MANIFEST)
  }

  private _onSuperseded (session: PlacerSession): void {
    if (this._session !== session) return
    this._options.log.event('warn', 'jobs.superseded', { step: 'jobStore.commit', epoch: session.epoch })
    this._endSession()
  }

  private _endSession (): void {
    this._session?.close()
    this._session = undefined
  }

  /** Returns the session when it has loaded all jobs and its epoch of the claim is held now. */
  private _activeSession (): PlacerSession | undefined {
    const epoch = this._options.authority.epochOf(this._claim)
    return this._session?.ready && this._session.epoch === epoch ? this._session : undefined
  }

  private _checkFit (session: PlacerSession, job: Job): Result<void, string> {
    const { teams } = this._manifest ?? EMPTY_MANIFEST
    if (!teams.some(team => team.name === job.plan.team)) {
      const knownTeams = teams.map(team => team.name).join(', ') || '(none)'
      return Result.err(`team ${job.plan.team} is not in the manifest; known teams: ${knownTeams}`)
    }
    const sizesKnown = [...session.links.values()].every(link => link.vm.capacity)
    if (session.links.size === 0 || !sizesKnown) return Result.ok(undefined)
    return session.canEverFit(job).mapErr(refusal => refusal.detail)
  }

  private _answerForExisting (job: Job, digest: string): JobAnswer {
    if (job.record?.digest === digest) return this._answerFor(job)
    return { kind: 'conflict', detail: `the job id ${job.jobId} is already in use by another job` }
  }

  private _answerFor (job: Job | undefined): JobAnswer {
    const view = job?.view(this._options.failureDomain)
    return view ? { kind: 'job', job: view } : { kind: 'notFound' }
  }

  private _notPlacerAnswer (): JobAnswer {
    const holder = this._options.authority.holderOf(this._claim) ?? 'unknown'
    return { kind: 'unavailable', detail: `this entry VM is not the active placer of failure domain ${this._options.failureDomain}; last known placer: ${holder}`, retryAfterMs: RETRY_AFTER_MS, mayHaveEffect: false }
  }
}

function longRunningFigures ({ jobId, total, runs }: Job): { jobId: string, replicas: number, placed: number } {
  return { jobId, replicas: total, placed: runs.size }
}
