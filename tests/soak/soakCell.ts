/**
 * A cell of real daemon processes, with stand-ins for store, advice service and workers behind links with injected faults.
 *
 * @module
 */

import { execSync, spawn, type ChildProcess } from 'node:child_process'
import { copyFileSync, createWriteStream, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { delay, type TimerSubscription } from 'pomelofold/seams/timers'
import { LEADER_KEY } from 'pomelofold/workflows/keys'
import { FaultProxy, LINK_FAULTS } from './faultProxy.js'
import { KEY_BOUNDS, SoakTeams } from './soakTeams.js'
import { ENTRY_RENEWAL_PERIOD_MS, SoakWorkers, TICKET_VALID_MS } from './soakWorkers.js'
import { JsonServer, StoreServer } from './standins.js'
import { MAX_LEASE_MS } from './workerServer.js'

const ROOT = new URL('../../../', import.meta.url).pathname
/** Copy of the deployed program, so that later builds do not change the program of a running soak. */
const PROGRAM_DIR = join(ROOT, 'target', `soak-${process.pid}`)
const PROGRAM_FILES = ['pomelofold.cjs', 'daemon.cjs', 'daemon.cache']
/** How the program is built and run as deployed. */
const DEPLOYMENT = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8')
/** Option of `node` with which the program is deployed, which limits its heap. */
const DEPLOYED_HEAP_OPTION = /--max-old-space-size=\d+/.exec(DEPLOYMENT)![0]
/** Ports of each daemon on its own loopback address, and of the stand-ins and proxies on a common one. */
const PORTS = {
  front: 8161, ready: 8167, peers: 7720, metrics: 7735, store: 9001, advice: 9002, storeProxy: 9100
}
/** First log event of the daemon. The entry of the deployed program may log before, when no signal handler is installed yet. */
const START_EVENT = 'event=daemon.start'
/** Longest time from SIGTERM until a daemon has exited, in milliseconds. */
const SHUTDOWN_GRACE_MS = 6_000
/** Routes of two queues; only the second one uses the advice service. */
const ROUTES = [
  { name: 'quick', host: 'cell', prefix: '/quick/', service: 'hub', priority: 0, max_attempts: 4, stretch: 2, target_duration_ms: 500 },
  {
    name: 'advised',
    host: 'cell',
    prefix: '/advised/',
    service: 'hub',
    priority: 1,
    max_attempts: 4,
    stretch: 2,
    target_duration_ms: 500,
    advice: { decide_ms: 20, each_ms: 1, valid_ms: TICKET_VALID_MS }
  }
]

/** Builds the program with the command of `deploy/system.toml`. */
export function buildProgram (): void {
  const command = /node deploy\/[^"]*/.exec(DEPLOYMENT)
  if (!command) throw new Error('deploy/system.toml has no command that builds the program')
  execSync(command[0], { cwd: ROOT, stdio: 'pipe' })
  mkdirSync(PROGRAM_DIR, { recursive: true })
  for (const file of PROGRAM_FILES) copyFileSync(join(ROOT, 'target', file), join(PROGRAM_DIR, file))
  process.once('exit', () => rmSync(PROGRAM_DIR, { recursive: true }))
}

/** Limits of each daemon's process, instead of those with which the program is deployed. */
export interface ProcessLimits {
  /** Size of the old generation of V8's heap, in MB. */
  heapMb: number
  /** Resident memory, in MB. It is only named in the settings. */
  memoryMb: number
  /** Number of open descriptors. It is named in the settings, and the operating system enforces it. */
  maxFds: number
}

/** A daemon and the state of its process. */
export interface SoakDaemon {
  name: string
  host: string
  /** Link to the store, and its port. */
  link: FaultProxy
  linkPort: number
  process: ChildProcess | undefined
  /** True once the daemon has logged its start. A signal before that may end the process before it can handle signals. */
  hasLogged: boolean
  /** True from a SIGKILL or SIGTERM sent by this cell until the next start. */
  endRequested: boolean
  /** True from a SIGKILL until the next start. */
  killed: boolean
  /** True from a SIGTERM until the process has exited. */
  stopping: boolean
  paused: boolean
  /** Number of SIGKILL and SIGSTOP signals, which end or pause the process without notice. */
  disruptionCount: number
}

/** System timers whose periodic timers can be cancelled together, since stand-ins never cancel theirs. */
class DisposableTimers extends SystemTimers {
  private readonly _periods: TimerSubscription[] = []

  override every (periodMs: number, fn: () => void): TimerSubscription {
    const period = super.every(periodMs, fn)
    this._periods.push(period)
    return period
  }

  dispose (): void {
    for (const period of this._periods) period.cancel()
  }
}

/** Starts, configures and signals the processes of a cell. */
export class SoakCell {
  readonly timers = new DisposableTimers()
  readonly store = new StoreServer({ timers: this.timers })
  readonly daemons: SoakDaemon[] = []
  readonly workers: SoakWorkers
  /** Undefined in soaks whose configuration names no teams. */
  readonly teams: SoakTeams | undefined
  /** Descriptions of process exits that must not happen. */
  readonly violations: string[] = []
  private readonly _dir: string
  private readonly _networkPrefix: string
  private readonly _limits: ProcessLimits | undefined
  private readonly _servers: JsonServer[] = [this.store.server]
  /** Daemons whose VM is gone, or goes when their process has ended. */
  private readonly _retired: SoakDaemon[] = []
  private _configurationVersion = 0

  constructor ({ dir, networkPrefix, seed, deadlyJobs, teams, limits }: {
    dir: string, networkPrefix: string, seed: number, deadlyJobs: boolean, teams: boolean, limits?: ProcessLimits
  }) {
    this._dir = dir
    this._networkPrefix = networkPrefix
    this._limits = limits
    this.workers = new SoakWorkers({ timers: this.timers, store: this.store, host: `${networkPrefix}.250`, seed, deadlyJobs })
    if (teams) this.teams = new SoakTeams({ seed, timers: this.timers, isDisturbed: () => this._isDisturbed() })
    mkdirSync(dir, { recursive: true })
    process.once('exit', this._killAll)
  }

  async start ({ daemons, workers }: { daemons: number, workers: number }): Promise<void> {
    const standinHost = `${this._networkPrefix}.250`
    await this.store.server.listen(standinHost, PORTS.store)
    const advice = new JsonServer(async ({ body }) => ({ status: 200, body: this.workers.advise(body.step, body.workers) }))
    await advice.listen(standinHost, PORTS.advice)
    this._servers.push(advice)
    this.configure()
    await this.workers.start(workers)
    for (let index = 0; index < daemons; index++) await this.addDaemon()
  }

  /** The daemon that has the leader's entry; undefined if none of the cell has. */
  get leader (): SoakDaemon | undefined {
    const entry = this.store.store.get(LEADER_KEY)
    return entry && this.daemons.find(({ name }) => name === JSON.parse(entry.value).vm)
  }

  /** True while a daemon or a link to a daemon or worker is not sound, or a worker is down that will be back. */
  get isDisturbed (): boolean {
    return this._isDisturbed() || this._retired.some(({ stopping }) => stopping) ||
      this.daemons.some(({ process, hasLogged, stopping }) => !process || !hasLogged || stopping) ||
      this.workers.all.some(({ gone, incarnation, link }) => !gone && (!incarnation || link.fault !== LINK_FAULTS.none))
  }

  /** Takes a daemon out of the cell. Its process is not started again, and killed in the end if it is paused. */
  retire (daemon: SoakDaemon): void {
    this.daemons.splice(this.daemons.indexOf(daemon), 1)
    this._retired.push(daemon)
  }

  /** Writes a new version of the configuration to the store. */
  configure (): void {
    const tenants = this.teams?.tenants()
    const value = JSON.stringify({ version: ++this._configurationVersion, routes: ROUTES, services: [{ name: 'hub' }], limits: {}, tenants })
    this.store.store.txn([], [{ op: 'put', key: 'op/config', value }])
  }

  startDaemon (daemon: SoakDaemon): void {
    if (!this.daemons.includes(daemon)) return
    const { name, host, linkPort } = daemon
    const path = join(this._dir, `${name}.conf`)
    writeFileSync(path, [
      `node_name=${name}`, `ip=${host}`, `zone=${name.split('-')[0]}`, `listen_addrs.front=${host}:${PORTS.front}`,
      `listen_addrs.ready=${host}:${PORTS.ready}`, `port_range=${PORTS.peers},${PORTS.metrics}`,
      `platform.address=${this._networkPrefix}.250:${linkPort}`,
      `advice=${this._networkPrefix}.250:${PORTS.advice}`, `bounds.hold_max_ms=${MAX_LEASE_MS}`, 'bounds.status_s=120', `heartbeat_ms=${ENTRY_RENEWAL_PERIOD_MS}`, `bounds.grace_s=${SHUTDOWN_GRACE_MS / 1_000}`,
      ...(this.teams ? [`bounds.revoke_ms=${KEY_BOUNDS.revokeMs}`, 'bounds.revoke_strict=true', `bounds.config_apply_ms=${KEY_BOUNDS.applyMs}`] : []),
      ...(this._limits ? [`limits.memory_mb=${this._limits.memoryMb}`, `limits.max_fds=${this._limits.maxFds}`] : [])
    ].join('\n'))
    const [command, ...args] = this._command()
    const child = spawn(command, args, { env: { PATH: process.env.PATH, POMELOFOLD_CONFIG: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this._dir, `${name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    Object.assign(daemon, { process: child, hasLogged: false, endRequested: false, killed: false, stopping: false, paused: false })
    child.stdout.on('data', (bytes: Buffer) => { if (daemon.process === child && bytes.includes(START_EVENT)) daemon.hasLogged = true })
    child.once('exit', (code, signal) => {
      daemon.process = undefined
      if (!daemon.endRequested) this.violations.push(`${name} ended without a signal from the test: code ${code}, signal ${signal}`)
      else if (daemon.stopping && code !== 0) this.violations.push(`${name} ended with code ${code}, signal ${signal} after SIGTERM`)
      daemon.stopping = false
    })
  }

  /** Sends a signal to a daemon, unless it has no process or cannot handle the signal yet. */
  signal (daemon: SoakDaemon, signal: 'SIGKILL' | 'SIGTERM' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
    if (!daemon.process || (!daemon.hasLogged && (signal === 'SIGTERM' || signal === 'SIGHUP'))) return
    if (signal === 'SIGKILL') Object.assign(daemon, { endRequested: true, killed: true, stopping: false })
    if (signal === 'SIGTERM') Object.assign(daemon, { endRequested: true, stopping: !daemon.paused && !daemon.killed })
    if (signal === 'SIGSTOP' || signal === 'SIGCONT') daemon.paused = signal === 'SIGSTOP'
    if (signal === 'SIGKILL' || signal === 'SIGSTOP') daemon.disruptionCount++
    daemon.process.kill(signal)
  }

  /** Address of a daemon for callers, for checks of its readiness, or of its metrics. */
  address ({ host }: SoakDaemon, port: 'front' | 'ready' | 'metrics' = 'front'): { host: string, port: number } {
    return { host, port: PORTS[port] }
  }

  /** Descriptions of keys in the daemons' logs. */
  keysInLogs (): string[] {
    return [...this.daemons, ...this._retired].flatMap(({ name }) => this.teams?.findKeys(name, readFileSync(join(this._dir, `${name}.log`), 'utf8')) ?? [])
  }

  /** Command line of a daemon. */
  private _command (): string[] {
    const program = join(PROGRAM_DIR, PROGRAM_FILES[0])
    if (!this._limits) return [process.execPath, DEPLOYED_HEAP_OPTION, program]
    const { heapMb, maxFds } = this._limits
    return ['bash', '-c', 'ulimit -n "$0" && exec "$@"', String(maxFds), process.execPath, `--max-old-space-size=${heapMb}`, program]
  }

  /** True while a daemon may not be in touch with the store. */
  private _isDisturbed (): boolean {
    return this.store.fault !== 'none' || this.daemons.some(({ paused, link }) => paused || link.fault !== LINK_FAULTS.none)
  }

  /** Kills the daemons, also when this process exits before the cell is closed. */
  private readonly _killAll = (): void => {
    for (const daemon of [...this.daemons, ...this._retired]) this.signal(daemon, 'SIGKILL')
  }

  async close (): Promise<void> {
    process.off('exit', this._killAll)
    this._killAll()
    // The next cell may use the same addresses.
    while ([...this.daemons, ...this._retired].some(daemon => daemon.process)) await delay(this.timers, 20)
    this.workers.close()
    for (const { link } of [...this.daemons, ...this._retired]) link.close()
    for (const server of this._servers) server.close()
    this.store.store.close()
    this.timers.dispose()
  }

  /** Adds a daemon with a VM name and address of its own. */
  async addDaemon (): Promise<void> {
    const index = this.daemons.length + this._retired.length
    const standinHost = `${this._networkPrefix}.250`
    const link = new FaultProxy(`${standinHost}:${PORTS.store}`)
    const linkPort = PORTS.storeProxy + index
    await link.listen(standinHost, linkPort)
    const name = `${'abc'[index % 3]}-${index}`
    const daemon = { name, host: `${this._networkPrefix}.${index + 1}`, link, linkPort, process: undefined, hasLogged: false, endRequested: false, killed: false, stopping: false, paused: false, disruptionCount: 0 }
    this.daemons.push(daemon)
    this.startDaemon(daemon)
  }
}
