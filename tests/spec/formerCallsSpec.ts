/**
 * Specification of calls to a former incarnation of a worker that the next one, under the same id, carries out: one worker id, one task,
 * and leaders one after the other. A leader sends the start of the task and an extension, as another call. Each is carried out at once,
 * late, by a later incarnation, or never, and its answer may be lost. A lease end in it is a time on another clock for a later
 * incarnation, and gives it a lease of the maximum length.
 *
 * Time is counted in parts of a lease, as in `reusedIdsSpec.ts`, whose rules are assumed: tokens, and the lease of a next incarnation
 * that has answered. Also assumed: a leader stops when the next one is elected, knows of a restart and records it in one step, and reads
 * the record after its election. Ids are known to return: without that, a worker that is lost counts as gone, and the first restart of a
 * cell is not waited for. A leader does not end between a call without an answer and the record of the loss of its worker, and a start is
 * not stopped at an incarnation that lives: the known open cases of `recordedLeaseEnds.test.ts` and of seed 32 of the soak test. Left
 * out: a second try of a start, other tasks, copies, rates of clocks, writes of the record that are late or lost (`leaseEndsSpec.ts`).
 *
 * @module
 */

import type { Spec, Step } from './walk.js'

/** Rules of the protocol. Tests switch off one rule at a time to show that it is needed. */
export const FORMER_CALL_RULES = {
  /** The incarnation that has answered a start is told by its clock. */
  answererTold: true,
  /** A run at a silent next incarnation is waited for to the end of the longest lease after the last call, not only the last start. */
  lastCallCounted: true,
  /** The end of the next incarnation does not hide an extension that was sent to one before. */
  formerExtensionsKept: true,
  /** An extension counts also while no later incarnation is known. */
  unlistedExtensionsCounted: true,
  /** A next incarnation that refuses a start settles it only when it can come no more: that one may restart, too. */
  refusalNotFinal: true,
  /** The record of lost workers keeps a restarted worker that the roster does not contain any more. */
  restartRecorded: true,
  /** The record covers extensions without an answer, too. */
  extensionsRecorded: true,
  /** A leader that reads the record awaits the next incarnation, to the end of the longest lease. */
  nextAwaited: true,
  /** It waits as long when no next incarnation is known. */
  unlistedAwaited: true,
  /** The record holds until the runs have ended that the calls may begin, not only until they can come no more. */
  recordedUntilRunsEnd: true
}

/** Rules that are in force. */
export type FormerCallRules = typeof FORMER_CALL_RULES

/** Limits of the state space. */
export interface FormerCallBounds {
  /** Number of leaders and of incarnations, at most three. */
  leaders: number
  incarnations: number
}

/** Lengths of leases: those that leaders send, and the maximum. Longest delay of a call. */
const SENT = 1
const LONGEST = 2
const DELAY = 2
/** Time from the sending of a call until all runs have ended that it may have begun or prolonged. */
const CALL_AND_RUN = DELAY + LONGEST

/** A call on its way, and for how long it may still be carried out. */
interface Call {
  kind: 'start' | 'extension'
  token: number
  /** Incarnation for which it was meant. */
  to: number
  left: number
}

/** State of the specification. Times are those that remain. */
export interface FormerCallsState {
  leader: number
  /** The worker: its incarnation, the highest token that it has seen, the rest of its lease, and the task. */
  incarnation: number
  newestToken: number
  lease: number
  running: boolean
  /** Latest incarnation in the directory. */
  listed: number
  calls: Call[]
  startsLeft: number
  extensionsLeft: number
  /** Incarnation that the leader calls, and that the roster names. */
  session: number
  /** That incarnation is known to have ended. */
  ended: boolean
  synced: boolean
  lost: boolean
  /** The worker of the session is one that the leader before has used. */
  inherited: boolean
  /** Time that the leader counts for its lease. */
  counted: number
  /** What the leader knows of the start: it has a run, or a start without an answer. */
  start: 'none' | 'unanswered' | 'confirmed'
  /** A later incarnation may carry the start out, or have done so; runs have ended after these times. */
  open: boolean
  startRunsEnd: number
  extensionRunsEnd: number
  /** The wait comes from the record. */
  fromRecord: boolean
  /** In the store: when runs end at later incarnations, and the end of the lease of a lost incarnation. */
  recordRunsEnd: number
  loss: { of: number, end: number } | null
  /** The task was started elsewhere. */
  moved: boolean
}

