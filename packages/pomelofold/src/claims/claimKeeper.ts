/**
 * Acquires, keeps and releases the claims of one entry daemon. See `docs/design/authority.md`.
 *
 * A process may use the claims that the claim map assigns to it while its lease in the platform lasts. During an outage
 * of the platform it may also use them as long as all other claimants have promised not to take over (outage promises).
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import type { PeerMethods } from '../protocol/peerMessages.js'
import type { Authority, Subscription } from '../seams/authority.js'
import type { PeerIdentity } from '../seams/peerTransport.js'
import type { PlatformClient } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import { delay, type Timers } from '../seams/timers.js'
import type { CallError } from '../utils/errors.js'
import { SILENT_LOG, type EventLog } from '../utils/eventLog.js'
import { isClaimant, type Claimant, type ProcessId } from './claimMap.js'
import { minDurationMs } from './clockDrift.js'
import { DomainView } from './domainView.js'
import { GivenOutagePromises } from './givenOutagePromises.js'
import { HeldOutagePromises } from './heldOutagePromises.js'
import { CLAIM_KEYS } from './memberKey.js'
import { MemberLease } from './memberLease.js'
import { PendingWrite } from './pendingWrite.js'
import { proposeChange, type Proposal } from './proposeChange.js'
import { mayTakeOver } from './takeoverRule.js'
import { VmPresence } from './vmPresence.js'

/** Parameters of the peer method `promise`. */
export type PromiseParams = PeerMethods['promise']['params']

/** Result of the peer method `promise`. */
export type PromiseResult = PeerMethods['promise']['result']

/** Calls the peer method `promise` at the entry VM `vm`. Never rejects. */
export type CallPeerPromise = (vm: string, params: PromiseParams, timeoutMs: number) => Promise<Result<PromiseResult, CallError>>

/** An entry VM of the cell, as configured. */
export interface ConfiguredMember {
  vm: string
  failureDomain: string
  /** Claims are distributed in proportion to it. */
  size: number
}

/** Durations in milliseconds; see `claims` and `platform.timeoutMs` in the settings. */
export interface ClaimSettings {
  leaseMs?: number
  renewEveryMs?: number
  outagePromiseMs?: number
  timeoutMs?: number
}

/** Options of a {@link ClaimKeeper}. */
export interface ClaimKeeperOptions {
  timers: Timers
  random: RandomSource
  platform: PlatformClient
  callPeerPromise: CallPeerPromise
  vm: string
  incarnation: string
  failureDomain: string
  /** All entry VMs of the cell, this one included. */
  members: ConfiguredMember[]
  cfg?: ClaimSettings
  log?: EventLog
}

/** State and counters of a {@link ClaimKeeper}. */
export interface ClaimFigures {
  held: number
  claimants: number
  liveMembers: number
  epoch: number
  /** True while the platform confirms renewals of the lease. */
  inContact: boolean
  /** Time for which the claims may still be used without another renewal or promise. */
  validForMs: number
  promisesHeld: number
  promisesGiven: number
  mapWrites: number
  mapConflicts: number
  takeovers: number
}

/** Defaults of {@link ClaimSettings}. */
const DEFAULT_SETTINGS = { leaseMs: 6_000, renewEveryMs: 2_000, outagePromiseMs: 600_000, timeoutMs: 1_000 }

/** Delay before a failed renewal of the lease is retried, in milliseconds. A random part of up to the same length is added. */
const RENEW_RETRY_MS = 250

/** The same delay while all other claimants have given promises that last longer than a lease. */
const RENEW_RETRY_WHILE_PROMISED_MS = 1_000

/** Delay before promises are requested again when some are missing, in milliseconds. A random part is added as well. */
const PROMISE_RETRY_MS = 250

/** Delay before a write of the claim map that failed or conflicted is retried, in milliseconds. A random part is added as well. */
const MAP_WRITE_RETRY_MS = 50

/** Time for which a claim must be missing from the wanted claims before its holder removes it from the map, in milliseconds. */
const UNWANTED_BEFORE_REMOVAL_MS = 10_000

