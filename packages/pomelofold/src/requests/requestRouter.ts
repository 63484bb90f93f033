/**
 * Decides where a request waits: in the own queue or in that of a peer.
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
import { notRun, unknownOutcome } from './answers.js'
import { PeerLoads } from './peerLoads.js'
import type { RequestScheduler } from './requestScheduler.js'
import { RetryBudget } from './retryBudget.js'

/** Time beyond the deadline until a forwarded request counts as lost, in milliseconds. */
const FORWARD_GRACE_MS = 50
/** Peers of one failure domain that are compared for each request. */
const CHOICES = 2
/** How much longer than at a peer a request must wait here to be forwarded, in one-way delays. */
const FORWARD_MARGIN_DELAYS = 1
/** Pause asked of callers whose request reached no peer, in milliseconds. */
const UNREACHED_RETRY_AFTER_MS = 1_000

/** An entry VM that requests may be forwarded to. */
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

/** What came of a forward. */
interface Forwarded {
  answer: ServiceAnswer
  /** False when no byte of the request has reached the peer, or the peer holds no instance of the service. */
  reached: boolean
}

type ForwardResult = PeerMethods['forwardRequest']['result']

/** Sends each request to the queue that is expected to start it soonest. */
export class RequestRouter {
  private readonly _options: Required<RequestRouterOptions>
  private readonly _scheduler: RequestScheduler
  private readonly _timers: Timers
  private readonly _budget = new RetryBudget()
  private readonly _peers = new Map<string, PeerLoads>()
  private _near: PeerLoads[] = []
  private _far: PeerLoads[] = []

  constructor ({ log = SILENT_LOG, ...options }: RequestRouterOptions) {
    this._options = { ...options, log }
    this._scheduler = options.scheduler
    this._timers = options.timers
  }

  /** Handler of the peer method `forwardRequest`: runs the request here and never forwards it again. */
  readonly forwardRequest: PeerHandler<'forwardRequest'> = async ({ request }) => {
    const receivedMs = this._timers.now()
    const answer = await this._scheduler.submit(request)
    return { answer, load: this._scheduler.load(request.service), tookMs: this._timers.now() - receivedMs }
  }

  /** Sets the entry VMs that take part. This one is left out. */
  setPeers (peers: RouterPeer[]): void {
    const listed = new Set(peers.map(peer => peer.vm))
    for (const vm of this._peers.keys()) if (!listed.has(vm)) this._peers.delete(vm)
    for (const peer of peers) {
      if (peer.vm !== this._options.vm && !this._peers.has(peer.vm)) this._peers.set(peer.vm, new PeerLoads(peer))
    }
    const known = [...this._peers.values()]
    this._near = known.filter(peer => peer.failureDomain === this._options.failureDomain)
    this._far = known.filter(peer => peer.failureDomain !== this._options.failureDomain)
  }

  /** Takes over the loads that a peer has told. */
  onPeerLoads (vm: string, loads: Record<string, ServiceLoad>): void {
    this._peers.get(vm)?.setLoads(loads, this._timers.now())
  }

  /** Runs a request here or at a peer. Never rejects. */
  async submit (req: ServiceRequest): Promise<ServiceAnswer> {
    const arrivedMs = this._timers.now()
    this._budget.earn()
    for (let peer = this._betterPeer(req); peer; peer = this._betterPeer(req)) {
      const { answer, reached } = await this._send(req, peer, arrivedMs)
      if (reached) return await this._afterForward(req, answer, arrivedMs)
      if (!this._budget.spend()) return answer
    }
    return await this._runHere(req, arrivedMs)
  }

  /** Runs a request in the own queue, and at a peer when the own queue refuses it. */
  private async _runHere (req: ServiceRequest, arrivedMs: number): Promise<ServiceAnswer> {
    const left = this._leftOf(req, arrivedMs)
    if (!left) return this._tooLate(req)
    const spentMs = this._timers.now() - arrivedMs
    const answer = delayed(await this._scheduler.submit(left), spentMs)
    const peer = answer.outcome === OUTCOMES.notRun ? this._peerInTime(req, arrivedMs) : undefined
    if (!peer || !this._budget.spend()) return answer
    return (await this._send(req, peer, arrivedMs)).answer
  }

  /** Runs a request here that its peer has answered without running it, as far as it may be repeated. */
  private async _afterForward (req: ServiceRequest, answer: ServiceAnswer, arrivedMs: number): Promise<ServiceAnswer> {
    if (answer.outcome === OUTCOMES.ran || !this._mayRepeat(req, answer)) return answer
    const left = this._leftOf(req, arrivedMs)
    if (!left || this._scheduler.expectedWaitMs(left) > left.deadlineMs || !this._budget.spend()) return answer
    const spentMs = this._timers.now() - arrivedMs
    const own = await this._scheduler.submit(left)
    const mayHaveRun = answer.outcome === OUTCOMES.unknown && own.outcome === OUTCOMES.notRun
    return mayHaveRun ? answer : delayed(own, spentMs)
  }

