/**
 * Benchmark of placement: packing compared with a lower bound and with simple policies, decision time and its growth, and
 * memory.
 *
 * Usage: `npm run bench -- placement [--seed N] [--only packing|time|memory]`
 *
 * @module
 */

import { parseArgs } from 'node:util'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { ManualTimers } from '@pomelofold/standins/manualTimers'
import { SeededRandom } from '@pomelofold/standins/seededRandom'
import type { Capacity } from 'pomelofold/protocol/vms'
import type { TaskRequest, WorkerInfo } from 'pomelofold/tasks/placementTypes'
import { WorkerPlacement } from 'pomelofold/tasks/placement/workerPlacement'

const DEFAULT_SEED = 1
const PACKING_SEEDS = 3
/** Share of the scarcest resource that the tasks need when the VMs in use are counted. */
const VM_COUNT_LOAD_SHARE = 0.6
const WORKER_SIZES = [150, 550, 1500, 3000, 6000]
const TASK_SIZES = [1000, 2000, 4000, 8000, 16_000]
const TASKS_PER_WORKER = 8.5
/** Number of tasks of the unscaled mix that nearly fill a worker. */
const TASKS_PER_FULL_WORKER = 11.5
const MAX_REFUSED_IN_FILL = 300
const PREEMPTION_PLANS = 1000
const WARM_UP_PLANS = 200
const BASELINE_DECISIONS = 5000
const STARTS_PER_SECOND = 2000
const TIMED_DECISIONS = 30_000
const WARM_UP_DECISIONS = 5000
const RESOURCES = ['cpus', 'memoryMb', 'accelerators'] as const

/** A cell or failure domain whose workers tasks are placed on. */
interface Site {
  name: string
  workers: number
  failureDomains: number
  rackSize: number
  memoryMbPerCpu: number
  /** Every `every`-th worker has this number of accelerators. */
  accelerated: { every: number, accelerators: number }
}

const SITES: Site[] = [
  { name: 'Umurima', workers: 33, failureDomains: 3, rackSize: 8, memoryMbPerCpu: 2048, accelerated: { every: 8, accelerators: 4 } },
  { name: 'Asociacion', workers: 32, failureDomains: 4, rackSize: 6, memoryMbPerCpu: 4096, accelerated: { every: 8, accelerators: 4 } },
  { name: 'design, one domain', workers: 550, failureDomains: 1, rackSize: 8, memoryMbPerCpu: 3072, accelerated: { every: 8, accelerators: 8 } },
  { name: 'design, all workers', workers: 6000, failureDomains: 11, rackSize: 8, memoryMbPerCpu: 3072, accelerated: { every: 8, accelerators: 8 } }
]
const DESIGN_SITE = SITES[3]
const DOMAIN_WORKERS = SITES[2].workers

/** Tasks that arrive together: a single task, or all tasks of a gang. */
type Arrival = TaskRequest[]

/** A placement policy under test, which keeps track of free room independently of the policy. */
abstract class Packer {
  abstract readonly name: string
  readonly free = new Map<string, Capacity>()
  readonly placed = new Map<string, { task: TaskRequest, worker: string }>()
  readonly workers: Map<string, WorkerInfo>

  constructor (workers: WorkerInfo[]) {
    this.workers = new Map(workers.map(worker => [worker.name, worker]))
    for (const { name, capacity } of workers) this.free.set(name, { ...capacity })
  }

  /** Places all tasks of the arrival, or none. */
  tryPlace (tasks: Arrival): boolean {
    const chosen = this.choose(tasks)
    if (!chosen) return false
    tasks.forEach((task, i) => this._recordPlacement(task, chosen[i]))
    return true
  }

  release (taskId: string): void {
    const { task, worker } = this.placed.get(taskId)!
    this.placed.delete(taskId)
    addCapacity(this.free.get(worker)!, task.size, 1)
    this.forget(taskId)
  }

  /** Returns the number of workers with at least one task. */
  workersInUse (): number {
    return new Set([...this.placed.values()].map(({ worker }) => worker)).size
  }

