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

/** Options of a {@link VmListPoller}. */
export interface VmListPollerOptions {
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
  listThroughRelay: (vm: string) => Promise<Result<{ vms: VmRecord[] | null }, CallError>>
}

/** Reads the list of VMs. */
export class VmListPoller {
  private readonly _options: VmListPollerOptions
  private _platformUnreachable = false
  private _stopped = false

  constructor (options: VmListPollerOptions) {
    this._options = options
  }

  /** Reads the list once, then goes on in the background. */
  async start (): Promise<void> {
    await this._pollOnce()
    this._pollPeriodically()
  }

  stop (): void {
    this._stopped = true
  }

  private async _pollPeriodically (): Promise<void> {
    while (!this._stopped) {
      await delay(this._options.timers, this._options.periodMs)
      if (!this._stopped) await this._pollOnce()
    }
  }

  /** Once the platform has failed, relays are asked at the same time, so that a list is not late by a deadline. */
  private async _pollOnce (): Promise<void> {
    const asked = this._platformUnreachable ? this._readThroughRelays() : undefined
    const listed = await this._readFromPlatform()
    if (listed || asked) await asked
    else await this._readThroughRelays()
  }

  private async _readFromPlatform (): Promise<boolean> {
    const { platform, log, failureDomain, onList } = this._options
    const list = await platform.listVms({ failureDomain })
    if (list.isOk) onList(list.value)
    const failed = list.isErr
    if (failed !== this._platformUnreachable) {
      log.event(failed ? 'warn' : 'info', failed ? 'vms.platform.unreachable' : 'vms.platform.reachable', { step: 'platform.listVms', detail: failed ? list.error.message : undefined })
    }
    this._platformUnreachable = failed
    return !failed
  }

  /** Takes the first list that any relay has read. */
  private async _readThroughRelays (): Promise<void> {
    const { relays, listThroughRelay, onList } = this._options
    const asked = relays().map(async vm => {
      const vms = (await listThroughRelay(vm)).unwrapOr({ vms: null }).vms
      if (vms === null) throw new Error(`${vm} cannot read the list either`)
      return vms
    })
    const vms = await Promise.any(asked).catch(() => undefined)
    if (vms) onList(vms)
  }
}
