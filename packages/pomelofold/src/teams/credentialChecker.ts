/**
 * Checks the keys of requests against the active configuration.
 *
 * @module
 */

import { checkCredential, REFUSAL_CAUSES, type CredentialBounds, type CredentialDecision } from './credentials.js'
import type { CellConfig } from '../seams/workflowUpstreams.js'

/** Active configuration, as far as credentials depend on it. */
export interface ConfigurationSource {
  readonly config: CellConfig | undefined
  readonly proofAgeMs: number
  /** Asks the store at once for a new proof. Undefined while the store is known not to answer. */
  renewFromStore (): Promise<void> | undefined
}

/** A request's key, and whether its queue requires one. */
export interface PresentedCredential {
  keyHash: string | undefined
  open: boolean
}

/** Checks keys. A check that fails for want of a recent proof is repeated once the store has answered, if it may answer. */
export class CredentialChecker {
  private readonly _configuration: ConfigurationSource
  private readonly _bounds: CredentialBounds

  constructor ({ configuration, bounds }: { configuration: ConfigurationSource, bounds: CredentialBounds }) {
    this._configuration = configuration
    this._bounds = bounds
  }

  /** Age of the proof of the active configuration, in milliseconds. */
  get proofAgeMs (): number {
    return this._configuration.proofAgeMs
  }

  /** Decides at this moment. */
  decide ({ keyHash, open }: PresentedCredential): CredentialDecision {
    const { config, proofAgeMs } = this._configuration
    return checkCredential({ keyHash, open, teams: config?.teams, proofAgeMs, bounds: this._bounds })
  }

  /** Decides at this moment, or after the store's answer: a process that was paused needs one call to serve again. */
  async check (credential: PresentedCredential): Promise<CredentialDecision> {
    const decision = this.decide(credential)
    if (decision.refusal !== REFUSAL_CAUSES.notProvable) return decision
    const renewal = this._configuration.renewFromStore()
    if (!renewal) return decision
    await renewal
    return this.decide(credential)
  }
}
