/**
 * Metrics in the text format of Prometheus. Values are read from the components on each scrape.
 *
 * @module
 */

import { collectDefaultMetrics, Gauge, Registry } from 'prom-client'
import type { ClaimFigures } from '../claims/claimKeeper.js'
import type { SchedulerFigures } from '../requests/requestFigures.js'

/** Options of {@link Metrics}. */
export interface MetricsOptions {
  vm: string
  requests: () => SchedulerFigures
  claims: () => ClaimFigures
  manifestRevision: () => number
}

/** Registers the metrics of an entry daemon and formats their current values. */
export class Metrics {
  private readonly _registry = new Registry()
  private readonly _options: MetricsOptions
  private readonly _requests: Gauge
  private readonly _waits: Gauge
  private readonly _objectives: Gauge
  private readonly _claims: Gauge
  private readonly _revision: Gauge

  constructor (options: MetricsOptions) {
    this._options = options
    this._registry.setDefaultLabels({ vm: options.vm })
    collectDefaultMetrics({ register: this._registry })
    this._requests = this._gauge('pomelofold_requests_total', 'Requests answered here', ['service', 'class', 'team', 'outcome'])
    this._waits = this._gauge('pomelofold_request_wait_ms', 'Waiting time before the first send', ['service', 'class', 'quantile'])
    this._objectives = this._gauge('pomelofold_objective_requests_total', 'Requests that met or missed the objective', ['service', 'class', 'met'])
    this._claims = this._gauge('pomelofold_claims', 'State of the claims held here', ['what'])
    this._revision = this._gauge('pomelofold_manifest_revision', 'Revision of the manifest in force here', [])
  }

  /** All metrics as text. */
  text (): Promise<string> {
    this._update()
    return this._registry.metrics()
  }

  private _update (): void {
    const { requests, waits, objectives } = this._options.requests()
    for (const { service, class: cls, team, outcome, count } of requests) this._requests.set({ service, class: cls, team, outcome }, count)
    for (const { service, class: cls, p50Ms, p99Ms, p999Ms } of waits) {
      this._waits.set({ service, class: cls, quantile: '0.5' }, p50Ms)
      this._waits.set({ service, class: cls, quantile: '0.99' }, p99Ms)
      this._waits.set({ service, class: cls, quantile: '0.999' }, p999Ms)
    }
    for (const { service, class: cls, good, bad } of objectives) {
      this._objectives.set({ service, class: cls, met: 'true' }, good)
      this._objectives.set({ service, class: cls, met: 'false' }, bad)
    }
    for (const [what, value] of Object.entries(this._options.claims())) this._claims.set({ what }, Number(value))
    this._revision.set(this._options.manifestRevision())
  }

  private _gauge (name: string, help: string, labelNames: string[]): Gauge {
    return new Gauge({ name, help, labelNames, registers: [this._registry] })
  }
}