type Next = Array<{ step: Step, next: FormerCallsState }>

/** Creates the specification. */
export function formerCallsSpec (rules: FormerCallRules, bounds: FormerCallBounds): Spec<FormerCallsState> {
  const initial: FormerCallsState = {
    leader: 1,
    incarnation: 1,
    newestToken: tokenOf({ leader: 1, session: 1 }),
    lease: SENT,
    running: false,
    listed: 1,
    calls: [],
    startsLeft: 1,
    extensionsLeft: 1,
    session: 1,
    ended: false,
    synced: true,
    lost: false,
    inherited: false,
    counted: SENT,
    start: 'none',
    open: false,
    startRunsEnd: 0,
    extensionRunsEnd: 0,
    fromRecord: false,
    recordRunsEnd: 0,
    loss: null,
    moved: false
  }
  return {
    initial,
    // Without an incarnation, the task can run no more on the worker.
    steps: state => (state.incarnation ? [...workerSteps(state, bounds), ...state.moved ? [] : leaderSteps(state, rules, bounds)] : [])
      .map(({ step, next }) => ({ step, next: canonical(next, bounds) })),
    violated: { oneRun: ({ running, moved }) => running && moved }
  }
}

/** Token of the calls to an incarnation; a later incarnation and a later leader have a higher one. */
function tokenOf ({ leader, session }: Pick<FormerCallsState, 'leader' | 'session'>): number {
  return leader * 4 + session
}

function workerSteps (state: FormerCallsState, bounds: FormerCallBounds): Next {
  const { incarnation, listed, lease, running, calls, counted, startRunsEnd, extensionRunsEnd, recordRunsEnd, loss } = state
  const next: Next = []
  if (incarnation < bounds.incarnations) {
    next.push(step('restart', { ...state, incarnation: incarnation + 1, newestToken: 0, lease: 0, running: false }))
  }
  if (listed < incarnation) next.push(step('list', { ...state, listed: incarnation }))
  for (const [index, call] of calls.entries()) {
    next.push(step(`carryOut.${call.kind}`, carryOut({ ...state, calls: calls.filter((_, i) => i !== index) }, call)))
  }
  const after = (time: number): number => Math.max(0, time - 1)
  const waitOver = state.open && Math.max(startRunsEnd, extensionRunsEnd) <= 1
  next.push(step('timePasses', {
    ...state,
    lease: after(lease),
    running: running && lease > 1,
    calls: calls.filter(({ left }) => left > 0).map(call => ({ ...call, left: call.left - 1 })),
    counted: after(counted),
    open: state.open && !waitOver,
    startRunsEnd: after(startRunsEnd),
    extensionRunsEnd: after(extensionRunsEnd),
    recordRunsEnd: after(recordRunsEnd),
    loss: loss && { ...loss, end: after(loss.end) }
  }))
  return next
}

/** The worker receives a call. */
function carryOut (state: FormerCallsState, { kind, token, to, left }: Call): FormerCallsState {
  if (token < state.newestToken) return state
  const newestToken = Math.max(state.newestToken, token)
  const lease = to < state.incarnation ? LONGEST : SENT - (DELAY - left)
  if (lease <= 0) return { ...state, newestToken }
  return { ...state, newestToken, lease: Math.max(state.lease, lease), running: state.running || kind === 'start' }
}

