/**
 * Decides whether a request waits in the queue of this process or is forwarded to that of a peer.
 *
 * @module
 */

import type { PeerHandler, PeerTransport } from '../seams/peerTransport.js'
import type { RandomSource } from '../seams/randomSource.js'
import type { Timers } from '../seams/timers.js'
import type { PeerMethods } from '../protocol/peerMessages.js'
import { OUTCOMES, type ServiceAnswer, type ServiceLoad, type ServiceRequest } from '../protocol/requests.js'
import { EFFECTS, type CallError } from '../utils/errors.js'
import { SILENT_LOG, type EventLog } from '../utils/eventLog.js'
import { notRunAnswer, unknownOutcomeAnswer } from './failureAnswers.js'
import { PeerLoads } from './peerLoads.js'
import type { RequestScheduler } from './requestScheduler.js'
import { RetryBudget } from './retryBudget.js'

/** Time beyond the deadline for which the answer to a forwarded request is still awaited. */
const FORWARD_GRACE_MS = 50
/** Number of usable peers that are compared for each request, in the same and in other failure domains each. */
const PEERS_COMPARED = 2
/** A request is forwarded only if that saves more than this many one-way delays of waiting time. */
const FORWARD_MARGIN_DELAYS = 1
/** Retry delay for callers whose request could not be forwarded or had no time left. */
const UNREACHED_RETRY_AFTER_MS = 1_000

/** An entry VM to which requests may be forwarded. */
export interface RouterPeer {
  vm: string
  failureDomain: string
}

/** Options of a {@link RequestRouter}. */
export interface RequestRouterOptions {
  vm: string
  failureDomain: string
  scheduler: RequestScheduler
  transport: Pick<PeerTransport, 'call'>
  timers: Timers
  random: RandomSource
  log?: EventLog
}

/** Result of one attempt to forward a request. */
interface ForwardAttempt {
  answer: ServiceAnswer
  /** False when no byte of the request reached the peer or the peer holds no instance of the service, so that another peer may be tried. */
  handled: boolean
}

/** Reply of a peer to `forwardRequest`. */
type ForwardResult = PeerMethods['forwardRequest']['result']

/** Places each request in the queue that is expected to start it soonest. A forwarded request is never forwarded again. */
export class RequestRouter {
  private readonly _options: Required<RequestRouterOptions>
  private readonly _scheduler: RequestScheduler
  private readonly _timers: Timers
  private readonly _retryBudget = new RetryBudget()
  private readonly _peers = new Map<string, PeerLoads>()
  /** Peers in the same failure domain. */
  private _localPeers: PeerLoads[] = []
  /** Peers in other failure domains. */
  private _remotePeers: PeerLoads[] = []

  constructor ({ log = SILENT_LOG, ...options }: RequestRouterOptions) {
    this._options = { ...options, log }
    this._scheduler = options.scheduler
    this._timers = options.timers
  }

  /** Handler of the peer method `forwardRequest`: runs the request here without forwarding it again. */
  readonly forwardRequest: PeerHandler<'forwardRequest'> = async ({ request }) => {
    const receivedMs = this._timers.now()
    const answer = await this._scheduler.submit(request)
    return { answer, load: this._scheduler.load(request.service), tookMs: this._timers.now() - receivedMs }
  }

  /** Sets the entry VMs that requests may be forwarded to. This VM is ignored if it is listed. */
  setPeers (peers: RouterPeer[]): void {
    const listed = new Set(peers.map(peer => peer.vm))
    for (const vm of this._peers.keys()) if (!listed.has(vm)) this._peers.delete(vm)
    for (const peer of peers) {
      if (peer.vm !== this._options.vm && !this._peers.has(peer.vm)) this._peers.set(peer.vm, new PeerLoads(peer))
    }
    const others = [...this._peers.values()]
    this._localPeers = others.filter(peer => peer.failureDomain === this._options.failureDomain)
    this._remotePeers = others.filter(peer => peer.failureDomain !== this._options.failureDomain)
  }

  /** To be called when a peer has reported its loads. */
  onPeerLoads (vm: string, loads: Record<string, ServiceLoad>): void {
    this._peers.get(vm)?.setLoads(loads, this._timers.now())
  }

