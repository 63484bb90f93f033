/**
 * The lease of this process in the platform and the member key attached to it.
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
  /** Member key of this VM in the platform. */
  key: string
  incarnation: string
  size: number
  leaseMs: number
  timeoutMs: number
}

/** The current lease and the last written state of the member key. */
interface OpenLease {
  leaseId: string
  /** Revision of the key's first write under this lease. */
  firstKeyRevision: number
  /** Revision of the key's last write. */
  keyRevision: number
  epoch: number
}

/**
 * Maintains the lease and the member key. The time left is counted from before each renewal was sent, so that the lease
 * ends at this process before it ends in the platform. All writes of the key are conditional on its revision, so that a
 * delayed write cannot overwrite a later one.
 */
export class MemberLease {
  private readonly _options: MemberLeaseOptions
  private _openLease: OpenLease | undefined
  private _validUntilMs = -Infinity
  private _closed = false

  constructor (options: MemberLeaseOptions) {
    this._options = options
  }

  /** Time at which the lease ends for this process unless it is renewed. */
  validUntilMs (): number {
    return this._validUntilMs
  }

  /** True while the lease lasts. */
  isValid (): boolean {
    return this._options.timers.now() < this._validUntilMs
  }

  /** Revision since which the member key has existed without interruption. Undefined when there is no lease. */
  firstKeyRevision (): number | undefined {
    return this._openLease?.firstKeyRevision
  }

  /** Epoch in the member key; 0 when there is no lease. */
  publishedEpoch (): number {
    return this._openLease?.epoch ?? 0
  }

  /** Renews the lease, or opens a new one whose member key contains `epoch`. True when the platform confirmed it. */
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

  /** Publishes in the member key that this process has read the claim map of `epoch`. True when the platform confirmed it. */
  async publishEpoch (epoch: number): Promise<boolean> {
    const openLease = this._openLease
    if (!openLease) return false
    const revision = await this._putMemberKey({ leaseId: openLease.leaseId, keyRevision: openLease.keyRevision, epoch })
    if (revision === undefined) return this._refreshKeyRevision(openLease)
    openLease.keyRevision = revision
    openLease.epoch = epoch
    return true
  }

  /** Reads the key's revision after a write that was refused or whose outcome is unknown, for the next attempt. */
  private async _refreshKeyRevision (openLease: OpenLease): Promise<false> {
    const { platform, key, timeoutMs } = this._options
    const stored = await platform.get(key, { timeoutMs })
    if (stored.isOk && stored.value) openLease.keyRevision = stored.value.modRevision
    return false
  }

  /** Revokes the lease, which deletes the key. No new lease is opened afterwards. */
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

  /**
   * Writes the key if it is unchanged since `keyRevision`, and returns its new revision. Reads the key back when the answer
   * was lost. Undefined when the write was refused or could not be confirmed.
   */
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
