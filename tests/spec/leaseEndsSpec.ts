/**
 * Specification of the record of lease ends: one task, two workers, and three leaders one after the other, each of which may go on
 * for a while after it is replaced. Worker 0 holds a lease and may be lost; the end of its lease is kept in the store. Worker 1
 * always answers, and may restart once under its id.
 *
 * Time is abstracted to the order of events. Lease ends pass in the order in which the leases were sent, and are numbered from the
 * last end that has passed: 0 has passed. A daemon that counts an end on its own clock finds that it has passed at any later time.
 * It assumes what `termsSpec.ts` shows. The next incarnation of worker 1 carries out only late starts of leaders that start nothing
 * more, after it is listed to those that may start the task, and none that its former incarnation would have refused when the task
 * was last started.
 *
 * @module
 */

import type { Spec, Step } from './walk.js'

/** Rules of the protocol. Tests switch off one rule at a time to show that it is needed. */
export const LEASE_END_RULES = {
  /** A recorded end covers every lease that was sent, also those whose answer is lost. */
  endOfLastSent: true,
  /** A lease is not extended, by a start neither, while the loss of its worker may be in the store or in flight. */
  removalBeforeExtending: true,
  /** What a daemon has counted for one loss of a worker is not used for another loss of it. */
  countedFromSeeing: true,
  /** A new leader trusts only what it has read from the store after its election. */
  recordReadAfterElection: true,
  /** A new leader does not trust the record when the leader before it was of a version that does not know it. */
  recordKnownToLast: true,
  /** The store refuses the record of a leader once another one is elected. */
  recordsFenced: true,
  /** A copy of a write that arrives after a later write of the same leader has no effect. */
  lateWritesRefused: true,
  /** The bound for a worker that is not in the record passes only after all earlier leaders, not only the last, have stopped extending. */
  everyExtenderAwaited: true,
  /** A leader starts the task only after all earlier leaders, not only the last, have stopped starting it. */
  everyStarterAwaited: true,
  /** A run that a report lists counts until it has ended, also while the task has another run. */
  listedRunsCounted: true,
  /** The task is known only by a report that was requested after the earlier leaders had stopped starting it. */
  knownAfterStop: true,
  /** A known task that has run on a worker which has restarted waits for the worker's next incarnation, however that run has ended. */
  ownSuccessorAwaited: true
}

/** Rules that are in force. */
export type LeaseEndRules = typeof LEASE_END_RULES

/** What the protocol permits on top of the rules of `termsSpec.ts`. Tests show that the task starts earlier with each. */
export const LEASE_END_PERMISSIONS = {
  /** A worker settles when the end in the record has passed. */
  lossRecorded: true,
  /** A task whose run was listed to this leader waits for no other worker when that run has ended. */
  listedRunKnown: true
}

/** What is permitted. */
export type LeaseEndPermissions = typeof LEASE_END_PERMISSIONS

/** Limits of the state space. */
export interface LeaseEndBounds {
  /** Number of leaders, at most three. */
  leaders: number
  /** Worker on which the first leader has started the task; -1 for none. */
  runWorker: number
  /** Number of extensions, losses and starts of each leader. */
  extensions: number[]
  losses: number[]
  starts: number[]
  /** Maximum number of copies of writes in flight. */
  copies: number
  restarts: number
  /** Daemons see losses before their election. */
  views: boolean
  /** Epoch of a leader of a version that does not know the record; 0 for none. */
  oldVersion: number
}

/** A loss of worker 0. */
interface Loss {
  id: number
  /** End of the lease, from the last end that has passed. */
  end: number
  /** Epoch of the leader that has only waited for the leases of the leaders before it; 0 when the loss covers its own leases. */
  inheritedBy: number
}

/** A leader replaced by the next one may act for some time. */
const STATUS = { none: 0, leads: 1, mayStart: 2, mayExtend: 3, stopped: 4 }

