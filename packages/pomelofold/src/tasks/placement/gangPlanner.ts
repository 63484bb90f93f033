/**
 * Finds workers for all tasks of a gang at once.
 *
 * @module
 */

import type { TaskRequest } from '../placementTypes.js'
import { addUnits, RESOURCES, sizeUnits, timesFits, zeroUnits, type Resource, type Units } from './units.js'
import type { WorkerNode } from './workerNode.js'

/** Equal tasks of a gang. */
export interface GangPart {
  need: Units
  tasks: TaskRequest[]
  avoid: ReadonlySet<string> | undefined
}

/** A gang, largest tasks first. */
export interface Gang {
  parts: GangPart[]
  total: Units
}

/** Room of one worker while a plan is made. */
export interface PlanRoom {
  node: WorkerNode
  room: Units
}

/** A worker with the part of a gang that goes there. */
export interface GangShare {
  node: WorkerNode
  part: GangPart
  count: number
}

/** Groups equal tasks and orders the groups by the share of `largest` that one task takes. */
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

/** Spreads the parts over the rooms in their order. Undefined when not every task fits. Uses the rooms up. */
export function planGang ({ parts, total }: Gang, rooms: PlanRoom[]): GangShare[] | undefined {
  if (!sumFits(total, rooms)) return undefined
  const shares: GangShare[] = []
  for (const part of parts) {
    let left = part.tasks.length
    for (const { node, room } of rooms) {
      if (!left) break
      if (part.avoid?.has(node.name)) continue
      const count = timesFits(part.need, room, left)
      if (!count) continue
      addUnits(room, part.need, -count)
      shares.push({ node, part, count })
      left -= count
    }
    if (left) return undefined
  }
  return shares
}

/** How many tasks of the gang fit into the rooms. Uses the rooms up. */
export function countFitting ({ parts }: Gang, rooms: PlanRoom[]): number {
  let fitting = 0
  for (const { need, tasks, avoid } of parts) {
    let left = tasks.length
    for (const { node, room } of rooms) {
      if (avoid?.has(node.name)) continue
      const count = timesFits(need, room, left)
      addUnits(room, need, -count)
      left -= count
    }
    fitting += tasks.length - left
  }
  return fitting
}

/** Names the worker of each task. */
export function assignTasks (shares: GangShare[]): Map<TaskRequest, WorkerNode> {
  const assigned = new Map<TaskRequest, WorkerNode>()
  const taken = new Map<GangPart, number>()
  for (const { node, part, count } of shares) {
    const from = taken.get(part) ?? 0
    for (const task of part.tasks.slice(from, from + count)) assigned.set(task, node)
    taken.set(part, from + count)
  }
  return assigned
}

/** The largest share of one resource that `need` takes. */
export function dominantShare (need: Units, whole: Units): number {
  return Math.max(...RESOURCES.map(resource => share(resource, need, whole)))
}

function share (resource: Resource, need: Units, whole: Units): number {
  return need[resource] === 0 ? 0 : need[resource] / Math.max(1, whole[resource])
}

function sumFits (total: Units, rooms: PlanRoom[]): boolean {
  const sum = zeroUnits()
  for (const { room } of rooms) {
    for (const resource of RESOURCES) sum[resource] += Math.max(0, room[resource])
    if (RESOURCES.every(resource => total[resource] <= sum[resource])) return true
  }
  return false
}
