/**
 * The seeded series of overlapping faults of a soak.
 *
 * @module
 */

import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { pause } from './callers.js'
import { LINK_FAULTS } from './faultProxy.js'
import type { SoakCell, SoakDaemon } from './soakCell.js'
import type { SoakWorker } from './soakWorkers.js'
import type { CallFaults } from './workerServer.js'

/** Longest random pause between the starts of two faults of a series, in milliseconds; at least 100 ms are added. */
const MAX_GAP_MS = 1_500
/** Longest random part of a fault's duration, in milliseconds. */
const MAX_FAULT_MS = 4_000
/** Shortest duration of a fault of calls to a worker, in milliseconds: several tries of a start. */
const MIN_CALL_FAULT_MS = 2_000
/** Time that a draining worker announces, and longest time that it stays beyond it, in milliseconds. */
const ANNOUNCED_DRAIN_MS = 2_000
const MAX_LINGER_MS = 8_000
/** Longest time until the second of two restarts of a worker, in milliseconds. */
const MAX_SECOND_RESTART_MS = 8_000
const MAX_DOWNTIME_MS = 1_500
/** Shares of its capacity that remain to a worker. */
const SHRUNK_SHARES = [0.25, 0.5, 0.75]
/** Shortest and longest time between two ends of the leader, and least number of them, in milliseconds. */
const MIN_TERM_MS = 2_000
const MAX_TERM_MS = 5_000
const MIN_CHAIN = 3
/** Longest time between the crash of a worker and the end of the leader, and greatest number of such workers. */
const MAX_CRASH_BEFORE_MS = 1_500
const MAX_LOST_WORKERS = 2
/** Distance between the seeds of two series, greater than that between any two seeds of soaks. */
const SEED_STEP = 2_000_000

/** The cell to inject a fault into, and the source of its random choices. */
interface FaultContext { cell: SoakCell, random: SeededRandom }
type Fault = (context: FaultContext) => Promise<void>
/** A fault and the pause before its start. */
export interface PlannedFault { name: string, afterMs: number }

const CUTS = [LINK_FAULTS.blackholed, LINK_FAULTS.oneWay, LINK_FAULTS.reset, LINK_FAULTS.refused]
const HARMFUL_LINK_FAULTS = [LINK_FAULTS.delayed, LINK_FAULTS.blackholed, LINK_FAULTS.oneWay, LINK_FAULTS.reset]

function waitFaultDuration (random: SeededRandom): Promise<void> {
  return pause(200 + random.int(MAX_FAULT_MS))
}

function anyDaemon ({ cell, random }: FaultContext): SoakDaemon {
  return cell.daemons[random.int(cell.daemons.length)]
}

function anyWorker ({ cell, random }: FaultContext): SoakWorker {
  return cell.workers.all[random.int(cell.workers.all.length)]
}

async function restart ({ cell, random }: FaultContext, daemons: SoakDaemon[], signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
  const ending = daemons.filter(daemon => daemon.process && (daemon.hasLogged || signal === 'SIGKILL'))
  await Promise.all(ending.map(async daemon => {
    const { process } = daemon
    cell.signal(daemon, signal)
    // An overlapping fault may start the next process before this one is seen to be gone.
    while (daemon.process === process) await pause(20)
  }))
  await pause(random.int(1_000))
  for (const daemon of daemons) if (!daemon.process) cell.startDaemon(daemon)
}

/** Disturbs shares of the calls to one worker, or to all, for some seconds. */
async function disturbCalls (context: FaultContext, shares: Partial<CallFaults>): Promise<void> {
  const { cell, random } = context
  const workers = random.int(3) ? cell.workers.all : [anyWorker(context)]
  for (const worker of workers) Object.assign(worker.server.faults, shares)
  await pause(MIN_CALL_FAULT_MS + random.int(MAX_FAULT_MS))
  for (const worker of workers) for (const fault of Object.keys(shares)) worker.server.faults[fault as keyof CallFaults] = 0
}

/** Cuts a worker off from the store and the daemons while `during` runs. */
async function cutOff (worker: SoakWorker, during: () => Promise<void>): Promise<void> {
  worker.cutOffFromStore = true
  worker.link.setFault(LINK_FAULTS.blackholed)
  await during()
  worker.link.setFault(LINK_FAULTS.none)
  worker.cutOffFromStore = false
}

/** Restarts a worker under its id, twice within 12 s. */
async function restartWorkerTwice ({ cell, random }: FaultContext, worker: SoakWorker): Promise<void> {
  for (let restarts = 0; restarts < 2; restarts++) {
    cell.workers.crash(worker)
    await pause(50 + random.int(MAX_DOWNTIME_MS))
    cell.workers.restart(worker)
    if (restarts === 0) await pause(200 + random.int(MAX_SECOND_RESTART_MS))
  }
}

