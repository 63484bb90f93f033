/**
 * A daemon that accepts workflows from callers and, while it is the leader, schedules them for the whole cell.
 *
 * @module
 */

import type Result from 'true-myth/result'
import type { ActiveConfiguration } from '../workflows/activeConfiguration.js'
import { CellSession, CONFIRMED_OUTAGE_MS, SESSION_TTL_MS, type Leader } from '../workflows/cellSession.js'
import { ConfigurationPeers } from '../workflows/configurationPeers.js'
import { LEADER_KEY } from '../workflows/keys.js'
import { PeerReachability } from '../workflows/peerReachability.js'
import { SchedulerTerm, type SchedulerTimeLimits, type TermFigures } from '../workflows/schedulerTerm.js'
import { WorkflowService } from '../workflows/workflowService.js'
import { WorkflowStore } from '../workflows/workflowStore.js'
import type { PeerMethods } from '../protocol/peerMessages.js'
import { RELEASE_OUTCOMES, type ReleaseOutcome } from '../protocol/workflows.js'
import type { PeerHandlers, PeerTransport } from '../seams/peerTransport.js'
import type { PlatformClient } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import { delay, type Timers } from '../seams/timers.js'
import type { CellConfig, EligibilityAnswer, EligibilityClient, WorkerClient, WorkerDirectory } from '../seams/workflowUpstreams.js'
import { EFFECTS, isConnectionRefused, type CallError } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'

/** Time added to the timeout of an eligibility call that goes through a peer, in milliseconds: the network time between daemons. */
const PEER_MARGIN_MS = 100
/** Period of the probes of a daemon that cannot reach the store, in milliseconds: several within two readiness checks. */
const PROBE_PERIOD_MS = 300
/** Time after the loss of the store in which the daemon stays ready without a peer's answer, in milliseconds: a probe period and a call. */
const PEER_ANSWER_GRACE_MS = 500
/** Timeout of a call to the earlier scheduler, and pause between two of them, in milliseconds. */
const RETIRE_TIMEOUT_MS = 250
/** Number of times that each peer is asked for the ends of leases: a peer may not have seen a new daemon yet. */
const LEASE_END_TRIES = 4
/** Time for which a leader of a version without the record of lease ends extends leases after its authority has ended, in milliseconds. */
const LEGACY_EXTENSION_MS = 3_000
/** Number of leaders for which the time is kept at which they were first seen. */
const MAX_SEEN_LEADERS = 8
/**
 * Share of all known members that must have reached the store. Members that the earlier scheduler did not know do not prevent it
 * from counting a majority without the store, so this is more than half.
 */
const STORE_QUORUM_SHARE = 2 / 3
/** Time without the store after which a leader gives up leadership if most others reach it, in milliseconds. */
const RELEASE_AFTER_MS = 250
/** Timeout of a call to the peer that deletes the leader's entry, in milliseconds: two calls to the store and the network. */
const RELEASE_TIMEOUT_MS = 500
/** Maximum number of peers that are asked to delete the leader's entry in one probe period. */
const RELEASE_PEERS = 2
/** Longest wait for unrecorded changes while handing over, in milliseconds: a third of the shortest time in which a daemon must stop. */
const HAND_OVER_TIMEOUT_MS = 1_500

/** Options of a {@link WorkflowDaemon}. */
export interface WorkflowDaemonOptions {
  vm: string
  failureDomain: string
  incarnation: string
  /** Address of this daemon for its peers. */
  peerAddress: string
  /** Capacity of the VM in processor cores, limited by its network link. VMs with more capacity campaign first. */
  size: number
  platform: PlatformClient
  directory: WorkerDirectory
  workers: WorkerClient
  eligibility: EligibilityClient
  /** Creates the transport, which looks up the addresses of peers in `members`. */
  transport: (members: ReadonlyMap<string, { failureDomain: string, address: string }>) => PeerTransport
  timers: Timers
  random: RandomSource
  log: EventLog
  timeLimits: SchedulerTimeLimits
  /** Number of tasks of open workflows for which the process has room while it schedules. */
  maxLoadedTasks?: number
  /** The configuration in force; undefined while it is not known. */
  config: () => CellConfig | undefined
  /** The same configuration with its proof, for which peers are asked. Absent when callers need no keys. */
  configuration?: ActiveConfiguration
  /** Called with the time for which a long-running task was down, in milliseconds, when it is started. */
  onLongRunningRestart?: (downMs: number) => void
}

