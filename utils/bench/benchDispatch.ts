/**
 * Benchmark of placement passes of the workflow scheduler: the time of a pass after a run has ended, in a nearly full
 * cell, for several numbers of workers and of waiting steps.
 *
 * Usage: `npm run bench -- dispatch`
 *
 * @module
 */

import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { workflowSchema, type Resources, type WorkflowStep } from 'pomelofold/protocol/workflows'
import type { CellConfig, QueueConfig } from 'pomelofold/seams/workflowUpstreams'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'
import { Dispatcher } from 'pomelofold/workflows/dispatcher'
import { EligibilityCache } from 'pomelofold/workflows/eligibilityCache'
import { EligibilityDaemons } from 'pomelofold/workflows/eligibilityDaemons'
import { WaitReporter } from 'pomelofold/workflows/waitReporter'
import type { WorkerFleet } from 'pomelofold/workflows/workerFleet'
import { WorkerSession } from 'pomelofold/workflows/workerSession'
import { WorkerSpeedEstimator } from 'pomelofold/workflows/workerSpeedEstimator'
import { WorkerSuspensions } from 'pomelofold/workflows/workerSuspensions'
import type { WorkflowRegistry } from 'pomelofold/workflows/workflowRegistry'
import { RUN_STATES, TASK_STATES, WorkflowRuntime, type Run } from 'pomelofold/workflows/workflowRuntime'

const SEED = 1
const WORKER_COUNTS = [378, 1_000, 6_000]
const STEP_COUNTS = [200, 1_000, 5_000]
const DAEMON_COUNT = 97
const TASKS_PER_STEP = 10
const WARM_UP_PASSES = 50
const TIMED_PASSES = 300
/** Time between two passes, in milliseconds. */
const PASS_PERIOD_MS = 10
/** Share of workers that may run a step. */
const ELIGIBLE_SHARE = 0.35
const CAPACITY: Resources = { cpuMillis: 64_000, memoryMb: 262_144, accelerators: 0 }
const QUEUE: QueueConfig = {
  name: 'rebuild', service: 'hub', priority: 2, maxAttempts: 4, stretch: 2, targetMs: 1_200, eligibility: { baseMs: 420, perWorkerMs: 6, validMs: 2_500 }
}
const CONFIG: CellConfig = { version: 1, queues: new Map([[QUEUE.name, QUEUE]]), routes: [], maxBodyBytes: 262_144 }

/** Runs the benchmark and prints a table. */
export async function run (): Promise<void> {
  console.log('workers  waiting steps  pass p50 ms  p99 ms  starts a pass')
  for (const workers of WORKER_COUNTS) {
    for (const steps of STEP_COUNTS) console.log(await measure(workers, steps))
  }
}

async function measure (workerCount: number, stepCount: number): Promise<string> {
  const timers = new ManualTimers()
  const random = new SeededRandom(SEED)
  const sessions = new Map(Array.from({ length: workerCount }, (_, index) => {
    const worker = newWorker(index, timers)
    return [worker.incarnation, worker] as const
  }))
  const open = new Set<WorkflowRuntime>()
  const running: Run[] = []
  let starts = 0
  const daemons = new EligibilityDaemons({ timers, daemons: () => Array.from({ length: DAEMON_COUNT }, (_, index) => `d${index}`) })
  const eligibility = new EligibilityCache({
    timers,
    log: SILENT_LOG,
    daemons,
    queryThroughDaemon: async (_daemon, _step, names) => ({
      tickets: Object.fromEntries(names.filter(() => random.next() < ELIGIBLE_SHARE).map(name => [name, 'ticket'])), validMs: 2_500
    }),
    onAnswer: () => {}
  })
  const dispatcher = new Dispatcher({
    epoch: 1,
    term: 1,
    timers,
    config: () => CONFIG,
    registry: { open } as unknown as WorkflowRegistry,
    fleet: { sessions, inheritedWorkersSettled: true } as unknown as WorkerFleet,
    eligibility,
    daemons,
    waits: new WaitReporter({ timers, log: SILENT_LOG }),
    speedEstimator: new WorkerSpeedEstimator(),
    suspensions: new WorkerSuspensions({ timers, log: SILENT_LOG }),
    start: (task, session, attempt) => {
      const size = task.step.spec.size
      const started: Run = {
        name: task.name,
        attempt,
        session,
        task,
        size,
        state: RUN_STATES.running,
        startedMs: timers.now(),
        startConfirmedMs: timers.now(),
        startUnanswered: false,
        stopConfirmedMs: undefined,
        percent: 0,
        progressedMs: timers.now(),
        reading: undefined,
        pacePercent: 100
      }
      session.addRun(started)
      Object.assign(task, { run: started, state: TASK_STATES.running, attempt })
      running.push(started)
      starts++
    }
  })
  const addStep = (): void => { open.add(newWorkflow(open.size + running.length, timers, random)) }
  // Fills the cell.
  for (let passes = 0, before = -1; before !== starts || passes < 3; passes++) {
    before = starts
    while (open.size < stepCount + Math.ceil(workerCount / 2)) addStep()
    dispatcher.dispatch()
    for (const workflow of open) if (workflow.steps(0)![0].tasks.every(task => task.run)) open.delete(workflow)
    await timers.advance(PASS_PERIOD_MS)
  }
  while (open.size > stepCount) open.delete(open.values().next().value!)
  const times: number[] = []
  starts = 0
  for (let pass = 0; pass < WARM_UP_PASSES + TIMED_PASSES; pass++) {
    while (open.size < stepCount) addStep()
    const ended = running.splice(random.int(running.length), 1)[0]
    ended.session.removeRun(ended.name, ended.attempt)
    await timers.advance(PASS_PERIOD_MS)
    const startMs = performance.now()
    dispatcher.dispatch()
    if (pass >= WARM_UP_PASSES) times.push(performance.now() - startMs)
    for (const workflow of open) if (workflow.steps(0)![0].tasks.every(task => task.run)) open.delete(workflow)
  }
  times.sort((a, b) => a - b)
  const at = (share: number): string => times[Math.floor(share * times.length)].toFixed(1)
  const columns = [workerCount, stepCount, at(0.5), at(0.99), (starts / (WARM_UP_PASSES + TIMED_PASSES)).toFixed(1)]
  return columns.map((value, index) => String(value).padStart([7, 14, 12, 7, 14][index])).join(' ')
}

function newWorker (index: number, timers: ManualTimers): WorkerSession {
  const entry = {
    id: `w${index}`, bornMs: 1, service: QUEUE.service, address: `w${index}`, failureDomain: 'a', draining: false, capacity: CAPACITY, labels: [`k${index % 3}`, `r${index % 20}`]
  }
  const session = new WorkerSession({ entry, timers } as unknown as ConstructorParameters<typeof WorkerSession>[0])
  Object.assign(session, { reachable: true, synced: true })
  return session
}

function newWorkflow (index: number, timers: ManualTimers, random: SeededRandom): WorkflowRuntime {
  const step: WorkflowStep = {
    tasks: TASKS_PER_STEP,
    size: { cpuMillis: 6_000 + random.int(24_000), memoryMb: 60_000, accelerators: 0 },
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
  const id = `${index.toString(16)}${random.hex(8)}`.slice(-16).padStart(16, '0')
  const record = workflowSchema.parse({ id, queue: QUEUE.name, payload: 'p', submittedAtMs: timers.wallClock(), steps: [step] })
  return new WorkflowRuntime({ record, revision: 1, addedMs: timers.now() })
}
