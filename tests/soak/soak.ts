/**
 * One soak: callers, series of overlapping faults by a seed, and the promises checked by what callers and
 * workers saw.
 *
 * @module
 */

import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { Callers, pause } from './callers.js'
import { LINK_FAULTS } from './faultProxy.js'
import { SoakCell, type SoakDaemon, type SoakWorker } from './soakCell.js'
import { runViolations } from '../workflows/runViolations.js'

/** Longest time until the cell serves after the last fault, in milliseconds. */
const RECOVERY_MS = 40_000
/** Longest pause between the starts of two faults, in milliseconds. */
const MAX_GAP_MS = 1_500
/** Longest fault, in milliseconds. */
const MAX_FAULT_MS = 4_000
const CALLER_COUNT = 4

/** Options of {@link soak}. */
export interface SoakOptions {
  seed: number
  /** Time in which faults begin, in milliseconds. */
  faultsMs: number
  daemons?: number
  workers?: number
  /** Directory for the daemons' logs and settings. */
  dir: string
  /** Three bytes of a loopback network that nothing else uses. */
  networkPrefix: string
}

/** What a soak found. */
export interface SoakReport {
  seed: number
  violations: string[]
  faults: string[]
  jobs: number
  accepted: number
  runs: number
  counts: Record<string, number>
}

interface FaultContext { cell: SoakCell, random: SeededRandom }
interface PlannedFault { name: string, afterMs: number }
type Fault = (stage: FaultContext) => Promise<void>

const HARMFUL_LINK_FAULTS = [LINK_FAULTS.delayed, LINK_FAULTS.silent, LINK_FAULTS.oneWay, LINK_FAULTS.reset]

function waitFaultDuration (random: SeededRandom): Promise<void> {
  return pause(200 + random.int(MAX_FAULT_MS))
}

function anyDaemon ({ cell, random }: FaultContext): SoakDaemon {
  return cell.daemons[random.int(cell.daemons.length)]
}

function anyWorker ({ cell, random }: FaultContext): SoakWorker {
  return cell.workers[random.int(cell.workers.length)]
}

async function restart ({ cell, random }: FaultContext, daemons: SoakDaemon[], signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
  const ending = daemons.filter(daemon => daemon.process && (daemon.hasLogged || signal === 'SIGKILL'))
  for (const daemon of ending) cell.signal(daemon, signal)
  await Promise.all(ending.map(async daemon => { while (daemon.process) await pause(20) }))
  await pause(random.int(1_000))
  for (const daemon of daemons) if (!daemon.process) cell.startDaemon(daemon)
}

/** Faults by name. Each ends what it has begun. */
const FAULTS: Record<string, Fault> = {
  storeLink: async stage => {
    const { link } = anyDaemon(stage)
    link.setFault(HARMFUL_LINK_FAULTS[stage.random.int(HARMFUL_LINK_FAULTS.length)])
    await waitFaultDuration(stage.random)
    link.setFault(LINK_FAULTS.none)
  },
  workerLink: async stage => {
    const { link } = anyWorker(stage)
    link.setFault(HARMFUL_LINK_FAULTS[stage.random.int(HARMFUL_LINK_FAULTS.length)])
    await waitFaultDuration(stage.random)
    link.setFault(LINK_FAULTS.none)
  },
  kill: stage => restart(stage, [anyDaemon(stage)], 'SIGKILL'),
  killAll: stage => restart(stage, stage.cell.daemons, 'SIGKILL'),
  term: stage => restart(stage, [anyDaemon(stage)], 'SIGTERM'),
  termInTurn: async stage => { for (const daemon of stage.cell.daemons) await restart(stage, [daemon], 'SIGTERM') },
  pause: async stage => {
    const daemon = anyDaemon(stage)
    stage.cell.signal(daemon, 'SIGSTOP')
    await waitFaultDuration(stage.random)
    stage.cell.signal(daemon, 'SIGCONT')
  },
  hangup: async stage => { for (const daemon of stage.cell.daemons) stage.cell.signal(daemon, 'SIGHUP') },
  storeDown: async ({ cell, random }) => {
    cell.store.fault = 'down'
    await waitFaultDuration(random)
    cell.store.fault = 'none'
  },
  storeLosing: async ({ cell, random }) => {
    cell.store.fault = 'losing'
    await waitFaultDuration(random)
    cell.store.fault = 'none'
  },
  workerCrash: async stage => {
    const worker = anyWorker(stage)
    stage.cell.crashWorker(worker)
    await waitFaultDuration(stage.random)
    stage.cell.startWorker(worker)
  },
  workerDrains: async stage => {
    const { incarnation } = anyWorker(stage)
    if (!incarnation) return
    incarnation.faults.draining = true
    await waitFaultDuration(stage.random)
    incarnation.faults.draining = false
  },
  configuration: async ({ cell }) => cell.configure()
}

