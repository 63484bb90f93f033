/**
 * Estimates the relative speed of each worker from the run times of its tasks.
 *
 * Load pattern: workers bought over many years, some of which take twice as long as others of the same kind for the
 * same work. The estimates of run times are inaccurate, by a factor that depends on the workload, and a workload may run
 * mostly on a few workers. So the logarithm of run time over estimate is fitted as the sum of an effect of the workload
 * and an effect of the worker. A worker starts with the average effect of the others of its kind.
 *
 * @module
 */

import { z } from 'zod'

/** Weight of a new observation in the effect of a worker: several runs show that it has turned slow. */
const WORKER_WEIGHT = 0.1
/** Weight of a new observation in the effect of a workload, which does not change. */
const WORKLOAD_WEIGHT = 0.02
/** Number of observed runs before the effect of a worker is used. */
const MIN_RUNS = 5
/** Limit of a single observation relative to its estimate, so that one wrong estimate does not dominate the average. */
const MAX_RATIO = 5

const effectSchema = z.object({ value: z.number(), runs: z.number() })

/** Stored effects, by name of the workload and by incarnation of the worker. */
export const workerSpeedsSchema = z.object({
  workloads: z.record(z.string(), effectSchema),
  workers: z.record(z.string(), effectSchema.extend({ service: z.string(), kind: z.string() }))
})

/** One of {@link workerSpeedsSchema}. */
export type WorkerSpeeds = z.infer<typeof workerSpeedsSchema>

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

/** Moving average of the logarithm of run time over estimate, without the other effect, and the number of observed runs. */
type Effect = z.infer<typeof effectSchema>

interface WorkerEffect extends Effect {
  service: string
  kind: string
}

/** Fits the run times of all workers. */
export class WorkerSpeedEstimator {
  private readonly _workloads = new Map<string, Effect>()
  private readonly _workers = new Map<string, WorkerEffect>()
  /** Results of `slowness` by incarnation, and of `_fastest` by service, valid until the next observation. */
  private readonly _slowness = new Map<string, number>()
  private readonly _fastestOf = new Map<string, number>()

  /** Adds the run time of a successful run. */
  noteRunTime ({ worker, workload, estimateMs, ranMs }: RunTime): void {
    if (estimateMs <= 0 || ranMs <= 0) return
    this._slowness.clear()
    this._fastestOf.clear()
    const observed = Math.log(Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ranMs / estimateMs)))
    const workloadEffect = this._workloads.get(workload) ?? { value: 0, runs: 0 }
    this._workloads.set(workload, workloadEffect)
    const workerEffect = this._workers.get(worker.incarnation) ?? this._newEffect(worker)
    this._workers.set(worker.incarnation, workerEffect)
    const residual = observed - workloadEffect.value - workerEffect.value
    const workloadWeight = weightOf(workloadEffect, WORKLOAD_WEIGHT)
    const workerWeight = weightOf(workerEffect, WORKER_WEIGHT) * (1 - workloadWeight)
    add(workloadEffect, workloadWeight * residual)
    add(workerEffect, workerWeight * residual)
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

  /** Run time over estimate of the tasks of a workload; 1 until `MIN_RUNS` runs have been observed. */
  runTimeFactor (workload: string): number {
    const effect = this._workloads.get(workload)
    return effect && effect.runs >= MIN_RUNS ? Math.exp(effect.value) : 1
  }

  /** Effects to store, of all workloads and of the workers in `incarnations`. */
  snapshot (incarnations: ReadonlySet<string>): WorkerSpeeds {
    const rounded = <T extends Effect>(effects: Iterable<[string, T]>): Record<string, T> => Object.fromEntries(
      [...effects].map(([name, effect]) => [name, { ...effect, value: Math.round(effect.value * 100) / 100 }])
    )
    return {
      workloads: rounded(this._workloads),
      workers: rounded([...this._workers].filter(([incarnation]) => incarnations.has(incarnation)))
    }
  }

  /** Starts with effects that an earlier scheduler has stored. They count as little as `MIN_RUNS` runs. */
  restore ({ workloads, workers }: WorkerSpeeds): void {
    const addMissing = <T extends Effect>(effects: Map<string, T>, stored: Record<string, T>): void => {
      for (const [name, effect] of Object.entries(stored)) {
        if (!effects.has(name)) effects.set(name, { ...effect, runs: Math.min(effect.runs, MIN_RUNS) })
      }
    }
    addMissing(this._workloads, workloads)
    addMissing(this._workers, workers)
    this._slowness.clear()
    this._fastestOf.clear()
  }

  private _newEffect (worker: MeasuredWorker): WorkerEffect {
    return { value: this._averageOfKind(worker) ?? 0, runs: 0, service: worker.entry.service, kind: kindOf(worker) }
  }

  private _knownEffect (worker: MeasuredWorker): number | undefined {
    const own = this._workers.get(worker.incarnation)
    return own && own.runs >= MIN_RUNS ? own.value : this._averageOfKind(worker)
  }

  /** Average effect of the known workers of that service and kind; undefined when there is none. */
  private _averageOfKind (worker: MeasuredWorker): number | undefined {
    const known = [...this._workers.values()].filter(effect =>
      effect.runs >= MIN_RUNS && effect.service === worker.entry.service && effect.kind === kindOf(worker))
    return known.length ? known.reduce((sum, { value }) => sum + value, 0) / known.length : undefined
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

/** Kind of a worker: its first label. */
function kindOf ({ entry }: MeasuredWorker): string {
  return entry.labels[0] ?? ''
}

/** Weight of the next observation: all observations count alike until there are many. */
function weightOf ({ runs }: Effect, minimum: number): number {
  return Math.max(minimum, 1 / (runs + 1))
}

function add (effect: Effect, value: number): void {
  effect.value += value
  effect.runs++
}
