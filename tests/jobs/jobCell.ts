/**
 * A failure domain with entry VMs and workers in memory, for tests of jobs.
 *
 * @module
 */

import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { MemoryPlatformClient } from '@pomelofold/standins/memoryPlatformClient'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { jobSpecSchema, type JobSpec } from 'pomelofold/protocol/jobs'
import { manifestSchema, type Manifest } from 'pomelofold/protocol/manifest'
import type { JobAnswer } from 'pomelofold/protocol/peerMessages'
import type { VmRecord } from 'pomelofold/protocol/vms'
import { CLAIM_NAMES, type Authority } from 'pomelofold/seams/authority'
import { JobManager } from 'pomelofold/tasks/jobs/jobManager'
import { WorkerPlacement } from 'pomelofold/tasks/placement/workerPlacement'
import type { JobSettings } from 'pomelofold/tasks/jobs/jobSettings'
import { MemoryUpstream, MemoryWorker, type RunRecord } from './memoryWorkers.js'

const CLAIM = CLAIM_NAMES.placer('a')

/** An authority whose epoch the test sets. */
export class ManualAuthority implements Authority {
  epoch: number | undefined
  private readonly _listeners = new Set<() => void>()

  epochOf (claim: string): number | undefined { return claim === CLAIM ? this.epoch : undefined }
  heldClaims (): string[] { return this.epoch === undefined ? [] : [CLAIM] }
  holderOf (): string | undefined { return undefined }

  onChange (fn: () => void): { cancel: () => void } {
    this._listeners.add(fn)
    return { cancel: () => { this._listeners.delete(fn) } }
  }

  set (epoch: number | undefined): void {
    this.epoch = epoch
    for (const fn of this._listeners) fn()
  }
}

/** An entry VM with its job manager. */
export interface EntryVm { manager: JobManager, authority: ManualAuthority, platform: MemoryPlatformClient, placement: WorkerPlacement }

const TEAM_QUOTA = { cpus: 1e6, memoryMb: 1e9, accelerators: 1e3 }
export const MANIFEST: Manifest = manifestSchema.parse({ format: 1, teams: [{ name: 'growth', quota: TEAM_QUOTA }, { name: 'street', quota: TEAM_QUOTA }] })

/** Options of a job whose tasks are all equal. */
export type SpecOptions = Partial<JobSpec> & { count?: number, cpus?: number, runMs?: number }

/** Options of a {@link JobCell}. */
export interface JobCellOptions { workers?: number, cpus?: number, seed?: number, cfg?: Partial<JobSettings> }

/** Runs job managers against workers in memory, with manual time and faults set by the test. */
export class JobCell {
  readonly timers = new ManualTimers()
  readonly store = new KeyValueStore({ timers: this.timers })
  readonly upstream = new MemoryUpstream({ timers: this.timers })
  readonly workers: MemoryWorker[]
  /** All runs of all tasks, as the workers recorded them. */
  readonly runs: RunRecord[] = []
  vms: VmRecord[]
  /** Manifest of entry VMs that are added later. */
  manifest = MANIFEST
  private readonly _entryVms: EntryVm[] = []
  private readonly _random: SeededRandom
  private readonly _cfg: Partial<JobSettings>
  private _epoch = 0

  constructor ({ workers = 3, cpus = 4, seed = 1, cfg = {} }: JobCellOptions = {}) {
    this._random = new SeededRandom(seed)
    this._cfg = cfg
    const capacity = { cpus, memoryMb: 1e6, accelerators: 4 }
    this.vms = Array.from({ length: workers }, (_, i) => (
      { name: `worker-${i}`, kind: 'worker', state: 'live', failureDomain: 'a', rack: `rack-${i % 2}`, address: `worker-${i}:1`, capacity }))
    this.workers = this.vms.map(vm => new MemoryWorker(vm, { timers: this.timers, runs: this.runs }))
    for (const worker of this.workers) this.upstream.workers.set(worker.vm.address, worker)
    this.timers.every(1_000, () => this.readVmList())
  }