function leaderSteps (state: FormerCallsState, rules: FormerCallRules, bounds: FormerCallBounds): Next {
  const { leader, incarnation, listed, session, ended, synced, lost, start, open, inherited, counted, extensionRunsEnd } = state
  const next: Next = []
  const usable = synced && !lost && !ended
  if (usable) next.push(...callSteps(state, rules))
  if (!ended && incarnation === session) next.push(step('report', receiveReport(state, rules)))
  if (!ended && incarnation > session) next.push(step('reportOfNext', noteRestart(state, rules)))
  if (listed > session) {
    const noted = ended ? state : noteRestart(state, rules)
    next.push(step('readDirectory', openSession(noted, listed, rules)))
  }
  if (!lost && !ended && (synced || inherited)) {
    const recorded = start === 'unanswered' || open ? recordedEnd(state, rules) : 0
    const loss = { of: session, end: counted }
    next.push(step('lose', { ...state, lost: true, loss, recordRunsEnd: Math.max(state.recordRunsEnd, recorded) }))
  }
  if ((lost || !synced) && !ended && counted === 0 && start !== 'none') next.push(step('lapse', lapse(state, rules)))
  const hasUnansweredCall = start === 'unanswered' || (open && extensionRunsEnd > 0)
  if (leader < bounds.leaders && !(usable && hasUnansweredCall)) next.push(step('elect', elect(state, rules)))
  if (mayMove(state, rules)) next.push(step('move', { ...state, moved: true }))
  return next
}

/** Steps in which the leader calls a worker that has answered its last call. */
function callSteps (state: FormerCallsState, rules: FormerCallRules): Next {
  const { session, incarnation, calls, startsLeft, extensionsLeft, start, open, counted } = state
  const next: Next = []
  const sent = { ...state, counted: Math.max(counted, SENT) }
  const call = { token: tokenOf(state), to: session, left: DELAY }
  if (extensionsLeft > 0) {
    const extension: Call = { kind: 'extension', ...call }
    next.push(step('sendExtension', { ...sent, calls: [...calls, extension], extensionsLeft: extensionsLeft - 1, extensionRunsEnd: CALL_AND_RUN }))
  }
  if (startsLeft === 0 || start !== 'none' || open) return next
  const startCall: Call = { kind: 'start', ...call }
  const started = { ...sent, startsLeft: startsLeft - 1, fromRecord: false }
  next.push(step('sendStart', { ...started, calls: [...calls, startCall], start: 'unanswered', startRunsEnd: CALL_AND_RUN }))
  const carriedOut = carryOut(started, startCall)
  if (!carriedOut.running) return next
  const isTold = rules.answererTold && incarnation > session
  next.push(step('startAnswered', isTold ? noteRestart({ ...carriedOut, start: 'unanswered', startRunsEnd: LONGEST }, rules) : { ...carriedOut, start: 'confirmed' }))
  return next
}

/** The incarnation that the leader calls reports, and has its lease extended. */
function receiveReport (state: FormerCallsState, rules: FormerCallRules): FormerCallsState {
  const { session, synced, running, loss, newestToken, lease, counted, startRunsEnd } = state
  const foreign = session > 1 && !synced
  const reported: FormerCallsState = {
    ...state,
    synced: true,
    lost: false,
    inherited: false,
    newestToken: Math.max(newestToken, tokenOf(state)),
    lease: Math.max(lease, SENT),
    counted: Math.max(counted, foreign ? LONGEST : SENT),
    loss: loss?.of === session ? null : loss
  }
  if (running) return { ...reported, start: 'confirmed' }
  const mayCome = startRunsEnd >= LONGEST
  if (state.start === 'unanswered' && mayCome) return reported
  const isSettled = !mayCome || !rules.refusalNotFinal
  return isSettled ? { ...reported, start: 'none', open: false, startRunsEnd: 0 } : { ...reported, start: 'none' }
}

/** The leader learns that the incarnation has ended, and records it. */
function noteRestart (state: FormerCallsState, rules: FormerCallRules): FormerCallsState {
  const open = state.open || state.start === 'unanswered'
  const noted: FormerCallsState = { ...state, ended: true, synced: false, lost: false, inherited: false, counted: 0, start: 'none', open }
  const recorded = open && rules.restartRecorded ? recordedEnd(noted, rules) : 0
  return { ...noted, recordRunsEnd: Math.max(rules.restartRecorded ? state.recordRunsEnd : 0, recorded) }
}