/** Holds the claims of one entry daemon. Call {@link start} once; after {@link stop} no claim is held. */
export class ClaimKeeper implements Authority {
  private readonly _options: ClaimKeeperOptions
  private readonly _cfg: Required<ClaimSettings>
  private readonly _self: ProcessId
  private readonly _log: EventLog
  private readonly _lease: MemberLease
  private readonly _domainView: DomainView
  private readonly _givenPromises: GivenOutagePromises
  private readonly _heldPromises = new HeldOutagePromises()
  private readonly _vmPresence: VmPresence
  private readonly _pendingWrite = new PendingWrite()
  private readonly _listeners = new Set<() => void>()
  private readonly _unwantedSinceMs = new Map<string, number>()
  private readonly _counters = { mapWrites: 0, mapConflicts: 0, takeovers: 0 }
  private _wantedClaims: ReadonlySet<string> | undefined
  private _startedMs = 0
  /** Map revision and held claims at the last call of the listeners. */
  private _notifiedState = ''
  /** True when the last renewal of the lease was confirmed and the view was read. */
  private _platformReachable = false
  private _handingOver = false
  private _stopped = false
  private _reconciling = false
  private _reconcileRequested = false
  private _requestingPromises = false
  private _lastOwnWriteRevision = 0
  /** Sequence number of the last promise request or release that was sent. */
  private _promiseSequence = 0
  /** Sequence number of the last release. Answers to earlier requests are ignored. */
  private _releaseSequence = 0

  constructor (options: ClaimKeeperOptions) {
    const { timers, platform, vm, incarnation, failureDomain, members, cfg, log = SILENT_LOG } = options
    this._options = options
    this._cfg = { ...DEFAULT_SETTINGS, ...cfg }
    this._self = { vm, incarnation }
    this._log = log
    const { leaseMs, timeoutMs } = this._cfg
    const size = members.find(member => member.vm === vm)?.size ?? 1
    this._lease = new MemberLease({ timers, platform, key: CLAIM_KEYS.member(failureDomain, vm), incarnation, size, leaseMs, timeoutMs })
    this._domainView = new DomainView({ timers, platform, log, failureDomain, timeoutMs, onChange: () => this._onViewChanged() })
    this._givenPromises = new GivenOutagePromises({ timers })
    this._vmPresence = new VmPresence({ timers })
  }

  /** Starts the renewal of the lease and the acquisition of claims. Returns at once. */
  start (): void {
    this._startedMs = this._options.timers.now()
    this._renewLoop()
  }

  /**
   * Revokes the lease. No claim is held from this call on. Claims that were not handed over stay in the map until
   * another claimant takes them over.
   */
  async stop (): Promise<void> {
    this._stopped = true
    this._domainView.close()
    this._heldPromises.clear()
    this._notify()
    await this._lease.revoke()
  }

  /**
   * Sets the claims that should exist in this failure domain. Call it only with names derived from a list of VMs that was
   * read from the platform: claims that are missing from `names` are removed.
   */
  setWantedClaims (names: Iterable<string>): void {
    this._wantedClaims = new Set(names)
    this._reconcile()
  }

  /** Sets the names of the entry VMs in the platform's current list of VMs. */
  setListedVms (names: Iterable<string>): void {
    this._vmPresence.update(names)
    this._reconcile()
  }

  /**
   * Stops using all claims, assigns them to the other live members and removes this process from the claimants. False when
   * the map could not be written.
   */
  async handOverAll (): Promise<boolean> {
    this._handingOver = true
    this._notify()
    while (!this._stopped && this._domainView.map.claimants[this._self.vm] && this._platformReachable) {
      if (!await this._reconcileOnce()) await this._pause(MAP_WRITE_RETRY_MS)
    }
    return !this._domainView.map.claimants[this._self.vm]
  }

  /** Handles the peer method `promise`: a request for an outage promise or, when `forMs` is 0, its release. */
  onPromiseRequest ({ forMs, sequence }: PromiseParams, from: PeerIdentity): PromiseResult {
    const granted = forMs === 0 || this._mayGivePromise(forMs, from)
    const accepted = granted && this._givenPromises.accept({ ...from, forMs, sequence })
    if (accepted) this._log.event('info', 'claims.promiseGiven', { step: 'claims.promise', peer: from.vm, forMs })
    return { granted: accepted, mapRevision: this._domainView.mapRevision }
  }

