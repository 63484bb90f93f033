/**
 * Event log on standard output.
 *
 * @module
 */

import log from 'loglevel'
import { formatEvent, type EventFields, type EventLog, type LogLevel } from '../utils/eventLog.js'

/** Options of an {@link EventLogger}. */
export interface EventLoggerOptions {
  /** Name of this VM, which is part of each line. */
  vm: string
  /** Lowest level that is written. */
  level?: log.LogLevelDesc
  /** Writes a line, which is passed without a line end. Defaults to standard output. */
  write?: (line: string) => void
}

/** {@link EventLog} that writes one line of key=value pairs for each event: `time=… level=… vm=… event=… …`. */
export class EventLogger implements EventLog {
  private readonly _log: log.Logger

  constructor ({ vm, level = 'info', write = line => { process.stdout.write(`${line}\n`) } }: EventLoggerOptions) {
    this._log = log.getLogger(Symbol(vm))
    this._log.methodFactory = methodName => (line: string) => {
      write(`time=${new Date().toISOString()} level=${methodName} vm=${vm} ${line}`)
    }
    this._log.setLevel(level, false)
  }

  event (level: LogLevel, name: string, fields: EventFields = {}): void {
    this._log[level](formatEvent(name, fields))
  }
}