/** The leader begins to call the next incarnation, which it has added to the roster. */
function openSession (state: FormerCallsState, session: number, rules: FormerCallRules): FormerCallsState {
  const extensionRunsEnd = rules.formerExtensionsKept || state.session === 1 ? state.extensionRunsEnd : 0
  return { ...state, session, ended: false, extensionRunsEnd }
}

/** The lease of the incarnation has ended by the leader's account: so have its runs, but a start may reach a later one. */
function lapse (state: FormerCallsState, rules: FormerCallRules): FormerCallsState {
  const extensionRunsEnd = rules.unlistedExtensionsCounted ? state.extensionRunsEnd : 0
  return { ...state, start: 'none', open: state.open || state.start === 'unanswered', extensionRunsEnd }
}

function elect (state: FormerCallsState, rules: FormerCallRules): FormerCallsState {
  const { session, recordRunsEnd, loss } = state
  const inheritedEnd = session > 1 ? LONGEST : SENT
  const counted = loss?.of === session ? Math.min(loss.end, inheritedEnd) : inheritedEnd
  const open = recordRunsEnd > 0 && (rules.recordedUntilRunsEnd || recordRunsEnd >= LONGEST)
  return {
    ...state,
    leader: state.leader + 1,
    ended: false,
    synced: false,
    lost: false,
    inherited: true,
    counted,
    start: 'none',
    open,
    startRunsEnd: open ? recordRunsEnd : 0,
    extensionRunsEnd: 0,
    fromRecord: true
  }
}

/** Time until which the record makes the next leader wait. A run that may have begun is recorded like a call that comes until its end. */
function recordedEnd ({ startRunsEnd, extensionRunsEnd, fromRecord }: FormerCallsState, rules: FormerCallRules): number {
  const runsEnd = Math.max(startRunsEnd, extensionRunsEnd)
  if (startRunsEnd <= LONGEST && !fromRecord) return runsEnd + LONGEST
  return rules.extensionsRecorded ? runsEnd : startRunsEnd
}

/** True when the leader may start the task elsewhere. */
function mayMove (state: FormerCallsState, rules: FormerCallRules): boolean {
  const { start, open, startRunsEnd, inherited, counted, fromRecord, session } = state
  if (start !== 'none' || (inherited && counted > 0)) return false
  if (!open) return true
  const mayCome = startRunsEnd >= LONGEST
  if (fromRecord && !mayCome) return session > 1 ? !rules.nextAwaited : !rules.unlistedAwaited
  return !rules.lastCallCounted && startRunsEnd === 0
}

/** Drops what has no effect on later steps, so that fewer states are visited. */
function canonical (state: FormerCallsState, { leaders, incarnations }: FormerCallBounds): FormerCallsState {
  const { leader, incarnation, newestToken, lease, running, startsLeft, session, start, open, loss, moved } = state
  const mayRestart = incarnation < incarnations
  const calls = state.calls.filter(({ token }) => token >= newestToken || mayRestart)
    .sort((a, b) => a.kind === b.kind ? a.left - b.left : a.kind < b.kind ? -1 : 1)
  const mayRun = running || calls.some(({ kind }) => kind === 'start')
  if (!mayRun && (moved || startsLeft === 0)) return { moved: false, running: false, calls: [] as Call[] } as FormerCallsState
  if (moved) return { incarnation, newestToken, lease, running, moved, calls } as FormerCallsState
  const isAwaited = open || start === 'unanswered'
  const isLast = leader === leaders
  return {
    ...state,
    calls,
    startRunsEnd: isAwaited ? state.startRunsEnd : 0,
    extensionRunsEnd: isAwaited || startsLeft > 0 ? state.extensionRunsEnd : 0,
    fromRecord: open && state.fromRecord,
    recordRunsEnd: isLast ? 0 : state.recordRunsEnd,
    loss: isLast || loss?.of !== session ? null : loss
  }
}

function step (type: string, next: FormerCallsState): { step: Step, next: FormerCallsState } {
  return { step: { type, args: [] }, next }
}
