/**
 * An in-memory cell of daemons and workers, driven by a manual clock.
 *
 * @module
 */

import Result from 'true-myth/result'
import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import { LeasedWorker, LeasedWorkerClient, type RunRecord } from '@pomelofold/standins/leasedWorker'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { MemoryPlatformClient } from '@pomelofold/standins/memoryPlatformClient'
import { PeerNetwork } from '@pomelofold/standins/peerNetwork'
import { ProcessTimers } from '@pomelofold/standins/processTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { workflowSchema, type Workflow, type WorkflowStep } from 'pomelofold/protocol/workflows'
import type { CellConfig, EligibilityClient, QueueConfig, WorkerEntry } from 'pomelofold/seams/workflowUpstreams'
import type { Timers } from 'pomelofold/seams/timers'
import { WorkflowDaemon } from 'pomelofold/server/workflowDaemon'
import type { ActiveConfiguration } from 'pomelofold/workflows/activeConfiguration'
import type { EventFields, EventLog, LogLevel } from 'pomelofold/utils/eventLog'
import { runViolations } from './runViolations.js'

/** A daemon with the timers of its process and its own connections to the store and the workers. */
export interface TestDaemon {
  vm: string
  daemon: WorkflowDaemon
  platform: MemoryPlatformClient
  client: LeasedWorkerClient
  process: ProcessTimers
}

/** Options of a {@link WorkflowCell}. */
export interface WorkflowCellOptions {
  daemons?: number
  workers?: number
  cpuMillis?: number
  seed?: number
  runMs?: (task: string, worker: string) => number
  queue?: Partial<QueueConfig>
  /** Maximum length of a worker's lease, in milliseconds. */
  maxLeaseMs?: number
  /** Number of tasks for which a scheduler has room. */
  maxLoadedTasks?: number
  /** Time after a start at which the task crashes its worker, in milliseconds; 0 for before the answer, undefined for never. */
  crashAfterMs?: (task: string) => number | undefined
  /** Creates the configuration of a daemon whose callers need keys. */
  configuration?: (timers: Timers, log: EventLog) => ActiveConfiguration
  /** Creates the eligibility client of a daemon. By default every worker may run every step, and answers come at once. */
  eligibility?: (timers: Timers) => EligibilityClient
}

const EVERY_WORKER_ELIGIBLE: EligibilityClient = {
  query: async (_step, names) => Result.ok({ tickets: Object.fromEntries(names.map(name => [name, 'ticket'])), validMs: 2_000 })
}

const QUEUE: QueueConfig = { name: 'checks', service: 'leafline', priority: 0, maxAttempts: 3, stretch: 2, targetMs: 250 }

/** Default maximum length of a worker's lease, in milliseconds. */
const MAX_LEASE_MS = 6_000

/** Time from a crash of a worker to the start of its successor, in milliseconds. */
const CRASH_DOWNTIME_MS = 3_000

/** Runs daemons and workers against one in-memory store, and records all events and runs. */
export class WorkflowCell {
  readonly timers = new ManualTimers()
  readonly store = new KeyValueStore({ timers: this.timers })
  readonly records: RunRecord[] = []
  /** Crashes by `crashWorker`, in order of time. */
  readonly crashes: Array<{ worker: string, atMs: number }> = []
  readonly workers: LeasedWorker[]
  readonly daemons: TestDaemon[] = []
  /** Events of all daemons. */
  readonly events: Array<{ vm: string, atMs: number, level: LogLevel, name: string, fields: EventFields }> = []
  /** Times for which long-running tasks were down until a start, in milliseconds, as the schedulers measured them. */
  readonly downtimesMs: number[] = []
  readonly config: CellConfig
  /** Entries that another writer has added to the directory. */
  readonly otherEntries: WorkerEntry[] = []
  /** Failure domains whose daemons cannot reach peers in other domains. */
  readonly cutDomains = new Set<string>()
  /** Failure domains of which a device refuses connections from and to others. */
  readonly refusingDomains = new Set<string>()
  private readonly _newWorker: (index: number, options?: { id?: string, clockStartMs?: number }) => LeasedWorker
  private readonly _newEligibilityClient: (timers: Timers) => EligibilityClient
  private readonly _newConfiguration: WorkflowCellOptions['configuration']
  private readonly _maxLeaseMs: number
  private readonly _maxLoadedTasks: number | undefined
  private readonly _random: SeededRandom
  private readonly _network = new PeerNetwork({
    timers: this.timers,
    delayMs: () => 1,
    isPartitioned: (from, to) => from !== to && (this.cutDomains.has(from) || this.cutDomains.has(to)),
    isRefused: (from, to) => from !== to && (this.refusingDomains.has(from) || this.refusingDomains.has(to))
  })