/** Values for the metrics of a daemon. */
export interface WorkflowDaemonFigures {
  leading: boolean
  epoch: number
  connected: boolean
  viewAgeMs: number
  members: number
  term?: TermFigures
}

/** An election of this daemon, and the leader before it if that is known. */
interface Election {
  leader: Leader
  predecessor: Leader | undefined
  /** True when the predecessor was replaced because its address refused a connection. */
  replacedRunning: boolean
  /** Time of the election, in milliseconds of the monotonic clock. */
  electedMs: number
}

type StoreReachability = PeerMethods['reachesStore']['result']

/** Connects the session, the term, the service and the transport of a daemon. */
export class WorkflowDaemon {
  readonly service: WorkflowService
  private readonly _options: WorkflowDaemonOptions
  private readonly _session: CellSession
  private readonly _transport: PeerTransport
  private readonly _reachability: PeerReachability
  private readonly _configurationPeers: ConfigurationPeers | undefined
  private _term: SchedulerTerm | undefined
  private _termEpoch = 0
  /** True while a peer is asked to delete the leader's entry. */
  private _releasing = false
  /** True from the beginning of a hand-over on: the daemon starts no more tasks. */
  private _handingOver = false
  /** The newest known leader, and the leader before it. */
  private _knownLeader: Leader | undefined
  private _previousLeader: Leader | undefined
  /** Times at which this daemon or a peer first saw a leader, by epoch, in milliseconds of the monotonic clock. */
  private readonly _leaderSeenMs = new Map<number, number>()
  /** Number of failed eligibility calls in a row through each peer, in this term. */
  private readonly _failedQueries = new Map<string, number>()

  constructor (options: WorkflowDaemonOptions) {
    this._options = options
    const { vm, failureDomain, incarnation, peerAddress, size, platform, timers, random, log } = options
    this._session = new CellSession({
      vm,
      self: { incarnation, failureDomain, address: peerAddress, size },
      platform,
      timers,
      log,
      onElected: leader => this._startTerm(leader),
      onLeaderChange: leader => this._leaderChanged(leader)
    })
    this._transport = options.transport(this._session.members)
    this._reachability = new PeerReachability({ vm, failureDomain, session: this._session, transport: this._transport, timers, random })
    this._configurationPeers = options.configuration && new ConfigurationPeers({
      configuration: options.configuration,
      peers: () => this._session.presentMembers.filter(member => member !== vm),
      transport: this._transport,
      timers,
      random,
      log
    })
    const store = new WorkflowStore({ platform, timers, log })
    this.service = new WorkflowService({
      vm,
      failureDomain,
      random,
      reachability: this._reachability,
      store,
      session: this._session,
      transport: this._transport,
      timers,
      log,
      config: options.config,
      ownTerm: () => this._term
    })
  }

  async start (): Promise<void> {
    await this._transport.listen(this._handlers())
    this._session.start()
    this._configurationPeers?.start()
    this._options.timers.every(PROBE_PERIOD_MS, () => {
      if (this._session.connected) return
      this._reachability.probe()
      if (this._term) this._confirmOutage()
    })
  }

  /** True when callers can be served here as well as by other daemons: the configuration is known, and the VM is not cut off. */
  get ready (): boolean {
    const { connected, disconnectedForMs } = this._session
    return this._options.config() !== undefined &&
      (connected || disconnectedForMs < PEER_ANSWER_GRACE_MS || this._reachability.hasRecentAnswer)
  }

  /** Values for metrics. */
  figures (): WorkflowDaemonFigures {
    return {
      leading: this._term !== undefined,
      epoch: this._session.leader?.epoch ?? 0,
      connected: this._session.connected,
      viewAgeMs: this._session.viewAgeMs,
      members: this._session.presentMembers.length,
      term: this._term?.figures()
    }
  }

  /** Records pending changes, then gives up leadership. Callers are still served. */
  async handOver (): Promise<void> {
    const { timers } = this._options
    const term = this._term
    this._handingOver = true
    if (term) {
      term.quiesce()
      await new Promise<void>(resolve => {
        const timer = timers.after(HAND_OVER_TIMEOUT_MS, resolve)
        term.flush().then(() => { timer.cancel(); resolve() })
      })
    }
    await this._session.resign()
    this._endTerm('leadership was handed over')
  }

