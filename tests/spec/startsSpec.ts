/**
 * Specification of starts under a claim: one task, two workers with room for one task each, and two processes that
 * hold the claim one after the other. It assumes what `authoritySpec.ts` shows: a takeover happens only after the
 * holder's right to act has lapsed. A start in flight may arrive at any later time.
 *
 * @module
 */

import type { Spec, Step } from './walk.js'

/** Rules of the protocol. Tests switch off one rule at a time to show that it is needed. */
export const START_RULES = {
  /** The holder checks its right to act immediately before it sends a start, not only when it decides. */
  checkBeforeSend: true,
  /** A decision is dropped when the claim has received a new epoch since, even with the same holder. */
  decisionBoundToEpoch: true,
  /** An upstream that enforces epochs refuses starts of epochs older than the newest that it has received. */
  epochFencing: true,
  /** At an upstream that does not, a new holder waits for the longest possible send of the earlier holder before it lists. */
  earlierSendsAwaited: true,
  /** A new holder lists the running tasks of every worker, with its epoch, before it places the task. */
  listBeforePlacing: true,
  /** A start whose answer is lost counts as running. */
  unknownCountsAsRunning: true
}

/** Rules that are in force. */
export type StartRules = typeof START_RULES

/** A process that may hold the claim. */
interface Holder {
  /** Epoch under which the process holds or held the claim; 0 for none. */
  epoch: number
  /** Workers that the process has listed under its epoch. */
  listed: boolean[]
  /** The process assumes that the task runs or is being started. */
  placed: boolean
  /** Worker chosen for a start that is not sent yet; -1 for none. */
  chosenWorker: number
  /** Epoch under which the worker was chosen. */
  chosenEpoch: number
}

/** A worker, with the newest epoch that it has received and the number of its running tasks. */
interface Worker { newestEpoch: number, running: number }

/** A start in flight. */
interface Start { epoch: number, worker: number }

/** State of the specification; `sent` and `ran` count starts. */
export interface StartsState {
  epoch: number
  /** The holder's right to act has not lapsed. */
  authorityValid: boolean
  holders: Holder[]
  workers: Worker[]
  inFlight: Start[]
  sent: number
  ran: number
}

type Next = Array<{ step: Step, next: StartsState }>

const WORKERS = [0, 1]
const PROCESSES = [0, 1]
const MAX_EPOCH = 3
const MAX_SENDS = 3

/** Creates the specification for upstreams that enforce epochs or do not. */
export function startsSpec (rules: StartRules, { enforcesEpochs }: { enforcesEpochs: boolean }): Spec<StartsState> {
  const none = { epoch: 0, listed: [false, false], placed: false, chosenWorker: -1, chosenEpoch: 0 }
  return {
    initial: {
      epoch: 1,
      authorityValid: true,
      holders: [{ ...none, epoch: 1, listed: [true, true] }, none],
      workers: WORKERS.map(() => ({ newestEpoch: 1, running: 0 })),
      inFlight: [],
      sent: 0,
      ran: 0
    },
    steps: state => [
      ...PROCESSES.flatMap(p => [...authoritySteps(state, p), ...placeSteps(state, p, rules, enforcesEpochs)]),
      ...arriveSteps(state, enforcesEpochs && rules.epochFencing)
    ],
    violated: {
      onePlacePerTask: ({ workers }) => workers.every(({ running }) => running > 0),
      neverOverCapacity: ({ workers }) => workers.some(({ running }) => running > 1),
      atMostOnce: ({ ran }) => ran > 1
    }
  }
}

function holds ({ authorityValid, epoch, holders }: StartsState, p: number): boolean {
  return authorityValid && holders[p].epoch === epoch
}

function authoritySteps (state: StartsState, p: number): Next {
  if (holds(state, p)) return [step('lapse', [p], { ...state, authorityValid: false })]
  if (state.authorityValid || state.epoch === MAX_EPOCH) return []
  const epoch = state.epoch + 1
  const taken = withHolder({ ...state, epoch, authorityValid: true }, p, { epoch, listed: [false, false], placed: false })
  return [step('takeOver', [p], taken)]
}

function placeSteps (state: StartsState, p: number, rules: StartRules, enforcesEpochs: boolean): Next {
  const { epoch, listed, placed, chosenWorker, chosenEpoch } = state.holders[p]
  const next: Next = []
  if (holds(state, p)) {
    for (const w of WORKERS) {
      const { running } = state.workers[w]
      const contacted = { ...state, workers: replaceAt(state.workers, w, { running, newestEpoch: epoch }) }
      const waits = !enforcesEpochs && rules.earlierSendsAwaited && state.inFlight.some(start => start.epoch < epoch)
      const found = { listed: replaceAt(listed, w, true), placed: placed || running > 0 }
      if (!listed[w] && !waits) next.push(step('list', [p, w], withHolder(contacted, p, found)))
      const ready = !rules.listBeforePlacing || listed.every(Boolean)
      if (ready && !placed && chosenWorker < 0) next.push(step('decide', [p, w], withHolder(state, p, { chosenWorker: w, chosenEpoch: epoch })))
    }
  }
  const isStale = chosenEpoch !== epoch
  if (isStale && chosenWorker >= 0 && rules.decisionBoundToEpoch) {
    next.push(step('drop', [p], withHolder(state, p, { chosenWorker: -1, chosenEpoch: 0 })))
  } else if (chosenWorker >= 0 && state.sent < MAX_SENDS && (holds(state, p) || !rules.checkBeforeSend)) {
    const sent = { ...state, sent: state.sent + 1, inFlight: [...state.inFlight, { epoch, worker: chosenWorker }] }
    next.push(step('send', [p, chosenWorker], withHolder(sent, p, { chosenWorker: -1, chosenEpoch: 0, placed: true })))
  }
  if (placed && state.inFlight.length > 0 && !rules.unknownCountsAsRunning) {
    next.push(step('answerLost', [p], withHolder(state, p, { placed: false })))
  }
  return next
}

function arriveSteps (state: StartsState, fenced: boolean): Next {
  return state.inFlight.map(({ epoch, worker }, index) => {
    const rest = { ...state, inFlight: state.inFlight.filter((_, i) => i !== index) }
    const { newestEpoch, running } = state.workers[worker]
    if (fenced && epoch < newestEpoch) return step('refuse', [worker], rest)
    const workers = replaceAt(state.workers, worker, { newestEpoch: Math.max(newestEpoch, epoch), running: running + 1 })
    return step('start', [worker], { ...rest, workers, ran: state.ran + 1 })
  })
}

function step (type: string, args: number[], next: StartsState): { step: Step, next: StartsState } {
  return { step: { type, args }, next }
}

function withHolder (state: StartsState, p: number, change: Partial<Holder>): StartsState {
  return { ...state, holders: replaceAt(state.holders, p, { ...state.holders[p], ...change }) }
}

function replaceAt<T> (items: T[], index: number, item: T): T[] {
  return items.map((existing, i) => i === index ? item : existing)
}
