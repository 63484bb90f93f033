/**
 * A daemon that takes in workflows and, when elected, schedules them for the whole cell.
 *
 * @module
 */

import { CellSession, type Leader } from '../workflows/cellSession.js'
import { PeerReach } from '../workflows/peerReach.js'
import { SchedulerTerm, type SchedulerTimeLimits, type TermFigures } from '../workflows/schedulerTerm.js'
import { EXTENSION_AFTER_LOSS_MS } from '../workflows/workerFleet.js'
import { WorkflowService } from '../workflows/workflowService.js'
import { WorkflowStore } from '../workflows/workflowStore.js'
import type { PeerHandlers, PeerTransport } from '../seams/peerTransport.js'
import type { PlatformClient } from '../seams/platformClient.js'
import type { RandomSource } from '../seams/randomSource.js'
import { delay, type Timers } from '../seams/timers.js'
import type { CellConfig, EligibilityAnswer, EligibilityClient, WorkerClient, WorkerDirectory } from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'

/** Time of a call to the eligibility service that is spent on the way between daemons, in milliseconds. */
const PEER_MARGIN_MS = 100
/** Period at which a daemon without the store asks for the scheduler, in milliseconds: several within the time of two readiness checks. */
const PROBE_PERIOD_MS = 300
/** Time after the loss of the store in which the first answers of peers come, in milliseconds: a probe period and a call. */
const REACH_GRACE_MS = 500
/** Longest wait for an earlier scheduler's answer, in milliseconds. */
const RETIRE_TIMEOUT_MS = 250
/** Longest wait for records when handing over, in milliseconds: a third of the shortest time in which a daemon must stop. */
const HAND_OVER_MS = 1_500

/** Options of a {@link WorkflowDaemon}. */
export interface WorkflowDaemonOptions {
  vm: string
  failureDomain: string
  incarnation: string
  /** Address at which peers reach this daemon. */
  peerAddress: string
  /** Processor share of the VM; larger VMs schedule first. */
  size: number
  platform: PlatformClient
  directory: WorkerDirectory
  workers: WorkerClient
  eligibility: EligibilityClient
  /** Makes the transport, which looks peers up among `members`. */
  transport: (members: ReadonlyMap<string, { failureDomain: string, address: string }>) => PeerTransport
  timers: Timers
  random: RandomSource
  log: EventLog
  bounds: SchedulerTimeLimits
  config: () => CellConfig | undefined
}

/** Figures of a daemon for its metrics. */
export interface WorkflowDaemonFigures {
  leading: boolean
  epoch: number
  connected: boolean
  viewAgeMs: number
  members: number
  term?: TermFigures
}

/** Wires the parts into a daemon. */
export class WorkflowDaemon {
  readonly service: WorkflowService
  private readonly _options: WorkflowDaemonOptions
  private readonly _session: CellSession
  private readonly _transport: PeerTransport
  private readonly _reach: PeerReach
  private _term: SchedulerTerm | undefined
  private _termEpoch = 0
  private _authorityLostMs: number | undefined
  /** The newest leader that was known, and the one before it. */
  private _known: Leader | undefined
  private _previous: Leader | undefined

  constructor (options: WorkflowDaemonOptions) {
    this._options = options
    const { vm, failureDomain, incarnation, peerAddress, size, platform, timers, random, log } = options
    this._session = new CellSession({
      vm,
      self: { incarnation, failureDomain, address: peerAddress, size },
      platform,
      timers,
      log,
      onElected: leader => this._begin(leader),
      onLeaderChange: leader => this._leaderChanged(leader)
    })
    this._transport = options.transport(this._session.members)
    this._reach = new PeerReach({ vm, failureDomain, session: this._session, transport: this._transport, timers, random })
    const store = new WorkflowStore({ platform, timers, log })
    this.service = new WorkflowService({
      vm,
      failureDomain,
      random,
      reach: this._reach,
      store,
      session: this._session,
      transport: this._transport,
      timers,
      log,
      ownTerm: () => this._term
    })
  }

  async start (): Promise<void> {
    await this._transport.listen(this._handlers())
    this._session.start()
    this._options.timers.every(PROBE_PERIOD_MS, () => {
      if (this._session.connected) return
      this._reach.probe()
      if (this._term) this._confirmOutage()
    })
  }

  /** True while callers are served as well here as elsewhere: the configuration is known, and the VM is not cut off. */
  get ready (): boolean {
    const { connected, disconnectedForMs } = this._session
    return this._options.config() !== undefined && (connected || disconnectedForMs < REACH_GRACE_MS || this._reach.reached)
  }

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

  /** Hands the scheduling over. Callers are still served. */
  async handOver (): Promise<void> {
    const { timers } = this._options
    const term = this._term
    if (term) {
      term.quiesce()
      await new Promise<void>(resolve => {
        const timer = timers.after(HAND_OVER_MS, resolve)
        term.flush().then(() => { timer.cancel(); resolve() })
      })
    }
    await this._session.leave()
    this._endTerm('handed over')
  }

  async close (): Promise<void> {
    this._endTerm('the daemon ends')
    await this._session.close()
    await this._transport.close()
  }

