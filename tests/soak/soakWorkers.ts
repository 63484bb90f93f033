/**
 * The workers of a cell, behind links with injected faults, and their entries in the store.
 *
 * @module
 */

import { LeasedWorker, type RunRecord } from '@pomelofold/standins/leasedWorker'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import type { Timers } from 'pomelofold/seams/timers'
import { LEADER_KEY } from 'pomelofold/workflows/keys'
import type { Resources } from 'pomelofold/protocol/workflows'
import { FaultProxy, LINK_FAULTS } from './faultProxy.js'
import type { StoreServer } from './standins.js'
import { tickets, WorkerOrders, WorkerServer, type Incarnation } from './workerServer.js'

/** Ports of the workers and of the proxies before them. */
const PORTS = { worker: 9200, workerProxy: 9300 }
/** Period at which workers write their entries to the store, in milliseconds. */
export const ENTRY_RENEWAL_PERIOD_MS = 500
/** Lease of a worker's entry in the store, in milliseconds. */
const ENTRY_TTL_MS = 1_500
/** Validity of a ticket, in milliseconds. */
export const TICKET_VALID_MS = 1_000
/** Capacity of each worker. It starts what it is told to, whether it has room or not. */
export const WORKER_CAPACITY: Resources = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 0 }

/** Time from the start of a task that crashes its worker to the crash, and longest random addition to it, in milliseconds. */
const CRASH_DELAY_MS = 10
const CRASH_DELAY_ADDITION_MS = 40
/** Time until a worker that a task has crashed is back, in milliseconds. */
const CRASH_DOWNTIME_MS = 2_000

/** Time after a change of capacity from which it counts for starts, in milliseconds: longer than a fault and two readings. */
const RESIZE_NOTICE_MS = 9_000

/** Ids of jobs whose first task crashes its workers, in soaks with such jobs: one of 16. */
const DEADLY_JOBS = /^f/
/** Run time of tasks that run until they are cancelled: longer than any soak. */
const LONG_RUN_MS = 86_400_000

/** A worker id, with its current incarnation; undefined while it is down. */
export interface SoakWorker {
  id: string
  link: FaultProxy
  server: WorkerServer
  incarnation: Incarnation | undefined
  /** Time at which it announces to leave while it drains. */
  leavesAtMs: number
  /** The worker writes no entry to the store. */
  cutOffFromStore: boolean
  /** The worker has ended and does not come back. */
  gone: boolean
  /** Share of `WORKER_CAPACITY` that it has, and since when, in milliseconds. */
  capacityShare: number
  shrunkMs: number
}

/** Run time of the tasks of a job, in milliseconds: half of the jobs have tasks that outlast the tries of a start. */
export function runTimeMs (jobId: string): number {
  const digits = Number.parseInt(jobId.slice(10, 16), 16)
  return digits % 2 ? 100 + 40 * (digits % 8) : 1_000 + 500 * (digits % 7)
}

/** Starts, ends and lists the workers of a cell. */
export class SoakWorkers {
  readonly all: SoakWorker[] = []
  readonly records: RunRecord[] = []
  /** All incarnations of all workers, with the lapses of their leases. */
  readonly incarnations: LeasedWorker[] = []
  readonly orders = new WorkerOrders()
  private readonly _timers: Timers
  private readonly _store: StoreServer
  private readonly _host: string
  private readonly _seed: number
  private readonly _deadlyJobs: boolean
  /** Ids of jobs whose tasks run until they are cancelled. */
  readonly longRunningJobs = new Set<string>()
  private readonly _leases = new Map<string, string>()
  private _closed = false

  constructor ({ timers, store, host, seed, deadlyJobs }: {
    timers: Timers, store: StoreServer, host: string, seed: number, deadlyJobs: boolean
  }) {
    this._deadlyJobs = deadlyJobs
    this._timers = timers
    this._store = store
    this._host = host
    this._seed = seed
    store.store.watch(LEADER_KEY, 1, events => {
      this.orders.leaderEpochs.push(...events.filter(({ key, value }) => key === LEADER_KEY && value).map(({ revision }) => revision))
    })
  }

  async start (count: number): Promise<void> {
    for (let index = 0; index < count; index++) await this.add()
    this._timers.every(ENTRY_RENEWAL_PERIOD_MS, () => { for (const worker of this.all) this._writeEntry(worker) })
  }

  /** True for a job, or the task of one, whose first task crashes each worker that starts it. */
  isDeadly (jobId: string): boolean {
    return this._deadlyJobs && DEADLY_JOBS.test(jobId)
  }

  /** True for the task of a job in {@link longRunningJobs}. */
  isLongRunning (task: string): boolean {
    return this.longRunningJobs.has(task.split('.')[0])
  }

  /** Lists the worker with a share of its capacity. What runs there goes on. */
  resize (worker: SoakWorker, share: number): void {
    worker.capacityShare = share
    worker.shrunkMs = this._timers.now()
    this._writeEntry(worker)
  }

