/**
 * Bound on retries in proportion to requests.
 *
 * @module
 */

/** Retries earned by each request. */
const RETRIES_PER_REQUEST = 0.1
/** Most retries that may be saved up. */
const MAX_SAVED_RETRIES = 20

/** A token bucket filled by requests and emptied by retries. */
export class RetryBudget {
  private _tokens = MAX_SAVED_RETRIES

  /** Counts a new request. */
  earn (): void {
    this._tokens = Math.min(MAX_SAVED_RETRIES, this._tokens + RETRIES_PER_REQUEST)
  }

  /** Takes one retry out of the budget. False when there is none. */
  spend (): boolean {
    if (this._tokens < 1) return false
    this._tokens--
    return true
  }
}
