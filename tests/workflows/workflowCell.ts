/**
 * A cell of daemons and workers in memory under a manual clock.
 *
 * @module
 */

import Result from 'true-myth/result'
import { KeyValueStore } from '@pomelofold/standins/keyValueStore'
import { LeasedWorker, LeasedWorkerClient, type RunRecord } from '@pomelofold/standins/leasedWorkers'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { MemoryPlatform } from '@pomelofold/standins/memoryPlatform'
import { PeerNetwork } from '@pomelofold/standins/memoryPeers'
import { ProcessTimers } from '@pomelofold/standins/processTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { workflowSchema, type Workflow, type WorkflowStep } from 'pomelofold/protocol/workflows'
import type { CellConfig, QueueConfig } from 'pomelofold/seams/workflowUpstreams'
import { WorkflowDaemon } from 'pomelofold/server/workflowDaemon'
import type { EventFields, EventLog } from 'pomelofold/utils/eventLog'
import { runViolations } from './runViolations.js'

/** A daemon with its own clock and its own paths. */
export interface TestDaemon {
  vm: string
  daemon: WorkflowDaemon
  platform: MemoryPlatform
  client: LeasedWorkerClient
  process: ProcessTimers
}

/** Options of a {@link WorkflowCell}. */
export interface WorkflowCellOptions {
  daemons?: number
  workers?: number
  cpuMillis?: number
  seed?: number
  runMs?: (task: string) => number
  queue?: Partial<QueueConfig>
}

const QUEUE: QueueConfig = { name: 'checks', service: 'leafline', priority: 0, maxAttempts: 3, stretch: 2, targetMs: 250 }

/** The cell. */
export class WorkflowCell {
  readonly timers = new ManualTimers()
  readonly store = new KeyValueStore({ timers: this.timers })
  readonly records: RunRecord[] = []
  readonly workers: LeasedWorker[]
  readonly daemons: TestDaemon[] = []
  /** Events of all daemons. */
  readonly events: Array<{ vm: string, atMs: number, name: string, fields: EventFields }> = []
  readonly config: CellConfig
  /** Failure domains whose daemons reach no peer outside. */
  readonly cutDomains = new Set<string>()
  private readonly _newWorker: (index: number) => LeasedWorker
  private readonly _random: SeededRandom
  private readonly _network = new PeerNetwork({
    timers: this.timers,
    delayMs: () => 1,
    isCut: (from, to) => from !== to && (this.cutDomains.has(from) || this.cutDomains.has(to))
  })

  private _submitted = 0

  constructor ({ daemons = 3, workers = 3, cpuMillis = 8_000, seed = 1, runMs = () => 300, queue = {} }: WorkflowCellOptions = {}) {
    this._random = new SeededRandom(seed)
    this.config = {
      version: 1,
      queues: new Map([['checks', { ...QUEUE, ...queue }]]),
      routes: [{ queue: 'checks', host: 'h', prefix: '/checks/' }],
      maxBodyBytes: 262_144
    }
    this._newWorker = index => new LeasedWorker({
      id: `w${index}`,
      timers: this.timers,
      records: this.records,
      runMs,
      capacity: {
        cpuMillis, memoryMb: 64_000, accelerators: 0
      },
      labels: ['a', `r${index % 2}`]
    })
    this.workers = Array.from({ length: workers }, (_, index) => this._newWorker(index))
    for (let index = 0; index < daemons; index++) this.startDaemon(`entry-${index}`)
  }

  /** Starts a daemon, in place of an earlier process of the same VM if there was one. */
  startDaemon (vm: string, { size = 1, failureDomain = 'a' }: { size?: number, failureDomain?: string } = {}): TestDaemon {
    const process = new ProcessTimers({ timers: this.timers })
    const platform = new MemoryPlatform({ store: this.store, timers: process })
    const client = new LeasedWorkerClient({ timers: process, workers: () => this.workers })
    const incarnation = this._random.hex(4)
    const self = { vm, failureDomain, incarnation }
    const log: EventLog = { event: (_level, name, fields = {}) => { this.events.push({ vm, atMs: this.timers.now(), name, fields }) } }
    let gone = false
    const daemon = new WorkflowDaemon({
      ...self,
      peerAddress: vm,
      size,
      platform,
      directory: client,
      workers: client,
      eligibility: {
        ask: async (_step, names) => Result.ok({
          tickets: Object.fromEntries(names.map(name => [name, 'ticket'])), validMs: 2_000
        })
      },
      transport: () => this._network.transport(self, process, () => gone),
      timers: process,
      random: this._random,
      log,
      bounds: { maxLeaseMs: 6_000, retentionMs: 120_000 },
      config: () => this.config
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

  /** Crashes a worker; its next life comes under the same id at once, and is listed after a while. */
  restartWorker (id: string, { listedAfterMs = 0 }: { listedAfterMs?: number } = {}): void {
    const index = this.workers.findIndex(worker => worker.entry.id === id)
    const bornMs = this.workers[index].entry.bornMs + 1
    this.workers[index].crash()
    this.workers[index] = this._newWorker(index)
    Object.assign(this.workers[index].entry, { bornMs })
    const { faults } = this.workers[index]
    faults.unlisted = listedAfterMs > 0
    this.timers.after(listedAfterMs, () => { faults.unlisted = false })
  }

  /** The daemon that schedules. */
  get leader (): TestDaemon | undefined {
    return this.daemons.find(({ daemon, process }) => process.isRunning() && daemon.figures().leading)
  }

  /** Waits until a daemon schedules and all workers have answered it. */
  async waitUntilReady (): Promise<TestDaemon> {
    const present = this.workers.filter(worker => !worker.faults.cut).length
    await this.timers.until(() => (this.leader?.daemon.figures().term?.reachableWorkers ?? 0) >= present)
    return this.leader!
  }

  /** A workflow of one step, or of the given ones. */
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

  /** Submits at a daemon, and resolves with the outcome when it is known. */
  async submit (workflow: Workflow, at = this.daemons[0]): Promise<string> {
    const outcome = at.daemon.service.submit(workflow)
    return this.advanceUntilSettled(outcome)
  }

  /** Lets time pass until the promise settles. */
  async advanceUntilSettled<T> (promise: Promise<T>): Promise<T> {
    let settled = false
    promise.then(() => { settled = true })
    await this.timers.until(() => settled)
    return promise
  }

  /** Waits until the workflow has this state at a daemon. */
  async waitForState (id: string, state: string, { limitMs = 60_000, at = this.daemons[0] } = {}): Promise<void> {
    const endMs = this.timers.now() + limitMs
    for (;;) {
      const answer = await this.advanceUntilSettled(at.daemon.service.state(id))
      if (typeof answer !== 'string' && answer.state === state) return
      if (this.timers.now() > endMs) throw new Error(`${id} is ${JSON.stringify(answer)}, not ${state}, after ${limitMs} ms`)
      await this.timers.advance(20)
    }
  }

  /** Runs of a task, in the order of their starts. */
  runsOf (task: string): RunRecord[] {
    return this.records.filter(record => record.task === task)
  }

  /** What the records of the workers show that must not be. */
  violations (): string[] {
    return runViolations(this.records, this.workers)
  }
}

/** A step of two small tasks that asks for nothing else. */
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
