/**
 * The lease of this process in the platform and the member key under it.
 *
 * @module
 */

import type { PlatformClient } from '../seams/platformClient.js'
import type { Timers } from '../seams/timers.js'
import { minDurationMs } from './clockDrift.js'
import type { MemberValue } from './memberKey.js'

/** Options of a {@link MemberLease}. */
export interface MemberLeaseOptions {
  timers: Timers
  platform: PlatformClient
  /** Member key of this VM. */
  key: string
  incarnation: string
  size: number
  leaseMs: number
  timeoutMs: number
}

/** An open lease with its key. */
interface OpenLease {
  leaseId: string
  /** Revision at which the key was first put under this lease. */
  firstKeyRevision: number
  /** Revision of the key's last change. */
  keyRevision: number
  epoch: number
}

/**
 * Keeps the member key alive. The lease is counted on this process's clock from before each
 * renewal was sent. All changes of the key are guarded, so that a delayed one cannot replace a later one.
 */
export class MemberLease {
  private readonly _options: MemberLeaseOptions
  private _openLease: OpenLease | undefined
  private _validUntilMs = -Infinity
  private _closed = false

  constructor (options: MemberLeaseOptions) {
    this._options = options
  }

  /** Time at which the lease ends unless it is renewed. */
  validUntilMs (): number {
    return this._validUntilMs
  }

  /** True while the lease lasts. */
  isValid (): boolean {
    return this._options.timers.now() < this._validUntilMs
  }

  /** Revision from which on the member key has existed without a break. Undefined when there is no lease. */
  firstKeyRevision (): number | undefined {
    return this._openLease?.firstKeyRevision
  }

  /** Epoch that the member key shows as known. */
  publishedEpoch (): number {
    return this._openLease?.epoch ?? 0
  }

  /** Renews the lease, or opens a new one. True when the platform confirmed it. */
  async renew (epoch: number): Promise<boolean> {
    if (!this._openLease) return this._openNewLease(epoch)
    const { timers, platform, timeoutMs } = this._options
    const sentMs = timers.now()
    const renewed = await platform.keepAlive(this._openLease.leaseId, { timeoutMs })
    if (renewed.isErr) return false
    if (renewed.value.ttlMs === 0) {
      this._discardLease()
      return this._openNewLease(epoch)
    }
    this._validUntilMs = sentMs + minDurationMs(renewed.value.ttlMs)
    return true
  }

  /** Shows in the member key that this process acts on the claim map of epoch `knows`. */
  async publishEpoch (epoch: number): Promise<boolean> {
    const openLease = this._openLease
    if (!openLease) return false
    const revision = await this._putMemberKey({ leaseId: openLease.leaseId, keyRevision: openLease.keyRevision, epoch })
    if (revision === undefined) return this._refreshKeyRevision(openLease)
    openLease.keyRevision = revision
    openLease.epoch = epoch
    return true
  }

  /** Learns the key's revision after a change whose outcome is not known. */
  private async _refreshKeyRevision (openLease: OpenLease): Promise<false> {
    const { platform, key, timeoutMs } = this._options
    const stored = await platform.get(key, { timeoutMs })
    if (stored.isOk && stored.value) openLease.keyRevision = stored.value.modRevision
    return false
  }

  /** Ends the lease and deletes the key. No new lease is opened after this. */
  async revoke (): Promise<void> {
    const leaseId = this._openLease?.leaseId
    this._closed = true
    this._discardLease()
    if (leaseId !== undefined) await this._revokeLease(leaseId)
  }

  private async _revokeLease (leaseId: string): Promise<void> {
    await this._options.platform.revokeLease(leaseId, { timeoutMs: this._options.timeoutMs })
  }

  private _discardLease (): void {
    this._openLease = undefined
    this._validUntilMs = -Infinity
  }

  private async _openNewLease (epoch: number): Promise<boolean> {
    const { timers, platform, key, leaseMs, timeoutMs } = this._options
    const stored = await platform.get(key, { timeoutMs })
    if (stored.isErr) return false
    const sentMs = timers.now()
    const granted = await platform.grantLease(leaseMs, { timeoutMs })
    if (granted.isErr) return false
    const { leaseId, ttlMs } = granted.value
    const revision = await this._putMemberKey({ leaseId, keyRevision: stored.value?.modRevision ?? 0, epoch })
    if (this._closed) await this._revokeLease(leaseId)
    if (revision === undefined || this._closed) return false
    this._openLease = { leaseId, firstKeyRevision: revision, keyRevision: revision, epoch }
    this._validUntilMs = sentMs + minDurationMs(ttlMs)
    return true
  }

  /** Puts the key if it is unchanged since `keyRevision`. Reads back when the answer was lost. */
  private async _putMemberKey ({ leaseId, keyRevision, epoch }: Pick<OpenLease, 'leaseId' | 'keyRevision' | 'epoch'>): Promise<number | undefined> {
    const { platform, key, incarnation, size, timeoutMs } = this._options
    const member: MemberValue = { incarnation, size, leaseId, knows: epoch }
    const value = JSON.stringify(member)
    const written = await platform.txn([{ key, modRevision: keyRevision }], [{ op: 'put', key, value, leaseId }], { timeoutMs })
    if (written.isOk) return written.value.applied ? written.value.revision : undefined
    const readBack = await platform.get(key, { timeoutMs })
    if (readBack.isErr || readBack.value?.value !== value) return undefined
    return readBack.value.modRevision
  }
}
