/**
 * The platform's list of VMs, read at a period. While the platform cannot be reached the last list counts.
 *
 * @module
 */

import type { EventLog } from '../utils/eventLog.js'
import type { VmRecord } from '../protocol/vms.js'
import type { PlatformClient } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'

/** Options of a {@link VmDirectory}. */
export interface VmDirectoryOptions {
  timers: Timers
  platform: PlatformClient
  log: EventLog
  periodMs: number
  /** Called with each list that was read. */
  onList: (vms: VmRecord[]) => void
}

/** Reads the list of VMs. */
export class VmDirectory {
  private readonly _options: VmDirectoryOptions
  private _vms: VmRecord[] = []
  private _stopped = false

  constructor (options: VmDirectoryOptions) {
    this._options = options
  }

  /** The last list. */
  list (): VmRecord[] {
    return this._vms
  }

  /** Reads the list once, then goes on in the background. */
  async start (): Promise<void> {
    await this._read()
    this._run()
  }

  stop (): void {
    this._stopped = true
  }

  private async _run (): Promise<void> {
    while (!this._stopped) {
      await delay(this._options.timers, this._options.periodMs)
      if (!this._stopped) await this._read()
    }
  }

  private async _read (): Promise<void> {
    const { platform, log, onList } = this._options
    const list = await platform.listVms()
    if (list.isErr) {
      log.event('debug', 'vms.read.failed', { step: list.error.step, peer: list.error.peer, detail: list.error.message })
      return
    }
    this._vms = list.value
    onList(this._vms)
  }
}