/** Faults of daemons, links, store and workers by name. Each ends its own effect, and resolves then. */
const CELL_FAULTS: Record<string, Fault> = {
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
    context.cell.workers.crash(worker)
    await waitFaultDuration(context.random)
    context.cell.workers.restart(worker)
  },
  workerDrains: async context => {
    const worker = anyWorker(context)
    const { incarnation } = worker
    if (!incarnation) return
    worker.leavesAtMs = context.cell.timers.now() + ANNOUNCED_DRAIN_MS
    incarnation.worker.faults.draining = true
    await waitFaultDuration(context.random)
    incarnation.worker.faults.draining = false
  },
  configuration: async ({ cell }) => cell.configure()
}

/** Time for which a worker has only a part of its capacity, in milliseconds: longer than a scheduler needs to notice. */
const SHRUNK_MS = 12_000

/** Changes of capacity, by name. They overlap with the other faults. */
const CAPACITY_FAULTS: Record<string, Fault> = {
  shrinks: async context => {
    const { cell, random } = context
    const worker = anyWorker(context)
    if (worker.capacityShare < 1) return
    cell.workers.resize(worker, SHRUNK_SHARES[random.int(SHRUNK_SHARES.length)])
    await pause(SHRUNK_MS)
    cell.workers.resize(worker, 1)
  },
  keeps: async () => {}
}

/** Changes of teams, by name, in soaks with teams. They overlap with the other faults. */
const TEAM_FAULTS: Record<string, Fault> = {
  keyAdded: async ({ cell }) => { cell.teams!.addKey(); cell.configure() },
  keyWithdrawn: async ({ cell }) => { cell.teams!.withdrawKey(); cell.configure() },
  capChanges: async ({ cell }) => { cell.teams!.changeCap(); cell.configure() },
  floods: async ({ cell, random }) => {
    cell.teams!.floods++
    await waitFaultDuration(random)
    cell.teams!.floods--
  }
}

/** Faults of calls to workers, and of workers that leave or restart, by name. They overlap with {@link CELL_FAULTS}. */
const WORKER_FAULTS: Record<string, Fault> = {
  workerRefuses: context => disturbCalls(context, { refused: 0.4 }),
  answersLost: context => disturbCalls(context, { unanswered: 0.4 }),
  callsLost: context => disturbCalls(context, { lost: 0.3 }),
  ordersLate: context => disturbCalls(context, { late: 0.4 }),
  refusesAndLoses: context => disturbCalls(context, { refused: 0.3, unanswered: 0.5 }),
  refusesAndLate: context => disturbCalls(context, { refused: 0.2, late: 0.4 }),
  lingersCutOff: async context => {
    const { cell, random } = context
    const worker = anyWorker(context)
    const { incarnation } = worker
    if (!incarnation) return
    worker.leavesAtMs = cell.timers.now() + ANNOUNCED_DRAIN_MS
    incarnation.worker.faults.draining = true
    await pause(random.int(ANNOUNCED_DRAIN_MS))
    await cutOff(worker, () => pause(ANNOUNCED_DRAIN_MS + random.int(MAX_LINGER_MS)))
    if (worker.incarnation === incarnation) cell.workers.crash(worker)
    await pause(50 + random.int(MAX_DOWNTIME_MS))
    cell.workers.restart(worker)
  },
  restartsTwice: async context => restartWorkerTwice(context, anyWorker(context)),
  restartsTwiceCutOff: async context => {
    const worker = anyWorker(context)
    await cutOff(worker, () => restartWorkerTwice(context, worker))
  }
}

/** Starts a chain link: workers crash for good, and the leader ends while they do or shortly after. */
async function endLeader (context: FaultContext, end: (leader: SoakDaemon) => Promise<void>): Promise<void> {
  const { cell, random } = context
  const crashes = Array.from({ length: 1 + random.int(MAX_LOST_WORKERS) }, () => ({
    beforeMs: random.int(3) ? random.int(MAX_CRASH_BEFORE_MS) : 0, silent: random.int(2) === 0, choice: random.int(1_000)
  }))
  const until = performance.now() + MAX_CRASH_BEFORE_MS
  const losses = crashes.map(async ({ beforeMs, silent, choice }) => {
    await pause(until - beforeMs - performance.now())
    const up = cell.workers.all.filter(({ incarnation }) => incarnation)
    const holders = up.filter(({ incarnation }) => [...incarnation!.worker.runs.keys()].some(task => cell.workers.isLongRunning(task)))
    if (holders.length === 0) return
    cell.workers.remove(holders[choice % holders.length], { silent })
    await pause(MAX_DOWNTIME_MS)
    await cell.workers.add()
  })
  await pause(MAX_CRASH_BEFORE_MS)
  let { leader } = cell
  while (!leader?.process || leader.endRequested || leader.paused) {
    await pause(20)
    leader = cell.leader
  }
  await Promise.all([end(leader), ...losses])
}

/** Takes a daemon away with its VM, and adds one with a new VM name. */
async function replace ({ cell, random }: FaultContext, daemon: SoakDaemon, signal: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP'): Promise<void> {
  cell.retire(daemon)
  cell.signal(daemon, daemon.hasLogged ? signal : 'SIGKILL')
  await pause(random.int(MAX_DOWNTIME_MS))
  await cell.addDaemon()
}

