/**
 * Peak of the resident memory and of the open descriptors of a process.
 *
 * @module
 */

import { readdirSync, readFileSync, readlinkSync } from 'node:fs'
import { setTimeout } from 'node:timers/promises'

/** Fields of `/proc/PID/stat` after the name of the program. */
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12
/** Window in which an idle process uses at most this much processor time, and longest wait for one. */
const IDLE_WINDOW_MS = 500
const MAX_IDLE_TICKS = 10
const MAX_BUSY_MS = 10_000
const SAMPLE_PERIOD_MS = 50
const KB_PER_MB = 1_000

/** Samples a process until {@link close}. The figures stay when the process ends. */
export class ProcessWatch {
  /** Highest resident memory so far, in MB. */
  peakMb = 0
  /** Highest number of open descriptors seen, and of those that are sockets. */
  peakFds = 0
  peakSockets = 0
  private readonly _pid: number
  private readonly _timer: NodeJS.Timeout

  constructor ({ pid }: { pid: number }) {
    this._pid = pid
    this._timer = setInterval(() => this.sample(), SAMPLE_PERIOD_MS)
  }

  sample (): void {
    try {
      const peakKb = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${this._pid}/status`, 'utf8'))
      if (peakKb) this.peakMb = Math.max(this.peakMb, Math.round(Number(peakKb[1]) / KB_PER_MB))
      const fds = readdirSync(`/proc/${this._pid}/fd`)
      this.peakFds = Math.max(this.peakFds, fds.length)
      this.peakSockets = Math.max(this.peakSockets, fds.filter(fd => this._isSocket(fd)).length)
    } catch {
      // The process has ended.
    }
  }

  /** Waits until the process has handled what it has received: until it uses little processor time, or has ended. */
  async untilIdle (): Promise<void> {
    const endMs = performance.now() + MAX_BUSY_MS
    let used = this._usedTicks()
    while (performance.now() < endMs) {
      await setTimeout(IDLE_WINDOW_MS)
      const now = this._usedTicks()
      if (now - used <= MAX_IDLE_TICKS) return
      used = now
    }
  }

  close (): void {
    clearInterval(this._timer)
  }

  /** Processor time so far, in hundredths of a second; 0 once the process has ended. */
  private _usedTicks (): number {
    try {
      // Fields are separated by spaces; the second one, in parentheses, may contain some.
      const fields = readFileSync(`/proc/${this._pid}/stat`, 'utf8').split(') ')[1].split(' ')
      return Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD])
    } catch {
      return 0
    }
  }

  private _isSocket (fd: string): boolean {
    try {
      return readlinkSync(`/proc/${this._pid}/fd/${fd}`).startsWith('socket:')
    } catch {
      return false
    }
  }
}