  epochOf (claim: string, forMs = 0): number | undefined {
    if (!this._isValidAt(this._options.timers.now() + forMs)) return undefined
    return this._ownEpochOf(claim)
  }

  heldClaims (): string[] {
    if (!this._isValidAt(this._options.timers.now())) return []
    return Object.keys(this._domainView.map.claims).filter(name => this._ownEpochOf(name) !== undefined)
  }

  holderOf (claim: string): string | undefined {
    return this._domainView.map.claims[claim]?.vm
  }

  onChange (fn: () => void): Subscription {
    this._listeners.add(fn)
    return { cancel: () => { this._listeners.delete(fn) } }
  }

  /** State and counters for metrics. */
  figures (): ClaimFigures {
    return {
      held: this.heldClaims().length,
      claimants: Object.keys(this._domainView.map.claimants).length,
      liveMembers: this._domainView.members.size,
      epoch: this._domainView.map.epoch,
      inContact: this._platformReachable,
      validForMs: Math.max(0, this._validUntilMs() - this._options.timers.now()),
      promisesHeld: this._heldPromises.size,
      promisesGiven: this._givenPromises.outstandingCount(),
      ...this._counters
    }
  }

  /** Epoch of a claim that the map assigns to this process and that was not released. Does not check whether it may be used now. */
  private _ownEpochOf (claim: string): number | undefined {
    const { vm, incarnation } = this._self
    const entry = this._domainView.map.claims[claim]
    if (entry?.vm !== vm || entry.incarnation !== incarnation) return undefined
    return this._handingOver || this._pendingWrite.hasReleased(claim) ? undefined : entry.epoch
  }

  private _isValidAt (atMs: number): boolean {
    return !this._stopped && atMs < this._validUntilMs()
  }

  /** Time until which the held claims may be used, by the lease or by promises. */
  private _validUntilMs (): number {
    return Math.max(this._hasWrittenUnderLease() ? this._lease.validUntilMs() : -Infinity, this._promisedUntilMs())
  }

  /**
   * True when this process has written the claim map under its current lease. That write changed the revision of the map,
   * so takeovers that were sent before it can no longer take effect.
   */
  private _hasWrittenUnderLease (): boolean {
    const firstKeyRevision = this._lease.firstKeyRevision()
    return firstKeyRevision !== undefined && this._lastOwnWriteRevision > firstKeyRevision
  }

  private _promisedUntilMs (): number {
    return isClaimant(this._domainView.map, this._self) ? this._heldPromises.promisedUntilMs(this._otherClaimants()) : -Infinity
  }

  private _otherClaimants (): Record<string, Claimant> {
    const { [this._self.vm]: _, ...others } = this._domainView.map.claimants
    return others
  }

  private async _renewLoop (): Promise<void> {
    while (!this._stopped) {
      const renewed = await this._lease.renew(this._domainView.map.epoch)
      if (this._stopped) break
      if (renewed) await this._onRenewed()
      else this._onRenewalFailed()
      await this._pause(renewed ? this._cfg.renewEveryMs : this._renewRetryMs())
    }
  }

  private _renewRetryMs (): number {
    const isPromised = this._promisedUntilMs() > this._options.timers.now() + this._cfg.leaseMs
    return isPromised ? RENEW_RETRY_WHILE_PROMISED_MS : RENEW_RETRY_MS
  }

  private async _onRenewed (): Promise<void> {
    const reconnected = !this._platformReachable
    if (reconnected || !this._isViewFromCurrentLease()) {
      if (!await this._domainView.refresh()) return
      this._log.event('info', 'claims.contact', { step: 'claims.renew', peer: 'platform', epoch: this._domainView.map.epoch })
    }
    this._platformReachable = true
    this._notify()
    this._reconcile()
  }

  private _onRenewalFailed (): void {
    if (this._platformReachable) this._log.event('warn', 'claims.noContact', { step: 'claims.renew', peer: 'platform', validForMs: this.figures().validForMs })
    this._platformReachable = false
    if (!this._requestingPromises) this._requestPromisesLoop()
  }

  /** Requests promises from all other claimants until the platform is reachable again. */
  private async _requestPromisesLoop (): Promise<void> {
    this._requestingPromises = true
    while (!this._stopped && !this._platformReachable) {
      const allGranted = await this._requestPromises()
      this._notify()
      await this._pause(allGranted ? this._cfg.renewEveryMs : PROMISE_RETRY_MS)
    }
    this._requestingPromises = false
  }

