/**
 * Weighs the crashes of workers as evidence against the tasks that ran on them.
 *
 * Load pattern: a task that crashes every worker that starts it, among ordinary crashes. A crash ends all runs of its worker, so
 * that one crash says little about one of them. A run that had just started is suspected more than one that had run for some
 * time. When many workers are lost at once, no task is the likely cause. The clearest evidence is a trial: a suspected task
 * runs on a worker where no other suspect is on trial and nothing else starts.
 *
 * @module
 */

import { UNCONFIRMED_STARTS, type CrashRecord, type UnconfirmedStart } from '../protocol/crashes.js'

/** Age of a run up to which a crash of its worker is blamed on its start, in milliseconds: covers the delay of the detection. */
export const YOUNG_RUN_MS = 400
/** Age of a run from which a crash of its worker is slight evidence against its task at most, in milliseconds. */
export const EVIDENCE_AGE_MAX_MS = 10_000
/** Shortest trial, in milliseconds. A longer one exceeds the ages of the former runs by this time, and by `TRIAL_AGE_FACTOR`. */
const TRIAL_MIN_MS = 500
const TRIAL_AGE_FACTOR = 1.25
/** Total weight from which a task is suspected, and from which it is given up. */
const SUSPECT_WEIGHT = 1
const GIVE_UP_WEIGHT = 3
/** Weight of a crash that is likely to have another cause and came some time after the start. */
export const SLIGHT_WEIGHT = 0.1
/** Number of crashes under confirmed runs, or of those that broke a start off, that a verdict needs. */
const ALIKE_CRASHES_MIN = 2
/** Number of crashes that a verdict needs otherwise, without those under starts that had timed out. */
const MIXED_CRASHES_MIN = 4
/** Number of runs that have ended with their workers from which a task is given up, even if each is doubtful, or its start unanswered. */
const GIVE_UP_RUNS = 5
/** Longest of these ages: the shortest one times `SIMILAR_AGE_FACTOR`, and this many milliseconds. */
const SIMILAR_AGE_FACTOR = 1.25
const SIMILAR_AGE_MS = 250

/** Situations of a run at the crash of its worker, with the weight of the crash when nothing else explains it, and else. */
const CRASH_WEIGHTS = {
  /** The task was on trial, and has lost a worker soon after its start before, too. */
  sameOnTrial: { unexplained: 2, doubtful: 1 },
  /** The task was on trial. */
  onTrial: { unexplained: 1, doubtful: 0.5 },
  /** The run had just started. */
  young: { unexplained: 1, doubtful: 0.5 },
  /** The run had been at work for some time. */
  settled: { unexplained: 0.5, doubtful: SLIGHT_WEIGHT }
} as const

/** One of the situations of {@link CRASH_WEIGHTS}. */
export type CrashCircumstances = keyof typeof CRASH_WEIGHTS

/** The situation of a run when its worker crashed. */
export interface CrashSituation {
  /** Age of the run, in milliseconds. */
  ageMs: number
  onTrial: boolean
  /** True when the crash is likely to have another cause. */
  doubtful: boolean
  /** What is known of a start that was not confirmed. */
  unconfirmedStart?: UnconfirmedStart
  /** True for a service: in the course of time it loses any number of workers. */
  longRunning: boolean
}

/** What the crashes of its workers say about a task. */
export const VERDICTS = { clear: 'clear', suspect: 'suspect', givenUp: 'givenUp' } as const

/** One of {@link VERDICTS}. */
export type Verdict = typeof VERDICTS[keyof typeof VERDICTS]