  /** The peer that is expected to start the request sooner than this process, by more than the cost of the way. */
  private _betterPeer (req: ServiceRequest): PeerLoads | undefined {
    const ownWaitMs = this._scheduler.expectedWaitMs(req)
    if (ownWaitMs === 0) return undefined
    const near = this._best(this._near, req)
    const nearWaitMs = near ? this._waitAt(near, req) : Infinity
    const far = this._best(this._far, req)
    const farWaitMs = far ? this._waitAt(far, req) : Infinity
    const peer = farWaitMs + (far?.delayMs ?? 0) < nearWaitMs ? far : near
    if (!peer) return undefined
    const margin = peer.delayMs * FORWARD_MARGIN_DELAYS
    return Math.min(nearWaitMs, farWaitMs) + margin < ownWaitMs ? peer : undefined
  }

  /** A peer that can start the request within what is left of its deadline. */
  private _peerInTime (req: ServiceRequest, arrivedMs: number): PeerLoads | undefined {
    const leftMs = req.deadlineMs - (this._timers.now() - arrivedMs)
    const expectedMs = this._scheduler.spec(req.service)?.expectedMs ?? 0
    for (const peers of [this._near, this._far]) {
      const peer = this._best(peers, req)
      if (peer && this._waitAt(peer, req) + expectedMs < leftMs) return peer
    }
    return undefined
  }

  /** The better of a few peers picked at random, so that not all requests go to the same one. */
  private _best (peers: PeerLoads[], req: ServiceRequest): PeerLoads | undefined {
    let best: PeerLoads | undefined
    let bestWaitMs = Infinity
    const start = peers.length > 0 ? this._options.random.int(peers.length) : 0
    for (let i = 0, compared = 0; i < peers.length && compared < CHOICES; i++) {
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

  private _mayRepeat (req: ServiceRequest, answer: ServiceAnswer): boolean {
    if (answer.outcome === OUTCOMES.notRun) return true
    return !req.atMostOnce && (this._scheduler.spec(req.service)?.idempotent ?? false)
  }

  /** Forwards a request once and tells what came of it. */
  private async _send (req: ServiceRequest, peer: PeerLoads, arrivedMs: number): Promise<Forwarded> {
    const left = this._leftOf(req, arrivedMs, peer.delayMs)
    if (!left) return { reached: true, answer: this._tooLate(req) }
    const sentMs = this._timers.now()
    const timeoutMs = left.deadlineMs + 2 * peer.delayMs + FORWARD_GRACE_MS
    peer.forwarded(req.service)
    const result = await this._options.transport.call(peer.vm, 'forwardRequest', { request: left }, timeoutMs)
    if (result.isErr) return { reached: result.error.effect !== EFFECTS.none, answer: this._lost(req, peer, result.error) }
    this._learn(req, peer, result.value, sentMs)
    const { answer, load } = result.value
    const noInstance = answer.outcome === OUTCOMES.notRun && load === undefined
    return { reached: !noInstance, answer: delayed(answer, sentMs - arrivedMs + peer.delayMs) }
  }

  private _learn (req: ServiceRequest, peer: PeerLoads, { load, tookMs }: ForwardResult, sentMs: number): void {
    const nowMs = this._timers.now()
    if (load) peer.setLoad(req.service, load, nowMs)
    else peer.dropLoad(req.service)
    if (tookMs !== undefined) peer.measured(nowMs - sentMs, tookMs)
  }

  private _lost (req: ServiceRequest, peer: PeerLoads, err: CallError): ServiceAnswer {
    const { requestId } = req
    peer.unreachable(this._timers.now())
    this._options.log.event('warn', 'request.forwardFailed', { requestId, step: err.step, peer: peer.vm, effect: err.effect })
    const details = { step: 'request.forward', peer: peer.vm, detail: err.message, requestId }
    if (err.effect !== EFFECTS.none) return unknownOutcome(details)
    return notRun({ ...details, retryAfterMs: UNREACHED_RETRY_AFTER_MS }, 'unavailable')
  }

  private _tooLate ({ service, requestId }: ServiceRequest): ServiceAnswer {
    return notRun({ step: 'request.route', peer: service, detail: 'the deadline has passed', requestId, retryAfterMs: UNREACHED_RETRY_AFTER_MS })
  }

  /** The request with what is left of its deadline after the way to the peer and back. */
  private _leftOf (req: ServiceRequest, arrivedMs: number, delayMs = 0): ServiceRequest | undefined {
    const deadlineMs = req.deadlineMs - (this._timers.now() - arrivedMs) - 2 * delayMs
    return deadlineMs > 0 ? { ...req, deadlineMs } : undefined
  }
}

/** The answer with the time that the request spent before it reached the queue. */
function delayed (answer: ServiceAnswer, spentMs: number): ServiceAnswer {
  return answer.waitedMs === undefined ? answer : { ...answer, waitedMs: answer.waitedMs + spentMs }
}
