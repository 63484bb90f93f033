/**
 * Client of the control interface of stand-ins, for tests.
 *
 * @module
 */

import { z } from 'zod'
import { vmRecordSchema, type VmRecord } from 'pomelofold/protocol/vms'
import { platformCountsSchema, type PlatformCounts } from './platformSettings.js'
import { instanceRecordSchema, workerRecordSchema, type InstanceRecord, type WorkerRecord } from './runRecords.js'

const vmsSchema = z.object({ vms: z.array(vmRecordSchema) })

/** Reads and changes one stand-in. Every method rejects when the stand-in refuses or cannot be reached. */
export class ControlClient {
  private readonly _url: string

  /** `address` is the stand-in's `host:port`. */
  constructor (address: string) {
    this._url = `http://${address}/control`
  }

  /** Changes faults; those not named stay as they are. */
  async setFaults (faults: object): Promise<void> {
    await this._call('faults', 'POST', faults)
  }

  /** Record of a service instance. */
  async instanceRecord (): Promise<InstanceRecord> {
    return instanceRecordSchema.parse(await this._call('record'))
  }

  /** Record of a worker. */
  async workerRecord (): Promise<WorkerRecord> {
    return workerRecordSchema.parse(await this._call('record'))
  }

  /** Calls that the platform has counted. */
  async counts (): Promise<PlatformCounts> {
    return platformCountsSchema.parse(await this._call('counts'))
  }

  /** The VMs as they are; the platform's list lags behind. */
  async vms (): Promise<VmRecord[]> {
    return vmsSchema.parse(await this._call('vms')).vms
  }

  /** Adds or replaces a VM of the platform. */
  async setVm (vm: VmRecord): Promise<void> {
    await this._call('vms', 'PUT', vm)
  }

  /** Changes the state of a VM of the platform. */
  async setVmState (name: string, state: 'live' | 'leaving' | 'gone'): Promise<void> {
    await this._call(`vms/${encodeURIComponent(name)}`, 'POST', { state })
  }

  private async _call (path: string, method = 'GET', body?: object): Promise<unknown> {
    const res = await fetch(`${this._url}/${path}`, { method, body: body && JSON.stringify(body) })
    if (!res.ok) throw new Error(`control call ${path} was refused with status ${res.status}: ${await res.text()}`)
    return res.json()
  }
}