  /** Returns the share of service replicas that share a rack with another replica of the same service. */
  replicasSharingRack (): number {
    const racks = new Map<string, number>()
    const services = [...this.placed.values()].filter(({ task }) => task.kind === 'service')
    const keyOf = ({ task, worker }: { task: TaskRequest, worker: string }): string => `${task.jobId} ${rackKey(this.workers.get(worker)!)}`
    for (const item of services) racks.set(keyOf(item), (racks.get(keyOf(item)) ?? 0) + 1)
    return services.filter(item => racks.get(keyOf(item))! > 1).length / Math.max(1, services.length)
  }

  protected abstract choose (tasks: Arrival): string[] | undefined
  protected forget (_taskId: string): void {}

  private _recordPlacement (task: TaskRequest, worker: string): void {
    const free = this.free.get(worker)!
    addCapacity(free, task.size, -1)
    if (RESOURCES.some(resource => free[resource] < -1e-6)) throw new Error(`${this.name} overfilled ${worker}`)
    this.placed.set(task.taskId, { task, worker })
  }
}

/** The placement of the library. */
class PolicyPacker extends Packer {
  readonly name = 'pomelofold'
  readonly placement = newPlacement([...this.workers.values()])

  protected override choose (tasks: Arrival): string[] | undefined {
    if (tasks[0].kind !== 'gang') {
      const placed = this.placement.place(tasks[0])
      return placed.isOk ? [placed.value] : undefined
    }
    const placed = this.placement.placeGang(tasks, 'rack')
    if (placed.isOk) return tasks.map(task => placed.value.get(task.taskId)!)
    this.placement.releaseReservation(tasks[0].jobId)
    return undefined
  }

  protected override forget (taskId: string): void {
    this.placement.release(taskId)
  }
}

/** A worker's name and free room. */
type FreeRoom = [name: string, free: Capacity]

/** Ranks a worker for a task; the worker with the lowest rank is chosen. */
type Ranking = (free: Capacity, size: Capacity) => number

/** Scans all workers. Places a gang into the first rack with enough room, and does not spread the replicas of a service. */
class ScanPacker extends Packer {
  readonly name: string
  private readonly _rank: Ranking | undefined
  private readonly _freeRooms: FreeRoom[]
  private readonly _freeRoomsByRack = new Map<string, FreeRoom[]>()

  /** Without a ranking, the first worker with enough room is chosen. */
  constructor (workers: WorkerInfo[], name: string, rank?: Ranking) {
    super(workers)
    this.name = name
    this._rank = rank
    this._freeRooms = [...this.free]
    for (const room of this._freeRooms) {
      const key = rackKey(this.workers.get(room[0])!)
      this._freeRoomsByRack.set(key, [...this._freeRoomsByRack.get(key) ?? [], room])
    }
  }

  protected override choose (tasks: Arrival): string[] | undefined {
    if (tasks[0].kind !== 'gang') {
      const best = this._best(this._freeRooms, tasks[0].size)
      return best && [best[0]]
    }
    for (const rack of this._freeRoomsByRack.values()) {
      const chosen = this._chooseIn(rack, tasks)
      if (chosen) return chosen
    }
    return undefined
  }

  private _chooseIn (rack: FreeRoom[], tasks: Arrival): string[] | undefined {
    const chosen: FreeRoom[] = []
    for (const { size } of tasks) {
      const best = this._best(rack, size)
      if (!best) break
      addCapacity(best[1], size, -1)
      chosen.push(best)
    }
    chosen.forEach(([, free], i) => addCapacity(free, tasks[i].size, 1))
    return chosen.length === tasks.length ? chosen.map(([name]) => name) : undefined
  }

  private _best (rooms: FreeRoom[], size: Capacity): FreeRoom | undefined {
    let best: FreeRoom | undefined
    let bestRank = Infinity
    for (const room of rooms) {
      if (!fits(size, room[1])) continue
      if (!this._rank) return room
      const rank = this._rank(room[1], size)
      if (rank >= bestRank) continue
      best = room
      bestRank = rank
    }
    return best
  }
}

/** Returns constructors of the placements under test, the library's first. */
function packersOf (workers: WorkerInfo[], seed: number): Array<() => Packer> {
  const random = new SeededRandom(seed)
  return [
    () => new PolicyPacker(workers),
    () => new ScanPacker(workers, 'first-fit'),
    () => new ScanPacker(workers, 'best-fit', (free, size) => (free.cpus - size.cpus) / 64 + (free.memoryMb - size.memoryMb) / 196_608),
    () => new ScanPacker(workers, 'random', () => random.next())
  ]
}