/** Weight of a crash as evidence against the task of one of the worker's runs; 0 for none. */
export function crashWeight (earlier: CrashRecord[], { ageMs, onTrial, doubtful, unconfirmedStart, longRunning }: CrashSituation): number {
  if (ageMs > EVIDENCE_AGE_MAX_MS && !onTrial) return longRunning ? 0 : SLIGHT_WEIGHT
  const young = ageMs <= YOUNG_RUN_MS
  const same = young && earlier.some(crash => crash.ageMs <= YOUNG_RUN_MS)
  // A start on trial that may not have been carried out is no proof. Before that, it is reason enough for a trial.
  const isStartDoubtful = unconfirmedStart === UNCONFIRMED_STARTS.unanswered || (onTrial && unconfirmedStart === UNCONFIRMED_STARTS.unknown)
  return weightOf(onTrial ? same ? 'sameOnTrial' : 'onTrial' : young ? 'young' : 'settled', { doubtful: doubtful || isStartDoubtful })
}

/** Weight of a crash in these circumstances. */
export function weightOf (circumstances: CrashCircumstances, { doubtful }: { doubtful: boolean }): number {
  return CRASH_WEIGHTS[circumstances][doubtful ? 'doubtful' : 'unexplained']
}

/** Verdict on a task after these crashes. */
export function judge (crashes: CrashRecord[]): Verdict {
  const weight = crashes.reduce((sum, crash) => sum + crash.weight, 0)
  if ((weight >= GIVE_UP_WEIGHT && areConclusive(crashes)) || runsOfSimilarAge(crashes) >= GIVE_UP_RUNS) return VERDICTS.givenUp
  return weight >= SUSPECT_WEIGHT ? VERDICTS.suspect : VERDICTS.clear
}

/**
 * True when there are enough crashes for a verdict, though some starts may not have been carried out. A task that crashes its worker
 * before the answer breaks each start off: one that broke off beside a confirmed one was probably not carried out.
 */
function areConclusive (crashes: CrashRecord[]): boolean {
  const confirmed = crashes.filter(({ unconfirmedStart }) => unconfirmedStart === undefined)
  const broken = crashes.filter(({ unconfirmedStart }) => unconfirmedStart === UNCONFIRMED_STARTS.broken)
  const withoutTimeouts = crashes.filter(({ unconfirmedStart }) => unconfirmedStart !== UNCONFIRMED_STARTS.unanswered)
  return Math.max(countRuns(confirmed), countRuns(broken)) >= ALIKE_CRASHES_MIN ||
    countRuns(withoutTimeouts) >= MIXED_CRASHES_MIN || countRuns(crashes) >= GIVE_UP_RUNS
}

/** Number of different runs: the next incarnation of a worker may crash under a late copy of a start that counts already. */
function countRuns (crashes: CrashRecord[]): number {
  return new Set(crashes.map(({ attempt, worker, atMs }) => attempt ?? `${worker} ${atMs}`)).size
}

/** Largest number of runs that have ended with their workers at similar ages. */
function runsOfSimilarAge (crashes: CrashRecord[]): number {
  const counts = crashes.map(({ ageMs: shortestMs }) => {
    const similar = crashes.filter(({ ageMs }) => ageMs >= shortestMs && ageMs <= SIMILAR_AGE_FACTOR * shortestMs + SIMILAR_AGE_MS)
    return new Set(similar.flatMap(({ attempt }) => attempt ?? [])).size
  })
  return Math.max(0, ...counts)
}

/** Time for which a suspected task has to run on trial until it is cleared, in milliseconds. */
export function trialMs (crashes: CrashRecord[]): number {
  const ages = crashes.filter(({ weight }) => weight > SLIGHT_WEIGHT).map(({ ageMs }) => ageMs)
  return TRIAL_MIN_MS + TRIAL_AGE_FACTOR * Math.max(0, ...ages)
}

/** Describes the crashes for the caller whose job is given up. */
export function describeCrashes (crashes: CrashRecord[]): string {
  return crashes.map(({ worker, atMs, ageMs, unconfirmedStart }) => {
    const start = unconfirmedStart === undefined ? 'start' : 'start, which was not confirmed'
    return `${worker} at ${new Date(atMs).toISOString()}, noticed ${Math.round(ageMs)} ms after the ${start}`
  }).join('; ')
}
