/**
 * Writes log lines without blocking the process.
 *
 * @module
 */

import { write } from 'node:fs'
import type { Timers } from '../seams/timers.js'

/** Time for which lines are buffered before they are written together, in milliseconds. */
const FLUSH_DELAY_MS = 40

/** Maximum number of buffered characters. Further lines are dropped and counted: the reader of standard output may have stalled. */
const MAX_BUFFERED_CHARS = 512_000

/** Maximum number of characters in one write. Some readers accept only a limited size at once and would lose the rest. */
const MAX_WRITE_CHARS = 4_000

/** Options of a {@link LogWriter}. */
export interface LogWriterOptions {
  timers: Timers
  /** File descriptor to write to. Defaults to standard output. */
  fd?: number
  /** Maximum number of lines per second. Further lines are dropped and counted. */
  maxLinesPerSecond?: number
}

/** Buffers lines and writes them asynchronously in the runtime's thread pool, one write at a time. */
export class LogWriter {
  private readonly _timers: Timers
  private readonly _fd: number
  private readonly _maxLinesPerSecond: number
  private _lines: string[] = []
  private _bufferedChars = 0
  private _droppedLines = 0
  private _writing = false
  private _flushScheduled = false
  private _currentSecond = { startMs: 0, lines: 0 }

  constructor ({ timers, fd = 1, maxLinesPerSecond = 3_000 }: LogWriterOptions) {
    this._timers = timers
    this._fd = fd
    this._maxLinesPerSecond = maxLinesPerSecond
  }

  /** Adds a line, which is passed without a line end. */
  write (line: string): void {
    const nowMs = this._timers.now()
    if (nowMs - this._currentSecond.startMs >= 1_000) this._currentSecond = { startMs: nowMs, lines: 0 }
    if (++this._currentSecond.lines > this._maxLinesPerSecond || this._bufferedChars > MAX_BUFFERED_CHARS) {
      this._droppedLines++
      return
    }
    this._lines.push(line)
    this._bufferedChars += line.length + 1
    if (this._flushScheduled) return
    this._flushScheduled = true
    this._timers.after(FLUSH_DELAY_MS, () => { this._flushScheduled = false; this._flush() })
  }

  /** Writes the buffered lines. Resolves when all are written, or after `timeoutMs`. */
  drain (timeoutMs: number): Promise<void> {
    const endMs = this._timers.now() + timeoutMs
    return new Promise(resolve => {
      const check = (): void => {
        this._flush()
        if ((!this._writing && this._lines.length === 0) || this._timers.now() >= endMs) return resolve()
        this._timers.after(5, check)
      }
      check()
    })
  }

  private _flush (): void {
    if (this._writing || this._lines.length === 0) return
    if (this._droppedLines) this._lines.push(`event=log.dropped lines=${this._droppedLines}`)
    this._droppedLines = 0
    let chars = 0
    let count = 0
    do chars += this._lines[count++].length + 1
    while (count < this._lines.length && chars + this._lines[count].length < MAX_WRITE_CHARS)
    const bytes = Buffer.from(`${this._lines.splice(0, count).join('\n')}\n`)
    this._bufferedChars -= chars
    this._writing = true
    this._writeBytes(bytes)
  }

  private _writeBytes (bytes: Buffer): void {
    write(this._fd, bytes, 0, bytes.length, null, (err, written) => {
      // A write error is ignored: without standard output there is no place to report it.
      if (!err && written < bytes.length) return this._writeBytes(bytes.subarray(written))
      this._writing = false
      this._flush()
    })
  }
}