function newPlacement (workers: WorkerInfo[]): WorkerPlacement {
  const placement = new WorkerPlacement({ timers: new ManualTimers() })
  const quota = { cpus: 1e6, memoryMb: 1e10, accelerators: 1e5 }
  placement.setTeams(Array.from({ length: 60 }, (_, i) => ({ name: `team-${i}`, quota, borrow: true })))
  for (const worker of workers) placement.setWorker(worker)
  return placement
}

/** Creates the workers of a site, of several sizes around 64 cores. */
function workersOf ({ workers, failureDomains, rackSize, memoryMbPerCpu, accelerated }: Site, random: SeededRandom): WorkerInfo[] {
  const perDomain = Math.ceil(workers / failureDomains)
  return Array.from({ length: workers }, (_, i) => {
    const cpus = [48, 56, 64, 64, 64, 72, 80][random.int(7)]
    const accelerators = i % accelerated.every === 0 ? accelerated.accelerators : 0
    const domain = Math.floor(i / perDomain)
    return {
      name: `w${i}`,
      rack: `r${Math.floor((i % perDomain) / rackSize)}`,
      failureDomain: `d${domain}`,
      capacity: { cpus, memoryMb: cpus * memoryMbPerCpu, accelerators },
      takesWork: true
    }
  })
}

/** Options of a {@link Workload}. */
interface WorkloadOptions {
  random: SeededRandom
  workers: WorkerInfo[]
  memoryMbPerCpu: number
  /** Factor of the size of tasks. */
  scale?: number
}

/**
 * Endless mix of batch tasks, service replicas and gangs, some of them with accelerators. Gangs that fit into no rack are
 * left out, since the scheduler refuses them at submission.
 */
class Workload {
  private readonly _random: SeededRandom
  private readonly _memoryMbPerCpu: number
  private readonly _scale: number
  private readonly _checker: WorkerPlacement
  private _jobs = 0
  private _replicas: TaskRequest[] = []

  constructor ({ random, workers, memoryMbPerCpu, scale = 1 }: WorkloadOptions) {
    this._random = random
    this._memoryMbPerCpu = memoryMbPerCpu
    this._scale = scale
    this._checker = newPlacement(workers)
  }

  next (): Arrival {
    const replica = this._replicas.pop()
    if (replica) return [replica]
    const draw = this._random.next()
    if (draw < 0.05) return this._gang()
    if (draw < 0.12) {
      this._replicas = this._tasks('service', 2 + this._random.int(6), this._size(0))
      return [this._replicas.pop()!]
    }
    return this._tasks('batch', 1, this._size(0.04))
  }

  private _gang (): TaskRequest[] {
    const tasks = this._tasks('gang', 2 + this._random.int(15), this._size(0.15))
    return this._checker.canEverFit(tasks, { gang: true, within: 'rack' }).isOk ? tasks : this._gang()
  }

  private _tasks (kind: TaskRequest['kind'], count: number, size: Capacity): TaskRequest[] {
    const jobId = `j${this._jobs++}`
    const team = `team-${this._random.int(60)}`
    const jobClass = (['urgent', 'normal', 'normal', 'overnight', 'overnight'] as const)[this._random.int(5)]
    return Array.from({ length: count }, (_, i) => ({ taskId: `${jobId}.${i}`, jobId, kind, class: jobClass, team, size }))
  }

  private _size (acceleratedShare: number): Capacity {
    const accelerators = this._random.next() < acceleratedShare ? [1, 1, 1, 2, 2, 4][this._random.int(6)] : 0
    const cpus = this._scale * (accelerators ? accelerators * 4 : [0.5, 1, 1, 2, 2, 3, 4, 4, 6, 8, 12, 16][this._random.int(12)])
    const ratio = [0.25, 0.5, 0.75, 1, 1, 1.25, 1.5, 2][this._random.int(8)]
    return { cpus, memoryMb: Math.round(cpus * ratio * this._memoryMbPerCpu), accelerators }
  }
}

