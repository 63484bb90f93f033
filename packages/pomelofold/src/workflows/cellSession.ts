/**
 * A daemon's membership in the cell: its lease in the platform's store, its member entry, and its part in the
 * election of the leader, which is the daemon that schedules workflows.
 *
 * @module
 */

import { z } from 'zod'
import { LEADER_KEY, CELL_PREFIX, LEASE_ENDS_KEY, memberKey, memberNameOf, TERM_KEY } from './keys.js'
import { LeaseClock } from './leaseClock.js'
import { LeaseEndView } from './leaseEndView.js'
import { PrefixView } from './prefixView.js'
import { RELEASE_OUTCOMES, type ReleaseOutcome } from '../protocol/workflows.js'
import type { PlatformClient, StoredValue } from '../seams/platformClient.js'
import { delay, type Timers, type TimerSubscription } from '../seams/timers.js'
import type { EventLog } from '../utils/eventLog.js'
import { decodeJson } from '../utils/storedJson.js'
import { EFFECTS } from '../utils/errors.js'

/** Length of the lease, in milliseconds. A leader that has crashed is replaced this long after its last renewal. */
export const SESSION_TTL_MS = 2_500
/** Time between two renewals, in milliseconds. Three renewals may fail before the lease ends. */
const RENEWAL_PERIOD_MS = 500
/** Timeout of a call to the store, in milliseconds: shorter than the rest of the lease after two failed renewals. */
const CALL_TIMEOUT_MS = 600
/**
 * Time for which a leader without the store may start work after most members have confirmed that they cannot
 * reach the store either, in milliseconds: three periods of asking them. No leader can be elected without the store.
 */
export const CONFIRMED_OUTAGE_MS = 1_000
/** Timeout of each of the two calls to the store for a peer that gives up leadership, in milliseconds. */
const RELEASE_CALL_TIMEOUT_MS = 200
/** A silent connection may stay unnoticed this long, since daemons with a working connection also notice the end of a leader. */
const CELL_WATCH_OPTIONS = { lossDetectionMs: 1_500 }
/** Pause after a failed call, in milliseconds, also between renewals while the store cannot be reached. */
const RETRY_MS = 150
/** Time between the campaigns of two candidates of neighbouring rank, in milliseconds. */
const CAMPAIGN_STAGGER_MS = 25
/** Time for which VMs smaller than the last leader's VM wait for larger ones to restart, in milliseconds: the spread of starts. */
const LARGER_VM_WAIT_MS = 600
/**
 * Time for which a refused connection counts as proof that the leader's process has ended, in milliseconds: long enough
 * for one election, and no longer, so that an old refusal does not replace a running scheduler.
 */
const REFUSAL_AGE_MS = 1_000
/** Time for which the address of a lapsed member is kept, in milliseconds, since the member may only be cut off from the store. */
const MEMBER_RETENTION_MS = 60_000

/** Maximum number of names in one line of the log. */
const MAX_NAMES_IN_LINE = 10

const memberSchema = z.object({
  incarnation: z.string(),
  failureDomain: z.string(),
  address: z.string(),
  /** Capacity of the VM in processor cores, limited by its network link. VMs with more capacity campaign first. */
  size: z.number()
})

/** Number of the last term and size of the VM that led in it. The size is infinite when there was no term yet. */
const termSchema = z.object({
  term: z.number().int().default(0),
  size: z.number().default(Number.POSITIVE_INFINITY),
  /**
   * First of the terms up to this one whose leaders all kept the record of the ends of leases. Absent for a leader of a version
   * without it, which extends leases regardless, and also for some time after its authority has ended.
   */
  leaseEndsSince: z.number().int().optional()
})

const leaderSchema = z.object({ vm: z.string(), incarnation: z.string(), term: z.number().int() })

/** Entry of a daemon among the members of the cell. */
export type Member = z.infer<typeof memberSchema>

/** The daemon that schedules. `epoch` is its fencing token: the store revision of its election, larger for each new leader. */
export interface Leader extends z.infer<typeof leaderSchema> {
  epoch: number
}

/** Options of a {@link CellSession}. */
export interface CellSessionOptions {
  vm: string
  self: Member
  platform: PlatformClient
  timers: Timers
  log: EventLog
  /** Called when this daemon has become the leader. */
  onElected: (leader: Leader) => void
  /** Called when this daemon's view of the leader has changed. */
  onLeaderChange: (leader: Leader | undefined) => void
}