/** A leader, and what it knows. */
interface Leader {
  status: number
  loaded: boolean
  /** Worker 0 has answered the last call. */
  reachable: boolean
  /** Workers that have answered under this epoch. */
  synced: boolean[]
  /** The lease of worker 0 has ended, as far as this leader has counted. */
  lapsed: boolean
  /** This leader has extended the lease of worker 0. */
  extended: boolean
  /** The loss in the record that was read; counts until this leader extends the lease. */
  inheritedLoss: Loss | null
  /** The loss to record. */
  loss: Loss | null
  /** The store may contain a loss. */
  mayBeStored: boolean
  /** Id of the loss in the last write that was acknowledged; 0 for none. */
  storedId: number
  /** The last write is not acknowledged. */
  writing: boolean
  /** Loss in the last write. */
  written: Loss | null
  /** Last known version of the writer's key. */
  version: number
  /** Attempt of the task that the leader assumes to run or to be started on each worker; 0 for none. */
  runs: number[]
  /** Reports have listed that run. */
  listed: boolean[]
  /** The last run of the task was listed to this leader or started by it. */
  known: boolean
  /** Worker 1 is known to have had a run of the task. */
  ranOnRestarting: boolean
  /** The next incarnation of worker 1 has not answered. */
  awaitsSuccessor: boolean
  /** Incarnation of worker 1 that is listed to this leader. */
  incarnation: number
  extensionsLeft: number
  lossesLeft: number
  startsLeft: number
}

interface Worker { incarnation: number, newestEpoch: number, running: number[], highestAttempt: number }

/** A start in flight. Those to worker 1 carry no lease here. */
interface Start { epoch: number, worker: number, attempt: number, end: number }

/** A copy of a write of the record that is in flight. */
interface Copy { epoch: number, version: number, loss: Loss | null }

/** State of the specification. */
export interface LeaseEndsState {
  epoch: number
  /** The record in the store, and the version of the writer's key. */
  stored: Loss | null
  version: number
  copies: Copy[]
  leaders: Leader[]
  workers: Worker[]
  /** End of the lease that worker 0 holds. */
  leaseEnd: number
  /** End of the last lease that each leader has sent, and of the extension of each that is in flight. */
  sentEnds: number[]
  inFlightEnds: number[]
  starts: Start[]
  /** The last loss that each daemon has seen in the store before its election. */
  seen: Array<Loss | null>
  /** Start of the task while a lease was awaited, which only a permission allows: by the record, and by a listed run. */
  startedByRecord: boolean
  startedByListing: boolean
}

type Next = Array<{ step: Step, next: LeaseEndsState }>

const EPOCHS = [1, 2, 3]
const WORKERS = [0, 1]
const ATTEMPTS_PER_TERM = 10
const LOSSES_PER_TERM = 10

interface Context { rules: LeaseEndRules, permissions: LeaseEndPermissions, bounds: LeaseEndBounds }

/** Creates the specification. */
export function leaseEndsSpec (context: Context): Spec<LeaseEndsState> {
  const { bounds } = context
  return {
    initial: initialState(bounds),
    steps: state => [
      ...electSteps(state, bounds), ...timeSteps(state), ...arriveSteps(state, bounds), ...storeSteps(state, context),
      ...EPOCHS.flatMap(epoch => leaderSteps(state, epoch, context)), ...workerSteps(state, bounds)
    ].map(({ step, next }) => ({ step, next: canonical(next, context) })),
    violated: {
      oneRun: ({ workers }) => workers.flatMap(({ running }) => running).length > 1,
      noRunAfterRecordedEnd: state => isRunning(state) && state.leaders.some(leader => leader.status === STATUS.leads &&
        leader.loaded && !leader.synced[0] && leader.lapsed && leader.inheritedLoss !== null)
    }
  }
}

/** A run is on worker 0, or may still be started there by a leader before the current one. */
function isRunning ({ workers, leaseEnd, starts, epoch }: LeaseEndsState): boolean {
  return workers[0].running.length > 0 || leaseEnd > 0 || starts.some(start => start.worker === 0 && start.epoch < epoch)
}

