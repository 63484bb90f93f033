/**
 * Chooses tasks to stop so that a more urgent one fits.
 *
 * @module
 */

import { JOB_KINDS } from '../../protocol/jobs.js'
import type { PreemptionPlan, TaskRequest } from '../placementTypes.js'
import type { Cluster } from './cluster.js'
import { dominantShare } from './gangPlanner.js'
import { borrows, overQuota, quotaFault, type Team } from './teamLedger.js'
import { addUnits, fitsUnits, sizeUnits, zeroUnits, type Units } from './units.js'
import { CLASS_RANK, type PlacedTask, type WorkerNode } from './workerNode.js'

/** Cost of a victim by the rank of its class, in shares of a worker. */
const RANK_COST = [16, 4, 1]

/** Cost of any victim, in shares of a worker: few victims are better than many. */
const VICTIM_COST = 0.1

/** Factor on the cost of a task whose end stops a whole gang. */
const GANG_FACTOR = 4

/** Workers for which victims are chosen in full. */
const MAX_PLANNED = 8

/** Rank of the least urgent class. */
const LEAST_URGENT = 2

const NOTHING: Readonly<Units> = zeroUnits()

interface Asker {
  task: TaskRequest
  need: Units
  rank: number
  /** True when the task stays within its team's quota. */
  entitled: boolean
}

interface Plan {
  victims: PlacedTask[]
  cost: number
}

interface NodePlan {
  node: WorkerNode
  plan: Plan
}

/** A worker with a bound below the cost of its plan. */
interface Candidate {
  node: WorkerNode
  bound: number
}

/** The worker and the cheapest tasks on it whose end would let the task fit. */
export function planPreemption (cluster: Cluster, task: TaskRequest): PreemptionPlan | undefined {
  const need = sizeUnits(task.size)
  const team = cluster.teams.find(task.team)
  if (!team || quotaFault(team, task.team, need)) return undefined
  const asker = { task, need, rank: CLASS_RANK[task.class], entitled: !overQuota(team, need) }
  const best = (asker.entitled ? cheapestOfLessUrgent(cluster, asker) : undefined) ?? firstOfBorrowers(cluster, asker)
  return best && { worker: best.node.name, victims: best.plan.victims.map(victim => victim.id) }
}

/** Plans in full only at the workers with the lowest bounds. */
function cheapestOfLessUrgent (cluster: Cluster, asker: Asker): NodePlan | undefined {
  const { largest } = cluster
  const candidates: Candidate[] = []
  for (const node of cluster.nodes.values()) {
    if (!isUsable(node, asker)) continue
    const bound = costBound(node, asker, largest)
    if (bound < (candidates[MAX_PLANNED - 1]?.bound ?? Infinity)) insert(candidates, { node, bound })
  }
  return cheapest(candidates, asker, largest)
}

/** Plans at the first workers whose tasks of borrowing teams make enough room. */
function firstOfBorrowers (cluster: Cluster, asker: Asker): NodePlan | undefined {
  const none = zeroUnits()
  const borrowers = new Set(cluster.teams.all().filter(team => team.name !== asker.task.team && borrows(team, none)))
  if (!borrowers.size) return undefined
  const candidates: Candidate[] = []
  for (const node of cluster.nodes.values()) {
    if (candidates.length === MAX_PLANNED) break
    if (isUsable(node, asker) && holdsEnough(node, asker, borrowers)) candidates.push({ node, bound: 0 })
  }
  return cheapest(candidates, asker, cluster.largest)
}

function cheapest (candidates: Candidate[], asker: Asker, largest: Units): NodePlan | undefined {
  let best: NodePlan | undefined
  for (const { node, bound } of candidates) {
    if (best && best.plan.cost <= bound) break
    const plan = planAt(node, asker, largest)
    if (plan && (!best || plan.cost < best.plan.cost)) best = { node, plan }
  }
  return best
}

function isUsable (node: WorkerNode, { task }: Asker): boolean {
  return node.takesWork && !task.avoid?.has(node.name)
}

