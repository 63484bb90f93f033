/**
 * Quotas of teams and the total size of their placed tasks.
 *
 * @module
 */

import type { Capacity } from '../../protocol/vms.js'
import { addUnits, amountText, capacityUnits, RESOURCES, zeroUnits, type Resource, type Units } from './units.js'

/** A team with its quota and its use of it. */
export interface Team {
  readonly name: string
  /** False when no manifest names the team. */
  listed: boolean
  quota: Units
  /** Whether the team may exceed its quota while there is free room. */
  borrow: boolean
  /** Total size of the team's placed tasks. */
  readonly used: Units
}

/** The quota and use of each team by name. */
export class TeamQuotas {
  private readonly _teams = new Map<string, Team>()

  /** Replaces all quotas. Teams that are not listed keep the count of their placed tasks and cannot place further ones. */
  setTeams (teams: Array<{ name: string, quota: Capacity, borrow: boolean }>): void {
    for (const team of this._teams.values()) {
      team.listed = false
      team.borrow = false
      team.quota = zeroUnits()
    }
    for (const { name, quota, borrow } of teams) {
      Object.assign(this.findOrAdd(name), { listed: true, quota: capacityUnits(quota), borrow })
    }
    this._dropUnused()
  }

  /** The team of this name. An unknown one is added without a quota. */
  findOrAdd (name: string): Team {
    let team = this._teams.get(name)
    if (!team) {
      team = { name, listed: false, quota: zeroUnits(), borrow: false, used: zeroUnits() }
      this._teams.set(name, team)
    }
    return team
  }

  all (): Team[] {
    return [...this._teams.values()]
  }

  find (name: string): Team | undefined {
    return this._teams.get(name)
  }

  private _dropUnused (): void {
    for (const team of this._teams.values()) {
      const isUnused = RESOURCES.every(resource => team.used[resource] === 0)
      if (!team.listed && isUnused) this._teams.delete(team.name)
    }
  }
}

/** The first resource in which the team would exceed its quota with `need`, if any. */
export function findExceededQuota (team: Team, need: Units): Resource | undefined {
  return RESOURCES.find(resource => need[resource] > 0 && team.used[resource] + need[resource] > team.quota[resource])
}

/** Whether the team would still use more than its quota if `released` were freed. */
export function isBorrowing (team: Team, released: Units): boolean {
  return RESOURCES.some(resource => team.used[resource] - released[resource] > team.quota[resource])
}

/** Text that says why the team may not place `need`. Undefined when it may. */
export function quotaRefusalText (team: Team | undefined, name: string, need: Units): string | undefined {
  if (!team?.listed) return `team ${name} has no quota in the manifest`
  const resource = findExceededQuota(team, need)
  if (!resource || team.borrow) return undefined
  return quotaUseText(team, resource, need)
}

/** Text that compares the team's use and quota of one resource. */
export function quotaUseText (team: Team, resource: Resource, need: Units): string {
  return `needs ${amountText(resource, need[resource])}; team ${team.name} uses ` +
    `${amountText(resource, team.used[resource])} of its quota of ${amountText(resource, team.quota[resource])}`
}

/** Adds `size` to the team's use (`sign` 1) or subtracts it (-1). */
export function adjustTeamUse (team: Team, size: Units, sign: 1 | -1): void {
  addUnits(team.used, size, sign)
}