/** Places arrivals until one fails although the total free room is large enough. Returns the used share of the scarcest resource. */
function fillUntilPlacementFails (packer: Packer, workload: Workload): { used: number, resource: string, missed: string } {
  for (;;) {
    const arrival = workload.next()
    if (!packer.tryPlace(arrival) && fitsIntoTotalRoom(packer, arrival)) {
      return { ...scarcestResourceUse(packer), missed: `${arrival[0].size.accelerators ? 'accelerated ' : ''}${arrival[0].kind}` }
    }
  }
}

/** Returns whether the total free room of all workers, or of one rack for a gang, is large enough for the arrival. */
function fitsIntoTotalRoom (packer: Packer, arrival: Arrival): boolean {
  const need = total(arrival.map(task => task.size))
  const sums = new Map<string, Capacity>()
  for (const [name, worker] of packer.workers) {
    const key = arrival[0].kind === 'gang' ? rackKey(worker) : ''
    const sum = sums.get(key) ?? { cpus: 0, memoryMb: 0, accelerators: 0 }
    addCapacity(sum, packer.free.get(name)!, 1)
    sums.set(key, sum)
  }
  return [...sums.values()].some(sum => fits(need, sum))
}

function scarcestResourceUse (packer: Packer): { used: number, resource: string } {
  const capacity = total([...packer.workers.values()].map(worker => worker.capacity))
  const free = total([...packer.free.values()])
  const shares = RESOURCES.map(resource => ({ resource, used: 1 - free[resource] / capacity[resource] }))
  return shares.reduce((most, share) => share.used > most.used ? share : most)
}

/** Places arrivals that need a fixed share of the scarcest resource. Returns the workers in use and the lower bound of them. */
function countWorkers (packer: Packer, workload: Workload): { inUse: number, bound: number, refused: number } {
  const capacity = total([...packer.workers.values()].map(worker => worker.capacity))
  const demand = { cpus: 0, memoryMb: 0, accelerators: 0 }
  let refused = 0
  while (RESOURCES.every(resource => demand[resource] < capacity[resource] * VM_COUNT_LOAD_SHARE)) {
    const arrival = workload.next()
    if (!packer.tryPlace(arrival)) refused++
    else addCapacity(demand, total(arrival.map(task => task.size)), 1)
  }
  return { inUse: packer.workersInUse(), bound: fewestWorkers([...packer.workers.values()], demand), refused }
}

/**
 * Returns a lower bound of the number of workers whose total capacity covers the demand: the workers that the demand for
 * accelerators needs, then the largest others for the rest.
 */
function fewestWorkers (workers: WorkerInfo[], demand: Capacity): number {
  const accelerated = workers.filter(worker => worker.capacity.accelerators > 0)
  const forced = fewestFor('accelerators', accelerated.map(worker => worker.capacity), demand.accelerators)
  const counts = (['cpus', 'memoryMb'] as const).map(resource => {
    const largest = (list: WorkerInfo[]): Capacity[] => list.map(worker => worker.capacity).sort((a, b) => b[resource] - a[resource])
    const first = largest(accelerated).slice(0, forced)
    const rest = workers.filter(worker => !first.includes(worker.capacity))
    return forced + fewestFor(resource, largest(rest), demand[resource] - total(first)[resource])
  })
  return Math.max(...counts)
}

function fewestFor (resource: keyof Capacity, largestFirst: Capacity[], demand: number): number {
  let sum = 0
  let count = 0
  while (sum < demand - 1e-6) sum += largestFirst[count++][resource]
  return count
}

function benchPacking (seed: number): void {
  console.log(`\npacking, means over ${PACKING_SEEDS} seeds from ${seed}, one seed for all ${DESIGN_SITE.workers} workers (lowest seed in brackets):`)
  console.log('  used: share of the scarcest resource in use when the first task that should fit does not')
  console.log(`  VMs over bound: VMs in use over the lower bound at ${VM_COUNT_LOAD_SHARE * 100}% load; goal 1.03`)
  console.log('  shared racks: share of services\' replicas that share a rack with another replica of their service')
  for (const site of SITES) {
    console.log(`\n${site.name}: ${site.workers} workers`)
    const rows = new Map<string, PackingRow[]>()
    for (let run = 0; run < (site === DESIGN_SITE ? 1 : PACKING_SEEDS); run++) {
      const workers = workersOf(site, new SeededRandom(seed + run))
      for (const newPacker of packersOf(workers, seed + run)) {
        const row = packingRow(newPacker, site, seed + run)
        rows.set(row.name, [...(rows.get(row.name) ?? []), row])
      }
    }
    for (const [name, row] of rows) printPackingRow(name, row)
  }
}