  /** Adds an entry VM that does not hold the claim. */
  addEntryVm (): EntryVm {
    const authority = new ManualAuthority()
    const platform = new MemoryPlatformClient({ store: this.store, timers: this.timers })
    const placement = new WorkerPlacement({ timers: this.timers })
    const { timers, upstream, _random: random, _cfg: cfg } = this
    const vm = `entry-${this._entryVms.length}`
    const manager = new JobManager({ timers, random, authority, platform, upstream, placement, failureDomain: 'a', vm, cfg })
    const entry = { manager, authority, platform, placement }
    this._entryVms.push(entry)
    manager.setManifest(this.manifest)
    manager.setWorkers(this.vms)
    manager.start()
    return entry
  }

  /** Adds an entry VM, gives it the claim, and waits until its session is active. */
  async addPlacer (): Promise<EntryVm> {
    const entry = this.addEntryVm()
    entry.authority.set(++this._epoch)
    await this.timers.advanceUntil(() => entry.manager.figures().active === true)
    return entry
  }

  /** Ends the process of an entry VM. */
  kill (entry: EntryVm): void {
    entry.manager.stop()
    entry.authority.epoch = undefined
  }

  /** Makes the claim of an entry VM lapse without a notification, as for a process that is suspended. */
  suspend (entry: EntryVm): void {
    entry.authority.epoch = undefined
  }

  /** Returns the worker with most tasks. */
  fullestWorker (): MemoryWorker {
    return this.workers.reduce((fullest, worker) => worker.tasks.size > fullest.tasks.size ? worker : fullest)
  }

  readVmList (): void {
    for (const entry of this._entryVms) entry.manager.setWorkers(this.vms)
  }

  /** Submits a job and waits for the answer. */
  async submit (entry: EntryVm, jobId: string, spec: SpecOptions = {}): Promise<JobAnswer> {
    return await this.wait(entry.manager.submitJob({ jobId, digest: 'd', spec: specOf(jobId, spec) }))
  }

  /** Advances time until `answer` has resolved. */
  async wait<T> (answer: Promise<T>): Promise<T> {
    let done = false
    answer.then(() => { done = true })
    await this.timers.advanceUntil(() => done)
    return await answer
  }

  /** Returns the state of the job, or the kind of answer when there is no job. */
  async stateOf (entry: EntryVm, jobId: string): Promise<string> {
    const answer = await entry.manager.getJob({ jobId })
    return answer.kind === 'job' ? answer.job.state : answer.kind
  }

  /** Advances time until the job has the state. */
  async untilState (entry: EntryVm, jobId: string, state: string, limitMs = 600_000): Promise<void> {
    let current = ''
    for (let waitedMs = 0; current !== state; waitedMs += 100) {
      if (waitedMs > limitMs) throw new Error(`${jobId} is ${current}, not ${state}, after ${limitMs} ms`)
      await this.timers.advance(100)
      current = await this.stateOf(entry, jobId)
    }
  }

  /**
   * Returns violations of the invariants: workers beyond their capacity, tasks that ran twice at the same time, and tasks
   * that were sent again after their finish was acknowledged. The latter is allowed for `gangs`, which restart as a whole.
   */
  violations ({ gangs = new Set<string>() } = {}): string[] {
    const overloaded = this.workers.filter(worker => worker.peakCpus > worker.vm.capacity!.cpus)
    const violations = overloaded.map(worker => `${worker.vm.name} exceeded its capacity: ${worker.peakCpus} cpus`)
    const byTask = new Map<string, RunRecord[]>()
    for (const run of this.runs) byTask.set(run.task, [...byTask.get(run.task) ?? [], run])
    for (const [task, runs] of byTask) {
      runs.slice(1).forEach((run, i) => {
        const before = runs[i]
        if (run.fromMs < before.toMs) violations.push(`${task} ran on ${before.worker} and ${run.worker} at the same time`)
        const done = before.end === 'finished' && run.sentMs > (before.acknowledgedMs ?? Infinity)
        if (done && !gangs.has(task.split(':')[0])) violations.push(`${task} ran again after its finish was acknowledged`)
      })
    }
    return violations
  }
}

/** Returns the specification of a job whose tasks are all equal. */
export function specOf (name: string, { count = 1, cpus = 1, runMs = 5_000, ...rest }: SpecOptions = {}): JobSpec {
  const tasks = [{ count, expectedMs: runMs, size: { cpus, memoryMb: 100, accelerators: 0 } }]
  return jobSpecSchema.parse({ name, kind: 'batch', team: 'growth', tasks, ...rest })
}
