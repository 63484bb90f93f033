/**
 * Errors that carry the step and the peer at which they arose.
 *
 * @module
 */

/** Whether a failed call can have had an effect at the other side. */
export const EFFECTS = {
  /** No byte of the call reached the other side, now or later. */
  none: 'none',
  /** The call may have taken effect, or may still. */
  unknown: 'unknown'
} as const

/** One of {@link EFFECTS}. */
export type Effect = typeof EFFECTS[keyof typeof EFFECTS]

/** Options of a {@link CallError}. */
export interface CallErrorOptions {
  /** What was tried, such as `platform.txn`. */
  step: string
  /** Against what: an address or a VM's name. */
  peer: string
  effect: Effect
  /** What the reader should do, when something can be done. */
  hint?: string
  cause?: unknown
}

/** A call to another process that failed. */
export class CallError extends Error {
  readonly step: string
  readonly peer: string
  readonly effect: Effect
  readonly hint: string | undefined

  constructor (message: string, { step, peer, effect, hint, cause }: CallErrorOptions) {
    super(`${step} at ${peer}: ${message}${hint ? `; ${hint}` : ''}`, { cause })
    this.name = 'CallError'
    this.step = step
    this.peer = peer
    this.effect = effect
    this.hint = hint
  }
}

/** A call that was not answered by its deadline. */
export class CallTimeoutError extends CallError {
  constructor (timeoutMs: number, options: CallErrorOptions) {
    super(`no answer within ${timeoutMs} ms`, options)
    this.name = 'CallTimeoutError'
  }
}

/** True when nothing listens at the peer's address: the call was not sent, and the process that listened there has ended. */
export function isConnectionRefused (err: CallError): boolean {
  return err.effect === EFFECTS.none && err.message.includes('ECONNREFUSED')
}

/** The text of anything thrown. */
export function errorText (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}
