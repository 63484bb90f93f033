/**
 * Reservations: room that is held for gangs that do not fit yet, so that a stream of small tasks cannot starve them.
 *
 * @module
 */

import type { Timers } from '../../seams/timers.js'
import type { Cluster } from './cluster.js'
import { planGang, type Gang, type GangAssignment, type WorkerRoom } from './gangPlanner.js'
import { mayHoldGang, missingShare } from './groupRoom.js'
import { addUnits, RESOURCES, zeroUnits, type Units } from './units.js'
import type { GroupKind, WorkerGroup, WorkerNode } from './workerNode.js'

/** Maximum number of racks or failure domains for which a reservation is planned. */
const MAX_PLANNED_GROUPS = 8

/** Settings of reservations. */
export interface ReservationConfig {
  /** A reservation ends this long after the last attempt to place its gang. */
  reservationMs: number
  /** Time after which a reservation may move to other workers if its gang still does not fit. */
  retargetMs: number
  /** More urgent single tasks may use the held room during this time after the reservation was made. */
  yieldMs: number
  /** Maximum share of a failure domain that all reservations together may hold. A single reservation is not limited. */
  maxHeldShare: number
}

/** A reservation of one gang. */
export interface Reservation {
  readonly jobId: string
  /** Rank of the job's class: 0 is the most urgent. */
  readonly rank: number
  readonly createdAtMs: number
  /** Time at which the workers were last chosen. */
  targetedAtMs: number
  expiresAtMs: number
  /** Room held on each worker. */
  holds: Map<WorkerNode, Units>
}

/** A gang for which room is to be held. */
export interface ReservationRequest {
  jobId: string
  rank: number
  gang: Gang
  within: GroupKind
}

/** The room that a reservation would hold in one rack or failure domain. */
interface ReservationTarget {
  holds: Map<WorkerNode, Units>
  /** Room that must become free before the gang fits, as a sum of shares of the largest worker. */
  missing: number
}

/** The reservations of all waiting gangs, in the order in which they were made. */
export class Reservations {
  private readonly _cluster: Cluster
  private readonly _timers: Timers
  private readonly _cfg: ReservationConfig
  private readonly _byJob = new Map<string, Reservation>()
  private _nextExpiryMs = Infinity

  constructor ({ cluster, timers, cfg }: { cluster: Cluster, timers: Timers, cfg: ReservationConfig }) {
    this._cluster = cluster
    this._timers = timers
    this._cfg = cfg
  }

  get size (): number {
    return this._byJob.size
  }

  /** Room held for the job on each worker. */
  holdsOf (jobId: string): ReadonlyMap<WorkerNode, Units> | undefined {
    return this._byJob.get(jobId)?.holds
  }

  /** Reservations whose held room a task of this rank may use: those of less urgent gangs that are younger than `yieldMs`. */
  yieldingTo (rank: number): Reservation[] {
    const nowMs = this._timers.now()
    return [...this._byJob.values()].filter(item => item.rank > rank && nowMs - item.createdAtMs < this._cfg.yieldMs)
  }

  /** Ends the reservations that have expired. */
  releaseExpired (): void {
    const nowMs = this._timers.now()
    if (nowMs < this._nextExpiryMs) return
    for (const { jobId, expiresAtMs } of this._byJob.values()) {
      if (expiresAtMs <= nowMs) this.release(jobId)
    }
    this._nextExpiryMs = Math.min(Infinity, ...[...this._byJob.values()].map(item => item.expiresAtMs))
  }

  release (jobId: string): void {
    const reservation = this._byJob.get(jobId)
    if (!reservation) return
    this._setHolds(reservation, new Map())
    this._byJob.delete(jobId)
  }

  /** Removes all holds on a node that has been removed or replaced. */
  dropNode (node: WorkerNode): void {
    for (const { holds } of this._byJob.values()) {
      const held = holds.get(node)
      if (held) addUnits(node.held, held, -1)
      holds.delete(node)
    }
  }

  /** Makes or renews the reservation of a gang that does not fit now. Returns false when no room can be held for it. */
  reserve (req: ReservationRequest): boolean {
    const nowMs = this._timers.now()
    const existing = this._byJob.get(req.jobId)
    const expiresAtMs = nowMs + this._cfg.reservationMs
    this._nextExpiryMs = Math.min(this._nextExpiryMs, expiresAtMs)
    if (existing && !this._isStale(existing, req.gang)) {
      existing.expiresAtMs = expiresAtMs
      return true
    }
    if (existing) this._setHolds(existing, new Map())
    const target = this._findTarget(req)
    if (!target) {
      this._byJob.delete(req.jobId)
      return false
    }
    const { jobId, rank } = req
    const reservation = existing ?? { jobId, rank, createdAtMs: nowMs, targetedAtMs: nowMs, expiresAtMs, holds: new Map() }
    Object.assign(reservation, { targetedAtMs: nowMs, expiresAtMs })
    this._byJob.set(jobId, reservation)
    this._setHolds(reservation, target.holds)
    return true
  }

