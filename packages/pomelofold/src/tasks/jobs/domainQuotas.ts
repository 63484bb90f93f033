/**
 * Quotas of teams within one failure domain.
 *
 * @module
 */

import type { Manifest } from '../../protocol/manifest.js'
import type { Capacity } from '../../protocol/vms.js'
import type { Placement } from '../placementTypes.js'
import type { TaskLedger } from './taskLedger.js'

/** Divides every quota equally among the failure domains, since a placer has no data on the tasks of other domains. */
export class DomainQuotas {
  private readonly _placement: Placement
  private readonly _ledger: TaskLedger
  private readonly _domainCount: number
  private _quotas = new Map<string, Capacity>()

  constructor ({ placement, ledger, domains }: { placement: Placement, ledger: TaskLedger, domains: number }) {
    this._placement = placement
    this._ledger = ledger
    this._domainCount = domains
  }

  setTeams (teams: Manifest['teams']): void {
    const parts = teams.map(({ name, quota, borrow }) => ({ name, borrow, quota: this._domainPart(quota) }))
    this._quotas = new Map(parts.map(({ name, quota }) => [name, quota]))
    this._placement.setTeams(parts)
  }

  /** Cores occupied by the team's runs, divided by its quota of cores in this failure domain. */
  quotaUsageOf (team: string): number {
    return this._ledger.teamCpus(team) / Math.max(1, this._quotas.get(team)?.cpus ?? 1)
  }

  private _domainPart ({ cpus, memoryMb, accelerators }: Capacity): Capacity {
    return { cpus: cpus / this._domainCount, memoryMb: memoryMb / this._domainCount, accelerators: accelerators / this._domainCount }
  }
}
