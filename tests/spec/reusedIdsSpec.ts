/**
 * Specification of the lease of a worker that comes back under its id: two incarnations of one worker, and two leaders one after the
 * other. A lease end is a time on the clock of one incarnation. The next one has another clock: a call with the lease end of the former
 * clock gives it a lease of the maximum length, which is longer than those that leaders send.
 *
 * Time is counted in parts of a lease. A leader that extends no more counts on the end of the lease to start the task elsewhere.
 *
 * @module
 */

import type { Spec, Step } from './walk.js'

/** Rules of the protocol. Tests switch off one rule at a time to show that it is needed. */
export const REUSED_ID_RULES = {
  /** Calls to the next incarnation have a higher token than all calls to the former one, which are refused from its first call on. */
  tokenRaised: true,
  /** From the first answer of the next incarnation on, a leader counts on a lease of the maximum length. */
  longestLeaseCounted: true,
  /** The roster tells the next leader which workers may have such a lease, which it counts until they have answered. */
  keptInRoster: true,
  /** A next leader counts on it, too, from the first answer of such a worker on. */
  countedAgain: true
}

/** Rules that are in force. */
export type ReusedIdRules = typeof REUSED_ID_RULES

/** Lengths of leases: those that leaders send, and the maximum. */
const SENT = 1
const LONGEST = 3
/** Tokens of the calls to the former incarnation, to the next one, and of the next leader. */
const TOKENS = { former: 1, raised: 2, nextLeader: 3 }

/** State of the specification. */
export interface ReusedIdsState {
  leader: 1 | 2
  incarnation: 1 | 2
  /** Highest token that the incarnation has seen, and the rest of its lease. */
  newestToken: number
  lease: number
  running: boolean
  /** Calls to the former incarnation that are on their way, each with a lease end. */
  formerCalls: number
  /** This leader has had an answer of the next incarnation. */
  answered: boolean
  /** The leader extends the lease no more, and counts on it for so long. */
  lost: boolean
  counted: number
  /** The task was started elsewhere. */
  moved: boolean
}

type Next = Array<{ step: Step, next: ReusedIdsState }>

/** Creates the specification. */
export function reusedIdsSpec (rules: ReusedIdRules): Spec<ReusedIdsState> {
  return {
    initial: {
      leader: 1,
      incarnation: 1,
      newestToken: TOKENS.former,
      lease: SENT,
      running: false,
      formerCalls: 2,
      answered: false,
      lost: false,
      counted: SENT,
      moved: false
    },
    steps: state => [...workerSteps(state), ...leaderSteps(state, rules)],
    violated: { oneRun: ({ running, moved }) => running && moved }
  }
}

function workerSteps (state: ReusedIdsState): Next {
  const { incarnation, formerCalls, newestToken, lease, counted, running } = state
  const next: Next = []
  if (incarnation === 1) next.push(step('restart', { ...state, incarnation: 2, newestToken: 0, lease: 0, running: false }))
  if (formerCalls > 0 && incarnation === 2) {
    const rest = { ...state, formerCalls: formerCalls - 1 }
    if (newestToken > TOKENS.former) next.push(step('refuse', rest))
    else next.push(step('formerCallArrives', { ...rest, newestToken: TOKENS.former, lease: LONGEST }))
  }
  if (lease > 0 || counted > 0) {
    const left = Math.max(0, lease - 1)
    next.push(step('timePasses', { ...state, lease: left, running: running && left > 0, counted: Math.max(0, counted - 1) }))
  }
  return next
}

function leaderSteps (state: ReusedIdsState, rules: ReusedIdRules): Next {
  const { leader, incarnation, answered, lost, counted, moved, running } = state
  if (incarnation === 1) return []
  const token = leader === 2 ? TOKENS.nextLeader : rules.tokenRaised ? TOKENS.raised : TOKENS.former
  const contacted = { ...state, newestToken: Math.max(state.newestToken, token) }
  const next: Next = []
  if (!answered && !lost) {
    const longest = leader === 1 ? rules.longestLeaseCounted : rules.countedAgain
    next.push(step('firstAnswer', { ...contacted, answered: true, counted: longest ? LONGEST : 0 }))
  }
  if (answered && !lost) {
    const extended = { ...contacted, lease: Math.max(state.lease, SENT), counted: Math.max(counted, SENT) }
    next.push(step('extend', extended))
    if (!running && !moved) next.push(step('start', { ...extended, running: true }))
  }
  if (!lost) next.push(step('lose', { ...state, lost: true }))
  // Before the first answer, the next leader counts from its election on, since the former one starts nothing more.
  const inherited = rules.keptInRoster ? LONGEST : SENT
  if (leader === 1) next.push(step('elect', { ...state, leader: 2, answered: false, lost: false, counted: inherited }))
  if (lost && counted === 0 && (answered || leader === 2) && !moved) next.push(step('move', { ...state, moved: true }))
  return next
}

function step (type: string, next: ReusedIdsState): { step: Step, next: ReusedIdsState } {
  return { step: { type, args: [] }, next }
}