  async close (): Promise<void> {
    this._endTerm('the daemon is shutting down')
    this._configurationPeers?.close()
    await this._session.close()
    await this._transport.close()
  }

  /** Starts a scheduler term after this daemon's election. */
  private _startTerm (leader: Leader): void {
    this._endTerm('this daemon was elected again')
    const { platform, directory, workers, timers, random, log, timeLimits, config, vm, onLongRunningRestart } = this._options
    const nowMs = timers.now()
    // A leader between the two may have come and gone unseen.
    const predecessor = this._previousLeader?.term === leader.term - 1 ? this._previousLeader : undefined
    this._previousLeader = undefined
    const replacedRunning = predecessor !== undefined && this._session.replacedRunningLeader
    const election: Election = { leader, predecessor, replacedRunning, electedMs: nowMs }
    const earlierActiveUntilMs = this._earlierActiveUntilMs(election)
    const predecessorActiveUntilMs = Math.max(nowMs + (replacedRunning ? SESSION_TTL_MS : CONFIRMED_OUTAGE_MS), earlierActiveUntilMs)
    const mayOthersStartNewWork = replacedRunning || earlierActiveUntilMs > nowMs
    this._failedQueries.clear()
    this._termEpoch = leader.epoch
    this._term = new SchedulerTerm({
      epoch: leader.epoch,
      term: leader.term,
      platform,
      directory,
      client: workers,
      timers,
      random,
      log,
      timeLimits,
      maxLoadedTasks: this._options.maxLoadedTasks,
      config,
      leaseEnds: this._session.leaseEnds,
      isStoreReachable: () => this._session.connected,
      // The earlier scheduler stops when its lease ends, or when nobody confirms an outage of the store to it any more.
      predecessorActiveUntilMs,
      predecessorExtensionMs: this._predecessorExtensionMs,
      newFromRevision: mayOthersStartNewWork ? Number.POSITIVE_INFINITY : leader.epoch,
      leadershipRemainingMs: () => this._session.leadershipRemainingMs(leader.epoch),
      queryEligibility: (daemon, step, names, timeoutMs) => this._queryEligibility(daemon, step, names, timeoutMs),
      eligibilityDaemons: () => [vm, ...this._session.presentMembers.filter(member => member !== vm)],
      onTakeover: reason => { if (this._termEpoch === leader.epoch) this._endTerm(reason) },
      onLongRunningRestart
    })
    this._term.start()
    if (predecessor) this._retirePredecessor(this._term, predecessor, election)
    if (mayOthersStartNewWork) this._awaitPredecessorStop(this._term, predecessorActiveUntilMs)
    this._askForLeaseEnds(this._term)
    this._checkPredecessor(this._term, election)
  }

  /** Time for which the leaders before this daemon's election may extend leases after their authority has ended, in milliseconds. */
  private get _predecessorExtensionMs (): number {
    return this._session.onlyLeadersExtend ? 0 : LEGACY_EXTENSION_MS
  }

  /**
   * Time until which leaders before the predecessor may start work, in milliseconds of the monotonic clock: the predecessor may
   * have replaced a running one just before it ended itself.
   */
  private _earlierActiveUntilMs ({ leader, predecessor, electedMs }: Election): number {
    if (leader.term <= 2) return Number.NEGATIVE_INFINITY
    const seenMs = (predecessor && this._leaderSeenMs.get(predecessor.epoch)) ?? electedMs
    return Math.min(seenMs, electedMs) + SESSION_TTL_MS
  }

  /** Asks the earlier scheduler to stop, until it has stopped or its process is known to have ended. */
  private async _retirePredecessor (term: SchedulerTerm, predecessor: Leader, election: Election): Promise<void> {
    const { timers, vm, log } = this._options
    const { epoch } = election.leader
    const hasEnded = (): boolean => predecessor.vm === vm ||
      this._session.members.get(predecessor.vm)?.incarnation !== predecessor.incarnation
    let retired = false
    let failures = 0
    while (!term.closed) {
      if (hasEnded()) break
      const answer = await this._transport.call(predecessor.vm, 'retireScheduler', { epoch }, RETIRE_TIMEOUT_MS)
      retired = answer.isOk && answer.value.retired
      if (retired) break
      if (answer.isErr && failures++ === 0) {
        log.event('warn', 'term.predecessor.unreachable', { epoch, peer: predecessor.vm, detail: answer.error.message })
      }
      await delay(timers, RETIRE_TIMEOUT_MS)
    }
    // The leaders before it may still extend leases.
    while (!term.closed && timers.now() < this._earlierActiveUntilMs(election) + this._predecessorExtensionMs) {
      await delay(timers, RETIRE_TIMEOUT_MS)
    }
    if (term.closed) return
    const evidence = retired ? 'it has retired' : 'its VM has no such process any more'
    term.notePredecessorEnded({ peer: predecessor.vm, evidence, failures })
    await this._noteStoreRevision(term)
  }

