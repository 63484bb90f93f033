/**
 * Chooses tasks to stop (victims) so that another task (the preemptor) fits: a more urgent one, or one whose team is
 * within its quota while the team of the victims exceeds its own.
 *
 * @module
 */

import { JOB_KINDS } from '../../protocol/jobs.js'
import type { PreemptionPlan, TaskRequest } from '../placementTypes.js'
import type { Cluster } from './cluster.js'
import { dominantShare } from './gangPlanner.js'
import { isBorrowing, findExceededQuota, quotaRefusalText, type Team } from './teamQuotas.js'
import { addUnits, fitsUnits, sizeUnits, zeroUnits, type Units } from './units.js'
import { RANK_BY_CLASS, type PlacedTask, type WorkerNode } from './workerNode.js'

/** Cost of a victim by the rank of its class, per share of the largest worker that it uses. */
const COST_BY_RANK = [16, 4, 1]

/** Share of a worker that is added to the size of each victim, so that a few large victims cost less than many small ones. */
const COST_PER_VICTIM = 0.1

/** Factor on the cost of a gang's task, since stopping it stops the whole gang. */
const GANG_COST_FACTOR = 4

/** Maximum number of workers for which the victims are planned. */
const MAX_PLANNED_WORKERS = 8

/** Rank of the least urgent class. */
const LEAST_URGENT_RANK = 2

const ZERO_UNITS: Readonly<Units> = zeroUnits()

/** The task for which room is to be made. */
interface Preemptor {
  task: TaskRequest
  need: Units
  rank: number
  /** True when the team stays within its quota with this task. */
  withinQuota: boolean
}

interface VictimPlan {
  victims: PlacedTask[]
  cost: number
}

interface NodePlan {
  node: WorkerNode
  plan: VictimPlan
}

/** A worker with a lower bound of the cost of its plan. */
interface Candidate {
  node: WorkerNode
  minCost: number
}

/** The worker and the cheapest tasks to stop on it so that the task fits. */
export function planPreemption (cluster: Cluster, task: TaskRequest): PreemptionPlan | undefined {
  const need = sizeUnits(task.size)
  const team = cluster.teams.find(task.team)
  if (!team || quotaRefusalText(team, task.team, need)) return undefined
  const preemptor = { task, need, rank: RANK_BY_CLASS[task.class], withinQuota: !findExceededQuota(team, need) }
  const best = (preemptor.withinQuota ? planByUrgency(cluster, preemptor) : undefined) ?? planByBorrowing(cluster, preemptor)
  return best && { worker: best.node.name, victims: best.plan.victims.map(victim => victim.id) }
}

/** Estimates for each worker the cost of stopping less urgent tasks, and plans victims only for those with the lowest estimates. */
function planByUrgency (cluster: Cluster, preemptor: Preemptor): NodePlan | undefined {
  const { largest } = cluster
  const candidates: Candidate[] = []
  for (const node of cluster.nodes.values()) {
    if (!isUsable(node, preemptor)) continue
    const minCost = minCostAt(node, preemptor, largest)
    if (minCost < (candidates[MAX_PLANNED_WORKERS - 1]?.minCost ?? Infinity)) insertCandidate(candidates, { node, minCost })
  }
  return cheapestPlan(candidates, preemptor, largest)
}

/**
 * Considers tasks of other teams that borrow and, for a preemptor within its quota, also less urgent tasks.
 * Plans them for the first workers on which they make enough room.
 */
function planByBorrowing (cluster: Cluster, preemptor: Preemptor): NodePlan | undefined {
  const nothingReleased = zeroUnits()
  const borrowers = new Set(cluster.teams.all().filter(team => team.name !== preemptor.task.team && isBorrowing(team, nothingReleased)))
  if (!borrowers.size) return undefined
  const candidates: Candidate[] = []
  for (const node of cluster.nodes.values()) {
    if (candidates.length === MAX_PLANNED_WORKERS) break
    if (isUsable(node, preemptor) && victimsMakeRoom(node, preemptor, borrowers)) candidates.push({ node, minCost: 0 })
  }
  return cheapestPlan(candidates, preemptor, cluster.largest)
}

function cheapestPlan (candidates: Candidate[], preemptor: Preemptor, largest: Units): NodePlan | undefined {
  let best: NodePlan | undefined
  for (const { node, minCost } of candidates) {
    if (best && best.plan.cost <= minCost) break
    const plan = planVictims(node, preemptor, largest)
    if (plan && (!best || plan.cost < best.plan.cost)) best = { node, plan }
  }
  return best
}

function isUsable (node: WorkerNode, { task }: Preemptor): boolean {
  return node.takesWork && !task.avoid?.has(node.name)
}

