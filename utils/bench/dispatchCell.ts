/**
 * A nearly full cell around a {@link Dispatcher}, for the bench of placement passes and the test of their work. Runs end only
 * when they are ended here, and answers of the eligibility service come at once.
 *
 * @module
 */

import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { addResources, NO_RESOURCES, workflowSchema, type Resources, type WorkflowStep } from 'pomelofold/protocol/workflows'
import type { CellConfig, QueueConfig, TeamConfig } from 'pomelofold/seams/workflowUpstreams'
import { SubmissionBudget } from 'pomelofold/teams/submissionBudget'
import { TeamShares } from 'pomelofold/teams/teamShares'
import { TeamUsage } from 'pomelofold/teams/teamUsage'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { CrashTracker } from 'pomelofold/workflows/crashTracker'
import { Dispatcher } from 'pomelofold/workflows/dispatcher'
import { EligibilityCache } from 'pomelofold/workflows/eligibilityCache'
import { EligibilityDaemons } from 'pomelofold/workflows/eligibilityDaemons'
import { WaitReporter } from 'pomelofold/workflows/waitReporter'
import type { WorkerFleet } from 'pomelofold/workflows/workerFleet'
import { WorkerSession } from 'pomelofold/workflows/workerSession'
import { WorkerSpeedEstimator } from 'pomelofold/workflows/workerSpeedEstimator'
import { WorkerSuspensions } from 'pomelofold/workflows/workerSuspensions'
import type { WorkflowRegistry } from 'pomelofold/workflows/workflowRegistry'
import { RUN_STATES, TASK_STATES, WorkflowRuntime, type Run, type Task } from 'pomelofold/workflows/workflowRuntime'