function initialState ({ runWorker, extensions, losses, starts }: LeaseEndBounds): LeaseEndsState {
  const leader = (epoch: number): Leader => ({
    status: epoch === 1 ? STATUS.leads : STATUS.none,
    loaded: epoch === 1,
    reachable: epoch === 1,
    synced: [epoch === 1, epoch === 1],
    lapsed: false,
    extended: epoch === 1,
    inheritedLoss: null,
    loss: null,
    mayBeStored: false,
    storedId: 0,
    writing: false,
    written: null,
    version: 0,
    runs: WORKERS.map(w => epoch === 1 && w === runWorker ? 1 : 0),
    listed: WORKERS.map(w => epoch === 1 && w === runWorker),
    known: epoch === 1,
    ranOnRestarting: epoch === 1 && runWorker === 1,
    awaitsSuccessor: false,
    incarnation: 1,
    extensionsLeft: extensions[epoch - 1],
    lossesLeft: losses[epoch - 1],
    startsLeft: starts[epoch - 1]
  })
  return {
    epoch: 1,
    stored: null,
    version: 0,
    copies: [],
    leaders: EPOCHS.map(leader),
    workers: WORKERS.map(w => {
      const attempts = w === runWorker ? [1] : []
      return { incarnation: 1, newestEpoch: 1, running: attempts, highestAttempt: attempts.length }
    }),
    leaseEnd: 1,
    sentEnds: [1, 0, 0],
    inFlightEnds: [0, 0, 0],
    starts: [],
    seen: [null, null, null],
    startedByRecord: false,
    startedByListing: false
  }
}

function electSteps (state: LeaseEndsState, { leaders }: LeaseEndBounds): Next {
  if (state.epoch === leaders) return []
  const epoch = state.epoch + 1
  const replaced = withLeader({ ...state, epoch }, state.epoch, { status: STATUS.mayStart })
  return [step('elect', [epoch], withLeader(replaced, epoch, { status: STATUS.leads, incarnation: state.workers[1].incarnation }))]
}

/** The next lease end passes. */
function timeSteps (state: LeaseEndsState): Next {
  if (Math.max(...state.sentEnds) === 0) return []
  const pass = (end: number): number => Math.max(0, end - 1)
  const passLoss = (loss: Loss | null): Loss | null => loss && { ...loss, end: pass(loss.end) }
  const leaseEnd = pass(state.leaseEnd)
  const passed: LeaseEndsState = {
    ...state,
    stored: passLoss(state.stored),
    copies: state.copies.map(copy => ({ ...copy, loss: passLoss(copy.loss) })),
    leaders: state.leaders.map(leader => ({
      ...leader, loss: passLoss(leader.loss), written: passLoss(leader.written), inheritedLoss: passLoss(leader.inheritedLoss)
    })),
    workers: replaceAt(state.workers, 0, { ...state.workers[0], running: leaseEnd > 0 ? state.workers[0].running : [] }),
    leaseEnd,
    sentEnds: state.sentEnds.map(pass),
    inFlightEnds: state.inFlightEnds.map(pass),
    starts: state.starts.map(start => ({ ...start, end: pass(start.end) })).filter(({ worker, end }) => worker === 1 || end > 0),
    seen: state.seen.map(passLoss)
  }
  return [step('endPasses', [], passed)]
}

/** Steps in which extensions and starts arrive at a worker. */
function arriveSteps (state: LeaseEndsState, bounds: LeaseEndBounds): Next {
  const next: Next = []
  for (const epoch of EPOCHS) {
    const end = state.inFlightEnds[epoch - 1]
    if (end === 0) continue
    const rest = { ...state, inFlightEnds: replaceAt(state.inFlightEnds, epoch - 1, 0) }
    if (epoch < state.workers[0].newestEpoch) next.push(step('refuseExtension', [epoch], rest))
    else next.push(step('extensionArrives', [epoch], withWorker({ ...rest, leaseEnd: Math.max(state.leaseEnd, end) }, 0, { newestEpoch: epoch })))
  }
  for (const [index, { epoch, worker, attempt, end }] of state.starts.entries()) {
    const rest = { ...state, starts: state.starts.filter((_, i) => i !== index) }
    const { running, incarnation } = state.workers[worker]
    const isUnlisted = state.leaders.some(leader => mayStart(leader) && leader.incarnation !== incarnation)
    const isExcluded = worker === 1 && incarnation > 1 && (mayStart(state.leaders[epoch - 1]) || isUnlisted)
    if (isRefused(state, { epoch, worker, attempt, end }) || isExcluded) {
      next.push(step('refuseStart', [worker, attempt], rest))
      continue
    }
    const started = withWorker(rest, worker, { newestEpoch: epoch, running: [...running, attempt], highestAttempt: attempt })
    const arrived = worker === 0 ? { ...started, leaseEnd: Math.max(state.leaseEnd, end) } : started
    next.push(step('startArrives', [worker, attempt], arrived))
    // Another try of the same start is still in flight.
    if (bounds.restarts > 0 && worker === 1) next.push(step('tryArrives', [worker, attempt], { ...arrived, starts: state.starts }))
  }
  return next
}

