/**
 * Random crashes, cuts and changes of leader, from a seed, in a cell with long-running tasks.
 *
 * @module
 */

import { SeededRandom } from '@pomelofold/standins/seededRandom'
import { cellWithService, crashForGood, followersOf, type ServiceCell } from './leaderChain.js'
import type { WorkflowCell } from './workflowCell.js'

/** Time until the faults of leaders and the store end, and until those of workers end, in milliseconds. */
const LEADER_FAULTS_MS = 48_000
const WORKER_FAULTS_MS = 60_000
/** Time from the loss of a VM until a new one has taken its place, in milliseconds. */
const REPLACEMENT_MS = 3_000
const TASKS = 6
const DAEMONS = 5
const DOMAINS = ['a', 'b', 'c']

/** A fault and, after `forMs`, its end. */
type Fault = (cell: WorkflowCell, random: SeededRandom, forMs: number) => void

const WORKER_FAULTS: Fault[] = [
  function goes (cell, random) {
    crashForGood(pick(upWorkers(cell), random), { silent: random.int(2) === 0 })
    cell.timers.after(REPLACEMENT_MS, () => { cell.addWorker() })
  },
  function isSilent (cell, random, forMs) {
    const worker = pick(upWorkers(cell), random)
    worker.faults.unreachable = true
    cell.timers.after(forMs, () => { if (!worker.faults.unlisted) worker.faults.unreachable = false })
  },
  function isCutFromSome (cell, random, forMs) {
    const { entry: { id } } = pick(upWorkers(cell), random)
    const clients = cell.daemons.filter(() => random.int(2) === 0).map(({ client }) => client)
    for (const client of clients) client.unreachableWorkers.add(id)
    cell.timers.after(forMs, () => { for (const client of clients) client.unreachableWorkers.delete(id) })
  },
  function losesAnswers (cell, random, forMs) {
    const { faults } = pick(upWorkers(cell), random)
    Object.assign(faults, { loseEveryNthAnswer: 2, orderDelayMs: random.int(2) * random.int(3_000) })
    cell.timers.after(forMs, () => { Object.assign(faults, { loseEveryNthAnswer: 0, orderDelayMs: 0 }) })
  },
  function failsTasks (cell, random) {
    const worker = pick(upWorkers(cell), random)
    for (const task of worker.runs.keys()) worker.failRun(task)
  }
]

const LEADER_FAULTS: Fault[] = [
  function isKilled (cell, random) {
    const { leader } = cell
    leader?.process.kill()
    if (random.int(2) === 0) followersOf(cell)[0]?.daemon.service.state('0'.repeat(16))
    replaceVm(cell, random)
  },
  function handsOver (cell, random) {
    const { leader } = cell
    leader?.daemon.handOver().then(() => leader.daemon.close()).then(() => leader.process.kill())
    replaceVm(cell, random)
  },
  function isCutOff (cell, random, forMs) {
    const { leader } = cell
    if (!leader) return
    leader.platform.faults.unreachable = true
    const domain = DOMAINS[random.int(DOMAINS.length)]
    cell.cutDomains.add(domain)
    cell.timers.after(forMs, () => { leader.platform.faults.unreachable = false; cell.cutDomains.delete(domain) })
  },
  function storeIsLost (cell, random, forMs) {
    const name = pick(['unreachable', 'loseAnswers'] as const, random)
    const links = cell.daemons.filter(() => random.int(3) > 0).map(({ platform }) => platform.faults)
    for (const faults of links) faults[name] = true
    cell.timers.after(forMs / 2, () => { for (const faults of links) faults[name] = false })
  },
  function storeIsSlow (cell, random, forMs) {
    for (const { platform } of cell.daemons) platform.faults.delayMs = 50 + random.int(450)
    cell.timers.after(forMs, () => { for (const { platform } of cell.daemons) platform.faults.delayMs = 1 })
  }
]

/** Plays faults for 60 s. Leaders and the store have none in the last 12 s, and no fault lasts beyond the end. */
export async function playRandomTakeovers (seed: number): Promise<ServiceCell & { faults: string[] }> {
  const random = new SeededRandom(seed)
  const service = await cellWithService({ seed, daemons: 0, workers: 5, step: { tasks: TASKS }, prepare: startDaemons })
  const { cell } = service
  const startMs = cell.timers.now()
  const faults: string[] = []
  for (;;) {
    await cell.timers.advance(300 + random.int(2_500))
    const nowMs = cell.timers.now() - startMs
    if (nowMs >= WORKER_FAULTS_MS) break
    const ofLeaders = nowMs < LEADER_FAULTS_MS && random.int(2) === 0
    const fault = pick(ofLeaders ? LEADER_FAULTS : WORKER_FAULTS, random)
    const endMs = ofLeaders ? LEADER_FAULTS_MS : WORKER_FAULTS_MS
    faults.push(`${nowMs} ${fault.name}`)
    if (upWorkers(cell).length > 2) fault(cell, random, Math.min(300 + random.int(7_000), endMs - nowMs))
  }
  return { ...service, faults }
}

function startDaemons (cell: WorkflowCell): void {
  for (let index = 0; index < DAEMONS; index++) cell.startDaemon(`d${index}`, { failureDomain: DOMAINS[index % DOMAINS.length] })
}

/** Starts a VM with a new name, at once or after some time. */
function replaceVm (cell: WorkflowCell, random: SeededRandom): void {
  const size = 1 + random.int(2)
  cell.timers.after(random.int(REPLACEMENT_MS), () => {
    const index = cell.daemons.length
    cell.startDaemon(`d${index}`, { size, failureDomain: DOMAINS[index % DOMAINS.length] })
  })
}

/** Workers that run and answer at least some calls. */
function upWorkers (cell: WorkflowCell): WorkflowCell['workers'] {
  return cell.workers.filter(({ faults }) => !faults.unlisted && !faults.unreachable)
}

function pick<T> (items: readonly T[], random: SeededRandom): T {
  return items[random.int(items.length)]
}