/** Lower bound of the cost of stopping less urgent tasks until the task fits. Infinite when they do not make enough room. */
function minCostAt (node: WorkerNode, { task, need, rank }: Preemptor, largest: Units): number {
  const missing = {
    cpus: need.cpus - node.freeCpus(),
    memory: need.memory - node.freeMemory(),
    accelerators: need.accelerators - node.freeAccelerators()
  }
  let cost = COST_BY_RANK[LEAST_URGENT_RANK] * COST_PER_VICTIM
  for (let victimRank = LEAST_URGENT_RANK; victimRank > rank; victimRank--) {
    const before = largestMissingShare(missing, largest)
    addUnits(missing, node.nonServiceUseByRank[victimRank], -1)
    if (task.kind === JOB_KINDS.service) addUnits(missing, node.serviceUseByRank[victimRank], -1)
    cost += COST_BY_RANK[victimRank] * (before - largestMissingShare(missing, largest))
    if (fitsUnits(missing, ZERO_UNITS)) return cost
  }
  return fitsUnits(missing, ZERO_UNITS) ? cost : Infinity
}

function largestMissingShare (missing: Units, largest: Units): number {
  return Math.max(0, missing.cpus / largest.cpus, missing.memory / largest.memory)
}

/** Whether the task would fit if all possible victims on the worker were stopped. */
function victimsMakeRoom (node: WorkerNode, preemptor: Preemptor, borrowers: ReadonlySet<Team>): boolean {
  const room = node.freeRoom(undefined)
  const nothingReleased = zeroUnits()
  for (const task of node.tasks) {
    if ((borrowers.has(task.team) || (preemptor.withinQuota && task.rank > preemptor.rank)) &&
      mayPreempt(task, preemptor, nothingReleased)) addUnits(room, task.size)
  }
  return fitsUnits(preemptor.need, room)
}

/** Inserts in the order of minimum cost and keeps only the candidates with the lowest. */
function insertCandidate (candidates: Candidate[], candidate: Candidate): void {
  let index = candidates.length
  while (index > 0 && candidates[index - 1].minCost > candidate.minCost) index--
  candidates.splice(index, 0, candidate)
  if (candidates.length > MAX_PLANNED_WORKERS) candidates.pop()
}

function planVictims (node: WorkerNode, preemptor: Preemptor, largest: Units): VictimPlan | undefined {
  const room = node.freeRoom(undefined)
  const released = new Map<Team, Units>()
  const victims: PlacedTask[] = []
  for (const { task } of victimsByCost(node, preemptor, largest)) {
    if (fitsUnits(preemptor.need, room)) break
    if (!mayPreempt(task, preemptor, released.get(task.team) ?? zeroUnits())) continue
    victims.push(task)
    addUnits(room, task.size)
    const sum = released.get(task.team) ?? zeroUnits()
    addUnits(sum, task.size)
    released.set(task.team, sum)
  }
  if (!fitsUnits(preemptor.need, room)) return undefined
  const needed = dropUnneeded(victims, room, preemptor.need)
  return { victims: needed, cost: needed.reduce((sum, victim) => sum + victimCost(victim, largest), 0) }
}

/** The tasks on the worker that the preemptor may stop, cheapest first. */
function victimsByCost (node: WorkerNode, preemptor: Preemptor, largest: Units): Array<{ task: PlacedTask, cost: number }> {
  const nothingReleased = zeroUnits()
  return [...node.tasks]
    .filter(task => mayPreempt(task, preemptor, nothingReleased))
    .map(task => ({ task, cost: victimCost(task, largest) }))
    .sort((a, b) => a.cost - b.cost)
}

/**
 * Whether the preemptor may stop `victim`. More urgent tasks are never stopped, and services only for a service. A
 * preemptor within its team's quota may stop less urgent tasks of all teams, and equally urgent tasks of other teams that
 * borrow. A preemptor beyond its team's quota may stop only less urgent tasks of other teams that borrow. `released` is
 * the size of the tasks of the victim's team that are already to be stopped, and no longer counts as used by that team.
 */
function mayPreempt (victim: PlacedTask, { task, rank, withinQuota }: Preemptor, released: Units): boolean {
  if (victim.rank < rank) return false
  if (victim.kind === JOB_KINDS.service && task.kind !== JOB_KINDS.service) return false
  const borrowed = victim.team.name !== task.team && isBorrowing(victim.team, released)
  if (!withinQuota) return borrowed && victim.rank > rank
  return borrowed || victim.rank > rank
}

/** Drops victims that need not be stopped, considering the most expensive ones first. */
function dropUnneeded (victims: PlacedTask[], room: Units, need: Units): PlacedTask[] {
  const needed: PlacedTask[] = []
  for (const victim of [...victims].reverse()) {
    addUnits(room, victim.size, -1)
    if (fitsUnits(need, room)) continue
    addUnits(room, victim.size)
    needed.unshift(victim)
  }
  return needed
}

function victimCost (victim: PlacedTask, largest: Units): number {
  const factor = victim.kind === JOB_KINDS.gang ? GANG_COST_FACTOR : 1
  return COST_BY_RANK[victim.rank] * factor * (COST_PER_VICTIM + dominantShare(victim.size, largest))
}