function isRefused ({ workers }: LeaseEndsState, { epoch, worker, attempt }: Start): boolean {
  return epoch < workers[worker].newestEpoch || attempt <= workers[worker].highestAttempt
}

function storeSteps (state: LeaseEndsState, { rules, bounds }: Context): Next {
  const next: Next = []
  for (const [index, { epoch, version, loss }] of state.copies.entries()) {
    const rest = { ...state, copies: state.copies.filter((_, i) => i !== index) }
    const refused = (rules.recordsFenced && epoch !== state.epoch) || (rules.lateWritesRefused && version !== state.version)
    if (refused) {
      next.push(step('refuseWrite', [epoch], rest))
      continue
    }
    const written = { ...rest, stored: loss, version: state.version + 1 }
    next.push(step('writeUnanswered', [epoch], written))
    const { writing, version: knownVersion } = state.leaders[epoch - 1]
    if (writing && version === knownVersion) next.push(step('write', [epoch], acknowledgeWrite(written, epoch)))
  }
  for (const epoch of EPOCHS) {
    const { status, writing, version } = state.leaders[epoch - 1]
    if (status === STATUS.leads && writing && state.version > version) next.push(step('readBack', [epoch], acknowledgeWrite(state, epoch)))
    if (bounds.views && status === STATUS.none && state.stored && state.stored.id !== state.seen[epoch - 1]?.id) {
      next.push(step('see', [epoch], { ...state, seen: replaceAt(state.seen, epoch - 1, state.stored) }))
    }
  }
  return next
}

function acknowledgeWrite (state: LeaseEndsState, epoch: number): LeaseEndsState {
  const { written } = state.leaders[epoch - 1]
  return withLeader(state, epoch, {
    writing: false, written: null, storedId: written?.id ?? 0, mayBeStored: written !== null, version: state.version
  })
}

function leaderSteps (state: LeaseEndsState, epoch: number, context: Context): Next {
  const { rules, bounds } = context
  const leader = state.leaders[epoch - 1]
  const { status } = leader
  if (status === STATUS.none || status === STATUS.stopped) return []
  const next: Next = []
  if (status === STATUS.mayStart) next.push(step('stopStarting', [epoch], withLeader(state, epoch, { status: STATUS.mayExtend })))
  if (status === STATUS.mayExtend) next.push(step('stop', [epoch], withLeader(state, epoch, { status: STATUS.stopped })))
  if (!leader.loaded) {
    if (status !== STATUS.leads) return next
    const read = rules.recordReadAfterElection ? state.stored : state.seen[epoch - 1]
    const stored = bounds.oldVersion === epoch ? null : read
    const loss = bounds.oldVersion === epoch - 1 && rules.recordKnownToLast ? null : stored
    const { version } = state
    const loaded = { loaded: true, loss, inheritedLoss: loss, mayBeStored: stored !== null, storedId: stored?.id ?? 0, version }
    return [...next, step('load', [epoch], withLeader(state, epoch, loaded))]
  }
  if (mayExtend(leader, rules) && leader.extensionsLeft > 0) {
    const extended = sendLease(withLeader(state, epoch, { extensionsLeft: leader.extensionsLeft - 1 }), epoch)
    next.push(step('extend', [epoch], { ...extended, inFlightEnds: replaceAt(state.inFlightEnds, epoch - 1, extended.sentEnds[epoch - 1]) }))
  }
  if (status === STATUS.mayExtend) return next
  next.push(...recordSteps(state, epoch, bounds, rules), ...endSteps(state, epoch, context))
  if (leader.incarnation !== state.workers[1].incarnation) {
    const ended: Partial<Leader> = {
      incarnation: state.workers[1].incarnation,
      awaitsSuccessor: true,
      ...withoutRun(leader, 1)
    }
    next.push(step('listSuccessor', [epoch], withLeader(state, epoch, ended)))
  }
  for (const w of WORKERS) next.push(...reportSteps(state, epoch, w, rules), ...startSteps(state, epoch, w, context))
  return next
}