  private async _requestPromises (): Promise<boolean> {
    // After a lapse another claimant may have taken over, so earlier promises no longer count.
    if (!this._isValidAt(this._options.timers.now())) this._heldPromises.clear()
    const answers = await Promise.all(Object.entries(this._otherClaimants()).map(([vm, { entered }]) => this._requestPromise(vm, entered)))
    return answers.every(granted => granted)
  }

  /**
   * Requests a promise from one claimant. The promise counts only if it arrives while the claims may still be used; later,
   * another claimant may have taken over. Its duration counts from before the request was sent, so that
   * it ends here before it ends at the claimant.
   */
  private async _requestPromise (vm: string, entered: number): Promise<boolean> {
    const { timers, callPeerPromise } = this._options
    const { outagePromiseMs, timeoutMs } = this._cfg
    const sequence = ++this._promiseSequence
    const requestedMs = timers.now()
    const answer = await callPeerPromise(vm, { forMs: outagePromiseMs, sequence, mapRevision: this._domainView.mapRevision }, timeoutMs)
    if (answer.isErr || !answer.value.granted) return false
    if (!this._isValidAt(timers.now())) {
      this._heldPromises.clear()
      return false
    }
    if (sequence <= this._releaseSequence) return false
    this._heldPromises.record(vm, { entered, untilMs: requestedMs + minDurationMs(outagePromiseMs) })
    return true
  }

  /** Discards the held promises before releasing them, so that no claimant can take over while its promise still counts here. */
  private _releasePromises (): void {
    this._heldPromises.clear()
    this._releaseSequence = ++this._promiseSequence
    const params = { forMs: 0, sequence: this._releaseSequence, mapRevision: this._domainView.mapRevision }
    for (const vm of Object.keys(this._otherClaimants())) this._options.callPeerPromise(vm, params, this._cfg.timeoutMs)
  }

  /**
   * A process that can reach the platform gives no promise. A VM that alone is cut off from the platform thus loses its
   * claims to the others.
   */
  private _mayGivePromise (forMs: number, from: PeerIdentity): boolean {
    return !this._stopped && !this._platformReachable && from.failureDomain === this._options.failureDomain &&
      forMs <= this._cfg.outagePromiseMs
  }

  private _onViewChanged (): void {
    this._pendingWrite.settleUpTo(this._domainView.mapRevision)
    this._notify()
    this._reconcile()
  }

  /** Calls the listeners when the map or the set of held claims has changed since their last call. */
  private _notify (): void {
    const state = [this._domainView.mapRevision, ...this.heldClaims().sort()].join(' ')
    if (state === this._notifiedState) return
    this._notifiedState = state
    for (const fn of [...this._listeners]) fn()
  }

  /** Starts making the changes of the claim map that are due, one write at a time. */
  private _reconcile (): void {
    this._reconcileRequested = true
    if (!this._reconciling) this._reconcileLoop()
  }

  private async _reconcileLoop (): Promise<void> {
    this._reconciling = true
    while (this._reconcileRequested && !this._stopped && !this._handingOver) {
      this._reconcileRequested = false
      while (!this._stopped && !this._handingOver && await this._reconcileOnce());
    }
    this._reconciling = false
  }

  /**
   * Makes the next change that is due: publishes the latest epoch or writes the claim map. True when more changes may be
   * due; false when none is or when the platform did not carry out this one.
   */
  private async _reconcileOnce (): Promise<boolean> {
    if (!this._platformReachable || !this._lease.isValid() || !this._isViewFromCurrentLease()) return false
    if (this._hasWrittenUnderLease() && this._heldPromises.size > 0) this._releasePromises()
    if (this._isPublishedEpochOutdated()) return this._lease.publishEpoch(this._domainView.map.epoch)
    const proposal = this._proposeChange() ?? this._proposeRewrite()
    return proposal ? this._writeMap(proposal) : false
  }

  /** True when the view includes all changes up to the start of the current lease. */
  private _isViewFromCurrentLease (): boolean {
    return this._domainView.completeToRevision >= (this._lease.firstKeyRevision() ?? Infinity)
  }