  private _submitted = 0

  constructor ({
    daemons = 3, workers = 3, cpuMillis = 8_000, seed = 1, runMs = () => 300, queue = {}, crashAfterMs = () => undefined,
    eligibility = () => EVERY_WORKER_ELIGIBLE, configuration, maxLeaseMs = MAX_LEASE_MS, maxLoadedTasks
  }: WorkflowCellOptions = {}) {
    this._newEligibilityClient = eligibility
    this._newConfiguration = configuration
    this._maxLeaseMs = maxLeaseMs
    this._maxLoadedTasks = maxLoadedTasks
    this._random = new SeededRandom(seed)
    this.config = {
      version: 1,
      queues: new Map([['checks', { ...QUEUE, ...queue }]]),
      routes: [{ queue: 'checks', host: 'h', prefix: '/checks/' }],
      maxBodyBytes: 262_144
    }
    this._newWorker = (index, { id, clockStartMs } = {}) => new LeasedWorker({
      id: id ?? `w${index}`,
      address: `w${index}`,
      onStarted: ({ task }, worker) => {
        const afterMs = crashAfterMs(task)
        if (afterMs === 0) this.crashWorker(worker)
        else if (afterMs !== undefined) this.timers.after(afterMs, () => { if (worker.runs.has(task)) this.crashWorker(worker) })
      },
      timers: this.timers,
      records: this.records,
      runMs: task => runMs(task, `w${index}`),
      capacity: {
        cpuMillis, memoryMb: 64_000, accelerators: 0
      },
      labels: ['a', `r${index % 2}`],
      clockStartMs,
      maxLeaseMs
    })
    this.workers = Array.from({ length: workers }, (_, index) => this._newWorker(index))
    for (let index = 0; index < daemons; index++) this.startDaemon(`entry-${index}`)
  }

  /** Starts a daemon. It replaces an earlier process of the same VM, if any. */
  startDaemon (vm: string, { size = 1, failureDomain = 'a' }: { size?: number, failureDomain?: string } = {}): TestDaemon {
    const process = new ProcessTimers({ timers: this.timers })
    const platform = new MemoryPlatformClient({ store: this.store, timers: process })
    const client = new LeasedWorkerClient({
      timers: process, networkTimers: this.timers, workers: () => this.workers, otherEntries: () => this.otherEntries
    })
    const incarnation = this._random.hex(4)
    const self = { vm, failureDomain, incarnation }
    const log: EventLog = {
      event: (level, name, fields = {}) => { this.events.push({ vm, atMs: this.timers.now(), level, name, fields }) }
    }
    let gone = false
    const daemon = new WorkflowDaemon({
      ...self,
      peerAddress: vm,
      size,
      platform,
      directory: client,
      workers: client,
      eligibility: this._newEligibilityClient(process),
      transport: () => this._network.transport(self, process, () => gone),
      timers: process,
      random: this._random,
      log,
      timeLimits: { maxLeaseMs: this._maxLeaseMs, retentionMs: 120_000 },
      maxLoadedTasks: this._maxLoadedTasks,
      config: () => this.config,
      configuration: this._newConfiguration?.(process, log),
      onLongRunningRestart: downMs => { this.downtimesMs.push(downMs) }
    })
    const entry = { vm, daemon, platform, client, process }
    const kill = process.kill.bind(process)
    process.kill = () => { gone = true; kill() }
    const at = this.daemons.findIndex(other => other.vm === vm)
    if (at >= 0) this.daemons[at] = entry
    else this.daemons.push(entry)
    daemon.start()
    return entry
  }

  /**
   * Crashes a worker. Its next incarnation starts at once with the same id and a new clock, is listed after
   * `listedAfterMs`, and can be reached after `reachableAfterMs`; orders that are on their way arrive nevertheless.
   */
  restartWorker (id: string, { listedAfterMs = 0, reachableAfterMs = 0 } = {}): void {
    const index = this.workers.findIndex(worker => worker.entry.id === id)
    const bornMs = this.workers[index].entry.bornMs + 1
    this.workers[index].crash()
    this.workers[index] = this._newWorker(index, { clockStartMs: this.timers.now() })
    Object.assign(this.workers[index].entry, { bornMs })
    const { faults } = this.workers[index]
    faults.unlisted = listedAfterMs > 0
    faults.unreachable = reachableAfterMs > 0
    if (listedAfterMs > 0) this.timers.after(listedAfterMs, () => { faults.unlisted = false })
    if (reachableAfterMs > 0) this.timers.after(reachableAfterMs, () => { faults.unreachable = false })
  }