interface PackingRow { name: string, used: number, resource: string, missed: string, overBound: number, refused: number, sharing: number }

function packingRow (newPacker: () => Packer, site: Site, seed: number): PackingRow {
  const full = newPacker()
  const workers = [...full.workers.values()]
  const { memoryMbPerCpu } = site
  const newWorkload = (seed: number): Workload => new Workload({ random: new SeededRandom(seed), workers, memoryMbPerCpu })
  const { used, resource, missed } = fillUntilPlacementFails(full, newWorkload(seed + 1000))
  const part = newPacker()
  const { inUse, bound, refused } = countWorkers(part, newWorkload(seed + 2000))
  return { name: full.name, used, resource, missed, overBound: inUse / bound, refused, sharing: part.replicasSharingRack() }
}

function printPackingRow (name: string, rows: PackingRow[]): void {
  const mean = (key: 'used' | 'overBound' | 'refused' | 'sharing'): number => rows.reduce((sum, row) => sum + row[key], 0) / rows.length
  const lowest = Math.min(...rows.map(row => row.used))
  const distinct = (key: 'resource' | 'missed'): string => [...new Set(rows.map(row => row[key]))].join(', ')
  console.log(`  ${name.padEnd(11)} used ${percent(mean('used'))} [${percent(lowest)}] of ${distinct('resource')}; missed: ${distinct('missed')}`)
  console.log(`              VMs over bound ${mean('overBound').toFixed(3)}  refused ${mean('refused').toFixed(1)}  shared racks ${percent(mean('sharing'))}`)
}

/** A cell in which tasks end and new tasks start at random. */
class ChurningCell {
  readonly packer: Packer
  private readonly _workload: Workload
  private readonly _random: SeededRandom
  private readonly _tasks: number
  private readonly _ids: string[] = []

  constructor (options: { packer: Packer, workload: Workload, random: SeededRandom, tasks: number }) {
    this.packer = options.packer
    this._workload = options.workload
    this._random = options.random
    this._tasks = options.tasks
    for (let refused = 0; this.running < this._tasks && refused < MAX_REFUSED_IN_FILL;) {
      if (!this.start(this._workload.next())) refused++
    }
  }

  get running (): number {
    return this._ids.length
  }

  /** Ends random tasks until there is room for the next arrival within the number of tasks, and returns the arrival. */
  nextArrival (): Arrival {
    const arrival = this._workload.next()
    while (this.running + arrival.length > this._tasks) this._end()
    return arrival
  }

  start (arrival: Arrival): boolean {
    const started = this.packer.tryPlace(arrival)
    if (started) this._ids.push(...arrival.map(task => task.taskId))
    return started
  }

  private _end (): void {
    const at = this._random.int(this._ids.length)
    const last = this._ids.pop()!
    const id = at < this._ids.length ? this._ids[at] : last
    if (at < this._ids.length) this._ids[at] = last
    this.packer.release(id)
  }
}

/** Sorted decision times in microseconds, for single tasks and for gangs, and the share of refused arrivals. */
interface Timing { singles: Float64Array, gangs: Float64Array, refused: number }

/** Measures decisions in a cell that keeps its number of tasks. */
function timeDecisions (cell: ChurningCell, decisions: number): Timing {
  const singles: number[] = []
  const gangs: number[] = []
  let refused = 0
  for (let i = -WARM_UP_DECISIONS; i < decisions; i++) {
    const arrival = cell.nextArrival()
    const before = process.hrtime.bigint()
    const started = cell.start(arrival)
    const us = Number(process.hrtime.bigint() - before) / 1000
    if (i < 0) continue
    if (!started) refused++
    if (arrival.length > 1) gangs.push(us)
    else singles.push(us)
  }
  return { singles: Float64Array.from(singles).sort(), gangs: Float64Array.from(gangs).sort(), refused: refused / decisions }
}

