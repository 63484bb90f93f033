/**
 * Learns how fast workers of each kind are.
 *
 * Load pattern: workers bought over many years, of which some take twice as long as others for the same
 * work, with run time estimates that are rough but equally so on all of them.
 *
 * @module
 */

/** Weight of a new observation. */
const OBSERVATION_WEIGHT = 0.05
/** Runs of a kind before its speed is used. */
const MIN_RUNS = 5
/** Bounds of one observation, so that one wrong estimate does not decide. */
const MIN_RATIO = 0.2
const MAX_RATIO = 5

interface WorkerKindSpeed {
  ratio: number
  runs: number
}

/** Ratio of run time to estimate by kind of worker. */
export class WorkerSpeedEstimator {
  private readonly _kinds = new Map<string, WorkerKindSpeed>()

  /** Notes a run that ended well. The first label is the worker's kind. */
  noteRunTime ({ labels, estimateMs, ranMs }: { labels: string[], estimateMs: number, ranMs: number }): void {
    if (estimateMs <= 0 || labels.length === 0) return
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ranMs / estimateMs))
    const kind = this._kinds.get(labels[0])
    if (!kind) {
      this._kinds.set(labels[0], { ratio, runs: 1 })
      return
    }
    kind.runs++
    kind.ratio += Math.max(OBSERVATION_WEIGHT, 1 / kind.runs) * (ratio - kind.ratio)
  }

  /** Run time relative to the quickest kind; 1 while too little is known. */
  slowness (labels: string[]): number {
    const kind = this._kinds.get(labels[0])
    if (!kind || kind.runs < MIN_RUNS) return 1
    let quickest = Number.POSITIVE_INFINITY
    for (const { ratio, runs } of this._kinds.values()) if (runs >= MIN_RUNS) quickest = Math.min(quickest, ratio)
    return kind.ratio / quickest
  }
}