/** Keeps this daemon a member of the cell and elects it leader when there is none. */
export class CellSession {
  /** Entries of all members by VM, including members whose entry has lapsed within `MEMBER_RETENTION_MS`. */
  readonly members = new Map<string, Member>()
  /** Ends of the leases of lost workers, which each daemon counts so that the next scheduler knows them. */
  readonly leaseEnds: LeaseEndView
  private readonly _options: CellSessionOptions
  private readonly _lease: LeaseClock
  private readonly _view: PrefixView
  private readonly _lapsedMembers = new Map<string, TimerSubscription>()
  private _leaseId: string | undefined
  private _leader: Leader | undefined
  private _campaignTimer: TimerSubscription | undefined
  private _campaigning = false
  /** Epoch of this daemon's newest election for which `onElected` was called. */
  private _announcedEpoch = 0
  private _outageConfirmedAtMs = Number.NEGATIVE_INFINITY
  /** Time at which this daemon last asked the store and learned that it leads, in milliseconds of the monotonic clock. */
  private _leaderConfirmedMs = Number.NEGATIVE_INFINITY
  /** True when this daemon's last campaign replaced the entry of a leader on another VM, whose lease may last. */
  private _replacedRunningLeader = false
  /** True when the leaders that may still extend leases at this daemon's election do so only by their authority. */
  private _onlyLeadersExtend = false
  /** Epoch of the leader whose address last refused a connection, and the time of the refusal. */
  private _lastRefusal = { epoch: 0, atMs: Number.NEGATIVE_INFINITY }
  private _resigning = false
  /** Epoch of this daemon's term that ended through a peer. The entry is deleted, or will be once the store can be reached. */
  private _releasedEpoch: number | undefined
  private _closed = false
  private _connected = true
  private _disconnectedAtMs: number | undefined
  /** Time from which the daemon has been connected without a break; meaningless while it is not. */
  private _connectedAtMs = 0

  constructor (options: CellSessionOptions) {
    this._options = options
    const { platform, timers, log } = options
    this._lease = new LeaseClock(timers)
    this.leaseEnds = new LeaseEndView({ timers })
    this._view = new PrefixView({
      prefix: CELL_PREFIX, platform, timers, log, onChange: keys => this._applyChanges(keys), watch: CELL_WATCH_OPTIONS
    })
  }

  start (): void {
    this._view.start()
    this._keepLease()
  }

  /** The leader in the newest view of the store. */
  get leader (): Leader | undefined {
    return this._leader
  }

  /** VMs of the members whose entries are in the store. */
  get presentMembers (): string[] {
    return [...this.members.keys()].filter(vm => !this._lapsedMembers.has(vm))
  }

  /** Age of the view of members and leader, in milliseconds. */
  get viewAgeMs (): number {
    return this._view.ageMs
  }

  /** True when this daemon holds a lease and the store has answered its last call. */
  get connected (): boolean {
    return this._connected && this._leaseId !== undefined
  }

  /** Time since the connection to the store was lost, in milliseconds; 0 while the store can be reached. */
  get disconnectedForMs (): number {
    return this._disconnectedAtMs === undefined ? 0 : this._options.timers.now() - this._disconnectedAtMs
  }

  /** Time for which this daemon has been connected to the store without a break, in milliseconds; 0 while it is not. */
  get connectedForMs (): number {
    return this.connected ? this._options.timers.now() - this._connectedAtMs : 0
  }

  /** True when this daemon's last campaign replaced the entry of a leader on another VM, which may still be running. */
  get replacedRunningLeader (): boolean {
    return this._replacedRunningLeader
  }

  /** True when the leaders before this daemon's election extend leases only by their authority. */
  get onlyLeadersExtend (): boolean {
    return this._onlyLeadersExtend
  }

  /**
   * Time for which this daemon may still start work under `epoch`, in milliseconds; zero or less when it may not.
   * It is the rest of its lease, and at most `SESSION_TTL_MS` from the last confirmation that it leads; or the rest of
   * `CONFIRMED_OUTAGE_MS` when that is longer. The next leader waits for the end of the latter two (see `Dispatcher`).
   */
  leadershipRemainingMs (epoch: number): number {
    const { self, timers } = this._options
    const isOwnTerm = this._leader?.epoch === epoch && this._leader.incarnation === self.incarnation
    if (!isOwnTerm || this._resigning) return 0
    const leaseMs = Math.min(this._lease.remainingMs, this._leaderConfirmedMs + SESSION_TTL_MS - timers.now())
    if (this._connected || this._lease.sinceRenewalMs === Number.POSITIVE_INFINITY) return leaseMs
    return Math.max(leaseMs, this._outageConfirmedAtMs + CONFIRMED_OUTAGE_MS - timers.now())
  }