/** Returns the processor time of one start and one end in microseconds, without the cost of generating the task. */
function processorTime (cell: ChurningCell): number {
  const { placement } = cell.packer as PolicyPacker
  const arrivals = Array.from({ length: TIMED_DECISIONS }, () => cell.nextArrival()).filter(arrival => arrival.length === 1)
  const before = process.cpuUsage()
  for (const [task] of arrivals) {
    placement.place(task)
    placement.release(task.taskId)
  }
  const { user, system } = process.cpuUsage(before)
  return (user + system) / arrivals.length
}

interface CellOptions { workers: number, tasks: number, seed: number, packer?: number }

/** Creates a cell like the design site with another number of workers, and with tasks of a size that nearly fills it. */
function newCell ({ workers, tasks, seed, packer = 0 }: CellOptions): ChurningCell {
  const failureDomains = Math.max(1, Math.round(workers / DOMAIN_WORKERS))
  const list = workersOf({ ...DESIGN_SITE, workers, failureDomains }, new SeededRandom(seed))
  const scale = TASKS_PER_FULL_WORKER * workers / tasks
  return new ChurningCell({
    packer: packersOf(list, seed)[packer](),
    workload: new Workload({ random: new SeededRandom(seed + 1), workers: list, memoryMbPerCpu: DESIGN_SITE.memoryMbPerCpu, scale }),
    random: new SeededRandom(seed + 2),
    tasks
  })
}

function benchTime (seed: number): void {
  console.log(`\ndecision time in microseconds over ${TIMED_DECISIONS} decisions in a nearly full cell; goal p99 below 1000`)
  console.log('growth with workers, 8.5 tasks a worker:')
  printGrowth(WORKER_SIZES.map(workers => ({ workers, tasks: Math.round(workers * TASKS_PER_WORKER), seed })), 'workers')
  console.log(`growth with tasks, ${DOMAIN_WORKERS} workers:`)
  printGrowth(TASK_SIZES.map(tasks => ({ workers: DOMAIN_WORKERS, tasks, seed })), 'tasks')
  console.log(`baselines, ${DOMAIN_WORKERS} workers:`)
  for (const packer of [1, 2, 3]) {
    const cell = newCell({ workers: DOMAIN_WORKERS, tasks: Math.round(DOMAIN_WORKERS * TASKS_PER_WORKER), seed, packer })
    printTiming(cell, timeDecisions(cell, BASELINE_DECISIONS))
  }
}

function printGrowth (sizes: CellOptions[], by: 'workers' | 'tasks'): void {
  const means: number[] = []
  const tails: number[] = []
  for (const size of sizes) {
    const cell = newCell(size)
    const timing = timeDecisions(cell, TIMED_DECISIONS)
    printTiming(cell, timing)
    means.push(timing.singles.reduce((sum, us) => sum + us, 0) / timing.singles.length)
    tails.push(quantile(timing.singles, 0.99))
    const us = processorTime(cell)
    const share = percent(us * STARTS_PER_SECOND / 1e6)
    console.log(`      processor time ${us.toFixed(2)} us for a start and an end, ${share} of a core at ${STARTS_PER_SECOND} starts/s`)
    console.log(`      preemption plan ${quantiles(timePreemption(cell))}`)
  }
  const counts = sizes.map(size => size[by])
  console.log(`  slope (power of the number of ${by}): mean ${slope(counts, means).toFixed(2)}, p99 ${slope(counts, tails).toFixed(2)}`)
}

function printTiming ({ packer, running }: ChurningCell, { singles, gangs, refused }: Timing): void {
  console.log(`  ${packer.name.padEnd(11)} ${String(packer.workers.size).padStart(5)} workers ${String(running).padStart(6)} tasks` +
    `  used ${percent(scarcestResourceUse(packer).used)} refused ${percent(refused)}  single ${quantiles(singles)}  gang ${quantiles(gangs)}`)
}

