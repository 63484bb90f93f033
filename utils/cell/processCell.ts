/**
 * Starts a cell as separate processes on loopback: the stand-in of the platform, service instances, workers and entry
 * daemons. It is used by the demo and by tests; processes of the product do not start other processes.
 *
 * @module
 */

import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { instanceRecordSchema, workerRecordSchema, type InstanceRecord, type WorkerRecord } from '@pomelofold/standins/runRecords'
import { ApiClient } from 'pomelofold/client/apiClient'
import { planCell, type CellOptions, type CellPlan, type ProcessPlan } from './cellPlan.js'

const REPO = fileURLToPath(new URL('../../..', import.meta.url))

const PROGRAMS: Record<ProcessPlan['program'], string> = {
  platform: 'packages/standins/dist/bin/platform.js',
  instance: 'packages/standins/dist/bin/instance.js',
  worker: 'packages/standins/dist/bin/worker.js',
  daemon: 'packages/daemon/dist/pomelofoldd.js'
}

/** Deadline of each wait for a condition, in milliseconds. */
const WAIT_LIMIT_MS = 30_000

/** Time between two checks of a condition, in milliseconds. */
const POLL_PERIOD_MS = 50

/** Time after SIGTERM until a process that has not exited is killed, in milliseconds. */
const KILL_AFTER_MS = 5_000

/** Waits until `condition` is true. Rejects with the description `what` after a deadline. */
export async function waitUntil (what: string, condition: () => Promise<boolean> | boolean, limitMs = WAIT_LIMIT_MS): Promise<void> {
  const endMs = Date.now() + limitMs
  while (!await condition()) {
    if (Date.now() > endMs) throw new Error(`condition was not met within ${limitMs} ms: ${what}`)
    await new Promise(resolve => setTimeout(resolve, POLL_PERIOD_MS))
  }
}

/** The running processes of a cell, which {@link close} ends. */
export class ProcessCell {
  readonly plan: CellPlan
  private readonly _dir = mkdtempSync(join(tmpdir(), 'pomelofold-cell-'))
  private readonly _children = new Map<string, ChildProcess>()
  private readonly _logs = new Map<string, string[]>()

  private constructor (plan: CellPlan) {
    this.plan = plan
  }

  /** Starts all processes and waits until every entry daemon answers. */
  static async start (options: CellOptions = {}): Promise<ProcessCell> {
    return ProcessCell.startPlan(await planCell(options))
  }

  /** Starts the processes of a plan and waits until every entry daemon answers. */
  static async startPlan (plan: CellPlan): Promise<ProcessCell> {
    const cell = new ProcessCell(plan)
    try {
      for (const plan of cell.plan.processes) {
        if (plan.program === 'daemon') await cell._waitForUpstreams()
        cell.startProcess(plan.name)
      }
      await Promise.all(cell.plan.entries.map(({ vm }) => cell.waitForEntry(vm)))
    } catch (err) {
      await cell.close()
      throw err
    }
    return cell
  }

  /** Client of an entry daemon. */
  client (vm: string = this.plan.entries[0].vm): ApiClient {
    const entry = this.plan.entries.find(entry => entry.vm === vm)
    if (!entry) throw new Error(`the cell has no entry VM ${vm}`)
    return new ApiClient({ server: `http://${entry.httpAddress}` })
  }

  /** Starts one process of the plan, or starts it again after it has ended. */
  startProcess (name: string): void {
    const plan = this.plan.processes.find(plan => plan.name === name)!
    const file = join(this._dir, `${name}.json`)
    writeFileSync(file, JSON.stringify(plan.settings, null, 2))
    const child = spawn(process.execPath, [join(REPO, PROGRAMS[plan.program]), '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'] })
    const lines = this._logs.get(name) ?? []
    this._logs.set(name, lines)
    for (const stream of [child.stdout, child.stderr]) stream.on('data', chunk => lines.push(String(chunk)))
    this._children.set(name, child)
  }

  /** Sends a signal to one process. */
  signal (name: string, signal: NodeJS.Signals): void {
    this._children.get(name)!.kill(signal)
  }

  /** Sends a signal and waits until the process has ended. Returns its exit code, or null when a signal ended it. */
  async end (name: string, signal: NodeJS.Signals = 'SIGTERM'): Promise<number | null> {
    const child = this._children.get(name)!
    if (child.exitCode !== null || child.signalCode !== null) return child.exitCode
    const ended = new Promise<number | null>(resolve => child.once('exit', code => resolve(code)))
    child.kill(signal)
    return ended
  }

  /** Returns the process id of a process. */
  pidOf (name: string): number {
    return this._children.get(name)!.pid!
  }

  /** Returns the output of a process, over all its starts. */
  logOf (name: string): string {
    return (this._logs.get(name) ?? []).join('')
  }

  /** Waits until an entry daemon answers. */
  async waitForEntry (vm: string): Promise<void> {
    await this._waitForHttp(vm, '/healthz')
  }

  /** Calls the control interface of a stand-in. */
  async control<T> (name: string, path: string, body?: unknown): Promise<T> {
    const { address } = this.plan.processes.find(plan => plan.name === name)!
    const options = body === undefined ? {} : { method: 'POST', body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }
    const res = await fetch(`http://${address}/control/${path}`, options)
    if (!res.ok) throw new Error(`${name} answered ${res.status} to /control/${path}: ${await res.text()}`)
    return await res.json() as T
  }

  /** Records of all service instances that answer. */
  async instanceRecords (): Promise<InstanceRecord[]> {
    return Promise.all(this._processNames('instance').map(async name => instanceRecordSchema.parse(await this.control(name, 'record'))))
  }

  /** Records of all workers that answer. */
  async workerRecords (): Promise<WorkerRecord[]> {
    return Promise.all(this._processNames('worker').map(async name => workerRecordSchema.parse(await this.control(name, 'record'))))
  }

  /** Ends all processes. */
  async close (): Promise<void> {
    await Promise.all([...this._children].map(async ([name, child]) => {
      const timer = setTimeout(() => child.kill('SIGKILL'), KILL_AFTER_MS)
      child.kill('SIGCONT')
      await this.end(name)
      clearTimeout(timer)
    }))
    rmSync(this._dir, { recursive: true, force: true })
  }

  private _processNames (program: ProcessPlan['program']): string[] {
    return this.plan.processes.filter(plan => plan.program === program).map(plan => plan.name)
  }

  private async _waitForUpstreams (): Promise<void> {
    const names = [...this._processNames('platform'), ...this._processNames('instance'), ...this._processNames('worker')]
    await Promise.all(names.map(name => this._waitForHttp(name, name === 'platform' ? '/vms' : '/control/record')))
  }

  private async _waitForHttp (name: string, path: string): Promise<void> {
    const { address } = this.plan.processes.find(plan => plan.name === name)!
    await waitUntil(`${name} answers`, async () => {
      const child = this._children.get(name)
      if (child && child.exitCode !== null) throw new Error(`${name} exited with code ${child.exitCode}:\n${this.logOf(name)}`)
      return fetch(`http://${address}${path}`).then(res => res.ok, () => false)
    })
  }
}
