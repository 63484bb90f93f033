/**
 * Checks that tasks which run until they are cancelled run again in time after their workers have died.
 *
 * @module
 */

import type { RunRecord } from '@pomelofold/standins/leasedWorker'
import type { SoakJob } from './callers.js'
import type { SoakCell } from './soakCell.js'
import { WORKER_CAPACITY, type SoakWorker } from './soakWorkers.js'
import { MAX_LEASE_MS } from './workerServer.js'

const SAMPLE_PERIOD_MS = 100
/** Time between two samples from which on the stand-ins themselves were not at work, in milliseconds. */
const STALL_MS = 400
/** Time after a fault in which daemons are not in touch, in milliseconds. */
const CONTACT_MS = 3_000
/** Time of calm before that in which a task has to be started, and that time, in milliseconds. */
const CALM_BEFORE_MS = 4_000
const START_LIMIT_MS = 3_000
/** Time after the last fault within which every task runs again, in milliseconds. */
export const RESTART_MS = CONTACT_MS + CALM_BEFORE_MS + START_LIMIT_MS
/** Room that the rule requires, in sizes of the task. */
const ROOM = 2

/** A time in which a task has no run. */
interface Downtime {
  task: string
  last: RunRecord
  leaseEndMs: number
  startableFromMs: number
  targetFromMs: number
  broken: boolean
  late: boolean
}

/** Samples the runs of long-running tasks, the faults, and the room of the workers. */
export class Downtimes {
  /** Descriptions of tasks that did not run for 3 s of calm, with room, from 6 s after their last run. */
  readonly violations: string[] = []
  /** The same for 3 s from the end of the lease that the worker had, with calm that begins when the last fault ends. */
  private readonly _beyondTarget: string[] = []
  private _count = 0
  private _longestMs = 0
  private readonly _cell: SoakCell
  private readonly _jobs: SoakJob[]
  private readonly _open = new Map<string, Downtime>()
  private _sampledMs: number
  private _disturbedMs: number
  private _goneWorkers = 0

  constructor ({ cell, jobs }: { cell: SoakCell, jobs: SoakJob[] }) {
    this._cell = cell
    this._jobs = jobs
    this._sampledMs = this._disturbedMs = cell.timers.now()
    cell.timers.every(SAMPLE_PERIOD_MS, () => this._sample())
  }

  /** Number of times without a run, the longest of them that ended, and those beyond the target. */
  get figures (): { count: number, longestMs: number, beyondTarget: string[] } {
    return { count: this._count, longestMs: Math.round(this._longestMs), beyondTarget: this._beyondTarget }
  }

  private _sample (): void {
    const { timers, workers, isDisturbed } = this._cell
    const nowMs = timers.now()
    const goneWorkers = workers.all.filter(({ gone }) => gone).length
    if (isDisturbed || goneWorkers !== this._goneWorkers || nowMs - this._sampledMs > STALL_MS) this._disturbedMs = nowMs
    this._goneWorkers = goneWorkers
    this._sampledMs = nowMs
    const lastRuns = new Map<string, RunRecord>()
    for (const record of workers.records) {
      const { task, endMs } = record
      if (workers.isLongRunning(task) && (lastRuns.get(task)?.endMs ?? 0) <= endMs) lastRuns.set(task, record)
    }
    for (const [task, last] of lastRuns) this._check(task, last, nowMs)
  }

  private _check (task: string, last: RunRecord, nowMs: number): void {
    const { id, accepted, cancelled, body } = this._jobs.find(job => task.startsWith(job.id))!
    const down = this._open.get(task)
    if (down && (last !== down.last || cancelled)) {
      this._longestMs = Math.max(this._longestMs, (cancelled ? nowMs : last.startMs) - down.last.endMs)
      this._open.delete(task)
    }
    if (!accepted || cancelled || last.endMs > nowMs) return
    if (last !== down?.last) {
      this._count++
      const leaseEndMs = this._leaseEndMs(last)
      this._open.set(task, { task, last, leaseEndMs, startableFromMs: 0, targetFromMs: 0, broken: false, late: false })
      return
    }
    const step = JSON.parse(body).steps[Number(task.slice(id.length).split('.')[2])]
    // The lease that the worker really had ends by then, too.
    const hasRoom = this._cell.workers.all.some(worker => this._hasRoom(worker, step))
    const calmMs = this._disturbedMs + CALM_BEFORE_MS
    down.startableFromMs = Math.max(hasRoom ? down.startableFromMs : nowMs, last.endMs + MAX_LEASE_MS, calmMs + CONTACT_MS)
    down.targetFromMs = Math.max(hasRoom ? down.targetFromMs : nowMs, down.leaseEndMs, calmMs)
    if (!down.broken && nowMs > down.startableFromMs + START_LIMIT_MS) {
      down.broken = true
      this.violations.push(this._describe(down, nowMs))
    }
    if (!down.late && nowMs > down.targetFromMs + START_LIMIT_MS) {
      down.late = true
      this._beyondTarget.push(this._describe(down, nowMs))
    }
  }

  private _describe ({ task, last, leaseEndMs }: Downtime, nowMs: number): string {
    const agoS = (ms: number): string => `${((nowMs - ms) / 1_000).toFixed(1)} s`
    return `${task} has not run for ${agoS(last.endMs)} at ${new Date().toISOString()}: last ${last.worker}#${last.attempt}, ended ${last.how ?? 'with its worker'}, ` +
      `lease ended ${agoS(leaseEndMs)} ago, last fault ${agoS(this._disturbedMs)} ago`
  }

  private _leaseEndMs ({ worker, endMs, how }: RunRecord): number {
    if (how !== undefined) return endMs
    const incarnations = this._cell.workers.incarnations.filter(({ entry }) => entry.id === worker)
    return Math.max(endMs, ...incarnations.map(({ leaseEndMs }) => leaseEndMs).filter(leaseEndMs => leaseEndMs < endMs + MAX_LEASE_MS))
  }

  private _hasRoom ({ incarnation }: SoakWorker, { cpu, mem_mb: memoryMb }: { cpu: number, mem_mb: number }): boolean {
    if (!incarnation) return false
    const running = [...incarnation.worker.runs.keys()].map(task => {
      const { id, body } = this._jobs.find(job => task.startsWith(job.id))!
      return JSON.parse(body).steps[Number(task.slice(id.length).split('.')[2])]
    })
    const used = (key: 'cpu' | 'mem_mb'): number => running.reduce((sum, step) => sum + step[key], 0)
    return WORKER_CAPACITY.cpuMillis - used('cpu') >= ROOM * cpu && WORKER_CAPACITY.memoryMb - used('mem_mb') >= ROOM * memoryMb
  }
}