/** Measures preemption plans for urgent tasks, in microseconds. */
function timePreemption (cell: ChurningCell): Float64Array {
  const { placement } = cell.packer as PolicyPacker
  const samples = Array.from({ length: PREEMPTION_PLANS + WARM_UP_PLANS }, () => {
    const task = { ...cell.nextArrival()[0], class: 'urgent' as const }
    const before = process.hrtime.bigint()
    placement.planPreemption(task)
    return Number(process.hrtime.bigint() - before) / 1000
  })
  return Float64Array.from(samples.slice(WARM_UP_PLANS)).sort()
}

function benchMemory (seed: number): void {
  console.log('\nheap memory of a placement, without the data of its callers:')
  for (const workers of WORKER_SIZES) {
    const { listBytes, taskBytes, tasks } = measureHeap(workers, seed)
    console.log(`  ${String(workers).padStart(5)} workers ${String(tasks).padStart(6)} tasks: ${Math.round(listBytes / workers)} bytes a worker, ` +
      `${Math.round(taskBytes / tasks)} bytes a task, ${((listBytes + taskBytes) / 1e6).toFixed(1)} MB in all`)
  }
}

/** Measures the heap memory that a placement needs for its workers and for its tasks. */
function measureHeap (workers: number, seed: number): { listBytes: number, taskBytes: number, tasks: number } {
  setFlagsFromString('--expose_gc')
  const collect = runInNewContext('gc') as () => void
  const heap = (): number => { collect(); return process.memoryUsage().heapUsed + process.memoryUsage().arrayBuffers }
  const list = workersOf({ ...DESIGN_SITE, workers }, new SeededRandom(seed))
  const workload = new Workload({ random: new SeededRandom(seed + 1), workers: list, memoryMbPerCpu: DESIGN_SITE.memoryMbPerCpu })
  const tasks = Array.from({ length: Math.round(workers * TASKS_PER_WORKER) }, () => workload.next()[0])
  const empty = heap()
  const placement = newPlacement(list)
  const listed = heap()
  for (const task of tasks) placement.place(task)
  const full = heap()
  const held = placement.figures().tasks
  if (held > tasks.length || !list.length || !workload.next().length) throw new Error('the data of the callers was garbage-collected during the measurement')
  return { listBytes: listed - empty, taskBytes: full - listed, tasks: held }
}

function rackKey ({ failureDomain, rack }: WorkerInfo): string {
  return `${failureDomain}/${rack}`
}

function fits (need: Capacity, room: Capacity): boolean {
  return need.cpus <= room.cpus + 1e-9 && need.memoryMb <= room.memoryMb + 1e-9 && need.accelerators <= room.accelerators
}

function addCapacity (sum: Capacity, amount: Capacity, times: 1 | -1): void {
  for (const resource of RESOURCES) sum[resource] += amount[resource] * times
}

function total (sizes: Capacity[]): Capacity {
  const sum = { cpus: 0, memoryMb: 0, accelerators: 0 }
  for (const size of sizes) addCapacity(sum, size, 1)
  return sum
}

function quantile (sorted: Float64Array, share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
}

function quantiles (sorted: Float64Array): string {
  return `p50 ${quantile(sorted, 0.5).toFixed(1)} p99 ${quantile(sorted, 0.99).toFixed(1)} p99.9 ${quantile(sorted, 0.999).toFixed(1)}`
}

/** Returns the slope of the least-squares line through the logarithms of the points. */
function slope (xs: number[], ys: number[]): number {
  const logs = xs.map((x, i) => [Math.log(x), Math.log(ys[i])])
  const meanX = logs.reduce((sum, [x]) => sum + x, 0) / logs.length
  const meanY = logs.reduce((sum, [, y]) => sum + y, 0) / logs.length
  return logs.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / logs.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
}

function percent (share: number): string {
  return `${(share * 100).toFixed(1)}%`
}

/** Parts of the benchmark. */
const PARTS: Record<string, (seed: number) => void> = { packing: benchPacking, time: benchTime, memory: benchMemory }

/** Runs the benchmark. */
export async function run (args: string[]): Promise<void> {
  const { values } = parseArgs({ args, options: { seed: { type: 'string' }, only: { type: 'string' } } })
  const seed = Number(values.seed ?? DEFAULT_SEED)
  console.log(`placement, seed ${seed}; cells, tasks and gangs are generated from the sizes of the brief`)
  for (const [name, part] of Object.entries(PARTS)) {
    if (!values.only || values.only === name) part(seed)
  }
}
