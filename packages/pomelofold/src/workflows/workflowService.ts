/**
 * The calls of a daemon's callers: submit a workflow, read its state, cancel it.
 *
 * @module
 */

import type { CellSession } from './cellSession.js'
import type { PeerReachability } from './peerReachability.js'
import { retryAfterS } from './retryAfter.js'
import type { SchedulerTerm } from './schedulerTerm.js'
import { StoreProxies } from './storeProxies.js'
import { SubmissionGate } from './submissionGate.js'
import { isFinal } from './workflowRuntime.js'
import { STORE_OUTCOMES, type StoreOutcome, type WorkflowStore } from './workflowStore.js'
import { JOB_STATES } from '../protocol/jobs.js'
import type { TeamBacklog } from '../protocol/teams.js'
import type { Workflow, WorkflowState, WorkflowStatus } from '../protocol/workflows.js'
import type { PeerTransport } from '../seams/peerTransport.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers } from '../seams/timers.js'
import type { CellConfig } from '../seams/workflowUpstreams.js'
import { ADMISSIONS, type Admission } from '../teams/admission.js'
import { EFFECTS, isConnectionRefused, type CallError } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'

/** Timeout of a call to the scheduler, in milliseconds. */
const SCHEDULER_TIMEOUT_MS = 400
/** Timeout of a call to a peer that writes for this daemon, in milliseconds: the time of the peer's own tries and the network. */
const PROXY_TIMEOUT_MS = 700
/** Time after which no further peer is asked to write, in milliseconds: allows for one peer that does not answer and one that does. */
const PROXIES_BUDGET_MS = 1_000
/** Most final states in the cache. */
const MAX_CACHED_FINAL_STATES = 20_000
/** Age up to which the last known queue depths are used, in milliseconds. */
const QUEUE_DEPTHS_MAX_AGE_MS = 1_500

/** Options of a {@link WorkflowService}. */
export interface WorkflowServiceOptions {
  vm: string
  failureDomain: string
  random: RandomSource
  reachability: PeerReachability
  store: WorkflowStore
  session: CellSession
  transport: PeerTransport
  timers: Timers
  log: EventLog
  /** The active configuration; undefined while it is not known. */
  config: () => CellConfig | undefined
  /** The term of this daemon; undefined while another daemon schedules. */
  ownTerm: () => SchedulerTerm | undefined
}

/** State of a workflow, or the reason why there is none. */
export type StateAnswer = { state: WorkflowState, reason?: string } | 'unknownWorkflow' | 'unavailable'

/** Carries out the calls of callers, through peers when this daemon cannot reach the store. */
export class WorkflowService {
  private readonly _options: WorkflowServiceOptions
  /** Final states by workflow id, oldest first. */
  private readonly _finalStates = new Map<string, WorkflowStatus>()
  private readonly _proxies: StoreProxies
  private readonly _gate: SubmissionGate
  private _lastQueueDepths: { waiting: Record<string, number>, readMs: number } | undefined

  constructor (options: WorkflowServiceOptions) {
    this._options = options
    const { timers, failureDomain, random, log, config, ownTerm } = options
    this._proxies = new StoreProxies({ timers, failureDomain })
    this._gate = new SubmissionGate({ timers, random, log, config, ownBacklog: team => ownTerm()?.backlogOf(team) })
  }

  /** Seconds after which a refused caller should retry. `callerWaitMs` is the caller's time limit for all its tries. */
  retryAfterS (callerWaitMs: number | undefined): number {
    const { session, random } = this._options
    return retryAfterS({ outageMs: session.disconnectedForMs, callerWaitMs, random })
  }

  /**
   * Decides whether a submission is accepted. One that is refused must not be submitted. What an earlier call with the same id has
   * stored is not refused, since it runs.
   */
  async admit (workflow: Workflow): Promise<Admission> {
    const admission = this._gate.decide(workflow)
    if (admission.outcome === ADMISSIONS.accepted || await this.state(workflow.id) !== 'unknownWorkflow') return { outcome: ADMISSIONS.accepted }
    this._gate.logRefusal(workflow, admission)
    return admission
  }

  /** Stores a workflow, through a peer when this daemon cannot store it. */
  async submit (workflow: Workflow): Promise<StoreOutcome> {
    const { log, timers } = this._options
    const startedMs = timers.now()
    const directOutcome = await this.storeDirectly(workflow)
    const outcome = directOutcome === STORE_OUTCOMES.stored ? directOutcome : await this._storeThroughPeer(workflow, directOutcome)
    log.event(outcome === STORE_OUTCOMES.stored ? 'info' : 'warn', 'workflow.submitted', {
      requestId: workflow.id,
      jobId: workflow.id,
      queue: workflow.queue,
      outcome,
      throughPeer: directOutcome !== STORE_OUTCOMES.stored,
      tookMs: Math.round(timers.now() - startedMs)
    })
    return outcome
  }