  /** Whether the workers must be chosen anew: too long without success, a worker that takes no work, or a changed size of the gang. */
  private _isStale ({ holds, targetedAtMs }: Reservation, gang: Gang): boolean {
    if (this._timers.now() - targetedAtMs >= this._cfg.retargetMs) return true
    const sum = zeroUnits()
    for (const [node, held] of holds) {
      if (!node.takesWork) return true
      addUnits(sum, held)
    }
    return RESOURCES.some(resource => sum[resource] !== gang.total[resource])
  }

  private _setHolds (reservation: Reservation, holds: Map<WorkerNode, Units>): void {
    for (const [node, held] of reservation.holds) this._cluster.adjustHeldRoom(node, held, -1)
    for (const [node, held] of holds) this._cluster.adjustHeldRoom(node, held, 1)
    reservation.holds = holds
  }

  /** The rack or failure domain in which the least room must become free. */
  private _findTarget ({ gang, within }: ReservationRequest): ReservationTarget | undefined {
    let best: ReservationTarget | undefined
    for (const group of this._candidateGroups(gang, within)) {
      const target = this._planTarget(group, gang)
      if (target && (!best || target.missing < best.missing)) best = target
    }
    return best
  }

  /** The racks or failure domains that can hold the gang once their tasks have ended, of which only those with the most free room now. */
  private _candidateGroups (gang: Gang, within: GroupKind): WorkerGroup[] {
    const domains = new Map([...this._cluster.groups('failureDomain')].map(domain => [domain, this._staysWithinHeldShare(domain, gang)]))
    const { largest } = this._cluster
    return [...this._cluster.groups(within)]
      .filter(group => domains.get(domainOf(group)) && mayHoldGang(group, gang, readRoomWithoutTasks))
      .map(group => ({ group, missing: missingShare(gang.total, group.free, largest) }))
      .sort((a, b) => a.missing - b.missing)
      .slice(0, MAX_PLANNED_GROUPS)
      .map(({ group }) => group)
  }

  private _planTarget (group: WorkerGroup, gang: Gang): ReservationTarget | undefined {
    const rooms = [...group.nodes].filter(node => node.takesWork).map(node => ({ node, room: roomWithoutTasks(node) }))
    const assignments = planGang(gang, rooms.sort(emptierFirst))
    return assignments && toReservationTarget(assignments, this._cluster.largest)
  }

  /** Whether all reservations of the failure domain stay within the held share with this gang. */
  private _staysWithinHeldShare (domain: WorkerGroup, gang: Gang): boolean {
    const held = zeroUnits()
    const capacity = zeroUnits()
    for (const node of domain.nodes) {
      addUnits(held, node.held)
      addUnits(capacity, node.capacity)
    }
    const { maxHeldShare } = this._cfg
    return RESOURCES.every(resource => held[resource] === 0 || held[resource] + gang.total[resource] <= capacity[resource] * maxHeldShare)
  }
}

function domainOf ({ nodes }: WorkerGroup): WorkerGroup {
  const [first] = nodes
  return first.groups.failureDomain
}

/** Room once all tasks except services have ended, without the room held by reservations. */
function roomWithoutTasks (node: WorkerNode): Units {
  const room = zeroUnits()
  readRoomWithoutTasks(node, room)
  return room
}

function readRoomWithoutTasks ({ capacity, usedByServices, held }: WorkerNode, room: Units): void {
  room.cpus = capacity.cpus - usedByServices.cpus - held.cpus
  room.memory = capacity.memory - usedByServices.memory - held.memory
  room.accelerators = capacity.accelerators - usedByServices.accelerators - held.accelerators
}

function emptierFirst (a: WorkerRoom, b: WorkerRoom): number {
  return Math.sign(a.node.capacity.accelerators) - Math.sign(b.node.capacity.accelerators) || b.node.freeCpus() - a.node.freeCpus()
}

function toReservationTarget (assignments: GangAssignment[], largest: Units): ReservationTarget {
  const holds = new Map<WorkerNode, Units>()
  for (const { node, part, count } of assignments) {
    const held = holds.get(node) ?? zeroUnits()
    addUnits(held, part.need, count)
    holds.set(node, held)
  }
  return { holds, missing: missingShareOfHolds(holds, largest) }
}

function missingShareOfHolds (holds: Map<WorkerNode, Units>, largest: Units): number {
  let missing = 0
  for (const [node, held] of holds) {
    missing += missingShare(held, node.freeRoom(undefined), largest)
  }
  return missing
}