  /** Runs a request here or at a peer. The promise never rejects. */
  async submit (req: ServiceRequest): Promise<ServiceAnswer> {
    const arrivedMs = this._timers.now()
    this._retryBudget.earn()
    for (let peer = this._betterPeer(req); peer; peer = this._betterPeer(req)) {
      const { answer, handled } = await this._forward(req, peer, arrivedMs)
      if (handled) return await this._retryHereIfAllowed(req, answer, arrivedMs)
      if (!this._retryBudget.spend()) return answer
    }
    return await this._runHere(req, arrivedMs)
  }

  /** Runs a request in the queue of this process, and tries one peer if the answer is `not-run`. */
  private async _runHere (req: ServiceRequest, arrivedMs: number): Promise<ServiceAnswer> {
    const remaining = this._withRemainingDeadline(req, arrivedMs)
    if (!remaining) return this._deadlinePassed(req)
    const spentMs = this._timers.now() - arrivedMs
    const answer = withAddedWait(await this._scheduler.submit(remaining), spentMs)
    const peer = answer.outcome === OUTCOMES.notRun ? this._peerBeforeDeadline(req, arrivedMs) : undefined
    if (!peer || !this._retryBudget.spend()) return answer
    return (await this._forward(req, peer, arrivedMs)).answer
  }

  /** Returns the answer of a peer, or runs the request here if the peer did not complete it and it may be repeated. */
  private async _retryHereIfAllowed (req: ServiceRequest, answer: ServiceAnswer, arrivedMs: number): Promise<ServiceAnswer> {
    if (answer.outcome === OUTCOMES.ran || !this._mayRepeat(req, answer)) return answer
    const remaining = this._withRemainingDeadline(req, arrivedMs)
    if (!remaining || this._scheduler.expectedWaitMs(remaining) > remaining.deadlineMs || !this._retryBudget.spend()) return answer
    const spentMs = this._timers.now() - arrivedMs
    const ownAnswer = await this._scheduler.submit(remaining)
    const mayHaveRun = answer.outcome === OUTCOMES.unknown && ownAnswer.outcome === OUTCOMES.notRun
    return mayHaveRun ? answer : withAddedWait(ownAnswer, spentMs)
  }

  /** The peer that is expected to start the request sooner than this process by more than the margin, if there is one. */
  private _betterPeer (req: ServiceRequest): PeerLoads | undefined {
    const ownWaitMs = this._scheduler.expectedWaitMs(req)
    if (ownWaitMs === 0) return undefined
    const localPeer = this._bestPeer(this._localPeers, req)
    const localWaitMs = localPeer ? this._waitAt(localPeer, req) : Infinity
    const remotePeer = this._bestPeer(this._remotePeers, req)
    const remoteWaitMs = remotePeer ? this._waitAt(remotePeer, req) : Infinity
    const peer = remoteWaitMs + (remotePeer?.delayMs ?? 0) < localWaitMs ? remotePeer : localPeer
    if (!peer) return undefined
    const marginMs = peer.delayMs * FORWARD_MARGIN_DELAYS
    return Math.min(localWaitMs, remoteWaitMs) + marginMs < ownWaitMs ? peer : undefined
  }

  /** A peer expected to complete the request within the remaining deadline. Peers in the same failure domain come first. */
  private _peerBeforeDeadline (req: ServiceRequest, arrivedMs: number): PeerLoads | undefined {
    const remainingMs = req.deadlineMs - (this._timers.now() - arrivedMs)
    const expectedMs = this._scheduler.serviceSpec(req.service)?.expectedMs ?? 0
    for (const peers of [this._localPeers, this._remotePeers]) {
      const peer = this._bestPeer(peers, req)
      if (peer && this._waitAt(peer, req) + expectedMs < remainingMs) return peer
    }
    return undefined
  }

  /** The peer with the shorter expected wait among a few usable ones from a random offset, so that not all requests go to the same peer. */
  private _bestPeer (peers: PeerLoads[], req: ServiceRequest): PeerLoads | undefined {
    let best: PeerLoads | undefined
    let bestWaitMs = Infinity
    const start = peers.length > 0 ? this._options.random.int(peers.length) : 0
    for (let i = 0, compared = 0; i < peers.length && compared < PEERS_COMPARED; i++) {
      const peer = peers[(start + i) % peers.length]
      const waitMs = this._waitAt(peer, req)
      if (waitMs === Infinity) continue
      compared++
      if (waitMs >= bestWaitMs) continue
      best = peer
      bestWaitMs = waitMs
    }
    return best
  }

