/**
 * Estimates the relative speed of each worker from the run times of its tasks.
 *
 * Load pattern: workers bought over many years, some of which take twice as long as others of the same kind for the
 * same work. The estimates of run times are inaccurate, by a factor that depends on the workload, and a workload may run
 * mostly on a few workers. So the logarithm of run time over estimate is fitted as the sum of an effect of the workload
 * and an effect of the worker. A worker starts with the effect of its kind.
 *
 * @module
 */

/** Weight of a new observation in the effect of a worker: several runs show that it has turned slow. */
const WORKER_WEIGHT = 0.1
/** Weight of a new observation in the effect of a workload or a kind, which do not change. */
const GROUP_WEIGHT = 0.02
/** Number of observed runs before the effect of a worker or a kind is used. */
const MIN_RUNS = 5
/** Limit of a single observation relative to its estimate, so that one wrong estimate does not dominate the average. */
const MAX_RATIO = 5

/** The part of a worker that the estimator reads. */
export interface MeasuredWorker {
  incarnation: string
  entry: { service: string, labels: string[] }
}

/** Run time of one task. */
export interface RunTime {
  worker: MeasuredWorker
  /** Name of the queue: the error of the estimates is similar for its tasks. */
  workload: string
  estimateMs: number
  ranMs: number
}

/** Moving average of the logarithm of run time over estimate, without the other effects. */
interface Effect {
  value: number
  runs: number
}

/** Fits the run times of all workers. */
export class WorkerSpeedEstimator {
  private readonly _workloads = new Map<string, Effect>()
  private readonly _kinds = new Map<string, Effect>()
  private readonly _workers = new Map<string, Effect & { service: string }>()
  /** Results of `slowness` by incarnation, and of `_fastest` by service, valid until the next observation. */
  private readonly _slowness = new Map<string, number>()
  private readonly _fastestOf = new Map<string, number>()

  /** Adds the run time of a successful run. */
  noteRunTime ({ worker, workload, estimateMs, ranMs }: RunTime): void {
    if (estimateMs <= 0 || ranMs <= 0) return
    this._slowness.clear()
    this._fastestOf.clear()
    const observed = Math.log(Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ranMs / estimateMs)))
    const workloadEffect = effectIn(this._workloads, workload)
    const kindEffect = effectIn(this._kinds, kindOf(worker))
    const workerEffect = this._workers.get(worker.incarnation) ?? { value: kindEffect.value, runs: 0, service: worker.entry.service }
    this._workers.set(worker.incarnation, workerEffect)
    const residual = observed - workloadEffect.value - workerEffect.value
    const workloadWeight = weightOf(workloadEffect, GROUP_WEIGHT)
    const workerWeight = weightOf(workerEffect, WORKER_WEIGHT) * (1 - workloadWeight)
    add(workloadEffect, workloadWeight * residual)
    add(workerEffect, workerWeight * residual)
    add(kindEffect, weightOf(kindEffect, GROUP_WEIGHT) * (workerEffect.value - kindEffect.value))
  }

  /** Run time relative to the fastest worker of the service; 1 until `MIN_RUNS` runs of the worker or of its kind have been observed. */
  slowness (worker: MeasuredWorker): number {
    let slowness = this._slowness.get(worker.incarnation)
    if (slowness === undefined) {
      const effect = this._knownEffect(worker)
      slowness = effect === undefined ? 1 : Math.max(1, Math.exp(effect - this._fastest(worker.entry.service)))
      this._slowness.set(worker.incarnation, slowness)
    }
    return slowness
  }

  private _knownEffect (worker: MeasuredWorker): number | undefined {
    const own = this._workers.get(worker.incarnation)
    if (own && own.runs >= MIN_RUNS) return own.value
    const kind = this._kinds.get(kindOf(worker))
    return kind && kind.runs >= MIN_RUNS ? kind.value : undefined
  }

  /** Lowest effect of the service's workers; 0 when there is none. */
  private _fastest (service: string): number {
    let fastest = this._fastestOf.get(service)
    if (fastest === undefined) {
      const effects = [...this._workers.values()].filter(effect => effect.service === service && effect.runs >= MIN_RUNS)
      fastest = effects.length ? Math.min(...effects.map(({ value }) => value)) : 0
      this._fastestOf.set(service, fastest)
    }
    return fastest
  }
}

/** Service and kind of a worker. The kind is its first label. */
function kindOf ({ entry }: MeasuredWorker): string {
  return `${entry.service}/${entry.labels[0] ?? ''}`
}

function effectIn (effects: Map<string, Effect>, key: string): Effect {
  const effect = effects.get(key) ?? { value: 0, runs: 0 }
  effects.set(key, effect)
  return effect
}

/** Weight of the next observation: all observations count alike until there are many. */
function weightOf ({ runs }: Effect, minimum: number): number {
  return Math.max(minimum, 1 / (runs + 1))
}

function add (effect: Effect, value: number): void {
  effect.value += value
  effect.runs++
}
