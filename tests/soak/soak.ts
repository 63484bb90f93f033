/**
 * One soak: callers submit jobs during a seeded series of overlapping faults, and the guarantees are checked against
 * the records of callers and workers.
 *
 * @module
 */

import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { Callers, pause } from './callers.js'
import { LINK_FAULTS } from './faultProxy.js'
import { SoakCell, type SoakDaemon, type SoakWorker } from './soakCell.js'
import { runViolations } from '../workflows/runViolations.js'

/**
 * Longest time until a job is accepted before the first fault, until a new job is accepted after the last one, and until every
 * accepted job has ended after that, in milliseconds.
 */
const RECOVERY_MS = 40_000
/** Longest random pause between the starts of two faults, in milliseconds; at least 100 ms are added. */
const MAX_GAP_MS = 1_500
/** Longest random part of a fault's duration, in milliseconds. */
const MAX_FAULT_MS = 4_000
const CALLER_COUNT = 4

/** Options of {@link soak}. */
export interface SoakOptions {
  seed: number
  /** Time during which faults start, in milliseconds. */
  faultsMs: number
  daemons?: number
  workers?: number
  /** Directory for the daemons' logs and settings. */
  dir: string
  /** First three bytes of the IPv4 addresses, of a loopback network that nothing else uses. */
  networkPrefix: string
}

/** Result of a soak. */
export interface SoakReport {
  seed: number
  violations: string[]
  /** Names of the injected faults, in order. */
  faults: string[]
  jobs: number
  accepted: number
  runs: number
  /** Number of calls by method and status. */
  counts: Record<string, number>
}

/** The cell to inject a fault into, and the source of its random choices. */
interface FaultContext { cell: SoakCell, random: SeededRandom }
/** A fault and the pause before its start. */
interface PlannedFault { name: string, afterMs: number }
type Fault = (context: FaultContext) => Promise<void>

const HARMFUL_LINK_FAULTS = [LINK_FAULTS.delayed, LINK_FAULTS.blackholed, LINK_FAULTS.oneWay, LINK_FAULTS.reset]

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

/** Faults by name. Each ends its own effect, and resolves then. */
const FAULTS: Record<string, Fault> = {
  storeLink: async context => {
    const { link } = anyDaemon(context)
    link.setFault(HARMFUL_LINK_FAULTS[context.random.int(HARMFUL_LINK_FAULTS.length)])
    await waitFaultDuration(context.random)
    link.setFault(LINK_FAULTS.none)
  },
  workerLink: async context => {
    const { link } = anyWorker(context)
    link.setFault(HARMFUL_LINK_FAULTS[context.random.int(HARMFUL_LINK_FAULTS.length)])
    await waitFaultDuration(context.random)
    link.setFault(LINK_FAULTS.none)
  },
  kill: context => restart(context, [anyDaemon(context)], 'SIGKILL'),
  killAll: context => restart(context, context.cell.daemons, 'SIGKILL'),
  term: context => restart(context, [anyDaemon(context)], 'SIGTERM'),
  termInTurn: async context => { for (const daemon of context.cell.daemons) await restart(context, [daemon], 'SIGTERM') },
  pause: async context => {
    const daemon = anyDaemon(context)
    context.cell.signal(daemon, 'SIGSTOP')
    await waitFaultDuration(context.random)
    context.cell.signal(daemon, 'SIGCONT')
  },
  hangup: async context => { for (const daemon of context.cell.daemons) context.cell.signal(daemon, 'SIGHUP') },
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
  workerCrash: async context => {
    const worker = anyWorker(context)
    context.cell.crashWorker(worker)
    await waitFaultDuration(context.random)
    context.cell.startWorker(worker)
  },
  workerDrains: async context => {
    const { incarnation } = anyWorker(context)
    if (!incarnation) return
    incarnation.faults.draining = true
    await waitFaultDuration(context.random)
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
    // Faults begin in a cell that serves, however long its processes take to start.
    const notServed = await waitForAcceptance(callers, { what: 'before the first fault' })
    await injectFaults({ cell, random: new SeededRandom(seed + 1_000_000) }, planned)
    notServed.push(...await waitForAcceptance(callers, { what: 'after the last fault', after: callers.jobs.length }))
    callers.stop()
    const unfinished = await waitForRecovery(cell, callers)
    const taskViolations = runViolations(cell.records, cell.incarnations)
    const violations = [
      ...taskViolations, ...callers.violations, ...cell.violations, ...notServed, ...unfinished, ...falseStates(cell, callers)
    ]
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

/** Plans the faults of a seed. */
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

/** Starts the planned faults one after another, and waits until all have ended. */
async function injectFaults (context: FaultContext, planned: PlannedFault[]): Promise<void> {
  const running: Array<Promise<void>> = []
  for (const { name, afterMs } of planned) {
    await pause(afterMs)
    running.push(FAULTS[name](context))
  }
  await Promise.all(running)
  // A daemon that received SIGTERM while it was paused ends now and is started again.
  for (const daemon of context.cell.daemons) context.cell.signal(daemon, 'SIGCONT')
  await pause(100)
  for (const daemon of context.cell.daemons) if (!daemon.process) context.cell.startDaemon(daemon)
}

/** Waits until one of the jobs after the first `after` ones is accepted. Returns a description if none is in time. */
async function waitForAcceptance (
  callers: Callers, { what, after = 0 }: { what: string, after?: number }
): Promise<string[]> {
  const endMs = performance.now() + RECOVERY_MS
  while (!callers.jobs.slice(after).some(job => job.accepted)) {
    if (performance.now() > endMs) return [`no job was accepted within ${RECOVERY_MS / 1_000} s ${what}`]
    await pause(50)
  }
  return []
}

/** Waits until every accepted job has ended. Returns descriptions of those that have not ended in time. */
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

/** Descriptions of refused jobs that ran, and of final states that the workers' records contradict. */
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
    if (!job.accepted && job.refusedOnly && started.has(job.id)) found.push(`${job.id} was refused but ran`)
    if (job.state === 'failed') found.push(`${job.id} failed, although no task failed`)
    if (job.state === 'cancelled' && !job.cancelled) found.push(`${job.id} is cancelled, but no caller cancelled it`)
    if (job.state !== 'completed') continue
    const steps: Array<{ task_count: number }> = JSON.parse(job.body).steps
    const names = steps.flatMap((step, index) => Array.from({ length: step.task_count }, (_, task) => `${job.id}.0.${index}.${task}`))
    const missing = names.some(name => !doneTasks.has(name))
    if (missing) found.push(`${job.id} is completed, but not all of its tasks are done`)
  }
  return found
}