  private _waitAt (peer: PeerLoads, req: ServiceRequest): number {
    return peer.expectedWaitMs(req.service, req.class, this._timers.now())
  }

  /** Whether the request may be run again after `answer`: when it did not run, or when running it twice is permitted. */
  private _mayRepeat (req: ServiceRequest, answer: ServiceAnswer): boolean {
    if (answer.outcome === OUTCOMES.notRun) return true
    return !req.atMostOnce && (this._scheduler.serviceSpec(req.service)?.idempotent ?? false)
  }

  /** Forwards a request once. */
  private async _forward (req: ServiceRequest, peer: PeerLoads, arrivedMs: number): Promise<ForwardAttempt> {
    const remaining = this._withRemainingDeadline(req, arrivedMs, peer.delayMs)
    if (!remaining) return { handled: true, answer: this._deadlinePassed(req) }
    const sentMs = this._timers.now()
    const timeoutMs = remaining.deadlineMs + 2 * peer.delayMs + FORWARD_GRACE_MS
    peer.countForward(req.service)
    const result = await this._options.transport.call(peer.vm, 'forwardRequest', { request: remaining }, timeoutMs)
    if (result.isErr) return { handled: result.error.effect !== EFFECTS.none, answer: this._forwardFailed(req, peer, result.error) }
    this._updatePeer(req, peer, result.value, sentMs)
    const { answer, load } = result.value
    const noInstance = answer.outcome === OUTCOMES.notRun && load === undefined
    return { handled: !noInstance, answer: withAddedWait(answer, sentMs - arrivedMs + peer.delayMs) }
  }

  /** Updates the load and the delay of a peer from its reply. */
  private _updatePeer (req: ServiceRequest, peer: PeerLoads, { load, tookMs }: ForwardResult, sentMs: number): void {
    const nowMs = this._timers.now()
    if (load) peer.setLoad(req.service, load, nowMs)
    else peer.dropLoad(req.service)
    if (tookMs !== undefined) peer.recordRoundTrip(nowMs - sentMs, tookMs)
  }

  /** Answers a request whose forward failed, and stops forwards to the peer for a while. */
  private _forwardFailed (req: ServiceRequest, peer: PeerLoads, err: CallError): ServiceAnswer {
    const { requestId } = req
    peer.markUnreachable(this._timers.now())
    this._options.log.event('warn', 'request.forwardFailed', { requestId, step: err.step, peer: peer.vm, effect: err.effect })
    const details = { step: 'request.forward', peer: peer.vm, detail: err.message, requestId }
    if (err.effect !== EFFECTS.none) return unknownOutcomeAnswer(details)
    return notRunAnswer({ ...details, retryAfterMs: UNREACHED_RETRY_AFTER_MS }, 'unavailable')
  }

  private _deadlinePassed ({ service, requestId }: ServiceRequest): ServiceAnswer {
    return notRunAnswer({
      step: 'request.route',
      peer: service,
      detail: 'the deadline passed before the request could be sent',
      requestId,
      retryAfterMs: UNREACHED_RETRY_AFTER_MS
    })
  }

  /** Copy of the request with its remaining deadline, less the delay to the peer and back. Undefined when no time remains. */
  private _withRemainingDeadline (req: ServiceRequest, arrivedMs: number, delayMs = 0): ServiceRequest | undefined {
    const deadlineMs = req.deadlineMs - (this._timers.now() - arrivedMs) - 2 * delayMs
    return deadlineMs > 0 ? { ...req, deadlineMs } : undefined
  }
}

/** Copy of the answer whose waiting time includes `spentMs` before the request reached the queue. */
function withAddedWait (answer: ServiceAnswer, spentMs: number): ServiceAnswer {
  return answer.waitedMs === undefined ? answer : { ...answer, waitedMs: answer.waitedMs + spentMs }
}
