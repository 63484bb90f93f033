/**
 * Sends starts and stops to workers and settles what became of each.
 *
 * @module
 */

import { RUN_STATES, type Run } from './workflowRuntime.js'
import { delay, type Timers } from '../seams/timers.js'
import { START_REFUSALS, type StartRefusal, type WorkerClient } from '../seams/workflowUpstreams.js'
import { EFFECTS } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'

/** Longest wait for the answer to an order, in milliseconds: many times the way there and back. */
const ORDER_TIMEOUT_MS = 400
/** Pause between two tries of an order, in milliseconds. */
const START_RETRY_MS = 80
/** Tries of a start whose outcome is not known before the run is stopped instead. */
const START_TRIES = 3
/** Pause between two tries of a stop, in milliseconds. */
const STOP_RETRY_MS = 200

/** Options of {@link RunOrderSender}. */
export interface RunOrderSenderOptions {
  epoch: number
  client: WorkerClient
  timers: Timers
  log: EventLog
  /** Time for which starts may still be sent, in milliseconds. */
  leadershipRemainingMs: () => number
  /** The start has not been carried out and never will be. */
  onRefused: (run: Run, reason: StartRefusal | 'notSent') => void
  onStarted: (run: Run) => void
  /** The worker has said that it knows a newer epoch. */
  onStaleEpoch: () => void
}

/** Sends orders. */
export class RunOrderSender {
  private readonly _options: RunOrderSenderOptions
  private _closed = false

  constructor (options: RunOrderSenderOptions) {
    this._options = options
  }

  close (): void {
    this._closed = true
  }

  /** Starts `run`. A start without an answer is sent again, since a worker carries it out once; then the run is stopped. */
  async start (run: Run, { payload, checkpoint, ticket }: { payload: string, checkpoint: string, ticket?: string }): Promise<void> {
    const { client, epoch, timers, log, leadershipRemainingMs, onRefused, onStarted, onStaleEpoch } = this._options
    const { session } = run
    let maybeSent = false
    for (let attempt = 1; attempt <= START_TRIES; attempt++) {
      if (this._closed || run.state !== RUN_STATES.starting || session.closed) return
      const untilMs = session.leaseEndForStart()
      if (leadershipRemainingMs() <= 0 || untilMs === undefined) {
        if (!maybeSent) return onRefused(run, 'notSent')
        break
      }
      session.noteLeaseSent(untilMs)
      const start = { epoch, task: run.name, attempt: run.attempt, payload, untilMs, checkpoint: checkpoint || undefined, ticket }
      const answer = await client.start(session.entry, start, ORDER_TIMEOUT_MS)
      if (this._closed) return
      if (answer.isOk) {
        session.noteClock(answer.value.clockMs)
        if (run.state !== RUN_STATES.starting) return
        if (answer.value.refusal === undefined) return onStarted(run)
        if (answer.value.refusal === START_REFUSALS.staleEpoch) return onStaleEpoch()
        // After a first try that may have arrived, an old attempt may be this very one, already ended.
        if (!maybeSent || answer.value.refusal !== START_REFUSALS.oldAttempt) return onRefused(run, answer.value.refusal)
        break
      }
      log.event('warn', 'start.unanswered', { task: run.name, attempt: run.attempt, worker: session.incarnation, try: attempt, effect: answer.error.effect, detail: answer.error.message })
      session.noteUnanswered()
      if (answer.error.effect === EFFECTS.none && !maybeSent) return onRefused(run, 'notSent')
      maybeSent ||= answer.error.effect !== EFFECTS.none
      run.startUnanswered ||= maybeSent
      await delay(timers, START_RETRY_MS)
    }
    if (run.state === RUN_STATES.starting) this.stop(run, 'its start was not answered')
  }

  /** Sets the share of its speed that `run` is allowed, in percent. Without an answer, the next report leads to another try. */
  async pace (run: Run, percent: number): Promise<void> {
    const { client, epoch, log, leadershipRemainingMs, onStaleEpoch } = this._options
    const { session, name, attempt } = run
    if (this._closed || session.closed || run.state !== RUN_STATES.running || leadershipRemainingMs() <= 0) return
    const answer = await client.pace(session.entry, { epoch, task: name, attempt, percent }, ORDER_TIMEOUT_MS)
    if (this._closed) return
    if (answer.isOk && answer.value.refusal === START_REFUSALS.staleEpoch) return onStaleEpoch()
    const outcome = answer.isErr ? answer.error.message : answer.value.refusal ?? 'paced'
    log.event('info', 'run.paced', { task: name, attempt, worker: session.incarnation, percent, outcome })
    if (answer.isOk && answer.value.refusal === undefined) run.pacePercent = percent
  }

  /** Stops `run`. It counts at its worker until a list shows that it has ended. */
  async stop (run: Run, reason: string): Promise<void> {
    const { client, epoch, timers, log, onStaleEpoch } = this._options
    const { session } = run
    if (run.state === RUN_STATES.stopping) return
    run.state = RUN_STATES.stopping
    log.event('info', 'run.stop', { task: run.name, attempt: run.attempt, worker: session.incarnation, reason, ranMs: Math.round(timers.now() - run.startedMs) })
    while (!this._closed && !session.closed && session.hasRun(run.name, run.attempt)) {
      const answer = await client.stop(session.entry, { epoch, task: run.name, attempt: run.attempt }, ORDER_TIMEOUT_MS)
      if (this._closed) return
      if (answer.isOk && answer.value.refusal === START_REFUSALS.staleEpoch) return onStaleEpoch()
      if (answer.isOk && (answer.value.refusal === undefined || answer.value.refusal === START_REFUSALS.oldAttempt)) {
        run.stopConfirmedMs = timers.now()
        return
      }
      await delay(timers, STOP_RETRY_MS)
    }
  }
}
