/**
 * Structured log: one line of key=value pairs for each event.
 *
 * @module
 */

/** Levels, least first. */
export const LOG_LEVELS = { debug: 'debug', info: 'info', warn: 'warn', error: 'error' } as const

/** One of {@link LOG_LEVELS}. */
export type LogLevel = keyof typeof LOG_LEVELS

/** Fields of an event. Undefined fields are left out. Never put tokens or bodies here. */
export interface EventFields {
  requestId?: string
  jobId?: string
  step?: string
  peer?: string
  [field: string]: string | number | boolean | undefined
}

/** Sink of events. */
export interface EventLog {
  event (level: LogLevel, name: string, fields?: EventFields): void
}

/** Discards events. */
export const SILENT_LOG: EventLog = { event () {} }

/** Longest value written. */
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
