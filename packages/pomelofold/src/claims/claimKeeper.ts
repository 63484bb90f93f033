/**
 * Takes, keeps and gives up the claims of one entry daemon. See `docs/design/authority.md`.
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
import { hasEntered, type Claimant, type ProcessId } from './claimMap.js'
import { countedMs } from './clockDrift.js'
import { DomainView } from './domainView.js'
import { GivenPromises } from './givenPromises.js'
import { HeldPromises } from './heldPromises.js'
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

/** An entry VM of the cell. */
export interface ClaimMember {
  vm: string
  failureDomain: string
  size: number
}

/** Lengths and periods; see `claims` and `platform.timeoutMs` in the settings. */
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
  members: ClaimMember[]
  cfg?: ClaimSettings
  log?: EventLog
}

/** State and counters for reports. */
export interface ClaimFigures {
  held: number
  claimants: number
  liveMembers: number
  epoch: number
  inContact: boolean
  validForMs: number
  promisesHeld: number
  promisesGiven: number
  mapWrites: number
  mapConflicts: number
  takeovers: number
}

/** Settings where none are given. */
const DEFAULT_SETTINGS = { leaseMs: 6_000, renewEveryMs: 2_000, outagePromiseMs: 600_000, timeoutMs: 1_000 }

/** Time until a failed renewal is tried again, in milliseconds; up to twice that. */
const RENEW_RETRY_MS = 250

/** Time until a failed renewal is tried again while all claimants have promised, in milliseconds; up to twice that. */
const RENEW_RETRY_PROMISED_MS = 1_000

/** Time until missing promises are asked for again, in milliseconds; up to twice that. */
const PROMISE_RETRY_MS = 250

/** Time until a write of the map that failed or conflicted is tried again, in milliseconds; up to twice that. */
const WRITE_RETRY_MS = 50

/** Time for which a claim must have been unwanted before its holder drops it, in milliseconds. */
const UNWANTED_MS = 10_000

/** Keeps the claims of one entry daemon. Start it once; after {@link stop} it holds nothing. */
export class ClaimKeeper implements Authority {
  private readonly _options: ClaimKeeperOptions
  private readonly _cfg: Required<ClaimSettings>
  private readonly _self: ProcessId
  private readonly _log: EventLog
  private readonly _lease: MemberLease
  private readonly _view: DomainView
  private readonly _given: GivenPromises
  private readonly _promised = new HeldPromises()
  private readonly _presence: VmPresence
  private readonly _pending = new PendingWrite()
  private readonly _listeners = new Set<() => void>()
  private readonly _unwantedSinceMs = new Map<string, number>()
  private readonly _counts = { mapWrites: 0, mapConflicts: 0, takeovers: 0 }
  private _wanted: ReadonlySet<string> | undefined
  private _startedMs = 0
  private _notifiedState = ''
  private _inContact = false
  private _leaving = false
  private _stopped = false
  private _reconciling = false
  private _reconcileAgain = false
  private _asking = false
  private _ownWriteRevision = 0
  private _sequence = 0
  private _releasedSequence = 0

  constructor (options: ClaimKeeperOptions) {
    const { timers, platform, vm, incarnation, failureDomain, members, cfg, log = SILENT_LOG } = options
    this._options = options
    this._cfg = { ...DEFAULT_SETTINGS, ...cfg }
    this._self = { vm, incarnation }
    this._log = log
    const { leaseMs, timeoutMs } = this._cfg
    const size = members.find(member => member.vm === vm)?.size ?? 1
    this._lease = new MemberLease({ timers, platform, key: CLAIM_KEYS.member(failureDomain, vm), incarnation, size, leaseMs, timeoutMs })
    this._view = new DomainView({ timers, platform, log, failureDomain, timeoutMs, onChange: () => this._viewChanged() })
    this._given = new GivenPromises({ timers })
    this._presence = new VmPresence({ timers })
  }

  /** Starts renewing the lease and taking claims. Returns at once. */
  start (): void {
    this._startedMs = this._options.timers.now()
    this._renewLoop()
  }