  /** Notes that most members, asked at `requestSentMs`, answered that they cannot reach the store, and none answered that it can. */
  noteConfirmedOutage (requestSentMs: number): void {
    this._outageConfirmedAtMs = Math.max(this._outageConfirmedAtMs, requestSentMs)
  }

  /**
   * Notes that the leader's address refused a connection: its process has ended, and this daemon campaigns.
   * Ignored while this daemon cannot reach the store: it may be cut off by a device that refuses connections
   * in place of the leader.
   */
  noteLeaderRefusedConnection (epoch: number): void {
    if (this._leader?.epoch !== epoch || this._leader.vm === this._options.vm || !this.connected) return
    const alreadyLogged = this._refusedRecently(epoch)
    this._lastRefusal = { epoch, atMs: this._options.timers.now() }
    if (!alreadyLogged) this._options.log.event('warn', 'leader.refuses', { peer: this._leader.vm, epoch })
    this._considerElection()
  }

  private _refusedRecently (epoch: number): boolean {
    return this._lastRefusal.epoch === epoch && this._options.timers.now() - this._lastRefusal.atMs < REFUSAL_AGE_MS
  }

  /** Gives up leadership if this daemon leads under an epoch before `epoch`, under which another daemon was elected. */
  stepDown (epoch: number): void {
    if (this._leader && this._leader.epoch < epoch && this._leader.incarnation === this._options.self.incarnation) this._leader = undefined
  }

  /**
   * Deletes the leader's entry for a leader that cannot reach the store. The entry is read first, so that nothing is written,
   * with an unknown outcome, while this daemon cannot reach the store either.
   */
  async releaseForPeer (epoch: number): Promise<ReleaseOutcome> {
    const { platform } = this._options
    const read = await platform.get(LEADER_KEY, { timeoutMs: RELEASE_CALL_TIMEOUT_MS })
    if (read.isErr) return RELEASE_OUTCOMES.kept
    if (read.value?.modRevision !== epoch) return RELEASE_OUTCOMES.released
    return this._deleteLeader(epoch, RELEASE_CALL_TIMEOUT_MS)
  }

  /** Notes that this daemon's term has ended and that a peer has deleted the leader's entry, or may have. */
  noteReleased (epoch: number): void {
    this._releasedEpoch = epoch
    if (this._leader?.epoch === epoch) this._leader = undefined
  }

  private async _deleteLeader (epoch: number, timeoutMs: number): Promise<ReleaseOutcome> {
    const deletion = { op: 'delete' as const, key: LEADER_KEY }
    const result = await this._options.platform.txn([{ key: LEADER_KEY, modRevision: epoch }], [deletion], { timeoutMs })
    if (result.isOk) return RELEASE_OUTCOMES.released
    return result.error.effect === EFFECTS.none ? RELEASE_OUTCOMES.kept : RELEASE_OUTCOMES.unknown
  }

  /** Deletes this daemon's leader entry, if it leads, and stops taking part in elections. */
  async resign (): Promise<void> {
    this._resigning = true
    this._campaignTimer?.cancel()
    const { log, self } = this._options
    const leader = this._leader
    if (leader?.incarnation !== self.incarnation) return
    this._leader = undefined
    const outcome = await this._deleteLeader(leader.epoch, CALL_TIMEOUT_MS)
    log.event('info', 'leader.resigned', { epoch: leader.epoch, outcome })
  }

  /** Revokes the lease, which deletes the member entry. */
  async close (): Promise<void> {
    this._closed = true
    this._campaignTimer?.cancel()
    for (const timer of this._lapsedMembers.values()) timer.cancel()
    this._view.close()
    if (this._leaseId === undefined) return
    const ended = await this._options.platform.revokeLease(this._leaseId, { timeoutMs: CALL_TIMEOUT_MS })
    if (ended.isErr) this._options.log.event('warn', 'session.end.failed', { detail: ended.error.message })
  }

