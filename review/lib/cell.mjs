/**
 * A small deployment for one case: the deployed program in several processes, and stand-ins for store, minions and clients.
 *
 * @module
 */

import { spawn } from 'node:child_process'
import { randomBytes } from 'node:crypto'
import { mkdtempSync, readFileSync, rmSync, writeFileSync, createWriteStream } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { call, freePorts } from './http.mjs'
import { HEARTBEAT_MS, HOLD_MAX_MS, Minion } from './minion.mjs'
import { Store } from './store.mjs'

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
/** Time after which a case gives up, in milliseconds; a script may run for 120 s. */
const TIME_LIMIT_MS = 112_000
const EXIT_CODES = { held: 0, broken: 1, notRun: 2 }
const READY_TIMEOUT_MS = 25_000
const POLL_MS = 50
const GRACE_S = 6
/** Host of all routes. */
export const HOST = 'cell.example'

/** Verdicts of a case. */
export const VERDICTS = { held: 'held', broken: 'broken', notRun: 'notRun' }

/** True unless the script is asked to leave the disruption out. */
export const TROUBLE = process.env.TROUBLE !== '0'

export function sleep (ms) {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

export function newId () {
  return randomBytes(8).toString('hex')
}

/** Starts and ends the processes and stand-ins of a case, and keeps its record. */
export class Cell {
  daemons = []
  minions = []
  /** Events with their time in milliseconds since the start of the case. */
  events = []
  store = new Store()
  config = { version: 0, routes: [], services: [], limits: {} }
  #dir = mkdtempSync(join(tmpdir(), 'review-'))
  #startedMs = performance.now()
  #storePort
  #advice
  #recordPath

  constructor (recordPath) {
    this.#recordPath = recordPath
  }

  get nowMs () {
    return Math.round(performance.now() - this.#startedMs)
  }

  record (what, fields = {}) {
    this.events.push({ atMs: this.nowMs, what, ...fields })
  }

  /** Writes a new version of the configuration, as the operator does. */
  configure (changes) {
    Object.assign(this.config, changes, { version: this.config.version + 3 })
    this.store.write('op/config', this.config)
    this.record('config', { version: this.config.version, routes: this.config.routes.map(({ name }) => name) })
  }

  async start ({ daemons, minions, config, adviceAddress = '' }) {
    const [storePort, ...ports] = await freePorts(1 + 4 * daemons + minions.length)
    this.#storePort = storePort
    this.#advice = adviceAddress
    await this.store.listen(storePort)
    this.configure(config)
    for (const options of minions) {
      const minion = new Minion({ ...options, port: ports.pop(), store: this.store, record: (what, fields) => this.record(what, fields) })
      this.minions.push(minion)
      await minion.start()
    }
    for (let index = 0; index < daemons; index++) {
      const zone = `zone-${'abc'[index % 3]}`
      this.daemons.push({ name: `front-${zone}-${index}`, zone, ports: ports.splice(0, 4), process: undefined })
    }
    for (const daemon of this.daemons) this.startDaemon(daemon)
    await this.until(() => this.daemonsReady(), READY_TIMEOUT_MS, 'the daemons are ready')
    await this.until(async () => this.leader !== undefined, READY_TIMEOUT_MS, 'a leader is elected')
    this.record('ready', { leader: this.leader.name })
  }

  startDaemon (daemon) {
    const { name, zone, ports: [front, ready, peers, metrics] } = daemon
    const path = join(this.#dir, `${name}.conf`)
    const settings = {
      node_name: name,
      role: 'scheduler',
      machine_class: 'front',
      serves: 'front',
      ip: '127.0.0.1',
      zone,
      region: 'region-1',
      'zones.zone-a': 'region-1',
      'zones.zone-b': 'region-1',
      'zones.zone-c': 'region-1',
      'listen_addrs.front': `127.0.0.1:${front}`,
      'listen_addrs.ready': `127.0.0.1:${ready}`,
      port_range: `${peers},${metrics}`,
      bootstrap: 'true',
      'limits.cpu_share': '0.675',
      'limits.cores': '1',
      'limits.memory_mb': '350',
      'limits.max_fds': '4100',
      'limits.link_mbps': '1000.0',
      heartbeat_ms: HEARTBEAT_MS,
      'bounds.contact_ms': '3000',
      'bounds.ack_ms': '4000',
      'bounds.drain_ms': '2000',
      'bounds.grace_s': GRACE_S,
      'bounds.config_apply_ms': '2000',
      'bounds.hold_max_ms': HOLD_MAX_MS,
      'bounds.stop_ms': '900',
      'bounds.gang_ms': '3000',
      'bounds.cancel_ms': '3000',
      'bounds.visible_ms': '3000',
      'bounds.finish_s': '14',
      'bounds.status_s': '120',
      orders: 'call',
      advice: this.#advice,
      'platform.address': `127.0.0.1:${this.#storePort}`,
      'platform.form': 'kv',
      'platform.writes_per_s': '400',
      'platform.reads_per_s': '2000',
      'platform.history_s': '20',
      'platform.value_bytes': '1048576',
      'platform.ttl_min_ms': '1000'
    }
    writeFileSync(path, Object.entries(settings).map(([key, value]) => `${key}=${value}\n`).join(''))
    const [command, ...args] = runCommand()
    const { PATH, HOME, LANG } = process.env
    const child = spawn(command, args, { cwd: ROOT, env: { PATH, HOME, LANG, POMELOFOLD_CONFIG: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.#dir, `${name}.log`), { flags: 'a' })
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    daemon.process = child
    this.record('daemon-start', { daemon: name })
    child.once('exit', (code, signal) => {
      if (daemon.process === child) daemon.process = undefined
      this.record('daemon-exit', { daemon: name, code, signal })
    })
  }

  signal (daemon, signal) {
    this.record('signal', { daemon: daemon.name, signal })
    daemon.process?.kill(signal)
  }

  /** The daemon that leads, by its entry in the store. */
  get leader () {
    const leader = this.store.read('pomelofold/cell/leader')
    return leader && this.daemons.find(({ name }) => name === leader.vm)
  }

  async daemonsReady () {
    const answers = await Promise.all(this.daemons.map(({ ports }) => call(ports[1], 'GET', '/api/readiness', { deadlineMs: 500 })))
    return answers.every(({ status }) => status === 200)
  }

  /** Waits until a condition holds. Throws when it does not hold in time. */
  async until (condition, timeoutMs, text) {
    const endMs = performance.now() + timeoutMs
    while (!await condition()) {
      if (performance.now() > endMs) throw new Error(`not within ${timeoutMs} ms: ${text}`)
      await sleep(POLL_MS)
    }
  }

  /** Sends one client call to a daemon that is up, and records it with its answer. */
  async call (method, path, body, daemon = this.daemons.find(each => each.process)) {
    const sentMs = this.nowMs
    const answer = await call(daemon.ports[0], method, path, { host: HOST, body })
    this.record('call', { sentMs, daemon: daemon.name, method, path, body, status: answer.status, answer: answer.body ?? answer.error })
    return answer
  }

  /** Submits a job as the page says: it is sent again with the same id until it is accepted. */
  async submit (prefix, job, id = newId()) {
    for (let tries = 0; tries < 20; tries++) {
      const { status } = await this.call('POST', prefix + id, job, this.daemons.filter(each => each.process)[tries % this.daemons.length])
      if (status >= 200 && status < 300) return id
      await sleep(250)
    }
    throw new Error(`job ${id} was not accepted`)
  }

  /** State of a job, from the daemons in turn until one answers. */
  async state (prefix, id) {
    for (const daemon of this.daemons.filter(each => each.process)) {
      const { status, body } = await this.call('GET', prefix + id, undefined, daemon)
      if (status === 200) return body.state
      if (status === 410 || status === 404) return String(status)
    }
  }

  /** Numbers of the starts of a task so far. */
  startsOf (task) {
    return this.events.filter(event => event.what === 'start' && event.task === task)
  }

  async close () {
    const ending = this.daemons.filter(({ process: child }) => child).map(({ process: child }) => new Promise(resolve => {
      child.once('exit', resolve)
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }))
    await Promise.all(ending)
    for (const minion of this.minions) minion.close()
    this.store.close()
    if (this.#recordPath) writeFileSync(this.#recordPath, this.events.map(event => `${JSON.stringify(event)}\n`).join(''))
    if (process.env.KEEP_LOGS) console.log(`logs of the daemons: ${this.#dir}`)
    else rmSync(this.#dir, { recursive: true, force: true })
  }
}

/** Words of the run command in the deploy file. */
function runCommand () {
  const found = /^run = "([^"]*)"/m.exec(readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'))
  if (!found) throw new Error('the deploy file has no run command')
  const [command, ...args] = found[1].split(' ')
  return [command === 'node' ? process.execPath : command, ...args]
}

/** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase (url, fn) {
  const cell = new Cell(join(dirname(fileURLToPath(url)), 'record.txt'))
  const finish = async (verdict, text) => {
    cell.record('verdict', { verdict, text })
    await cell.close()
    console.log(`${verdict}: ${text}`)
    process.exit(EXIT_CODES[verdict])
  }
  const giveUp = err => finish(VERDICTS.notRun, err.stack ?? String(err))
  setTimeout(() => giveUp(new Error('the time limit of the case is over')), TIME_LIMIT_MS)
  process.once('uncaughtException', giveUp)
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => giveUp(new Error(signal)))
  try {
    const { verdict, text } = await fn(cell)
    await finish(verdict, text)
  } catch (err) {
    await giveUp(err)
  }
}