  /** Waits until an earlier scheduler that may still be running has stopped: it may have started workflows stored until then. */
  private async _awaitPredecessorStop (term: SchedulerTerm, untilMs: number): Promise<void> {
    const { timers } = this._options
    await delay(timers, untilMs - timers.now())
    await this._noteStoreRevision(term)
  }

  /** Reads the revision of the store: workflows stored after it are new to the earlier scheduler, which has stopped. */
  private async _noteStoreRevision (term: SchedulerTerm): Promise<void> {
    const { platform, timers } = this._options
    while (!term.closed) {
      const read = await platform.range(LEADER_KEY, { timeoutMs: RETIRE_TIMEOUT_MS })
      if (read.isOk && !term.closed) return term.noteNewFromRevision(read.value.revision + 1)
      await delay(timers, RETIRE_TIMEOUT_MS)
    }
  }

  /** Asks the other members how long recorded leases last: they may have seen the loss of a worker earlier than this daemon. */
  private async _askForLeaseEnds (term: SchedulerTerm): Promise<void> {
    const { vm, timers } = this._options
    const unasked = new Set(this._session.presentMembers.filter(member => member !== vm))
    for (let attempt = 1; attempt <= LEASE_END_TRIES && unasked.size > 0 && await term.inheritsLeaseEnds(); attempt++) {
      await Promise.all([...unasked].map(async member => {
        const answer = await this._transport.call(member, 'leaseEnds', {}, RETIRE_TIMEOUT_MS)
        if (answer.isErr || term.closed) return
        unasked.delete(member)
        term.noteLeaseEnds(answer.value.leases)
      }))
      await delay(timers, RETIRE_TIMEOUT_MS)
      if (term.closed) return
    }
  }

  /**
   * Checks whether the earlier scheduler may still start work: while its process runs, for the rest of its lease; and because most
   * members confirmed an outage of the store. Once most members have reached the store for `CONFIRMED_OUTAGE_MS` without a break,
   * every such confirmation has expired. A running scheduler is replaced when its address refuses a connection. A member or a worker
   * of its failure domain that answers shows that no device between the domains refused it.
   */
  private async _checkPredecessor (term: SchedulerTerm, election: Election): Promise<void> {
    const { vm, timers, log } = this._options
    const { leader, predecessor, replacedRunning, electedMs } = election
    const { epoch } = leader
    const others = [...this._session.members].filter(([member]) => member !== vm)
    const ask = async (): Promise<Array<Result<StoreReachability, CallError>>> => {
      const params = { leaderEpoch: predecessor?.epoch }
      const answers = await Promise.all(others.map(([member]) => this._transport.call(member, 'reachesStore', params, RETIRE_TIMEOUT_MS)))
      for (const answer of answers) {
        if (predecessor && answer.isOk) this._noteLeaderSeen(predecessor, timers.now() - answer.value.leaderKnownForMs)
      }
      return answers
    }
    let answers = await ask()
    while (!term.closed) {
      if (!predecessor || !replacedRunning) break
      const own = answers[others.findIndex(([member]) => member === predecessor.vm)]
      const reached = others.filter((_, index) => answers[index].isOk).map(([, other]) => other.failureDomain)
      if (own?.isErr && isConnectionRefused(own.error) && this._reachesDomainOf(predecessor, { reached, term })) break
      if (timers.now() - electedMs > SESSION_TTL_MS) {
        log.event('info', 'term.predecessor.unconfirmed', { epoch, evidence: 'its lease has ended' })
        return
      }
      await delay(timers, RETIRE_TIMEOUT_MS)
      answers = await ask()
    }
    if (term.closed) return
    const earlierActiveUntilMs = this._earlierActiveUntilMs(election)
    if (earlierActiveUntilMs <= electedMs) term.noteNewFromRevision(epoch)
    term.notePredecessorActiveUntil(Math.max(electedMs + CONFIRMED_OUTAGE_MS, earlierActiveUntilMs))
    const connectedForMs = [this._session.connectedForMs, ...answers.map(answer => answer.isOk ? answer.value.forMs : 0)]
    const countReached = (forMs: number): number => connectedForMs.filter(ms => ms >= forMs).length
    const haveMostReached = (forMs: number): boolean => countReached(forMs) >= STORE_QUORUM_SHARE * connectedForMs.length
    // A lease that had ended before the election was the only authority left if no outage was confirmed up to then.
    const beforeElection = !replacedRunning && haveMostReached(CONFIRMED_OUTAGE_MS + timers.now() - electedMs)
    if (beforeElection) term.notePredecessorActiveUntil(Math.max(electedMs, earlierActiveUntilMs))
    const evidence = {
      evidence: replacedRunning ? 'its process refuses connections, and its failure domain is reached' : 'its entry had gone',
      beforeElection,
      connected: countReached(CONFIRMED_OUTAGE_MS),
      members: connectedForMs.length,
      earlierActiveMs: Math.max(0, Math.round(earlierActiveUntilMs - timers.now()))
    }
    if (haveMostReached(CONFIRMED_OUTAGE_MS)) term.notePredecessorStopped(Math.max(timers.now(), earlierActiveUntilMs), evidence)
    else log.event('info', 'term.predecessor.unconfirmed', { epoch, ...evidence })
  }