  /** Opens the lease and renews it until `close`. */
  private async _keepLease (): Promise<void> {
    const { timers } = this._options
    while (!this._closed) {
      if (this._leaseId === undefined) {
        if (!await this._openLease()) await delay(timers, RETRY_MS)
        continue
      }
      await delay(timers, this._connected ? RENEWAL_PERIOD_MS : RETRY_MS)
      if (!this._closed) await this._renewLease()
    }
  }

  private async _openLease (): Promise<boolean> {
    const { platform, timers, log, vm, self } = this._options
    const sentMs = timers.now()
    const sentWallMs = timers.wallClock()
    const granted = await platform.grantLease(SESSION_TTL_MS, { timeoutMs: CALL_TIMEOUT_MS })
    if (granted.isErr) return this._noteConnection(granted.error.message)
    const { leaseId, ttlMs } = granted.value
    const entry = { op: 'put' as const, key: memberKey(vm), value: JSON.stringify(self), leaseId }
    const entered = await platform.txn([], [entry], { timeoutMs: CALL_TIMEOUT_MS })
    if (entered.isErr) return this._noteConnection(entered.error.message)
    if (this._closed) return false
    this._leaseId = leaseId
    this._connectedAtMs = timers.now()
    this._lease.noteRenewal(sentMs, sentWallMs, ttlMs)
    this._noteConnection()
    log.event('info', 'session.opened', { leaseId, ttlMs, revision: entered.value.revision })
    this._considerElection()
    return true
  }

  private async _renewLease (): Promise<void> {
    const { platform, timers, log } = this._options
    const sentMs = timers.now()
    const sentWallMs = timers.wallClock()
    this._confirmLeadership()
    const renewed = await platform.keepAlive(this._leaseId!, { timeoutMs: CALL_TIMEOUT_MS })
    if (renewed.isErr) {
      this._noteConnection(renewed.error.message)
      return
    }
    this._noteConnection()
    if (renewed.value.ttlMs > 0) {
      this._lease.noteRenewal(sentMs, sentWallMs, renewed.value.ttlMs)
      // The peer's write may have been lost, and the entry stays while this daemon's lease is renewed.
      if (this._releasedEpoch !== undefined && this._view.get(LEADER_KEY)?.modRevision === this._releasedEpoch) {
        await this._deleteLeader(this._releasedEpoch, CALL_TIMEOUT_MS)
      }
      return
    }
    log.event('warn', 'session.lapsed', { leaseId: this._leaseId })
    this._leaseId = undefined
    this._lease.noteEnd()
  }

  /** Asks the store whether this daemon still leads. The lease does not show it, and the watch may lag. */
  private async _confirmLeadership (): Promise<void> {
    const { platform, timers, self } = this._options
    const leader = this._leader
    if (leader?.incarnation !== self.incarnation) return
    const sentMs = timers.now()
    const read = await platform.get(LEADER_KEY, { timeoutMs: CALL_TIMEOUT_MS })
    if (this._closed || read.isErr || this._leader?.epoch !== leader.epoch) return
    if (read.value?.modRevision === leader.epoch) this._leaderConfirmedMs = sentMs
    else if (read.value) this._applyLeader(read.value)
  }

  /** Notes whether the store answered the last call and logs a change. Always returns false, for use in a return statement. */
  private _noteConnection (fault?: string): false {
    const connected = fault === undefined
    if (connected !== this._connected) {
      const fields = { dependency: 'store', detail: fault, leaseRemainingMs: Math.round(this._lease.remainingMs) }
      this._options.log.event(connected ? 'info' : 'warn', connected ? 'dependency.regained' : 'dependency.lost', fields)
    }
    if (connected && !this._connected) this._connectedAtMs = this._options.timers.now()
    this._connected = connected
    this._disconnectedAtMs = connected ? undefined : this._disconnectedAtMs ?? this._options.timers.now()
    return false
  }

  private _applyChanges (keys: string[]): void {
    const seen: string[] = []
    for (const key of keys) {
      const vm = memberNameOf(key)
      if (vm !== undefined && this._applyMember(vm, this._view.get(key))) seen.push(vm)
    }
    // After a restart of all daemons, one change of the view contains most of them.
    if (seen.length) {
      const peers = seen.length > MAX_NAMES_IN_LINE ? `${seen.slice(0, MAX_NAMES_IN_LINE).join(',')},…` : seen.join(',')
      this._options.log.event('info', 'member.seen', { peers, count: seen.length, revision: this._view.get(memberKey(seen[0]))?.modRevision })
    }
    if (keys.includes(LEASE_ENDS_KEY)) this._applyLeaseEnds(this._view.get(LEASE_ENDS_KEY))
    if (keys.includes(LEADER_KEY) || !this._leader) this._applyLeader(this._view.get(LEADER_KEY))
    this._considerElection()
  }

