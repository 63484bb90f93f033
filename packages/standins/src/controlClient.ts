/**
 * Client of the `/control` interface of the HTTP stand-ins, for tests.
 *
 * @module
 */

import { z } from 'zod'
import { vmRecordSchema, type VmRecord } from 'pomelofold/protocol/vms'
import { platformCountsSchema, type PlatformCounts } from './platformSettings.js'
import { instanceRecordSchema, workerRecordSchema, type InstanceRecord, type WorkerRecord } from './runRecords.js'

const vmsSchema = z.object({ vms: z.array(vmRecordSchema) })

/** Reads the records of one stand-in and sets its faults. Every method rejects on an error status and when the stand-in is unreachable. */
export class ControlClient {
  private readonly _url: string

  /** `address` is the stand-in's `host:port`. */
  constructor (address: string) {
    this._url = `http://${address}/control`
  }

  /** Sets the given faults; the others keep their values. */
  async setFaults (faults: object): Promise<void> {
    await this._call('faults', 'POST', faults)
  }

  /** Returns the record of what a service instance has run. */
  async instanceRecord (): Promise<InstanceRecord> {
    return instanceRecordSchema.parse(await this._call('record'))
  }

  /** Returns the record of what a worker has run. */
  async workerRecord (): Promise<WorkerRecord> {
    return workerRecordSchema.parse(await this._call('record'))
  }

  /** Returns the numbers of calls that the platform has received. */
  async counts (): Promise<PlatformCounts> {
    return platformCountsSchema.parse(await this._call('counts'))
  }

  /** Returns the current VMs. The platform's own list shows a change only after a lag. */
  async vms (): Promise<VmRecord[]> {
    return vmsSchema.parse(await this._call('vms')).vms
  }

  /** Adds or replaces a VM of the platform. */
  async setVm (vm: VmRecord): Promise<void> {
    await this._call('vms', 'PUT', vm)
  }

  /** Changes the state of a VM of the platform; `gone` removes it. */
  async setVmState (name: string, state: 'live' | 'leaving' | 'gone'): Promise<void> {
    await this._call(`vms/${encodeURIComponent(name)}`, 'POST', { state })
  }

  private async _call (path: string, method = 'GET', body?: object): Promise<unknown> {
    const res = await fetch(`${this._url}/${path}`, { method, body: body && JSON.stringify(body) })
    if (!res.ok) throw new Error(`control call ${path} failed with status ${res.status}: ${await res.text()}`)
    return res.json()
  }
}
