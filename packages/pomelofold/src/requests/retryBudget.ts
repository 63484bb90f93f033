/**
 * Limit on retries in proportion to requests, so that failures do not multiply the load.
 *
 * @module
 */

/** Retries that each new request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1
/** Size of the budget: retries that may follow each other without new requests. */
const MAX_SAVED_RETRIES = 20

/** Token bucket that requests fill and retries empty. It starts full. */
export class RetryBudget {
  private _tokens = MAX_SAVED_RETRIES

  /** Adds the share of a new request. */
  earn (): void {
    this._tokens = Math.min(MAX_SAVED_RETRIES, this._tokens + RETRIES_PER_REQUEST)
  }

  /** Takes one retry from the budget. False when none is left, so the retry must not be made. */
  spend (): boolean {
    if (this._tokens < 1) return false
    this._tokens--
    return true
  }
}