/** True while the leader's authority lasts, as far as it knows. */
function mayStart ({ status }: Leader): boolean {
  return status === STATUS.leads || status === STATUS.mayStart
}

/** True when a lease may be extended. */
function mayExtend ({ reachable, loss, mayBeStored }: Leader, rules: LeaseEndRules): boolean {
  return reachable && ((loss === null && !mayBeStored) || !rules.removalBeforeExtending)
}

/** The leader sends worker 0 a lease that ends after all others. */
function sendLease (state: LeaseEndsState, epoch: number): LeaseEndsState {
  const sentEnds = replaceAt(state.sentEnds, epoch - 1, Math.max(...state.sentEnds) + 1)
  return withLeader({ ...state, sentEnds }, epoch, { extended: true, inheritedLoss: null })
}

/** Steps in which the leader notes a loss and writes the record. */
function recordSteps (state: LeaseEndsState, epoch: number, bounds: LeaseEndBounds, rules: LeaseEndRules): Next {
  const leader = state.leaders[epoch - 1]
  const next: Next = []
  if (leader.loss === null && leader.lossesLeft > 0 && !leader.lapsed) {
    const id = epoch * LOSSES_PER_TERM + leader.lossesLeft
    const sentEnd = state.sentEnds[epoch - 1]
    const ownEnd = rules.endOfLastSent ? sentEnd : Math.min(sentEnd, state.leaseEnd)
    const inherited = leader.inheritedLoss ? { ...leader.inheritedLoss, id } : { id, end: 0, inheritedBy: epoch }
    const loss = leader.extended ? { id, end: ownEnd, inheritedBy: 0 } : inherited
    next.push(step('noteLost', [epoch], withLeader(state, epoch, { loss, reachable: false, lossesLeft: leader.lossesLeft - 1 })))
  }
  if (state.copies.length >= bounds.copies) return next
  if (leader.writing) {
    const copy = { epoch, version: leader.version, loss: leader.written }
    next.push(step('repeatWrite', [epoch], { ...state, copies: [...state.copies, copy] }))
  } else if ((leader.loss?.id ?? 0) !== leader.storedId) {
    const sent = { ...state, copies: [...state.copies, { epoch, version: leader.version, loss: leader.loss }] }
    const change = { writing: true, written: leader.loss, mayBeStored: leader.mayBeStored || leader.loss !== null }
    next.push(step('sendWrite', [epoch], withLeader(sent, epoch, change)))
  }
  return next
}

/** The step in which the leader finds that the lease of worker 0 has ended. */
function endSteps (state: LeaseEndsState, epoch: number, { rules, permissions }: Context): Next {
  const leader = state.leaders[epoch - 1]
  if (leader.lapsed || leader.reachable || leader.startsLeft === 0) return []
  const { inheritedLoss } = leader
  const inheritedPassed = haveLeasesPassed(state, epoch, rules)
  const ends = rules.countedFromSeeing ? [inheritedLoss] : [inheritedLoss, state.seen[epoch - 1]]
  const recordPassed = permissions.lossRecorded && inheritedLoss !== null && ends.some(loss => loss && hasPassed(state, loss, rules))
  const passed = leader.extended ? state.sentEnds[epoch - 1] === 0 : inheritedPassed || recordPassed
  if (!passed) return []
  const change = { lapsed: true, ...withoutRun(leader, 0) }
  return [step('leaseEnded', [epoch], withLeader(state, epoch, change))]
}

