/**
 * The configuration that is active at this daemon, and the proof of how recently it was the newest one.
 *
 * @module
 */

import type { Result } from 'true-myth/result'
import { elapsedMsSince, type ClockReading } from '../seams/clockReading.js'
import type { Timers } from '../seams/timers.js'
import type { CellConfig } from '../seams/workflowUpstreams.js'
import type { EventLog } from '../utils/eventLog.js'

/** A version of the configuration. */
export interface ConfigurationVersion {
  config: CellConfig
  /** Text for peers, from which `decode` restores the version. It contains no keys. */
  encode: () => string
}

/** Options of an {@link ActiveConfiguration}. */
export interface ActiveConfigurationOptions {
  timers: Timers
  log: EventLog
  /** Restores a version from the text of a peer. */
  decode: (text: string) => Result<ConfigurationVersion, string>
  /** Reads the configuration from the store and notes it. Undefined while the store is known not to answer. */
  readStore: () => Promise<void> | undefined
  /** Age of the proof from which peers are asked for theirs, in milliseconds: more than a working watch of the store lets it reach. */
  renewAfterMs: number
  /** Age of the proof from which requests are refused for want of it, in milliseconds. */
  lostAfterMs: number
}

/**
 * Holds the newest known version. The proof is the time at which the call was sent whose answer showed that the version is
 * the newest: from the store, or from a peer that has such a proof. It counts by both clocks, and not at all while they disagree.
 */
export class ActiveConfiguration {
  readonly options: ActiveConfigurationOptions
  private _active: ConfigurationVersion | undefined
  private _provenAt: ClockReading | undefined

  constructor (options: ActiveConfigurationOptions) {
    this.options = options
  }

  /** The active configuration. Undefined until one has been read. */
  get config (): CellConfig | undefined {
    return this._active?.config
  }

  /** Time since the active version was known to be the newest, in milliseconds; infinite without a proof. */
  get proofAgeMs (): number {
    return this._provenAt === undefined ? Number.POSITIVE_INFINITY : elapsedMsSince(this.options.timers, this._provenAt)
  }

  /** Text of the active version for peers. */
  encode (): string | undefined {
    return this._active?.encode()
  }

  /** Asks the store at once for a new proof. Undefined while the store is known not to answer. */
  renewFromStore (): Promise<void> | undefined {
    return this.options.readStore()
  }

  /**
   * Notes a version, which was the newest at `provenAt` or later; undefined when that is not known. An older version than the
   * active one is ignored: its proof says nothing about the active one.
   */
  note (version: ConfigurationVersion, provenAt: ClockReading | undefined, fields: { source: string, revision?: number }): void {
    const current = this._active?.config.version ?? Number.NEGATIVE_INFINITY
    const { config } = version
    if (config.version > current) {
      this._active = version
      this.options.log.event('info', 'configuration.applied', {
        version: config.version, routes: config.routes.length, teams: config.teams?.byName.size, ...fields
      })
    }
    if (provenAt) this.noteProof(config.version, provenAt)
  }

  /** Notes that a version was the newest at `provenAt` or later. The more recent of two proofs counts, also for a newer version. */
  noteProof (version: number, provenAt: ClockReading): void {
    if (version !== this._active?.config.version) return
    if (elapsedMsSince(this.options.timers, provenAt) < this.proofAgeMs) this._provenAt = provenAt
  }
}
