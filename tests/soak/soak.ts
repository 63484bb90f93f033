/**
 * One soak: callers submit jobs during a seeded series of overlapping faults, and the guarantees are checked against
 * the records of callers and workers.
 *
 * @module
 */

import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { Callers, pause } from './callers.js'
import { Downtimes, RESTART_MS } from './downtimes.js'
import { injectFaults, planFaults, planLeaderFaults } from './faults.js'
import { checkRuns } from './runChecks.js'
import { SoakCell } from './soakCell.js'
import { hasTeams, KEY_BOUNDS } from './soakTeams.js'

/**
 * Longest time until a job is accepted before the first fault, until a new job is accepted after the last one, and until every
 * accepted job has ended after that, in milliseconds.
 */
const RECOVERY_MS = 40_000
const CALLER_COUNT = 4
/** Workers, callers, and jobs whose tasks run until they are cancelled, in soaks with chains of leaders: there is room for all. */
const LEADER_SOAK = { workers: 10, callers: 2, longRunningJobs: 4 }
/** Time for which a task that does not run in time is waited for, in milliseconds. */
const CALM_MS = RESTART_MS + 1_000

/** Options of {@link soak}. */
export interface SoakOptions {
  seed: number
  /** Time during which faults start, in milliseconds. */
  faultsMs: number
  daemons?: number
  workers?: number
  /** True to play ends of the leader among crashes of workers, with tasks that run until they are cancelled, and nothing else. */
  leaders?: boolean
  /** False to leave the series of worker faults out. */
  workerFaults?: boolean
  /** False to leave out tasks that crash their workers and changes of capacity. */
  deadlyJobs?: boolean
  /** Whether the configuration names teams, whose keys and caps change. Drawn from the seed when left out. */
  teams?: boolean
  /** Directory for the daemons' logs and settings. */
  dir: string
  /** First three bytes of the IPv4 addresses, of a loopback network that nothing else uses. */
  networkPrefix: string
}

/** Result of a soak. */
export interface SoakReport {
  seed: number
  violations: string[]
  /** Names of the injected faults, in order, of each series. */
  faults: string[][]
  jobs: number
  accepted: number
  runs: number
  /** Number of starts that were carried out late, of those at a later incarnation of their worker, and of those after its first call. */
  lateStarts: number
  lateAtNextIncarnation: number
  lateAfterFirstCall: number
  /** Number of accepted jobs whose first task crashes its workers. */
  deadlyJobs: number
  /** Number of starts that filled their worker by nine tenths or more. */
  fillingStarts: number
  /** Undefined without teams: number of calls refused for their keys, and of starts near the cap of their team. */
  teams: { refusedCalls: number, startsNearCap: number } | undefined
  /** Undefined without chains of leaders: times in which long-running tasks had no run. */
  downtimes: { count: number, longestMs: number, beyondTarget: string[] } | undefined
  /** Number of disturbed calls and refused orders at workers. */
  orders: Record<string, number>
  /** Number of calls by method and status. */
  counts: Record<string, number>
}