/** True when the leases have ended that leaders before `epoch` have sent. */
function haveLeasesPassed (state: LeaseEndsState, epoch: number, rules: LeaseEndRules): boolean {
  return EPOCHS.every(other => {
    if (other >= epoch || (other < epoch - 1 && !rules.everyExtenderAwaited)) return true
    return state.leaders[other - 1].status === STATUS.stopped && state.sentEnds[other - 1] === 0
  })
}

function hasPassed (state: LeaseEndsState, { end, inheritedBy }: Loss, rules: LeaseEndRules): boolean {
  return end === 0 && (inheritedBy === 0 || haveLeasesPassed(state, inheritedBy, rules))
}

/** True when the leaders before `epoch` start nothing any more. */
function haveStoppedStarting (state: LeaseEndsState, epoch: number, rules: LeaseEndRules): boolean {
  return EPOCHS.every(other => other >= epoch || (other < epoch - 1 && !rules.everyStarterAwaited) ||
    state.leaders[other - 1].status >= STATUS.mayExtend)
}

/** Steps in which the leader receives a report of a worker. A replaced leader may receive one that it has requested before. */
function reportSteps (state: LeaseEndsState, epoch: number, w: number, rules: LeaseEndRules): Next {
  const leader = state.leaders[epoch - 1]
  const worker = state.workers[w]
  if (epoch < worker.newestEpoch && !leader.synced[w]) return []
  if (w === 1 && leader.incarnation !== worker.incarnation) return []
  const contacted = withWorker(state, w, { newestEpoch: Math.max(worker.newestEpoch, epoch) })
  const change: Partial<Leader> = { synced: replaceAt(leader.synced, w, true) }
  if (w === 0) Object.assign(change, { reachable: true, loss: null, lapsed: false })
  else change.awaitsSuccessor = false
  if (leader.startsLeft === 0) return [step('report', [epoch, w], withLeader(contacted, epoch, change))]
  const isKnown = !rules.knownAfterStop || haveStoppedStarting(state, epoch, rules)
  const isCounted = rules.listedRunsCounted || leader.runs[1 - w] === 0
  if (worker.running.length > 0 && isCounted) {
    Object.assign(change, {
      runs: replaceAt(leader.runs, w, worker.running[0]),
      listed: replaceAt(leader.listed, w, true),
      ranOnRestarting: leader.ranOnRestarting || w === 1,
      known: leader.known || isKnown
    })
  } else if (leader.listed[w]) Object.assign(change, withoutRun(leader, w))
  return [step('report', [epoch, w], withLeader(contacted, epoch, change))]
}

function startSteps (state: LeaseEndsState, epoch: number, w: number, { rules, permissions, bounds }: Context): Next {
  const leader = state.leaders[epoch - 1]
  const { synced, lapsed, known, startsLeft, awaitsSuccessor, ranOnRestarting } = leader
  if (leader.runs.some(Boolean) || startsLeft === 0 || !synced[w] || !haveStoppedStarting(state, epoch, rules)) return []
  if (w === 0 && !mayExtend(leader, rules)) return []
  if (w === 1 && (awaitsSuccessor || leader.incarnation !== state.workers[1].incarnation)) return []
  const settled = (synced[0] || lapsed) && synced[1] && !awaitsSuccessor
  const mayStartKnown = permissions.listedRunKnown && known && !(awaitsSuccessor && ranOnRestarting && rules.ownSuccessorAwaited)
  if (!settled && !mayStartKnown) return []
  const attempt = epoch * ATTEMPTS_PER_TERM + bounds.starts[epoch - 1] - startsLeft
  // Only a later restart that is not listed yet could let these be carried out.
  const isSettled = (start: Start): boolean => start.worker === 1 && start.epoch <= epoch && synced[1] && !awaitsSuccessor
  const leased = w === 0 ? sendLease(state, epoch) : state
  const end = w === 0 ? leased.sentEnds[epoch - 1] : 0
  const sent: LeaseEndsState = {
    ...leased,
    starts: [...state.starts.filter(start => !isSettled(start)), { epoch, worker: w, attempt, end }],
    startedByListing: state.startedByListing || !settled,
    startedByRecord: state.startedByRecord || (settled && !synced[0] && !haveLeasesPassed(state, epoch, rules))
  }
  const change = {
    runs: replaceAt(leader.runs, w, attempt), known: true, ranOnRestarting: ranOnRestarting || w === 1, startsLeft: startsLeft - 1
  }
  return [step('start', [epoch, w], withLeader(sent, epoch, change))]
}