const DAEMON_COUNT = 97
const TASKS_PER_STEP = 10
/** Time between two passes, in milliseconds. */
const PASS_PERIOD_MS = 10
/** Share of workers that may run a step. */
const ELIGIBLE_SHARE = 0.35
const CAPACITY: Resources = { cpuMillis: 64_000, memoryMb: 262_144, accelerators: 0 }
const QUEUE: QueueConfig = {
  name: 'rebuild',
  service: 'hub',
  priority: 2,
  maxAttempts: 4,
  stretch: 2,
  targetMs: 1_200,
  eligibility: { baseMs: 420, perWorkerMs: 6, validMs: 2_500 }
}
const CONFIG: CellConfig = { version: 1, queues: new Map([[QUEUE.name, QUEUE]]), routes: [], maxBodyBytes: 262_144 }
const STEP: Omit<WorkflowStep, 'size'> = {
  tasks: TASKS_PER_STEP,
  estimateMs: 3_800,
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

/** Options of a {@link DispatchCell}. */
export interface DispatchCellOptions {
  workerCount: number
  /** Number of steps that wait. */
  stepCount: number
  seed: number
  /** Number of teams that submit; 0 for a configuration without teams. */
  teamCount?: number
}

/** Holds a number of waiting steps in a cell whose workers have no more room for them. */
export class DispatchCell {
  /** Number of starts so far. */
  starts = 0
  /** Each start, as task and worker, in order. */
  readonly startLog: string[] = []
  /** Number of lookups of whether a worker may run a step so far, which grows with the work of the passes. */
  eligibilityLookups = 0
  private readonly _timers = new ManualTimers()
  private readonly _random: SeededRandom
  private readonly _stepCount: number
  private readonly _teams: string[]
  private readonly _open = new Set<WorkflowRuntime>()
  private readonly _running: Run[] = []
  private readonly _dispatcher: Dispatcher
  private _workflows = 0

  constructor ({ workerCount, stepCount, seed, teamCount = 0 }: DispatchCellOptions) {
    const timers = this._timers
    const random = new SeededRandom(seed)
    this._random = random
    this._stepCount = stepCount
    this._teams = Array.from({ length: teamCount }, (_, index) => `team-${index}`)
    const teamUsage = new TeamUsage()
    const total = addResources(NO_RESOURCES, CAPACITY, workerCount)
    const teams = { byName: new Map(this._teams.map(newTeam)), nameByKeyHash: new Map<string, string>() }
    const config: CellConfig = teamCount === 0 ? CONFIG : { ...CONFIG, teams }
    const workers = Array.from({ length: workerCount }, (_, index) => newWorker(index, { timers, teamUsage }))
    const names = Array.from({ length: DAEMON_COUNT }, (_, index) => `d${index}`)
    const daemons = new EligibilityDaemons({ timers, daemons: () => names })
    const eligibility = new EligibilityCache({
      timers,
      log: SILENT_LOG,
      daemons,
      queryThroughDaemon: async (_daemon, _step, ids) => ({
        tickets: Object.fromEntries(ids.filter(() => random.next() < ELIGIBLE_SHARE).map(id => [id, 'ticket'])), validMs: 2_500
      }),
      onAnswer: () => {}
    })
    const isEligible = eligibility.isEligible.bind(eligibility)
    eligibility.isEligible = (step, incarnation) => {
      this.eligibilityLookups++
      return isEligible(step, incarnation)
    }
    this._dispatcher = new Dispatcher({
      epoch: 1,
      term: 1,
      timers,
      log: SILENT_LOG,
      config: () => config,
      registry: { open: this._open } as unknown as WorkflowRegistry,
      fleet: {
        sessions: new Map(workers.map(worker => [worker.incarnation, worker])), inheritedWorkersSettled: true
      } as unknown as WorkerFleet,
      eligibility,
      daemons,
      waits: new WaitReporter({ timers, log: SILENT_LOG }),
      speedEstimator: new WorkerSpeedEstimator(),
      suspensions: new WorkerSuspensions({ timers, log: SILENT_LOG }),
      crashes: new CrashTracker({
        timers,
        log: SILENT_LOG,
        workerCount: () => workers.length,
        onChanged: () => {},
        whenRecorded: async () => {},
        onRecorded: () => {},
        onGivenUp: () => {}
      }),
      teamUsage,
      shares: new TeamShares({ usage: teamUsage, teams: () => config.teams, capacity: () => total }),
      budget: new SubmissionBudget({ timers, log: SILENT_LOG, teams: () => config.teams }),
      predecessorActiveUntilMs: 0,
      newFromRevision: 0,
      start: (task, worker, attempt) => this._start(task, worker, attempt)
    })
  }

  /** Starts tasks until the workers have no more room for the waiting steps. */
  async fill (): Promise<void> {
    let before: number
    do {
      before = this.starts
      await this.prepare()
      this.pass()
    } while (this.starts > before || this.starts === 0)
  }

  /** Ends some runs, adds steps up to the number that waits, and advances the clock to the next pass. */
  async prepareAfterEnd (ends = 1): Promise<void> {
    for (let end = 0; end < ends; end++) {
      const [ended] = this._running.splice(this._random.int(this._running.length), 1)
      ended.session.removeRun(ended.name, ended.attempt)
    }
    await this.prepare()
  }

  /** Adds steps up to the number that waits, and advances the clock to the next pass. */
  async prepare (): Promise<void> {
    for (const workflow of this._open) if (workflow.steps(0)![0].tasks.every(task => task.run)) this._open.delete(workflow)
    while (this._open.size < this._stepCount) this._open.add(this._newWorkflow())
    await this._timers.advance(PASS_PERIOD_MS)
  }

  /** Runs one placement pass. */
  pass (): void {
    this._dispatcher.dispatch()
  }

  private _start (task: Task, session: WorkerSession, attempt: number): void {
    const nowMs = this._timers.now()
    const run: Run = {
      name: task.name,
      attempt,
      session,
      task,
      team: task.step.workflow.record.team,
      size: task.step.spec.size,
      state: RUN_STATES.running,
      adopted: false,
      startedMs: nowMs,
      startConfirmedMs: nowMs,
      startConfirmedBy: 'host',
      pendingStartMs: undefined,
      unansweredMs: undefined,
      startBroken: false,
      stopConfirmedMs: undefined,
      percent: 0,
      progressedClockMs: undefined,
      progressedMs: nowMs,
      reading: undefined,
      pacePercent: 100
    }
    session.addRun(run)
    Object.assign(task, { run, state: TASK_STATES.running, attempt })
    this._running.push(run)
    this.startLog.push(`${task.name}@${session.incarnation}`)
    this.starts++
  }

  private _newWorkflow (): WorkflowRuntime {
    const size = { cpuMillis: 6_000 + this._random.int(24_000), memoryMb: 60_000, accelerators: 0 }
    const id = (this._workflows++).toString(16).padStart(16, '0')
    const submittedAtMs = this._timers.wallClock()
    const team = this._teams.length > 0 ? this._teams[this._random.int(this._teams.length)] : undefined
    const record = workflowSchema.parse({ id, queue: QUEUE.name, payload: 'p', submittedAtMs, team, steps: [{ ...STEP, size }] })
    return new WorkflowRuntime({ record, revision: 1, addedMs: this._timers.now() })
  }
}

function newTeam (name: string): [string, TeamConfig] {
  return [name, { name, weight: 1, cap: NO_RESOURCES }]
}

function newWorker (index: number, { timers, teamUsage }: { timers: ManualTimers, teamUsage: TeamUsage }): WorkerSession {
  const entry = {
    id: `w${index}`,
    bornMs: 1,
    service: QUEUE.service,
    address: `w${index}`,
    failureDomain: 'a',
    draining: false,
    capacity: CAPACITY,
    labels: [`k${index % 3}`, `r${index % 20}`]
  }
  const options = { entry, timers, teamUsage, leaseEnds: { mayExtend: () => true } }
  const session = new WorkerSession(options as unknown as ConstructorParameters<typeof WorkerSession>[0])
  Object.assign(session, { reachable: true, synced: true })
  return session
}
