/**
 * Events in the life of a job, for operators.
 *
 * @module
 */

/** Most events kept of one job. The first ones are kept, and the latest. */
const MAX_EVENTS = 40
const FIRST_EVENTS_KEPT = 10

/** An event. */
export interface JobEvent {
  /** Wall-clock time in milliseconds. */
  atMs: number
  text: string
}

/** Bounded list of events. */
export class JobHistory {
  private readonly _events: JobEvent[] = []
  private _dropped = 0

  add (atMs: number, text: string): void {
    if (this._events.at(-1)?.text === text) return
    this._events.push({ atMs, text })
    if (this._events.length <= MAX_EVENTS) return
    this._events.splice(FIRST_EVENTS_KEPT, 1)
    this._dropped++
  }

  /** Events, oldest first, and how many were dropped. */
  read (): { events: JobEvent[], dropped: number } {
    return { events: [...this._events], dropped: this._dropped }
  }
}
