/**
 * Plans the placement of all tasks of a gang at once.
 *
 * @module
 */

import type { TaskRequest } from '../placementTypes.js'
import { addUnits, RESOURCES, sizeUnits, fitCount, zeroUnits, type Resource, type Units } from './units.js'
import type { WorkerNode } from './workerNode.js'

/** Tasks of a gang that have the same size and avoid the same workers. */
export interface GangPart {
  need: Units
  tasks: TaskRequest[]
  avoid: ReadonlySet<string> | undefined
}

/** A gang that is to be placed as a whole. */
export interface Gang {
  /** Parts with the largest tasks first. */
  parts: GangPart[]
  /** Total size of all tasks. */
  total: Units
}

/** A worker and its remaining room while a plan is made. */
export interface WorkerRoom {
  node: WorkerNode
  room: Units
}

/** A number of tasks of one gang part that are assigned to a worker. */
export interface GangAssignment {
  node: WorkerNode
  part: GangPart
  count: number
}

/** Groups equal tasks into parts, and orders these by the dominant share of one task in `largest`, largest first. */
export function toGang (tasks: TaskRequest[], largest: Units): Gang {
  const parts = new Map<string, GangPart>()
  const total = zeroUnits()
  for (const task of tasks) {
    const need = sizeUnits(task.size)
    addUnits(total, need)
    const key = `${need.cpus} ${need.memory} ${need.accelerators} ${task.avoid?.size ? [...task.avoid].sort().join() : ''}`
    const part = parts.get(key)
    if (part) part.tasks.push(task)
    else parts.set(key, { need, tasks: [task], avoid: task.avoid })
  }
  const ordered = [...parts.values()].sort((a, b) => dominantShare(b.need, largest) - dominantShare(a.need, largest))
  return { parts: ordered, total }
}

/** Assigns the parts to the rooms, both in the given order. Undefined when not every task fits. Reduces the rooms in place. */
export function planGang ({ parts, total }: Gang, rooms: WorkerRoom[]): GangAssignment[] | undefined {
  if (!totalFits(total, rooms)) return undefined
  const assignments: GangAssignment[] = []
  for (const part of parts) {
    let remaining = part.tasks.length
    for (const { node, room } of rooms) {
      if (!remaining) break
      if (part.avoid?.has(node.name)) continue
      const count = fitCount(part.need, room, remaining)
      if (!count) continue
      addUnits(room, part.need, -count)
      assignments.push({ node, part, count })
      remaining -= count
    }
    if (remaining) return undefined
  }
  return assignments
}

/** Number of tasks of the gang that fit into the rooms. Reduces the rooms in place. */
export function countFitting ({ parts }: Gang, rooms: WorkerRoom[]): number {
  let fittingCount = 0
  for (const { need, tasks, avoid } of parts) {
    let remaining = tasks.length
    for (const { node, room } of rooms) {
      if (avoid?.has(node.name)) continue
      const count = fitCount(need, room, remaining)
      addUnits(room, need, -count)
      remaining -= count
    }
    fittingCount += tasks.length - remaining
  }
  return fittingCount
}

/** The worker of each task. */
export function workersOfTasks (assignments: GangAssignment[]): Map<TaskRequest, WorkerNode> {
  const assigned = new Map<TaskRequest, WorkerNode>()
  const assignedCounts = new Map<GangPart, number>()
  for (const { node, part, count } of assignments) {
    const firstIndex = assignedCounts.get(part) ?? 0
    for (const task of part.tasks.slice(firstIndex, firstIndex + count)) assigned.set(task, node)
    assignedCounts.set(part, firstIndex + count)
  }
  return assigned
}

/** The largest of the shares that `need` takes of each resource of `whole`. */
export function dominantShare (need: Units, whole: Units): number {
  return Math.max(...RESOURCES.map(resource => resourceShare(resource, need, whole)))
}

function resourceShare (resource: Resource, need: Units, whole: Units): number {
  return need[resource] === 0 ? 0 : need[resource] / Math.max(1, whole[resource])
}

/** A quick check before planning: whether the rooms together have enough of each resource. */
function totalFits (total: Units, rooms: WorkerRoom[]): boolean {
  const sum = zeroUnits()
  for (const { room } of rooms) {
    for (const resource of RESOURCES) sum[resource] += Math.max(0, room[resource])
    if (RESOURCES.every(resource => total[resource] <= sum[resource])) return true
  }
  return false
}