  /** Applies a change of a member's entry. Returns true for an entry that can be read. */
  private _applyMember (vm: string, stored: StoredValue | undefined): boolean {
    const { timers, log } = this._options
    this._lapsedMembers.get(vm)?.cancel()
    this._lapsedMembers.delete(vm)
    if (!stored) {
      if (this.members.has(vm)) {
        this._lapsedMembers.set(
          vm, timers.after(MEMBER_RETENTION_MS, () => { this._lapsedMembers.delete(vm); this.members.delete(vm) })
        )
      }
      log.event('info', 'member.lapsed', { peer: vm })
      return false
    }
    const decoded = decodeJson(memberSchema, stored.value)
    if (decoded.isErr) {
      log.event('warn', 'member.unreadable', { peer: vm, revision: stored.modRevision, detail: decoded.error })
      return false
    }
    this.members.set(vm, decoded.value)
    return true
  }

  private _applyLeaseEnds (stored: StoredValue | undefined): void {
    const applied = this.leaseEnds.apply(stored?.value)
    if (applied.isErr) this._options.log.event('warn', 'leaseEnds.unreadable', { revision: stored?.modRevision, detail: applied.error })
  }

  private _applyLeader (stored: StoredValue | undefined): void {
    const value = stored && this._decodeLeader(stored)
    const released = stored?.modRevision === this._releasedEpoch
    const leader = value && !released ? { ...value, epoch: stored.modRevision } : undefined
    if (leader?.epoch === this._leader?.epoch) return
    // The view may lag behind this daemon's own election.
    if (leader && this._leader && leader.epoch < this._leader.epoch) return
    this._leader = leader
    this._options.log.event('info', 'leader.changed', { peer: leader?.vm, epoch: leader?.epoch, term: leader?.term })
    this._options.onLeaderChange(leader)
    // The view can show this daemon's election before the answer to its write arrives, or when the answer is lost.
    if (leader && leader.incarnation === this._options.self.incarnation) this._becomeLeader(leader)
  }

  /** Schedules a campaign when there is no leader, or when the process of the leader has ended. */
  private _considerElection (): void {
    const { vm, timers } = this._options
    if (this._resigning || this._closed || this._leaseId === undefined || !this._view.loaded) return
    const predecessor = this._isReplaceable(this._leader)
    if ((this._leader && !predecessor) || this._campaigning || this._campaignTimer) return
    if (this._leader?.vm === vm) this._scheduleCampaign(0)
    else if (!this._largerVmExpected) this._scheduleCampaign(this._electionRank() * CAMPAIGN_STAGGER_MS)
    else this._campaignTimer = timers.after(LARGER_VM_WAIT_MS, () => this._scheduleCampaign(this._electionRank() * CAMPAIGN_STAGGER_MS))
  }

  /** True when the leader is an earlier process of this VM, or has refused a connection a short time ago. */
  private _isReplaceable (leader: Leader | undefined): boolean {
    if (!leader) return false
    const { vm, self } = this._options
    return (leader.vm === vm && leader.incarnation !== self.incarnation) || this._refusedRecently(leader.epoch)
  }

  /**
   * True when a VM larger than this one led last and may restart.
   *
   * Load pattern: VMs of unequal size, of which few can schedule for the whole cell, after a restart of all of
   * them. The smaller VMs wait for the larger ones to become members before they campaign.
   */
  private get _largerVmExpected (): boolean {
    return this._options.self.size < this._lastElection.size
  }

  private _scheduleCampaign (waitMs: number): void {
    this._campaignTimer = this._options.timers.after(waitMs, () => { this._campaignTimer = undefined; this._startCampaign() })
  }

  /** Number of present members that campaign before this one: larger VMs first, then by name. */
  private _electionRank (): number {
    const { vm, self } = this._options
    return this.presentMembers.filter(other => {
      const size = this.members.get(other)!.size
      return size > self.size || (size === self.size && other < vm)
    }).length
  }

