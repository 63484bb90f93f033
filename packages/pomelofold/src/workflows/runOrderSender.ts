/**
 * Sends start, stop and pace orders to workers, and retries them until their outcome is known.
 *
 * @module
 */

import { ANSWERERS, type RunHost, type WorkerClock } from './runHost.js'
import { RUN_STATES, type Run } from './workflowRuntime.js'
import { delay, type Timers } from '../seams/timers.js'
import { START_REFUSALS, type OrderAnswer, type StartRefusal, type WorkerClient } from '../seams/workflowUpstreams.js'
import { CallTimeoutError, EFFECTS } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'

/** Longest delay with which a worker carries out an order, in milliseconds. */
export const MAX_ORDER_DELAY_MS = 12_000
/** Timeout of an order, in milliseconds: many times the usual round trip. */
const ORDER_TIMEOUT_MS = 400
/** Delay between two tries of a start, in milliseconds. */
const START_RETRY_MS = 80
/** Number of tries of a start with unknown outcome before a stop is sent instead. */
const START_TRIES = 3
/** Delay between two tries of a stop, in milliseconds. */
const STOP_RETRY_MS = 200

/** What the refusal of one try of a start says about the run. */
export interface StartTryRefusal {
  /** True when no try was or can be carried out. False when an earlier try received no answer: the run may be in progress. */
  settled: boolean
}

/** Options of {@link RunOrderSender}. */
export interface RunOrderSenderOptions {
  client: WorkerClient
  timers: Timers
  log: EventLog
  /** Time for which this daemon is guaranteed to remain the leader and may send starts, in milliseconds. */
  leadershipRemainingMs: () => number
  /** Called when the start, or one try of it, was refused. */
  onRefused: (run: Run, reason: StartRefusal | 'notSent', refusal: StartTryRefusal) => void
  /** Called when a try of the start, sent at `sentMs`, received no answer and may be carried out late. */
  onUnanswered: (run: Run, sentMs: number) => void
  /** Called when the worker has confirmed the start. */
  onStarted: (run: Run) => void
  /** Called when a worker refused an order because it has received a newer epoch. */
  onStaleEpoch: () => void
}

/** Sends orders for runs, each with the fencing token of its worker. */
export class RunOrderSender {
  private readonly _options: RunOrderSenderOptions
  private _closed = false

  constructor (options: RunOrderSenderOptions) {
    this._options = options
  }

  close (): void {
    this._closed = true
  }

  /**
   * Starts `run`. A start without an answer is retried, since a worker carries out the same attempt only once. When no
   * try was accepted and one of them received no answer, the run is stopped, because it may have started.
   */
  async start (run: Run, { payload, checkpoint, ticket }: { payload: string, checkpoint: string, ticket?: string }): Promise<void> {
    const { client, timers, log, leadershipRemainingMs, onRefused, onStarted, onUnanswered } = this._options
    const { session } = run
    let mayBeSent = false
    for (let attempt = 1; attempt <= START_TRIES; attempt++) {
      if (this._closed || run.state !== RUN_STATES.starting || session.closed) return
      // Another try would reach the next incarnation, and could crash it, too.
      if (session.crashed) break
      const untilMs = session.leaseEndForStart()
      if (leadershipRemainingMs() <= 0 || untilMs === undefined) {
        if (!mayBeSent) return onRefused(run, 'notSent', { settled: true })
        break
      }
      session.noteLeaseSent(untilMs)
      const { token: epoch } = session
      const start = { epoch, task: run.name, attempt: run.attempt, payload, untilMs, checkpoint: checkpoint || undefined, ticket }
      const sentMs = timers.now()
      const sentClock = session.workerClock
      run.pendingStartMs = sentMs
      const answer = await client.start(session.entry, start, ORDER_TIMEOUT_MS)
      run.pendingStartMs = undefined
      if (this._closed) return
      if (answer.isOk) {
        run.progressedClockMs ??= answer.value.clockMs
        if (run.state !== RUN_STATES.starting) return this._noteAnswerBesideStop(run, answer.value, sentClock)
        if (answer.value.refusal === undefined) {
          run.startConfirmedBy = session.answererOf(answer.value.clockMs, sentClock)
          onStarted(run)
          return noteAnswerer(session, answer.value, sentClock)
        }
        if (answer.value.refusal === START_REFUSALS.staleEpoch) {
          if (this._handleStaleEpoch(session, epoch)) return
          continue
        }
        onRefused(run, answer.value.refusal, { settled: !mayBeSent })
        noteAnswerer(session, answer.value, sentClock)
        if (!mayBeSent) return
        // Another refusal is not expected to change: only a stop settles what became of the earlier tries.
        if (answer.value.refusal !== START_REFUSALS.unhealthy) break
        await delay(timers, START_RETRY_MS)
        continue
      }
      log.event('warn', 'start.unanswered', { task: run.name, attempt: run.attempt, worker: session.incarnation, try: attempt, effect: answer.error.effect, detail: answer.error.message })
      session.noteUnanswered()
      if (answer.error.effect === EFFECTS.none && !mayBeSent) return onRefused(run, 'notSent', { settled: true })
      mayBeSent ||= answer.error.effect !== EFFECTS.none
      if (answer.error.effect !== EFFECTS.none) {
        run.unansweredMs = sentMs
        run.startBroken ||= !(answer.error instanceof CallTimeoutError)
        onUnanswered(run, sentMs)
      }
      await delay(timers, START_RETRY_MS)
    }
    if (run.state === RUN_STATES.starting) this.stop(run, 'a try of its start received no answer')
  }

