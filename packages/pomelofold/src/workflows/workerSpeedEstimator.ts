/**
 * Estimates the relative speed of each kind of worker from the run times of finished tasks.
 *
 * Load pattern: workers bought over many years, some of which take twice as long as others for the same work.
 * The estimates of run times are inaccurate, but by the same factor on all workers.
 *
 * @module
 */

/** Minimum weight of a new observation in the moving average. */
const OBSERVATION_WEIGHT = 0.05
/** Number of observed runs before the speed of a kind is used. */
const MIN_RUNS = 5
/** Limits of a single observation, so that one wrong estimate does not dominate the average. */
const MIN_RATIO = 0.2
const MAX_RATIO = 5

interface WorkerKindSpeed {
  /** Moving average of the ratio of run time to estimate. */
  ratio: number
  runs: number
}

/** Averages the ratio of run time to estimated run time for each kind of worker. */
export class WorkerSpeedEstimator {
  private readonly _kinds = new Map<string, WorkerKindSpeed>()
  /** Results of `slowness` by kind, valid until the next observation. */
  private readonly _slowness = new Map<string, number>()

  /** Adds the run time of a successful run. The worker's kind is its first label. */
  noteRunTime ({ labels, estimateMs, ranMs }: { labels: string[], estimateMs: number, ranMs: number }): void {
    if (estimateMs <= 0 || labels.length === 0) return
    this._slowness.clear()
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, ranMs / estimateMs))
    const kind = this._kinds.get(labels[0])
    if (!kind) {
      this._kinds.set(labels[0], { ratio, runs: 1 })
      return
    }
    kind.runs++
    kind.ratio += Math.max(OBSERVATION_WEIGHT, 1 / kind.runs) * (ratio - kind.ratio)
  }

  /** Run time relative to the fastest kind of worker; 1 until MIN_RUNS runs of the worker's kind have been observed. */
  slowness (labels: string[]): number {
    let slowness = this._slowness.get(labels[0])
    if (slowness === undefined) {
      slowness = this._slownessOf(this._kinds.get(labels[0]))
      this._slowness.set(labels[0], slowness)
    }
    return slowness
  }

  private _slownessOf (kind: WorkerKindSpeed | undefined): number {
    if (!kind || kind.runs < MIN_RUNS) return 1
    let fastestRatio = Number.POSITIVE_INFINITY
    for (const { ratio, runs } of this._kinds.values()) if (runs >= MIN_RUNS) fastestRatio = Math.min(fastestRatio, ratio)
    return kind.ratio / fastestRatio
  }
}