/** Ends of the leader among crashes of workers, by name. */
const LEADER_FAULTS: Record<string, Fault> = {
  leaderTerm: context => endLeader(context, leader => restart(context, [leader], 'SIGTERM')),
  leaderKill: context => endLeader(context, leader => restart(context, [leader], 'SIGKILL')),
  // A process that is paused and later killed does nothing more, and its ports are silent.
  leaderSilent: context => endLeader(context, async leader => {
    context.cell.signal(leader, 'SIGSTOP')
    await waitFaultDuration(context.random)
    await restart(context, [leader], 'SIGKILL')
  }),
  leaderReplaced: context => endLeader(context, leader => replace(context, leader, context.random.int(2) ? 'SIGTERM' : 'SIGKILL')),
  leaderLost: context => endLeader(context, leader => replace(context, leader, 'SIGSTOP'))
}

/** Changes beside {@link LEADER_FAULTS}, by name. */
const CHANGES: Record<string, Fault> = {
  kill: CELL_FAULTS.kill,
  term: CELL_FAULTS.term,
  hangup: CELL_FAULTS.hangup,
  configuration: CELL_FAULTS.configuration,
  workerCrash: CELL_FAULTS.workerCrash,
  storeLink: CELL_FAULTS.storeLink,
  // The worker lives, and its runs go on until its lease ends.
  workerCut: async context => {
    const worker = anyWorker(context)
    if (worker.gone) return
    worker.link.setFault(CUTS[context.random.int(CUTS.length)])
    await waitFaultDuration(context.random)
    if (!worker.gone) worker.link.setFault(LINK_FAULTS.none)
  },
  runFails: async context => {
    const { incarnation } = anyWorker(context)
    const task = [...incarnation?.worker.runs.keys() ?? []].find(each => context.cell.workers.isLongRunning(each))
    if (task) incarnation!.worker.failRun(task)
  }
}

/** Plans a chain of at least three ends of the leader, and changes beside it. */
export function planLeaderFaults (seed: number, faultsMs: number): PlannedFault[][] {
  const random = new SeededRandom(seed)
  const chain: PlannedFault[] = []
  const names = Object.keys(LEADER_FAULTS)
  for (let atMs = 0; atMs < faultsMs || chain.length < MIN_CHAIN;) {
    const afterMs = chain.length ? MIN_TERM_MS + random.int(MAX_TERM_MS - MIN_TERM_MS) : 0
    chain.push({ name: names[random.int(names.length)], afterMs })
    atMs += afterMs
  }
  return [chain, planSeries(new SeededRandom(seed + SEED_STEP), Object.keys(CHANGES), faultsMs)]
}

const FAULTS: Record<string, Fault> = { ...CELL_FAULTS, ...WORKER_FAULTS, ...CAPACITY_FAULTS, ...TEAM_FAULTS, ...LEADER_FAULTS, ...CHANGES }

/** Plans a series of faults of the cell and, unless they are left out, of its workers, of their capacities and of the teams. */
export function planFaults (
  seed: number, faultsMs: number, { workerFaults = true, capacityFaults = true, teams = false } = {}
): PlannedFault[][] {
  const kinds: Array<[boolean, Record<string, Fault>]> = [
    [true, CELL_FAULTS], [workerFaults, WORKER_FAULTS], [capacityFaults, CAPACITY_FAULTS], [teams, TEAM_FAULTS]
  ]
  return kinds.filter(([included]) => included).map(([, faults], index) => {
    return planSeries(new SeededRandom(seed + SEED_STEP * index), Object.keys(faults), faultsMs)
  })
}

function planSeries (random: SeededRandom, names: string[], faultsMs: number): PlannedFault[] {
  const planned: PlannedFault[] = []
  for (let atMs = 0; atMs < faultsMs;) {
    const afterMs = 100 + random.int(MAX_GAP_MS)
    planned.push({ name: names[random.int(names.length)], afterMs })
    atMs += afterMs
  }
  return planned
}

/** Starts the planned faults of each series one after another, and waits until all have ended. */
export async function injectFaults (cell: SoakCell, { seed, series }: { seed: number, series: PlannedFault[][] }): Promise<void> {
  const running: Array<Promise<void>> = []
  await Promise.all(series.map(async (planned, index) => {
    const context = { cell, random: new SeededRandom(seed + SEED_STEP / 2 + SEED_STEP * index) }
    for (const { name, afterMs } of planned) {
      await pause(afterMs)
      running.push(FAULTS[name](context))
    }
  }))
  await Promise.all(running)
  // A daemon that received SIGTERM while it was paused ends now and is started again.
  for (const daemon of cell.daemons) cell.signal(daemon, 'SIGCONT')
  await pause(100)
  for (const daemon of cell.daemons) if (!daemon.process) cell.startDaemon(daemon)
}