/** Bound below the cost of making room by ending less urgent tasks. Infinite when that makes too little room. */
function costBound (node: WorkerNode, { task, need, rank }: Asker, largest: Units): number {
  const missing = {
    cpus: need.cpus - node.freeCpus(),
    memory: need.memory - node.freeMemory(),
    accelerators: need.accelerators - node.freeAccelerators()
  }
  let cost = RANK_COST[LEAST_URGENT] * VICTIM_COST
  for (let victimRank = LEAST_URGENT; victimRank > rank; victimRank--) {
    const before = missingShare(missing, largest)
    addUnits(missing, node.usedByRank[victimRank], -1)
    if (task.kind === JOB_KINDS.service) addUnits(missing, node.servicesByRank[victimRank], -1)
    cost += RANK_COST[victimRank] * (before - missingShare(missing, largest))
    if (fitsUnits(missing, NOTHING)) return cost
  }
  return fitsUnits(missing, NOTHING) ? cost : Infinity
}

function missingShare (missing: Units, largest: Units): number {
  return Math.max(0, missing.cpus / largest.cpus, missing.memory / largest.memory)
}

/** Whether the tasks of borrowing teams make enough room, were all of them ended. */
function holdsEnough (node: WorkerNode, asker: Asker, borrowers: ReadonlySet<Team>): boolean {
  const room = node.roomBesides(undefined)
  const none = zeroUnits()
  for (const task of node.tasks) {
    if ((borrowers.has(task.team) || (asker.entitled && task.rank > asker.rank)) && mayStop(task, asker, none)) addUnits(room, task.size)
  }
  return fitsUnits(asker.need, room)
}

/** Inserts in the order of the bounds and keeps the lowest. */
function insert (candidates: Candidate[], candidate: Candidate): void {
  let at = candidates.length
  while (at > 0 && candidates[at - 1].bound > candidate.bound) at--
  candidates.splice(at, 0, candidate)
  if (candidates.length > MAX_PLANNED) candidates.pop()
}

function planAt (node: WorkerNode, asker: Asker, largest: Units): Plan | undefined {
  const room = node.roomBesides(undefined)
  const released = new Map<Team, Units>()
  const victims: PlacedTask[] = []
  for (const { task } of rankedVictims(node, asker, largest)) {
    if (fitsUnits(asker.need, room)) break
    if (!mayStop(task, asker, released.get(task.team) ?? zeroUnits())) continue
    victims.push(task)
    addUnits(room, task.size)
    const sum = released.get(task.team) ?? zeroUnits()
    addUnits(sum, task.size)
    released.set(task.team, sum)
  }
  if (!fitsUnits(asker.need, room)) return undefined
  const needed = withoutSpares(victims, room, asker.need)
  return { victims: needed, cost: needed.reduce((sum, victim) => sum + costOf(victim, largest), 0) }
}

/** Tasks of the worker that may be stopped, cheapest first. */
function rankedVictims (node: WorkerNode, asker: Asker, largest: Units): Array<{ task: PlacedTask, cost: number }> {
  const none = zeroUnits()
  return [...node.tasks]
    .filter(task => mayStop(task, asker, none))
    .map(task => ({ task, cost: costOf(task, largest) }))
    .sort((a, b) => a.cost - b.cost)
}

/** Less urgent tasks may be stopped, and equally urgent ones that run on what their team borrows. */
function mayStop (victim: PlacedTask, { task, rank, entitled }: Asker, released: Units): boolean {
  if (victim.rank < rank) return false
  if (victim.kind === JOB_KINDS.service && task.kind !== JOB_KINDS.service) return false
  const borrowed = victim.team.name !== task.team && borrows(victim.team, released)
  if (!entitled) return borrowed && victim.rank > rank
  return borrowed || victim.rank > rank
}

/** Leaves out victims that are not needed, the most expensive first. */
function withoutSpares (victims: PlacedTask[], room: Units, need: Units): PlacedTask[] {
  const needed: PlacedTask[] = []
  for (const victim of [...victims].reverse()) {
    addUnits(room, victim.size, -1)
    if (fitsUnits(need, room)) continue
    addUnits(room, victim.size)
    needed.unshift(victim)
  }
  return needed
}

function costOf (victim: PlacedTask, largest: Units): number {
  const factor = victim.kind === JOB_KINDS.gang ? GANG_FACTOR : 1
  return RANK_COST[victim.rank] * factor * (VICTIM_COST + dominantShare(victim.size, largest))
}
