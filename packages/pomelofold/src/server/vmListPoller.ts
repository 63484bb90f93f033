/**
 * Polls the platform's list of the VMs of this failure domain. While the platform is unreachable from here, entry VMs of
 * other failure domains, called relays, read the list for this one. When they fail too, the last list stays in use.
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
  /** Called with each list that has been read. */
  onList: (vms: VmRecord[]) => void
  /** Reachable entry VMs of other failure domains. */
  relays: () => string[]
  /** Asks an entry VM to read the list. `vms` is null when that VM could not read it. */
  listThroughRelay: (vm: string) => Promise<Result<{ vms: VmRecord[] | null }, CallError>>
}

/** Reads the list of VMs periodically, from the platform or through relays. */
export class VmListPoller {
  private readonly _options: VmListPollerOptions
  private _platformUnreachable = false
  private _stopped = false

  constructor (options: VmListPollerOptions) {
    this._options = options
  }

  /** Reads the list once and starts polling in the background. */
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

  /**
   * Reads the list from the platform, and through relays when that fails. If the previous read from the platform failed, both
   * are tried at the same time, so that the list is not delayed by the timeout of the platform call.
   */
  private async _pollOnce (): Promise<void> {
    const relayRead = this._platformUnreachable ? this._readThroughRelays() : undefined
    const listed = await this._readFromPlatform()
    if (listed || relayRead) await relayRead
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

  /** Asks all relays and uses the first list that arrives. */
  private async _readThroughRelays (): Promise<void> {
    const { relays, listThroughRelay, onList } = this._options
    const relayReads = relays().map(async vm => {
      const vms = (await listThroughRelay(vm)).unwrapOr({ vms: null }).vms
      if (vms === null) throw new Error(`${vm} could not read the list of VMs`)
      return vms
    })
    const vms = await Promise.any(relayReads).catch(() => undefined)
    if (vms) onList(vms)
  }
}