  /** Gives up the lease. Nothing is held from the call on; claims that were not handed over wait for a takeover. */
  async stop (): Promise<void> {
    this._stopped = true
    this._view.close()
    this._promised.clear()
    this._notify()
    await this._lease.revoke()
  }

  /** Sets the claims that should exist in this failure domain. Call it only with names from a list of VMs that was read. */
  setWanted (names: Iterable<string>): void {
    this._wanted = new Set(names)
    this._reconcile()
  }

  /** Takes in the names of the entry VMs that the platform's list of VMs has now. */
  setListedVms (names: Iterable<string>): void {
    this._presence.update(names)
    this._reconcile()
  }

  /** Stops using all claims, moves them to the other live members and leaves the map. False when the map could not be written. */
  async handOverAll (): Promise<boolean> {
    this._leaving = true
    this._notify()
    while (!this._stopped && this._view.map.claimants[this._self.vm] && this._inContact) {
      if (!await this._step()) await this._pause(WRITE_RETRY_MS)
    }
    return !this._view.map.claimants[this._self.vm]
  }

  /** Serves the peer method `promise`. */
  onPromiseRequest ({ forMs, sequence }: PromiseParams, from: PeerIdentity): PromiseResult {
    const granted = forMs === 0 || this._mayPromise(forMs, from)
    const accepted = granted && this._given.accept({ ...from, forMs, sequence })
    if (accepted) this._log.event('info', 'claims.promiseGiven', { step: 'claims.promise', peer: from.vm, forMs })
    return { granted: accepted, mapRevision: this._view.mapRevision }
  }

  epochOf (claim: string, forMs = 0): number | undefined {
    if (!this._isValidAt(this._options.timers.now() + forMs)) return undefined
    return this._ownEpoch(claim)
  }

  held (): string[] {
    if (!this._isValidAt(this._options.timers.now())) return []
    return Object.keys(this._view.map.claims).filter(name => this._ownEpoch(name) !== undefined)
  }

  holderOf (claim: string): string | undefined {
    return this._view.map.claims[claim]?.vm
  }

  onChange (fn: () => void): Subscription {
    this._listeners.add(fn)
    return { cancel: () => { this._listeners.delete(fn) } }
  }

  /** State and counters for reports. */
  figures (): ClaimFigures {
    return {
      held: this.held().length,
      claimants: Object.keys(this._view.map.claimants).length,
      liveMembers: this._view.members.size,
      epoch: this._view.map.epoch,
      inContact: this._inContact,
      validForMs: Math.max(0, this._validUntil() - this._options.timers.now()),
      promisesHeld: this._promised.size,
      promisesGiven: this._given.count(),
      ...this._counts
    }
  }

  private _ownEpoch (claim: string): number | undefined {
    const { vm, incarnation } = this._self
    const entry = this._view.map.claims[claim]
    if (entry?.vm !== vm || entry.incarnation !== incarnation) return undefined
    return this._leaving || this._pending.hasReleased(claim) ? undefined : entry.epoch
  }

  private _isValidAt (atMs: number): boolean {
    return !this._stopped && atMs < this._validUntil()
  }

  private _validUntil (): number {
    return Math.max(this._isConfirmed() ? this._lease.validUntil() : -Infinity, this._promisedUntil())
  }

  /** True when this process has written the claim map under its present lease: no takeover that was sent before can take effect. */
  private _isConfirmed (): boolean {
    const openRevision = this._lease.openRevision()
    return openRevision !== undefined && this._ownWriteRevision > openRevision
  }

  private _promisedUntil (): number {
    return hasEntered(this._view.map, this._self) ? this._promised.validUntil(this._others()) : -Infinity
  }

  private _others (): Record<string, Claimant> {
    const { [this._self.vm]: _, ...others } = this._view.map.claimants
    return others
  }

  private async _renewLoop (): Promise<void> {
    while (!this._stopped) {
      const renewed = await this._lease.renew(this._view.map.epoch)
      if (this._stopped) break
      if (renewed) await this._contactConfirmed()
      else this._contactLost()
      await this._pause(renewed ? this._cfg.renewEveryMs : this._renewRetryMs())
    }
  }