  private async _startCampaign (): Promise<void> {
    const { platform, log, vm, self, timers } = this._options
    const current = this._view.get(LEADER_KEY)
    const predecessor = current && this._decodeLeader(current)
    const replaceable = !predecessor || this._isReplaceable({ ...predecessor, epoch: current!.modRevision })
    if (!replaceable || this._resigning || this._leaseId === undefined) return
    this._campaigning = true
    this._replacedRunningLeader = predecessor !== undefined && predecessor.vm !== vm
    this._leaderConfirmedMs = timers.now()
    const last = this._lastElection
    const term = Math.max(predecessor?.term ?? 0, last.term) + 1
    const leaseEndsSince = last.leaseEndsSince ?? term
    // The leader before the predecessor may have been replaced while it was running.
    this._onlyLeadersExtend = leaseEndsSince <= Math.max(1, term - 2)
    const value = JSON.stringify({ vm, incarnation: self.incarnation, term })
    const changes = [
      { op: 'put' as const, key: LEADER_KEY, value, leaseId: this._leaseId },
      // Leases in the record may have been extended since.
      ...leaseEndsSince === term ? [{ op: 'delete' as const, key: LEASE_ENDS_KEY }] : [],
      { op: 'put' as const, key: TERM_KEY, value: JSON.stringify({ term, size: self.size, leaseEndsSince }) }
    ]
    const guards = [
      { key: LEADER_KEY, modRevision: current?.modRevision ?? 0 },
      { key: TERM_KEY, modRevision: this._view.get(TERM_KEY)?.modRevision ?? 0 }
    ]
    const result = await platform.txn(guards, changes, { timeoutMs: CALL_TIMEOUT_MS })
    this._campaigning = false
    if (this._closed) return
    if (result.isErr) {
      log.event('warn', 'election.failed', { detail: result.error.message, term })
      // The write may have taken effect. If so, the view or a read shows this daemon's entry, and it becomes the leader.
      this._campaignTimer = timers.after(
        RETRY_MS, () => { this._campaignTimer = undefined; this._resolveElection(result.error.effect === EFFECTS.none) }
      )
      return
    }
    if (!result.value.applied) {
      log.event('info', 'election.lost', { term, revision: result.value.revision })
      this._campaignTimer = timers.after(RETRY_MS, () => { this._campaignTimer = undefined; this._considerElection() })
      return
    }
    this._becomeLeader({ vm, incarnation: self.incarnation, term, epoch: result.value.revision })
  }

  /** After a failed write of the leader entry: becomes the leader if the store holds this daemon's entry, else campaigns again. */
  private async _resolveElection (hadNoEffect: boolean): Promise<void> {
    const { platform, self, timers } = this._options
    if (hadNoEffect) return this._considerElection()
    const read = await platform.get(LEADER_KEY, { timeoutMs: CALL_TIMEOUT_MS })
    if (read.isErr) {
      this._campaignTimer = timers.after(RETRY_MS, () => { this._campaignTimer = undefined; this._resolveElection(false) })
      return
    }
    const value = read.value && this._decodeLeader(read.value)
    if (value && value.incarnation === self.incarnation && this._leaseId !== undefined) {
      this._becomeLeader({
        ...value, epoch: read.value!.modRevision
      })
    } else this._considerElection()
  }

  private _becomeLeader (leader: Leader): void {
    if (leader.epoch <= this._announcedEpoch || this._resigning || this._closed) return
    this._announcedEpoch = leader.epoch
    this._leader = leader
    this._options.log.event(
      'info', 'leader.elected', { epoch: leader.epoch, term: leader.term, leaseRemainingMs: Math.round(this._lease.remainingMs) }
    )
    this._options.onLeaderChange(leader)
    this._options.onElected(leader)
  }

  /** Term and VM size of the last election in the store. */
  private get _lastElection (): z.infer<typeof termSchema> {
    const stored = this._view.get(TERM_KEY)
    const term = decodeJson(termSchema, stored?.value ?? '{}')
    if (term.isOk) return term.value
    this._options.log.event('error', 'term.unreadable', { revision: stored?.modRevision, detail: term.error })
    return termSchema.parse({})
  }

  private _decodeLeader (stored: StoredValue): z.infer<typeof leaderSchema> | undefined {
    const leader = decodeJson(leaderSchema, stored.value)
    if (leader.isOk) return leader.value
    this._options.log.event('error', 'leader.unreadable', { revision: stored.modRevision, detail: leader.error })
  }
}
