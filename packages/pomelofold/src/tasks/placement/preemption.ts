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

/** The worker and the cheapest tasks on it whose end would let the task fit. */
export function planPreemption (cluster: Cluster, task: TaskRequest): PreemptionPlan | undefined {
  const need = sizeUnits(task.size)
  const team = cluster.teams.find(task.team)
  if (!team || quotaFault(team, task.team, need)) return undefined
  const asker = { task, need, rank: CLASS_RANK[task.class], entitled: !overQuota(team, need) }
  let best: { node: WorkerNode, plan: Plan } | undefined
  for (const node of cluster.nodes.values()) {
    if (!node.takesWork || task.avoid?.has(node.name)) continue
    const plan = planAt(node, asker, cluster.largest)
    if (plan && (!best || plan.cost < best.plan.cost)) best = { node, plan }
  }
  return best && { worker: best.node.name, victims: best.plan.victims.map(victim => victim.id) }
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