  /**
   * Proposes to write the map unchanged when this process has not yet written it under its lease, or when an earlier write
   * may still take effect. The new revision invalidates all earlier writes.
   */
  private _proposeRewrite (): Proposal | undefined {
    if (this._hasWrittenUnderLease() && !this._pendingWrite.isPending()) return undefined
    return { map: this._domainView.map, releasedClaims: [], takenOverVms: [] }
  }

  /** True when a claimant has entered the map at a later epoch than the one published in the member key. */
  private _isPublishedEpochOutdated (): boolean {
    const latestEntryEpoch = Math.max(0, ...Object.values(this._otherClaimants()).map(({ entered }) => entered))
    return latestEntryEpoch > this._lease.publishedEpoch()
  }

  private _proposeChange (): Proposal | undefined {
    this._trackUnwantedClaims()
    const nowMs = this._options.timers.now()
    return proposeChange({
      self: this._self,
      map: this._domainView.map,
      members: this._domainView.members,
      listed: this._vmPresence.isListed(this._self.vm),
      leaving: this._handingOver,
      wantedClaims: this._wantedClaims,
      isUnwantedLongEnough: name => nowMs - (this._unwantedSinceMs.get(name) ?? nowMs) >= UNWANTED_BEFORE_REMOVAL_MS,
      mayTakeOver: vm => this._mayTakeOver(vm)
    })
  }

  /** Records since when each claim in the map has been unwanted. */
  private _trackUnwantedClaims (): void {
    const nowMs = this._options.timers.now()
    for (const name of this._unwantedSinceMs.keys()) {
      if (this._wantedClaims?.has(name) || !this._domainView.map.claims[name]) this._unwantedSinceMs.delete(name)
    }
    for (const name of Object.keys(this._domainView.map.claims)) {
      if (!this._wantedClaims?.has(name) && !this._unwantedSinceMs.has(name)) this._unwantedSinceMs.set(name, nowMs)
    }
  }

  private _mayTakeOver (vm: string): boolean {
    const { claimants } = this._domainView.map
    const holder = { vm, incarnation: claimants[vm].incarnation }
    return mayTakeOver({
      self: claimants[this._self.vm],
      holder: claimants[vm],
      vmRemoved: claimants[vm].listed && this._vmPresence.isRemoved(vm),
      isPromiseOutstanding: this._givenPromises.isOutstandingTo(holder),
      publishedByHolder: this._domainView.publishedEpochOf(holder),
      uptimeMs: this._options.timers.now() - this._startedMs,
      outagePromiseMs: this._cfg.outagePromiseMs
    })
  }

  /**
   * Writes the proposed map if the stored one is unchanged and the VMs to take over from have no member keys. True when the
   * view is up to date afterwards.
   */
  private async _writeMap ({ map, releasedClaims, takenOverVms }: Proposal): Promise<boolean> {
    const { platform, failureDomain } = this._options
    const key = CLAIM_KEYS.map(failureDomain)
    const modRevision = this._domainView.mapRevision
    const absentMemberKeys = takenOverVms.map(vm => ({ key: CLAIM_KEYS.member(failureDomain, vm), modRevision: 0 }))
    this._pendingWrite.recordWrite({ modRevision, releasedClaims })
    if (releasedClaims.length) this._notify()
    this._counters.mapWrites++
    const written = await platform.txn([{ key, modRevision }, ...absentMemberKeys], [{ op: 'put', key, value: JSON.stringify(map) }], { timeoutMs: this._cfg.timeoutMs })
    if (written.isOk && written.value.applied) {
      this._counters.takeovers += takenOverVms.length
      this._lastOwnWriteRevision = written.value.revision
      this._domainView.applyOwnWrite(map, written.value.revision)
      return true
    }
    this._counters.mapConflicts++
    await this._pause(MAP_WRITE_RETRY_MS)
    return this._domainView.refresh()
  }

  /** Waits for `ms` plus a random time of up to `ms`, so that daemons do not retry simultaneously. The renewal period has no jitter. */
  private _pause (ms: number): Promise<void> {
    const jitterMs = ms === this._cfg.renewEveryMs ? 0 : this._options.random.next() * ms
    return delay(this._options.timers, ms + jitterMs)
  }
}
