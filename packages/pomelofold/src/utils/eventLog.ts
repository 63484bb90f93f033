/**
 * Structured log. Each event is one line of key=value pairs.
 *
 * @module
 */

/** Log levels, lowest first. */
export const LOG_LEVELS = { debug: 'debug', info: 'info', warn: 'warn', error: 'error' } as const

/** One of {@link LOG_LEVELS}. */
export type LogLevel = keyof typeof LOG_LEVELS

/** Fields of an event. Undefined fields are omitted. Tokens and bodies must not be logged. */
export interface EventFields {
  requestId?: string
  jobId?: string
  step?: string
  peer?: string
  [field: string]: string | number | boolean | undefined
}

/** Receiver of events. */
export interface EventLog {
  /** Logs the event `name`. */
  event (level: LogLevel, name: string, fields?: EventFields): void
}

/** Event log that discards all events. */
export const SILENT_LOG: EventLog = { event () {} }

/** Maximum length of a value. Longer values are cut. */
const MAX_VALUE_CHARS = 500

/** Formats one event as a line: `event=name key=value …`. Values with spaces or quotes are written as JSON strings. */
export function formatEvent (name: string, fields: EventFields = {}): string {
  const pairs = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => {
      const text = String(value).slice(0, MAX_VALUE_CHARS)
      return `${key}=${/^[^\s"=]+$/.test(text) ? text : JSON.stringify(text)}`
    })
  return [`event=${name}`, ...pairs].join(' ')
}