  /** True when no device cuts off the failure domain of `leader`: it is the own one, or a member or a worker in it answers. */
  private _reachesDomainOf ({ vm }: Leader, { reached, term }: { reached: string[], term: SchedulerTerm }): boolean {
    const domain = this._session.members.get(vm)?.failureDomain
    return domain !== undefined && (domain === this._options.failureDomain || reached.includes(domain) || term.reachesWorkerIn(domain))
  }

  /**
   * Asks the other members whether they can reach the store. While most members answer that they cannot, and none
   * answers that it can, no other scheduler can be elected.
   */
  private async _confirmOutage (): Promise<void> {
    const { timers, vm } = this._options
    const requestSentMs = timers.now()
    const others = this._session.presentMembers.filter(member => member !== vm)
    const answers = await Promise.all(others.map(async member => {
      const answer = await this._transport.call(member, 'reachesStore', {}, PROBE_PERIOD_MS)
      return { member, reaches: answer.isOk ? answer.value.reaches : undefined }
    }))
    const reaching = answers.filter(({ reaches }) => reaches === true).map(({ member }) => member)
    const notReaching = answers.filter(({ reaches }) => reaches === false).length
    if (reaching.length === 0 && 2 * (notReaching + 1) > others.length + 1) this._session.noteConfirmedOutage(requestSentMs)
    if (reaching.length > notReaching + 1) await this._releaseThroughPeer(reaching)
  }

  /**
   * Gives up leadership through a peer while this daemon cannot reach the store and most others can: it can record nothing,
   * and without this, work would wait for the end of its lease. No task is started from before the request on.
   */
  private async _releaseThroughPeer (reaching: string[]): Promise<void> {
    const term = this._term
    const epoch = this._termEpoch
    if (!term || this._releasing || this._session.disconnectedForMs < RELEASE_AFTER_MS) return
    this._releasing = true
    term.quiesce()
    let outcome: ReleaseOutcome = RELEASE_OUTCOMES.kept
    for (const peer of reaching.slice(0, RELEASE_PEERS)) {
      const answer = await this._transport.call(peer, 'releaseLeadership', { epoch }, RELEASE_TIMEOUT_MS)
      if (answer.isOk) outcome = answer.value.outcome
      else outcome = answer.error.effect === EFFECTS.none ? RELEASE_OUTCOMES.kept : RELEASE_OUTCOMES.unknown
      this._options.log.event('warn', 'leader.released', { epoch, peer, outcome, disconnectedMs: Math.round(this._session.disconnectedForMs) })
      if (outcome !== RELEASE_OUTCOMES.kept) break
    }
    this._releasing = false
    if (this._term !== term) return
    if (outcome === RELEASE_OUTCOMES.kept) {
      if (!this._handingOver) term.resume()
      return
    }
    this._session.noteReleased(epoch)
    this._endTerm('leadership was given up through a peer')
  }