  private _renewRetryMs (): number {
    const isPromised = this._promisedUntil() > this._options.timers.now() + this._cfg.leaseMs
    return isPromised ? RENEW_RETRY_PROMISED_MS : RENEW_RETRY_MS
  }

  private async _contactConfirmed (): Promise<void> {
    const regained = !this._inContact
    if (regained || !this._isViewCurrent()) {
      if (!await this._view.refresh()) return
      this._log.event('info', 'claims.contact', { step: 'claims.renew', peer: 'platform', epoch: this._view.map.epoch })
    }
    this._inContact = true
    this._notify()
    this._reconcile()
  }

  private _contactLost (): void {
    if (this._inContact) this._log.event('warn', 'claims.noContact', { step: 'claims.renew', peer: 'platform', validForMs: this.figures().validForMs })
    this._inContact = false
    if (!this._asking) this._promiseLoop()
  }

  /** Asks all other claimants for promises until the platform answers again. */
  private async _promiseLoop (): Promise<void> {
    this._asking = true
    while (!this._stopped && !this._inContact) {
      const allGranted = await this._askPromises()
      this._notify()
      await this._pause(allGranted ? this._cfg.renewEveryMs : PROMISE_RETRY_MS)
    }
    this._asking = false
  }

  private async _askPromises (): Promise<boolean> {
    if (!this._isValidAt(this._options.timers.now())) this._promised.clear()
    const answers = await Promise.all(Object.entries(this._others()).map(([vm, { entered }]) => this._askPromise(vm, entered)))
    return answers.every(granted => granted)
  }

  /** Asks one claimant. A promise counts only while the right to act has not lapsed, and from before it was asked for. */
  private async _askPromise (vm: string, entered: number): Promise<boolean> {
    const { timers, callPeerPromise } = this._options
    const { outagePromiseMs, timeoutMs } = this._cfg
    const sequence = ++this._sequence
    const askedMs = timers.now()
    const answer = await callPeerPromise(vm, { forMs: outagePromiseMs, sequence, mapRevision: this._view.mapRevision }, timeoutMs)
    if (answer.isErr || !answer.value.granted) return false
    if (!this._isValidAt(timers.now())) {
      this._promised.clear()
      return false
    }
    if (sequence <= this._releasedSequence) return false
    this._promised.record(vm, { entered, untilMs: askedMs + countedMs(outagePromiseMs) })
    return true
  }

  /** Stops counting on promises, then tells those who gave them. */
  private _releasePromises (): void {
    this._promised.clear()
    this._releasedSequence = ++this._sequence
    const params = { forMs: 0, sequence: this._releasedSequence, mapRevision: this._view.mapRevision }
    for (const vm of Object.keys(this._others())) this._options.callPeerPromise(vm, params, this._cfg.timeoutMs)
  }

  /** A process in contact with the platform does not promise: claims of a VM that is cut off alone pass to the others. */
  private _mayPromise (forMs: number, from: PeerIdentity): boolean {
    return !this._stopped && !this._inContact && from.failureDomain === this._options.failureDomain &&
      forMs <= this._cfg.outagePromiseMs
  }

  private _viewChanged (): void {
    this._pending.settle(this._view.mapRevision)
    this._notify()
    this._reconcile()
  }

  /** Calls the listeners when the map or the set of held claims differs from the last call. */
  private _notify (): void {
    const state = [this._view.mapRevision, ...this.held().sort()].join(' ')
    if (state === this._notifiedState) return
    this._notifiedState = state
    for (const fn of [...this._listeners]) fn()
  }

  /** Brings the map in line, one write after the other. */
  private _reconcile (): void {
    this._reconcileAgain = true
    if (!this._reconciling) this._reconcileLoop()
  }

  private async _reconcileLoop (): Promise<void> {
    this._reconciling = true
    while (this._reconcileAgain && !this._stopped && !this._leaving) {
      this._reconcileAgain = false
      while (!this._stopped && !this._leaving && await this._step());
    }
    this._reconciling = false
  }