/** Runs one soak. */
export async function soak ({ seed, faultsMs, daemons = 4, workers = 5, dir, networkPrefix }: SoakOptions): Promise<SoakReport> {
  const planned = planFaults(seed, faultsMs)
  const cell = new SoakCell({ dir, networkPrefix })
  const callers = new Callers({ cell, random: new SeededRandom(seed) })
  try {
    await cell.start({ daemons, workers })
    for (let caller = 0; caller < CALLER_COUNT; caller++) callers.run()
    await injectFaults({ cell, random: new SeededRandom(seed + 1_000_000) }, planned)
    callers.stop()
    const unfinished = await waitForRecovery(cell, callers)
    const ran = runViolations(cell.records, cell.incarnations)
    const violations = [...ran, ...callers.violations, ...cell.violations, ...unfinished, ...falseStates(cell, callers)]
    const accepted = callers.jobs.filter(job => job.accepted).length
    return {
      seed,
      violations,
      faults: planned.map(({ name }) => name),
      jobs: callers.jobs.length,
      accepted,
      runs: cell.records.length,
      counts: callers.counts
    }
  } finally {
    callers.close()
    await cell.close()
  }
}

/** Names of the faults of a seed, with the pause before each. */
function planFaults (seed: number, faultsMs: number): PlannedFault[] {
  const random = new SeededRandom(seed)
  const names = Object.keys(FAULTS)
  const planned: PlannedFault[] = []
  for (let atMs = 0; atMs < faultsMs;) {
    const afterMs = 100 + random.int(MAX_GAP_MS)
    planned.push({ name: names[random.int(names.length)], afterMs })
    atMs += afterMs
  }
  return planned
}

/** Starts the faults one after the other, and waits until all are over. */
async function injectFaults (stage: FaultContext, planned: PlannedFault[]): Promise<void> {
  const running: Array<Promise<void>> = []
  for (const { name, afterMs } of planned) {
    await pause(afterMs)
    running.push(FAULTS[name](stage))
  }
  await Promise.all(running)
  // A daemon that was paused while it was asked to stop ends now; start it again.
  for (const daemon of stage.cell.daemons) stage.cell.signal(daemon, 'SIGCONT')
  await pause(100)
  for (const daemon of stage.cell.daemons) if (!daemon.process) stage.cell.startDaemon(daemon)
}

/** Waits until every accepted job has ended, and names those that have not. */
async function waitForRecovery (cell: SoakCell, callers: Callers): Promise<string[]> {
  const endMs = performance.now() + RECOVERY_MS
  for (;;) {
    const open = callers.jobs.filter(job => job.accepted && !callers.hasFinalState(job))
    if (open.length === 0) return []
    if (performance.now() > endMs) return open.map(job => `${job.id} is ${job.state} ${RECOVERY_MS / 1_000} s after the last fault`)
    for (const job of open) await callers.queryState(job)
    await pause(200)
  }
}

/** Refused jobs that ran, and ends that are not so. */
function falseStates (cell: SoakCell, callers: Callers): string[] {
  const doneTasks = new Set<string>()
  const started = new Set<string>()
  for (const { task, how } of cell.records) {
    const id = task.slice(0, 16)
    started.add(id)
    if (how === 'done') doneTasks.add(task)
  }
  const found: string[] = []
  for (const job of callers.jobs) {
    if (!job.accepted && job.refusedOnly && started.has(job.id)) found.push(`${job.id} was refused and ran`)
    if (job.state === 'failed') found.push(`${job.id} failed, though no task failed`)
    if (job.state === 'cancelled' && !job.cancelled) found.push(`${job.id} is cancelled, and nobody cancelled it`)
    if (job.state !== 'completed') continue
    const steps: Array<{ task_count: number }> = JSON.parse(job.body).steps
    const names = steps.flatMap((step, index) => Array.from({ length: step.task_count }, (_, task) => `${job.id}.0.${index}.${task}`))
    const missing = names.some(name => !doneTasks.has(name))
    if (missing) found.push(`${job.id} is completed, and a task of it has not ended so`)
  }
  return found
}