  /** Stores a workflow without a peer, and notifies the scheduler. Does not try while the connection to the store is lost. */
  async storeDirectly (workflow: Workflow): Promise<StoreOutcome> {
    if (!this._options.session.connected) return STORE_OUTCOMES.notStored
    const { outcome, revision } = await this._options.store.submit(workflow)
    if (outcome === STORE_OUTCOMES.stored && revision !== undefined) this._notifyScheduler('workflowStored', { workflow, revision })
    return outcome
  }

  /** State of a workflow, from the scheduler or else from the store. Only the store decides that a workflow does not exist. */
  async state (id: string): Promise<StateAnswer> {
    const cached = this._finalStates.get(id)
    if (cached) return { state: cached.state, reason: cached.reason }
    const answer = await this._stateFromScheduler(id) ?? await this._options.store.readState(id)
    if (answer === undefined) return 'unavailable'
    if (answer === null) return 'unknownWorkflow'
    this._cacheFinalState(id, answer)
    return { state: answer.state, reason: answer.reason }
  }

  /** Cancels a workflow and logs the outcome. */
  async cancel (id: string): Promise<'cancelled' | 'unknownWorkflow' | 'unavailable'> {
    const { log } = this._options
    const outcome = await this._storeCancellation(id)
    log.event('info', 'workflow.cancel', { requestId: id, jobId: id, outcome })
    return outcome
  }

  /** Number of the queue's workflows that have not started; undefined without a recent answer of the scheduler. */
  async waiting (queue: string): Promise<number | undefined> {
    const { timers, session, transport, ownTerm } = this._options
    const ownQueueDepths = ownTerm()?.queueDepths()
    if (ownQueueDepths) return ownQueueDepths[queue] ?? 0
    const { leader } = session
    const requestSentMs = timers.now()
    const answer = leader && await transport.call(leader.vm, 'queueDepths', {}, SCHEDULER_TIMEOUT_MS)
    if (answer?.isOk && answer.value.waiting) this._lastQueueDepths = { waiting: answer.value.waiting, readMs: requestSentMs }
    if (!this._lastQueueDepths || timers.now() - this._lastQueueDepths.readMs > QUEUE_DEPTHS_MAX_AGE_MS) return
    return this._lastQueueDepths.waiting[queue] ?? 0
  }

  /** Stores a cancellation, through a peer when this daemon cannot store it. */
  private async _storeCancellation (id: string): Promise<'cancelled' | 'unknownWorkflow' | 'unavailable'> {
    const state = await this.state(id)
    if (state === 'unknownWorkflow') return 'unknownWorkflow'
    if (state !== 'unavailable' && isFinal(state.state)) return state.state === JOB_STATES.cancelled ? 'cancelled' : 'unknownWorkflow'
    if (state !== 'unavailable' && this._options.session.connected) {
      const { outcome } = await this._options.store.cancel(id)
      if (outcome === STORE_OUTCOMES.stored) {
        await this._notifyScheduler('workflowCancelled', { id })
        return 'cancelled'
      }
    }
    for (const vm of await this._chooseProxies()) {
      const answer = await this._options.transport.call(vm, 'storeCancellation', { id }, PROXY_TIMEOUT_MS)
      if (answer.isOk && answer.value.outcome === 'stored') return 'cancelled'
      if (answer.isOk && answer.value.outcome === 'unknownWorkflow') return 'unknownWorkflow'
      this._proxies.noteFailed(vm)
    }
    return 'unavailable'
  }

  /** Cancels a workflow for a peer that cannot reach the store. */
  async cancelForPeer (id: string): Promise<'stored' | 'unknownWorkflow' | 'failed'> {
    const read = await this._options.store.readState(id)
    if (read === undefined) return 'failed'
    if (read === null) return 'unknownWorkflow'
    if (isFinal(read.state)) return read.state === JOB_STATES.cancelled ? 'stored' : 'unknownWorkflow'
    const { outcome } = await this._options.store.cancel(id)
    if (outcome !== STORE_OUTCOMES.stored) return 'failed'
    await this._notifyScheduler('workflowCancelled', { id })
    return 'stored'
  }