  /** Does one thing that is due. False when nothing is due or the platform does not answer. */
  private async _step (): Promise<boolean> {
    if (!this._inContact || !this._lease.isValid() || !this._isViewCurrent()) return false
    if (this._isConfirmed() && this._promised.size > 0) this._releasePromises()
    if (this._isEntryUnseen()) return this._lease.show(this._view.map.epoch)
    const proposal = this._propose() ?? this._repeat()
    return proposal ? this._write(proposal) : false
  }

  /** True when the view was read under the present lease. */
  private _isViewCurrent (): boolean {
    return this._view.readRevision >= (this._lease.openRevision() ?? Infinity)
  }

  /** A write of the map as it is, when this process has not written it under its lease or when an earlier write is unsettled. */
  private _repeat (): Proposal | undefined {
    if (this._isConfirmed() && !this._pending.isUnsettled()) return undefined
    return { map: this._view.map, released: [], victims: [] }
  }

  /** True when a claimant has entered that the member key does not show as known. */
  private _isEntryUnseen (): boolean {
    const latest = Math.max(0, ...Object.values(this._others()).map(({ entered }) => entered))
    return latest > this._lease.shownEpoch()
  }

  private _propose (): Proposal | undefined {
    this._markUnwanted()
    const nowMs = this._options.timers.now()
    return proposeChange({
      self: this._self,
      map: this._view.map,
      members: this._view.members,
      listed: this._presence.isListed(this._self.vm),
      leaving: this._leaving,
      wanted: this._wanted,
      isStale: name => nowMs - (this._unwantedSinceMs.get(name) ?? nowMs) >= UNWANTED_MS,
      mayTakeOver: vm => this._mayTakeOver(vm)
    })
  }

  private _markUnwanted (): void {
    const nowMs = this._options.timers.now()
    for (const name of this._unwantedSinceMs.keys()) {
      if (this._wanted?.has(name) || !this._view.map.claims[name]) this._unwantedSinceMs.delete(name)
    }
    for (const name of Object.keys(this._view.map.claims)) {
      if (!this._wanted?.has(name) && !this._unwantedSinceMs.has(name)) this._unwantedSinceMs.set(name, nowMs)
    }
  }

  private _mayTakeOver (vm: string): boolean {
    const { claimants } = this._view.map
    const process = { vm, incarnation: claimants[vm].incarnation }
    return mayTakeOver({
      self: claimants[this._self.vm],
      holder: claimants[vm],
      vmGone: claimants[vm].listed && this._presence.isGone(vm),
      promised: this._given.isOutstanding(process),
      knownByHolder: this._view.knownBy(process),
      ageMs: this._options.timers.now() - this._startedMs,
      outagePromiseMs: this._cfg.outagePromiseMs
    })
  }

  /** Writes a change if the map is unchanged and the victims' member keys are absent. True when the view is fresh again. */
  private async _write ({ map, released, victims }: Proposal): Promise<boolean> {
    const { platform, failureDomain } = this._options
    const key = CLAIM_KEYS.map(failureDomain)
    const modRevision = this._view.mapRevision
    const absent = victims.map(vm => ({ key: CLAIM_KEYS.member(failureDomain, vm), modRevision: 0 }))
    this._pending.begin({ modRevision, released })
    if (released.length) this._notify()
    this._counts.mapWrites++
    const written = await platform.txn([{ key, modRevision }, ...absent], [{ op: 'put', key, value: JSON.stringify(map) }], { timeoutMs: this._cfg.timeoutMs })
    if (written.isOk && written.value.applied) {
      this._counts.takeovers += victims.length
      this._ownWriteRevision = written.value.revision
      this._view.adopt(map, written.value.revision)
      return true
    }
    this._counts.mapConflicts++
    await this._pause(WRITE_RETRY_MS)
    return this._view.refresh()
  }

  /** Waits between `ms` and twice that, so that daemons do not act in step; periods are kept exactly. */
  private _pause (ms: number): Promise<void> {
    const jitterMs = ms === this._cfg.renewEveryMs ? 0 : this._options.random.next() * ms
    return delay(this._options.timers, ms + jitterMs)
  }
}