  /** Starts a worker on a new VM, with a new name and a new clock. */
  addWorker (): LeasedWorker {
    const worker = this._newWorker(this.workers.length, { clockStartMs: this.timers.now() })
    this.workers.push(worker)
    return worker
  }

  /** Crashes a worker: it refuses connections, and after `CRASH_DOWNTIME_MS` a worker with a new id starts at its address. */
  crashWorker (worker: LeasedWorker): void {
    const index = this.workers.indexOf(worker)
    worker.faults.refusesConnections = true
    worker.crash()
    this.crashes.push({ worker: worker.entry.id, atMs: this.timers.now() })
    const { bornMs } = worker.entry
    this.timers.after(CRASH_DOWNTIME_MS, () => {
      this.workers[index] = this._newWorker(index, { id: `w${index}-${bornMs + 1}`, clockStartMs: this.timers.now() })
      Object.assign(this.workers[index].entry, { bornMs: bornMs + 1 })
    })
  }

  /** The running daemon that schedules. */
  get leader (): TestDaemon | undefined {
    return this.daemons.find(({ daemon, process }) => process.isRunning() && daemon.figures().leading)
  }

  /** Advances the clock until a daemon schedules and all workers that are not cut off have answered it. */
  async waitUntilReady (): Promise<TestDaemon> {
    const present = this.workers.filter(worker => !worker.faults.unreachable).length
    await this.timers.advanceUntil(() => (this.leader?.daemon.figures().term?.reachableWorkers ?? 0) >= present)
    return this.leader!
  }

  /** A new workflow of one default step, or of the given steps. */
  workflow (steps: Array<Partial<WorkflowStep>> = [{}], extra: Partial<Workflow> = {}): Workflow {
    this._submitted++
    return workflowSchema.parse({
      id: this._submitted.toString(16).padStart(16, '0'),
      queue: 'checks',
      payload: 'text',
      submittedAtMs: this.timers.wallClock(),
      steps: steps.map(step => ({ ...STEP, ...step })),
      ...extra
    })
  }

  /** Submits a workflow to a daemon and advances the clock until the outcome is known. */
  async submit (workflow: Workflow, at = this.daemons[0]): Promise<string> {
    const outcome = at.daemon.service.submit(workflow)
    return this.advanceUntilSettled(outcome)
  }

  /** Advances the clock until the promise settles. */
  async advanceUntilSettled<T> (promise: Promise<T>): Promise<T> {
    let settled = false
    promise.then(() => { settled = true })
    await this.timers.advanceUntil(() => settled)
    return promise
  }

  /** Advances the clock until a daemon reports this state of the workflow. */
  async waitForState (id: string, state: string, { limitMs = 60_000, at = this.daemons[0] } = {}): Promise<void> {
    const endMs = this.timers.now() + limitMs
    for (;;) {
      const answer = await this.advanceUntilSettled(at.daemon.service.state(id))
      if (typeof answer !== 'string' && answer.state === state) return
      if (this.timers.now() > endMs) throw new Error(`state of ${id} is ${JSON.stringify(answer)} instead of ${state} after ${limitMs} ms`)
      await this.timers.advance(20)
    }
  }

  /** Runs of a task, in order of their starts. */
  runsOf (task: string): RunRecord[] {
    return this.records.filter(record => record.task === task)
  }

  /** Maximum number of runs that one worker had at the same time. */
  peakRuns (): number {
    return Math.max(...this.records.map(({ worker, startMs }) =>
      this.records.filter(other => other.worker === worker && other.startMs <= startMs && other.endMs > startMs).length))
  }

  /** Violations of the rules for runs that the workers' records show. */
  violations (): string[] {
    return runViolations(this.records, this.workers)
  }
}

/** A step of two small tasks without optional features. */
export const STEP: WorkflowStep = {
  tasks: 2,
  size: { cpuMillis: 1_000, memoryMb: 100, accelerators: 0 },
  estimateMs: 300,
  after: [],
  checkpointing: false,
  gang: false,
  sameRack: false,
  requiredLabel: '',
  dataRack: '',
  maxPerWorker: 0,
  speculative: false,
  longRunning: false,
  image: '',
  latencyTargetMs: 0,
  usesSpareCpu: false,
  maxUnavailable: 0
}