  /** Notes the answer to the start of a run that is being stopped. The stop may not arrive, so that a later incarnation may run it. */
  private _noteAnswerBesideStop (run: Run, answer: OrderAnswer, sentClock: WorkerClock | undefined): void {
    if (answer.refusal !== undefined || run.startConfirmedMs !== undefined) return
    run.startConfirmedMs = this._options.timers.now()
    run.startConfirmedBy = run.session.answererOf(answer.clockMs, sentClock)
    noteAnswerer(run.session, answer, sentClock)
  }

  /** Limits the speed of `run` to a percentage of full speed. It is not retried here: the next report triggers another try. */
  async pace (run: Run, percent: number): Promise<void> {
    const { client, log, leadershipRemainingMs } = this._options
    const { session, name, attempt } = run
    const { token: epoch } = session
    if (this._closed || session.closed || run.state !== RUN_STATES.running || leadershipRemainingMs() <= 0) return
    const sentClock = session.workerClock
    const answer = await client.pace(session.entry, { epoch, task: name, attempt, percent }, ORDER_TIMEOUT_MS)
    if (this._closed) return
    if (answer.isOk && answer.value.refusal === START_REFUSALS.staleEpoch && this._handleStaleEpoch(session, epoch)) return
    if (answer.isOk) noteAnswerer(session, answer.value, sentClock)
    const outcome = answer.isErr ? answer.error.message : answer.value.refusal ?? 'paced'
    log.event('info', 'run.paced', { task: name, attempt, worker: session.incarnation, percent, outcome })
    if (answer.isOk && answer.value.refusal === undefined) run.pacePercent = percent
  }

  /** Stops `run`. The run keeps its room at the worker until a report shows that it has ended. */
  async stop (run: Run, reason: string): Promise<void> {
    const { client, timers, log } = this._options
    const { session } = run
    if (run.state === RUN_STATES.stopping) return
    run.state = RUN_STATES.stopping
    log.event('info', 'run.stop', { task: run.name, attempt: run.attempt, worker: session.incarnation, reason, ranMs: Math.round(timers.now() - run.startedMs) })
    while (!this._closed && !session.closed && session.hasRun(run.name, run.attempt)) {
      const { token: epoch } = session
      const sentClock = session.workerClock
      const answer = await client.stop(session.entry, { epoch, task: run.name, attempt: run.attempt }, ORDER_TIMEOUT_MS)
      if (this._closed) return
      if (answer.isOk && answer.value.refusal === START_REFUSALS.staleEpoch && this._handleStaleEpoch(session, epoch)) return
      if (answer.isOk && (answer.value.refusal === undefined || answer.value.refusal === START_REFUSALS.oldAttempt)) {
        run.stopConfirmedMs = timers.now()
        return noteAnswerer(session, answer.value, sentClock)
      }
      await delay(timers, STOP_RETRY_MS)
    }
  }

  /** True when another scheduler has used the worker. False when this one has raised the token after the order was sent. */
  private _handleStaleEpoch (session: RunHost, token: number): boolean {
    if (!session.isFencedByOther(token)) return false
    this._options.onStaleEpoch()
    return true
  }
}

/** Ends the session when a later incarnation of its worker has answered an order. */
function noteAnswerer (session: RunHost, { clockMs, refusal }: OrderAnswer, sentClock: WorkerClock | undefined): void {
  // Another worker at the address has a clock of its own, too.
  if (refusal === START_REFUSALS.otherIncarnation) return
  if (session.answererOf(clockMs, sentClock) === ANSWERERS.later) session.noteRestart()
}
