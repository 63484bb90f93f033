/**
 * The platform's list of the failure domain's VMs, read at a period. While the platform cannot be reached,
 * entry VMs of other failure domains are asked to read it; when they cannot either, the last list counts.
 *
 * @module
 */

import type Result from 'true-myth/result'
import type { CallError } from '../utils/errors.js'
import type { EventLog } from '../utils/eventLog.js'
import type { VmRecord } from '../protocol/vms.js'
import type { PlatformClient } from '../seams/platformClient.js'
import { delay, type Timers } from '../seams/timers.js'

/** Options of a {@link VmDirectory}. */
export interface VmDirectoryOptions {
  timers: Timers
  platform: PlatformClient
  log: EventLog
  failureDomain: string
  periodMs: number
  /** Called with each list that was read. */
  onList: (vms: VmRecord[]) => void
  /** Entry VMs of other failure domains that can be reached. */
  relays: () => string[]
  /** Asks an entry VM to read the list. */
  askRelay: (vm: string) => Promise<Result<{ vms: VmRecord[] | null }, CallError>>
}

/** Reads the list of VMs. */
export class VmDirectory {
  private readonly _options: VmDirectoryOptions
  private _platformFails = false
  private _stopped = false

  constructor (options: VmDirectoryOptions) {
    this._options = options
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

  /** Once the platform has failed, relays are asked at the same time, so that a list is not late by a deadline. */
  private async _read (): Promise<void> {
    const asked = this._platformFails ? this._askRelays() : undefined
    const listed = await this._readPlatform()
    if (listed || asked) await asked
    else await this._askRelays()
  }

  private async _readPlatform (): Promise<boolean> {
    const { platform, log, failureDomain, onList } = this._options
    const list = await platform.listVms({ failureDomain })
    if (list.isOk) onList(list.value)
    const failed = list.isErr
    if (failed !== this._platformFails) {
      log.event(failed ? 'warn' : 'info', failed ? 'vms.platform.unreachable' : 'vms.platform.reachable', { step: 'platform.listVms', detail: failed ? list.error.message : undefined })
    }
    this._platformFails = failed
    return !failed
  }

  /** Takes the first list that any relay has read. */
  private async _askRelays (): Promise<void> {
    const { relays, askRelay, onList } = this._options
    const asked = relays().map(async vm => {
      const vms = (await askRelay(vm)).unwrapOr({ vms: null }).vms
      if (vms === null) throw new Error(`${vm} cannot read the list either`)
      return vms
    })
    const vms = await Promise.any(asked).catch(() => undefined)
    if (vms) onList(vms)
  }
}