  private _leaderChanged (leader: Leader | undefined): void {
    if (this._knownLeader && this._knownLeader.epoch !== leader?.epoch) this._previousLeader = this._knownLeader
    if (leader) {
      this._knownLeader = leader
      this._noteLeaderSeen(leader, this._options.timers.now())
    }
    if (leader && this._term && leader.epoch > this._termEpoch) this._endTerm(`${leader.vm} was elected with epoch ${leader.epoch}`)
  }

  private _noteLeaderSeen ({ epoch }: Leader, seenMs: number): void {
    this._leaderSeenMs.set(epoch, Math.min(seenMs, this._leaderSeenMs.get(epoch) ?? Number.POSITIVE_INFINITY))
    const [oldest] = this._leaderSeenMs.keys()
    if (this._leaderSeenMs.size > MAX_SEEN_LEADERS) this._leaderSeenMs.delete(oldest)
  }

  private _endTerm (reason: string): void {
    if (!this._term) return
    this._options.log.event('info', 'term.ended', { epoch: this._termEpoch, reason })
    this._term.close()
    this._term = undefined
  }

  /** Asks the eligibility service, directly or through the peer `daemon`, since the service answers one call of a daemon at a time. */
  private async _queryEligibility (
    daemon: string, step: string, workers: string[], timeoutMs: number
  ): Promise<EligibilityAnswer | undefined> {
    const { vm, eligibility } = this._options
    if (daemon === vm) return (await eligibility.query(step, workers, timeoutMs)).unwrapOr(undefined)
    const answer = await this._transport.call(daemon, 'askEligibility', { step, workers, timeoutMs }, timeoutMs + PEER_MARGIN_MS)
    this._noteQuery(daemon, answer.isErr ? answer.error : undefined)
    return answer.isOk ? answer.value.answer ?? undefined : undefined
  }

  /** Logs the first of the eligibility calls in a row that fail on the way to or from a peer, and the end of such a row. */
  private _noteQuery (peer: string, error: CallError | undefined): void {
    const { log } = this._options
    const failures = this._failedQueries.get(peer) ?? 0
    if (error) {
      this._failedQueries.set(peer, failures + 1)
      if (failures === 0) log.event('warn', 'eligibility.peer.failed', { peer, detail: error.message })
    } else if (this._failedQueries.delete(peer)) {
      log.event('info', 'eligibility.peer.regained', { peer, failures })
    }
  }

  private _handlers (): PeerHandlers {
    const { eligibility, log, timers } = this._options
    return {
      ...this._configurationPeers?.handlers,
      workflowStored: async ({ workflow, revision }) => {
        this._term?.addWorkflow(workflow, revision)
        return { backlog: workflow.team === undefined ? undefined : this._term?.backlogOf(workflow.team) }
      },
      workflowCancelled: async ({ id }) => {
        this._term?.cancel(id)
        return {}
      },
      workflowState: async ({ id }) => this._term?.stateOf(id) ?? { state: null },
      retireScheduler: async ({ epoch }) => {
        if (this._term && this._termEpoch < epoch) this._endTerm(`another daemon was elected with epoch ${epoch}`)
        this._session.stepDown(epoch)
        return { retired: this._term === undefined }
      },
      releaseLeadership: async ({ epoch }) => ({ outcome: await this._session.releaseForPeer(epoch) }),
      leaseEnds: async () => ({ leases: this._session.leaseEnds.list() }),
      reachesStore: async ({ leaderEpoch }) => ({
        reaches: this._session.connected,
        forMs: this._session.connectedForMs,
        leaderKnownForMs: timers.now() - (this._leaderSeenMs.get(leaderEpoch ?? 0) ?? timers.now())
      }),
      queueDepths: async () => ({ waiting: this._term?.queueDepths() ?? null }),
      storeWorkflow: async ({ workflow }) => ({ outcome: await this.service.storeDirectly(workflow) }),
      storeCancellation: async ({ id }) => ({ outcome: await this.service.cancelForPeer(id) }),
      askEligibility: async ({ step, workers, timeoutMs }) => {
        const answer = await eligibility.query(step, workers, timeoutMs)
        if (answer.isErr) log.event('warn', 'eligibility.call.failed', { task: step, detail: answer.error.message })
        return { answer: answer.isOk ? answer.value : null }
      }
    }
  }
}
