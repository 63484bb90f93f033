/**
 * Specification of a team's cap under two leaders, one after the other: two workers, tasks of one size without a limit of their
 * number, and a cap that is lowered and raised. The first leader may be replaced at any time. A start may be carried out at any later
 * time: also after the lease of its worker has ended, by the next incarnation. It assumes what `termsSpec.ts` shows: a
 * replaced leader sends nothing new, a worker that has listed its runs to the second leader carries out no start of the first, and
 * the second leader starts nothing at a worker before it has listed its runs.
 *
 * @module
 */

import type { Spec, Step } from './walk.js'

/** What counts for the team. Tests leave out one kind at a time to show that it is needed. */
export const COUNTED = {
  /** Runs that were listed, until their end is. */
  running: true,
  /** Runs that have been told to stop, until their end is listed. */
  stopping: true,
  /** Starts without an answer. */
  unanswered: true,
  /** Runs at a silent worker, until its lease has ended. */
  silent: true,
  /** Starts that a later incarnation of their worker may carry out, after the run was given up. */
  lateStarts: true,
  /** Runs of the earlier leader that a worker has listed. */
  adopted: true,
  /** What may run at workers that have not listed their runs to this leader. */
  unlisted: true
}

/** Kinds that count. */
export type Counted = typeof COUNTED

/** What a leader knows of the team's runs at a worker. */
interface View {
  listed: boolean
  running: number
  adopted: number
  stopping: number
  unanswered: number
  late: number
  /** The worker does not answer. */
  silent: boolean
}

interface Worker {
  running: number
  /** The lease has ended since a leader last reached the worker. */
  lapsed: boolean
}

/** State of the specification. `above` is set by a start that may bring the team above its cap. */
export interface CapsState {
  epoch: number
  cap: number
  capChanges: number
  views: View[]
  workers: Worker[]
  /** Starts in flight, by worker. */
  inFlight: number[]
  startsLeft: number
  above: boolean
}

type Next = Array<{ step: Step, next: CapsState }>

const WORKERS = [0, 1]
/** Number of tasks for which a worker has room. */
const ROOM = 2
const CAPS = [2, 1, 2]
const MAX_STARTS = 4

/** Creates the specification. */
export function capsSpec (counted: Counted): Spec<CapsState> {
  const view: View = { listed: true, running: 0, adopted: 0, stopping: 0, unanswered: 0, late: 0, silent: false }
  return {
    initial: {
      epoch: 1,
      cap: CAPS[0],
      capChanges: 0,
      views: WORKERS.map(() => view),
      workers: WORKERS.map(() => ({ running: 0, lapsed: false })),
      inFlight: [0, 0],
      startsLeft: MAX_STARTS,
      above: false
    },
    steps: state => [
      ...capSteps(state),
      ...electSteps(state),
      ...WORKERS.flatMap(w => [...leaderSteps(state, w, counted), ...workerSteps(state, w)])
    ],
    violated: { withinCap: ({ above }) => above }
  }
}

function capSteps (state: CapsState): Next {
  const cap = CAPS[state.capChanges + 1]
  return cap === undefined ? [] : [step('setCap', [cap], { ...state, cap, capChanges: state.capChanges + 1 })]
}

function electSteps (state: CapsState): Next {
  if (state.epoch === 2) return []
  const views = state.views.map(() => ({ listed: false, running: 0, adopted: 0, stopping: 0, unanswered: 0, late: 0, silent: false }))
  return [step('elect', [], { ...state, epoch: 2, views })]
}

/** What the leader counts for the team. */
function used ({ views }: CapsState, counted: Counted): number {
  let sum = 0
  for (const { listed, running, adopted, stopping, unanswered, late, silent } of views) {
    if (!listed && counted.unlisted) sum += ROOM
    if (silent && !counted.silent) continue
    if (counted.running) sum += running
    if (counted.adopted) sum += adopted
    if (counted.stopping) sum += stopping
    if (counted.unanswered) sum += unanswered
    if (counted.lateStarts) sum += late
  }
  return sum
}

function leaderSteps (state: CapsState, w: number, counted: Counted): Next {
  const view = state.views[w]
  const worker = state.workers[w]
  const occupied = view.running + view.adopted + view.stopping + view.unanswered + view.late
  const next: Next = []
  const change = (change: Partial<View>): CapsState => ({ ...state, views: replaceAt(state.views, w, { ...view, ...change }) })
  if (view.listed && !view.silent && state.startsLeft > 0 && occupied < ROOM && used(state, counted) < state.cap) {
    const sent = change({ unanswered: view.unanswered + 1 })
    const inFlight = replaceAt(state.inFlight, w, state.inFlight[w] + 1)
    const mayRun = state.workers.reduce((sum, { running }) => sum + running, 0) + inFlight.reduce((sum, count) => sum + count, 0)
    next.push(step('start', [w], { ...sent, startsLeft: state.startsLeft - 1, inFlight, above: mayRun > state.cap }))
  }
  if (!view.silent) next.push(step('fallSilent', [w], change({ silent: true })))
  // A report lists the runs of the worker, and settles starts that were carried out. Those of a replaced leader are refused from then on.
  const inFlight = view.listed ? state.inFlight[w] : 0
  const report: Partial<View> = {
    listed: true,
    silent: false,
    unanswered: Math.min(view.unanswered, inFlight),
    late: Math.min(view.late, inFlight),
    stopping: Math.min(view.stopping, worker.running),
    adopted: view.listed ? Math.min(view.adopted, worker.running - Math.min(view.stopping, worker.running)) : worker.running
  }
  report.running = view.listed ? worker.running - report.stopping! - report.adopted! : 0
  const workers = replaceAt(state.workers, w, { ...worker, lapsed: false })
  next.push(step('report', [w], { ...change(report), inFlight: replaceAt(state.inFlight, w, inFlight), workers }))
  const stopped = view.running > 0 ? { running: view.running - 1 } : view.adopted > 0 ? { adopted: view.adopted - 1 } : undefined
  if (view.listed && stopped) next.push(step('stop', [w], change({ ...stopped, stopping: view.stopping + 1 })))
  if (view.silent && worker.lapsed) {
    // Starts that may reach the next incarnation go on counting when the runs at this one are given up.
    const late = view.late + view.unanswered
    const gone = { listed: true, running: 0, adopted: 0, stopping: 0, unanswered: 0 }
    next.push(step('giveUp', [w], change({ ...gone, late: view.listed ? late : ROOM })))
  }
  return next
}

function workerSteps (state: CapsState, w: number): Next {
  const worker = state.workers[w]
  const next: Next = []
  const change = (change: Partial<Worker>): CapsState => ({ ...state, workers: replaceAt(state.workers, w, { ...worker, ...change }) })
  if (state.inFlight[w] > 0 && worker.running < ROOM) {
    const arrived = change({ running: worker.running + 1, lapsed: false })
    next.push(step('arrive', [w], { ...arrived, inFlight: replaceAt(state.inFlight, w, state.inFlight[w] - 1) }))
  }
  if (worker.running > 0) next.push(step('finish', [w], change({ running: worker.running - 1 })))
  if (state.views[w].silent && !worker.lapsed) next.push(step('lapse', [w], change({ running: 0, lapsed: true })))
  return next
}

function step (type: string, args: number[], next: CapsState): { step: Step, next: CapsState } {
  return { step: { type, args }, next }
}

function replaceAt<T> (items: T[], index: number, item: T): T[] {
  return items.map((existing, i) => i === index ? item : existing)
}