  /** Ends the worker without notice. Its next incarnation starts without state. */
  crash (worker: SoakWorker): void {
    worker.incarnation?.worker.crash()
    worker.incarnation = undefined
  }

  /** Ends the worker without notice and for good. From then on its address refuses connections, or is silent. */
  remove (worker: SoakWorker, { silent }: { silent: boolean }): void {
    worker.gone = true
    this.crash(worker)
    worker.link.setFault(silent ? LINK_FAULTS.blackholed : LINK_FAULTS.refused)
  }

  /** Starts a new incarnation of a worker that is down. */
  restart (worker: SoakWorker): void {
    if (worker.incarnation || worker.gone) return
    const incarnation = new LeasedWorker({
      id: worker.id,
      timers: this._timers,
      records: this.records,
      runMs: task => this.isLongRunning(task) ? LONG_RUN_MS : runTimeMs(task),
      onStarted: record => this._crashIfDeadly(worker, record),
      capacity: WORKER_CAPACITY
    })
    Object.assign(incarnation.entry, { bornMs: Date.now() })
    worker.incarnation = { worker: incarnation, startedMs: Math.floor(this._timers.now()) }
    this.incarnations.push(incarnation)
    this._writeEntry(worker)
  }

  private _crashIfDeadly (worker: SoakWorker, { task, attempt }: RunRecord): void {
    if (!this.isDeadly(task) || !task.endsWith('.0.0')) return
    const { incarnation } = worker
    this._timers.after(CRASH_DELAY_MS + (attempt * 7) % CRASH_DELAY_ADDITION_MS, () => {
      if (worker.incarnation !== incarnation || !incarnation?.worker.runs.has(task)) return
      this.crash(worker)
      worker.link.setFault(LINK_FAULTS.refused)
      this._timers.after(CRASH_DOWNTIME_MS, () => {
        worker.link.setFault(LINK_FAULTS.none)
        this.restart(worker)
      })
    })
  }

  /** Answer of the advice service: every worker that is up may run the step. */
  advise (step: string, ids: string[]): object {
    const untilMs = Math.round(this._timers.now()) + TICKET_VALID_MS
    const up = this.all.filter(({ id, incarnation }) => incarnation && ids.includes(id))
    const good = up.map(({ id, incarnation }) => [id, tickets.create(step, incarnation!.worker.entry.bornMs, untilMs)])
    return { good, valid_ms: TICKET_VALID_MS }
  }

  close (): void {
    this._closed = true
    for (const worker of this.all) {
      this.crash(worker)
      worker.link.close()
      worker.server.server.close()
    }
  }

  /** Adds a worker with an id and address of its own. */
  async add (): Promise<void> {
    const index = this.all.length
    const timers = this._timers
    const server = new WorkerServer({
      current: () => worker.incarnation,
      knownCapacityShare: () => timers.now() - worker.shrunkMs > RESIZE_NOTICE_MS ? worker.capacityShare : 1,
      timers,
      random: new SeededRandom(this._seed * 1_000 + index),
      records: this.records,
      orders: this.orders
    })
    const link = new FaultProxy(`${this._host}:${PORTS.worker + index}`)
    const worker: SoakWorker = {
      id: `w${index}`, link, server, incarnation: undefined, leavesAtMs: 0, cutOffFromStore: false, gone: false, capacityShare: 1, shrunkMs: 0
    }
    await server.server.listen(this._host, PORTS.worker + index)
    await link.listen(this._host, PORTS.workerProxy + index)
    this.all.push(worker)
    this.restart(worker)
  }

  /** Writes the worker's entry under a lease that ends when the entry is no longer written. */
  private _writeEntry ({ id, incarnation, cutOffFromStore, leavesAtMs, capacityShare }: SoakWorker): void {
    if (this._closed || !incarnation || cutOffFromStore || this._store.fault === 'down') return
    const { store } = this._store
    const leaseId = this._leases.get(id)
    if (leaseId !== undefined && store.keepAlive(leaseId).ttlMs === 0) this._leases.delete(id)
    const lease = this._leases.get(id) ?? store.grantLease(ENTRY_TTL_MS).leaseId
    this._leases.set(id, lease)
    const { entry, faults } = incarnation.worker
    const nowMs = this._timers.now()
    const value = JSON.stringify({
      service: 'hub',
      address: `${this._host}:${PORTS.workerProxy + Number(id.slice(1))}`,
      zone: 'abc'[Number(id.slice(1)) % 3],
      version: '1',
      slots: 8,
      state: faults.draining ? 'draining' : 'ready',
      sequence: Math.round(nowMs - incarnation.startedMs),
      born: entry.bornMs,
      capacity: { cpu: WORKER_CAPACITY.cpuMillis * capacityShare, mem_mb: WORKER_CAPACITY.memoryMb * capacityShare },
      labels: ['a', 'r1'],
      remaining_ms: faults.draining ? Math.max(0, Math.round(leavesAtMs - nowMs)) : undefined
    })
    store.txn([], [{ op: 'put', key: `servers/${id}`, value, leaseId: lease }])
  }
}
