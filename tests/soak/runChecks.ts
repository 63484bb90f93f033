/**
 * Checks the workers' own records of runs: no task runs twice, no worker has more running than its capacity, and no team more than
 * its cap.
 *
 * @module
 */

import type { RunRecord } from '@pomelofold/standins/leasedWorker'
import { findRunViolations } from '../workflows/runViolations.js'
import type { SoakJob } from './callers.js'
import type { SoakTeams } from './soakTeams.js'
import { WORKER_CAPACITY, type SoakWorkers } from './soakWorkers.js'
import type { StartOrigin } from './workerServer.js'

/** What the workers' records show. */
export interface RunFindings {
  violations: string[]
  /** Number of starts that filled their worker by nine tenths or more. */
  fillingStarts: number
  /** Number of starts of teams with caps that brought their team to nine tenths of what it may have running, or more. */
  startsNearCap: number
}

/** A start and what its worker, or its team, had running with it. */
interface Load { cause: RunRecord, runs: RunRecord[], size: number, cpuMillis: number, memoryMb: number }

const NEARLY_FULL = 0.9
/** Number of starts of a task by one scheduler, after three workers have crashed under it, that break the users' rule. */
const FORBIDDEN_STARTS = 3

/** Checks the records of all workers. */
export function checkRuns (workers: SoakWorkers, jobs: SoakJob[], teams?: SoakTeams): RunFindings {
  const { records, incarnations, orders } = workers
  const origins = new Map(orders.origins.map(origin => [origin.record, origin]))
  const loads = loadsAtStarts(records, jobs, ({ worker }) => worker)
  const fillingStarts = loads.filter(load => fillOf(load) >= NEARLY_FULL).length
  const found: RunFindings = { violations: [], fillingStarts, startsNearCap: 0 }
  const add = (text: string, runs: RunRecord[], cause: RunRecord): void => {
    const note = isFromReplacedLeader(origins.get(cause)) ? ' (a late start of a replaced leader at a later incarnation)' : ''
    found.violations.push([text + note, ...runs.map(run => describe(run, origins.get(run)))].join('; '))
  }
  for (const { text, runs } of findRunViolations(records, incarnations)) add(text, runs, runs[1])
  for (const load of loads.filter(each => fillOf(each, origins.get(each.cause)?.capacityShare) > 1)) {
    const { cause, runs, cpuMillis, memoryMb } = load
    add(`${cause.worker} was overfilled by ${cause.task}#${cause.attempt}: cpu ${cpuMillis}, memory ${memoryMb}`, runs, cause)
  }
  const teamsByJob = new Map(jobs.map(({ id, team }) => [id, team]))
  const teamOf = ({ task }: RunRecord): string | undefined => teamsByJob.get(task.split('.')[0])
  for (const { cause, runs, cpuMillis, size } of teams ? loadsAtStarts(records, jobs, teamOf) : []) {
    const team = teamOf(cause)
    const { startMs } = cause
    if (team === undefined) continue
    const sentMs = startMs - (origins.get(cause)?.lateMs ?? 0)
    const allowed = teams!.allowedCpuMillis(team, { sentMs, startMs, size })
    if (cpuMillis >= NEARLY_FULL * (allowed - size)) found.startsNearCap++
    if (cpuMillis > allowed) add(`team ${team} has cpu ${cpuMillis} in place of at most ${allowed} with ${cause.task}#${cause.attempt}`, runs, cause)
  }
  for (const [task, starts] of startsAfterThirdCrash(records.filter(({ task }) => workers.isDeadly(task)))) {
    const byEpoch = new Map<number | undefined, RunRecord[]>()
    for (const start of starts) {
      const origin = origins.get(start)
      if (origin?.lateMs === 0) byEpoch.set(origin.epoch, [...byEpoch.get(origin.epoch) ?? [], start])
    }
    for (const runs of byEpoch.values()) {
      if (runs.length >= FORBIDDEN_STARTS) add(`${task} was started ${runs.length} times more after it had crashed three workers`, runs, runs[0])
    }
  }
  return found
}

/** Starts of each of these tasks after the third worker had crashed under it. */
function startsAfterThirdCrash (records: RunRecord[]): Map<string, RunRecord[]> {
  const starts = new Map<string, RunRecord[]>()
  for (const record of records) starts.set(record.task, [...starts.get(record.task) ?? [], record])
  for (const [task, runs] of starts) {
    const third = runs.filter(({ how, endMs }) => how === undefined && endMs < Number.POSITIVE_INFINITY)[2]
    starts.set(task, third ? runs.filter(({ startMs }) => startMs > third.endMs) : [])
  }
  return starts
}

function isFromReplacedLeader (origin: StartOrigin | undefined): boolean {
  return origin !== undefined && origin.replaced && origin.lateMs > 0 && origin.sentToBornMs !== origin.bornMs
}

/** Load of the worker, or of the other group of each run, after each start. */
function loadsAtStarts (records: RunRecord[], jobs: SoakJob[], groupOf: (run: RunRecord) => string | undefined): Load[] {
  const stepsByJob = new Map(jobs.map(({ id, body }) => [id, JSON.parse(body).steps as Array<{ cpu: number, mem_mb: number }>]))
  const stepOf = ({ task }: RunRecord): { cpu: number, mem_mb: number } => {
    const [id,, step] = task.split('.')
    return stepsByJob.get(id)![Number(step)]
  }
  return records.map((cause, index) => {
    const runs = records.slice(0, index + 1).filter(run => groupOf(run) === groupOf(cause) && run.endMs > cause.startMs)
    const steps = runs.map(stepOf)
    const [cpuMillis, memoryMb] = [sum(steps.map(({ cpu }) => cpu)), sum(steps.map(step => step.mem_mb))]
    return { cause, runs, size: stepOf(cause).cpu, cpuMillis, memoryMb }
  })
}

function fillOf ({ cpuMillis, memoryMb }: Load, share = 1): number {
  return Math.max(cpuMillis / WORKER_CAPACITY.cpuMillis, memoryMb / WORKER_CAPACITY.memoryMb) / share
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

function describe ({ task, attempt, worker, startMs, endMs, how, acknowledgedMs }: RunRecord, origin: StartOrigin | undefined): string {
  const end = `${seconds(endMs)} ${how ?? 'with its worker'}${acknowledgedMs === undefined ? '' : `, acknowledged ${seconds(acknowledgedMs)}`}`
  const late = origin && origin.lateMs > 0 ? `, ${seconds(origin.lateMs)} s late${incarnationNote(origin)}` : ''
  return `${task}#${attempt} at ${worker} ${seconds(startMs)} to ${end}, epoch ${origin?.epoch}${late}`
}

function incarnationNote ({ sentToBornMs, bornMs, first }: StartOrigin): string {
  if (sentToBornMs === bornMs) return ''
  return ` at a later incarnation, ${first ? 'before' : 'after'} its first call`
}

function seconds (ms: number): string {
  return (ms / 1_000).toFixed(3)
}
