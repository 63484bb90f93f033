/**
 * Errors of calls between processes.
 *
 * @module
 */

/** Whether a failed call can have had an effect at the peer. */
export const EFFECTS = {
  /** The call has had no effect, and will not have one later. */
  none: 'none',
  /** The call may have taken effect, or may do so later. */
  unknown: 'unknown'
} as const

/** One of {@link EFFECTS}. */
export type Effect = typeof EFFECTS[keyof typeof EFFECTS]

/** Options of a {@link CallError}. */
export interface CallErrorOptions {
  /** Name of the call, such as `platform.txn`. */
  step: string
  /** Address or VM name of the peer. */
  peer: string
  effect: Effect
  /** What the reader of the message can do about the error. */
  hint?: string
  cause?: unknown
}

/** A call to another process has failed. */
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

/** A part of an answer. */
export interface PartialAnswer {
  receivedBytes: number
  /** Size of the whole body; undefined when the answer does not state it. */
  totalBytes: number | undefined
}

/** A call was not answered by its deadline, or not completely. */
export class CallTimeoutError extends CallError {
  /** What had arrived of the answer; undefined when nothing had, or when it is not known. */
  readonly partial: PartialAnswer | undefined

  constructor (timeoutMs: number, { partial, ...options }: CallErrorOptions & { partial?: PartialAnswer }) {
    super(partial ? `${partial.receivedBytes} of ${partial.totalBytes ?? 'unknown'} bytes within ${timeoutMs} ms` : `no answer within ${timeoutMs} ms`, options)
    this.name = 'CallTimeoutError'
    this.partial = partial
  }
}

/** True when nothing listens at the peer's address: the call was not sent, and the peer's process has ended. */
export function isConnectionRefused (err: CallError): boolean {
  return err.effect === EFFECTS.none && err.message.includes('ECONNREFUSED')
}

/** Returns the message of anything that was thrown. */
export function errorText (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}