function workerSteps (state: LeaseEndsState, bounds: LeaseEndBounds): Next {
  const next: Next = []
  for (const w of WORKERS) {
    if (state.workers[w].running.length) next.push(step('fail', [w], withWorker(state, w, { running: state.workers[w].running.slice(1) })))
  }
  if (state.workers[1].incarnation <= bounds.restarts) {
    next.push(step('restart', [], withWorker(state, 1, { incarnation: state.workers[1].incarnation + 1, newestEpoch: 0, running: [], highestAttempt: 0 })))
  }
  return next
}

/** Drops what has no effect on later steps, so that fewer states are visited. */
function canonical (state: LeaseEndsState, { rules, bounds }: Context): LeaseEndsState {
  const { epoch, version, workers } = state
  const leaders = state.leaders.map(leader => leader.status === STATUS.none ? leader : canonicalLeader(leader))
  const mayApply = (copy: Copy): boolean =>
    (copy.epoch === epoch || !rules.recordsFenced) && (copy.version === version || !rules.lateWritesRefused)
  const mayRestart = workers[1].incarnation <= bounds.restarts
  const mayArrive = (start: Start): boolean => start.epoch >= workers[start.worker].newestEpoch || (start.worker === 1 && mayRestart)
  const isUsed = ({ status, loaded, startsLeft }: Leader): boolean =>
    status === STATUS.none || !loaded || (startsLeft > 0 && !rules.countedFromSeeing)
  return {
    ...state,
    leaders,
    copies: state.copies.filter(mayApply).sort(inOrder),
    inFlightEnds: state.inFlightEnds.map((end, i) => i + 1 < workers[0].newestEpoch ? 0 : end),
    starts: state.starts.filter(mayArrive).sort(inOrder),
    seen: state.seen.map((loss, i) => isUsed(leaders[i]) ? loss : null)
  }
}

function canonicalLeader (leader: Leader): Leader {
  const { loaded, reachable, loss, mayBeStored, extensionsLeft } = leader
  const canStart = leader.startsLeft > 0
  let { status } = leader
  if (status === STATUS.mayStart && !(canStart && loaded)) status = STATUS.mayExtend
  if (status === STATUS.mayExtend && !(extensionsLeft > 0 && loaded)) status = STATUS.stopped
  if (status === STATUS.stopped) return { status } as Leader
  if (status === STATUS.mayExtend) return { status, loaded, reachable, loss, mayBeStored, extensionsLeft } as Leader
  if (canStart) return { ...leader, status }
  return { ...leader, status, runs: [0, 0], listed: [false, false], known: false, ranOnRestarting: false, lapsed: false }
}

function inOrder (a: object, b: object): number {
  return JSON.stringify(a) < JSON.stringify(b) ? -1 : 1
}

function withoutRun ({ runs, listed }: Leader, w: number): Partial<Leader> {
  return { runs: replaceAt(runs, w, 0), listed: replaceAt(listed, w, false) }
}

function step (type: string, args: number[], next: LeaseEndsState): { step: Step, next: LeaseEndsState } {
  return { step: { type, args }, next }
}

function withLeader (state: LeaseEndsState, epoch: number, change: Partial<Leader>): LeaseEndsState {
  return { ...state, leaders: replaceAt(state.leaders, epoch - 1, { ...state.leaders[epoch - 1], ...change }) }
}

function withWorker (state: LeaseEndsState, w: number, change: Partial<Worker>): LeaseEndsState {
  return { ...state, workers: replaceAt(state.workers, w, { ...state.workers[w], ...change }) }
}

function replaceAt<T> (items: T[], index: number, item: T): T[] {
  return items.map((existing, i) => i === index ? item : existing)
}
