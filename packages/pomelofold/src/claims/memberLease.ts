/**
 * The lease of this process in the platform and the member key under it.
 *
 * @module
 */

import type { PlatformClient } from '../seams/platformClient.js'
import type { Timers } from '../seams/timers.js'
import { countedMs } from './clockDrift.js'
import type { Member } from './memberKey.js'

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
  openRevision: number
  /** Revision of the key's last change. */
  keyRevision: number
  knows: number
}

/**
 * Keeps the member key alive. The lease is counted on this process's clock from before each
 * renewal was sent. All changes of the key are guarded, so that a delayed one cannot replace a later one.
 */
export class MemberLease {
  private readonly _options: MemberLeaseOptions
  private _open: OpenLease | undefined
  private _validUntilMs = -Infinity
  private _closed = false

  constructor (options: MemberLeaseOptions) {
    this._options = options
  }

  /** Time at which the lease ends unless it is renewed. */
  validUntil (): number {
    return this._validUntilMs
  }

  /** True while the lease lasts. */
  isValid (): boolean {
    return this._options.timers.now() < this._validUntilMs
  }

  /** Revision from which on the member key has existed without a break. Undefined when there is no lease. */
  openRevision (): number | undefined {
    return this._open?.openRevision
  }

  /** Epoch that the member key shows as known. */
  shownEpoch (): number {
    return this._open?.knows ?? 0
  }

  /** Renews the lease, or opens a new one. True when the platform confirmed it. */
  async renew (knows: number): Promise<boolean> {
    if (!this._open) return this._start(knows)
    const { timers, platform, timeoutMs } = this._options
    const sentMs = timers.now()
    const renewed = await platform.keepAlive(this._open.leaseId, { timeoutMs })
    if (renewed.isErr) return false
    if (renewed.value.ttlMs === 0) {
      this._forget()
      return this._start(knows)
    }
    this._validUntilMs = sentMs + countedMs(renewed.value.ttlMs)
    return true
  }

  /** Shows in the member key that this process acts on the claim map of epoch `knows`. */
  async show (knows: number): Promise<boolean> {
    const open = this._open
    if (!open) return false
    const revision = await this._put({ leaseId: open.leaseId, keyRevision: open.keyRevision, knows })
    if (revision === undefined) return this._reread(open)
    open.keyRevision = revision
    open.knows = knows
    return true
  }

  /** Learns the key's revision after a change whose outcome is not known. */
  private async _reread (open: OpenLease): Promise<false> {
    const { platform, key, timeoutMs } = this._options
    const present = await platform.get(key, { timeoutMs })
    if (present.isOk && present.value) open.keyRevision = present.value.modRevision
    return false
  }

  /** Ends the lease and deletes the key. No new lease is opened after this. */
  async revoke (): Promise<void> {
    const leaseId = this._open?.leaseId
    this._closed = true
    this._forget()
    if (leaseId !== undefined) await this._revoke(leaseId)
  }

  private async _revoke (leaseId: string): Promise<void> {
    await this._options.platform.revokeLease(leaseId, { timeoutMs: this._options.timeoutMs })
  }

  private _forget (): void {
    this._open = undefined
    this._validUntilMs = -Infinity
  }

  private async _start (knows: number): Promise<boolean> {
    const { timers, platform, key, leaseMs, timeoutMs } = this._options
    const present = await platform.get(key, { timeoutMs })
    if (present.isErr) return false
    const sentMs = timers.now()
    const granted = await platform.grantLease(leaseMs, { timeoutMs })
    if (granted.isErr) return false
    const { leaseId, ttlMs } = granted.value
    const revision = await this._put({ leaseId, keyRevision: present.value?.modRevision ?? 0, knows })
    if (this._closed) await this._revoke(leaseId)
    if (revision === undefined || this._closed) return false
    this._open = { leaseId, openRevision: revision, keyRevision: revision, knows }
    this._validUntilMs = sentMs + countedMs(ttlMs)
    return true
  }

  /** Puts the key if it is unchanged since `keyRevision`. Reads back when the answer was lost. */
  private async _put ({ leaseId, keyRevision, knows }: Pick<OpenLease, 'leaseId' | 'keyRevision' | 'knows'>): Promise<number | undefined> {
    const { platform, key, incarnation, size, timeoutMs } = this._options
    const member: Member = { incarnation, size, leaseId, knows }
    const value = JSON.stringify(member)
    const written = await platform.txn([{ key, modRevision: keyRevision }], [{ op: 'put', key, value, leaseId }], { timeoutMs })
    if (written.isOk) return written.value.applied ? written.value.revision : undefined
    const readBack = await platform.get(key, { timeoutMs })
    if (readBack.isErr || readBack.value?.value !== value) return undefined
    return readBack.value.modRevision
  }
}
