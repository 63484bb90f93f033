/**
 * History of a job, for operators.
 *
 * @module
 */

/** Most events kept for one job: the first ones and the latest ones. */
const MAX_EVENTS = 40
const FIRST_EVENTS_KEPT = 10

/** An event in the history of a job. */
export interface JobEvent {
  /** Wall-clock time in milliseconds. */
  atMs: number
  text: string
}

/** Bounded list of events. When it is full, it drops events from the middle. An event with the same text as the last one is not added. */
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

  /** Returns the events, oldest first, and the number of dropped ones. */
  read (): { events: JobEvent[], dropped: number } {
    return { events: [...this._events], dropped: this._dropped }
  }
}