  /** Asks peers to store a workflow. This is safe after a try of this daemon, since a workflow is stored only once. */
  private async _storeThroughPeer (workflow: Workflow, directOutcome: StoreOutcome): Promise<StoreOutcome> {
    const { transport, log, timers } = this._options
    const endMs = timers.now() + PROXIES_BUDGET_MS
    let outcome = directOutcome
    for (const vm of await this._chooseProxies()) {
      if (timers.now() >= endMs) break
      // A concurrent submission may have found since then that this peer fails.
      if (this._proxies.isPaused(vm)) continue
      const answer = await transport.call(vm, 'storeWorkflow', { workflow }, PROXY_TIMEOUT_MS)
      const proxyOutcome = answer.isOk ? answer.value.outcome : answer.error.message
      log.event('info', 'workflow.proxied', { jobId: workflow.id, peer: vm, outcome: proxyOutcome })
      if (answer.isOk && answer.value.outcome === STORE_OUTCOMES.stored) {
        this._proxies.noteSucceeded(vm)
        return STORE_OUTCOMES.stored
      }
      this._proxies.noteFailed(vm)
      const mayBeStored = answer.isOk ? answer.value.outcome === STORE_OUTCOMES.unknown : answer.error.effect !== EFFECTS.none
      if (mayBeStored) outcome = STORE_OUTCOMES.unknown
    }
    return outcome
  }

  /**
   * Peers that report that they can reach the store, best first. No other peer is asked: its answer may be lost,
   * and it would then be unknown whether the write took effect.
   */
  private async _chooseProxies (): Promise<string[]> {
    const { session, vm, reachability } = this._options
    const reaching = new Set(await reachability.findPeersWithStore())
    const others = session.presentMembers.filter(name => name !== vm && reaching.has(name))
    const candidates = others.map(name => ({ vm: name, failureDomain: session.members.get(name)!.failureDomain }))
    return this._proxies.choose(candidates, session.leader?.vm)
  }

  private async _stateFromScheduler (id: string): Promise<WorkflowStatus | undefined> {
    const { session, transport, ownTerm } = this._options
    const ownState = ownTerm()?.stateOf(id)
    if (ownState) return ownState
    const { leader } = session
    if (!leader || leader.vm === this._options.vm) return
    const answer = await transport.call(leader.vm, 'workflowState', { id }, SCHEDULER_TIMEOUT_MS)
    if (answer.isErr) this._noteSchedulerFailure(leader.epoch, answer.error)
    if (answer.isErr || answer.value.state === null || answer.value.queue === undefined) return
    const { state, queue, reason } = answer.value
    return { state, queue, reason }
  }

  /** Passes a stored workflow or cancellation to the scheduler. */
  private async _notifyScheduler (...[method, params]: [
    'workflowStored', { workflow: Workflow, revision: number }
  ] | ['workflowCancelled', { id: string }]): Promise<void> {
    const { session, transport, ownTerm, log, timers } = this._options
    const term = ownTerm()
    if (term) {
      if (method === 'workflowStored') term.addWorkflow(params.workflow, params.revision)
      else term.cancel(params.id)
      return
    }
    const { leader } = session
    // Without a notification, the scheduler gets the change from its watch of the store.
    if (!leader || leader.vm === this._options.vm) return
    const sentMs = timers.now()
    const notified = await transport.call(leader.vm, method, params, SCHEDULER_TIMEOUT_MS)
    if (method === 'workflowStored' && notified.isOk) this._noteBacklog(params.workflow, notified.value, sentMs)
    if (notified.isErr) this._noteSchedulerFailure(leader.epoch, notified.error)
    if (notified.isErr) log.event('warn', 'scheduler.not.told', { step: method, peer: leader.vm, detail: notified.error.message })
  }

  private _noteBacklog ({ team }: Workflow, { backlog }: { backlog?: TeamBacklog }, sentMs: number): void {
    if (team !== undefined && backlog) this._gate.note(team, backlog, sentMs)
  }

  /** Starts an election when the scheduler refused the connection: its process has ended, and its lease need not be awaited. */
  private _noteSchedulerFailure (epoch: number, err: CallError): void {
    if (isConnectionRefused(err)) this._options.session.noteLeaderRefusedConnection(epoch)
  }

  private _cacheFinalState (id: string, answer: WorkflowStatus): void {
    if (!isFinal(answer.state)) return
    this._finalStates.set(id, answer)
    if (this._finalStates.size > MAX_CACHED_FINAL_STATES) this._finalStates.delete(this._finalStates.keys().next().value!)
  }
}