  private _begin (leader: Leader): void {
    this._endTerm('a new term begins')
    const { platform, directory, workers, timers, random, log, bounds, config, vm } = this._options
    this._authorityLostMs = undefined
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
      timeLimits: bounds,
      config,
      leadershipRemainingMs: () => this._session.leadsForMs(leader.epoch),
      mayExtend: () => this._mayExtend(leader.epoch),
      askEligibility: (lane, step, names, timeoutMs) => this._ask(lane, step, names, timeoutMs),
      eligibilityDaemons: () => [vm, ...this._session.presentMembers.filter(member => member !== vm)],
      onTakeover: reason => { if (this._termEpoch === leader.epoch) this._endTerm(reason) }
    })
    this._term.start()
    this._retirePredecessor(leader, this._term)
  }

  /** Asks the earlier scheduler to stop, until it has or its process is known to have ended. */
  private async _retirePredecessor ({ epoch }: Leader, term: SchedulerTerm): Promise<void> {
    const { timers, vm } = this._options
    const predecessor = this._previous
    this._previous = undefined
    if (!predecessor) return
    const ended = (): boolean => predecessor.vm === vm || this._session.members.get(predecessor.vm)?.incarnation !== predecessor.incarnation
    while (!term.closed) {
      if (ended()) return term.predecessorEnded()
      const answer = await this._transport.call(predecessor.vm, 'retireScheduler', { epoch }, RETIRE_TIMEOUT_MS)
      if (answer.isOk && answer.value.retired) return term.predecessorEnded()
      await delay(timers, RETIRE_TIMEOUT_MS)
    }
  }

  /** Asks the other members whether they reach the store. While most answer that they do not, nobody can replace this scheduler. */
  private async _confirmOutage (): Promise<void> {
    const { timers, vm } = this._options
    const askedMs = timers.now()
    const others = this._session.presentMembers.filter(member => member !== vm)
    const answers = await Promise.all(others.map(member => this._transport.call(member, 'reachesStore', {}, PROBE_PERIOD_MS)))
    const reaching = answers.filter(answer => answer.isOk && answer.value.reaches).length
    const without = answers.filter(answer => answer.isOk && !answer.value.reaches).length
    if (reaching === 0 && 2 * (without + 1) > others.length + 1) this._session.outageConfirmed(askedMs)
  }

  /** A scheduler that has lost its authority extends leases for a bounded time more, so that a short outage of the store ends no task. */
  private _mayExtend (epoch: number): boolean {
    const nowMs = this._options.timers.now()
    if (this._session.leadsForMs(epoch) > 0) {
      this._authorityLostMs = undefined
      return true
    }
    this._authorityLostMs ??= nowMs
    return nowMs - this._authorityLostMs < EXTENSION_AFTER_LOSS_MS
  }

  private _leaderChanged (leader: Leader | undefined): void {
    if (this._known && this._known.epoch !== leader?.epoch) this._previous = this._known
    if (leader) this._known = leader
    if (leader && this._term && leader.epoch > this._termEpoch) this._endTerm(`${leader.vm} leads with epoch ${leader.epoch}`)
  }

  private _endTerm (reason: string): void {
    if (!this._term) return
    this._options.log.event('info', 'term.ended', { epoch: this._termEpoch, reason })
    this._term.close()
    this._term = undefined
  }

  private async _ask (lane: string, step: string, workers: string[], timeoutMs: number): Promise<EligibilityAnswer | undefined> {
    const { vm, eligibility } = this._options
    if (lane === vm) return (await eligibility.ask(step, workers, timeoutMs)).unwrapOr(undefined)
    const answer = await this._transport.call(lane, 'askEligibility', { step, workers, timeoutMs }, timeoutMs + PEER_MARGIN_MS)
    return answer.isOk ? answer.value.answer ?? undefined : undefined
  }

  private _handlers (): PeerHandlers {
    const { eligibility, log } = this._options
    return {
      workflowStored: async ({ workflow, revision }) => {
        this._term?.addWorkflow(workflow, revision)
        return {}
      },
      workflowCancelled: async ({ id }) => {
        this._term?.cancel(id)
        return {}
      },
      workflowState: async ({ id }) => this._term?.stateOf(id) ?? { state: null },
      retireScheduler: async ({ epoch }) => {
        if (this._term && this._termEpoch < epoch) this._endTerm(`told of epoch ${epoch}`)
        this._session.retire(epoch)
        return { retired: this._term === undefined }
      },
      reachesStore: async () => ({ reaches: this._session.connected }),
      queueDepths: async () => ({ waiting: this._term?.queueDepths() ?? null }),
      storeWorkflow: async ({ workflow }) => ({ outcome: await this.service.storeHere(workflow) }),
      storeCancellation: async ({ id }) => ({ outcome: await this.service.cancelForPeer(id) }),
      askEligibility: async ({ step, workers, timeoutMs }) => {
        const answer = await eligibility.ask(step, workers, timeoutMs)
        if (answer.isErr) log.event('warn', 'eligibility.call.failed', { task: step, detail: answer.error.message })
        return { answer: answer.isOk ? answer.value : null }
      }
    }
  }
}