/** Runs one soak. */
export async function soak (
  {
    seed, faultsMs, daemons = 4, leaders = false, workers = leaders ? LEADER_SOAK.workers : 5, workerFaults, deadlyJobs = !leaders,
    teams = !leaders && hasTeams(seed), dir, networkPrefix
  }: SoakOptions
): Promise<SoakReport> {
  const series = leaders
    ? planLeaderFaults(seed, faultsMs)
    : planFaults(seed, faultsMs, { workerFaults, capacityFaults: deadlyJobs, teams })
  const cell = new SoakCell({ dir, networkPrefix, seed, deadlyJobs, teams })
  const callers = new Callers({ cell, random: new SeededRandom(seed) })
  try {
    await cell.start({ daemons, workers })
    for (let caller = 0; caller < (leaders ? LEADER_SOAK.callers : CALLER_COUNT); caller++) callers.run()
    if (teams) callers.flood()
    // Faults begin in a cell that serves, however long its processes take to start.
    const notServed = await waitForAcceptance(callers, { what: 'before the first fault' })
    if (leaders) notServed.push(...await startLongRunning(cell, callers))
    const downtimes = leaders ? new Downtimes({ cell, jobs: callers.jobs }) : undefined
    await injectFaults(cell, { seed, series })
    if (leaders) await pause(CALM_MS)
    if (cell.teams?.restoreCap()) cell.configure()
    notServed.push(...await waitForAcceptance(callers, { what: 'after the last fault', after: callers.jobs.length }))
    callers.stop()
    await callers.cancelLongRunning()
    const unfinished = await waitForRecovery(cell, callers)
    await waitForLateOrders(cell)
    if (teams) {
      await pause(Math.max(KEY_BOUNDS.revokeMs, KEY_BOUNDS.applyMs))
      await callers.checkKeys()
    }
    const { records, orders } = cell.workers
    const runs = checkRuns(cell.workers, callers.jobs, cell.teams)
    const violations = [
      ...runs.violations, ...callers.violations, ...cell.violations, ...notServed, ...unfinished, ...falseStates(cell, callers),
      ...downtimes?.violations ?? [], ...cell.teams?.violations ?? [], ...cell.keysInLogs()
    ]
    const late = orders.origins.filter(({ lateMs }) => lateMs > 0)
    const lateAtNext = late.filter(({ sentToBornMs, bornMs }) => sentToBornMs !== bornMs)
    return {
      seed,
      violations,
      faults: series.map(planned => planned.map(({ name }) => name)),
      jobs: callers.jobs.length,
      accepted: callers.jobs.filter(job => job.accepted).length,
      runs: records.length,
      lateStarts: late.length,
      lateAtNextIncarnation: lateAtNext.length,
      lateAfterFirstCall: lateAtNext.filter(({ first }) => !first).length,
      deadlyJobs: callers.jobs.filter(job => job.accepted && cell.workers.isDeadly(job.id)).length,
      fillingStarts: runs.fillingStarts,
      teams: cell.teams && { refusedCalls: cell.teams.refusedCalls, startsNearCap: runs.startsNearCap },
      downtimes: downtimes?.figures,
      orders: orders.counts,
      counts: callers.counts
    }
  } finally {
    callers.close()
    await cell.close()
  }
}

/** Submits the jobs whose tasks run until they are cancelled, and waits until all these tasks run. Returns a description if they don't. */
async function startLongRunning ({ workers }: SoakCell, callers: Callers): Promise<string[]> {
  const endMs = performance.now() + RECOVERY_MS
  const tasks = await callers.startLongRunning(LEADER_SOAK.longRunningJobs)
  while (workers.records.filter(({ task, endMs }) => workers.isLongRunning(task) && endMs === Number.POSITIVE_INFINITY).length < tasks) {
    if (performance.now() > endMs) return [`${tasks} long-running tasks did not all start within ${RECOVERY_MS / 1_000} s`]
    await pause(50)
  }
  return []
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

/** Waits until the orders that workers carry out late are carried out, and the runs that they started have ended. */
async function waitForLateOrders ({ workers }: SoakCell): Promise<void> {
  const endMs = performance.now() + RECOVERY_MS
  const isBusy = (): boolean => workers.orders.pending > 0 || workers.all.some(({ incarnation }) => incarnation?.worker.runs.size)
  while (isBusy() && performance.now() < endMs) await pause(100)
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
  for (const { task, how } of cell.workers.records) {
    const id = task.slice(0, 16)
    started.add(id)
    if (how === 'done') doneTasks.add(task)
  }
  const found: string[] = []
  for (const job of callers.jobs) {
    if (!job.accepted && job.refusedOnly && started.has(job.id)) found.push(`${job.id} was refused but ran`)
    if (job.state === 'failed' && !cell.workers.isDeadly(job.id)) found.push(`${job.id} failed, although no task failed`)
    if (job.state === 'cancelled' && !job.cancelled) found.push(`${job.id} is cancelled, but no caller cancelled it`)
    if (job.state !== 'completed') continue
    const steps: Array<{ task_count: number }> = JSON.parse(job.body).steps
    const names = steps.flatMap((step, index) => Array.from({ length: step.task_count }, (_, task) => `${job.id}.0.${index}.${task}`))
    const missing = names.some(name => !doneTasks.has(name))
    if (missing) found.push(`${job.id} is completed, but not all of its tasks are done`)
  }
  return found
}
